import asyncio

import pytest

from basilpond.http1 import CallerServer
from basilpond.http1 import ClientResources
from basilpond.http1 import ConnectionLimits
from basilpond.http1 import DescriptorBudget
from basilpond.http1 import MemoryBudget
from basilpond.http1._connection import CallerConnection
from basilpond.http1._messages import RATE_GRACE_S
from basilpond.http1.tests.memory_transport import MemoryTransport
from basilpond_testkit.paused_clock import on_paused_clock

GET = b'GET /g HTTP/1.1\r\nHost: h\r\n\r\n'
CHUNKED = b'POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
BUDGET_BYTES = 1_000_000


def sized(size):
    return b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n' % size


class Crowd:
    """Connections to a server with a small budget."""

    def __init__(self, handler=None, *, max_connections=100, **limits):
        self.handled = []
        self.limited = []
        self.resources = ClientResources(
            MemoryBudget(BUDGET_BYTES),
            DescriptorBudget(max_connections),
            on_limited=lambda way, address: self.limited.append(way),
        )
        self.server = CallerServer(
            handler or self._handle,
            ConnectionLimits(**limits),
            lambda status, reason: None,
            resources=self.resources,
        )

    async def _handle(self, request, responder):
        self.handled.append(request)
        responder.respond(200, [], b'done')

    def connect(self):
        return MemoryTransport(CallerConnection(self.server))

    async def send(self, transport, *parts):
        for part in parts:
            transport.protocol.data_received(part)
            await asyncio.sleep(0)
        await asyncio.sleep(0.001)
        return transport.sent


@on_paused_clock
async def test_stalled_bodies_leave_room_for_ordinary_requests():
    """Guards against 236 MB held by 200 bodies of which a byte is missing."""
    crowd = Crowd()
    stalled = [crowd.connect() for _ in range(30)]
    for transport in stalled:
        await crowd.send(transport, sized(100_000) + b'a' * 99_999)
        assert crowd.resources.memory.held_bytes <= BUDGET_BYTES
    assert (await crowd.send(crowd.connect(), GET)).startswith(
        b'HTTP/1.1 200 '
    )
    refused = [t for t in stalled if t.sent.startswith(b'HTTP/1.1 503 ')]
    assert len(refused) == crowd.limited.count('memory short') > 20
    assert len(crowd.handled) == 1
    # The rest of a refused body does not run it.
    await crowd.send(refused[0], b'a')
    assert len(crowd.handled) == 1


@on_paused_clock
async def test_request_beyond_the_budget_is_refused_before_it_is_handled():
    """Guards against a refusal with 503 of a request that runs."""
    crowd = Crowd()
    sent = await crowd.send(
        crowd.connect(), sized(300_000), *[b'a' * 50_000] * 6
    )
    assert sent.startswith(b'HTTP/1.1 503 ')
    assert b'retry-after: 0.3' in sent
    assert not crowd.handled
    sent = await crowd.send(
        crowd.connect(), sized(200_000), *[b'a' * 50_000] * 4
    )
    assert sent.startswith(b'HTTP/1.1 200 ')


@on_paused_clock
async def test_body_is_not_invited_without_memory():
    """Guards against an interim response before a refusal for memory."""
    crowd = Crowd()
    crowd.resources.memory.limit_bytes = 8_500
    head = sized(10)[:-2] + b'Expect: 100-continue\r\n\r\n'
    sent = await crowd.send(crowd.connect(), head)
    assert sent.startswith(b'HTTP/1.1 503 ')


@on_paused_clock
async def test_requests_sent_ahead_are_left_in_the_kernel():
    """Guards against 126 MB of requests that wait for unread responses."""

    async def slow(request, responder):
        await asyncio.sleep(1.0)
        responder.respond(200)

    crowd = Crowd(slow)
    transport = crowd.connect()
    await crowd.send(transport, GET * 200)
    assert transport.paused
    assert len(transport.protocol._requests.waiting) < 100
    await asyncio.sleep(250.0)
    # All of them are answered, if the caller waits.
    assert not transport.paused
    assert transport.sent.count(b'HTTP/1.1 200 ') == 200


