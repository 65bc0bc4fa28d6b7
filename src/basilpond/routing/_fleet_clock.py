"""Time of day on which a majority of routers agrees.

The clock of one machine may jump, and its boot-time clock starts from zero
after a power failure. The median of all routers' clocks is correct as long as
fewer than half of them jump together.
"""

from __future__ import annotations

import statistics

# Clocks agree if they differ by less than this; datagrams take a few ms.
AGREEMENT_MS = 200
# A clock whose last datagram is older than this is ignored.
_MAX_AGE_S = 1.0
_MIN_CLOCKS = 3


class FleetClock:
    """Offsets of other routers' clocks from the local clock.

    Examples
    --------
    >>> clock = FleetClock()
    >>> for peer in ('a', 'b', 'c'):
    ...     clock.record(peer, peer_ms=5_002_000, local_ms=5_000_000, now_s=0)
    >>> clock.time_ms(local_ms=5_000_000, registered_routers=3, now_s=0.5)
    5002000
    """

    __slots__ = ('_offsets',)

    def __init__(self) -> None:
        self._offsets: dict[str, tuple[float, float]] = {}

    def record(
        self, router: str, *, peer_ms: int, local_ms: int, now_s: float
    ) -> None:
        """Record the offset of another router's clock.

        Parameters
        ----------
        router : str
        peer_ms, local_ms : int
            Unix time by the clock of that router, as stated in its datagram,
            and by the local clock when the datagram arrived.
        now_s : float
            Present time by a monotonic clock.
        """
        self._offsets[router] = peer_ms - local_ms, now_s

    def time_ms(
        self, *, local_ms: int, registered_routers: int, now_s: float
    ) -> int | None:
        """Return the time of day on which a majority of routers agrees.

        Parameters
        ----------
        local_ms : int
            Unix time by the local clock.
        registered_routers : int
            Number of other routers that are registered, live or not.
        now_s : float
            Present time by a monotonic clock.

        Returns
        -------
        int or None
            Unix time in milliseconds. None if no majority agrees, or fewer
            than three clocks are known, including the local one.
        """
        offsets = [
            offset
            for offset, received_s in self._offsets.values()
            if now_s - received_s < _MAX_AGE_S
        ]
        offsets.append(0.0)
        if len(offsets) < _MIN_CLOCKS:
            return None
        median = statistics.median(offsets)
        agreeing = sum(abs(o - median) < AGREEMENT_MS for o in offsets)
        if 2 * agreeing <= registered_routers + 1:
            return None
        return local_ms + round(median)
