"""Metrics that are sampled periodically from the router's state."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ..core import Member
from ..core import MemberState
from ..telemetry import Metrics
from ._router_view import RouterView

INTERVAL_S = 5.0


class MetricsTask:
    """Sends the gauges of a router, and counts derived from its state.

    Parameters
    ----------
    router : RouterView
    metrics : Metrics
    interval_s : float
    """

    def __init__(
        self,
        router: RouterView,
        metrics: Metrics,
        interval_s: float = INTERVAL_S,
    ) -> None:
        self.router = router
        self.metrics = metrics
        self.interval_s = interval_s
        self._dead: set[str] = set()
        self._malformed = 0

    async def run(self) -> None:
        """Send every `interval_s` until cancelled."""
        self.router.gossip.members.subscribe(self._count_lost)
        while True:
            self.send()
            await asyncio.sleep(self.interval_s)

    def send(self) -> None:
        """Send all gauges, and new malformed messages, once."""
        router = self.router
        gauge = self.metrics.gauge
        ledger = router.ledger_task.ledger
        gauge('requests.in_progress', router.gateway.open_requests)
        gauge('log.offset', ledger.offset)
        gauge('manifest.version', router.config_task.version)
        gauge('members.alive', len(router.gossip.live()))
        views = map(ledger.budget, ledger.organisations())
        gauge(
            'tokens.overspend',
            sum(max(0, v.spent_tokens - v.budget_tokens) for v in views),
        )
        self._send_endpoints()
        self._send_malformed()

    def _send_endpoints(self) -> None:
        router = self.router
        now_s = asyncio.get_running_loop().time()
        manifest = router.config_task.manifest
        names = [item.id for item in manifest.endpoints] if manifest else []
        table = router.table
        self.metrics.gauge(
            'endpoints.ejected',
            sum(table.ejection.is_ejected(name, now_s) for name in names),
        )
        self.metrics.gauge(
            'endpoints.quarantined',
            sum(
                table.quarantine.traffic_share(name, now_s) < 1
                for name in names
            ),
        )

    def _send_malformed(self) -> None:
        malformed = (
            self.router.gossip.malformed_datagrams
            + self.router.peer_server.malformed_frames
        )
        if malformed > self._malformed:
            self.metrics.count('peers.malformed', malformed - self._malformed)
            self._malformed = malformed

    def _count_lost(self, members: Iterable[Member]) -> None:
        dead = {
            member.incarnation_id
            for member in members
            if member.state == MemberState.DEAD
        }
        if dead - self._dead:
            self.metrics.count('members.lost', len(dead - self._dead))
        self._dead = dead
