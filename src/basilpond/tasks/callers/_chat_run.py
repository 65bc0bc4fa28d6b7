"""Runs a chat request: holds tokens, runs attempts, bills and responds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses

import msgspec

from ...core import Attempt
from ...core import AttemptKind
from ...core import ChatBound
from ...core import ChatRequest
from ...core import Endpoint
from ...core import FullResponseCheck
from ...core import Model
from ...core import Outcome
from ...core import RefusalError
from ...core import ResultCode
from ...core import RouteQuery
from ...core import StreamCheck
from ...core import Usage
from ...core import build_terminal
from ...core import failure_terminal
from ...core import prefix_digests
from ...core import response_cost
from ...settings import LimitsSection
from ...telemetry import attempt_headers
from ...telemetry import hop_span
from ..budgets import BillDraft
from ..budgets import BudgetTask
from ..budgets import ChargeResult
from ..budgets import Hold
from ..endpoints import ATTEMPT_ID_HEADER
from ..endpoints import Dispatcher
from ..endpoints import EndpointClient
from ..endpoints import FullResponseExchange
from ..endpoints import RequestAttempts
from ..endpoints import StreamExchange
from ..endpoints import UpstreamRequest
from ..requests import OUTCOME_HEADER
from ..requests import REQUEST_ID_HEADER
from ..requests import CallerRequest
from ..requests import RequestLog
from ..requests import ResponseHead
from ..requests import ResponseSink
from ..requests import error_body

CHAT_PATH = '/v1/chat/completions'
ABANDONED = 'abandoned'


@dataclasses.dataclass(slots=True)
class ChatRun:
    """State of one run of a chat request.

    Parameters
    ----------
    call : CallerRequest
    chat : ChatRequest
        Parsed body of the request.
    model : Model
    bound : ChatBound
        Maximum tokens and cost of the request.
    sink : ResponseSink
        Response to the caller.
    hold : Hold or None
        Tokens held for the request; None before the hold and once its
        charge has started.
    """

    call: CallerRequest
    chat: ChatRequest
    model: Model
    bound: ChatBound
    sink: ResponseSink
    hold: Hold | None = None

    def head(self) -> ResponseHead:
        """Return status and headers of the response."""
        stream = self.chat.stream
        # The outcome of a stream is not known when its headers are sent; the
        # last comment in the stream states it.
        outcome = Outcome.UNKNOWN if stream else Outcome.COMPLETE
        headers = {
            'Content-Type': (
                'text/event-stream' if stream else 'application/json'
            ),
            REQUEST_ID_HEADER: self.call.request_id,
            OUTCOME_HEADER: outcome.value,
        }
        if stream:
            headers['Cache-Control'] = 'no-cache'
        return ResponseHead(200, headers)


class ChatRunner:
    """Runs chat requests.

    The end of a response is only sent after the bill is committed, so that no
    caller gets a complete response that is not charged.

    Parameters
    ----------
    limits : LimitsSection
    budget : BudgetTask
        Holds and charges tokens.
    dispatcher : Dispatcher
        Selects endpoints.
    client : EndpointClient
    log : RequestLog
    wall_s : callable
        Wall-clock time in seconds.
    """

    def __init__(
        self,
        limits: LimitsSection,
        budget: BudgetTask,
        dispatcher: Dispatcher,
        client: EndpointClient,
        log: RequestLog,
        wall_s: Callable[[], float],
    ) -> None:
        self.limits = limits
        self.budget = budget
        self.dispatcher = dispatcher
        self.client = client
        self.log = log
        self.wall_s = wall_s
        self._bill_tasks: set[asyncio.Task] = set()

    async def run(self, run: ChatRun) -> bool:
        """Run a request and write its response.

        Parameters
        ----------
        run : ChatRun

        Returns
        -------
        bool
            Whether the complete response was written.

        Raises
        ------
        RefusalError
            The request was refused or failed before any part of the response
            was written.
        """
        call = run.call
        with hop_span('hold', tokens=run.bound.cost_tokens):
            run.hold = await self.budget.hold(
                call.organisation.id,
                run.bound.cost_tokens,
                timeout_s=call.wait_s(
                    self.limits.hold_timeout_ms,
                    asyncio.get_running_loop().time(),
                ),
            )
        self.log.record(
            call.request_id, 'hold', f'{run.bound.cost_tokens} tokens'
        )
        attempts = RequestAttempts(
            self.dispatcher,
            self.log,
            call,
            idempotent=True,
            max_attempts=self.limits.attempts,
        )
        try:
            result = await attempts.run(
                self._query(run),
                lambda endpoint, result: self._run_attempt(
                    run, endpoint, result
                ),
            )
            return await self._finish(run, result)
        except asyncio.CancelledError:
            if run.hold is not None and attempts.result is not None:
                self._bill_abandoned(run, attempts.result)
            raise
        finally:
            if run.hold is not None:
                self.budget.release(run.hold)

    async def wait_bills(self) -> None:
        """Wait until all bills are done, also those of absent callers."""
        while self._bill_tasks:
            await asyncio.wait(self._bill_tasks)

    def _query(self, run: ChatRun) -> RouteQuery:
        return RouteQuery(
            organisation=run.call.organisation.id,
            model=run.model.id,
            service=None,
            prefix_digests=prefix_digests(
                run.model.id, msgspec.json.encode(run.chat.messages)
            ),
        )

    async def _run_attempt(
        self, run: ChatRun, endpoint: Endpoint, result: Attempt
    ) -> None:
        call = run.call
        attempt_id = call.attempt_id()
        checks = {
            'attempt_id': attempt_id if endpoint.echoes_request_id else None,
            'model': run.model.id,
            'max_output_tokens': run.bound.output_tokens,
            'prompt_bound_tokens': run.bound.prompt_tokens,
        }
        if run.chat.stream:
            exchange = StreamExchange(
                self.limits,
                StreamCheck(**checks),
                run.sink,
                lambda: self._start_response(run),
                run.model.id,
                self.wall_s,
            )
        else:
            exchange = FullResponseExchange(
                self.limits, FullResponseCheck(**checks)
            )
        upstream = UpstreamRequest(
            url=endpoint.url + CHAT_PATH,
            method='POST',
            body=run.chat.upstream_body(run.bound.output_tokens),
            headers={
                'Content-Type': 'application/json',
                'Accept-Encoding': 'identity',
                ATTEMPT_ID_HEADER: attempt_id,
                'X-Priority': str(call.organisation.priority),
                **attempt_headers(call.trace_headers()),
            },
        )
        await self.client.run(upstream, exchange, result)

    async def _start_response(self, run: ChatRun) -> None:
        self.log.record_first_token(run.call.end)
        await run.sink.start(run.head())

    async def _finish(self, run: ChatRun, result: Attempt) -> bool:
        if result.kind is AttemptKind.CALLER_GONE:
            self._bill_abandoned(run, result)
            return False
        if result.kind is not AttemptKind.COMPLETE:
            outcome = Outcome.FAILED
            error = RefusalError(
                result.code or ResultCode.ENDPOINT_FAILED,
                result.message or 'the endpoint failed',
                outcome=outcome,
                http_status=502,
            )
            await self._fail_stream(run, error)
            return False
        return await self._charge_and_respond(run, result)

    async def _charge_and_respond(self, run: ChatRun, result: Attempt) -> bool:
        cost = self._cost(run, result)
        with hop_span('bill', tokens=cost):
            # The bill must be finished even if the caller disconnects.
            charge_result = await asyncio.shield(
                self._charge(run, result, cost, Outcome.COMPLETE.value)
            )
        request_id = run.call.request_id
        if not charge_result.committed:
            error = RefusalError(
                ResultCode.BILL_NOT_COMMITTED,
                'the bill could not be committed, so the answer is withheld',
                outcome=Outcome.UNKNOWN,
                http_status=503,
                retry_after_s=2,
            )
            if not run.sink.started:
                raise error
            await self._fail_stream(run, error)
            return False
        self.log.record(
            request_id,
            'bill',
            f'{cost} tokens via {charge_result.via}'
            + (' duplicate' if charge_result.duplicate else ''),
        )
        if not charge_result.duplicate:
            self.log.metrics.count('tokens.billed', cost)
        run.call.end.complete()
        if not run.sink.started:
            await run.sink.start(run.head())
        terminal = result.terminal
        if run.chat.stream:
            terminal = build_terminal(
                terminal, include_usage=run.chat.include_usage
            )
        try:
            await run.sink.write(terminal)
            await run.sink.finish()
        except ConnectionError:
            self.log.record(request_id, 'caller-gone', 'after the bill')
            return False
        return True

    def _cost(self, run: ChatRun, result: Attempt) -> int:
        usage = None
        if result.prompt_tokens is not None:
            usage = Usage(result.prompt_tokens, result.completion_tokens)
        frames = result.content_frames
        if not run.chat.stream and usage is None:
            # Without frames and usage, the number of tokens is taken as the
            # number of bytes, its upper limit: a token has at least one byte.
            frames = result.content_bytes
        return response_cost(
            run.bound,
            usage=usage,
            content_frames=frames,
            content_bytes=result.content_bytes,
            prompt_price_tokens=run.model.prompt_price_tokens,
            output_price_tokens=run.model.output_price_tokens,
        ).cost_tokens

    def _charge(
        self, run: ChatRun, result: Attempt, cost: int, outcome: str
    ) -> asyncio.Task[ChargeResult]:
        """Take the hold from the run and charge it in a new task.

        Taken before the task starts, so that `run` does not release it.
        """
        draft = BillDraft(
            request_id=run.call.request_id,
            tokens=cost,
            outcome=outcome,
            body_digest=run.call.body_digest,
            endpoint=result.endpoint,
            keyed=run.call.keyed,
        )
        hold, run.hold = run.hold, None
        return self._spawn(
            self.budget.charge(
                hold, draft, timeout_s=self.limits.settle_timeout_ms / 1000
            )
        )

    def _bill_abandoned(self, run: ChatRun, result: Attempt) -> None:
        if not result.relayed:
            return
        self.log.record(
            run.call.request_id, 'caller-gone', 'during the answer'
        )
        result.prompt_tokens = None
        cost = self._cost(run, result)
        self._charge(run, result, cost, ABANDONED)

    async def _fail_stream(self, run: ChatRun, error: RefusalError) -> None:
        request_id = run.call.request_id
        self.log.record_refusal(request_id, error)
        run.call.end.refuse(error)
        try:
            await run.sink.write(
                failure_terminal(error_body(error, request_id), error.outcome)
            )
            await run.sink.finish()
        except ConnectionError:
            self.log.record(request_id, 'caller-gone', 'before the failure')

    def _spawn(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._bill_tasks.add(task)
        task.add_done_callback(self._bill_tasks.discard)
        return task
