"""Evacuation of data centres, over sockets."""

import asyncio

import pytest

from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import world

# Time in which routers learn of an evacuation from the store, or from reports
# of other routers; a fifth of the usual bound.
LEARNT_S = 1.0
EMPTY = {}


def put(system, data_centre, value):
    system.log.put('keyed.op', f'evacuate/{data_centre}', value)


async def add_servers(system, data_centre, *names):
    for name in names:
        server = await system.add_server(name, name.partition('-')[0])
        system.log.put('keyed.servers', name, server.entry(zone=data_centre))
    await system.until(
        lambda: all(
            node.directory.count_in(data_centre) == len(names)
            for node in system.nodes
        )
    )


async def until_evacuated(system, *expected, nodes=None):
    await system.until(
        lambda: all(
            {
                record.data_centre
                for record in node._evacuations
                if record.active
            }
            == set(expected)
            for node in nodes or system.nodes
        ),
        LEARNT_S,
    )


async def call_all(system, count=12):
    """Send requests to all routers; return the statuses."""
    calls = [
        system.call(f'/look/{i}', node=i % len(system.nodes))
        for i in range(count)
    ]
    return {reply.status for reply in await asyncio.gather(*calls)}


async def test_evacuated_data_centre_gets_no_requests():
    """Guards against requests to the endpoints of an evacuated data centre."""
    async with world(nodes=2, apps=1) as system:
        await add_servers(system, 'far', 'app-8', 'app-9')
        assert await call_all(system) == {200}
        put(system, 'far', EMPTY)
        await until_evacuated(system, 'far')
        far = [system.servers[name] for name in ('app-8', 'app-9')]
        before = sum(len(server.arrived_s) for server in far)
        assert await call_all(system) == {200}
        assert sum(len(server.arrived_s) for server in far) == before
        _, _, text = system.nodes[0]._respond_metrics(b'/')
        assert b'basilpond_evacuated_data_centres 1.0' in text
        # Two at once; nothing is left.
        put(system, 'dc', EMPTY)
        await until_evacuated(system, 'far', 'dc')
        started_s = asyncio.get_running_loop().time()
        assert await call_all(system) == {503}
        assert asyncio.get_running_loop().time() - started_s < 1.0
        _, _, text = system.nodes[0]._respond_metrics(b'/')
        assert b'reason="data centre evacuated"' in text
        assert sum(len(server.arrived_s) for server in far) == before
        put(system, 'far', None)
        put(system, 'dc', None)
        await until_evacuated(system)
        assert await call_all(system) == {200}


async def test_stream_at_an_evacuated_endpoint_ends_there():
    """Guards against streams that an evacuation cuts, or waits that last."""
    config = configuration()
    for item in config['routes']:
        item['latency_target_ms'] = 4000
    async with world(config, apps=1, models=1) as system:
        system.servers['llm-0'].event_gap_s = 0.1
        quiet = system.servers['app-0']
        quiet.mode = 'shed'
        quiet.retry_after = '2'
        stream = asyncio.create_task(system.prompt())
        waiting = asyncio.create_task(system.call('/look/1'))
        await system.until(lambda: system.servers['llm-0'].requests)
        await system.until(lambda: system.nodes[0].dispatcher.waiting == 1)
        put(system, 'dc', EMPTY)
        await until_evacuated(system, 'dc')
        async with asyncio.timeout(0.5):
            assert (await waiting).status == 503
        reply = await stream
        assert reply.complete
        assert reply.events == 6


async def test_stream_does_not_resume_in_an_evacuated_data_centre():
    """Guards against retries of streams at an evacuated endpoint."""
    async with world(models=1) as system:
        await add_servers(system, 'far', 'llm-9')
        near, far = system.servers['llm-0'], system.servers['llm-9']
        near.mode = far.mode = 'break'
        near.break_after = far.break_after = 2
        near.event_gap_s = far.event_gap_s = 0.2
        call = asyncio.create_task(system.prompt())
        await system.until(lambda: near.requests or far.requests)
        other = 'dc' if far.requests else 'far'
        unused = near if far.requests else far
        put(system, other, EMPTY)
        await until_evacuated(system, other)
        assert not (await call).complete
        assert not unused.arrived_s


async def test_request_that_connects_is_not_sent_to_an_evacuated_endpoint():
    """Guards against requests chosen before the evacuation."""
    async with world(apps=1) as system:
        pool = system.nodes[0].directory.find('app-0').pool
        connect = pool.connect
        connecting = asyncio.Event()

        async def connect_slowly():
            connection = await connect()
            connecting.set()
            await asyncio.sleep(0.4)
            return connection

        pool.connect = connect_slowly
        call = asyncio.create_task(system.call('/look/1'))
        await connecting.wait()
        put(system, 'dc', EMPTY)
        assert (await call).status == 503
        assert not system.servers['app-0'].arrived_s


