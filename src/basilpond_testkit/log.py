"""Stand-in for the platform's append-only log, in memory only."""

from __future__ import annotations

import asyncio
import collections
import itertools
import pathlib
from typing import Annotated
from typing import Literal

from aiohttp import web
import defopt
import msgspec

from basilpond.settings import load_settings_or_exit

from . import _program

_Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of the log.

    `long_poll_responses_per_s` bounds the processor time for readers: the
    waiting readers of a stream are answered together, and the next wake waits
    until the responses since the last one fit the rate.
    """

    appends_per_s: _Count = 400
    append_burst: _Count = 100
    retention_records: _Count = 1_000_000
    retention_s: _Count = 7 * 24 * 3600
    max_payload_bytes: _Count = 1 << 20
    long_poll_responses_per_s: _Count = 1000


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings file of the program."""

    http: _program.HttpSettings = msgspec.field(
        default_factory=_program.HttpSettings
    )
    log: LogSettings = msgspec.field(default_factory=LogSettings)


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``.

    Parameters
    ----------
    mode : str
        ``down`` refuses with 503, ``slow`` delays by `delay_ms`,
        ``lose_acks`` closes the connection without an answer after the write,
        ``one_way`` takes requests and never answers, ``up`` ends faults.
    delay_ms : int
    for_ms : int, optional
        Without it the fault lasts until the next order.
    clients : list of str, optional
        Values of X-Client, their part before ``~``, or ``ip:port`` of the
        caller. Without it the fault affects everyone.
    """

    mode: Literal['up', 'down', 'slow', 'lose_acks', 'one_way']
    delay_ms: _program.Milliseconds = 0
    for_ms: _program.Milliseconds | None = None
    clients: list[str] | None = None


class Faults:
    """Faults in force, the latest first."""

    def __init__(self) -> None:
        self._faults: list[tuple[float | None, FaultOrder]] = []

    def order(self, order: FaultOrder, now_s: float) -> None:
        """Start a fault, or end those with the same clients.

        ``up`` without clients ends every fault.
        """
        if order.mode == 'up' and order.clients is None:
            self._faults.clear()
            return
        self._faults = [
            (until_s, fault)
            for until_s, fault in self._faults
            if fault.clients != order.clients
        ]
        if order.mode != 'up':
            until_s = (
                None if order.for_ms is None else now_s + order.for_ms / 1000
            )
            self._faults.insert(0, (until_s, order))

    def of(self, request: web.Request, now_s: float) -> FaultOrder | None:
        """Return the fault that affects a request."""
        if not self._faults:
            return None
        client = request.headers.get('X-Client', '')
        host, port = (request.transport.get_extra_info('peername') or ('', 0))[
            :2
        ]
        names = {client, client.partition('~')[0], f'{host}:{port}'}
        for until_s, fault in self._faults:
            if until_s is not None and now_s >= until_s:
                continue
            if fault.clients is None or names.intersection(fault.clients):
                return fault
        return None


class _Stream:
    """One stream: encoded records and the event that wakes its readers.

    Long polls see the records before `published`, the next offset at the last
    wake.
    """

    def __init__(self) -> None:
        self.earliest = 0
        self.records: collections.deque[tuple[int, bytes]] = (
            collections.deque()
        )
        self.readers = 0
        self.changed = asyncio.Event()
        self.wake: asyncio.TimerHandle | None = None
        self.next_wake_s = 0.0
        self.published = 0
        self.pages: dict[tuple[int, int], bytes] = {}

    @property
    def next_offset(self) -> int:
        return self.earliest + len(self.records)

    def append(self, payload: str, time_ms: int) -> int:
        offset = self.next_offset
        if self.records:
            # Folds use the append time as their clock, so it never goes back.
            time_ms = max(time_ms, self.records[-1][0])
        record = {'offset': offset, 'time_ms': time_ms, 'payload': payload}
        self.records.append((time_ms, msgspec.json.encode(record)))
        self.pages.clear()
        return offset

    def retain(self, max_records: int, oldest_ms: int) -> None:
        records = self.records
        while records and (
            len(records) > max_records or records[0][0] < oldest_ms
        ):
            records.popleft()
            self.earliest += 1
            self.pages.clear()

    def page(self, offset: int, limit: int) -> bytes:
        # Readers mostly wait for the same offset and share one page.
        page = self.pages.get((offset, limit))
        if page is None:
            start = max(0, offset - self.earliest)
            records = b','.join(
                record
                for _, record in itertools.islice(
                    self.records, start, start + limit
                )
            )
            page = (
                b'{"earliest_offset":%d,"next_offset":%d,"records":[%b]}'
                % (
                    self.earliest,
                    self.next_offset,
                    records,
                )
            )
            self.pages[offset, limit] = page
        return page


class Log:
    """Streams, limits and faults, as an aiohttp application."""

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._streams: dict[str, _Stream] = {}
        self._faults = Faults()
        self._counts: collections.Counter[str] = collections.Counter()
        self._bucket_appends = float(settings.append_burst)
        self._bucket_time_s = 0.0

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=self._settings.max_payload_bytes)
        records = '/v1/streams/{stream}/records'
        app.router.add_post(records, self._append)
        app.router.add_get(records, self._read)
        app.router.add_post('/control/faults', self._set_fault)
        app.router.add_get('/control/stats', self._stats)
        app.on_shutdown.append(self._release_readers)
        return app

    def _stream(self, request: web.Request) -> _Stream:
        name = request.match_info['stream']
        stream = self._streams.get(name)
        if stream is None:
            stream = self._streams[name] = _Stream()
        return stream

    async def _append(self, request: web.Request) -> web.Response:
        loop = asyncio.get_running_loop()
        fault = self._faults.of(request, loop.time())
        mode = 'up' if fault is None else fault.mode
        try:
            payload = (await request.read()).decode()
        except UnicodeDecodeError:
            return self._refuse(400, 'the payload is not UTF-8')
        if fault is not None and fault.delay_ms:
            await asyncio.sleep(fault.delay_ms / 1000)
        if mode == 'down':
            return self._refuse(503, 'the log is not available')
        if not self._take(loop.time()):
            return self._refuse(429, 'the append rate limit is exceeded')
        stream = self._stream(request)
        offset = stream.append(payload, _program.now_ms())
        self._counts['appends'] += 1
        self._retain(stream)
        self._wake_readers(stream)
        if mode == 'lose_acks':
            self._counts['lost_acks'] += 1
            request.transport.abort()
            raise ConnectionResetError('lose_acks')
        if mode == 'one_way':
            self._counts['lost_acks'] += 1
            await _program.silence()
        return web.Response(
            body=b'{"offset":%d}' % offset,
            status=201,
            content_type='application/json',
        )

    async def _read(self, request: web.Request) -> web.Response:
        try:
            offset = max(0, int(request.query.get('offset', '0')))
            limit = min(10_000, int(request.query.get('limit', '1000')))
            wait_ms = min(60_000, int(request.query.get('wait_ms', '0')))
        except ValueError:
            return self._refuse(400, 'offset, limit and wait_ms are integers')
        loop = asyncio.get_running_loop()
        stream = self._stream(request)
        deadline_s = loop.time() + wait_ms / 1000
        delayed = waited = False
        while True:
            fault = self._faults.of(request, loop.time())
            if fault is not None:
                if fault.delay_ms and not delayed:
                    delayed = True
                    await asyncio.sleep(fault.delay_ms / 1000)
                if fault.mode == 'down':
                    return self._refuse(503, 'the log is not available')
                if fault.mode == 'one_way':
                    await _program.silence()
            if offset < stream.published:
                if wait_ms and not waited:
                    self._count_responses(stream, 1)
                break
            if loop.time() >= deadline_s:
                break
            waited = True
            stream.readers += 1
            if offset < stream.next_offset:
                self._wake_readers(stream)
            try:
                async with asyncio.timeout_at(deadline_s):
                    await stream.changed.wait()
            except TimeoutError:
                pass
            finally:
                stream.readers -= 1
        self._retain(stream)
        self._counts['reads'] += 1
        return web.Response(
            body=stream.page(offset, limit), content_type='application/json'
        )

    def _refuse(self, status: int, message: str) -> web.Response:
        self._counts[f'refused_{status}'] += 1
        return _program.json_response({'error': message}, status)

    def _take(self, now_s: float) -> bool:
        settings = self._settings
        self._bucket_appends = min(
            settings.append_burst,
            self._bucket_appends
            + (now_s - self._bucket_time_s) * settings.appends_per_s,
        )
        self._bucket_time_s = now_s
        if self._bucket_appends < 1:
            return False
        self._bucket_appends -= 1
        return True

    def _retain(self, stream: _Stream) -> None:
        oldest_ms = _program.now_ms() - self._settings.retention_s * 1000
        stream.retain(self._settings.retention_records, oldest_ms)

    def _wake_readers(self, stream: _Stream) -> None:
        """Answer the waiting readers, at once or a little later together.

        Without the delay, every append would be a response to each reader.
        """
        if stream.wake is None and stream.readers:
            loop = asyncio.get_running_loop()
            stream.wake = loop.call_at(
                max(loop.time(), stream.next_wake_s), self._wake, stream
            )

    def _wake(self, stream: _Stream) -> None:
        stream.wake = None
        if asyncio.get_running_loop().time() < stream.next_wake_s:
            self._wake_readers(stream)
        else:
            self._wake_now(stream)

    def _wake_now(self, stream: _Stream) -> None:
        self._count_responses(stream, stream.readers)
        stream.published = stream.next_offset
        changed, stream.changed = stream.changed, asyncio.Event()
        changed.set()

    def _count_responses(self, stream: _Stream, responses: int) -> None:
        stream.next_wake_s = (
            max(stream.next_wake_s, asyncio.get_running_loop().time())
            + responses / self._settings.long_poll_responses_per_s
        )

    async def _set_fault(self, request: web.Request) -> web.Response:
        order = await _program.decode_body(request, FaultOrder)
        self._faults.order(order, asyncio.get_running_loop().time())
        for stream in self._streams.values():
            self._wake_now(stream)
        return _program.json_response({})

    async def _stats(self, request: web.Request) -> web.Response:
        streams = {
            name: {
                'earliest_offset': stream.earliest,
                'next_offset': stream.next_offset,
                'readers': stream.readers,
            }
            for name, stream in self._streams.items()
        }
        return _program.json_response({**self._counts, 'streams': streams})

    async def _release_readers(self, app: web.Application) -> None:
        self._faults.order(FaultOrder('down'), 0)
        for stream in self._streams.values():
            self._wake_now(stream)


def run(*, settings: pathlib.Path) -> None:
    """Run the stand-in for the append-only log.

    Parameters
    ----------
    settings : pathlib.Path
        TOML file.
    """
    values = load_settings_or_exit(settings, Settings)
    _program.start_logging()
    server = _program.Server(Log(values.log).app(), values.http)
    asyncio.run(_program.run_until_signal(server))


def main() -> None:
    """Entry point of ``basilpond-testkit-log``."""
    defopt.run(run)


if __name__ == '__main__':
    main()
