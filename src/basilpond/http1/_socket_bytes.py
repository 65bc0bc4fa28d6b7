"""Bytes that wait in the sockets of connections, in either direction."""

from __future__ import annotations

import array
import asyncio
import fcntl
import select
import termios


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that wait in a transport and in its socket.

    The socket counts what its peer has not acknowledged. A platform without
    this figure counts as an empty socket.
    """
    buffered_bytes = transport.get_write_buffer_size()
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() == -1:
        return buffered_bytes
    queued = array.array('i', (0,))
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
    except OSError:
        return buffered_bytes
    return buffered_bytes + queued[0]


def has_unread_input(transport: asyncio.Transport | None) -> bool:
    """Whether bytes, a close or a reset wait that the loop has not read."""
    sock = transport and transport.get_extra_info('socket')
    if sock is None or sock.fileno() == -1:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_failed(transport: asyncio.Transport) -> bool:
    """Whether the connection was reset or timed out.

    An end of the peer's sending side is read before a reset that follows it.
    """
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() == -1:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), 0)
    return any(events & select.POLLERR for _, events in poll.poll(0))
