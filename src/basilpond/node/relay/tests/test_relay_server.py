"""Requests for relayed connections at the peer port, over sockets."""

import asyncio

import pytest

from basilpond.node.relay import _relay_server
from basilpond.node.tests.platform_world import world

UPGRADE = b'Upgrade: basilpond-relay\r\nConnection: Upgrade\r\n\r\n'


def request(endpoint):
    return b'GET /relay/%s HTTP/1.1\r\nHost: relay\r\n' % endpoint + UPGRADE


async def ask(system, parts, *, pause_s=0.0):
    """Send a request in parts; return the first line of the answer."""
    port = system.nodes[0]._settings.peer_port
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)
        async with asyncio.timeout(2.0):
            return await reader.readline()
    finally:
        writer.close()


@pytest.mark.parametrize(
    ('endpoint', 'status'), [(b'app-0', b'101'), (b'none', b'404')]
)
async def test_only_listed_endpoints_are_connected(endpoint, status):
    async with world(nodes=2) as system:
        line = await ask(system, [request(endpoint)])
    assert line.split()[1] == status


async def test_other_hosts_than_routers_are_refused():
    """Guards against a way to endpoints for everybody."""
    async with world() as system:
        line = await ask(system, [request(b'app-0')])
    assert line.split()[1] == b'403'


async def test_router_that_stops_relays_nothing_new():
    async with world(nodes=2) as system:
        system.nodes[0]._relay.announce_stop()
        line = await ask(system, [request(b'app-0')])
    assert line.split()[1] == b'503'


@pytest.mark.parametrize('cut', [1, 4, 6, 12])
async def test_requests_in_pieces_reach_the_right_server(cut):
    """Guards against a choice by an incomplete first line."""
    relay = request(b'app-0')
    version = b'GET /configuration HTTP/1.1\r\nHost: a\r\n\r\n'
    async with world(nodes=2) as system:
        for data, status in ((relay, b'101'), (version, b'200')):
            line = await ask(system, [data[:cut], data[cut:]], pause_s=0.01)
            assert line.split()[1] == status


async def test_connection_without_a_request_is_closed(monkeypatch):
    monkeypatch.setattr(_relay_server, '_HEAD_TIMEOUT_S', 0.1)
    async with world(nodes=2) as system:
        port = system.nodes[0]._settings.peer_port
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET /relay/app-0 HT')
        async with asyncio.timeout(1.0):
            try:
                data = await reader.read()
            except ConnectionError:
                data = b''
        writer.close()
    assert data == b''
