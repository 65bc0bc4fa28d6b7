import asyncio

import aiohttp

from basilpond_testkit import _program
from basilpond_testkit import vms


async def test_change_is_visible_after_lag():
    """Guards against a VM list without lag, which hides stale reads."""
    server = _program.Server(
        vms.VmList(vms.VmsSettings(lag_ms=150)).app(), _program.HttpSettings()
    )
    await server.start()
    vm = {'id': 'e1', 'address': '127.0.0.1:1', 'state': 'leaving'}
    async with aiohttp.ClientSession(server.url) as session:
        await session.post('/control/vms', json={'vms': [vm]})
        async with session.get('/vms') as answer:
            assert await answer.json() == {'vms': []}
        await asyncio.sleep(0.2)
        async with session.get('/vms') as answer:
            assert await answer.json() == {'vms': [vm]}
    await server.stop()
