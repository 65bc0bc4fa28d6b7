"""Time of day by which a majority of routers agrees.

The clock of one machine may jump, and a machine that lost power counts from
anew. The median of all routers' clocks is right as long as fewer than half of
them jump together.
"""

from __future__ import annotations

import statistics

# Clocks that agree differ by less than this; datagrams take a few ms.
AGREEMENT_MS = 200
# A clock that was not heard of for this long does not count.
_MAX_AGE_S = 1.0
_MIN_CLOCKS = 3


class FleetClock:
    """Offsets of other routers' clocks from the own one.

    Examples
    --------
    >>> clock = FleetClock()
    >>> for router in ('a', 'b', 'c'):
    ...     clock.record(router, their_ms=5_002_000, own_ms=5_000_000, now_s=0)
    >>> clock.time_ms(own_ms=5_000_000, known=3, now_s=0.5)
    5002000
    """

    __slots__ = ('_offsets',)

    def __init__(self) -> None:
        self._offsets: dict[str, tuple[float, float]] = {}

    def record(
        self, router: str, *, peer_ms: int, local_ms: int, now_s: float
    ) -> None:
        """Take the clock of another router.

        Parameters
        ----------
        router : str
        peer_ms, local_ms : int
            Both clocks when the router's datagram arrived.
        now_s : float
        """
        self._offsets[router] = peer_ms - local_ms, now_s

    def time_ms(
        self, *, local_ms: int, registered_routers: int, now_s: float
    ) -> int | None:
        """Return the time by a majority's agreement, if there is one.

        Parameters
        ----------
        local_ms : int
        registered_routers : int
            Other routers that are registered, live or not.
        now_s : float
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
