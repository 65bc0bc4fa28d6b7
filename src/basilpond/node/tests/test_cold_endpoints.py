"""Endpoints that are cold, over sockets."""

import asyncio

import pytest

from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import world
from basilpond.routing.capacity import _cold_endpoints

PER_S = 4.0
# Requests in any second that a cold endpoint survives: 1.5 x PER_S + 5.
BOUND = 11
COLD_S = 3.0
SETTLING_S = 0.3
READ_DELAY_S = 0.5


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    """Shorten the times of a start and of an entry on its way."""
    monkeypatch.setattr(_cold_endpoints, '_SETTLING_S', SETTLING_S)
    monkeypatch.setattr(_cold_endpoints, '_FIRST_VIEW_S', 2 * SETTLING_S)
    monkeypatch.setattr(_cold_endpoints, '_READ_DELAY_S', READ_DELAY_S)


def cold_configuration(objective_ms=200):
    config = configuration(
        services=[
            {'name': name, 'cold_start_s': COLD_S, 'cold_per_s': PER_S}
            for name in ('app', 'llm')
        ]
    )
    for priority, item in enumerate(config['routes']):
        item.update(latency_target_ms=objective_ms, priority=priority)
    return config


def put_entry(system, name, **changes):
    entry = system.servers[name].entry(**changes)
    system.log.put('keyed.servers', name, entry)


async def until_cold(system, *expected, nodes=None):
    """Wait until routers count these endpoints as cold."""
    await system.until(
        lambda: all(
            {
                entry.endpoint.id
                for entry in node.directory
                if node._cold.state.is_cold(
                    entry.incarnation_number,
                    asyncio.get_running_loop().time(),
                )
            }
            == set(expected)
            for node in nodes or system.nodes
        )
    )


async def settle(system):
    """Wait until the routers have divided the limits."""
    await system.until(
        lambda: all(
            node.peers.live_routers() == len(system.nodes)
            for node in system.nodes
        )
    )
    await asyncio.sleep(SETTLING_S + 2.2)


def most_arrivals(server, since_s):
    times = [at_s for at_s in server.arrived_s if at_s >= since_s]
    return max(
        (sum(t <= at_s < t + 1.0 for at_s in times) for t in times),
        default=0,
    )


async def send(system, *, per_s, for_s, path='look'):
    """Send requests at a constant rate to all routers in turn."""
    replies = []
    for i in range(round(per_s * for_s)):
        node = i % len(system.nodes)
        call = (
            system.prompt(f'/{path}/{i}', node=node)
            if path == 'chat'
            else system.call(f'/{path}/{i}', node=node)
        )
        replies.append(asyncio.create_task(call))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*replies)


@pytest.mark.parametrize('path', ['look', 'chat'])
async def test_routers_together_keep_the_limit_of_a_cold_endpoint(path):
    """Guards against a cold endpoint that gets what a warm one can take."""
    service = 'app' if path == 'look' else 'llm'
    async with world(
        cold_configuration(), nodes=3, apps=1, models=1
    ) as system:
        await settle(system)
        server = system.servers[f'{service}-0']
        replies = await send(system, per_s=30, for_s=0.5, path=path)
        assert {reply.status for reply in replies} == {200}
        put_entry(system, server.server_id, seq=2, cold_left_ms=3000)
        await until_cold(system, server.server_id)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        replies = await send(system, per_s=30, for_s=2.5, path=path)
        assert most_arrivals(server, started_s) <= BOUND
        # What it takes is used, and the rest is refused while it can go on.
        served = [reply for reply in replies if reply.status == 200]
        assert len(served) >= 0.5 * PER_S * 2.5
        refused = [reply for reply in replies if reply.status != 200]
        assert refused
        assert {reply.status for reply in refused} == {503}
        assert all(
            0 < float(reply.headers['retry-after']) <= 1.5 for reply in refused
        )
        _, _, text = system.nodes[0]._respond_metrics(b'/')
        assert b'basilpond_cold_endpoints 1.0' in text
        assert b'reason="all endpoints are cold"' in text
        put_entry(system, server.server_id, seq=3)
        await until_cold(system)
        replies = await send(system, per_s=30, for_s=0.5, path=path)
        assert {reply.status for reply in replies} == {200}


