"""Limit on the account records that no waiting request requires.

Designed for many routers that share many small budgets. Each router reads the
account records of all others, and the size of an account depends on the state
of all of them, so one change leads to further changes. Of 84 routers with 24
budgets, two whose logs were read wrote up to 106 records a second each.
"""

from __future__ import annotations

# Records per second that all routers together may write without demand, so
# that the cost of reading them does not grow with the number of routers.
FLEET_REWRITES_PER_S = 240.0
# Records that a router may write at once: its initial allotments, or the
# changes after a pause.
MAX_BURST = 24.0


class RewriteLimit:
    """Token bucket for the account records of one router.

    Examples
    --------
    >>> limit = RewriteLimit()
    >>> limit.refill(routers=240, boot_ms=0)
    >>> sum(limit.try_take() for _ in range(100))
    24
    >>> limit.refill(routers=240, boot_ms=2000)
    >>> sum(limit.try_take() for _ in range(100))
    2
    """

    __slots__ = ('_available', '_refilled_ms')

    def __init__(self) -> None:
        self._available = MAX_BURST
        self._refilled_ms: int | None = None

    def refill(self, *, routers: int, boot_ms: int) -> None:
        """Add this router's share of the fleet's records.

        Parameters
        ----------
        routers : int
            Number of live routers, including this one.
        boot_ms : int
            Present time, as in `ClockReading.boot_ms`.
        """
        if self._refilled_ms is not None:
            elapsed_s = max(0, boot_ms - self._refilled_ms) / 1000
            share_per_s = FLEET_REWRITES_PER_S / max(1, routers)
            self._available = min(
                MAX_BURST, self._available + elapsed_s * share_per_s
            )
        self._refilled_ms = boot_ms

    def try_take(self) -> bool:
        """Take one record, if the limit allows it."""
        if self._available < 1:
            return False
        self._available -= 1
        return True
