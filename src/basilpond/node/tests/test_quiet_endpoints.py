"""Endpoints that turn requests away and ask for quiet, over sockets."""

import asyncio

import pytest

from basilpond.node.tests.platform_world import world

# Time after a 503 in which requests that are on their way may arrive.
SETTLED_S = 0.5
# Requests of one router that may arrive in the rest of the time named.
ALLOWED = 2


def prompt(number):
    """Return the fields of a prompt that no endpoint has cached."""
    return (
        ('X-Model', 'm'),
        ('X-Token-Count', '300,60'),
        ('X-Prompt-Prefix', f'{number:x}:300'),
    )


async def send(system, path, *, per_s, for_s, node=0):
    """Send requests at a constant rate to one router."""
    replies = []
    for i in range(round(per_s * for_s)):
        call = (
            system.prompt(node=node, headers=prompt(i))
            if path == 'chat'
            else system.call(f'/{path}/{i}', node=node)
        )
        replies.append(asyncio.create_task(call))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*replies)


@pytest.mark.parametrize('mode', ['shed', 'busy'])
@pytest.mark.parametrize('path', ['look', 'chat'])
async def test_endpoint_that_asks_for_quiet_gets_no_requests(path, mode):
    """Guards against requests to endpoints that turned some away for a time.

    All endpoints of a service got every request, and rejected each.
    """
    async with world(apps=2, models=2) as system:
        service = 'app' if path == 'look' else 'llm'
        servers = [system.servers[f'{service}-{i}'] for i in range(2)]
        for server in servers:
            server.mode = mode
            server.retry_after = '2.0'
        replies = await send(system, path, per_s=40, for_s=1.9)
        assert {reply.status for reply in replies} <= {502, 503}
        for server in servers:
            first_s = server.arrived_s[0]
            late = [
                at_s
                for at_s in server.arrived_s
                if first_s + SETTLED_S < at_s < first_s + 2.0
            ]
            assert len(late) <= ALLOWED
            server.mode = 'ok'
        # They are used again afterwards.
        await asyncio.sleep(0.3)
        replies = await send(system, path, per_s=20, for_s=1.0)
        assert {reply.status for reply in replies} == {200}
