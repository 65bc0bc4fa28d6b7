import asyncio
import socket
import time

import pytest

from basilpond.http1 import CallerServer
from basilpond.http1 import ConnectionLimits
from basilpond.http1._connection import CallerConnection
from basilpond.http1._response_output import MAX_UNREAD_BYTES
from basilpond.http1.tests.memory_transport import MemoryTransport
from basilpond_testkit.paused_clock import on_paused_clock

GET = b'GET /a?b=%20 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n'


class Caller:
    """A caller's connection to a server with a given handler."""

    def __init__(self, handler, **limits):
        self.rejected = []
        self.server = CallerServer(
            handler,
            ConnectionLimits(**limits),
            lambda status, reason: self.rejected.append(status),
        )
        self.connection = CallerConnection(self.server)
        self.transport = MemoryTransport(self.connection)

    async def send(self, *parts):
        for part in parts:
            self.connection.data_received(part)
            await asyncio.sleep(0)
        for _ in range(3):
            await asyncio.sleep(0)
        return self.transport.sent


async def echo(request, responder):
    responder.respond(200, [], request.target + b'|' + request.body)


@on_paused_clock
async def test_target_and_body_arrive_unchanged():
    """Guards against decoding and re-encoding the path or body."""
    post = (
        b'POST /x%2Fy?q=1%20 HTTP/1.1\r\nHost: h\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    )
    caller = Caller(echo)
    assert (await caller.send(post)).endswith(b'/x%2Fy?q=1%20|abcde')


@on_paused_clock
async def test_connection_carries_many_requests():
    """Guards against responses that close persistent connections."""
    caller = Caller(echo)
    await caller.send(GET)
    assert (await caller.send(GET + GET)).count(b'200 OK') == 3
    assert not caller.transport.closed


@pytest.mark.parametrize(
    'request_bytes',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
        b'Content-Length: 4\r\n\r\nabcd',
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc',
        b'POST / HTTP/1.1\r\nHost: h\r\n'
        b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: h\r\n'
        b'Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n',
        b'\x16\x03\x01\x02\x00',
    ],
)
def test_ambiguous_framing_is_refused(request_bytes):
    """Guards against request smuggling."""
    ran = []

    async def handler(request, responder):
        ran.append(request)
        responder.respond(200)

    @on_paused_clock
    async def check():
        caller = Caller(handler)
        sent = await caller.send(request_bytes)
        assert sent.startswith(b'HTTP/1.1 400 ')
        assert b'connection: close' in sent
        await asyncio.sleep(1.0)
        assert caller.transport.closed

    check()
    assert not ran


@on_paused_clock
async def test_bytes_after_a_refusal_are_not_read():
    """Guards against handling a request that follows a malformed one."""
    caller = Caller(echo)
    sent = await caller.send(b'GET / HTTP/1.1\r\n\r\n' + GET, GET)
    assert sent.count(b'HTTP/1.1 ') == 1


@pytest.mark.parametrize(
    ('limits', 'data', 'status'),
    [
        ({'header_bytes': 30}, GET, 431),
        (
            {'body_bytes': 4},
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n',
            413,
        ),
        (
            {'body_bytes': 4},
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n5\r\nabcde\r\n',
            413,
        ),
    ],
)
def test_limits_are_enforced(limits, data, status):
    """Guards against callers that exhaust memory."""

    @on_paused_clock
    async def check():
        caller = Caller(echo, **limits)
        sent = await caller.send(data)
        assert sent.startswith(b'HTTP/1.1 %d ' % status)

    check()


@on_paused_clock
async def test_slow_head_is_timed_out():
    """Guards against incomplete requests that keep connections open."""
    caller = Caller(echo, header_timeout_s=2.0)
    await caller.send(GET[:20])
    await asyncio.sleep(1.9)
    assert caller.transport.sent == b''
    await asyncio.sleep(0.2)
    assert caller.transport.sent.startswith(b'HTTP/1.1 408 ')


@on_paused_clock
async def test_idle_connection_is_closed():
    """Guards against idle connections that stay open forever."""
    caller = Caller(echo, idle_timeout_s=5.0)
    await caller.send(GET)
    await asyncio.sleep(4.9)
    assert not caller.transport.closed
    await asyncio.sleep(0.2)
    assert caller.transport.closed


