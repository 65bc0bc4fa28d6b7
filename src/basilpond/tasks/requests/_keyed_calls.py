"""Requests with an ``Idempotency-Key``: start, attach to or replay a run.

The run of such a request continues when its caller disconnects, so that a
retry gets the response that the first request was charged for.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from absl import logging
from aiohttp import web

from ...core import Outcome
from ...core import RefusalError
from ...core import ResultCode
from ._caller_request import CallerRequest
from ._refusals import error_body
from ._refusals import not_run
from ._refusals import refusal_headers
from ._refusals import stop_refusal
from ._request_log import RequestLog
from ._responses import BufferedResponse
from ._responses import ResponseHead
from ._responses import ResponseSink
from ._responses import ResponseStore

# Writes a response; returns whether it is complete and may be replayed.
Run = Callable[[ResponseSink], Awaitable[bool]]


class KeyedCalls:
    """Runs requests that have an ``Idempotency-Key``, once for each key.

    Parameters
    ----------
    responses : ResponseStore
        Running and finished responses of this router.
    log : RequestLog
    """

    def __init__(self, responses: ResponseStore, log: RequestLog) -> None:
        self.responses = responses
        self.log = log
        self._run_tasks: set[asyncio.Task] = set()

    async def serve(self, call: CallerRequest, run: Run) -> web.StreamResponse:
        """Send the running, stored or new response of a request.

        Parameters
        ----------
        call : CallerRequest
        run : callable
            Runs the request if its key is new to this router.

        Returns
        -------
        aiohttp.web.StreamResponse
            The response, already sent to the caller.

        Raises
        ------
        RefusalError
            The key was used with another body, or the run ended without a
            response.
        """
        organisation = call.organisation.id
        buffered = self.responses.get(organisation, call.request_id)
        if buffered is None:
            # Added before the first await, so that a second request with the
            # same key attaches to this run.
            buffered = BufferedResponse(call.body_digest, call.end)
            self.responses.add(organisation, call.request_id, buffered)
            self._spawn(self._run(call, run, buffered))
        elif buffered.body_digest != call.body_digest:
            raise not_run(
                ResultCode.KEY_REUSED_WITH_OTHER_BODY,
                'the Idempotency-Key was used with another body',
                422,
            )
        else:
            self.log.record(call.request_id, 'attach', 'to a known answer')
            call.may_have_run = True
        try:
            return await _deliver(call.request, buffered)
        finally:
            call.end.outcome = buffered.end.outcome
            call.end.code = buffered.end.code

    def find_finished(
        self, organisation: str, request_id: str
    ) -> BufferedResponse | None:
        """Return the response to a request if it is finished, else None.

        Used to serve stored responses to other routers.
        """
        buffered = self.responses.get(organisation, request_id)
        return buffered if buffered is not None and buffered.finished else None

    async def wait_runs(self) -> None:
        """Wait until all runs are done, also those of absent callers."""
        while self._run_tasks:
            await asyncio.wait(self._run_tasks)

    def end_runs(self) -> None:
        """End all runs with a response that tells their state."""
        for task in self._run_tasks:
            task.cancel()

    def _spawn(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._run_tasks.add(task)
        task.add_done_callback(self._run_tasks.discard)

    async def _run(
        self, call: CallerRequest, run: Run, buffered: BufferedResponse
    ) -> None:
        is_complete = False
        try:
            is_complete = await run(buffered)
            if is_complete:
                call.end.complete()
        except RefusalError as error:
            self.log.record_refusal(call.request_id, error)
            call.end.refuse(error)
            await _write_refusal(buffered, error, call.request_id)
        except asyncio.CancelledError:
            error = stop_refusal(may_have_run=call.may_have_run)
            call.end.refuse(error)
            await _write_refusal(buffered, error, call.request_id)
        except Exception:
            logging.exception('keyed request failed')
            error = RefusalError(
                ResultCode.INTERNAL_ERROR,
                'internal error',
                outcome=Outcome.UNKNOWN,
                http_status=500,
            )
            call.end.refuse(error)
            await _write_refusal(buffered, error, call.request_id)
        finally:
            if not buffered.finished:
                buffered.abort()
            self._keep_or_remove(call, is_complete)

    def _keep_or_remove(self, call: CallerRequest, is_complete: bool) -> None:
        organisation = call.organisation.id
        if is_complete:
            now_s = asyncio.get_running_loop().time()
            self.responses.keep(organisation, call.request_id, now_s)
        else:
            self.responses.remove(organisation, call.request_id)


async def _write_refusal(
    buffered: BufferedResponse, error: RefusalError, request_id: str
) -> None:
    if buffered.started:
        return
    await buffered.start(
        ResponseHead(error.http_status, refusal_headers(error, request_id))
    )
    await buffered.write(error_body(error, request_id))
    await buffered.finish()


async def _deliver(
    request: web.BaseRequest, buffered: BufferedResponse
) -> web.StreamResponse:
    head = await buffered.wait_head()
    if head is None:
        raise RefusalError(
            ResultCode.INTERNAL_ERROR,
            'the run ended without an answer',
            outcome=Outcome.UNKNOWN,
            http_status=500,
        )
    response = web.StreamResponse(status=head.status, headers=head.headers)
    await response.prepare(request)
    async for data in buffered.parts():
        await response.write(data)
    if buffered.finished:
        await response.write_eof()
    elif request.transport is not None:
        request.transport.close()
    return response
