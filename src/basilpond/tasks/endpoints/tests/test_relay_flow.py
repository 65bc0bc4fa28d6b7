"""Flow control, timeouts and connection reuse of a relayed stream."""

import asyncio
import contextlib
import json
import socket
import time

from aiohttp import web
import pytest

from basilpond.core import Attempt
from basilpond.core import AttemptKind
from basilpond.core import ResultCode
from basilpond.core import StreamCheck
from basilpond.settings import LimitsSection
from basilpond.tasks.endpoints import _relay
from basilpond.tasks.requests import _responses

HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
LIMITS = {
    'first_byte_timeout_ms': 400,
    'frame_timeout_ms': 400,
    'total_timeout_ms': 20_000,
}
SMALL_BUFFER_BYTES = 65_536


def event(delta, finish_reason=None):
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
    frame = {'id': 'a1', 'model': 'm', 'choices': [choice]}
    return f'data: {json.dumps(frame)}\n\n'.encode()


def chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


CONTENT = chunk(event({'content': 'x' * 1000}))
END = chunk(event({}, 'stop') + b'data: [DONE]\n\n') + b'0\r\n\r\n'


class Endpoint:
    """Stand-in that sends `frames` frames per request and counts them."""

    def __init__(self, frames, pause_s=0.0, end=END):
        self.frames = frames
        self.pause_s = pause_s
        self.end = end
        self.sent = 0
        self.connections = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while await reader.readuntil(b'\r\n\r\n{}'):
                writer.write(HEAD)
                for _ in range(self.frames):
                    writer.write(CONTENT)
                    await writer.drain()
                    self.sent += 1
                    if self.pause_s:
                        await asyncio.sleep(self.pause_s)
                writer.write(self.end)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed.set()
            writer.close()


class Relay:
    """HTTP server for the caller that relays each request to the endpoint."""

    def __init__(self, url, client, limits):
        self.url = url
        self.client = client
        self.limits = limits
        self.result = None
        self.done = asyncio.Event()

    async def handle(self, request):
        sink = _responses.DirectResponse(request)
        self.result = Attempt(AttemptKind.FAILED, 'e1')
        self.done.clear()
        exchange = _relay.StreamExchange(
            self.limits,
            StreamCheck(
                attempt_id=None, model='m', max_output_tokens=1_000_000
            ),
            sink,
            lambda: sink.start(_responses.ResponseHead(200, {})),
            'm',
            time.time,
        )
        call = _relay.UpstreamRequest(self.url, 'POST', b'{}', {})
        try:
            await self.client.run(call, exchange, self.result)
            if self.result.kind is AttemptKind.COMPLETE:
                await sink.write(self.result.terminal)
                await sink.finish()
            else:
                sink.abort()
        finally:
            self.done.set()
        return sink.response or web.Response(status=502)


@contextlib.asynccontextmanager
async def running_relay(endpoint, **limits):
    upstream = socket.create_server(('127.0.0.1', 0))
    upstream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
    server = await asyncio.start_server(endpoint.serve, sock=upstream)
    port = upstream.getsockname()[1]
    section = LimitsSection(**LIMITS | limits)
    client = _relay.EndpointClient(section)
    await client.open()
    relay = Relay(f'http://127.0.0.1:{port}', client, section)
    app = web.Application()
    app.router.add_get('/', relay.handle)
    runner = web.AppRunner(app, handler_cancellation=True)
    await runner.setup()
    listening = socket.create_server(('127.0.0.1', 0))
    listening.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
    )
    await web.SockSite(runner, listening).start()
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(
        caller, listening.getsockname()
    )
    reader, writer = await asyncio.open_connection(
        sock=caller, limit=SMALL_BUFFER_BYTES
    )
    writer.write(b'GET / HTTP/1.1\r\nHost: relay\r\n\r\n')
    try:
        yield relay, reader, writer
    finally:
        writer.close()
        await runner.cleanup()
        await client.close()
        server.close()