@on_paused_clock
async def test_slow_response_does_not_trigger_idle_timeout():
    """Guards against the idle timeout closing a slow response."""

    async def slow(request, responder):
        await asyncio.sleep(30.0)
        responder.respond(200)

    caller = Caller(slow, idle_timeout_s=5.0)
    await caller.send(GET)
    await asyncio.sleep(31.0)
    assert b'200 OK' in caller.transport.sent


@on_paused_clock
async def test_disconnect_cancels_the_request():
    """Guards against work for a caller that has disconnected."""
    cancelled = asyncio.Event()

    async def wait(request, responder):
        try:
            await asyncio.sleep(100.0)
        finally:
            cancelled.set()

    caller = Caller(wait)
    await caller.send(GET)
    caller.connection.connection_lost(None)
    await asyncio.wait_for(cancelled.wait(), 1.0)


@on_paused_clock
async def test_broken_stream_does_not_look_complete():
    """Guards against a truncated response that looks complete."""

    async def cut(request, responder):
        responder.start_stream(200, [])
        responder.send(b'part')
        responder.abort()

    caller = Caller(cut)
    sent = await caller.send(GET)
    assert caller.transport.aborted
    assert not sent.endswith(b'0\r\n\r\n')


@on_paused_clock
async def test_stop_is_announced_with_the_next_response():
    """Guards against a stop that breaks persistent connections in use."""
    caller = Caller(echo)
    await caller.send(GET)
    caller.server.announce_stop()
    assert not caller.transport.closed
    sent = await caller.send(GET)
    assert b'connection: close' in sent
    assert caller.transport.closed


@on_paused_clock
async def test_router_out_of_rotation_ends_connections_with_responses():
    """Guards against callers that stay at a router which is out of rotation.

    A load balancer leads only new connections elsewhere.
    """
    caller = Caller(echo)
    caller.server.closes_after_response = True
    assert b'connection: close' in await caller.send(GET)
    assert caller.transport.closed


@on_paused_clock
async def test_large_response_is_not_truncated():
    """Guards against a limit on unread bytes that truncates one response.

    A response of over 4 MiB was truncated when it was sent, unless the kernel
    accepted nearly all of it at once.
    """
    body = b'a' * (2 * MAX_UNREAD_BYTES)

    async def large(request, responder):
        responder.respond(200, [], body)

    caller = Caller(large)
    caller.transport.is_read = False
    assert (await caller.send(GET)).endswith(body)
    assert not caller.transport.closed
    await caller.send(GET)
    # The caller has read nothing and sends another request.
    assert caller.transport.aborted


@pytest.mark.parametrize('leaves', [False, True])
def test_sender_waits_for_a_slow_caller(leaves):
    """Guards against buffering a stream without limit for a slow caller."""
    sent = []

    async def stream(request, responder):
        responder.start_stream(200, [])
        responder.send(b'a')
        sent.append(responder.is_congested)
        await responder.drain()
        caller.connection.pause_writing()
        responder.send(b'b')
        sent.append(responder.is_congested)
        await responder.drain()
        sent.append(responder.is_congested)
        responder.end_stream()

    @on_paused_clock
    async def check():
        nonlocal caller
        caller = Caller(stream)
        await caller.send(GET)
        assert sent == [False, True]
        if leaves:
            caller.transport.abort()
        else:
            caller.connection.resume_writing()
        await asyncio.sleep(1.0)
        assert sent == [False, True, False][: 3 - leaves]

    caller = None
    check()


@on_paused_clock
async def test_connection_that_ends_unanswered_is_reported():
    """Guards against requests that are lost without a trace."""

    async def wait(request, responder):
        await asyncio.sleep(100.0)

    closes = []
    caller = Caller(wait, idle_timeout_s=5.0)
    caller.server.on_unanswered = closes.append
    await asyncio.sleep(1.0)
    await caller.send(GET + GET + GET[:9])
    await asyncio.sleep(2.0)
    caller.transport.close()
    await asyncio.sleep(0.0)
    (close,) = closes
    assert close.reason == 'caller'
    assert (close.whole_requests, close.is_partial) == (2, True)
    assert close.connection_age_s == pytest.approx(3.0)
    assert close.request_age_s == pytest.approx(2.0)


