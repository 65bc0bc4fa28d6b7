"""Connections that are given up, over loopback sockets."""

import asyncio
import contextlib
import socket

import pytest

from basilpond.http1 import ConnectionPool

HOST = '127.0.0.1'
# Fits into the send buffer of the kernel, but not into the small receive
# buffer of an endpoint that does not read.
REQUEST_BYTES = 1_000_000
END = b'end of the request'


@contextlib.contextmanager
def stalled_endpoint():
    """Listen without reading, as an endpoint behind a partition does."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind((HOST, 0))
        listener.listen()
        yield listener


def read_to_end(sock):
    """Return what arrives until the connection ends, and whether by reset."""
    data = b''
    sock.settimeout(5.0)
    while True:
        try:
            part = sock.recv(65_536)
        except ConnectionResetError:
            return data, True
        if not part:
            return data, False
        data += part


async def send_and_give_up(pool, give_up):
    connection = await pool.connect()
    sock = connection._transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * REQUEST_BYTES)
    connection.send_request(b'x' * REQUEST_BYTES + END)
    # All bytes are in the kernel, which would deliver them after a close.
    assert connection._transport.get_write_buffer_size() == 0
    give_up(connection)
    await asyncio.sleep(0)
    await asyncio.sleep(0)


@pytest.mark.parametrize('way', ['release', 'cancel', 'abort'])
async def test_nothing_of_a_request_arrives_after_it_was_given_up(way):
    """Guards against requests that run after their caller was answered.

    A request that cannot be repeated was sent to an endpoint behind a
    partition, its caller was answered 504, and the endpoint ran it 5 s later.
    """

    def give_up(connection):
        if way == 'cancel':
            connection.cancel('no answer in time')
        if way == 'abort':
            connection.abort()
        pool.release(connection)

    with stalled_endpoint() as listener:
        pool = ConnectionPool(*listener.getsockname(), 1.0)
        await send_and_give_up(pool, give_up)
        accepted, _ = listener.accept()
        with accepted:
            data, is_reset = await asyncio.to_thread(read_to_end, accepted)
    assert is_reset
    assert END not in data


async def test_connection_that_the_peer_closed_can_be_given_up():
    """Guards against an error when a socket that has ended is reset."""
    with stalled_endpoint() as listener:
        pool = ConnectionPool(*listener.getsockname(), 1.0)
        connection = await pool.connect()
        accepted, _ = listener.accept()
        accepted.close()
        while not connection._closed:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        connection.abort()
        pool.release(connection)
    assert pool.take_idle() is None


async def test_request_survives_an_endpoint_that_is_silent_for_a_while():
    """Guards against requests that end as a sound endpoint reads no further.

    The kernel closed the connection after 2 s.
    """
    with stalled_endpoint() as listener:
        loop = asyncio.get_running_loop()
        listener.setblocking(False)
        pool = ConnectionPool(*listener.getsockname(), 1.0)
        connection = await pool.connect()
        endpoint, _ = await loop.sock_accept(listener)
        with endpoint:
            # More than the buffers of the kernel hold.
            request = b'x' * (8 * REQUEST_BYTES)
            connection.send_request(request)
            await asyncio.sleep(2.6)
            missing = len(request)
            while missing:
                part = await loop.sock_recv(endpoint, REQUEST_BYTES)
                assert part
                missing -= len(part)
            response = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
            await loop.sock_sendall(endpoint, response)
            assert (await connection.read_head()).status == 200
        connection.abort()