@pytest.mark.parametrize('stopping', [False, True])
def test_requests_that_wait_unparsed_are_answered(stopping):
    """Guards against a stop that drops requests which have arrived."""

    @on_paused_clock
    async def check():
        async def slow(request, responder):
            await asyncio.sleep(0.01)
            responder.respond(200)

        crowd = Crowd(slow)
        transport = crowd.connect()
        await crowd.send(transport, GET * 300)
        if stopping:
            crowd.server.announce_stop()
            crowd.server.close_idle()
        await asyncio.sleep(10.0)
        assert transport.sent.count(b'HTTP/1.1 200 ') == 300
        assert transport.sent.count(b'connection: close') == stopping

    check()


@on_paused_clock
async def test_responses_that_are_not_read_stop_the_reading():
    """Guards against responses that pile up for a caller that reads none."""
    crowd = Crowd()
    transport = crowd.connect()
    transport.protocol.pause_writing()
    await crowd.send(transport, GET * 3)
    assert not crowd.handled
    assert transport.paused
    transport.protocol.resume_writing()
    await crowd.send(transport)
    assert len(crowd.handled) == 3
    assert not transport.paused


@on_paused_clock
async def test_caller_that_takes_nothing_is_ended():
    """Guards against streams that a caller holds open without reading."""

    async def stream(request, responder):
        responder.start_stream(200, [])
        responder.send(b'a' * 100_000)
        transport.protocol.pause_writing()
        await responder.drain()

    crowd = Crowd(stream)
    transport = crowd.connect()
    transport.is_read = False
    await crowd.send(transport, GET)
    await asyncio.sleep(RATE_GRACE_S + 1.0)
    assert transport.aborted
    assert crowd.limited == ['responses not read']


@on_paused_clock
async def test_streams_that_are_not_read_are_ended_when_memory_is_short():
    """Guards against the buffers of streams for callers that read nothing.

    The endpoint's connection buffers 256 KiB of each stream as well.
    """

    async def stream(request, responder):
        responder.start_stream(200, [])
        responder.send(b'a' * 100_000)
        await responder.drain()

    crowd = Crowd(stream)
    crowd_size = 12
    readers = [crowd.connect() for _ in range(crowd_size)]
    for transport in readers:
        transport.is_read = False
        transport.protocol.data_received(GET)
        transport.protocol.pause_writing()
        await asyncio.sleep(0.1)
        assert crowd.resources.memory.held_bytes <= BUDGET_BYTES
    ended = sum(t.aborted for t in readers)
    assert ended == crowd.limited.count('responses not read')
    assert 0 < ended < crowd_size


class Source:
    """Endpoint's side of a stream."""

    on_buffered = None
    buffered_bytes = 0

    def buffer(self, size):
        self.buffered_bytes += size
        if self.on_buffered:
            self.on_buffered()


@on_paused_clock
async def test_congested_streams_hold_what_is_buffered():
    """Guards against streams that are ended although memory is left.

    Each was accounted at 262 KB, so about 110 used up the budget of a VM of
    160 MB.
    """

    async def stream(request, responder):
        source = Source()
        sources.append(source)
        responder.start_stream(200, [])
        responder.send(b'a' * 10_000)
        await responder.drain(source)
        responder.end_stream()

    crowd, sources = Crowd(stream), []
    readers = [crowd.connect() for _ in range(10)]
    for transport in readers:
        transport.is_read = False
        transport.protocol.data_received(GET)
        transport.protocol.pause_writing()
        await asyncio.sleep(0.1)
    held_bytes = crowd.resources.memory.held_bytes
    assert held_bytes < 10 * 30_000
    assert not any(t.aborted for t in readers)
    # What endpoints send meanwhile is accounted as it arrives.
    sources[0].buffer(100_000)
    assert crowd.resources.memory.held_bytes == held_bytes + 100_000
    for source in sources[1:]:
        source.buffer(100_000)
        assert crowd.resources.memory.held_bytes <= BUDGET_BYTES
    await asyncio.sleep(0.1)
    assert 0 < sum(t.aborted for t in readers) < 10
    for transport in readers:
        transport.unread_bytes = 0
        transport.protocol.resume_writing()
    await asyncio.sleep(0.1)
    assert crowd.resources.memory.held_bytes < 10 * 10_000
    assert not any(source.on_buffered for source in sources)


