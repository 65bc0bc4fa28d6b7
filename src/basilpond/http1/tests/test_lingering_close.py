"""Callers that still send when their request has been refused."""

import asyncio
import socket

import pytest

from basilpond.http1 import CallerServer
from basilpond.http1 import ConnectionLimits
from basilpond.http1 import _lingering_close
from basilpond.http1._connection import CallerConnection
from basilpond.http1.tests.memory_transport import MemoryTransport
from basilpond_testkit.paused_clock import on_paused_clock

HOST = '127.0.0.1'
# More than the buffers of both sides hold together.
BODY_BYTES = 3_000_000
HEAD = b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
MALFORMED = b'GET / HTTP/1.1\r\n\r\n'


async def fail(request, responder):
    raise AssertionError('a refused request was handled')


def refusing_server(body_bytes):
    return CallerServer(
        fail,
        ConnectionLimits(body_bytes=body_bytes),
        lambda status, reason: None,
    )


def send_and_read(address):
    """Send a whole request before reading, as simple callers do."""
    with socket.socket() as sock:
        sock.settimeout(5.0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        sock.connect(address)
        sock.sendall(HEAD % BODY_BYTES + b'a' * BODY_BYTES)
        data = b''
        while part := sock.recv(65_536):
            data += part
        return data


@pytest.mark.parametrize(('body_bytes', 'status'), [(10, 413), (10**7, 503)])
async def test_caller_that_sends_its_body_first_reads_the_refusal(
    body_bytes, status
):
    """Guards against a reset in place of the refusal of a large body."""
    server = refusing_server(body_bytes)
    server.check_upload = lambda upload: []
    await server.listen(HOST, 0)
    address = server._server.sockets[0].getsockname()
    data = await asyncio.to_thread(send_and_read, address)
    assert data.startswith(b'HTTP/1.1 %d ' % status)
    server.close()


async def refused_transport():
    transport = MemoryTransport(CallerConnection(refusing_server(10)))
    transport.protocol.data_received(MALFORMED)
    assert transport.sent.startswith(b'HTTP/1.1 400 ')
    return transport


@on_paused_clock
async def test_sender_is_read_for_a_bounded_time():
    """Guards against connections that are kept open by a slow sender."""
    transport = await refused_transport()
    for _ in range(int(_lingering_close.MAX_LINGER_S / 0.25) - 1):
        await asyncio.sleep(0.25)
        transport.protocol.data_received(b'a')
    assert not transport.closed
    await asyncio.sleep(0.5)
    assert transport.closed


@on_paused_clock
async def test_bounded_number_of_bytes_is_read():
    """Guards against an endless body that uses up the link."""
    transport = await refused_transport()
    sent_bytes = 0
    while not transport.paused:
        transport.protocol.data_received(bytes(65_536))
        sent_bytes += 65_536
        assert sent_bytes <= _lingering_close.MAX_DROPPED_BYTES + 65_536
    assert transport.protocol._account.held_bytes < 20_000
    await asyncio.sleep(_lingering_close.LINGER_S + 0.1)
    assert transport.closed


@on_paused_clock
async def test_caller_that_sends_nothing_more_is_closed_soon():
    """Guards against descriptors that callers who have left hold."""
    transport = await refused_transport()
    await asyncio.sleep(0.3)
    transport.protocol.data_received(b'a')
    await asyncio.sleep(0.6)
    assert not transport.closed
    await asyncio.sleep(0.2)
    assert transport.closed