async def test_warm_endpoints_serve_what_a_cold_one_does_not_take():
    """Guards against refusals while others have room."""
    async with world(cold_configuration(), nodes=2, apps=2) as system:
        await settle(system)
        put_entry(system, 'app-0', seq=2, cold_left_ms=3000)
        await until_cold(system, 'app-0')
        started_s = asyncio.get_running_loop().time()
        replies = await send(system, per_s=60, for_s=1.5)
        assert {reply.status for reply in replies} == {200}
        assert most_arrivals(system.servers['app-0'], started_s) <= BOUND


async def test_waiting_requests_are_sent_in_order_within_their_objectives():
    """Guards against urgent requests behind others, or waits in vain."""
    async with world(cold_configuration(1200), nodes=1, apps=1) as system:
        await settle(system)
        put_entry(system, 'app-0', seq=2, cold_left_ms=60_000)
        await until_cold(system, 'app-0')
        server = system.servers['app-0']
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        calls = []
        for number in range(16):
            path = '/claim/x' if number < 8 else '/look/x'
            calls.append(asyncio.create_task(system.call(path, method='POST')))
            await asyncio.sleep(0.01)
        replies = await asyncio.gather(*calls)
        assert loop.time() - started_s < 1.6
        assert {reply.status for reply in replies} == {200, 503}
        assert most_arrivals(server, started_s) <= PER_S
        # Two rounds: the first ones, and the most urgent of those that wait.
        targets = [request.target[:6] for request in server.requests]
        assert targets == [b'/claim'] * 4 + [b'/look/'] * 4


async def test_requests_that_connect_to_an_endpoint_that_turns_cold_stop():
    """Guards against requests that were chosen just before the change."""
    async with world(cold_configuration(), apps=1) as system:
        await settle(system)
        pool = system.nodes[0].directory.find('app-0').pool
        connect = pool.connect
        is_cold = asyncio.Event()

        async def connect_slowly():
            connection = await connect()
            await is_cold.wait()
            return connection

        pool.connect = connect_slowly
        calls = [
            asyncio.create_task(system.call('/look/1')) for _ in range(20)
        ]
        await system.until(lambda: pool.opened == 20)
        put_entry(system, 'app-0', seq=2, cold_left_ms=3000)
        await until_cold(system, 'app-0')
        is_cold.set()
        await asyncio.gather(*calls)
        assert most_arrivals(system.servers['app-0'], 0.0) <= PER_S


async def test_evacuated_endpoints_return_cold():
    """Guards against all routers that use a returned data centre at once."""
    async with world(
        cold_configuration(), nodes=3, apps=1, models=0
    ) as system:
        await settle(system)
        system.log.put('keyed.op', 'evacuate/dc', {})
        await system.until(
            lambda: all(len(n._evacuations) == 1 for n in system.nodes)
        )
        put_entry(system, 'app-0', seq=2)
        await asyncio.sleep(0.3)
        started_s = asyncio.get_running_loop().time()
        system.log.put('keyed.op', 'evacuate/dc', None)
        replies = await send(system, per_s=60, for_s=1.5)
        assert most_arrivals(system.servers['app-0'], started_s) <= BOUND
        assert {reply.status for reply in replies} == {200, 503}
        put_entry(system, 'app-0', seq=3)
        await until_cold(system)


async def test_router_without_the_store_learns_of_cold_endpoints():
    """Guards against a router that is cut off and knows of none."""
    async with world(cold_configuration(), nodes=2, apps=1) as system:
        await settle(system)
        system.logs['node-1'].is_cut = True
        put_entry(system, 'app-0', seq=2, cold_left_ms=60_000)
        await until_cold(system, 'app-0')


