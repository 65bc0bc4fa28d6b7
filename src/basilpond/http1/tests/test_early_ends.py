"""Responses that end with their connection while the request is being sent.

Real sockets, as the end depends on what the peer has acknowledged.
"""

import asyncio
import contextlib

import pytest

from basilpond.http1 import ConnectionPool
from basilpond.http1 import ExchangeError
from basilpond.http1 import ExchangeFailure
from basilpond.http1 import _early_end
from basilpond.http1.tests.early_servers import HEADS
from basilpond.http1.tests.early_servers import HOST
from basilpond.http1.tests.early_servers import SIZES
from basilpond.http1.tests.early_servers import TIMEOUT_S
from basilpond.http1.tests.early_servers import CloseAfterRead
from basilpond.http1.tests.early_servers import ReadBeforeEnd
from basilpond.http1.tests.early_servers import ResetAfterEnd
from basilpond.http1.tests.early_servers import ResetAfterRead


@contextlib.asynccontextmanager
async def exchange(server, size):
    """Send a request to a server; return the connection."""
    listener = await asyncio.start_server(server.serve, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    pool = ConnectionPool(HOST, port, TIMEOUT_S)
    connection = await pool.connect()
    try:
        head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % size
        connection.send_request(head + bytes(size), (b'x-request-id', b'7'))
        yield connection
    finally:
        connection.abort()
        listener.close()


@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
@pytest.mark.parametrize('server_type', [ResetAfterEnd, ResetAfterRead])
@pytest.mark.parametrize('size', SIZES)
async def test_reset_before_the_request_was_read_is_no_end(
    size, server_type, head
):
    """Guards against parts of a body that look complete (MIXED)."""
    server = server_type(head, size)
    async with (
        asyncio.timeout(TIMEOUT_S),
        exchange(server, size) as connection,
    ):
        assert (await connection.read_head()).status == 200
        assert await connection.read_part() == b'part'
        reading = asyncio.create_task(connection.read_part())
        # Long enough for the end of the sending side to be read.
        await asyncio.wait([reading], timeout=0.1)
        server.may_end.set()
        with pytest.raises(ExchangeError) as caught:
            await reading
        assert caught.value.failure is ExchangeFailure.BROKEN
        assert not connection.finish()


@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
@pytest.mark.parametrize('server_type', [CloseAfterRead, ReadBeforeEnd])
@pytest.mark.parametrize('size', SIZES)
async def test_end_of_a_request_that_is_read_completes(
    size, server_type, head
):
    """Guards against sound servers that answer before they have read."""
    server = server_type(head, size)
    async with (
        asyncio.timeout(TIMEOUT_S),
        exchange(server, size) as connection,
    ):
        assert await connection.read_body() == b'part'
        assert not connection.finish()
    assert server.received_bytes == size


@pytest.mark.parametrize('size', [0, 50_000])
async def test_end_of_an_ordinary_request_is_not_held_back(monkeypatch, size):
    """Guards against a delay of ordinary servers that send no length."""
    monkeypatch.setattr(_early_end, 'RESET_WAIT_S', float('inf'))
    server = ReadBeforeEnd(HEADS['no length'], size)
    async with (
        asyncio.timeout(TIMEOUT_S),
        exchange(server, size) as connection,
    ):
        assert await connection.read_body() == b'part'
