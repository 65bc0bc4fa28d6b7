"""Endpoints that say in their answers that they leave, over sockets."""

import asyncio

import pytest

from basilpond.node.tests.platform_world import world

# Time after which other routers know what one of them was told.
REPORTED_S = 0.6


def prompt(number):
    """Return the fields of a prompt that no endpoint has cached."""
    return (
        ('X-Model', 'm'),
        ('X-Token-Count', '300,60'),
        ('X-Prompt-Prefix', f'{number:x}:300'),
    )


async def send(system, path, count, *, node=0):
    """Send requests one after another."""
    replies = []
    for i in range(count):
        if path == 'chat':
            reply = await system.prompt(node=node, headers=prompt(i))
        else:
            reply = await system.call(f'/{path}/{i}', node=node)
        replies.append(reply)
    return replies


async def send_until_reached(system, path, server, *, node=0):
    """Send requests until one has reached a server."""
    before = len(server.arrived_s)
    for _ in range(200):
        await send(system, path, 1, node=node)
        if len(server.arrived_s) > before:
            return
    raise AssertionError('no request reached the server')


@pytest.mark.parametrize('path', ['look', 'chat'])
async def test_endpoint_that_says_it_leaves_gets_no_new_requests(path):
    """Guards against requests to an endpoint whose answers say it leaves."""
    async with world(nodes=2, apps=3, models=3) as system:
        server = system.servers['app-0' if path == 'look' else 'llm-0']
        server.leaving = True
        await send_until_reached(system, path, server)
        replies = await send(system, path, 30)
        assert len(server.arrived_s) == 1
        # The other router learns of it.
        await asyncio.sleep(REPORTED_S)
        replies += await send(system, path, 30, node=1)
        assert len(server.arrived_s) == 1
        assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize('mode', ['ok', 'fail', 'shed'])
@pytest.mark.parametrize('path', ['look', 'chat'])
async def test_requests_are_refused_when_the_last_endpoint_leaves(path, mode):
    """Guards against a field that is read from some answers only.

    The request that was answered is not sent to the endpoint again, either.
    """
    async with world(nodes=2, apps=1, models=1) as system:
        server = system.servers['app-0' if path == 'look' else 'llm-0']
        server.leaving = True
        server.mode = mode
        first = (await send(system, path, 1))[0]
        assert first.status == {'ok': 200, 'fail': 500, 'shed': 503}[mode]
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        replies = await send(system, path, 5)
        assert loop.time() - started_s < 0.5
        await asyncio.sleep(REPORTED_S)
        replies += await send(system, path, 5, node=1)
        assert len(server.arrived_s) == 1
        for reply in replies:
            assert reply.status == 503
            assert float(reply.headers['retry-after']) > 0
