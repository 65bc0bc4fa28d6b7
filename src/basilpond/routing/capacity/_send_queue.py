"""Requests that a router holds back while its link is full."""

from __future__ import annotations

import bisect
import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class HeldSend:
    """A request that waits until the link has room.

    Parameters
    ----------
    rank : int
        Lower ranks are sent first.
    latest_s : float
        Time by which it has to be sent.
    size_bytes : int
    """

    rank: int
    latest_s: float
    size_bytes: int

    def _key(self) -> tuple[int, float]:
        return self.rank, self.latest_s


class SendQueue:
    """Held requests in the order of rank, then of the time left.

    Examples
    --------
    >>> queue = SendQueue()
    >>> large = queue.add(2, latest_s=1.0, size_bytes=500)
    >>> small = queue.add(0, latest_s=2.0, size_bytes=100)
    >>> queue.first() is small, queue.bytes_before(1)
    (True, 100)
    >>> queue.late(now_s=0.0, wait_s=0.95, bytes_per_s=1000.0) == [large]
    True
    """

    __slots__ = ('_rank_bytes', '_sends')

    def __init__(self) -> None:
        self._sends: list[HeldSend] = []
        self._rank_bytes: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._sends)

    @property
    def total_bytes(self) -> int:
        """Bytes of all held requests."""
        return sum(self._rank_bytes.values())

    def bytes_before(self, rank: int) -> int:
        """Return the bytes that precede a further request of a rank."""
        return sum(
            size for held, size in self._rank_bytes.items() if held <= rank
        )

    def add(self, rank: int, *, latest_s: float, size_bytes: int) -> HeldSend:
        """Add a request."""
        send = HeldSend(rank, latest_s, size_bytes)
        bisect.insort_right(self._sends, send, key=HeldSend._key)
        self._rank_bytes[rank] = self._rank_bytes.get(rank, 0) + size_bytes
        return send

    def remove(self, send: HeldSend) -> bool:
        """Remove a request; return whether it was held."""
        if send not in self._sends:
            return False
        self._sends.remove(send)
        self._rank_bytes[send.rank] -= send.size_bytes
        return True

    def first(self) -> HeldSend:
        """Return the request that is sent next."""
        return self._sends[0]

    def late(
        self, *, now_s: float, wait_s: float, bytes_per_s: float
    ) -> list[HeldSend]:
        """Return the requests that cannot be sent in time.

        Parameters
        ----------
        now_s : float
        wait_s : float
            Time until the first one is sent.
        bytes_per_s : float
            Bandwidth of the link.
        """
        late = []
        sent_s = now_s + wait_s
        for send in self._sends:
            if sent_s > send.latest_s:
                late.append(send)
            else:
                sent_s += send.size_bytes / bytes_per_s
        return late