@on_paused_clock
async def test_connection_that_ends_answered_is_not_reported():
    """Guards against reports of connections that lost no request."""
    closes = []
    caller = Caller(echo, idle_timeout_s=5.0)
    caller.server.on_unanswered = closes.append
    await caller.send(GET)
    await asyncio.sleep(6.0)
    assert caller.transport.closed
    assert not closes


@on_paused_clock
async def test_cut_response_is_reported():
    """Guards against streams that are cut without a trace."""

    async def cut(request, responder):
        responder.start_stream(200, [])
        responder.abort()

    closes = []
    caller = Caller(cut)
    caller.server.on_unanswered = closes.append
    await caller.send(GET)
    assert [close.reason for close in closes] == ['response cut']


GET_CLOSE = GET[:-2] + b'Connection: close\r\n\r\n'


async def slow_echo(request, responder):
    await asyncio.sleep(1.0)
    responder.respond(200, [], request.target)


UPGRADE = GET[:-2] + b'Connection: upgrade\r\nUpgrade: h2c\r\n\r\n'


@pytest.mark.parametrize('rest', [b'', b'PRI * HTTP/2.0\r\n\r\n'])
def test_offer_of_another_protocol_is_answered_once(rest):
    """Guards against a response that belongs to no request.

    The request was handled, and refused with 400 after its response. What
    follows it is of the other protocol, so the connection ends.
    """

    @on_paused_clock
    async def check():
        caller = Caller(slow_echo)
        await caller.send(GET + UPGRADE + rest)
        await asyncio.sleep(5.0)
        sent = caller.transport.sent
        assert sent.count(b'HTTP/1.1 ') == sent.count(b'200 OK') == 2
        assert sent.count(b'connection: close') == 1
        assert caller.transport.closed
        assert not caller.rejected

    check()


@pytest.mark.parametrize('rest', [b'\r\n', b'x', GET[:9], GET, GET_CLOSE])
@pytest.mark.parametrize('first', [GET, GET_CLOSE])
def test_bytes_behind_a_request_do_not_end_it(first, rest):
    """Guards against whole requests that are dropped with what follows them.

    The connection was closed 0.5 s after bytes that were refused, also while
    the request before them was in progress.
    """

    @on_paused_clock
    async def check():
        caller = Caller(slow_echo, header_timeout_s=0.2)
        await caller.send(first + rest)
        await asyncio.sleep(5.0)
        sent = caller.transport.sent
        assert sent.startswith(b'HTTP/1.1 200 ')
        # A refusal of what follows comes after the response.
        refused = sent.count(b'HTTP/1.1 4')
        assert refused == (first == GET and rest in (b'x', GET[:9]))
        assert caller.transport.closed == (
            refused == 1 or GET_CLOSE in (first, rest)
        )

    check()


@on_paused_clock
async def test_refusal_behind_a_request_is_sent_during_a_stop():
    """Guards against a refusal that the response before it rules out."""
    caller = Caller(slow_echo)
    caller.server.announce_stop()
    await caller.send(GET + b'x')
    await asyncio.sleep(2.0)
    statuses = caller.transport.sent.split(b'HTTP/1.1 ')[1:]
    assert [status[:3] for status in statuses] == [b'200', b'400']
    assert [b'connection: close' in status for status in statuses] == [
        False,
        True,
    ]


@on_paused_clock
async def test_connection_closes_after_a_stream_that_began_before_a_stop():
    """Guards against a connection that stays open until the router ends."""

    async def stream(request, responder):
        responder.start_stream(200, [])
        await asyncio.sleep(1.0)
        responder.end_stream()

    caller = Caller(stream)
    await caller.send(GET)
    caller.server.announce_stop()
    caller.server.close_idle()
    await asyncio.sleep(0.9)
    assert not caller.transport.closed
    await asyncio.sleep(0.2)
    assert caller.transport.sent.endswith(b'0\r\n\r\n')
    assert caller.transport.closed


