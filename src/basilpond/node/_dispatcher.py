"""One request: its route, its tokens, its endpoints and its answer."""

from __future__ import annotations

import asyncio
import random
import traceback

from ..http1 import CallerRequest
from ..http1 import Responder
from ..http1 import find
from ..routing import MAX_CONNECTS
from ..routing import Catalogue
from ..routing import Choice
from ..routing import CrashCounter
from ..routing import EventTokens
from ..routing import FleetRetryBudget
from ..routing import Organisation
from ..routing import RequestMetadata
from ..routing import Route
from ..routing import SendResult
from ..routing import choose_endpoint
from ..routing import choose_service
from ..routing import guarantees_not_run
from ..routing import may_send_again
from ..routing import sample_loads
from ..routing import tokens_retry_s
from ._budgets import BudgetTask
from ._budgets import Denial
from ._call import Call
from ._call import RefusedError
from ._decision_log import DecisionLog
from ._directory import ConfigurationState
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._interfaces import CallError
from ._interfaces import NodeSettings
from ._interfaces import Wire
from ._metrics import NodeMetrics
from ._peers import PeerTask
from ._sending import Sender
from ._sending import SendOutcome

# Time after which a router that just started usually knows the configuration.
_STARTING_RETRY_S = 0.5
# A caller's next attempt reaches another router.
_STOPPING_RETRY_S = 0.1
# Time after which a service without endpoints may have one again.
_NO_ENDPOINT_RETRY_S = 0.5
# Time in which endpoints that turned a request away empty their queues.
_BUSY_RETRY_S = 0.3
# A request that crashed several endpoints is not run again soon.
_POISON_RETRY_S = 30.0


