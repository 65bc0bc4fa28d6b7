"""Assigns requests to endpoints: selection, queue, retry budget, crashes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from reactivex.subject import Subject

from ...core import Attempt
from ...core import AttemptKind
from ...core import AttemptResult
from ...core import CrashCounter
from ...core import EndpointTable
from ...core import Outcome
from ...core import QueuedRequest
from ...core import RefusalError
from ...core import RequestQueue
from ...core import ResultCode
from ...core import RetryBudget
from ...core import RouteQuery
from ...settings import LimitsSection
from ..requests import CallerRequest
from ..requests import not_run


@dataclasses.dataclass(slots=True, frozen=True)
class _PendingChoice:
    """Queued request and the future that gets its endpoint's id."""

    query: RouteQuery
    chosen: asyncio.Future[str]


class Dispatcher:
    """Selects endpoints for attempts and queues requests while all are busy.

    Parameters
    ----------
    limits : LimitsSection
        Size and timeout of the queue.
    table : EndpointTable
        State of the endpoints; attempts in flight are counted in it.
    crashes : CrashCounter
        Counts the crashes of endpoints by request body and request id.
    refresh : callable, optional
        Polls the selected endpoint if its state in `table` may be out of
        date. Without it, `table` is taken to be up to date.
    """

    def __init__(
        self,
        limits: LimitsSection,
        table: EndpointTable,
        crashes: CrashCounter,
        refresh: Callable[[str], Awaitable[None]] | None = None,
    ) -> None:
        self.limits = limits
        self.table = table
        self.crashes = crashes
        self.refresh = refresh
        self.queue: RequestQueue[_PendingChoice] = RequestQueue(
            max_size=limits.queue_requests
        )
        self.retries = RetryBudget()
        # Emits the keys of each counted crash, to be announced to the peers.
        self.crash_keys: Subject[str] = Subject()

    async def choose_endpoint(
        self, call: CallerRequest, query: RouteQuery
    ) -> str:
        """Select the endpoint of an attempt and count it as in flight.

        Waits in the queue while all endpoints are busy. Each attempt has to
        be ended by `finish_attempt`.

        Parameters
        ----------
        call : CallerRequest
        query : RouteQuery
            Requirements on the endpoint.

        Returns
        -------
        str
            Id of the endpoint.

        Raises
        ------
        RefusalError
            No endpoint can serve the request, the queue is full, or no
            endpoint had room before the deadline. The outcome is "not run".
        """
        loop = asyncio.get_running_loop()
        while True:
            endpoint = await self._choose_or_queue(call, query)
            if self.refresh is None:
                return endpoint
            try:
                await self.refresh(endpoint)
            except asyncio.CancelledError:
                self.finish_attempt(Attempt(AttemptKind.CALLER_GONE, endpoint))
                raise
            if not self.table.is_leaving(endpoint, loop.time()):
                return endpoint
            # The table no longer offers this endpoint, so the loop ends.
            self.finish_attempt(Attempt(AttemptKind.CALLER_GONE, endpoint))

    async def _choose_or_queue(
        self, call: CallerRequest, query: RouteQuery
    ) -> str:
        now_s = asyncio.get_running_loop().time()
        if not self.table.can_serve(query, now_s):
            raise not_run(
                ResultCode.NO_ENDPOINT, 'no endpoint serves this now', 503, 1
            )
        if not len(self.queue):
            endpoint = self.table.choose(query, now_s)
            if endpoint is not None:
                self.table.start_attempt(endpoint, now_s, query.prefix_digests)
                return endpoint
        return await self._wait_in_queue(call, query, now_s)

    def finish_attempt(self, result: Attempt) -> None:
        """Record the end of an attempt and assign queued requests.

        Parameters
        ----------
        result : Attempt
            Updates the state of its endpoint and the retry budget.
        """
        now_s = asyncio.get_running_loop().time()
        if result.first_byte_s is not None:
            self.table.record_first_byte(
                result.endpoint, result.first_byte_s, now_s
            )
        self.table.finish_attempt(
            result.endpoint, _attempt_result(result), now_s
        )
        failed = result.kind in (AttemptKind.FAILED, AttemptKind.NOT_STARTED)
        self.retries.record_result(failed=failed)
        self.serve_queue()

    def serve_queue(self) -> None:
        """Refuse expired requests and assign others to endpoints with room."""
        now_s = asyncio.get_running_loop().time()
        for queued in self.queue.pop_expired(now_s):
            _refuse_queued(queued, ResultCode.DEADLINE_UNREACHABLE)
        skipped = []
        while (queued := self.queue.pop(now_s)) is not None:
            pending = queued.item
            if pending.chosen.done():
                continue
            endpoint = self.table.choose(pending.query, now_s)
            if endpoint is None:
                skipped.append(queued)
                # Requests further back may need another model, but the search
                # is bounded.
                if len(skipped) >= 16:
                    break
                continue
            self.table.start_attempt(
                endpoint, now_s, pending.query.prefix_digests
            )
            pending.chosen.set_result(endpoint)
        for queued in skipped:
            self.queue.requeue(queued, now_s)

    def may_retry(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        return self.retries.try_retry(asyncio.get_running_loop().time())

    def check_crashes(
        self, call: CallerRequest, *, may_have_run: bool
    ) -> None:
        """Refuse a request whose earlier attempts crashed endpoints.

        Parameters
        ----------
        call : CallerRequest
        may_have_run : bool
            Whether an attempt of this request may have run.

        Raises
        ------
        RefusalError
            The crashes counted for the request's body or id reached the
            limit.
        """
        now_s = asyncio.get_running_loop().time()
        body_key, id_key = _crash_keys(call)
        if self.crashes.is_stopped(body_key, id_key, now_s):
            same_id = self.crashes.is_stopped(id_key, id_key, now_s)
            raise RefusalError(
                ResultCode.POISON_REQUEST,
                'runs of this request ended with the loss of endpoints',
                outcome=(
                    Outcome.FAILED
                    if may_have_run or same_id
                    else Outcome.NOT_RUN
                ),
                http_status=422,
            )

    def record_crash(self, call: CallerRequest) -> None:
        """Count an attempt whose connection was lost, as by a crash."""
        now_s = asyncio.get_running_loop().time()
        keys = _crash_keys(call)
        self.crashes.record(*keys, now_s)
        for key in keys:
            self.crash_keys.on_next(key)

    async def _wait_in_queue(
        self, call: CallerRequest, query: RouteQuery, now_s: float
    ) -> str:
        loop = asyncio.get_running_loop()
        pending = _PendingChoice(query, loop.create_future())
        queued = QueuedRequest(
            pending,
            call.organisation.id,
            call.organisation.priority,
            now_s + call.wait_s(self.limits.queue_timeout_ms, now_s),
        )
        admission = self.queue.push(queued, now_s)
        if admission.evicted is not None:
            _refuse_queued(admission.evicted, ResultCode.QUEUE_FULL)
        if admission.refusal is not None:
            raise _queue_refusal(admission.refusal)
        expiry = loop.call_at(queued.deadline_s, self.serve_queue)
        try:
            return await pending.chosen
        except asyncio.CancelledError:
            self._leave_queue(queued, loop.time())
            raise
        finally:
            expiry.cancel()

    def _leave_queue(
        self, queued: QueuedRequest[_PendingChoice], now_s: float
    ) -> None:
        if self.queue.discard(queued, now_s):
            return
        chosen = queued.item.chosen
        if (
            chosen.done()
            and not chosen.cancelled()
            and (chosen.exception() is None)
        ):
            # The caller disconnected after an endpoint was assigned, before
            # the attempt started.
            self.finish_attempt(
                Attempt(AttemptKind.CALLER_GONE, chosen.result())
            )


def exclude_endpoints(
    query: RouteQuery, endpoints: Collection[str]
) -> RouteQuery:
    """Return a copy of a query that excludes some endpoints.

    Parameters
    ----------
    query : RouteQuery
    endpoints : collection of str
        Ids of the endpoints that were tried already.

    Returns
    -------
    RouteQuery
    """
    return dataclasses.replace(query, exclude=frozenset(endpoints))


def _crash_keys(call: CallerRequest) -> tuple[str, str]:
    # Counted per organisation: a short prompt that many organisations send
    # would otherwise be refused after unrelated crashes of endpoints.
    organisation = call.organisation.id
    return (
        f'{organisation}/{call.body_digest}',
        f'{organisation}/{call.request_id}',
    )


def _attempt_result(result: Attempt) -> AttemptResult:
    """Return how the result of an attempt counts for its endpoint."""
    if result.kind is AttemptKind.COMPLETE:
        # A stream that had to be cut ignored its output limit.
        return (
            AttemptResult.INVALID if result.cut else (AttemptResult.COMPLETE)
        )
    if result.kind is AttemptKind.NOT_STARTED:
        return (
            AttemptResult.REFUSED
            if result.http_status
            else (AttemptResult.FAILED)
        )
    if result.kind is not AttemptKind.FAILED:
        return AttemptResult.NEUTRAL
    if result.code in (
        ResultCode.ANSWER_INVALID,
        ResultCode.ANSWER_TRUNCATED,
    ):
        return AttemptResult.INVALID
    return AttemptResult.FAILED


def _queue_refusal(code: ResultCode) -> RefusalError:
    return not_run(code, 'all endpoints are busy', 503, 1)


def _refuse_queued(
    queued: QueuedRequest[_PendingChoice], code: ResultCode
) -> None:
    if not queued.item.chosen.done():
        queued.item.chosen.set_exception(_queue_refusal(code))
