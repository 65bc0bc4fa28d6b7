"""Endpoints that break off while they are still being sent a request."""

import pytest

from basilpond.http1.tests.odd_heads import OK
from basilpond.http1.tests.odd_heads import WHOLE
from basilpond.node.tests.cutting_endpoints import cutting_world

# The kernel of an endpoint takes the smaller ones without its reading.
SIZES = (70_000, 400_000, 2_000_000, 4_000_000)
EVENT = b'id: 1\ndata: e1\n\n'
PARTS = {
    'no length': OK + b'\r\npart',
    'HTTP/1.0': OK.replace(b'HTTP/1.1', b'HTTP/1.0') + b'\r\npart',
    'nothing': OK + b'\r\n',
}


@pytest.mark.parametrize('name', PARTS)
@pytest.mark.parametrize('size', SIZES)
async def test_unsafe_upload_gets_502_after_an_early_reset(size, name):
    """Guards against a part of a response passed on as complete (MIXED)."""
    async with cutting_world('app', [(PARTS[name], 'early reset')]) as (
        system,
        (endpoint,),
    ):
        reply = await system.call('/claim/1', method='POST', body=bytes(size))
        assert endpoint.requests == 1
    assert (reply.status, reply.body) == (502, b'')


@pytest.mark.parametrize('name', PARTS)
@pytest.mark.parametrize('size', SIZES)
async def test_safe_upload_is_sent_again_after_an_early_reset(size, name):
    """Guards against a request that one endpoint in trouble fails."""
    plan = [(PARTS[name], 'early reset'), (WHOLE, None)]
    async with cutting_world('app', plan, plan) as (system, endpoints):
        reply = await system.call('/look/1', method='POST', body=bytes(size))
        assert [endpoint.requests for endpoint in endpoints] == [1, 1]
    assert (reply.status, reply.body) == (200, b'ok')


@pytest.mark.parametrize('path', ['/chat/x', '/digest/x'])
@pytest.mark.parametrize('size', SIZES)
async def test_stream_is_not_complete_after_an_early_reset(size, path):
    """Guards against streams that end early as complete (ORDER)."""
    head = OK + b'Content-Type: text/event-stream\r\n\r\n'
    plan = [(head + EVENT, 'early reset')]
    async with cutting_world('llm', plan) as (system, _):
        reply = await system.prompt(path, body=bytes(size))
    assert reply.status == 200
    assert not reply.complete
