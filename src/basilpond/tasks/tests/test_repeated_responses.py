"""Servers that send an earlier response again on a kept connection."""

import asyncio
import contextlib

import pytest

from basilpond.core import Attempt
from basilpond.core import AttemptKind
from basilpond.settings import LimitsSection
from basilpond.tasks._quiet_connector import RequestConnector
from basilpond.tasks.endpoints import ATTEMPT_ID_HEADER
from basilpond.tasks.endpoints import EndpointClient
from basilpond.tasks.endpoints import ServiceExchange
from basilpond.tasks.endpoints import UpstreamRequest
from basilpond.tasks.shared_log import LogClient

HOST = '127.0.0.1'
REFUSAL = b'HTTP/1.1 503 Busy\r\nX-Not-Started: 1\r\nContent-Length: 0\r\n\r\n'


def success(body, status=b'200 OK'):
    return b'HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s' % (
        status,
        len(body),
        body,
    )


class Protocol:
    """Connection that records its end."""

    closed = False

    def close(self):
        self.closed = True


class Server:
    """Sends the first response of a connection again.

    It does so while the connection is idle, or before the second response.
    """

    def __init__(self, first, second, *, idle=True):
        self._idle = idle
        self._first = first
        self._second = second
        self._server = None
        self._tasks = set()
        self.port = 0
        self.connections = 0

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
        self.connections += 1
        with (
            contextlib.closing(writer),
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
        ):
            await self._receive(reader)
            if self.connections > 1:
                writer.write(self._second)
                await reader.read()
                return
            writer.write(self._first)
            await writer.drain()
            await asyncio.sleep(0.05)
            if self._idle:
                writer.write(self._first)
            await self._receive(reader)
            if not self._idle:
                writer.write(self._first)
            writer.write(self._second)
            await reader.read()

    async def _receive(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        for line in head.lower().split(b'\r\n'):
            name, _, value = line.partition(b': ')
            if name == b'content-length':
                await reader.readexactly(int(value))


@contextlib.asynccontextmanager
async def running_server(first, second, **options):
    server = Server(first, second, **options)
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


async def run_two_requests(port):
    """Return the result of the second of two requests."""
    limits = LimitsSection()
    client = EndpointClient(limits)
    await client.open()
    try:
        for attempt_id in ('1', '2'):
            request = UpstreamRequest(
                f'http://{HOST}:{port}/',
                'GET',
                b'',
                {ATTEMPT_ID_HEADER: attempt_id},
            )
            result = Attempt(AttemptKind.FAILED, 'e')
            await client.run(request, ServiceExchange(limits), result)
            await asyncio.sleep(0.2)
    finally:
        await client.close()
    return result


@pytest.mark.parametrize('first', [REFUSAL, success(b'first')])
async def test_unrequested_response_is_not_that_of_the_next_request(first):
    """Guards against the response to another caller, or its refusal."""
    async with running_server(first, success(b'own')) as server:
        result = await run_two_requests(server.port)
    assert result.kind is AttemptKind.COMPLETE
    assert result.terminal == b'own'
    assert server.connections == 2


async def test_no_refusal_follows_on_the_connection_of_a_refusal():
    """Guards against 'not started' for a request that was run."""
    second = success(b'own')
    async with running_server(REFUSAL, second, idle=False) as server:
        result = await run_two_requests(server.port)
    assert result.kind is AttemptKind.COMPLETE
    assert result.terminal == b'own'


@pytest.mark.parametrize('kept', [True, False])
async def test_ended_requests_are_forgotten(kept):
    """Guards against memory that grows with each request."""
    connector = RequestConnector()
    protocol = Protocol()
    connector.add_request('1', protocol)
    if kept:
        # Another request uses the connection before the first one has ended.
        connector.add_request('2', protocol)
    connector.end_request('1', close=True)
    assert protocol.closed is not kept
    connector.end_request('2', close=False)
    assert not connector._protocols and not connector._request_ids
    await connector.close()


async def test_connection_is_kept_after_a_success():
    """Guards against a new connection for each request."""
    async with running_server(success(b'a'), b'', idle=False) as server:
        await run_two_requests(server.port)
    assert server.connections == 1


async def test_unrequested_response_of_the_log_confirms_no_append():
    """Guards against an append that counts as written but is not."""
    first = success(b'{"offset": 1}', b'201 Created')
    second = success(b'{"offset": 2}', b'201 Created')
    async with running_server(first, second) as server:
        log = LogClient(f'http://{HOST}:{server.port}')
        try:
            assert await log.append('ledger', b'{}') == 1
            await asyncio.sleep(0.2)
            assert await log.append('ledger', b'{}') == 2
        finally:
            await log.close()
