"""Crash counts of requests in the log, written and read by several routers."""

import asyncio
import random

import pytest

from basilpond.node._crash_log import CRASHES_TOPIC
from basilpond.node._crash_log import CrashLog
from basilpond.node.tests.platform_world import world
from basilpond.routing import CrashCounter
from basilpond_testkit.budget_fleet import SimulatedLog
from basilpond_testkit.budget_fleet import SimulatedStore
from basilpond_testkit.paused_clock import on_paused_clock

DEADLY = 'd' * 32
SOUND = 's' * 32
WRITES_PER_S = 800


class NullDecisions:
    def event(self, name, **fields):
        pass


class Router:
    """Crash counts of one start of a router."""

    def __init__(self, store, name, *, routers=3, wall_offset_s=0.0):
        loop = asyncio.get_running_loop()
        self.counter = CrashCounter(max_crashes=3)
        self.log = SimulatedLog(store)
        self.appends = 0
        add = self.log.add

        async def count_add(*args):
            self.appends += 1
            await add(*args)

        self.log.add = count_add
        self.crashes = CrashLog(
            name,
            self.counter,
            self.log,
            NullDecisions(),
            writes_per_s=WRITES_PER_S,
            live_routers=lambda: routers,
            wall_s=lambda: loop.time() + 1e9 + wall_offset_s,
        )
        self.task = asyncio.create_task(self.crashes.run())

    def record(self, digest):
        self.crashes.record(digest, asyncio.get_running_loop().time())

    def clear(self, digest):
        self.crashes.clear(digest, asyncio.get_running_loop().time())

    def stops(self, digest):
        now_s = asyncio.get_running_loop().time()
        return self.counter.is_stopped(digest, digest, now_s)


async def start(store, *names, **settings):
    """Start routers and wait until they have read the log."""
    routers = [Router(store, name, **settings) for name in names]
    await asyncio.sleep(0.1)
    return routers


@on_paused_clock
async def test_request_that_crashes_endpoints_is_stopped_after_a_kill_of_all():
    """Guards against crash counts that are lost with all routers."""
    store = SimulatedStore(random.Random(1))
    for router in await start(store, 'a~1', 'b~1', 'c~1'):
        router.record(DEADLY)
        router.record(SOUND)
        await asyncio.sleep(1.0)
        # Killed: another router has seen the next crash.
        router.task.cancel()
    for router in await start(store, 'a~2', 'b~2'):
        assert router.stops(DEADLY)


@on_paused_clock
async def test_each_kill_between_two_crashes_counts():
    """Guards against one more round of crashes after each kill of all."""
    store = SimulatedStore(random.Random(1))
    for number in range(3):
        (router,) = await start(store, f'a~{number}')
        assert not router.stops(DEADLY)
        router.record(DEADLY)
        # The kill comes right after the append.
        await asyncio.sleep(0.02)
        router.task.cancel()
    (router,) = await start(store, 'a~3')
    assert router.stops(DEADLY)


@on_paused_clock
async def test_request_that_was_completed_is_served_after_a_kill():
    """Guards against sound requests that ran beside a deadly one."""
    store = SimulatedStore(random.Random(1))
    routers = await start(store, 'a~1', 'b~1', 'c~1')
    for router in routers:
        router.record(SOUND)
    await asyncio.sleep(1.0)
    routers[0].clear(SOUND)
    await asyncio.sleep(1.0)
    (router,) = await start(store, 'a~2')
    assert not router.stops(SOUND)


@pytest.mark.parametrize(
    ('wall_offset_s', 'stopped'), [(0, True), (590, True), (700, False)]
)
def test_counts_lapse(wall_offset_s, stopped):
    """Guards against requests that stay refused after endpoints are mended."""

    @on_paused_clock
    async def check():
        store = SimulatedStore(random.Random(1))
        (router,) = await start(store, 'a~1')
        for _ in range(3):
            router.record(DEADLY)
        await asyncio.sleep(1.0)
        (router,) = await start(store, 'a~2', wall_offset_s=wall_offset_s)
        assert router.stops(DEADLY) is stopped

    check()


@pytest.mark.parametrize('routers', [3, 195])
def test_many_broken_requests_need_few_appends(routers):
    """Guards against a storm of crashes that becomes a storm of appends."""

    @on_paused_clock
    async def check():
        store = SimulatedStore(random.Random(1))
        (router,) = await start(store, 'a~1', routers=routers)
        seconds = 10
        for number in range(5_000):
            router.record(f'{number:032x}')
            if number % 500 == 0:
                await asyncio.sleep(seconds / 10)
        # All routers together use a twentieth of the calls.
        assert router.appends * routers <= 0.05 * WRITES_PER_S * seconds + (
            routers
        )

    check()


@on_paused_clock
async def test_counts_are_read_and_written_after_an_outage():
    """Guards against a start in an outage after which counts stay unknown."""
    store = SimulatedStore(random.Random(1))
    (first,) = await start(store, 'a~1')
    first.record(DEADLY)
    first.record(DEADLY)
    await asyncio.sleep(1.0)
    store.available = False
    (router,) = await start(store, 'a~2')
    assert not router.crashes.is_read
    router.record(DEADLY)
    await asyncio.sleep(5.0)
    store.available = True
    await asyncio.sleep(3.0)
    assert router.crashes.is_read
    assert router.stops(DEADLY)
    (other,) = await start(store, 'b~1')
    assert other.stops(DEADLY)


@on_paused_clock
async def test_odd_records_are_left_out():
    """Guards against a start that records of another writer prevent."""
    store = SimulatedStore(random.Random(1))
    log = SimulatedLog(store)
    values = (b'', b'3', b'x y z', b'3 4 ' + b'h' * 999, b'%d 1 h' % 2**70)
    for value in (*values, b'-1 5 h', b'3 5 \xff'):
        await log.add(CRASHES_TOPIC, 0, [(DEADLY, value)])
    (router,) = await start(store, 'a~1')
    assert router.crashes.is_read
    assert not router.stops(DEADLY)


async def test_routers_that_were_all_killed_send_no_deadly_request():
    """Replays a request that crashed three servers before a kill of all."""
    async with world(nodes=2, apps=4) as system:
        for server in system.servers.values():
            server.mode = 'break'
        for number in range(4):
            await system.call('/look/deadly', node=number % 2)
        before = system.runs('app')
        assert before >= 3
        await asyncio.sleep(0.3)
        for node in list(system.nodes):
            system.kill(node)
        for number in range(2):
            await system.add_node(f'node-{number}')
        await system.until(lambda: all(n.is_ready() for n in system.nodes))
        for number in range(4):
            reply = await system.call('/look/deadly', node=number % 2)
            assert reply.status == 503
        assert system.runs('app') == before