@on_paused_clock
async def test_responses_that_were_read_do_not_use_up_the_budget():
    """Guards against requests that are refused although memory is left.

    The event loop reports nothing while less than 64 KiB of a response are
    unread, so they stayed accounted until the caller's next request.
    """

    async def answer(request, responder):
        responder.respond(200, [], b'a' * (50_000 if len(idle) < 14 else 1))

    crowd, idle = Crowd(answer), []
    for _ in range(14):
        transport = crowd.connect()
        transport.is_read = False
        await crowd.send(transport, GET)
        idle.append(transport)
    assert crowd.resources.memory.held_bytes > BUDGET_BYTES * 0.75
    for transport in idle:
        transport.unread_bytes = 0
    sent = await crowd.send(crowd.connect(), sized(200_000) + 200_000 * b'a')
    assert sent.startswith(b'HTTP/1.1 200 ')
    assert not any(t.aborted for t in idle)


@on_paused_clock
async def test_body_in_tiny_chunks_takes_its_turn():
    """Guards against 1,110 MB and no answers during chunks of one byte."""
    crowd = Crowd()
    tiny = [crowd.connect() for _ in range(5)]
    for transport in tiny:
        transport.protocol.data_received(CHUNKED + b'1\r\na\r\n' * 10_000)
        assert transport.paused
    ordinary = await crowd.send(crowd.connect(), GET)
    assert ordinary.startswith(b'HTTP/1.1 200 ')
    for transport in tiny:
        await crowd.send(transport, b'0\r\n\r\n')
    await asyncio.sleep(5.0)
    for transport in tiny:
        assert transport.sent.startswith(b'HTTP/1.1 200 ')
        assert not transport.paused
    assert crowd.handled[-1].body == b'a' * 10_000


@on_paused_clock
async def test_heads_of_many_fields_take_their_turns():
    """Guards against a crowd of large heads that delays all other requests.

    The router found its processor busy and refused ordinary requests.
    """
    crowd = Crowd(header_bytes=16_384)
    crowd.resources.memory.limit_bytes = 100 * BUDGET_BYTES
    head = GET[:-2] + 3_000 * b'a:\r\n' + b'\r\n'
    large = [crowd.connect() for _ in range(40)]
    for transport in large:
        transport.protocol.data_received(head)
    # Each head is parsed up to a piece of 2 KiB, with 4 bytes for a field.
    assert sum(len(t.protocol._reader._headers) for t in large) <= 40 * 512
    ordinary = await crowd.send(crowd.connect(), GET)
    assert ordinary.startswith(b'HTTP/1.1 200 ')
    assert len(crowd.handled) == 1
    await asyncio.sleep(2.0)
    for transport in large:
        assert transport.sent.startswith(b'HTTP/1.1 200 ')
        assert not transport.paused


@pytest.mark.parametrize(('rate', 'status'), [(900, 408), (1_100, 200)])
def test_bodies_have_a_least_rate(rate, status):
    """Guards against bodies that hold memory for hours."""

    @on_paused_clock
    async def check():
        crowd = Crowd(idle_timeout_s=15.0)
        crowd.resources.memory.limit_bytes = 10 * BUDGET_BYTES
        transport = crowd.connect()
        await crowd.send(transport, sized(400 * rate))
        for _ in range(400):
            await asyncio.sleep(1.0)
            await crowd.send(transport, b'a' * rate)
        assert transport.sent.startswith(b'HTTP/1.1 %d ' % status)

    check()


@on_paused_clock
async def test_endless_field_is_refused():
    """Guards against a field that the parser collects without limit."""
    crowd = Crowd(header_bytes=1_000)
    transport = crowd.connect()
    await crowd.send(transport, GET[:-2] + b'a: ')
    sent = await crowd.send(transport, *[b'b' * 2_000] * 6)
    assert sent.startswith(b'HTTP/1.1 431 ')


@on_paused_clock
async def test_oldest_idle_connections_make_room():
    """Guards against a process without descriptors."""
    crowd = Crowd(max_connections=16)
    idle = []
    for _ in range(16):
        idle.append(crowd.connect())
        await asyncio.sleep(0.1)
    await crowd.send(idle[0], GET)
    await asyncio.sleep(1.0)
    used = crowd.connect()
    assert (await crowd.send(used, GET)).startswith(b'HTTP/1.1 200 ')
    assert [t.aborted for t in idle] == [False, True] + [False] * 14
    assert crowd.limited == ['too many connections']


@on_paused_clock
async def test_request_in_progress_is_not_closed_to_make_room():
    """Guards against new connections that end requests in progress."""

    async def slow(request, responder):
        await asyncio.sleep(1.0)
        responder.respond(200)

    crowd = Crowd(slow, max_connections=2)
    running = [crowd.connect() for _ in range(2)]
    for transport in running:
        await crowd.send(transport, GET)
    assert crowd.connect().aborted
    await asyncio.sleep(2.0)
    for transport in running:
        assert transport.sent.startswith(b'HTTP/1.1 200 ')


