"""Calls of application services.

A call of a route that is not idempotent runs at most once in the whole fleet:
before it is sent, the router claims its key in the shared log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import urllib.parse

from aiohttp import web
import msgspec

from ...core import DEDUPLICATION_WINDOW_S
from ...core import Attempt
from ...core import AttemptKind
from ...core import Bill
from ...core import Endpoint
from ...core import Outcome
from ...core import RefusalError
from ...core import ResultCode
from ...core import Route
from ...core import RouteQuery
from ...core import parse_issued_key
from ...settings import LimitsSection
from ...telemetry import attempt_headers
from ...telemetry import hop_span
from ..budgets import BillDraft
from ..budgets import BudgetTask
from ..budgets import ChargeResult
from ..budgets import ClaimResult
from ..budgets import ClaimState
from ..budgets import Hold
from ..endpoints import ATTEMPT_ID_HEADER
from ..endpoints import Dispatcher
from ..endpoints import EndpointClient
from ..endpoints import RequestAttempts
from ..endpoints import ServiceExchange
from ..endpoints import UpstreamRequest
from ..requests import IDEMPOTENCY_HEADER
from ..requests import OUTCOME_HEADER
from ..requests import REQUEST_ID_HEADER
from ..requests import CallerRequest
from ..requests import DirectResponse
from ..requests import KeyedCalls
from ..requests import RecordedResponses
from ..requests import RequestLog
from ..requests import ResponseHead
from ..requests import ResponseSink
from ..requests import not_run
from ..requests import stop_refusal
from ._gateway import SERVICES_PREFIX

# Time limit for recording the outcome of a call that a stop interrupts. The
# log may be unavailable, and the router must end.
INTERRUPTED_RECORD_TIMEOUT_S = 5.0
# Responses up to this size are stored with the bill, for replay.
MAX_INLINE_RESPONSE_BYTES = 2_048


@dataclasses.dataclass(slots=True)
class _ServiceRun:
    """State of one run of a service call.

    Parameters
    ----------
    call : CallerRequest
    service : str
    path : str
        Path at the endpoint, with a leading slash.
    route : Route
        Route of the service that matches the path.
    sink : ResponseSink
        Response to the caller.
    hold : Hold or None
        Tokens held for the call; None before the hold and once its charge
        has started.
    may_have_run : bool
        Whether the call may have run at an endpoint.
    """

    call: CallerRequest
    service: str
    path: str
    route: Route
    sink: ResponseSink
    hold: Hold | None = None
    may_have_run: bool = False


class ServiceCalls:
    """Handler of calls under ``/v1/services/{service}/``.

    Parameters
    ----------
    limits : LimitsSection
    budget : BudgetTask
        Holds and charges tokens, and claims keys.
    dispatcher : Dispatcher
        Selects endpoints.
    client : EndpointClient
    keyed : KeyedCalls
        Runs calls that have an ``Idempotency-Key``.
    recorded_responses : RecordedResponses
        Replays idempotent calls that any router has already billed.
    log : RequestLog
    wall_s, uptime_s : callable
        Wall-clock time, and a clock that includes suspended time, in seconds.
    """

    def __init__(
        self,
        limits: LimitsSection,
        budget: BudgetTask,
        dispatcher: Dispatcher,
        client: EndpointClient,
        keyed: KeyedCalls,
        recorded_responses: RecordedResponses,
        log: RequestLog,
        wall_s: Callable[[], float],
        uptime_s: Callable[[], float],
    ) -> None:
        self.limits = limits
        self.budget = budget
        self.dispatcher = dispatcher
        self.client = client
        self.keyed = keyed
        self.recorded_responses = recorded_responses
        self.log = log
        self.wall_s = wall_s
        self.uptime_s = uptime_s

    async def serve(self, call: CallerRequest) -> web.StreamResponse:
        """Serve a service call.

        Parameters
        ----------
        call : CallerRequest

        Returns
        -------
        aiohttp.web.StreamResponse
            The response, already sent to the caller.

        Raises
        ------
        RefusalError
            The call is invalid, was refused or failed before any part of the
            response was sent.
        """
        service, path, route = _route(call)
        if not route.idempotent:
            self._check_key(call)

        async def run(sink: ResponseSink) -> bool:
            state = _ServiceRun(call, service, path, route, sink)
            if not route.idempotent:
                return await self._run_once(state)
            if call.keyed and await self.recorded_responses.replay(call, sink):
                return True
            return await self._run_idempotent(state)

        if call.keyed:
            return await self.keyed.serve(call, run)
        sink = DirectResponse(call.request)
        await run(sink)
        return sink.response

    def _check_key(self, call: CallerRequest) -> None:
        key = parse_issued_key(
            call.request.headers.get(IDEMPOTENCY_HEADER),
            wall_time_ms=int(self.wall_s() * 1000),
            deduplication_window_s=DEDUPLICATION_WINDOW_S,
        )
        call.request_id = key.value

    async def _acquire_hold(self, run: _ServiceRun) -> None:
        tokens = run.route.call_price_tokens
        with hop_span('hold', tokens=tokens):
            run.hold = await self.budget.hold(
                run.call.organisation.id,
                tokens,
                timeout_s=run.call.wait_s(
                    self.limits.hold_timeout_ms,
                    asyncio.get_running_loop().time(),
                ),
            )
        self.log.record(run.call.request_id, 'hold', f'{tokens} tokens')

    async def _run_idempotent(self, run: _ServiceRun) -> bool:
        await self._acquire_hold(run)
        try:
            result = await self._run_attempts(run)
            if result.kind is AttemptKind.CALLER_GONE:
                return False
            await self._charge_and_respond(run, result)
            return True
        finally:
            if run.hold is not None:
                self.budget.release(run.hold)

    async def _run_once(self, run: _ServiceRun) -> bool:
        call = run.call
        started_s = self.uptime_s()
        # The claim comes before the hold: once it is won, there is no other
        # run of this key, so that a later refusal may state "not run".
        with hop_span('claim'):
            claim_result = await self._claim(call)
        if claim_result.state is not ClaimState.WON:
            return await _replay_recorded(
                run, claim_result.state, claim_result.bill
            )
        call.may_have_run = False
        try:
            await self._acquire_hold(run)
            self._check_claim_age(started_s)
            result = await self._run_attempts(run)
            return await self._finish_once(run, result)
        except RefusalError as error:
            if run.may_have_run:
                await self._record_failure(run, error)
            raise
        except asyncio.CancelledError:
            if run.may_have_run:
                await self._record_interrupted(run)
            raise
        finally:
            if not run.may_have_run:
                await self.budget.abandon_claim(
                    call.organisation.id, call.request_id
                )
            if run.hold is not None:
                self.budget.release(run.hold)

    async def _claim(self, call: CallerRequest) -> ClaimResult:
        try:
            claim_result = await self.budget.claim(
                call.organisation.id,
                call.request_id,
                call.body_digest,
                timeout_s=self.limits.claim_timeout_ms / 1000,
            )
        except RefusalError as error:
            if not call.first_attempt:
                # An earlier call with this key may have run through another
                # router.
                error.outcome = Outcome.UNKNOWN
            raise
        self.log.record(call.request_id, 'claim', claim_result.state.value)
        return claim_result

    def _check_claim_age(self, started_s: float) -> None:
        # A router that was suspended after its claim must not start the call
        # long after its caller stopped waiting.
        allowed_ms = self.limits.claim_timeout_ms + self.limits.hold_timeout_ms
        if (self.uptime_s() - started_s) * 1000 > allowed_ms:
            raise not_run(
                ResultCode.DEADLINE_UNREACHABLE,
                'the claim came too late to start the call',
                503,
                1,
            )

    async def _run_attempts(self, run: _ServiceRun) -> Attempt:
        call = run.call
        attempts = RequestAttempts(
            self.dispatcher,
            self.log,
            call,
            idempotent=run.route.idempotent,
            max_attempts=self.limits.attempts,
        )
        query = RouteQuery(
            organisation=call.organisation.id,
            model=None,
            service=run.service,
            prefix_digests=(),
        )
        return await attempts.run(
            query,
            lambda endpoint, result: self._run_attempt(run, endpoint, result),
        )

    async def _run_attempt(
        self, run: _ServiceRun, endpoint: Endpoint, result: Attempt
    ) -> None:
        call = run.call
        query = call.request.rel_url.raw_query_string
        headers = {
            'Accept-Encoding': 'identity',
            'Content-Type': call.request.headers.get(
                'Content-Type', 'application/octet-stream'
            ),
            ATTEMPT_ID_HEADER: call.attempt_id(),
            'X-Priority': str(call.organisation.priority),
            **attempt_headers(call.trace_headers()),
        }
        if call.keyed:
            headers[IDEMPOTENCY_HEADER] = call.request_id
        upstream = UpstreamRequest(
            url=endpoint.url + run.path + (f'?{query}' if query else ''),
            method=run.route.method,
            body=call.body,
            headers=headers,
            fresh_connection=not run.route.idempotent,
        )
        run.may_have_run = True
        await self.client.run(upstream, ServiceExchange(self.limits), result)
        run.may_have_run = result.kind is not AttemptKind.NOT_STARTED

    async def _finish_once(self, run: _ServiceRun, result: Attempt) -> bool:
        answer = None
        if len(result.terminal) <= MAX_INLINE_RESPONSE_BYTES:
            answer = _text_or_none(result.terminal)
        await self._charge_and_respond(run, result, answer)
        return True

    async def _record_interrupted(self, run: _ServiceRun) -> None:
        error = stop_refusal(may_have_run=True)
        try:
            async with asyncio.timeout(INTERRUPTED_RECORD_TIMEOUT_S):
                await self._record_failure(run, error)
        except TimeoutError:
            # The claim remains without an outcome, which is never run again.
            logging.warning(
                'outcome of an interrupted call was not recorded: %s',
                run.call.request_id,
            )

    async def _record_failure(
        self, run: _ServiceRun, error: RefusalError
    ) -> None:
        """Record that a claimed call ran or may have run, but failed."""
        if run.hold is None:
            return
        await self._charge(run, '', 0, error.outcome.value, 0, None)

    async def _charge_and_respond(
        self,
        run: _ServiceRun,
        result: Attempt,
        answer: str | None = None,
    ) -> None:
        tokens = run.route.call_price_tokens
        with hop_span('bill', tokens=tokens):
            charge_result = await self._charge(
                run,
                result.endpoint,
                tokens,
                Outcome.COMPLETE.value,
                result.http_status,
                answer,
            )
        if not charge_result.committed:
            raise RefusalError(
                ResultCode.BILL_NOT_COMMITTED,
                'the bill could not be committed, so the answer is withheld',
                outcome=Outcome.UNKNOWN,
                http_status=503,
                retry_after_s=2,
            )
        self.log.record(
            run.call.request_id,
            'bill',
            f'{tokens} tokens via {charge_result.via}'
            + (' duplicate' if charge_result.duplicate else ''),
        )
        if not charge_result.duplicate:
            self.log.metrics.count('tokens.billed', tokens)
        await _write_response(
            run, result.http_status, result.content_type, result.terminal
        )

    async def _charge(
        self,
        run: _ServiceRun,
        endpoint: str,
        tokens: int,
        outcome: str,
        status: int,
        answer: str | None,
    ) -> ChargeResult:
        draft = BillDraft(
            request_id=run.call.request_id,
            tokens=tokens,
            outcome=outcome,
            body_digest=run.call.body_digest,
            endpoint=endpoint,
            keyed=run.call.keyed,
            answer_status=status,
            answer=answer,
        )
        hold, run.hold = run.hold, None
        return await asyncio.shield(
            asyncio.ensure_future(
                self.budget.charge(
                    hold,
                    draft,
                    timeout_s=self.limits.settle_timeout_ms / 1000,
                )
            )
        )


def _route(call: CallerRequest) -> tuple[str, str, Route]:
    rest = call.request.rel_url.raw_path.removeprefix(SERVICES_PREFIX)
    name, _, path = rest.partition('/')
    service = call.index.service(name)
    if service is None:
        raise not_run(
            ResultCode.UNKNOWN_SERVICE, f'no service {name[:64]!r}', 404
        )
    if not call.index.reaches_service(call.organisation, name):
        raise not_run(
            ResultCode.MODEL_NOT_REACHABLE,
            f'the organisation may not use service {name!r}',
            403,
        )
    route = None
    if not _has_dot_segment(path):
        route = call.index.route(service, call.request.method, '/' + path)
    if route is None:
        raise not_run(ResultCode.UNKNOWN_PATH, 'no such call', 404)
    return name, '/' + path, route


def _has_dot_segment(path: str) -> bool:
    """Return whether an HTTP client would resolve dot segments of a path.

    Such paths are refused: ``/spots/../bookings`` matches the route
    ``/spots/*`` but would reach ``/bookings``.
    """
    decoded = urllib.parse.unquote(path).replace('\\', '/')
    return any(segment in ('.', '..') for segment in decoded.split('/'))


def _text_or_none(body: bytes) -> str | None:
    try:
        return body.decode()
    except UnicodeDecodeError:
        return None


async def _write_response(
    run: _ServiceRun, status: int, content_type: str, body: bytes
) -> None:
    run.call.end.complete()
    await run.sink.start(
        ResponseHead(
            status,
            {
                'Content-Type': content_type,
                REQUEST_ID_HEADER: run.call.request_id,
                OUTCOME_HEADER: Outcome.COMPLETE.value,
            },
        )
    )
    await run.sink.write(body)
    await run.sink.finish()


async def _replay_recorded(
    run: _ServiceRun, state: ClaimState, bill: Bill | None
) -> bool:
    """Respond to a call whose key was claimed before.

    Parameters
    ----------
    run : _ServiceRun
    state : ClaimState
        State of the earlier claim.
    bill : Bill or None
        Bill of the earlier call, if there is one.

    Returns
    -------
    bool
        True: the recorded response was written.

    Raises
    ------
    RefusalError
        The earlier call had another body, still runs, failed or has an
        unknown outcome.
    """
    if state is ClaimState.OTHER_BODY:
        raise not_run(
            ResultCode.KEY_REUSED_WITH_OTHER_BODY,
            'the Idempotency-Key was used with another body',
            422,
        )
    if state is ClaimState.IN_PROGRESS:
        raise RefusalError(
            ResultCode.CLAIM_IN_PROGRESS,
            'another router runs this request',
            outcome=Outcome.UNKNOWN,
            http_status=409,
            retry_after_s=1,
        )
    if bill is None or bill.outcome != Outcome.COMPLETE.value:
        failed = bill is not None and bill.outcome == Outcome.FAILED.value
        raise RefusalError(
            ResultCode.CLAIM_OUTCOME_UNKNOWN,
            'the request ran and failed'
            if failed
            else 'the request may have run; its outcome is not known',
            outcome=Outcome.FAILED if failed else Outcome.UNKNOWN,
            http_status=409,
        )
    body = bill.answer
    if body is None:
        body = msgspec.json.encode({'answer_kept': False}).decode()
    await _write_response(
        run, bill.answer_status, 'application/json', body.encode()
    )
    return True
