"""Time of day on which a majority of routers agrees.

The clock of one machine may jump, and its boot-time clock starts from zero
after a power failure. The median of all routers' clocks is correct as long as
fewer than half of them jump together. Offsets are relative to the local
boot-time clock, which does not jump: relative to the local time of day, a jump
of this machine's clock moved the result by as much until all routers had sent
another datagram.
"""

from __future__ import annotations

import statistics

# Clocks agree if they differ by less than this; datagrams take a few ms.
AGREEMENT_MS = 200
# A clock whose last datagram is older than this is ignored. 350 routers hear
# from each other every 2.2 s.
_MAX_AGE_S = 3.0
_MIN_CLOCKS = 3


class FleetClock:
    """Offsets of routers' times of day from the local boot-time clock.

    Examples
    --------
    >>> clock = FleetClock()
    >>> for peer in ('a', 'b', 'c'):
    ...     clock.record(peer, peer_ms=5_002_000, boot_ms=7_000, now_s=0)
    >>> clock.boot_offset_ms(
    ...     wall_ms=5_000_500, boot_ms=7_500, registered_routers=3, now_s=0.5
    ... )
    4995000
    """

    __slots__ = ('_offsets',)

    def __init__(self) -> None:
        self._offsets: dict[str, tuple[float, float]] = {}

    def record(
        self, router: str, *, peer_ms: int, boot_ms: int, now_s: float
    ) -> None:
        """Record the offset of another router's clock.

        Parameters
        ----------
        router : str
        peer_ms : int
            Unix time by the clock of that router, as stated in its datagram.
        boot_ms : int
            Time by the local boot-time clock when the datagram arrived.
        now_s : float
            Present time by a monotonic clock.
        """
        self._offsets[router] = peer_ms - boot_ms, now_s

    def boot_offset_ms(
        self,
        *,
        wall_ms: int,
        boot_ms: int,
        registered_routers: int,
        now_s: float,
    ) -> int | None:
        """Return the agreed time of day minus the local boot-time clock.

        Parameters
        ----------
        wall_ms, boot_ms : int
            Present Unix time and time since boot by the local clocks.
        registered_routers : int
            Number of other routers that are registered, live or not.
        now_s : float
            Present time by a monotonic clock.

        Returns
        -------
        int or None
            Milliseconds. None if no majority agrees, or fewer than three
            clocks are known, including the local one.
        """
        offsets = [
            offset
            for offset, received_s in self._offsets.values()
            if now_s - received_s < _MAX_AGE_S
        ]
        offsets.append(wall_ms - boot_ms)
        if len(offsets) < _MIN_CLOCKS:
            return None
        median = statistics.median(offsets)
        agreeing = sum(abs(o - median) < AGREEMENT_MS for o in offsets)
        if 2 * agreeing <= registered_routers + 1:
            return None
        return round(median)