async def test_endpoint_that_fails_counts_as_cold():
    """Guards against an endpoint that returns cold without notice."""
    async with world(cold_configuration(), apps=1) as system:
        await settle(system)
        server = system.servers['app-0']
        server.mode = 'break'
        assert (await system.call('/claim/1', method='POST')).status == 502
        server.mode = 'ok'
        await until_cold(system, 'app-0')
        await asyncio.sleep(READ_DELAY_S)
        # The store still has the entry of before.
        put_entry(system, 'app-0', seq=1)
        await asyncio.sleep(0.4)
        await until_cold(system, 'app-0')
        put_entry(system, 'app-0', seq=2)
        await until_cold(system)


async def test_endpoint_that_restarts_between_requests_keeps_its_limit():
    """Guards against bursts at an idle endpoint that has just restarted.

    Found by `python -m basilpond_testkit.soak --seed 100 --crowds`: no router
    sends a request while the endpoint is away, and its entry is not read yet,
    so only the end of its kept connections shows the restart.
    """
    async with world(cold_configuration(), nodes=3, apps=1) as system:
        await settle(system)
        server = system.servers['app-0']
        server.work_s = 0.05
        replies = await send(system, per_s=30, for_s=0.5)
        assert {reply.status for reply in replies} == {200}
        system.log.mode = 'silent'
        server.stop()
        await asyncio.sleep(0.3)
        await server.start()
        server.extra_fields = [(b'x-cold-ms', b'3000')]
        started_s = asyncio.get_running_loop().time()
        calls = [system.call(f'/look/{i}', node=i % 3) for i in range(30)]
        await asyncio.gather(*calls)
        assert most_arrivals(server, started_s) <= BOUND


async def test_endpoint_that_says_it_is_cold_is_believed():
    """Guards against header fields that are ignored, or times without sense.

    A negative time, one of 30 years and a word change nothing.
    """
    async with world(cold_configuration(), apps=1) as system:
        server = system.servers['app-0']
        for value in (b'-5', b'1e12', b'999999999999', b'soon', b'nan', b''):
            server.extra_fields = [(b'x-cold-ms', value)]
            assert (await system.call('/look/1')).status == 200
            await until_cold(system)
        server.extra_fields = [(b'x-cold-ms', b'1500.5')]
        assert (await system.call('/look/1')).status == 200
        await until_cold(system, 'app-0')


@pytest.mark.parametrize('time_ms', [-1, 1e300, 'soon', None])
async def test_entry_without_a_valid_time_changes_nothing(time_ms):
    """Guards against endpoints that one wrong time takes out of use."""
    async with world(cold_configuration(), apps=1) as system:
        put_entry(system, 'app-0', seq=2, cold_left_ms=time_ms)
        await system.add_server('app-9', 'app')
        await system.until(
            lambda: system.nodes[0].directory.find('app-9') is not None
        )
        # The server that appeared may have started just now.
        await until_cold(system, 'app-9')
        entry = system.nodes[0].directory.find('app-0')
        assert entry.endpoint.sequence == 1
        assert not entry.endpoint.leaving


async def test_leaving_endpoint_with_a_wrong_time_gets_no_requests():
    """Guards against a wrong time that hides that an endpoint leaves."""
    async with world(cold_configuration(), apps=1) as system:
        put_entry(system, 'app-0', seq=2, cold_left_ms=-5, state='draining')
        await system.until(
            lambda: system.nodes[0].directory.find('app-0').endpoint.leaving
        )


async def test_service_without_a_limit_is_served_as_before():
    """Guards against other deployments that are served otherwise."""
    async with world(nodes=2, apps=1) as system:
        put_entry(system, 'app-0', seq=2, cold_left_ms=60_000)
        await system.until(
            lambda: all(
                node.directory.find('app-0').endpoint.sequence == 2
                for node in system.nodes
            )
        )
        replies = await send(system, per_s=60, for_s=0.5)
        assert {reply.status for reply in replies} == {200}
        assert not any(node._cold.count() for node in system.nodes)
