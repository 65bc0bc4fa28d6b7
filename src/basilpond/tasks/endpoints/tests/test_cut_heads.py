"""Endpoints that stop within the head of a response, or right after it."""

import asyncio
import contextlib
import socket
import struct
import time

import pytest

from basilpond.core import Attempt
from basilpond.core import AttemptKind
from basilpond.core import FullResponseCheck
from basilpond.core import ResultCode
from basilpond.core import StreamCheck
from basilpond.http1.tests.odd_heads import ODD_HEADS
from basilpond.settings import LimitsSection
from basilpond.tasks.endpoints import ATTEMPT_ID_HEADER
from basilpond.tasks.endpoints import EndpointClient
from basilpond.tasks.endpoints import FullResponseExchange
from basilpond.tasks.endpoints import ServiceExchange
from basilpond.tasks.endpoints import StreamExchange
from basilpond.tasks.endpoints import UpstreamRequest
from basilpond.tasks.requests import BufferedResponse
from basilpond.tasks.requests import ResponseHead
from basilpond.tasks.tests.small_system import SmallSystem
from basilpond.tasks.tests.small_system import uuid7

HOST = '127.0.0.1'
OK = b'HTTP/1.1 200 OK\r\n'
WHOLE = OK + b'Content-Length: 2\r\n\r\nok'
REFUSAL = b'HTTP/1.1 503 Busy\r\nX-Not-Started: 1\r\nContent-Length: 0\r\n\r\n'
NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'
CUT_HEADS = {
    'nothing': b'',
    'status line': b'HTTP/1.1 20',
    'after the status line': OK,
    'field': OK + b'Content-Le',
    'digits of the length': OK + b'Content-Length: 1',
    'last line feed': OK + b'Content-Length: 2\r\n\r',
    'lone line feeds': b'HTTP/1.1 200 OK\nContent-Length: 2\n',
    'folded field': OK + b'A: b\r\n ',
    'interim response': INTERIM,
    'head after an interim response': INTERIM + OK + b'A: b\r\n',
}
HEADS = {
    'length': OK + b'Content-Length: 12\r\n\r\n',
    'chunks': OK + b'Transfer-Encoding: chunked\r\n\r\n',
    'no length': OK + b'Content-Type: a/b\r\n\r\n',
    'lone line feeds': b'HTTP/1.1 200 OK\nContent-Type: a/b\n\n',
    'folded field': OK + b'A: b\r\n c\r\n\r\n',
    'interim response': INTERIM + OK + b'\r\n',
    'refusal': REFUSAL,
}
EMPTY_BODIES = {
    'no length': b'\r\n',
    'length 0': b'Content-Length: 0\r\n\r\n',
    'no chunk': b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
}
LIMITS = LimitsSection(first_byte_timeout_ms=2_000)
ENDS = ('close', 'reset', 'close in segments', 'reset in segments')


