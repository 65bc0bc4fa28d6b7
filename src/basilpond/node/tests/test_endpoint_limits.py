"""Endpoints that name a limit on the rate of requests, over sockets."""

import asyncio

import pytest

from basilpond.node.tests.platform_world import world

WINDOW_S = 4.0
# Time after which routers have to keep a limit that an endpoint names.
SETTLED_S = 3.0


def allowed(limit_per_s):
    """Return the requests that may arrive within a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def most_arrivals(server, since_s):
    """Return the largest number of arrivals within a window."""
    times = [at_s for at_s in server.arrived_s if at_s >= since_s]
    return max(
        (sum(t <= at_s < t + WINDOW_S for at_s in times) for t in times),
        default=0,
    )


def prompt(number):
    """Return the fields of a prompt that no endpoint has cached."""
    return (
        ('X-Model', 'm'),
        ('X-Token-Count', '300,60'),
        ('X-Prompt-Prefix', f'{number:x}:300'),
    )


async def send(system, path, *, per_s, for_s):
    """Send prompts at a constant rate to all routers in turn."""
    replies = []
    for i in range(round(per_s * for_s)):
        call = (
            system.prompt(
                f'/{path}/{i}', node=i % len(system.nodes), headers=prompt(i)
            )
            if path == 'chat'
            else system.call(f'/{path}/{i}', node=i % len(system.nodes))
        )
        replies.append(asyncio.create_task(call))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*replies)


@pytest.mark.parametrize('path', ['chat', 'look'])
async def test_routers_together_keep_the_limit_that_an_endpoint_names(path):
    """Guards against one endpoint that gets more than it says it can take."""
    async with world(nodes=5, apps=3, models=3) as system:
        server = system.servers['app-0' if path == 'look' else 'llm-0']
        await send(system, path, per_s=30, for_s=0.5)
        server.limit_per_s = 1.6
        started_s = asyncio.get_running_loop().time()
        replies = await send(
            system, path, per_s=30, for_s=SETTLED_S + WINDOW_S
        )
        arrivals = most_arrivals(server, started_s + SETTLED_S)
        assert arrivals <= allowed(1.6)
        # It is still used, as the others are.
        assert arrivals >= 2
        # The other endpoints serve what this one does not take.
        assert {reply.status for reply in replies} == {200}


async def test_requests_beyond_the_limits_of_all_endpoints_are_refused():
    """Guards against requests that wait in vain, or exceed all limits."""
    async with world(nodes=3, models=2) as system:
        servers = [system.servers['llm-0'], system.servers['llm-1']]
        for server in servers:
            server.limit_per_s = 3.0
        await system.prompt(headers=prompt(99))
        started_s = asyncio.get_running_loop().time()
        replies = await send(
            system, 'chat', per_s=30, for_s=SETTLED_S + WINDOW_S
        )
        for server in servers:
            arrivals = most_arrivals(server, started_s + SETTLED_S)
            assert 6 <= arrivals <= allowed(3.0)
        refused = [reply for reply in replies if reply.status != 200]
        assert refused
        for reply in refused:
            assert reply.status == 503
            assert 0 < float(reply.headers['retry-after']) <= 2.0


async def test_limit_ends_when_the_endpoint_names_none():
    """Guards against endpoints that stay avoided after they recovered."""
    async with world(nodes=3, models=1) as system:
        server = system.servers['llm-0']
        server.limit_per_s = 0.5
        replies = await send(system, 'chat', per_s=20, for_s=4.0)
        assert sum(reply.status == 503 for reply in replies) >= 60
        server.limit_per_s = None
        await send(system, 'chat', per_s=20, for_s=3.0)
        replies = await send(system, 'chat', per_s=20, for_s=2.0)
        assert {reply.status for reply in replies} == {200}


async def test_limit_in_an_error_response_is_kept():
    """Guards against limits that are read from some responses only."""
    async with world(nodes=2, apps=1) as system:
        server = system.servers['app-0']
        server.limit_per_s = 0.5
        server.mode = 'fail'
        replies = await send(system, 'look', per_s=20, for_s=2.0)
        # Two requests before the limit is known, their repeats, and shares.
        assert len(server.arrived_s) <= 6
        assert {reply.status for reply in replies} == {500, 503}
