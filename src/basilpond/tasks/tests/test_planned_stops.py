import asyncio
import contextlib
import time

import aiohttp
import msgspec
import pytest

from basilpond.tasks.tests.small_system import HOST
from basilpond.tasks.tests.small_system import KEYS
from basilpond.tasks.tests.small_system import chat
from basilpond.tasks.tests.small_system import running_system
from basilpond.tasks.tests.small_system import uuid7
from basilpond_testkit.loopback_clock import on_loopback_clock

NOTICE_S = 0.25
DRAIN_S = 0.45
GRACE_S = NOTICE_S + DRAIN_S
TENTHS = tuple(tenth * GRACE_S / 10 for tenth in range(10))
# Longer than the time between the drain timeout and SIGKILL.
LONG_MS = 30_000
PATIENT = {'first_byte_timeout_ms': 60_000, 'frame_timeout_ms': 60_000}
ANSWER_TIMEOUT_S = 5.0


class Stop:
    """A stop of the only router of a system."""

    def __init__(self, system):
        self.system = system
        self.router = router = system.routers.pop()
        section = msgspec.structs.replace(
            router.settings.router,
            drain_notice_ms=int(NOTICE_S * 1000),
            drain_timeout_ms=int(DRAIN_S * 1000),
        )
        router.settings = msgspec.structs.replace(
            router.settings, router=section
        )
        self.port = section.caller_port
        self.started_s = asyncio.get_running_loop().time()
        self.ended = asyncio.create_task(router.stop())

    async def wait_until(self, after_s):
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self.started_s + after_s - now_s)

    async def wait_end(self):
        await asyncio.wait_for(self.ended, 5.0)


class Connection:
    """A kept connection of a caller."""

    def __init__(self, port):
        self.url = f'http://{HOST}:{port}'
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1)
        )

    async def call(self, path, method='POST', **options):
        headers = {'Authorization': f'Bearer {KEYS["acme"]}'}
        headers.update(options.pop('headers', {}))
        async with (
            asyncio.timeout(ANSWER_TIMEOUT_S),
            self.session.request(
                method, self.url + path, headers=headers, **options
            ) as response,
        ):
            return response.status, response.headers, await response.read()

    async def call_unsafe(self, key=None, **options):
        return await self.call(
            '/v1/services/desk/spots/p1/claim',
            headers={
                'Idempotency-Key': key or uuid7(int(time.time() * 1000)),
                'Basilpond-Attempt': '1',
            },
            json={'tag': 't1'},
            **options,
        )


@contextlib.asynccontextmanager
async def open_connections():
    opened = []

    def connect(port):
        opened.append(Connection(port))
        return opened[-1]

    try:
        yield connect
    finally:
        for connection in opened:
            await connection.session.close()


@pytest.fixture
async def connections():
    async with open_connections() as connect:
        yield connect


def outcome(reply):
    return reply[1]['Basilpond-Outcome']


async def call_kind(caller, kind, **headers):
    if kind == 'unsafe':
        return await caller.call_unsafe(headers.get('Idempotency-Key'))
    if kind == 'safe':
        return await caller.call('/v1/services/desk/spots/p1', 'GET')
    return await caller.call(
        '/v1/chat/completions',
        json=chat(),
        headers=headers if kind == 'keyed' else {},
    )


@pytest.mark.parametrize('delay_ms', [20, LONG_MS])
@on_loopback_clock
async def test_each_tenth_of_a_stop_is_answered(delay_ms):
    """Guards against requests that a stop ends without an answer.

    Each is sent on a connection that was kept from before the stop.
    """
    async with (
        running_system(limits=PATIENT) as system,
        open_connections() as connections,
    ):
        port = system.routers[0].settings.router.caller_port
        calls = [
            (connections(port), kind, after_s)
            for kind in ('unsafe', 'safe', 'chat')
            for after_s in TENTHS
        ]
        for caller, _, _ in calls:
            await caller.call('/v1/models', 'GET')
        for server in (system.service_server, system.engine_server):
            await system.set_fault(server, mode='slow', delay_ms=delay_ms)
        stop = Stop(system)

        async def call(caller, kind, after_s):
            await stop.wait_until(after_s)
            try:
                return await call_kind(caller, kind)
            except aiohttp.ClientConnectionError:
                # The process ended before, or the request crossed its end.
                return None

        replies = await asyncio.gather(*(call(*c) for c in calls))
        await stop.wait_end()
        unsafe_runs = 0
        for (_, kind, after_s), reply in zip(calls, replies, strict=True):
            unsafe_runs += kind == 'unsafe' and after_s < NOTICE_S
            answer = reply and (reply[0], outcome(reply))
            if after_s > NOTICE_S:
                assert answer in (None, (503, 'not-run')), kind
            elif delay_ms < LONG_MS:
                assert answer == (200, 'complete'), kind
            else:
                assert answer == (504, 'unknown'), kind
        assert len(system.service._runs) == unsafe_runs