@pytest.mark.parametrize('stopping', [False, True])
def test_requests_that_were_read_are_answered_before_the_end(stopping):
    """Guards against whole requests that get no response at all.

    The end of the connection was announced in the response to the first of
    several requests, and the others were dropped.
    """

    @on_paused_clock
    async def check():
        caller = Caller(slow_echo)
        if stopping:
            caller.server.announce_stop()
        await caller.send(GET + GET + (GET if stopping else GET_CLOSE))
        await asyncio.sleep(5.0)
        sent = caller.transport.sent
        assert sent.count(b'HTTP/1.1 200 ') == 3
        assert sent.count(b'connection: close') == 1
        assert caller.transport.closed

    check()


@on_paused_clock
async def test_connection_is_not_closed_before_its_end_is_announced():
    """Guards against kept connections that close as a request arrives.

    A stream that began before the stop did not announce the end of its
    connection, and the connection was closed right after it.
    """

    async def stream(request, responder):
        responder.start_stream(200, [])
        await asyncio.sleep(1.0)
        responder.end_stream()

    caller = Caller(stream)
    await caller.send(GET)
    caller.server.announce_stop()
    await asyncio.sleep(1.5)
    assert not caller.transport.closed
    await caller.send(GET)
    await asyncio.sleep(1.5)
    assert caller.transport.sent.count(b'connection: close') == 1
    assert caller.transport.closed


@on_paused_clock
async def test_longer_idle_timeout_applies_to_idle_connections():
    """Guards against a close that callers don't expect yet.

    Callers go by the newest limit, timers went by the one in force when the
    connection became idle.
    """
    caller = Caller(echo, idle_timeout_s=2.0)
    await caller.send(GET)
    await asyncio.sleep(1.0)
    caller.server.limits = ConnectionLimits(idle_timeout_s=10.0)
    await asyncio.sleep(8.9)
    assert not caller.transport.closed
    await asyncio.sleep(0.2)
    assert caller.transport.closed


@on_paused_clock
async def test_shorter_idle_timeout_does_not_apply_to_idle_connections():
    """Guards against a close while callers still go by the former limit."""
    caller = Caller(echo, idle_timeout_s=10.0)
    await caller.send(GET)
    caller.server.limits = ConnectionLimits(idle_timeout_s=2.0)
    await asyncio.sleep(9.9)
    assert not caller.transport.closed
    await asyncio.sleep(0.2)
    assert caller.transport.closed


@pytest.mark.parametrize('stopping', [False, True])
async def test_request_in_the_kernel_is_read_before_an_idle_close(stopping):
    """Guards against requests that a close drops unread.

    Bytes that arrive while the event loop is busy are in the kernel when the
    idle timer fires; a close then resets the connection.
    """
    server = CallerServer(
        echo, ConnectionLimits(idle_timeout_s=0.2), lambda status, reason: None
    )
    await server.listen('127.0.0.1', 0)
    address = server._server.sockets[0].getsockname()
    caller = socket.create_connection(address)
    loop = asyncio.get_running_loop()
    while not server.connections:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    (connection,) = server.connections

    def delay_the_loop():
        # The timer of the connection is due in the same iteration.
        time.sleep(0.05)
        caller.sendall(GET)
        time.sleep(0.05)
        if stopping:
            server.announce_stop()
            server.close_idle()

    loop.call_at(connection._timer.when() - 0.0001, delay_the_loop)
    caller.settimeout(2.0)
    data = await asyncio.to_thread(caller.recv, 65_536)
    assert data.startswith(b'HTTP/1.1 200 ')
    caller.close()
    server.close()


@on_paused_clock
async def test_empty_line_after_a_request_is_no_request():
    """Guards against 408 on a connection without a request.

    Callers may send an empty line after a body. It counted as the first part
    of a request, which was then not sent in time.
    """
    caller = Caller(echo, header_timeout_s=2.0, idle_timeout_s=5.0)
    await caller.send(GET, b'\r\n')
    await asyncio.sleep(4.9)
    assert b'408' not in caller.transport.sent
    assert not caller.transport.closed
    await asyncio.sleep(0.2)
    assert caller.transport.closed


@on_paused_clock
async def test_body_may_take_longer_than_the_idle_timeout():
    """Guards against 408 for bodies that arrive steadily.

    The idle timeout was the time limit of a whole body, which a new
    configuration could reduce to a second.
    """
    caller = Caller(echo, idle_timeout_s=1.0)
    head = b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n'
    await caller.send(head)
    for _ in range(5):
        await asyncio.sleep(0.6)
        await caller.send(b'a')
    assert caller.transport.sent.endswith(b'/b|aaaaa')


