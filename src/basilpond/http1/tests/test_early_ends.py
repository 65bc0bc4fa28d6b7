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
from basilpond.http1.tests.early_servers import BODY
from basilpond.http1.tests.early_servers import HEADS
from basilpond.http1.tests.early_servers import HOST
from basilpond.http1.tests.early_servers import REQUEST
from basilpond.http1.tests.early_servers import TIMEOUT_S
from basilpond.http1.tests.early_servers import CloseAfterRead
from basilpond.http1.tests.early_servers import ReadBeforeEnd
from basilpond.http1.tests.early_servers import ResetAfterEnd
from basilpond.http1.tests.early_servers import ResetAfterRead


@contextlib.asynccontextmanager
async def exchange(server):
    """Send the request to a server; return the connection."""
    listener = await asyncio.start_server(server.serve, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    pool = ConnectionPool(HOST, port, TIMEOUT_S)
    connection = await pool.connect()
    try:
        connection.send_request(REQUEST, (b'x-request-id', b'7'))
        yield connection
    finally:
        connection.abort()
        listener.close()


@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
@pytest.mark.parametrize('server_type', [ResetAfterEnd, ResetAfterRead])
async def test_reset_before_the_request_was_read_is_no_end(server_type, head):
    """Guards against parts of a body that look complete (MIXED)."""
    server = server_type(head)
    async with asyncio.timeout(TIMEOUT_S), exchange(server) as connection:
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
async def test_end_of_a_request_that_is_read_completes(server_type, head):
    """Guards against sound servers that answer before they have read."""
    server = server_type(head)
    async with asyncio.timeout(TIMEOUT_S), exchange(server) as connection:
        assert await connection.read_body() == b'part'
        assert not connection.finish()
    assert server.received_bytes == len(BODY)


async def test_end_after_the_request_was_read_is_not_held_back(monkeypatch):
    """Guards against a delay of ordinary servers that send no length."""
    monkeypatch.setattr(_early_end, 'RESET_WAIT_S', float('inf'))
    server = ReadBeforeEnd(HEADS['no length'])
    async with asyncio.timeout(TIMEOUT_S), exchange(server) as connection:
        assert await connection.read_body() == b'part'
