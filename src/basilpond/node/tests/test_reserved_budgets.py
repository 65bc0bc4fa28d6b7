"""Requests for tokens that nobody can account for, over sockets."""

import asyncio

from basilpond.node.tests.platform_world import world
from basilpond_testkit.loopback_clock import on_loopback_clock

# Time after which a restored log is completed without the routers that
# remember its accounts.
RESERVED_AFTER_S = 6.0


@on_loopback_clock
async def test_reserved_budget_is_not_refused_as_exhausted():
    """Guards against 402 for tokens that are reserved after a restore.

    No router is left that remembers the accounts of the log.
    """
    async with world(nodes=2) as system:
        await asyncio.sleep(1.0)
        system.log.restore(0.5)
        for node in list(system.nodes):
            system.kill(node)
        for i in range(2):
            await system.add_node(f'node-{i}')
        await asyncio.sleep(RESERVED_AFTER_S)
        for node in range(2):
            reply = await system.prompt(node=node)
            assert reply.status == 503
            assert float(reply.headers['retry-after']) > 0
