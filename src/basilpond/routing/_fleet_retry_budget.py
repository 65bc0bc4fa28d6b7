"""Limit on retries at endpoints, as a share of a service's requests."""

from __future__ import annotations

from collections import deque

# Part of the fleet's allowance that routers use, as their windows do not begin
# at the same time.
_SAFETY = 0.8


class FleetRetryBudget:
    """Retries allowed in a sliding window, for one service.

    Each router limits its own retries so that the whole fleet keeps to the
    limit. Routers that are killed have used their part of the slack, which
    nobody remembers: a router that starts has none for a window, and those
    that go on divide it by the most routers that were live in the window.
    After a kill of all routers, 115 to 118 retries of 98 allowed were sent.
    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds.

    Parameters
    ----------
    share : float
        Retries per request of callers, over the whole fleet.
    slack : float
        Retries allowed beyond the share in a window, over the whole fleet.
    window_s : float
        Length of the window.
    started_s : float
        When the router started; the slack is used a window later.
    """

    __slots__ = (
        '_live',
        '_requests',
        '_retries',
        '_share',
        '_slack',
        '_started_s',
        '_window_s',
    )

    def __init__(
        self,
        share: float,
        slack: float,
        window_s: float,
        started_s: float = float('-inf'),
    ) -> None:
        self._share = share
        self._slack = slack
        self._window_s = window_s
        self._started_s = started_s
        # Numbers of live routers and when each was last seen, from the
        # largest number to the newest.
        self._live: deque[tuple[int, float]] = deque()
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def update_settings(
        self, share: float, slack: float, window_s: float
    ) -> None:
        """Replace the parameters given to the constructor."""
        self._share = share
        self._slack = slack
        self._window_s = window_s

    def record_request(self, now_s: float, routers: int) -> None:
        """Record a request of a caller, and the number of live routers."""
        self._requests.append(now_s)
        self._expire(now_s)
        self._most_live(routers, now_s)

    def try_retry(self, now_s: float, routers: int) -> bool:
        """Record a retry if the budget allows it.

        Parameters
        ----------
        now_s : float
        routers : int
            Number of live routers, which share the slack.

        Returns
        -------
        bool
            Whether the request may be sent again.
        """
        if not self.has_budget(now_s, routers):
            return False
        self._retries.append(now_s)
        return True

    def has_budget(self, now_s: float, routers: int) -> bool:
        """Whether the budget allows a retry; does not record it."""
        self._expire(now_s)
        slack = 0.0
        if now_s - self._started_s >= self._window_s:
            slack = self._slack / self._most_live(routers, now_s)
        allowed = _SAFETY * (self._share * len(self._requests) + slack)
        return len(self._retries) + 1 <= allowed

    def _most_live(self, routers: int, now_s: float) -> int:
        while self._live and self._live[-1][0] <= routers:
            self._live.pop()
        self._live.append((max(1, routers), now_s))
        return self._live[0][0]

    def _expire(self, now_s: float) -> None:
        start_s = now_s - self._window_s
        while self._live and self._live[0][1] < start_s:
            self._live.popleft()
        for times in (self._requests, self._retries):
            while times and times[0] < start_s:
                times.popleft()