async def test_router_without_the_store_learns_from_others():
    """Guards against a router that is cut off, then back, then cut off."""
    async with world(nodes=3, apps=1) as system:
        cut_off = system.nodes[2]
        log = system.logs['node-2']
        await system.until(
            lambda: all(
                node.peers.live_routers() == 3 for node in system.nodes
            )
        )
        log.is_cut = True
        put(system, 'dc', EMPTY)
        await until_evacuated(system, 'dc')
        put(system, 'dc', None)
        await until_evacuated(system)
        put(system, 'dc', EMPTY)
        log.is_cut = False
        await until_evacuated(system, 'dc')
        log.is_cut = True
        put(system, 'dc', None)
        await until_evacuated(system, nodes=[cut_off])


async def test_starting_router_is_ready_only_with_the_evacuations():
    """Guards against a new router that uses an evacuated data centre."""
    async with world(apps=1) as system:
        put(system, 'dc', EMPTY)
        await until_evacuated(system, 'dc')
        node = await system.add_node('node-9')
        await system.until(node.is_ready)
        assert len(node._evacuations) == 1
        assert (await system.call('/look/1', node=1)).status == 503
        assert not system.servers['app-0'].arrived_s


@pytest.mark.parametrize('trim', [False, True])
async def test_several_keys_at_once_are_all_read(trim):
    """Guards against keys missed by reads of the newest records only."""
    async with world(nodes=2, apps=1) as system:
        put(system, 'a', EMPTY)
        put(system, 'b', EMPTY)
        put(system, 'a', None)
        if trim:
            system.log.trim('keyed.op')
        system.log.put('keyed.op', 'config', configuration(2))
        await until_evacuated(system, 'b')
        put(system, 'b', None)
        put(system, 'c', EMPTY)
        if trim:
            system.log.trim('keyed.op')
        await until_evacuated(system, 'c')
        assert all(
            n.configuration.catalogue.version == 2 for n in system.nodes
        )


async def test_malformed_keys_change_nothing():
    """Guards against keys of other writers that evacuate, or end one."""
    async with world(nodes=1, apps=1) as system:
        put(system, 'far', EMPTY)
        await until_evacuated(system, 'far')
        for name in ('', 'far', 'dc', 'other'):
            put(system, name, ['x'])
        put(system, 'far', EMPTY)
        system.log.put('keyed.op', 'evacuate', EMPTY)
        put(system, 'marker', EMPTY)
        await until_evacuated(system, 'far', 'marker')
        assert await call_all(system) == {200}


async def test_evacuation_lasts_in_a_restored_store():
    """Guards against the loss of a key that the store acknowledged."""
    async with world(nodes=2, apps=1) as system:
        await asyncio.sleep(0.6)
        put(system, 'dc', EMPTY)
        await until_evacuated(system, 'dc')
        system.log.restore(0.5)
        await system.until(
            lambda: all(n._writer.era == 2 for n in system.nodes)
        )
        await asyncio.sleep(LEARNT_S)
        await until_evacuated(system, 'dc')
        assert await call_all(system) == {503}
        put(system, 'dc', None)
        await until_evacuated(system)
        assert await call_all(system) == {200}


async def test_router_that_stood_still_reads_the_store_before_a_send():
    """Guards against requests that waited at a router which was paused."""
    async with world(apps=1, evacuate_s=5.0) as system:
        node = system.nodes[0]
        assert (await system.call('/look/1')).status == 200
        server = system.servers['app-0']
        log = system.logs['node-0']
        read = log.read

        async def read_at_once(topic, offset, wait_s, *args, **kwargs):
            if topic == 'keyed.op' and wait_s:
                # The reader of the topic comes later than the request.
                await asyncio.sleep(3600)
            return await read(topic, offset, wait_s, *args, **kwargs)

        log.read = read_at_once
        # The read that is under way ends with a record.
        system.log.put('keyed.op', 'config', configuration(2))
        await system.until(lambda: node.configuration.catalogue.version == 2)
        put(system, 'dc', EMPTY)
        evacuations = node.directory.is_stale.__self__
        evacuations._reported_s -= 10
        assert (await system.call('/look/2')).status == 503
        assert len(server.arrived_s) == 1
        # Once is enough.
        assert not node.directory.is_stale()
