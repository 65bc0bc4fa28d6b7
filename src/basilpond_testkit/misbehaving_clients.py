"""Ways in which clients misbehave towards a router process.

They are fixed against the code before it had a memory budget; do not make them
milder.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from .platform_configuration import PROMPT

BODY_BYTES = 1024 * 1024
HEADER_BYTES = 16_384

FIELDS = ''.join(
    f'{name}: {value}\r\n'
    for name, value in (
        ('Host', 'h.example'),
        ('X-Request-Id', '7'),
        ('X-Deadline-Ms', '4000'),
        ('Authorization', 'Bearer key'),
        *PROMPT,
    )
).encode()


def head(path, *fields):
    """Return the head of a request."""
    lines = ''.join(f'{field}\r\n' for field in fields).encode()
    return f'POST {path} HTTP/1.1\r\n'.encode() + FIELDS + lines + b'\r\n'


def chunks(size, count):
    """Return chunks of a body."""
    return (b'%x\r\n%s\r\n' % (size, b'a' * size)) * count


def sized(path, size):
    """Return the head of a body with a length."""
    return head(path, f'Content-Length: {size}')


def chunked(path):
    """Return the head of a body in chunks."""
    return head(path, 'Transfer-Encoding: chunked')


def many_fields(path, whole):
    """Return a head of very many short fields."""
    # The shortest fields, up to the limit on the bytes of a head.
    start = f'POST {path} HTTP/1.1\r\n'.encode() + FIELDS
    fields = b'a:\r\n' * ((HEADER_BYTES - len(start) - 64) // 5)
    return start + fields + (b'Content-Length: 0\r\n\r\n' if whole else b'')


def pipelined(path):
    """Return requests that are sent ahead."""
    start = head(path, *(f'f{i}: v' for i in range(90)))
    return (start[:-2] + b'Content-Length: 0\r\n\r\n') * 400


WHOLE = b'a' * BODY_BYTES
# Each way: parts that one client sends.
WAYS = {
    'whole': lambda path: [sized(path, BODY_BYTES) + WHOLE],
    'whole in pieces': lambda path: [
        sized(path, BODY_BYTES),
        *[WHOLE[:16_384]] * 64,
    ],
    'whole in chunks': lambda path: [
        chunked(path) + chunks(4096, 256) + b'0\r\n\r\n'
    ],
    'one byte short': lambda path: [sized(path, BODY_BYTES) + WHOLE[1:]],
    'one byte short in pieces': lambda path: [
        sized(path, BODY_BYTES),
        *[WHOLE[:16_384]] * 63,
        WHOLE[:16_383],
    ],
    'chunks without an end': lambda path: [chunked(path) + chunks(4096, 255)],
    'chunks of one byte': lambda path: [chunked(path) + chunks(1, 150_000)],
    'over the limit': lambda path: [sized(path, 8 * BODY_BYTES), *[WHOLE] * 4],
    'over the limit in chunks': lambda path: [
        chunked(path),
        *[chunks(4096, 256)] * 4,
    ],
    'many fields': lambda path: [many_fields(path, whole=True)],
    'many fields without an end': lambda path: [
        many_fields(path, whole=False)
    ],
    'pipelined': lambda path: [pipelined(path)],
    'slow head': lambda path: [head(path)[:-2], *[b'a: b\r\n'] * 200],
    'slow body': lambda path: [
        sized(path, BODY_BYTES) + WHOLE[: BODY_BYTES // 4 * 3],
        *[b'a'] * 200,
    ],
    'unread response': lambda path: [sized(path, 2) + b'{}'],
    'slowly read response': lambda path: [sized(path, 2) + b'{}'],
    'nothing': lambda path: [],
}
PAUSES_S = {'slow head': 0.01, 'slow body': 0.01}
# Time between two bytes that a client reads.
READ_PAUSE_S = {'slowly read response': 0.05}


async def misbehave(address, parts, pause_s, read_pause_s, sockets):
    """Send parts on one connection, which stays open."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sockets.append(sock)
    sock.setblocking(False)
    # Otherwise the kernel takes megabytes of responses that nobody reads.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with contextlib.suppress(OSError):
        await loop.sock_connect(sock, address)
        for part in parts:
            await loop.sock_sendall(sock, part)
            await asyncio.sleep(pause_s)
        while read_pause_s:
            if not await loop.sock_recv(sock, 1):
                break
            await asyncio.sleep(read_pause_s)
