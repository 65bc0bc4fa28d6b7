"""Calls with an ``Idempotency-Key``: attach, replay or start a run.

A keyed run does not end with its caller's connection, so that a retry finds
the answer that the first call paid for.
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
from ._answers import AnswerHead
from ._answers import AnswerSink
from ._answers import AnswerStore
from ._answers import BufferedAnswer
from ._caller_request import CallerRequest
from ._refusals import error_body
from ._refusals import not_run
from ._refusals import refusal_headers
from ._request_log import RequestLog

# Writes an answer and tells whether it is whole and may be given again.
Run = Callable[[AnswerSink], Awaitable[bool]]


class KeyedCalls:
    """Owner of keyed runs.

    Parameters
    ----------
    answers : AnswerStore
    log : RequestLog
    """

    def __init__(self, answers: AnswerStore, log: RequestLog) -> None:
        self.answers = answers
        self.log = log
        self._tasks: set[asyncio.Task] = set()

    async def serve(self, call: CallerRequest, run: Run) -> web.StreamResponse:
        """Deliver the running, stored or new answer of a call.

        Raises
        ------
        RefusalError
            The key was used with another body.
        """
        organisation = call.organisation.id
        answer = self.answers.get(organisation, call.request_id)
        if answer is None:
            # Registered before the first await, so that a second call with
            # the same id attaches to this one.
            answer = BufferedAnswer(call.body_digest, call.end)
            self.answers.add(organisation, call.request_id, answer)
            self._spawn(self._run(call, run, answer))
        elif answer.body_digest != call.body_digest:
            raise not_run(
                ResultCode.KEY_REUSED_WITH_OTHER_BODY,
                'the Idempotency-Key was used with another body',
                422,
            )
        else:
            self.log.record(call.request_id, 'attach', 'to a known answer')
        try:
            return await _deliver(call.request, answer)
        finally:
            call.end.outcome = answer.end.outcome
            call.end.code = answer.end.code

    def find(
        self, organisation: str, request_id: str
    ) -> BufferedAnswer | None:
        """Return a finished answer, for a peer that asks for it."""
        answer = self.answers.get(organisation, request_id)
        return answer if answer is not None and answer.finished else None

    async def wait_runs(self) -> None:
        """Wait for runs whose callers may be gone."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _spawn(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(
        self, call: CallerRequest, run: Run, answer: BufferedAnswer
    ) -> None:
        whole = False
        try:
            whole = await run(answer)
            if whole:
                call.end.complete()
        except RefusalError as error:
            self.log.record_refusal(call.request_id, error)
            call.end.refuse(error)
            await _write_refusal(answer, error, call.request_id)
        except Exception:
            logging.exception('keyed request failed')
            error = RefusalError(
                ResultCode.INTERNAL_ERROR,
                'internal error',
                outcome=Outcome.UNKNOWN,
                http_status=500,
            )
            call.end.refuse(error)
            await _write_refusal(answer, error, call.request_id)
        finally:
            if not answer.finished:
                answer.abort()
            self._keep_or_remove(call, whole)

    def _keep_or_remove(self, call: CallerRequest, whole: bool) -> None:
        organisation = call.organisation.id
        if whole:
            now_s = asyncio.get_running_loop().time()
            self.answers.keep(organisation, call.request_id, now_s)
        else:
            self.answers.remove(organisation, call.request_id)


async def _write_refusal(
    answer: BufferedAnswer, error: RefusalError, request_id: str
) -> None:
    if answer.started:
        return
    await answer.start(
        AnswerHead(error.http_status, refusal_headers(error, request_id))
    )
    await answer.write(error_body(error, request_id))
    await answer.finish()


async def _deliver(
    request: web.BaseRequest, answer: BufferedAnswer
) -> web.StreamResponse:
    head = await answer.wait_head()
    if head is None:
        raise RefusalError(
            ResultCode.INTERNAL_ERROR,
            'the run ended without an answer',
            outcome=Outcome.UNKNOWN,
            http_status=500,
        )
    response = web.StreamResponse(status=head.status, headers=head.headers)
    await response.prepare(request)
    async for data in answer.parts():
        await response.write(data)
    if answer.finished:
        await response.write_eof()
    elif request.transport is not None:
        request.transport.close()
    return response
