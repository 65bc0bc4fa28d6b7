"""Endpoints that stop reporting while they work, over loopback sockets."""

import asyncio

import pytest

from basilpond.node.tests.platform_world import world


@pytest.mark.parametrize('path', ['/chat/x', '/digest/x'])
async def test_stream_of_an_endpoint_whose_entry_lapses_goes_on(path):
    """Guards against work that is given up or started again elsewhere.

    An entry lapses when its endpoint has not reported for three intervals;
    the endpoint may work all the while.
    """
    async with world(models=1) as system:
        (server,) = (s for s in system.servers.values() if s.service == 'llm')
        server.event_gap_s = 0.6
        running = asyncio.create_task(system.prompt(path))
        await system.until(lambda: system.runs('llm') == 1)
        (node,) = system.nodes
        system.log.put('keyed.servers', server.server_id, None)
        await system.until(
            lambda: node.directory.find(server.server_id) is None
        )
        assert not running.done()
        response = await running
        assert response.complete
        assert response.events == 6
        assert system.runs('llm') == 1


async def test_endpoint_that_reports_again_is_used_again():
    """Guards against endpoints that stay unused after a silence."""
    async with world(models=1) as system:
        (server,) = (s for s in system.servers.values() if s.service == 'llm')
        (node,) = system.nodes
        system.log.put('keyed.servers', server.server_id, None)
        await system.until(
            lambda: node.directory.find(server.server_id) is None
        )
        refused = await system.prompt()
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 0
        system.log.put('keyed.servers', server.server_id, server.entry())
        await system.until(
            lambda: node.directory.find(server.server_id) is not None
        )
        assert (await system.prompt()).complete