class CuttingServer:
    """Sends the responses of `plan` in turn and ends each connection.

    Parameters
    ----------
    plan : list of (bytes, str or None)
        Response and end of the connection; no end keeps the connection.
    """

    def __init__(self, plan):
        self._plan = plan
        self._server = None
        self._tasks = set()
        self.port = 0
        self.requests = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

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
            while True:
                path = await self._receive(reader)
                if not path.startswith((b'/calls', b'/spots')):
                    # A poll or probe of a router.
                    writer.write(NOT_FOUND)
                    continue
                self.requests += 1
                if len(self._plan) == 1:
                    # Refuses connections from now on.
                    self._server.close()
                response, end = self._plan.pop(0)
                await self._send(writer, response, end or '')
                if end is not None:
                    return

    async def _receive(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        for line in head.lower().split(b'\r\n'):
            name, _, value = line.partition(b': ')
            if name == b'content-length':
                await reader.readexactly(int(value))
        return head.split(b' ')[1]

    async def _send(self, writer, response, end):
        sock = writer.get_extra_info('socket')
        size = 7 if 'segments' in end else len(response) or 1
        for start in range(0, len(response), size):
            writer.write(response[start : start + size])
            await asyncio.sleep(0.001)
        # The client reads what was sent before the end arrives.
        await asyncio.sleep(0.02)
        if end.startswith('reset'):
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


class SystemWithService(SmallSystem):
    """System whose application service is at another address."""

    def __init__(self, url):
        super().__init__(1, {}, {})
        self._url = url

    def manifest(self, tokens=1_000):
        manifest = super().manifest(tokens)
        manifest['services'][0]['routes'] = [
            {'method': method, 'path': '/spots/*', 'idempotent': idempotent}
            for method, idempotent in (
                ('GET', True),
                ('POST', False),
                ('PUT', False),
            )
        ]
        manifest['endpoints'][-1]['url'] = self._url
        return manifest


def chat_exchange(stream):
    """Return the receiver of a chat completion."""
    bounds = {
        'attempt_id': '0',
        'model': 'model-a',
        'max_output_tokens': 20,
        'prompt_bound_tokens': 1_000,
    }
    if not stream:
        return FullResponseExchange(LIMITS, FullResponseCheck(**bounds))
    sink = BufferedResponse('digest')

    async def start():
        await sink.start(ResponseHead(200, {}))

    return StreamExchange(
        LIMITS, StreamCheck(**bounds), sink, start, 'model-a', time.time
    )


async def run_requests(
    plan, *, method='GET', body=b'', fresh=False, requests=1, exchange=None
):
    """Return the result of the last request, and how many were received."""
    server = CuttingServer(plan)
    await server.start()
    client = EndpointClient(LIMITS)
    await client.open()
    try:
        for attempt_id in range(requests):
            request = UpstreamRequest(
                f'http://{HOST}:{server.port}/calls',
                method,
                body,
                {ATTEMPT_ID_HEADER: str(attempt_id)},
                fresh_connection=fresh,
            )
            result = Attempt(AttemptKind.FAILED, 'e')
            await client.run(
                request, exchange or ServiceExchange(LIMITS), result
            )
    finally:
        await client.close()
        await server.stop()
    return result, server.requests


@pytest.mark.parametrize('fresh', [False, True])
@pytest.mark.parametrize('method', ['GET', 'POST', 'PUT', 'DELETE'])
@pytest.mark.parametrize('second', ['success', 'refusal', 'no listener'])
async def test_request_is_not_sent_again_after_a_cut_head(
    second, method, fresh
):
    """Guards against a second run, and 'not started' after a first one."""
    plan = [(OK, 'close'), (WHOLE, 'close'), (WHOLE, 'close')]
    if second == 'refusal':
        plan[1] = (REFUSAL, 'close')
    if second == 'no listener':
        del plan[1:]
    body = b'x' if method in ('POST', 'PUT') else b''
    result, sent = await run_requests(
        plan, method=method, body=body, fresh=fresh
    )
    assert result.kind is AttemptKind.FAILED
    assert sent == 1


@pytest.mark.parametrize('fresh', [False, True])
@pytest.mark.parametrize('body', [b'', b'short'])
@pytest.mark.parametrize('end', ENDS)
async def test_body_without_length_is_whole_only_after_a_close(
    end, body, fresh
):
    """Guards against a short body that looks whole because of a reset."""
    response = OK + b'\r\n' + body
    result, _ = await run_requests([(response, end)], fresh=fresh)
    if end.startswith('close'):
        assert result.kind is AttemptKind.COMPLETE
        assert result.terminal == body
    else:
        assert result.kind is AttemptKind.FAILED
        assert result.terminal == b''


@pytest.mark.parametrize('fresh', [False, True])
@pytest.mark.parametrize('name', ODD_HEADS)
@pytest.mark.parametrize('end', ENDS)
async def test_odd_head_is_a_broken_response(end, name, fresh):
    """Guards against bodies that are passed on with their transfer coding."""
    response = ODD_HEADS[name].replace(b'%s', b'0')
    result, sent = await run_requests([(response, end)], fresh=fresh)
    assert result.kind is AttemptKind.FAILED
    assert result.terminal == b''
    assert sent == 1


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('chunked', [False, True])
async def test_reset_after_a_whole_response_does_not_matter(chunked, end):
    """Guards against a success that is lost by what follows it."""
    response = WHOLE
    if chunked:
        response = (
            OK + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
        )
    result, _ = await run_requests([(response, end)])
    assert result.kind is AttemptKind.COMPLETE
    assert result.terminal == b'ok'


@pytest.mark.parametrize('fields', [b'', b'Upgrade: x\r\n'])
async def test_switch_of_protocols_is_no_response(fields):
    """Guards against an interim response that ends a call as complete."""
    response = b'HTTP/1.1 101 Switching Protocols\r\n%s\r\n' % fields + WHOLE
    result, _ = await run_requests([(response, 'close')])
    assert result.kind is AttemptKind.FAILED
    assert result.terminal == b''


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', CUT_HEADS)
@pytest.mark.parametrize('kept', [False, True])
async def test_cut_head_is_a_broken_response(kept, name, end):
    """Guards against a success whose head was not received."""
    plan = [(WHOLE, None)] * kept + [(CUT_HEADS[name], end)]
    result, sent = await run_requests(plan, requests=1 + kept)
    assert result.kind is AttemptKind.FAILED
    assert result.code is ResultCode.ENDPOINT_FAILED
    assert (result.answered, result.http_status) == (False, 0)
    assert result.terminal == b''
    assert sent == 1 + kept


@pytest.mark.parametrize('end', ['close', 'reset'])
@pytest.mark.parametrize('name', HEADS)
async def test_head_cut_at_any_byte_is_a_broken_response(name, end):
    """Guards against a parser that ends a head too early."""
    head = HEADS[name]
    runs = await asyncio.gather(
        *(run_requests([(head[:size], end)]) for size in range(len(head)))
    )
    for result, sent in runs:
        assert result.kind is AttemptKind.FAILED
        assert (result.http_status, sent) == (0, 1)


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', EMPTY_BODIES)
@pytest.mark.parametrize('stream', [False, True])
async def test_chat_response_without_content_is_not_complete(
    stream, name, end
):
    """Guards against a generation that ends as complete without a token."""
    media_type = b'text/event-stream' if stream else b'application/json'
    response = OK + b'Content-Type: %s\r\n' % media_type + EMPTY_BODIES[name]
    result, sent = await run_requests(
        [(response, end)], exchange=chat_exchange(stream)
    )
    assert result.kind is AttemptKind.FAILED
    assert not result.relayed
    assert result.terminal == b''
    assert sent == 1


@pytest.mark.parametrize('method', ['GET', 'POST', 'PUT'])
@pytest.mark.parametrize('end', ENDS)
async def test_caller_is_not_told_that_the_call_did_not_run(end, method):
    """Guards against 'not run' for a call that may have run."""
    server = CuttingServer([(OK, end), (REFUSAL, None), (REFUSAL, None)])
    await server.start()
    system = SystemWithService(f'http://{HOST}:{server.port}')
    try:
        await system.start()
        key = uuid7(int(time.time() * 1000))
        status, headers, _ = await system.call(
            method,
            '/v1/services/desk/spots/p1',
            headers={'Idempotency-Key': key},
        )
    finally:
        await system.stop()
        await server.stop()
    assert headers['Basilpond-Outcome'] == 'unknown'
    # An idempotent call has no second endpoint for its retry, which is 503.
    assert status == (503 if method == 'GET' else 502)
    assert server.requests == 1


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('body', [b'', b'X-Not-Started: 1\r\n\r\n'])
async def test_field_of_a_refusal_counts_in_its_own_line_only(body, end):
    """Guards against 'not started' by a folded field or by a body."""
    field = b'\r\n' if body else b'A: b\r\n X-Not-Started: 1\r\n\r\n'
    response = b'HTTP/1.1 503 Busy\r\n' + field + body
    result, _ = await run_requests([(response, end)])
    assert result.kind is AttemptKind.FAILED
    assert result.code is ResultCode.ENDPOINT_FAILED
