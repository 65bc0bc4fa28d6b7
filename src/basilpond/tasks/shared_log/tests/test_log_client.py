import asyncio
import contextlib

from aiohttp import web
import pytest

from basilpond.core._codes import LogRateLimitedError
from basilpond.core._codes import LogUnavailableError
from basilpond.core._interfaces import LogEntry
from basilpond.tasks.shared_log._log_client import LogClient


@contextlib.asynccontextmanager
async def serving(handler):
    """Serve every log request with one handler on a local port."""
    app = web.Application()
    app.router.add_route('*', '/v1/streams/{stream}/records', handler)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    client = LogClient(f'http://127.0.0.1:{port}', timeout_s=0.2)
    try:
        yield client
    finally:
        await client.close()
        await runner.cleanup()


async def test_append_and_read_follow_the_protocol():
    """Guards against requests that do not follow the log protocol."""
    seen = []

    async def handler(request):
        body = await request.text()
        seen.append((request.method, request.path_qs, body))
        if request.method == 'POST':
            return web.json_response({'offset': 7}, status=201)
        return web.json_response(
            {
                'earliest_offset': 2,
                'next_offset': 8,
                'records': [{'offset': 7, 'time_ms': 5, 'payload': '{"ü"}'}],
            }
        )

    async with serving(handler) as client:
        assert await client.append('ledger', b'{}') == 7
        page = await client.read('ledger', 7, limit=9, wait_ms=100)
    assert (page.earliest_offset, page.next_offset) == (2, 8)
    assert page.entries == [LogEntry(7, 5, '{"ü"}')]
    path = '/v1/streams/ledger/records'
    assert seen == [
        ('POST', path, '{}'),
        ('GET', f'{path}?offset=7&limit=9&wait_ms=100', ''),
    ]


async def test_rate_limit_is_not_an_outage():
    """Guards against treating a rejected append as possibly written."""

    async def handler(request):
        return web.Response(status=429)

    async with serving(handler) as client:
        with pytest.raises(LogRateLimitedError):
            await client.append('ledger', b'{}')
        with pytest.raises(LogUnavailableError):
            await client.read('ledger', 0, limit=1, wait_ms=0)


async def _hang(request):
    await asyncio.sleep(5)


async def _cut(request):
    request.transport.abort()
    return web.Response()


async def _cut_body(request):
    response = web.StreamResponse(status=201, headers={'Content-Length': '9'})
    await response.prepare(request)
    await response.write(b'{"off')
    request.transport.abort()
    return response


async def _no_json(request):
    return web.Response(status=201 if request.method == 'POST' else 200)


async def _outage(request):
    return web.Response(status=503)


async def _other_success(request):
    return web.json_response({'offset': 1}, status=202)


@pytest.mark.parametrize(
    'handler', [_hang, _cut, _cut_body, _no_json, _outage, _other_success]
)
async def test_ambiguous_responses_raise_log_unavailable(handler):
    """Guards against assuming the result of an append that is unknown."""
    async with serving(handler) as client:
        with pytest.raises(LogUnavailableError):
            await client.append('ledger', b'{}')
        with pytest.raises(LogUnavailableError):
            await client.read('ledger', 0, limit=1, wait_ms=0)


async def test_refused_connection_raises_log_unavailable():
    """Guards against an error type that the ledger task does not retry."""
    async with serving(_outage) as client:
        pass
    with pytest.raises(LogUnavailableError):
        await client.append('ledger', b'{}')
    await client.close()
