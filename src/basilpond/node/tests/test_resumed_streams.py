"""Streams that break off, and what the next endpoint answers instead."""

import asyncio
import contextlib

import pytest

from basilpond.node.tests.platform_world import world
from basilpond_testkit.platform_stand_in import HOST

ID = b'X-Request-Id: %s\r\nX-Response-Stamp: s\r\n'
EVENTS = b'Content-Type: text/event-stream\r\n'
HTML = b'<p>\n\nproxy error\n\n</p>\n\n'
JSON = b'{"error": "no such run"}'
LENGTH = b'Content-Length: %d\r\n\r\n'
# Responses of an endpoint at which a stream should go on.
RESPONSES = {
    'failure': (b'500 Failed', b'Content-Type: text/html\r\n', HTML),
    'not found': (b'404 Not Found', b'Content-Type: text/plain\r\n', HTML),
    'refusal': (b'503 Busy', b'X-Not-Executed: 1\r\n', HTML),
    'failure of the same type': (b'500 Failed', EVENTS, HTML),
    'page': (b'200 OK', b'Content-Type: text/html\r\n', HTML),
    'document': (b'200 OK', b'Content-Type: application/json\r\n', JSON),
    'empty document': (b'200 OK', b'Content-Type: application/json\r\n', b''),
    'no type': (b'200 OK', b'', HTML),
    'other status': (b'202 Accepted', EVENTS, HTML),
    'no content': (b'204 No Content', EVENTS, b''),
    'no signature': (b'200 OK', EVENTS, HTML),
}


class Endpoint:
    """Begins a stream and breaks it off, or answers to its continuation."""

    def __init__(self, name):
        self._status, self._fields, self._body = RESPONSES[name]
        self._signed = name != 'no signature'
        self._server = None
        self._tasks = set()
        self.continuations = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with (
            contextlib.closing(writer),
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
        ):
            head = await reader.readuntil(b'\r\n\r\n')
            fields = dict(
                line.lower().split(b': ', 1)
                for line in head.split(b'\r\n')[1:-2]
            )
            await reader.readexactly(int(fields.get(b'content-length', 0)))
            signed = ID % fields[b'x-request-id']
            if b'last-event-id' not in fields:
                writer.write(
                    b'HTTP/1.1 200 OK\r\n'
                    + signed
                    + EVENTS
                    + b'Transfer-Encoding: chunked\r\n\r\n'
                    b'10\r\nid: 1\ndata: e1\n\n\r\n'
                )
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.transport.abort()
                return
            self.continuations += 1
            if not self._signed:
                signed = signed.partition(b'\r\n')[0] + b'\r\n'
            length = b'\r\n'
            if not self._status.startswith(b'204'):
                length = LENGTH % len(self._body)
            writer.write(
                b'HTTP/1.1 '
                + self._status
                + b'\r\n'
                + signed
                + self._fields
                + length
                + self._body
            )
            await writer.drain()
            await reader.read()


@pytest.mark.parametrize('name', RESPONSES)
async def test_stream_ends_as_broken_if_the_next_response_is_no_continuation(
    name,
):
    """Guards against an error inside a stream (ORDER, MIXED), or its end."""
    endpoints = [Endpoint(name), Endpoint(name)]
    async with world(models=2) as system:
        try:
            for number, endpoint in enumerate(endpoints):
                entry = system.servers[f'llm-{number}'].entry(
                    address=f'{HOST}:{await endpoint.start()}', seq=2
                )
                system.log.put('keyed.servers', f'llm-{number}', entry)
            directory = system.nodes[0].directory
            await system.until(
                lambda: all(
                    directory.find(name).pool.port != system.servers[name].port
                    for name in ('llm-0', 'llm-1')
                )
            )
            reply = await system.prompt('/chat/x')
        finally:
            for endpoint in endpoints:
                await endpoint.stop()
    assert sum(endpoint.continuations for endpoint in endpoints) >= 1
    assert reply.status == 200
    assert reply.body == b'10\r\nid: 1\ndata: e1\n\n\r\n'
