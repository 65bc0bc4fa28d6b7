"""Processing of one request: route, token hold, endpoints and response."""

from __future__ import annotations

import asyncio
import math
import random
import traceback

from ..http1 import CallerRequest
from ..http1 import Responder
from ..routing import MAX_CONNECTS
from ..routing import Choice
from ..routing import CrashCounter
from ..routing import CrashingParts
from ..routing import EndpointLimits
from ..routing import EventTokens
from ..routing import FleetRetryBudget
from ..routing import QuietEndpoints
from ..routing import Reachability
from ..routing import RequestMetadata
from ..routing import SendResult
from ..routing import choose_endpoint
from ..routing import choose_service
from ..routing import guarantees_not_run
from ..routing import may_send_again
from ..routing import prefill_cost
from ..routing import sample_loads
from ..routing import tokens_retry_s
from ._admission import AdmissionTask
from ._brittle_endpoints import BrittleEndpointWatch
from ._budgets import BudgetTask
from ._budgets import HoldRejection
from ._cold_endpoints import ColdEndpointWatch
from ._configuration_currency import ConfigurationCurrency
from ._crash_log import CrashLog
from ._decision_log import DecisionLog
from ._directory import ConfigurationState
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._endpoint_choice import LIMIT_WAIT_SHARE
from ._endpoint_choice import admitting_entries
from ._endpoint_choice import lone_versions
from ._endpoint_choice import within_limits
from ._endpoint_returns import EndpointReturns
from ._endpoint_signals import SignalRecorder
from ._interfaces import NodeSettings
from ._interfaces import PlatformCodec
from ._interfaces import RequestMetadataError
from ._metrics import NodeMetrics
from ._peers import PeerTask
from ._preview import RequestPreview
from ._preview_choice import PreviewSources
from ._request_context import RefusedError
from ._request_context import RequestContext
from ._route_lookup import RouteLookup
from ._router_overload import RouterOverload
from ._send_outcome import SendOutcome
from ._sending import Sender
from ._stream_versions import StreamVersions
from .relay import EndpointConnections

# The caller's next attempt is routed to another router.
_STOPPING_RETRY_S = 0.1
# Time after which a service without endpoints may have an endpoint again.
_NO_ENDPOINT_RETRY_S = 0.5
# A stream whose version serves no more can begin anew at once.
_NO_VERSION_RETRY_S = 0.1
# Time in which endpoints that rejected a request drain their queues.
_BUSY_RETRY_S = 0.3
# Longest retry interval while the limits of all endpoints are reached; another
# router may have a share that this one lacks.
_LIMIT_RETRY_S = 1.0
# Retry interval for a request that crashed several endpoints.
_POISON_RETRY_S = 30.0


