"""Responses that a peer sends again on a kept connection."""

import asyncio
import contextlib

import pytest

from basilpond.http1 import ConnectionPool
from basilpond.http1 import ExchangeError
from basilpond.http1 import ExchangeFailure
from basilpond.http1 import PeerConnection
from basilpond.http1.tests.memory_transport import MemoryTransport
from basilpond_testkit.paused_clock import on_paused_clock

REQUEST = b'GET / HTTP/1.1\r\n\r\n'
ECHO = (b'x-request-id', b'7')
OTHER = (b'x-request-id', b'8')


def encode_refusal(request_id=None):
    field = b'' if request_id is None else b'X-Request-Id: %s\r\n' % request_id
    return (
        b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n%s'
        b'Content-Length: 0\r\n\r\n' % field
    )


async def refuse(connection, echo=ECHO, response=None):
    connection.send_request(REQUEST, echo)
    connection.data_received(response or encode_refusal(echo[1]))
    assert (await connection.read_head()).status == 503
    return connection.finish()


@on_paused_clock
async def test_repeated_refusal_without_id_is_no_answer_to_the_next_request():
    """Guards against a request reported as not run that was run."""
    connection = PeerConnection()
    MemoryTransport(connection)
    assert await refuse(connection, response=encode_refusal())
    connection.send_request(REQUEST, OTHER)
    connection.data_received(encode_refusal())
    with pytest.raises(ExchangeError) as caught:
        await connection.read_head()
    assert caught.value.failure is ExchangeFailure.MISMATCHED
    assert not connection.finish()


@on_paused_clock
async def test_refusal_without_id_is_accepted_on_a_new_connection():
    """Guards against requests that fail where nothing can be mistaken."""
    connection = PeerConnection()
    MemoryTransport(connection)
    assert await refuse(connection, response=encode_refusal())


@on_paused_clock
async def test_failed_request_is_not_sent_again_on_its_connection():
    """Guards against a copy of the refusal that bears the right id."""
    pool = ConnectionPool('127.0.0.1', 1, 1.0)
    connection = PeerConnection()
    MemoryTransport(connection)
    connection.send_request(REQUEST, ECHO)
    connection.data_received(encode_refusal(b'7'))
    await connection.read_head()
    pool.release(connection)
    assert pool.take_idle(echo=OTHER) is connection
    pool.add_idle(connection)
    assert pool.take_idle(echo=ECHO) is None


@on_paused_clock
async def test_connection_remembers_a_bounded_number_of_failures():
    """Guards against memory that grows with each refusal of a busy peer."""
    connection = PeerConnection()
    MemoryTransport(connection)
    kept = [
        await refuse(connection, (b'x-request-id', b'%d' % number))
        for number in range(65)
    ]
    assert kept == [True] * 64 + [False]


@contextlib.asynccontextmanager
async def connected():
    """Return a pool with one idle connection and its peer."""
    peers = asyncio.Queue()

    async def serve(reader, writer):
        peers.put_nowait((reader, writer))

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    pool = ConnectionPool(*server.sockets[0].getsockname()[:2], 1.0)
    pool.add_idle(await pool.connect())
    reader, writer = await peers.get()
    try:
        yield pool, (reader, writer)
    finally:
        pool.close()
        writer.close()
        server.close()
        await server.wait_closed()


@pytest.mark.parametrize('data', [encode_refusal(b'7'), encode_refusal(), b''])
async def test_connection_with_unread_bytes_is_not_used(data):
    """Guards against a response that was there before its request."""
    async with connected() as (pool, (_, writer)):
        writer.write(data)
        if not data:
            writer.write_eof()
        # The bytes are in the kernel; the event loop has read none of them.
        assert pool.take_idle(echo=ECHO) is None


async def test_quiet_connection_is_used_again():
    """Guards against a new connection for each request."""
    async with connected() as (pool, _):
        assert pool.take_idle(echo=ECHO) is not None
