"""Attempts of one request until it is complete or may not be retried."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

from ...core import Attempt
from ...core import AttemptKind
from ...core import Endpoint
from ...core import Outcome
from ...core import RefusalError
from ...core import ResultCode
from ...core import RouteQuery
from ...telemetry import hop_span
from ..requests import CallerRequest
from ..requests import RequestLog
from ..requests import not_run
from ._dispatcher import Dispatcher
from ._dispatcher import exclude_endpoints

HTTP_SERVER_ERROR = 500

# Runs one attempt at an endpoint and fills in the result. It returns nothing,
# so that the result can be read even if the attempt is cancelled.
AttemptRunner = Callable[[Endpoint, Attempt], Awaitable[None]]


class RequestAttempts:
    """Runs a request at one endpoint after another until it is done.

    Parameters
    ----------
    dispatcher : Dispatcher
        Selects the endpoints and holds the retry budget.
    log : RequestLog
    call : CallerRequest
    idempotent : bool
        Whether the request may run more than once. Otherwise it is only
        retried after an attempt that provably did not start.
    max_attempts : int

    Attributes
    ----------
    result : Attempt or None
        The latest attempt.
    may_have_run : bool
        Whether any attempt may have run at an endpoint.
    """

    __slots__ = (
        'dispatcher',
        'log',
        'call',
        'idempotent',
        'max_attempts',
        'result',
        'may_have_run',
        '_answered',
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        log: RequestLog,
        call: CallerRequest,
        *,
        idempotent: bool,
        max_attempts: int,
    ) -> None:
        self.dispatcher = dispatcher
        self.log = log
        self.call = call
        self.idempotent = idempotent
        self.max_attempts = max_attempts
        self.result: Attempt | None = None
        self.may_have_run = False
        self._answered = False

    async def run(self, query: RouteQuery, attempt: AttemptRunner) -> Attempt:
        """Run attempts and return the last result.

        Parameters
        ----------
        query : RouteQuery
            Requirements on the endpoint. Endpoints that were tried are
            excluded from further attempts.
        attempt : callable
            Runs one attempt and fills in its result.

        Returns
        -------
        Attempt
            Complete, abandoned by the caller, or failed after part of the
            response was relayed.

        Raises
        ------
        RefusalError
            No attempt was complete, and nothing was relayed to the caller.
        """
        tried: set[str] = set()
        self.dispatcher.retries.record_request()
        while True:
            result = await self._run_attempt(
                exclude_endpoints(query, tried), attempt
            )
            tried.add(result.endpoint)
            if not self._retriable(result):
                break
            if len(tried) >= self.max_attempts:
                break
            if not self.dispatcher.may_retry():
                self.log.record(self.call.request_id, 'no-retry', 'budget')
                break
            self.log.record(self.call.request_id, 'retry', result.message)
            self.log.metrics.count('requests.retries')
        if (
            result.kind is AttemptKind.COMPLETE
            or result.relayed
            or (result.kind is AttemptKind.CALLER_GONE)
        ):
            return result
        raise self._refusal(result)

    def _retriable(self, result: Attempt) -> bool:
        if result.kind is AttemptKind.NOT_STARTED:
            return True
        return self.idempotent and result.retriable

    async def _run_attempt(
        self, query: RouteQuery, attempt: AttemptRunner
    ) -> Attempt:
        endpoint = None
        while endpoint is None:
            endpoint_id = await self._choose_endpoint(query)
            # The dispatcher uses the current manifest, which may be newer
            # than the one that the request was checked against. It may also
            # have dropped the endpoint; then another one is selected.
            endpoint = self.dispatcher.table.endpoint(endpoint_id)
        self.result = result = Attempt(AttemptKind.FAILED, endpoint_id)
        self.log.record(self.call.request_id, 'attempt', endpoint_id)
        may_have_run = self.call.may_have_run
        self.call.may_have_run = True
        try:
            with hop_span('attempt', endpoint=endpoint_id) as span:
                await attempt(endpoint, result)
                span.set_attribute('basilpond.result', result.kind.name)
        except BaseException:
            # Cancelled because the caller disconnected.
            result.kind = AttemptKind.CALLER_GONE
            raise
        finally:
            self.dispatcher.finish_attempt(result)
        if result.kind is not AttemptKind.NOT_STARTED:
            self.may_have_run = True
            self._answered |= result.answered
        else:
            self.call.may_have_run = may_have_run
        if result.code is ResultCode.ENDPOINT_FAILED and (
            result.http_status < HTTP_SERVER_ERROR
        ):
            self.dispatcher.record_crash(self.call)
        return result

    async def _choose_endpoint(self, query: RouteQuery) -> str:
        try:
            self.dispatcher.check_crashes(
                self.call, may_have_run=self.may_have_run
            )
            return await self.dispatcher.choose_endpoint(self.call, query)
        except RefusalError as error:
            if self.may_have_run and error.outcome is Outcome.NOT_RUN:
                # An earlier attempt may have run, so the outcome "not run"
                # would be wrong.
                error.outcome = self._failure_outcome()
            raise

    def _failure_outcome(self) -> Outcome:
        # Without any response it is unknown whether the request ran.
        return Outcome.FAILED if self._answered else Outcome.UNKNOWN

    def _refusal(self, result: Attempt) -> RefusalError:
        message = result.message or 'the endpoint failed'
        code = result.code or ResultCode.ENDPOINT_FAILED
        if result.kind is AttemptKind.REJECTED:
            return RefusalError(
                code,
                message,
                outcome=Outcome.FAILED,
                http_status=result.http_status,
            )
        if not self.may_have_run:
            return not_run(code, message, 503, 1)
        return RefusalError(
            code,
            message,
            outcome=self._failure_outcome(),
            http_status=(504 if code is ResultCode.ENDPOINT_TIMEOUT else 502),
            retry_after_s=1 if self.idempotent else None,
        )
