"""Prompt parts that crash every endpoint, over loopback sockets."""

import asyncio

import pytest

from basilpond.node.tests.platform_world import world

DOWN_S = 0.5
# Requests with a part that crashes endpoints may reach this many of them.
MAX_CRASHES = 5


def headers(*parts):
    prefix = ','.join(f'{part:x}:100' for part in parts)
    return (
        ('X-Model', 'm'),
        ('X-Token-Count', f'{100 * len(parts)},60'),
        ('X-Prompt-Prefix', prefix),
    )


def served(reply):
    return reply.status == 200 and reply.complete


def prepare(system, crashing_part):
    """Let endpoints crash on a part and start again under a new id."""

    async def restart(server):
        await asyncio.sleep(DOWN_S)
        system.log.put('keyed.servers', server.server_id, None)
        name, _, boot = server.server_id.partition('.')
        server.server_id = f'{name}.{int(boot or 0) + 1}'
        await server.start()
        system.log.put('keyed.servers', server.server_id, server.entry())

    restarts = set()

    def schedule(server):
        restarts.add(asyncio.create_task(restart(server)))

    models = [s for s in system.servers.values() if s.service == 'llm']
    for server in models:
        server.crashing_parts = {crashing_part}
        server.prefill_s = 0.02
        server.on_crash = schedule
    return models


@pytest.mark.parametrize('route', ['digest', 'chat'])
async def test_new_requests_with_a_part_that_crashes_endpoints_are_stopped(
    route,
):
    """Guards against one prompt part that crashes endpoint after endpoint.

    No two requests with the part are alike, and they come at any router.
    """
    async with world(nodes=3, models=5) as system:
        models = prepare(system, 0xBAD)
        sound = []
        for i in range(30):
            sound.append(
                asyncio.create_task(
                    system.prompt(
                        f'/{route}/sound{i}',
                        node=(i + 1) % 3,
                        headers=headers(1, 20 + i % 3, 1000 + i),
                    )
                )
            )
            bad = await system.prompt(
                f'/{route}/bad{i}',
                node=i % 3,
                headers=headers(1, 20, 0xBAD, 2000 + i),
            )
            assert not served(bad)
            await asyncio.sleep(0.1)
        assert sum(server.crashes for server in models) <= MAX_CRASHES
        assert bad.status == 503
        assert float(bad.headers['retry-after']) > 0
        replies = await asyncio.gather(*sound)
        # A crash breaks the requests at its endpoint.
        assert sum(served(reply) for reply in replies[10:]) >= 18


async def test_request_on_its_way_is_cancelled_when_its_part_is_known():
    """Guards against a further crash by a request that was sent before."""
    async with world(nodes=2, models=4) as system:
        models = prepare(system, 0xBAD)
        for server in models:
            server.prefill_s = 0.4

        def send(i):
            fields = headers(1, 20, 0xBAD, 2000 + i)
            return system.prompt(f'/digest/{i}', node=i % 2, headers=fields)

        await send(0)
        second = asyncio.create_task(send(1))
        await asyncio.sleep(0.2)
        third = asyncio.create_task(send(2))
        assert (await second).status == (await third).status == 502
        await asyncio.sleep(0.3)
        assert sum(server.crashes for server in models) == 2
        assert sum('cancelled' in server.ended for server in models) >= 1


async def test_reset_by_an_endpoint_that_lives_makes_no_part_suspect():
    """Guards against refusing prompts because endpoints reset connections."""
    async with world(models=3) as system:
        for server in system.servers.values():
            server.mode = 'break'
        for i in range(6):
            await system.prompt(f'/digest/{i}', headers=headers(1, 2, 3))
        for server in system.servers.values():
            server.mode = 'ok'
        reply = await system.prompt('/digest/x', headers=headers(1, 2, 4))
        assert served(reply)