class Dispatcher:
    """Admits callers' requests and sends them to endpoints.

    Parameters
    ----------
    settings : NodeSettings
    codec : PlatformCodec
    configuration : ConfigurationState
    currency : ConfigurationCurrency
    directory : EndpointDirectory
    budgets : BudgetTask
    peers : PeerTask
    crashes : CrashCounter
    crash_log : CrashLog
    parts : CrashingParts
    limits : EndpointLimits
    versions : StreamVersions
    overload : RouterOverload
    cold : ColdEndpointWatch
    connections : EndpointConnections
    metrics : NodeMetrics
    decisions : DecisionLog
    rng : random.Random
    """

    def __init__(
        self,
        settings: NodeSettings,
        codec: PlatformCodec,
        configuration: ConfigurationState,
        currency: ConfigurationCurrency,
        directory: EndpointDirectory,
        budgets: BudgetTask,
        peers: PeerTask,
        crashes: CrashCounter,
        crash_log: CrashLog,
        parts: CrashingParts,
        limits: EndpointLimits,
        versions: StreamVersions,
        overload: RouterOverload,
        cold: ColdEndpointWatch,
        connections: EndpointConnections,
        metrics: NodeMetrics,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._currency = currency
        self._lookup = RouteLookup(configuration, currency)
        self._directory = directory
        self._budgets = budgets
        self._peers = peers
        self._crashes = crashes
        self._parts = parts
        self._limits = limits
        self._versions = versions
        self._overload = overload
        self._metrics = metrics
        self._decisions = decisions
        self._rng = rng
        self._reachability = Reachability()
        self._quiet = QuietEndpoints()
        self._returns = EndpointReturns(
            self._quiet, directory, decisions, peers.live_routers, rng, cold
        )
        self.admission = AdmissionTask(
            configuration,
            directory,
            self._returns.is_open,
            peers.live_routers,
            metrics,
            decisions,
            rng,
            lambda: peers.report_interval_s,
            enabled=settings.admission_control,
        )
        self._cold = cold
        cold.is_unreachable = self._reachability.is_avoided
        signals = SignalRecorder(
            codec, directory, self._quiet, decisions, self._returns.wake_up
        )
        signals.on_cold = cold.record_response
        self.brittle = BrittleEndpointWatch(peers, directory, decisions)
        signals.on_brittle = self.brittle.record_response
        self.sender = Sender(
            codec,
            directory,
            peers,
            crash_log,
            parts,
            limits,
            self._quiet,
            signals,
            self._reachability,
            versions,
            overload,
            cold,
            connections,
            decisions,
        )
        self._crash_log = crash_log
        connections.on_isolated = self._forget_failures
        self.preview = RequestPreview(
            PreviewSources(
                settings.node_id,
                settings.data_centre,
                configuration,
                currency,
                directory,
                budgets,
                limits,
                self.brittle,
                self._quiet,
                cold.state,
                self._returns,
                self._reachability,
                versions,
                overload,
                rng,
            ),
            lambda: self._refusing,
            admission_control=settings.admission_control,
        )
        self._retry_budgets: dict[str, FleetRetryBudget] = {}
        # At the first start of the fleet, nobody has used retries before.
        self._started_s = float('-inf')
        if not settings.is_first_start:
            self._started_s = asyncio.get_running_loop().time()
        self._event_tokens = EventTokens()
        self._refusing = False
        # Time by which all requests end because the router stops.
        self._end_by_s = math.inf
        self._contexts: set[RequestContext] = set()
        # Requests that a stop ended while an endpoint may have run them.
        self.interrupted = 0

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed settings."""
        self._settings = settings
        for retry_budget in self._retry_budgets.values():
            retry_budget.update_settings(
                settings.retry_share,
                settings.retry_slack,
                settings.retry_window_s,
            )

    @property
    def quiet_endpoints(self) -> int:
        """Number of endpoints that asked this router for quiet."""
        return self._quiet.count(asyncio.get_running_loop().time())

    @property
    def waiting(self) -> int:
        """Number of requests that wait for the end of a quiet time."""
        return self._returns.waiting

    def _forget_failures(self, since_s: float) -> None:
        # This router was cut off; the endpoints and the requests are sound.
        self._reachability.forget()
        self._crash_log.retract(since_s)

    def announce_stop(self, end_by_s: float) -> None:
        """End all requests by a time, with an answer that tells their state.

        Parameters
        ----------
        end_by_s : float
        """
        self._end_by_s = end_by_s
        for context in self._contexts:
            context.limit_end(end_by_s)

    def refuse_new(self) -> None:
        """Refuse requests that no endpoint may run, while the router stops.

        A request that waits for tokens or endpoints is refused now: sent
        later, it has less time to end, and its caller has less time to send
        it to another router.
        """
        self._refusing = True
        now_s = asyncio.get_running_loop().time()
        for context in self._contexts:
            context.end_unsent(now_s)

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Respond to one request."""
        metadata: RequestMetadata | None = None
        context: RequestContext | None = None
        try:
            try:
                metadata = self._codec.decode_request_metadata(request.headers)
            except RequestMetadataError as error:
                raise RefusedError(400, str(error)) from error
            context = await self._admit(request, responder, metadata)
            context.limit_end(self._end_by_s)
            self._contexts.add(context)
            await self._serve(context)
        except RefusedError as refusal:
            self._refuse(request, responder, metadata, refusal)
        except Exception as error:
            # An unexpected error must not close the connection without a
            # response.
            self._decisions.event(
                'defect',
                request=metadata and metadata.request_id,
                reason=repr(error),
                trace=traceback.format_exc(limit=-4),
            )
            defect = RefusedError(500, 'defect of the router')
            self._refuse(request, responder, metadata, defect)
        finally:
            if context is not None:
                self._contexts.discard(context)
                self._overload.record_end(context)
                self._record_end(context)

    async def _admit(
        self,
        request: CallerRequest,
        responder: Responder,
        metadata: RequestMetadata,
    ) -> RequestContext:
        if self._refusing:
            raise _stop_refusal()
        catalogue, route, organisation = await self._lookup.find(
            request, metadata
        )
        if self._refusing:
            raise _stop_refusal()
        service = choose_service(route, self._rng.random())
        if service is None:
            raise RefusedError(
                503, 'route has no service', _NO_ENDPOINT_RETRY_S
            )
        context = RequestContext(
            request,
            responder,
            metadata,
            route,
            organisation,
            service,
            catalogue.version,
            may_begin=self._versions.may_begin,
        )
        self._overload.admit(context)
        return context

    async def _serve(self, context: RequestContext) -> None:
        loop = asyncio.get_running_loop()
        self._retry_budget(context.service).record_request(
            loop.time(), self._budgets.allotments.routers
        )
        if self._is_poison(context, loop.time()):
            raise RefusedError(
                503, 'crashed several endpoints', _POISON_RETRY_S
            )
        self._check_parts(context, loop.time())
        try:
            async with context.time_limit():
                await self._versions.find(context)
                self._check_endpoints(context)
                self.admission.check(context)
                await self._hold_tokens(context)
                await self._send_until_answered(context)
        except TimeoutError:
            self._end_timed_out(context)
        finally:
            self._charge(context)

    async def _hold_tokens(self, context: RequestContext) -> None:
        tokens = context.metadata.bound_tokens
        if context.organisation is None or not tokens:
            return
        loop = asyncio.get_running_loop()
        name = context.organisation.name
        hold = await self._budgets.hold(
            name, tokens, context.send_by_s - loop.time()
        )
        if isinstance(hold, HoldRejection):
            self._metrics.count_grant(hold.name.lower())
        if hold is HoldRejection.EXHAUSTED:
            raise self._currency.refusal(
                402,
                hold.value,
                **self._budgets.rejection_inputs(name, tokens),
            )
        if isinstance(hold, HoldRejection):
            raise RefusedError(
                503,
                hold.value,
                tokens_retry_s(self._budgets.outage_s),
                **self._budgets.rejection_inputs(name, tokens),
            )
        self._metrics.count_grant('held')
        context.hold = hold

    async def _send_until_answered(self, context: RequestContext) -> None:
        outcome: SendOutcome | None = None
        while True:
            try:
                if self._refusing and not context.possible_runs:
                    raise _stop_refusal()
                self._check_parts(context, asyncio.get_running_loop().time())
                await self._overload.wait_to_send(context)
                entry, choice = await self._choose(context)
            except RefusedError as refusal:
                if outcome is None or not context.possible_runs:
                    raise
                self._decisions.event(
                    'retry_refused',
                    request=context.metadata.request_id,
                    reason=refusal.reason,
                    **refusal.inputs,
                )
                self._respond_failure(context, outcome)
                return
            run_s: float | None = None
            sent_s = asyncio.get_running_loop().time()
            try:
                outcome = await self.sender.send(
                    context,
                    entry,
                    choice,
                    lambda: self._reserve_retry(context),
                )
                if outcome.result is None:
                    run_s = asyncio.get_running_loop().time() - sent_s
            finally:
                self.brittle.record_end(entry, run_s)
            self._metrics.count_send(
                context.service,
                outcome.result.value if outcome.result else 'ok',
            )
            if outcome.result is None:
                return
            if not self._may_retry(context, outcome):
                self._respond_failure(context, outcome)
                return

    async def _choose(
        self, context: RequestContext
    ) -> tuple[EndpointEntry, Choice]:
        picked = context.reserved_retry
        context.reserved_retry = None
        if picked is None or not self._is_usable(context, picked[0]):
            entries = await self.admission.admit(context, self._usable_entries)
            picked = self._pick(context, entries)
        if picked is None:
            raise self._no_endpoint(context)
        entry, choice = picked
        self._decisions.event(
            'sent',
            routine=True,
            request=context.metadata.request_id,
            route=context.route.name,
            version=context.version,
            endpoint=entry.endpoint.id,
            endpoint_version=entry.endpoint.version,
            resumes=context.metadata.resumes,
            events=context.events.count or None,
            forecast_s=round(choice.forecast_s, 4),
            work=round(choice.prefill_cost),
            cached=choice.cached_tokens,
            candidates=choice.candidates,
        )
        return entry, choice

    def _is_usable(
        self, context: RequestContext, entry: EndpointEntry
    ) -> bool:
        now_s = asyncio.get_running_loop().time()
        return entry in self._returns.candidates(
            context
        ) and not self._quiet.is_quiet(entry.incarnation_number, now_s)

    def _pick(
        self, context: RequestContext, entries: list[EndpointEntry]
    ) -> tuple[EndpointEntry, Choice] | None:
        # Takes the place of the request at the endpoint that it returns.
        now_s = asyncio.get_running_loop().time()
        choice = choose_endpoint(
            sample_loads(
                [entry.load for entry in entries],
                context.prompt_prefixes,
                self._rng,
                now_s,
            ),
            prompt_tokens=context.metadata.prompt_tokens,
            prefixes=context.prompt_prefixes,
            data_centre=self._settings.data_centre,
            reachability=self._reachability,
            now_s=now_s,
            rng=self._rng,
            lone_versions=self._lone_versions(context, entries),
        )
        if choice is None:
            return None
        if (
            not context.possible_runs
            and now_s + choice.forecast_s > context.end_by_s
        ):
            raise _stop_refusal()
        entry = self._directory.find(choice.load.endpoint.id)
        assert entry is not None
        self._limits.record_sent(entry.incarnation_number, now_s)
        self._quiet.record_sent(entry.incarnation_number, now_s)
        self._cold.record_sent(entry.incarnation_number, now_s)
        self.brittle.record_sent(entry, now_s)
        return entry, choice

    def _lone_versions(
        self, context: RequestContext, entries: list[EndpointEntry]
    ) -> set[str]:
        # Versions at which a stream had better not begin.
        if not context.route.continues_streams or context.stream_version:
            return set()
        return lone_versions(entries)

    def _check_endpoints(self, context: RequestContext) -> None:
        if not self._returns.candidates(context):
            raise self._no_endpoint(context)
        self._returns.check(context)

    def _no_endpoint(self, context: RequestContext) -> RefusedError:
        others = self._directory.candidates(context.service)
        reason, retry_s = 'no endpoint', _NO_ENDPOINT_RETRY_S
        if others and context.stream_version is None:
            reason = 'no endpoint of a registered version'
        elif others:
            reason, retry_s = 'no endpoint of the version', _NO_VERSION_RETRY_S
        elif self._directory.has_evacuated(context.service):
            reason = 'data centre evacuated'
        return RefusedError(
            503,
            reason,
            retry_s,
            service=context.service,
            stream_version=context.stream_version,
            versions=sorted({entry.endpoint.version for entry in others}),
            store_age_s=round(self._budgets.outage_s, 2),
        )

    async def _usable_entries(
        self, context: RequestContext
    ) -> list[EndpointEntry]:
        # Endpoints that are neither quiet nor beyond their limits; none if
        # there are no endpoints.
        while entries := await self._returns.wait(context):
            fresh = [
                entry
                for entry in entries
                if entry.endpoint.id not in context.tried_endpoints
            ]
            if self._limits.is_empty and self.brittle.is_empty:
                return fresh or entries
            entries = await self._choose_within_limits(context, fresh, entries)
            if entries:
                return entries
            # All have become quiet during the wait for a limit.
        return []

    async def _choose_within_limits(
        self,
        context: RequestContext,
        fresh: list[EndpointEntry],
        entries: list[EndpointEntry],
    ) -> list[EndpointEntry]:
        now_s = asyncio.get_running_loop().time()
        self.brittle.record_asked(entries, now_s)
        admitting = admitting_entries(
            fresh,
            entries,
            self._limits,
            self.brittle,
            self._reachability,
            now_s,
        )
        return admitting or await self._wait_for_limit(context)

    async def _wait_for_limit(
        self, context: RequestContext
    ) -> list[EndpointEntry]:
        # Returns an endpoint whose limit admits the request after a wait
        # within which it is still on time; none if there are no endpoints
        # that are not quiet.
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + min(
            LIMIT_WAIT_SHARE * context.route.objective_s,
            context.wait_until_s - loop.time(),
        )
        while entries := self._returns.open_entries(context):
            now_s = loop.time()
            self.brittle.record_asked(entries, now_s)
            wait_s = min(
                max(
                    self._limits.wait_s(entry.incarnation_number, now_s),
                    self.brittle.wait_s(entry, now_s),
                )
                for entry in entries
            )
            if not wait_s:
                return within_limits(
                    entries, self._limits, self.brittle, now_s
                )
            if now_s + wait_s > deadline_s:
                limited = any(
                    self._limits.wait_s(entry.incarnation_number, now_s)
                    for entry in entries
                )
                raise RefusedError(
                    503,
                    'limits of all endpoints reached'
                    if limited
                    else 'all brittle endpoints are full',
                    min(max(wait_s, _BUSY_RETRY_S), _LIMIT_RETRY_S),
                    service=context.service,
                    endpoints=len(entries),
                    routers=self._peers.live_routers(),
                )
            await self.brittle.wait(context.service, wait_s)
        return []

    def _may_retry(
        self, context: RequestContext, outcome: SendOutcome
    ) -> bool:
        assert outcome.result is not None
        now_s = asyncio.get_running_loop().time()
        if outcome.result is SendResult.NOT_SENT:
            # The endpoint received nothing, so the service sees no retry.
            return (
                context.failed_connects < MAX_CONNECTS
                and now_s < context.wait_until_s
            )
        if context.reserved_retry is not None:
            return True
        if not self._permits_retry(context, outcome.result, now_s):
            return False
        if not self._returns.can_send(context):
            self._decisions.event(
                'retry_refused',
                request=context.metadata.request_id,
                reason='no endpoint accepts requests',
                service=context.service,
                stream_version=context.stream_version,
                endpoints=len(self._returns.candidates(context)),
                other_versions=len(self._directory.candidates(context.service))
                - len(self._returns.candidates(context)),
            )
            return False
        retry_budget = self._retry_budget(context.service)
        allowed = retry_budget.try_retry(now_s, self._peers.live_routers())
        if not allowed:
            self._decisions.event(
                'repeat_denied',
                request=context.metadata.request_id,
                service=context.service,
                routers=self._peers.live_routers(),
            )
        return allowed

    def _permits_retry(
        self, context: RequestContext, result: SendResult, now_s: float
    ) -> bool:
        return may_send_again(
            context.route,
            result,
            sends=context.sends,
            possible_runs=context.possible_runs,
        ) and not self._is_poison(context, now_s)

    def _reserve_retry(self, context: RequestContext) -> bool:
        # Called when a response is late. The endpoint may be sound and go on,
        # so its response is given up only for a retry that is certain to be
        # allowed, with a place at an endpoint that is likely to respond in
        # time.
        now_s = asyncio.get_running_loop().time()
        routers = self._peers.live_routers()
        if (
            self._permits_retry(context, SendResult.UNKNOWN, now_s)
            and (alternatives := self._alternatives(context, now_s))
            and self._parts.find_quarantine(
                context.part_keys, routers=routers, now_s=now_s
            )
            is None
            and self._retry_budget(context.service).try_retry(now_s, routers)
        ):
            context.reserved_retry = self._pick(context, alternatives)
        return context.reserved_retry is not None

    def _alternatives(
        self, context: RequestContext, now_s: float
    ) -> list[EndpointEntry]:
        # Endpoints that are likely to begin a late response before its caller
        # leaves.
        patience_s = context.patience_left_s(now_s)
        return [
            entry
            for entry in self._returns.open_entries(context)
            if entry.endpoint.id not in context.tried_endpoints
            and not entry.load.is_avoided(now_s)
            and not entry.load.is_silent(now_s)
            and not self._reachability.is_avoided(
                entry.endpoint.data_centre, now_s
            )
            and not self._limits.wait_s(entry.incarnation_number, now_s)
            and not self.brittle.wait_s(entry, now_s)
            and self._forecast_s(context, entry, now_s) < patience_s
        ]

    def _forecast_s(
        self, context: RequestContext, entry: EndpointEntry, now_s: float
    ) -> float:
        tokens = context.metadata.prompt_tokens
        if not tokens:
            return entry.load.limit_forecast_s(0.0, now_s)
        cached_tokens = entry.load.cache.cached_tokens(
            context.prompt_prefixes[:-1], now_s
        )
        return entry.load.limit_forecast_s(
            prefill_cost(tokens, cached_tokens), now_s
        )

    def _is_poison(self, context: RequestContext, now_s: float) -> bool:
        return self._crashes.is_stopped(context.digest, context.digest, now_s)

    def _check_parts(self, context: RequestContext, now_s: float) -> None:
        quarantine = self._parts.find_quarantine(
            context.part_keys, routers=self._peers.live_routers(), now_s=now_s
        )
        if quarantine is None:
            return
        raise RefusedError(
            503,
            'prompt part crashes endpoints',
            quarantine.remaining_s,
            part=f'{quarantine.part_id:x}',
            crashes=quarantine.crashes,
        )

    def _retry_budget(self, service: str) -> FleetRetryBudget:
        retry_budget = self._retry_budgets.get(service)
        if retry_budget is None:
            retry_budget = self._retry_budgets[service] = FleetRetryBudget(
                self._settings.retry_share,
                self._settings.retry_slack,
                self._settings.retry_window_s,
                self._started_s,
            )
        return retry_budget

    def _respond_failure(
        self, context: RequestContext, outcome: SendOutcome
    ) -> None:
        if context.responder.started:
            context.responder.abort()
        elif outcome.head is not None and not guarantees_not_run(
            outcome.head.status
        ):
            context.responder.respond(
                outcome.head.status,
                self._codec.response_fields(outcome.head),
                outcome.body,
            )
        elif context.possible_runs == 0:
            retry_s = self._returns.retry_s(context) or _BUSY_RETRY_S
            raise RefusedError(503, outcome.reason, retry_s)
        else:
            raise RefusedError(502, outcome.reason)

    def _end_timed_out(self, context: RequestContext) -> None:
        is_stopped = asyncio.get_running_loop().time() >= context.end_by_s
        self.interrupted += is_stopped and context.possible_runs > 0
        if context.responder.started:
            context.responder.abort()
        elif context.possible_runs == 0:
            if self._refusing:
                raise _stop_refusal()
            raise RefusedError(
                503, 'time limit reached before a send', _BUSY_RETRY_S
            )
        elif is_stopped:
            raise RefusedError(504, 'router stops')
        else:
            raise RefusedError(504, 'time limit reached')

    def _charge(self, context: RequestContext) -> None:
        if context.hold is None:
            return
        if context.metadata.last_event_id is None:
            self._event_tokens.record(
                context.service,
                events=context.events.count,
                allowed_tokens=context.metadata.max_output_tokens,
            )
        spent = context.spent_tokens(self._event_tokens.bound(context.service))
        self._budgets.charge(context.hold, spent)
        context.charged_tokens = spent

    def _refuse(
        self,
        request: CallerRequest,
        responder: Responder,
        metadata: RequestMetadata | None,
        refusal: RefusedError,
    ) -> None:
        self._decisions.event(
            'refused',
            request=metadata.request_id if metadata else None,
            target=request.target,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            **refusal.inputs,
        )
        self._metrics.count_refusal(refusal.status, refusal.label)
        if responder.started:
            responder.abort()
            return
        responder.respond(
            refusal.status,
            self._codec.refusal_fields(metadata, refusal.retry_after_s),
        )

    def _record_end(self, context: RequestContext) -> None:
        now_s = asyncio.get_running_loop().time()
        first_s = context.first_byte_s
        self._metrics.count_request(
            context.route.name,
            context.responder.status,
            took_s=now_s - context.started_s,
            first_byte_s=first_s and first_s - context.started_s,
            pause_s=context.longest_pause_s,
        )
        self._decisions.event(
            'answered' if context.complete else 'ended',
            routine=context.complete,
            request=context.metadata.request_id,
            route=context.route.name,
            status=context.responder.status or None,
            took_s=round(now_s - context.started_s, 4),
            first_s=first_s and round(first_s - context.started_s, 4),
            pause_s=round(context.longest_pause_s, 4) or None,
            pause_end_s=round(context.pause_end_s - context.started_s, 4)
            if context.longest_pause_s
            else None,
            events=context.events.count or None,
            stream_version=context.stream_version,
            organisation=context.organisation and context.organisation.name,
            prompt=context.hold and context.metadata.prompt_tokens,
            held=context.hold and context.hold.tokens,
            spent=context.charged_tokens,
            sends=context.sends,
            # Time before the first send, or in total.
            unsent_s=round(
                (context.first_sent_s or now_s) - context.started_s, 4
            ),
            caller_left=context.responder.caller_left or None,
        )


def _stop_refusal() -> RefusedError:
    return RefusedError(503, 'router stops', _STOPPING_RETRY_S)
