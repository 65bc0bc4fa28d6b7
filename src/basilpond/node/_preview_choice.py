"""Endpoints that would be compared for a request, read without any effect."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from ..routing import ClosedEndpoints
from ..routing import ColdEndpoints
from ..routing import EndpointLimits
from ..routing import EndpointLoad
from ..routing import QuietEndpoints
from ..routing import Reachability
from ..routing import Route
from ..routing import order_endpoints
from ..routing import prefill_cost
from ..routing import prompt_prefixes
from ..routing import sample_loads
from ._brittle_endpoints import BrittleEndpointWatch
from ._budgets import BudgetTask
from ._configuration_currency import ConfigurationCurrency
from ._directory import ConfigurationState
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._endpoint_choice import LIMIT_WAIT_SHARE
from ._endpoint_choice import admitting_entries
from ._endpoint_choice import lone_versions
from ._endpoint_returns import EndpointReturns
from ._preview_outcome import Answer
from ._preview_outcome import Outcome
from ._preview_outcome import seconds
from ._preview_query import PreviewQuery
from ._router_overload import RouterOverload
from ._stream_versions import StreamVersions


@dataclasses.dataclass(slots=True, frozen=True)
class PreviewSources:
    """State of the router that a preview reads."""

    node_id: str
    data_centre: str
    configuration: ConfigurationState
    currency: ConfigurationCurrency
    directory: EndpointDirectory
    budgets: BudgetTask
    limits: EndpointLimits
    brittle: BrittleEndpointWatch
    quiet: QuietEndpoints
    cold: ColdEndpoints
    returns: EndpointReturns
    reachability: Reachability
    versions: StreamVersions
    overload: RouterOverload
    rng: random.Random


class EndpointPreview:
    """Endpoints of a service, as a request would find them now.

    Parameters
    ----------
    sources : PreviewSources
    route : Route
    service : str
    query : PreviewQuery
    """

    def __init__(
        self,
        sources: PreviewSources,
        route: Route,
        service: str,
        query: PreviewQuery,
    ) -> None:
        self._sources = sources
        self._route = route
        self._service = service
        self._query = query
        self._now_s = asyncio.get_running_loop().time()
        self._longest_wait_s = route.longest_wait_s(route.timeout_s)
        self._prefixes = prompt_prefixes(query.parts)
        self._entries = sources.directory.listed(service)
        self._cold = sources.cold.snapshot(
            entry.incarnation_number for entry in self._entries
        )
        self._closed = ClosedEndpoints(sources.quiet, self._cold)
        speeds = sources.directory.speeds.snapshot(service)
        self._loads = {
            entry.endpoint.id: entry.load.snapshot(speeds)
            for entry in self._entries
        }
        self._candidates = [
            entry
            for entry in sources.directory.candidates(service)
            if self._admits_version(entry)
        ]
        self._open = [
            entry
            for entry in self._candidates
            if self._closed.is_open(entry.incarnation_number, self._now_s)
        ]

    def check_open(self, outcome: Outcome) -> None:
        """Record in an outcome that no endpoint may get a request now."""
        sources = self._sources
        if not self._candidates:
            reason = 'no endpoint'
            if sources.directory.candidates(self._service):
                reason = 'no endpoint of a registered version'
            elif sources.directory.has_evacuated(self._service):
                reason = 'data centre evacuated'
            outcome.refuse(503, reason)
        elif not self._open:
            numbers = [e.incarnation_number for e in self._candidates]
            wait_s = min(
                self._closed.wait_s(number, self._now_s) for number in numbers
            )
            reason = self._closed.reason(numbers, self._now_s)
            longest_s = min(self._route.objective_s, self._longest_wait_s)
            _wait_or_refuse(outcome, reason, wait_s, longest_s)
        elif sources.returns.waiting_for(self._service):
            outcome.wait('other requests wait for endpoints', None)

    def compare(
        self, rng: random.Random, outcome: Outcome
    ) -> tuple[list[Answer], list[Answer]]:
        """Return all endpoints, and those compared in order of preference."""
        sources = self._sources
        pool = admitting_entries(
            self._open,
            [],
            sources.limits,
            sources.brittle,
            sources.reachability,
            self._now_s,
        )
        if self._open and not pool:
            wait_s = min(
                max(
                    sources.limits.wait_s(
                        entry.incarnation_number, self._now_s
                    ),
                    sources.brittle.wait_s(entry, self._now_s),
                )
                for entry in self._open
            )
            longest_s = min(
                LIMIT_WAIT_SHARE * self._route.objective_s,
                self._longest_wait_s,
            )
            reason = 'limits of all endpoints reached'
            _wait_or_refuse(outcome, reason, wait_s, longest_s)
        is_stream = self._route.continues_streams
        rated = order_endpoints(
            sample_loads(
                [self._loads[entry.endpoint.id] for entry in pool],
                self._prefixes,
                rng,
                self._now_s,
            ),
            prompt_tokens=self._query.prompt_tokens,
            prefixes=self._prefixes,
            data_centre=sources.data_centre,
            reachability=sources.reachability,
            now_s=self._now_s,
            rng=rng,
            lone_versions=lone_versions(pool) if is_stream else (),
        )
        avoided = {item.load.endpoint.id: item.ejected for item in rated}
        endpoints = []
        for entry in self._entries:
            endpoint_id = entry.endpoint.id
            reasons = self._exclusions(entry)
            if not reasons and entry not in pool:
                reasons.append(_reason('limit of another endpoint is probed'))
            elif not reasons and endpoint_id not in avoided:
                reasons.append(_reason('not in the sample of this choice'))
            if avoided.get(endpoint_id, True):
                reasons += self._avoidances(entry)
            endpoints.append({**self._describe(entry), 'excluded': reasons})
        compared = [
            {
                'endpoint': item.load.endpoint.id,
                'cost_s': seconds(item.cost_s),
                'forecast_s': seconds(item.forecast_s),
                'avoided': item.ejected,
            }
            for item in rated
        ]
        return endpoints, compared

    def _admits_version(self, entry: EndpointEntry) -> bool:
        return (
            not self._route.continues_streams
            or self._sources.versions.may_begin(entry.endpoint)
        )

    def _exclusions(self, entry: EndpointEntry) -> list[Answer]:
        # Why an endpoint gets no request at all now.
        sources = self._sources
        now_s = self._now_s
        number = entry.incarnation_number
        reasons = []
        if entry.endpoint.leaving:
            reasons.append(_reason('leaving'))
        if sources.directory.is_evacuated(entry):
            reasons.append(_reason('evacuated'))
        if not self._admits_version(entry):
            reasons.append(_reason('version'))
        if not sources.quiet.is_open(number, now_s):
            wait_s = sources.quiet.quiet_left_s(number, now_s)
            reasons.append(
                _reason('quiet', wait_s)
                if wait_s
                else _reason('quiet, another request tries it')
            )
        for reason, wait_s in (
            ('cold', self._cold.wait_s(number, now_s)),
            ('limit', sources.limits.wait_s(number, now_s)),
            ('brittle', sources.brittle.wait_s(entry, now_s)),
        ):
            if wait_s:
                reasons.append(_reason(reason, wait_s))
        return reasons

    def _avoidances(self, entry: EndpointEntry) -> list[Answer]:
        # Why all others are preferred.
        load = entry.load
        data_centre = entry.endpoint.data_centre
        reasons = []
        if load.is_ejected(self._now_s):
            reasons.append(_reason('ejected after a failed connection'))
        if load.outlier.is_ejected(self._now_s):
            reasons.append(_reason('ejected for broken requests'))
        if self._sources.reachability.is_avoided(data_centre, self._now_s):
            reasons.append(_reason('data centre unreachable'))
        return reasons

    def _describe(self, entry: EndpointEntry) -> Answer:
        load: EndpointLoad = self._loads[entry.endpoint.id]
        tokens = self._query.prompt_tokens
        cached = load.cache.cached_tokens(self._prefixes[:-1], self._now_s)
        cost = prefill_cost(tokens, cached) if tokens else 0.0
        return {
            'endpoint': entry.endpoint.id,
            'data_centre': entry.endpoint.data_centre,
            'version': entry.endpoint.version,
            'forecast_s': seconds(load.forecast_s(cost, self._now_s)),
            'tokens_per_s': round(load.tokens_per_s(self._now_s)),
            # Of the request, and unfinished at the endpoint.
            'work': round(cost),
            'pending_work': round(load.pending_prefill_cost),
            'cached_tokens': cached,
            'running': load.running,
            'slots': entry.endpoint.slots,
        }


def _reason(text: str, wait_s: float | None = None) -> Answer:
    # An infinite wait: this router has no share.
    return {'reason': text, 'wait_s': seconds(wait_s)}


def _wait_or_refuse(
    outcome: Outcome, reason: str, wait_s: float, longest_s: float
) -> None:
    if wait_s <= longest_s:
        outcome.wait(reason, wait_s)
    else:
        outcome.refuse(503, reason)
