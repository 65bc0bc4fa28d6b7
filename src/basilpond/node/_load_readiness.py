"""Readiness of a router under its own load, with its log lines."""

from __future__ import annotations

from collections.abc import Callable

from ..routing.capacity import Readiness
from ..routing.capacity import RouterLoad
from ._decision_log import DecisionLog

# Time after which the load balancer leads new connections elsewhere: two
# polls, a second apart, and a third in part.
_LED_AWAY_S = 3.0


class LoadReadiness:
    """Decides whether the load balancer should lead callers elsewhere.

    Parameters
    ----------
    load : RouterLoad
    count_peers : callable
        Returns the number of other live routers of the data centre, and of
        those that are full.
    decisions : DecisionLog
    """

    def __init__(
        self,
        load: RouterLoad,
        count_peers: Callable[[], tuple[int, int]],
        decisions: DecisionLog,
    ) -> None:
        self._load = load
        self._count_peers = count_peers
        self._decisions = decisions
        self._readiness = Readiness()
        self._out_since_s = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the router was ready at the last update."""
        return self._readiness.is_ready

    def leads_elsewhere(self, now_s: float) -> bool:
        """Whether new connections of callers reach other routers."""
        return not self.is_ready and now_s - self._out_since_s >= _LED_AWAY_S

    @property
    def states_full(self) -> bool:
        """Whether reports to the peers say that the router is full."""
        return self._readiness.states_full

    def update(self, now_s: float) -> bool:
        """Return whether the router is ready, and log a change."""
        was_ready = self._readiness.is_ready
        peers, full_peers = self._count_peers()
        ready = self._readiness.update(
            self._load.is_full(now_s),
            peers=peers,
            full_peers=full_peers,
            now_s=now_s,
        )
        if was_ready and not ready:
            self._out_since_s = now_s
            self._decisions.event(
                'router_not_ready',
                reason=self._load.full_reason,
                peers=peers,
                full_peers=full_peers,
                incoming_share=round(self._load.incoming.used_share(now_s), 3),
            )
        elif ready and not was_ready:
            self._decisions.event(
                'router_ready_again',
                for_s=round(now_s - self._out_since_s, 3),
                peers=peers,
                full_peers=full_peers,
            )
        return ready
