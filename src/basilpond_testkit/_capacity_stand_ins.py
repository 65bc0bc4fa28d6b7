"""Stand-ins around one router: members and endpoints, in one process.

Started with the number of members and the seed's ``ip:port``. Prints the port
of the endpoint server, which answers the polls of all endpoints.
"""

from __future__ import annotations

import asyncio
import socket
import sys

from aiohttp import web

from basilpond.tasks import GossipTask

from . import _fleet


def _udp_ports(count: int) -> list[int]:
    """Return ports that are free for UDP; a free TCP port may not be."""
    sockets = [
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)
    ]
    for udp in sockets:
        udp.bind((_fleet.HOST, 0))
    ports = [udp.getsockname()[1] for udp in sockets]
    for udp in sockets:
        udp.close()
    return ports


async def _load(request: web.Request) -> web.Response:
    return web.json_response(
        {
            'running': 3,
            'waiting': 0,
            'kv_used_share': 0.5,
            'leaving': False,
            'time_ms': 1,
        }
    )


async def _cache_events(request: web.Request) -> web.Response:
    return web.json_response({'next': 0, 'events': []})


async def _serve(members: int, seed: str) -> None:
    app = web.Application()
    app.router.add_get('/load', _load)
    app.router.add_get('/cache_events', _cache_events)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, _fleet.HOST, 0)
    await site.start()
    sys.stdout.write(f'{runner.addresses[0][1]}\n')
    sys.stdout.flush()
    host, _, port = seed.partition(':')
    tasks = [
        GossipTask(
            # Higher than the router's id, so that the router's own rank is
            # the first one and it appends the budgets.
            incarnation_id=f'z-member-{number:03d}~1764800000000',
            data_centre=f'sicilia-{number % 17:02d}',
            host=_fleet.HOST,
            port=udp_port,
            operator_port=1,
            seeds=[(host, int(port))],
        )
        for number, udp_port in enumerate(_udp_ports(members))
    ]
    async with asyncio.TaskGroup() as group:
        group.create_task(asyncio.Event().wait())
        for task in tasks:
            group.create_task(task.run())


if __name__ == '__main__':
    asyncio.run(_serve(int(sys.argv[1]), sys.argv[2]))
