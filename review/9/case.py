"""A change of the settings file ends routers that are just starting.

Two routers. The platform changes the settings file of each router 0.15 s after
it has started the process, and says so with SIGHUP. A process that ends by
itself is started again 0.8 s later. With TROUBLE=0 the file changes at the
same moments and SIGHUP comes two seconds later.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'rig-2'))

import rig  # noqa: E402

CHANGES = 3
CHANGE_S = 0.15
CALM_DELAY_S = 2.0
# Rule "Fault": on two machines at least, three times.
MACHINES = 2
ENDS = 3


async def change_settings(router: rig.Router, record: rig.Record) -> None:
    """Start the process; change its settings after each start."""
    router.start()
    for change in range(CHANGES):
        await asyncio.sleep(CHANGE_S)
        seeds = [f'127.0.9.{change + 1}:8229']
        router.settings['seeds'] = seeds
        router.write_settings()
        record.line(f'{router.name} settings changed: seeds {seeds}')
        if not rig.TROUBLE:
            await asyncio.sleep(CALM_DELAY_S)
        router.send_signal(signal.SIGHUP)
        record.line(f'{router.name} gets SIGHUP')
        await asyncio.sleep(1.0)
        code = router.process.poll()
        if code is None:
            continue
        router.own_ends.append(f'exit code {code}')
        record.line(f'{router.name} ended by itself: exit code {code}')
        await asyncio.sleep(rig.RESTART_S)
        router.start()
        record.line(f'{router.name} started again')


async def play(record: rig.Record) -> bool:
    """Return whether the rule was broken."""
    server = rig.ServerStandIn('i-1', 'wuno96b')
    routes = [rig.route('/cufi504/', 'safe', 'wuno96b')]
    async with rig.deployment() as system:
        await system.start(routes, [server], [], 6)
        system.routers = [
            rig.Router(
                f'front-{i}', f'127.0.9.{i}', system.log.port, system.folder
            )
            for i in (1, 2)
        ]
        await asyncio.gather(
            *(change_settings(router, record) for router in system.routers)
        )
        for router in system.routers:
            await router.wait_ready()
            client = rig.Client(router)
            data = rig.head('GET', '/cufi504/2f', router.name, 3000)
            status, _ = await client.request(data)
            client.close()
            record.line(f'{router.name} answers a request with {status}')
            record.line(f'{router.name} own ends: {router.own_ends}')
        rig.record_runs(record, [server])
        ending = [r for r in system.routers if len(r.own_ends) >= ENDS]
        return len(ending) >= MACHINES


if __name__ == '__main__':
    rig.run_case(__file__, play)
