"""State of a router as shown to operators, and their commands."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

from ..core import Decision
from ._router_view import RouterView

PAGE_BYTES = 4096


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open('/proc/self/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


class RouterState:
    """Collects the state of all tasks of a router; implements `StateSource`.

    Parameters
    ----------
    router : RouterView
    """

    def __init__(self, router: RouterView) -> None:
        self.router = router

    def ready(self) -> bool:
        """Return whether the load balancer may send requests."""
        return self.router.ready

    def state(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        router = self.router
        section = router.settings.router
        return {
            'router_id': section.id,
            'incarnation_id': router.incarnation,
            'data_centre': section.data_centre,
            'ready': router.ready,
            'draining': router.draining,
            'manifest_version': router.config_task.version,
            'log_reachable': router.ledger_task.log_reachable,
            'open_requests': router.gateway.open_requests,
            'queued_requests': len(router.dispatcher.queue),
            'resident_bytes': resident_bytes(),
            'members': [self._member(item) for item in router.gossip.live()],
            'budgets': list(self._budgets()),
            'endpoints': list(self._endpoints()),
        }

    def explain(self, request_id: str) -> list[dict[str, Any]] | None:
        """Return the decisions on a request, or `None` if it is unknown."""
        decisions: list[Decision] | None
        decisions = self.router.request_log.history.explain(request_id)
        if decisions is None:
            return None
        return [dataclasses.asdict(decision) for decision in decisions]

    def drain(self, endpoint: str) -> bool:
        """Stop sending new requests to an endpoint; return if it is known."""
        return self.router.endpoints.set_drained(endpoint, True)

    def undrain(self, endpoint: str) -> bool:
        """Allow new requests to an endpoint; return whether it is known."""
        return self.router.endpoints.set_drained(endpoint, False)

    def _member(self, member: Any) -> dict[str, Any]:
        return {
            'incarnation_id': member.incarnation_id,
            'data_centre': member.data_centre,
            'address': f'{member.host}:{member.port}',
            'operator_address': f'{member.host}:{member.operator_port}',
            'manifest_version': member.manifest_version,
            'ready': member.ready,
        }

    def _budgets(self) -> Any:
        ledger = self.router.ledger_task.ledger
        for organisation in sorted(ledger.organisations()):
            view = ledger.budget(organisation)
            yield {
                'organisation': organisation,
                'budget_tokens': view.budget_tokens,
                'spent_tokens': view.spent_tokens,
                'outstanding_tokens': view.outstanding_tokens,
                'free_tokens': view.free_tokens,
                'free_here_tokens': self.router.budget.free_tokens(
                    organisation
                ),
            }

    def _endpoints(self) -> Any:
        table = self.router.table
        now_s = asyncio.get_running_loop().time()
        manifest = self.router.config_task.manifest
        for endpoint in manifest.endpoints if manifest else ():
            name = endpoint.id
            yield {
                'endpoint': name,
                'data_centre': endpoint.data_centre,
                'in_flight': table.in_flight(name),
                'limit': table.limit(name),
                'leaving': table.is_leaving(name, now_s),
                'ejected': table.ejection.is_ejected(name, now_s),
                'traffic_share': table.quarantine.traffic_share(name, now_s),
            }
