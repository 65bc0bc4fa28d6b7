"""Endpoints that fail when they reject too much, over loopback sockets."""

import asyncio

import pytest

from basilpond.node.tests.platform_world import route
from basilpond.node.tests.platform_world import world
from basilpond.routing import BrittleEndpoints
from basilpond_testkit.loopback_clock import on_loopback_clock
from basilpond_testkit.platform_configuration import configuration

SLOTS = 4
WORK_S = 0.3
# Requests that wait at a server at first.
QUEUE_ROOM = 4
# Time after which routers have to keep the bound of an endpoint.
SETTLED_S = 3.0
MEASURED_S = 6.0


async def run(*, routers, servers, survived, load):
    """Return falls and responses while all servers are brittle.

    Parameters
    ----------
    routers, servers : int
    survived : int
        Rejections a second that a server survives.
    load : float
        Requests sent, as a multiple of what the servers can process.
    """
    config = configuration(
        routes=[route('look', 'safe', 'app', latency_target_ms=1000)]
    )
    async with world(config, nodes=routers, apps=0, models=0) as system:
        apps = []
        for i in range(servers):
            server = await system.add_server(f'app-{i}', 'app', slots=SLOTS)
            server._free_slots = asyncio.Semaphore(SLOTS)
            server.work_s = WORK_S
            server.queue_room = QUEUE_ROOM
            server.on_return = lambda server: system.log.put(
                'keyed.servers', server.server_id, server.entry()
            )
            # Known from the beginning, so that none falls before it counts.
            server.extra_fields = [(b'server-brittle', b'%d' % survived)]
            apps.append(server)
        await system.until(
            lambda: all(
                len(node.directory) == servers
                and node.peers.live_routers() == routers
                for node in system.nodes
            )
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        calls = []
        per_s = load * servers * SLOTS / WORK_S
        settled = 0
        while (past_s := loop.time() - started_s) < SETTLED_S + MEASURED_S:
            if past_s >= SETTLED_S and not settled:
                settled = len(calls)
                for server in apps:
                    server.rejected_s.clear()
                    server.queue_room = 1
                    server.brittle = survived
                    server.extra_fields = []
            if len(calls) < past_s * per_s:
                node = len(calls) % routers
                call = system.call(f'/look/{len(calls)}', node=node)
                calls.append(asyncio.create_task(call))
            await asyncio.sleep(0.001)
        replies = await asyncio.gather(*calls, return_exceptions=True)
        for server in apps:
            if server._fall_task is not None:
                server._fall_task.cancel()
        return sum(server.falls for server in apps), replies[settled:]


def served(replies):
    return sum(getattr(reply, 'status', None) == 200 for reply in replies)


@pytest.mark.parametrize(
    ('routers', 'servers', 'survived', 'load'),
    [(5, 3, 2, 2.0), (6, 2, 1, 1.5), (3, 3, 4, 3.0)],
)
@on_loopback_clock
async def test_endpoints_that_bound_their_rejections_stay_up(
    routers, servers, survived, load, monkeypatch
):
    """Guards against a fleet whose requests make overloaded endpoints fall."""
    arguments = {
        'routers': routers,
        'servers': servers,
        'survived': survived,
        'load': load,
    }
    falls, replies = await run(**arguments)
    monkeypatch.setattr(BrittleEndpoints, 'wait_s', lambda *args: 0.0)
    falls_before, replies_before = await run(**arguments)
    assert falls <= 2 + servers / 10 < falls_before
    assert served(replies) >= served(replies_before)
    refused = [reply for reply in replies if reply.status == 503]
    assert all(float(reply.headers['retry-after']) > 0 for reply in refused)
    # Requests that ran at an endpoint when it fell.
    lost = len(replies) - served(replies) - len(refused)
    assert lost <= falls * (SLOTS + QUEUE_ROOM)
