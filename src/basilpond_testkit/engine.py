"""Stand-in for a streaming model engine with continuous batching."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import heapq
import itertools
import pathlib
import random
from typing import Annotated
from typing import Any
from typing import Literal
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

__all__ = [
    'Engine',
    'EngineSettings',
    'RunRecord',
    'content_digest',
    'expected_answer',
    'expected_usage',
]

_Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]

Patch = Literal[
    'other_frame_form',
    'no_usage',
    'wrong_usage',
    'ignore_max_tokens',
    'truncate_clean',
    'other_id',
    'duplicate_frames',
    'late_frames',
    'reorder',
]
_PATCHES = frozenset(Patch.__args__)


class EngineSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Model of the engine.

    Parameters
    ----------
    models : list of str
    first_token_ms : int
        Time from the start of a request to its first token, with every prompt
        block in the prefix cache.
    prompt_block_ms : float
        Added for each prompt block of 256 bytes that is not in the cache.
    token_interval_ms : float
        Time of one step; each running request gets one token per step.
    batch_size : int
        Requests that run at the same time.
    queue_size : int
        Requests that wait; more are refused.
    step_groups : int
        Parts of the batch that step one after the other, spread over the
        interval. One process then stands for as many engines.
    cache_blocks : int
    cache_event_lag_ms, load_lag_ms : int
    cache_event_loss_share : float
        Share of the cache events that are never reported.
    """

    models: list[str] = msgspec.field(default_factory=lambda: ['model-a'])
    first_token_ms: _program.Milliseconds = 100
    prompt_block_ms: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 2.0
    token_interval_ms: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = 20.0
    batch_size: _Count = 64
    queue_size: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 64
    step_groups: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    cache_blocks: _Count = 4096
    cache_event_lag_ms: _program.Milliseconds = 200
    cache_event_loss_share: _Share = 0.0
    load_lag_ms: _program.Milliseconds = 200
    kept_runs: _Count = 100_000


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings file of the program."""

    http: _program.HttpSettings = msgspec.field(
        default_factory=_program.HttpSettings
    )
    engine: EngineSettings = msgspec.field(default_factory=EngineSettings)


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``.

    Parameters
    ----------
    mode : str
        ``up`` ends all faults. ``crash`` closes all connections at once and
        refuses new ones for `down_ms`; ``crash_on_text`` does so for each
        request whose prompt contains `text`. ``refuse`` answers 503, with
        X-Not-Started when `not_started`. ``silent`` never answers again on
        the connections open now. ``silent_after_frames`` stops streams after
        `frames` tokens. ``slow`` delays the first token by `delay_ms` and
        sends a token every `every_steps` steps. The others are patches.
    for_ms : int, optional
        Without it the fault lasts until ``up``.
    """

    mode: (
        Literal[
            'up',
            'crash',
            'crash_on_text',
            'refuse',
            'silent',
            'silent_after_frames',
            'slow',
        ]
        | Patch
    )
    for_ms: _program.Milliseconds | None = None
    down_ms: _program.Milliseconds = 1000
    text: str = ''
    frames: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 3
    delay_ms: _program.Milliseconds = 0
    every_steps: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    not_started: bool = True


class LeavingOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/leaving``.

    `refuse` makes a leaving engine refuse new requests as not started.
    """

    leaving: bool = True
    refuse: bool = False


class RunRecord(msgspec.Struct):
    """One run, for audits; times are wall-clock milliseconds, 0 = never.

    `tokens_sent` counts tokens generated and, for a stream, written.
    `content_digest` covers model and messages, `body_digest` the body's
    bytes.
    """

    attempt_id: str
    content_digest: str
    body_digest: str
    model: str
    stream: bool
    priority: int
    prompt_tokens: int
    received_ms: int
    leaving: bool
    started_ms: int = 0
    first_token_ms: int = 0
    ended_ms: int = 0
    tokens_sent: int = 0
    state: Literal[
        'waiting', 'running', 'finished', 'cancelled', 'crashed'
    ] = 'waiting'


class PrefixCache:
    """Least recently used prompt blocks in limited memory.

    Parameters
    ----------
    settings : EngineSettings
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[int, str, bool]] = (
            collections.deque(maxlen=10_000)
        )
        self._next = 0
        self._losses = random.Random(1)

    def __len__(self) -> int:
        return len(self._blocks)

    def use(self, digests: list[str]) -> int:
        """Store a prompt's blocks; return how many were missing."""
        blocks = self._blocks
        cached = 0
        for digest in digests:
            if digest not in blocks:
                break
            cached += 1
        for digest in digests:
            if digest in blocks:
                blocks.move_to_end(digest)
            else:
                blocks[digest] = None
                self._report(digest, True)
        while len(blocks) > self._settings.cache_blocks:
            digest, _ = blocks.popitem(last=False)
            self._report(digest, False)
        return len(digests) - cached

    def clear(self) -> None:
        """Forget everything, as a restart does."""
        self._blocks.clear()

    def _report(self, digest: str, stored: bool) -> None:
        if self._losses.random() < self._settings.cache_event_loss_share:
            return
        asyncio.get_running_loop().call_later(
            self._settings.cache_event_lag_ms / 1000,
            self._publish,
            digest,
            stored,
        )

    def _publish(self, digest: str, stored: bool) -> None:
        self._next += 1
        self._events.append((self._next, digest, stored))

    def events_after(self, number: int) -> dict[str, Any]:
        """Return the reported events after a number."""
        return {
            'next': self._next,
            'events': [
                {'prefix_digest': digest, 'stored': stored}
                for event, digest, stored in self._events
                if event > number
            ],
        }


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """A request in the batch or its queue.

    `write` takes the bytes of one step; `ended` is done when the run has
    finished, and cancelled when it crashed.
    """

    record: RunRecord
    first_token_s: float
    steps: Iterator[bytes]
    write: Callable[[bytes], None] | None
    ended: asyncio.Future[None]
    protocol: asyncio.Protocol | None = None
    words: int = 0
    every_steps: int = 1
    ready_s: float = 0.0
    silent: bool = False