async def test_response_in_a_stop_ends_its_connection(connections):
    """Guards against callers that keep the connection they have."""
    async with running_system(limits=PATIENT) as system:
        caller = connections(system.routers[0].settings.router.caller_port)
        reply = await caller.call('/v1/models', 'GET')
        assert 'Connection' not in reply[1]
        stop = Stop(system)
        await stop.wait_until(NOTICE_S / 2)
        reply = await caller.call('/v1/models', 'GET')
        assert (reply[0], reply[1]['Connection']) == (200, 'close')
        await stop.wait_end()


async def test_late_request_on_a_kept_connection_is_refused(connections):
    """Guards against a call that is sent on when the stop is about to end."""
    async with running_system(limits=PATIENT) as system:
        port = system.routers[0].settings.router.caller_port
        early, late = connections(port), connections(port)
        await late.call('/v1/models', 'GET')
        await system.set_fault(
            system.service_server, mode='slow', delay_ms=400
        )
        stop = Stop(system)
        in_progress = asyncio.create_task(early.call_unsafe())
        await stop.wait_until(NOTICE_S + 0.1)
        reply = await late.call_unsafe()
        assert (reply[0], outcome(reply)) == (503, 'not-run')
        reply = await in_progress
        assert (reply[0], outcome(reply)) == (200, 'complete')
        await stop.wait_end()


async def test_stream_that_outlasts_a_stop_looks_incomplete(connections):
    """Guards against a stop that ends a stream as if it were complete."""
    async with running_system(limits=PATIENT) as system:
        port = system.routers[0].settings.router.caller_port
        await system.set_fault(
            system.engine_server, mode='silent_after_frames', frames=3
        )
        stop = Stop(system)

        async def call(headers):
            with pytest.raises(aiohttp.ClientPayloadError):
                await connections(port).call(
                    '/v1/chat/completions',
                    json=chat(stream=True),
                    headers=headers,
                )

        await asyncio.gather(call({}), call({'Idempotency-Key': 'k1'}))
        await stop.wait_end()


async def test_request_that_was_not_sent_in_a_stop_is_refused(connections):
    """Guards against a cut of a request that was sent to no endpoint.

    Requests wait for tokens, or their bodies have not arrived.
    """
    async with running_system(limits=PATIENT) as system:
        router = system.routers[0]
        port = router.settings.router.caller_port
        keys = [uuid7(int(time.time() * 1000)) for _ in range(4)]

        async def hold(organisation, tokens, *, timeout_s):
            await asyncio.sleep(3600)

        router.budget.hold = hold
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n'
            b'Authorization: Bearer ' + KEYS['acme'].encode() + b'\r\n'
            b'Content-Length: 1000\r\n\r\n{'
        )
        stop = Stop(system)
        kinds = ('unsafe', 'safe', 'chat', 'keyed')
        replies = await asyncio.gather(
            *(
                call_kind(
                    connections(port),
                    kind,
                    **{'Idempotency-Key': key, 'Basilpond-Attempt': '1'},
                )
                for kind, key in zip(kinds, keys, strict=True)
            )
        )
        for kind, reply in zip(kinds, replies, strict=True):
            assert (reply[0], outcome(reply)) == (503, 'not-run'), kind
        status = await asyncio.wait_for(reader.readline(), 5.0)
        writer.close()
        assert status.startswith(b'HTTP/1.1 503 ')
        await stop.wait_end()
        # Another router may run the call.
        claim = router.ledger_task.ledger.claim('acme', keys[0])
        assert claim.state == 'abandoned'


async def test_second_request_with_a_key_is_not_said_to_be_unrun(connections):
    """Guards against "not run" for a key whose first request may run."""
    async with running_system(limits=PATIENT) as system:
        port = system.routers[0].settings.router.caller_port
        await system.set_fault(
            system.service_server, mode='slow', delay_ms=LONG_MS
        )
        key = uuid7(int(time.time() * 1000))
        stop = Stop(system)
        replies = await asyncio.gather(
            *(connections(port).call_unsafe(key) for _ in range(2))
        )
        for reply in replies:
            assert (reply[0], outcome(reply)) == (504, 'unknown')
        await stop.wait_end()
        bill = stop.router.budget.recorded_bill('acme', key)
        assert bill.outcome == 'unknown'


async def test_body_that_ends_late_in_a_stop_is_refused(connections):
    """Guards against a call that is sent on when the stop is about to end.

    Whether the router stops was checked before the body was read.
    """
    async with running_system() as system:
        caller = connections(system.routers[0].settings.router.caller_port)
        stop = Stop(system)

        async def body():
            yield b'{"tag":'
            await stop.wait_until(NOTICE_S + 0.1)
            yield b'"t1"}'

        reply = await caller.call(
            '/v1/services/desk/spots/p1/claim',
            headers={
                'Content-Type': 'application/json',
                'Idempotency-Key': uuid7(int(time.time() * 1000)),
                'Basilpond-Attempt': '1',
            },
            data=body(),
        )
        assert (reply[0], outcome(reply)) == (503, 'not-run')
        await stop.wait_end()