@on_paused_clock
async def test_interim_response_does_not_enter_another_response():
    """Guards against bytes of an interim response within a stream."""

    async def stream(request, responder):
        responder.start_stream(200, [])
        await asyncio.sleep(1.0)
        responder.end_stream()

    caller = Caller(stream)
    expecting = (
        b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )
    await caller.send(GET, expecting)
    await asyncio.sleep(0.5)
    assert b' 100 ' not in caller.transport.sent
    await asyncio.sleep(0.6)
    assert caller.transport.sent.count(b'HTTP/1.1 100 ') == 1
    await caller.send(b'b')
    await asyncio.sleep(1.5)
    assert caller.transport.sent.count(b'HTTP/1.1 200 ') == 2


@on_paused_clock
async def test_response_counts_as_active_until_it_is_sent():
    """Guards against a stop that truncates responses to slow callers."""
    caller = Caller(echo)
    caller.transport.is_read = False
    await caller.send(GET)
    assert caller.server.active == 1
    caller.transport.unread_bytes = 0
    assert caller.server.active == 0


def upload(size, sent):
    return b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s' % (
        size,
        b'x' * sent,
    )


@on_paused_clock
async def test_upload_is_refused_before_its_body():
    """Guards against bodies that are received only to be refused.

    The caller is answered at once and keeps the part that is not read.
    """
    handled = []

    async def record(request, responder):
        handled.append(request)
        responder.respond(200)

    caller = Caller(record)
    seen = []

    def refuse(upload):
        seen.append((upload.target, upload.received_bytes))
        return [(b'retry-after', b'0.050')]

    caller.server.check_upload = refuse
    sent = await caller.send(upload(72_000, 14_000))
    assert sent.startswith(b'HTTP/1.1 503 ')
    assert b'retry-after: 0.050' in sent
    assert b'connection: close' in sent
    assert seen == [(b'/a', 14_000)]
    assert caller.transport.paused
    assert not caller.server.uploading
    await caller.send(b'x' * 58_000)
    await asyncio.sleep(0.6)
    assert caller.transport.closed
    assert not handled


@on_paused_clock
async def test_upload_in_progress_is_checked_once_and_received():
    """Guards against an upload that is refused in the middle."""
    caller = Caller(echo)
    seen = []
    caller.server.check_upload = seen.append
    await caller.send(upload(72_000, 14_000), b'x' * 20_000)
    assert caller.server.uploading == {caller.connection}
    assert caller.connection.upload.missing_bytes == 38_000
    assert len(seen) == 1
    sent = await caller.send(b'x' * 38_000)
    assert sent.startswith(b'HTTP/1.1 200 ')
    assert not caller.server.uploading


@pytest.mark.parametrize('size', [0, 16_000])
@on_paused_clock
async def test_small_body_is_received_without_a_check(size):
    """Guards against refusals that save nothing."""
    caller = Caller(echo)
    caller.server.check_upload = lambda upload: []
    await caller.send(upload(size, 0))
    assert b'503' not in await caller.send(b'x' * size)
    # Behind a request in progress, a refusal would come out of order.
    assert not caller.server.uploading


@pytest.mark.parametrize('is_behind', [False, True])
def test_refused_upload_is_not_invited(is_behind):
    """Guards against an interim response before a refusal by the head.

    The caller sends its body after it, only to be refused.
    """

    @on_paused_clock
    async def check():
        caller = Caller(slow_echo)
        caller.server.check_upload = lambda upload: []
        expecting = upload(72_000, 0).replace(
            b'\r\n\r\n', b'\r\nExpect: 100-continue\r\n\r\n'
        )
        await caller.send(GET * is_behind + expecting)
        await asyncio.sleep(1.2)
        sent = caller.transport.sent
        assert sent.count(b'HTTP/1.1 200 ') == is_behind
        assert sent.count(b'HTTP/1.1 503 ') == 1
        assert b' 100 ' not in sent
        await asyncio.sleep(1.0)
        assert caller.transport.closed

    check()