class Batch:
    """Continuous batching: one timer emits a token of each running request.

    Parameters
    ----------
    settings : EngineSettings
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._groups: list[list[_Run]] = [
            [] for _ in range(settings.step_groups)
        ]
        self._waiting: list[tuple[int, int, _Run]] = []
        self._order = itertools.count()
        self._tick = 0
        self._next_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        """Number of running requests."""
        return sum(map(len, self._groups))

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def full(self) -> bool:
        """Return whether a new request has no place."""
        return (
            self.running >= self._settings.batch_size
            and self.waiting >= self._settings.queue_size
        )

    def add(self, run: _Run) -> None:
        """Queue a request by priority, then arrival."""
        entry = (run.record.priority, next(self._order), run)
        heapq.heappush(self._waiting, entry)
        self._admit()

    def remove(self, run: _Run) -> None:
        """Take out a request whose caller has gone."""
        for group in self._groups:
            if run in group:
                group.remove(run)
                self._admit()
                return
        self._waiting = [e for e in self._waiting if e[2] is not run]
        heapq.heapify(self._waiting)

    def clear(self) -> list[_Run]:
        """Drop every request and return them."""
        runs = [run for group in self._groups for run in group]
        runs += [run for _, _, run in self._waiting]
        for group in self._groups:
            group.clear()
        self._waiting.clear()
        return runs

    def silence(self, protocols: set[asyncio.Protocol]) -> None:
        """Stop the output of the requests on some connections."""
        for group in self._groups:
            for run in group:
                run.silent = run.silent or run.protocol in protocols

    def _admit(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiting and self.running < self._settings.batch_size:
            _, _, run = heapq.heappop(self._waiting)
            run.record.state = 'running'
            run.record.started_ms = _program.now_ms()
            run.ready_s = loop.time() + run.first_token_s
            min(self._groups, key=len).append(run)
        if self._timer is None and self.running:
            self._next_s = loop.time()
            self._timer = loop.call_at(self._next_s, self._step)

    def _step(self) -> None:
        loop = asyncio.get_running_loop()
        settings = self._settings
        now_s = loop.time()
        self._tick += 1
        index = self._tick % settings.step_groups
        step = self._tick // settings.step_groups
        ended = []
        for run in self._groups[index]:
            if now_s < run.ready_s or run.silent:
                continue
            if run.every_steps > 1 and step % run.every_steps:
                continue
            chunk = next(run.steps, None)
            if chunk is None:
                ended.append(run)
                continue
            record = run.record
            if not record.tokens_sent:
                record.first_token_ms = _program.now_ms()
            if chunk and record.tokens_sent < run.words:
                record.tokens_sent += 1
            if run.write is not None and chunk:
                run.write(b'%x\r\n%b\r\n' % (len(chunk), chunk))
        for run in ended:
            self._groups[index].remove(run)
            run.record.state = 'finished'
            run.record.ended_ms = _program.now_ms()
            if not run.ended.done():
                run.ended.set_result(None)
        if ended:
            self._admit()
        period_s = settings.token_interval_ms / 1000 / settings.step_groups
        # A late step delays the following ones; it is not made up for.
        self._next_s = max(self._next_s + period_s, now_s)
        self._timer = (
            loop.call_at(self._next_s, self._step) if self.running else None
        )


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
        return next((p for p in list(self._faults) if p in _PATCHES), None)

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
        words, cut = _answers.answer_words(chat, limit_tokens)
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
        run = _Run(
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
