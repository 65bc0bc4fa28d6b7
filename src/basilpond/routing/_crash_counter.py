"""Count of endpoint crashes per request."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
import dataclasses
import itertools

MAX_CRASHES = 2
_EXPIRY_S = 600.0
_MAX_ENTRIES = 4096
# Latest crashes that can be taken back. A router that is cut off loses the
# requests that it has in progress.
_MAX_RETRACTABLE = 1024


@dataclasses.dataclass(slots=True)
class _Entry:
    last_crash_s: float
    # Crashes seen by this router.
    local: int = 0
    # Largest count each peer reported.
    peers: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def crashes(self) -> int:
        return self.local + sum(self.peers.values())


class CrashCounter:
    """Crash counts, to stop requests that crash their endpoints.

    Counts are kept by body digest and by request id, because a caller that
    sends the request again may change either. A peer's reports replace its
    earlier ones, so a report received twice counts once.

    Parameters
    ----------
    max_entries : int
        Number of counts kept; beyond it the oldest are dropped.
    max_crashes : int
        Number of crashes at which a request is stopped.
    """

    __slots__ = ('_entries', '_max_crashes', '_max_entries', '_recent')

    def __init__(
        self,
        *,
        max_entries: int = _MAX_ENTRIES,
        max_crashes: int = MAX_CRASHES,
    ) -> None:
        self._max_entries = max_entries
        self._max_crashes = max_crashes
        # Ordered by time of the last crash.
        self._entries: dict[str, _Entry] = {}
        # Key and time of the crashes that this router counted.
        self._recent: deque[tuple[str, float]] = deque(maxlen=_MAX_RETRACTABLE)

    def record(self, body_digest: str, request_id: str, now_s: float) -> None:
        """Count a crash of an endpoint that ran the request."""
        for key in dict.fromkeys((body_digest, request_id)):
            self._touch(key, now_s).local += 1
            self._recent.append((key, now_s))

    def retract(self, since_s: float) -> list[str]:
        """Take back the crashes that this router has counted since a time.

        Returns
        -------
        list of str
            Body digests and request ids whose counts are lower now.
        """
        retracted: list[str] = []
        while self._recent and self._recent[-1][1] >= since_s:
            key, _ = self._recent.pop()
            entry = self._entries.get(key)
            if entry is None or not entry.local:
                continue
            entry.local -= 1
            retracted.append(key)
            if not entry.local and not entry.peers:
                del self._entries[key]
        return list(dict.fromkeys(retracted))

    def clear(self, body_digest: str) -> bool:
        """Remove the count of a request that was completed.

        Returns
        -------
        bool
            Whether there was one.
        """
        return self._entries.pop(body_digest, None) is not None

    def local_count(self, body_digest: str) -> int:
        """Return how many crashes of a request this router has counted."""
        entry = self._entries.get(body_digest)
        return 0 if entry is None else entry.local

    def is_stopped(
        self, body_digest: str, request_id: str, now_s: float
    ) -> bool:
        """Whether the request must not be sent again."""
        entries = (self._entries.get(k) for k in (body_digest, request_id))
        return any(
            entry is not None
            and now_s - entry.last_crash_s < _EXPIRY_S
            and entry.crashes >= self._max_crashes
            for entry in entries
        )

    def merge(
        self,
        peer: str,
        digest: str,
        crashes: int,
        *,
        age_s: float,
        now_s: float,
    ) -> None:
        """Update the count of a peer from its report.

        Parameters
        ----------
        peer : str
            Holder name of the router that counted the crashes; changes with
            each start.
        digest : str
            Body digest or request id.
        crashes : int
            Crashes that the peer counted itself; ignored if less than 1.
        age_s : float
            Time since the peer's last crash.
        now_s : float
        """
        crashed_s = now_s - max(0.0, age_s)
        if crashes < 1 or now_s - crashed_s >= _EXPIRY_S:
            return
        entry = self._touch(digest, crashed_s)
        entry.peers[peer] = max(entry.peers.get(peer, 0), crashes)

    def local_counts(self, now_s: float) -> Iterator[tuple[str, int, float]]:
        """Yield the counts of this router, to report them to peers.

        Those of several crashes come first, then the newest: a report holds
        only some, and each crash breaks many sound requests.

        Yields
        ------
        (str, int, float)
            Body digest or request id, number of crashes, and seconds since
            the last crash.
        """
        self._expire(now_s)
        newest_first = list(reversed(self._entries.items()))
        repeated = (item for item in newest_first if item[1].local > 1)
        single = (item for item in newest_first if item[1].local == 1)
        for key, entry in itertools.chain(repeated, single):
            yield key, entry.local, now_s - entry.last_crash_s

    def __len__(self) -> int:
        return len(self._entries)

    def _touch(self, key: str, crashed_s: float) -> _Entry:
        entry = self._entries.pop(key, None)
        if entry is None or crashed_s - entry.last_crash_s >= _EXPIRY_S:
            entry = _Entry(crashed_s)
        entry.last_crash_s = max(entry.last_crash_s, crashed_s)
        self._entries[key] = entry
        while len(self._entries) > self._max_entries:
            del self._entries[next(iter(self._entries))]
        return entry

    def _expire(self, now_s: float) -> None:
        expired = [
            key
            for key, entry in self._entries.items()
            if now_s - entry.last_crash_s >= _EXPIRY_S
        ]
        for key in expired:
            del self._entries[key]