@on_paused_clock
async def test_refused_connections_make_room():
    """Guards against a reset of ordinary callers behind a refused crowd.

    Connections linger after a refusal, and with requests in progress on all
    others, each new connection was closed.
    """

    async def slow(request, responder):
        await asyncio.sleep(1.0)
        responder.respond(200)

    crowd = Crowd(slow, max_connections=8)
    running = [crowd.connect() for _ in range(4)]
    refused = [crowd.connect() for _ in range(4)]
    for transport in running:
        await crowd.send(transport, GET)
    for transport in refused:
        sent = await crowd.send(transport, b'GET / HTTP/1.1\r\n\r\n')
        assert sent.startswith(b'HTTP/1.1 400 ')
    ordinary = crowd.connect()
    assert [t.aborted for t in refused] == [True, False, False, False]
    await crowd.send(ordinary, GET)
    await asyncio.sleep(2.0)
    for transport in (*running, ordinary):
        assert transport.sent.startswith(b'HTTP/1.1 200 ')


@on_paused_clock
async def test_connection_that_is_about_to_end_makes_room():
    """Guards against a reset while other connections end in this iteration."""

    async def slow(request, responder):
        await asyncio.sleep(1.0)
        responder.respond(200)

    crowd = Crowd(slow, max_connections=2)
    running, ending = crowd.connect(), crowd.connect()
    await crowd.send(running, GET)
    ending.protocol.close()
    assert not crowd.connect().aborted


@on_paused_clock
async def test_request_is_not_refused_as_it_starts():
    """Guards against a 503 for a request that then runs.

    The account of a connection grows as its next request starts, and the same
    connection may be chosen to free memory.
    """

    async def handle(request, responder):
        crowd.handled.append(request.target)
        await asyncio.sleep(0.1)
        responder.respond(200, [(b'x-target', request.target)])

    def post(target, size):
        head = b'POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
        return head % (target, size) + size * b'a'

    crowd = Crowd(handle)
    transport = crowd.connect()
    await crowd.send(
        transport,
        post(b'/a', 10),
        post(b'/b', 50_000),
        post(b'/c', 350_000),
        post(b'/d', 100_000)[:-1],
    )
    await asyncio.sleep(2.0)
    refusal = transport.sent.find(b'HTTP/1.1 503 ')
    assert refusal > 0
    # What runs is answered, and nothing is answered after the refusal.
    assert transport.sent.find(b'HTTP/1.1 200 ', refusal) == -1
    assert transport.sent.count(b'HTTP/1.1 503 ') == 1
    assert transport.sent.count(b'HTTP/1.1 200 ') == len(crowd.handled)


@on_paused_clock
async def test_idle_connection_keeps_no_head():
    """Guards against 323 kB that a head of many fields left behind."""
    crowd = Crowd()
    transport = crowd.connect()
    await crowd.send(
        transport,
        b'GET / HTTP/1.1\r\nHost: h\r\n' + 3_000 * b'a:b\r\n' + b'\r\n',
    )
    assert not transport.protocol._reader._parser._framing


@on_paused_clock
async def test_last_request_without_memory_is_refused_despite_more_bytes():
    """Guards against a request that is never answered."""
    crowd = Crowd()
    for _ in range(30):
        await crowd.send(crowd.connect(), sized(100_000) + b'a' * 99_999)
    transport = crowd.connect()
    head = sized(900_000)[:-2] + b'Connection: close\r\n\r\n'
    await crowd.send(transport, head + 900_000 * b'a' + b'more')
    await asyncio.sleep(2.0)
    assert transport.sent.startswith(b'HTTP/1.1 503 ')
    assert transport.closed


@on_paused_clock
async def test_refused_upload_is_answered_once():
    """Guards against a second refusal, and a body that stays in memory."""
    crowd = Crowd()
    crowd.server.check_upload = lambda upload: []
    transport = crowd.connect()
    await crowd.send(transport, sized(500_000) + 100_000 * b'a')
    transport.protocol.shed()
    assert transport.sent.count(b'HTTP/1.1 503 ') == 1
    assert b'connection: close' in transport.sent
    assert crowd.resources.memory.held_bytes < 100_000