class Dispatcher:
    """Handler of callers' requests.

    Parameters
    ----------
    settings : NodeSettings
    wire : Wire
    configuration : ConfigurationState
    directory : EndpointDirectory
    budgets : BudgetTask
    peers : PeerTask
    crashes : CrashCounter
    metrics : NodeMetrics
    decisions : DecisionLog
    rng : random.Random
    """

    def __init__(
        self,
        settings: NodeSettings,
        wire: Wire,
        configuration: ConfigurationState,
        directory: EndpointDirectory,
        budgets: BudgetTask,
        peers: PeerTask,
        crashes: CrashCounter,
        metrics: NodeMetrics,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._wire = wire
        self._configuration = configuration
        self._directory = directory
        self._budgets = budgets
        self._peers = peers
        self._crashes = crashes
        self._metrics = metrics
        self._decisions = decisions
        self._rng = rng
        self._sender = Sender(wire, directory, peers, crashes, decisions)
        self._retries: dict[str, FleetRetryBudget] = {}
        self._event_tokens = EventTokens()
        self._refusing = False

    def apply_settings(self, settings: NodeSettings) -> None:
        """Take changed settings."""
        self._settings = settings
        for share in self._retries.values():
            share.update_settings(
                settings.retry_share,
                settings.retry_slack,
                settings.retry_window_s,
            )

    def refuse_new(self) -> None:
        """Refuse further requests, as the router stops."""
        self._refusing = True

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Answer one request."""
        facts: RequestMetadata | None = None
        call: Call | None = None
        try:
            try:
                facts = self._wire.decode_call(request.headers)
            except CallError as error:
                raise RefusedError(400, str(error)) from error
            call = self._admit(request, responder, facts)
            await self._serve(call)
        except RefusedError as refusal:
            self._refuse(request, responder, facts, refusal)
        except Exception as error:
            # A defect must not close the connection without an answer.
            self._decisions.event(
                'defect',
                request=facts and facts.request_id,
                reason=repr(error),
                trace=traceback.format_exc(limit=-4),
            )
            defect = RefusedError(500, 'defect of the router')
            self._refuse(request, responder, facts, defect)
        finally:
            if call is not None:
                self._note_end(call)

    def _admit(
        self,
        request: CallerRequest,
        responder: Responder,
        facts: RequestMetadata,
    ) -> Call:
        if self._refusing:
            raise RefusedError(503, 'router stops', _STOPPING_RETRY_S)
        catalogue = self._configuration.catalogue
        if catalogue is None:
            raise RefusedError(503, 'no configuration yet', _STARTING_RETRY_S)
        host = (find(request.headers, b'host') or b'').decode('latin-1')
        path = request.target.partition(b'?')[0].decode('latin-1')
        route = catalogue.find_route(host.partition(':')[0], path)
        if route is None:
            raise RefusedError(404, f'no route in version {catalogue.version}')
        organisation = self._authenticate(catalogue, route, facts)
        service = choose_service(route, self._rng.random())
        if service is None:
            raise RefusedError(
                503, 'route has no service', _NO_ENDPOINT_RETRY_S
            )
        return Call(
            request,
            responder,
            facts,
            route,
            organisation,
            service,
            catalogue.version,
        )

    def _authenticate(
        self, catalogue: Catalogue, route: Route, facts: RequestMetadata
    ) -> Organisation | None:
        organisation = catalogue.find_organisation(facts.key)
        if catalogue.organisations is None or route.public:
            return organisation
        if organisation is None:
            raise RefusedError(
                401, f'unknown key in version {catalogue.version}'
            )
        return organisation

    async def _serve(self, call: Call) -> None:
        loop = asyncio.get_running_loop()
        self._retry_share(call.service).record_request(loop.time())
        if self._is_poison(call, loop.time()):
            raise RefusedError(
                503, 'crashed several endpoints', _POISON_RETRY_S
            )
        await self._reserve(call)
        try:
            async with asyncio.timeout_at(call.deadline_s):
                await self._send_until_answered(call)
        except TimeoutError:
            self._end_late(call)
        finally:
            self._settle(call)

    async def _reserve(self, call: Call) -> None:
        tokens = call.facts.bound_tokens
        if call.organisation is None or not tokens:
            return
        loop = asyncio.get_running_loop()
        left_s = call.deadline_s - loop.time()
        name = call.organisation.name
        hold = await self._budgets.hold(name, tokens, left_s)
        if isinstance(hold, Denial):
            self._metrics.count_grant(hold.name.lower())
        if hold is Denial.EXHAUSTED:
            raise RefusedError(
                402, hold.value, **self._budgets.explain(name, tokens)
            )
        if isinstance(hold, Denial):
            raise RefusedError(
                503,
                hold.value,
                tokens_retry_s(self._budgets.outage_s),
                **self._budgets.explain(name, tokens),
            )
        self._metrics.count_grant('held')
        call.hold = hold

    async def _send_until_answered(self, call: Call) -> None:
        while True:
            entry, choice = self._choose(call)
            outcome = await self._sender.send(
                call, entry, choice, lambda: self._may_give_up(call)
            )
            self._metrics.count_send(
                call.service, outcome.result.value if outcome.result else 'ok'
            )
            if outcome.result is None:
                return
            if not self._may_repeat(call, outcome):
                self._conclude(call, outcome)
                return

    def _choose(self, call: Call) -> tuple[EndpointEntry, Choice]:
        entries = self._directory.candidates(call.service)
        fresh = [e for e in entries if e.endpoint.id not in call.endpoints]
        choice = choose_endpoint(
            sample_loads(
                [entry.load for entry in fresh or entries],
                call.prompt_runs,
                self._rng,
            ),
            prompt_tokens=call.facts.prompt_tokens,
            prefixes=call.prompt_runs,
            data_centre=self._settings.data_centre,
            now_s=asyncio.get_running_loop().time(),
            rng=self._rng,
        )
        if choice is None:
            if call.runs:
                raise RefusedError(502, 'no endpoint is left')
            raise RefusedError(
                503,
                'no endpoint',
                _NO_ENDPOINT_RETRY_S,
                service=call.service,
                store_age_s=round(self._budgets.outage_s, 2),
            )
        entry = self._directory.find(choice.load.endpoint.id)
        assert entry is not None
        self._decisions.event(
            'sent',
            routine=True,
            request=call.facts.request_id,
            route=call.route.name,
            version=call.version,
            endpoint=entry.endpoint.id,
            forecast_s=round(choice.forecast_s, 4),
            work=round(choice.prefill_cost),
            cached=choice.cached_tokens,
            candidates=choice.candidates,
        )
        return entry, choice

    def _may_repeat(self, call: Call, outcome: SendOutcome) -> bool:
        assert outcome.result is not None
        if outcome.result is SendResult.NOT_SENT:
            # Nothing arrived, so it is no repeat for the service.
            return call.connects < MAX_CONNECTS
        now_s = asyncio.get_running_loop().time()
        if not may_send_again(
            call.route,
            outcome.result,
            sends=call.sends,
            possible_runs=call.runs,
        ):
            return False
        if self._is_poison(call, now_s):
            return False
        share = self._retry_share(call.service)
        allowed = share.try_retry(now_s, self._peers.live_routers())
        if not allowed:
            self._decisions.event(
                'repeat_denied',
                request=call.facts.request_id,
                service=call.service,
                routers=self._peers.live_routers(),
            )
        return allowed

    def _may_give_up(self, call: Call) -> bool:
        if call.runs >= call.route.max_attempts:
            return False
        now_s = asyncio.get_running_loop().time()
        share = self._retry_share(call.service)
        others = len(self._directory.candidates(call.service)) > 1
        return others and share.has_budget(now_s, self._peers.live_routers())

    def _is_poison(self, call: Call, now_s: float) -> bool:
        return self._crashes.is_stopped(call.digest, call.digest, now_s)

    def _retry_share(self, service: str) -> FleetRetryBudget:
        share = self._retries.get(service)
        if share is None:
            share = self._retries[service] = FleetRetryBudget(
                self._settings.retry_share,
                self._settings.retry_slack,
                self._settings.retry_window_s,
            )
        return share

    def _conclude(self, call: Call, outcome: SendOutcome) -> None:
        if call.responder.started:
            call.responder.abort()
        elif outcome.head is not None and not guarantees_not_run(
            outcome.head.status
        ):
            call.responder.respond(
                outcome.head.status,
                self._wire.answer_fields(outcome.head),
                outcome.body,
            )
        elif call.runs == 0:
            raise RefusedError(503, outcome.reason, _BUSY_RETRY_S)
        else:
            raise RefusedError(502, outcome.reason)

    def _end_late(self, call: Call) -> None:
        if call.responder.started:
            call.responder.abort()
        elif call.runs == 0:
            raise RefusedError(503, 'time limit reached before a send')
        else:
            raise RefusedError(504, 'time limit reached')

    def _settle(self, call: Call) -> None:
        if call.hold is None:
            return
        if call.facts.last_event_id is None:
            self._event_tokens.record(
                call.service,
                events=call.events.count,
                allowed_tokens=call.facts.max_output_tokens,
            )
        spent = call.spent_tokens(self._event_tokens.bound(call.service))
        self._budgets.charge(call.hold, spent)
        call.spent = spent

    def _refuse(
        self,
        request: CallerRequest,
        responder: Responder,
        facts: RequestMetadata | None,
        refusal: RefusedError,
    ) -> None:
        self._decisions.event(
            'refused',
            request=facts.request_id if facts else None,
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
            self._wire.refusal_fields(facts, refusal.retry_after_s),
        )

    def _note_end(self, call: Call) -> None:
        now_s = asyncio.get_running_loop().time()
        first_s = call.first_byte_s
        self._metrics.count_request(
            call.route.name,
            call.responder.status,
            took_s=now_s - call.started_s,
            first_byte_s=first_s and first_s - call.started_s,
            pause_s=call.longest_pause_s,
        )
        self._decisions.event(
            'answered' if call.whole else 'ended',
            routine=call.whole,
            request=call.facts.request_id,
            route=call.route.name,
            status=call.responder.status or None,
            took_s=round(now_s - call.started_s, 4),
            first_s=first_s and round(first_s - call.started_s, 4),
            pause_s=round(call.longest_pause_s, 4) or None,
            pause_end_s=round(call.pause_end_s - call.started_s, 4)
            if call.longest_pause_s
            else None,
            events=call.events.count or None,
            organisation=call.organisation and call.organisation.name,
            prompt=call.hold and call.facts.prompt_tokens,
            held=call.hold and call.hold.tokens,
            spent=call.spent,
            sends=call.sends,
        )
