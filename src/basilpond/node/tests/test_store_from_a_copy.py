"""Routers whose store comes back from a copy that is some seconds old."""

import asyncio

from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import world

PREPAID_TOKENS = 18_000
PROMPT_TOKENS = 300


async def spend(system, node, prompts):
    """Send prompts one after the other; return how many were served."""
    replies = [await system.prompt(node=node) for _ in range(prompts)]
    return sum(reply.status == 200 for reply in replies)


async def test_appends_go_on_after_a_restore():
    """Guards against a sequence number taken as that of a lost append.

    The copy expects a lower number than the producer's next one. Each later
    append was refused for its number, and counted as executed.
    """
    async with world(nodes=2) as system:
        await asyncio.sleep(1.0)
        system.log.restore(0.7)
        end = len(system.log.topics['keyed.fleet'])
        await asyncio.sleep(1.0)
        records = system.log.topics['keyed.fleet'][end:]
        for node in system.nodes:
            assert any(key == f'alive/{node.holder}' for key, _ in records)


async def test_restarted_router_grants_no_lost_tokens_again():
    """Guards against a budget that is spent twice after a restore.

    Routers that had started again judged their raises by the accounts of the
    copy, which lacked what the routers before them had been granted and used.
    """
    tenant = {'name': 'org', 'api_keys': ['key'], 'prepaid': PREPAID_TOKENS}
    async with world(configuration(tenants=[tenant]), nodes=2) as system:
        started_s = asyncio.get_running_loop().time()
        served = await spend(system, 0, 30) + await spend(system, 1, 30)
        passed_s = asyncio.get_running_loop().time() - started_s
        system.log.restore(passed_s)
        system.kill(system.nodes[1])
        node = await system.add_node('node-1')
        await system.until(node.is_ready)
        await asyncio.sleep(2.0)
        served += await spend(system, 1, 30)
        assert served * PROMPT_TOKENS <= PREPAID_TOKENS


async def test_raises_are_granted_again_after_a_restore():
    """Guards against a restore that stops all raises for good."""
    async with world(nodes=3) as system:
        await asyncio.sleep(0.5)
        system.log.restore(0.3)
        await asyncio.sleep(1.5)
        # More than the routers own without a raise.
        assert await spend(system, 0, 60) == 60
