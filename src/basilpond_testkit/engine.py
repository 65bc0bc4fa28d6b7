"""Stand-in for a streaming model engine with continuous batching."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import itertools
import pathlib
from typing import Any
import uuid

from absl import logging
from aiohttp import web
import defopt
import msgspec
import xxhash

from basilpond.settings import load_settings_or_exit

from . import _answers
from . import _frames
from . import _program
from ._answers import body_content_digest as content_digest
from ._answers import expected_answer
from ._answers import expected_usage
from ._engine_batch import Batch
from ._engine_batch import PrefixCache
from ._engine_batch import Run
from ._engine_messages import PATCHES
from ._engine_messages import EngineSettings
from ._engine_messages import FaultOrder
from ._engine_messages import LeavingOrder
from ._engine_messages import Patch
from ._engine_messages import RunRecord
from ._engine_messages import Settings

__all__ = [
    'Engine',
    'EngineSettings',
    'Patch',
    'RunRecord',
    'content_digest',
    'expected_answer',
    'expected_usage',
]


class Engine:
    """Model engine, as an aiohttp application.

    Parameters
    ----------
    settings : EngineSettings
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._batch = Batch(settings)
        self._cache = PrefixCache(settings)
        self._faults: dict[str, tuple[float, FaultOrder]] = {}
        self._runs: collections.deque[RunRecord] = collections.deque(
            maxlen=settings.kept_runs
        )
        self._counts: collections.Counter[str] = collections.Counter()
        self._silent: set[asyncio.Protocol] = set()
        self._leaving = LeavingOrder(leaving=False)
        self._load: dict[str, Any] = {}
        self._load_s = 0.0
        self.server: _program.Server | None = None

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(
            client_max_size=16 << 20, middlewares=[self._silence]
        )
        app.router.add_post('/v1/chat/completions', self._chat)
        app.router.add_get('/load', self._get_load)
        app.router.add_get('/cache_events', self._cache_events)
        app.router.add_get('/control/runs', self._get_runs)
        app.router.add_post('/control/faults', self._set_fault)
        app.router.add_post('/control/leaving', self._set_leaving)
        return app

    def _fault(self, mode: str) -> FaultOrder | None:
        if mode not in self._faults:
            return None
        until_s, order = self._faults[mode]
        if asyncio.get_running_loop().time() >= until_s:
            del self._faults[mode]
            return None
        return order

    @web.middleware
    async def _silence(
        self, request: web.Request, handler: Callable
    ) -> web.StreamResponse:
        if request.protocol in self._silent:
            await _program.silence()
        return await handler(request)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        received_ms = _program.now_ms()
        body = await request.read()
        try:
            chat = _answers.decode_request(body)
        except msgspec.MsgspecError as error:
            return self._error(400, str(error))
        if chat.model not in self._settings.models:
            return self._error(404, f'the model {chat.model!r} does not exist')
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        record = RunRecord(
            attempt_id=request.headers.get('X-Request-Id') or uuid.uuid4().hex,
            content_digest=_answers.content_digest(chat),
            body_digest=xxhash.xxh3_128_hexdigest(body),
            model=chat.model,
            stream=chat.stream,
            priority=_integer(request.headers.get('X-Priority'), 5),
            prompt_tokens=_answers.prompt_tokens(chat),
            received_ms=received_ms,
            leaving=self._leaving.leaving,
            version=self._settings.version,
        )
        self._runs.append(record)
        crash = self._fault('crash_on_text')
        if crash is not None and crash.text in _answers.prompt_text(chat):
            record.started_ms = received_ms
            self._end(record, 'crashed')
            await self._crash(crash.down_ms)
            return self._error(500, 'crashed')
        return await self._run(request, chat, record)

    def _refusal(self) -> web.Response | None:
        order = self._fault('refuse')
        if order is not None:
            return self._error(503, 'refusing', not_started=order.not_started)
        if self._leaving.leaving and self._leaving.refuse:
            return self._error(503, 'leaving', not_started=True)
        if self._batch.full():
            return self._error(429, 'the queue is full', not_started=True)
        return None

    def _patch(self) -> str | None:
        return next((p for p in list(self._faults) if p in PATCHES), None)

    async def _run(
        self,
        request: web.Request,
        chat: _answers.ChatRequest,
        record: RunRecord,
    ) -> web.StreamResponse:
        patch = self._patch()
        if patch is not None and self._fault(patch) is None:
            patch = None
        limit_tokens = chat.output_limit_tokens()
        words, cut = _answers.answer_words(chat, limit_tokens, record.version)
        if patch == 'ignore_max_tokens':
            words = words + words[::-1] + bytes(50)
        options = chat.stream_options or _answers.StreamOptions()
        answer = _frames.Answer(
            id=f'chatcmpl-{record.attempt_id}',
            model=chat.model,
            created_s=record.received_ms // 1000,
            words=words,
            finish_reason='length' if cut else 'stop',
            usage=_frames.Usage(record.prompt_tokens, len(words)),
            include_usage=options.include_usage,
        )
        missing = self._cache.use(_answers.prefix_digests(chat))
        first_token_ms = (
            self._settings.first_token_ms
            + missing * self._settings.prompt_block_ms
        )
        slow = self._fault('slow')
        if slow is not None:
            first_token_ms += slow.delay_ms
        run = Run(
            record,
            first_token_ms / 1000,
            itertools.repeat(b'.', len(words)),
            None,
            asyncio.get_running_loop().create_future(),
            protocol=request.protocol,
            words=len(words),
            every_steps=1 if slow is None else slow.every_steps,
        )
        response: web.StreamResponse
        if chat.stream:
            response = web.StreamResponse(
                headers={
                    'Content-Type': 'text/event-stream',
                    'Cache-Control': 'no-cache',
                }
            )
            response.enable_chunked_encoding()
            writer = await response.prepare(request)
            writer.send_headers()
            run.steps = _frames.frames(answer, patch)
            # The transport directly: 34,000 frames a second leave no time
            # for a coroutine per frame.
            run.write = request.transport.write
            silent = self._fault('silent_after_frames')
            if silent is not None:
                run.steps = itertools.chain(
                    itertools.islice(run.steps, silent.frames),
                    itertools.repeat(b''),
                )
        else:
            response = web.Response(
                body=_frames.whole(answer, patch),
                content_type='application/json',
            )
        self._batch.add(run)
        try:
            await run.ended
        except asyncio.CancelledError:
            if record.state != 'crashed':
                self._batch.remove(run)
                self._end(record, 'cancelled')
            raise
        if chat.stream:
            await response.write_eof()
        return response

    @staticmethod
    def _end(record: RunRecord, state: str) -> None:
        record.state = state
        record.ended_ms = _program.now_ms()

    def _error(
        self, status: int, message: str, *, not_started: bool = False
    ) -> web.Response:
        self._counts[f'answered_{status}'] += 1
        response = _program.json_response(
            {'error': {'message': message, 'code': status}}, status
        )
        if not_started:
            response.headers['X-Not-Started'] = '1'
        return response

    async def _crash(self, down_ms: int) -> None:
        logging.info('crash: refusing connections for %d ms', down_ms)
        self._cache.clear()
        self._silent.clear()
        for run in self._batch.clear():
            self._end(run.record, 'crashed')
            run.ended.cancel()
        if self.server is not None:
            self.server.abort_connections()
            await self.server.refuse_connections(down_ms)

    async def _get_load(self, request: web.Request) -> web.Response:
        now_s = asyncio.get_running_loop().time()
        lag_s = self._settings.load_lag_ms / 1000
        if not self._load or now_s - self._load_s >= lag_s:
            self._load_s = now_s
            self._load = {
                'running': self._batch.running,
                'waiting': self._batch.waiting,
                'kv_used_share': len(self._cache)
                / self._settings.cache_blocks,
                'leaving': self._leaving.leaving,
                'time_ms': _program.now_ms(),
            }
        return _program.json_response(self._load)

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = _integer(request.query.get('after'), 0)
        return _program.json_response(self._cache.events_after(after))

    async def _get_runs(self, request: web.Request) -> web.Response:
        return _program.json_response(
            {'counts': self._counts, 'runs': list(self._runs)}
        )

    async def _set_fault(self, request: web.Request) -> web.Response:
        order = await _program.decode_body(request, FaultOrder)
        if order.mode == 'up':
            self._faults.clear()
            self._silent.clear()
        elif order.mode == 'crash':
            loop = asyncio.get_running_loop()
            # Later, so that this response still leaves.
            loop.call_later(
                0.01, lambda: loop.create_task(self._crash(order.down_ms))
            )
        elif order.mode == 'silent' and self.server is not None:
            others = set(self.server.connections()) - {request.protocol}
            self._silent = others
            self._batch.silence(others)
        else:
            duration_s = (
                float('inf') if order.for_ms is None else order.for_ms / 1000
            )
            until_s = asyncio.get_running_loop().time() + duration_s
            self._faults[order.mode] = (until_s, order)
        return _program.json_response({})

    async def _set_leaving(self, request: web.Request) -> web.Response:
        self._leaving = await _program.decode_body(request, LeavingOrder)
        return _program.json_response({})


def _integer(text: str | None, default: int) -> int:
    try:
        return int(text or default)
    except ValueError:
        return default


def run(*, settings: pathlib.Path) -> None:
    """Run the stand-in for a model engine.

    Parameters
    ----------
    settings : pathlib.Path
        TOML file.
    """
    values = load_settings_or_exit(settings, Settings)
    _program.start_logging()
    engine = Engine(values.engine)
    engine.server = _program.Server(engine.app(), values.http)
    asyncio.run(_program.run_until_signal(engine.server))


def main() -> None:
    """Entry point of ``basilpond-testkit-engine``."""
    defopt.run(run)


if __name__ == '__main__':
    main()