async def wait_until_blocked(endpoint):
    """Wait until the endpoint can't write more; return its sent frames."""
    sent = -1
    while endpoint.sent != sent:
        sent = endpoint.sent
        await asyncio.sleep(0.1)
    return sent


async def test_slow_caller_applies_backpressure_to_the_endpoint():
    """Guards against a stream that accumulates in the router's memory.

    The endpoint sends faster than the caller reads.
    """
    endpoint = Endpoint(20_000)
    async with running_relay(endpoint, frame_timeout_ms=5_000) as parts:
        relay, reader, _ = parts
        sent_frames = await wait_until_blocked(endpoint)
        assert 0 < sent_frames < 10_000
        body = await reader.readuntil(b'\r\n\r\n')
        count = 0
        while not body.endswith(b'\r\n0\r\n\r\n'):
            body = body[-1_000:] + await reader.read(SMALL_BUFFER_BYTES)
            count = max(count, endpoint.sent)
        assert count == 20_000
        assert b'data: [DONE]' in body
        assert relay.result.content_frames == 20_000


async def test_caller_that_stops_reading_ends_its_attempt():
    """Guards against a caller that hangs being counted as endpoint failure."""
    endpoint = Endpoint(20_000)
    async with running_relay(endpoint) as (relay, _, _):
        async with asyncio.timeout(5):
            await relay.done.wait()
            await endpoint.closed.wait()
    assert relay.result.kind is AttemptKind.CALLER_GONE


async def test_caller_disconnect_closes_the_endpoint_connection():
    """Guards against an endpoint that continues to generate unread output."""
    endpoint = Endpoint(2_000, pause_s=0.005)
    async with running_relay(endpoint) as (relay, reader, writer):
        await reader.readuntil(b'xxx')
        writer.transport.abort()
        async with asyncio.timeout(2):
            await relay.done.wait()
            await endpoint.closed.wait()
    assert endpoint.sent < 2_000
    assert relay.result.relayed


@pytest.mark.parametrize(
    ('pause_s', 'limits', 'max_duration_s'),
    [
        # The timeout between frames, including the interval at which its
        # deadline is updated.
        (10.0, {'frame_timeout_ms': 100}, 2.0),
        # The timeout of the complete response, while frames still arrive.
        (0.01, {'total_timeout_ms': 1_000}, 2.0),
    ],
)
async def test_deadlines_end_a_stream(pause_s, limits, max_duration_s):
    """Guards against a stream that stays open after its timeout."""
    endpoint = Endpoint(10_000, pause_s=pause_s)
    async with running_relay(endpoint, **limits) as (relay, _, _):
        async with asyncio.timeout(max_duration_s):
            await relay.done.wait()
    assert relay.result.code is ResultCode.ENDPOINT_TIMEOUT
    assert relay.result.kind is AttemptKind.FAILED


async def test_connection_is_reused_after_a_complete_response():
    """Guards against a pooled connection that still feeds a past stream."""
    endpoint = Endpoint(50, pause_s=0.001)
    async with running_relay(endpoint) as (relay, reader, writer):
        for _ in range(3):
            body = await reader.readuntil(b'\r\n0\r\n\r\n')
            assert body.count(b'"content"') == 50
            assert b'data: [DONE]' in body
            assert relay.result.content_frames == 50
            writer.write(b'GET / HTTP/1.1\r\nHost: relay\r\n\r\n')
        await relay.done.wait()
    assert endpoint.connections == 1


async def test_connection_is_not_reused_after_an_invalid_response():
    """Guards against late frames that are read as the next response."""
    endpoint = Endpoint(5, end=chunk(b'data: no JSON\n\n') + CONTENT)
    async with running_relay(endpoint) as (relay, _, _):
        await relay.done.wait()
        assert relay.result.code is ResultCode.ANSWER_INVALID
        async with asyncio.timeout(2):
            await endpoint.closed.wait()
    assert relay.result.content_frames == 5
