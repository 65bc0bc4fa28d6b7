"""Prompts that wait at a router for room at the endpoints."""

import asyncio

import pytest

from basilpond.node._request_context import RefusedError
from basilpond.node.tests.platform_world import PROMPT
from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import world
from basilpond.node.tests.test_admission_replay import LESS_URGENT
from basilpond.node.tests.test_admission_replay import URGENT
from basilpond.node.tests.test_admission_replay import Fleet
from basilpond.node.tests.test_admission_replay import make_context
from basilpond.routing import PeerReport
from basilpond_testkit.paused_clock import on_paused_clock

TIME_S = 10.0


def make_router(*, pending_s=0.0):
    """Return a router that hears of the same work at all endpoints."""
    router = Fleet(1, 4, admission=True).routers[0]
    set_pending(router, pending_s)
    return router


def set_pending(router, pending_s, running=4):
    now_s = asyncio.get_running_loop().time()
    report = PeerReport(running, 65_000 * pending_s, now_s)
    for entry in router.directory.entries:
        entry.load.apply_report('peer', report)


def start(router, route, order, **changes):
    """Start a request; its name is added to the order once it is sent."""
    context = make_context(route, TIME_S, **changes)

    async def send():
        router.admission.check(context)
        entries = await router.admission.admit(context, router.usable)
        cost = context.metadata.prompt_tokens
        now_s = asyncio.get_running_loop().time()
        entries[0].load.add_request(cost, now_s)
        order.append(context)
        return entries

    return context, asyncio.create_task(send())


async def fill(router):
    """Let this router use up its part of the endpoints."""
    order = []
    while not router.admission.waiting:
        _, task = start(router, LESS_URGENT, order)
        await asyncio.sleep(0.001)
    task.cancel()
    await asyncio.sleep(0.001)


def finish_all(router):
    for entry in router.directory.entries:
        for in_flight in list(entry.load.in_flight):
            entry.load.remove_request(in_flight)


@on_paused_clock
async def test_nothing_waits_while_there_is_room():
    """Guards against waits and other choices without contention."""
    router = make_router()
    order = []
    for route in (URGENT, LESS_URGENT, LESS_URGENT):
        _, task = start(router, route, order)
        await asyncio.sleep(0)
        assert task.done()
        assert len(task.result()) == 4


@pytest.mark.parametrize(('interval_s', 'compared'), [(0.1, 4), (0.5, 1)])
def test_endpoints_are_compared_by_fresh_reports_only(interval_s, compared):
    """Guards against routers that choose by reports of a load that is over.

    And against a choice at random where reports tell which endpoint is free.
    """

    @on_paused_clock
    async def check():
        router = make_router(pending_s=2.0)
        await fill(router)
        router.admission._report_interval_s = lambda: interval_s
        _, task = start(router, URGENT, [])
        assert len(await task) == compared

    check()


@on_paused_clock
async def test_urgent_prompts_do_not_wait_for_less_urgent_ones():
    """Guards against urgent prompts that are held back themselves."""
    router = make_router(pending_s=2.0)
    await fill(router)
    order = []
    _, less = start(router, LESS_URGENT, order)
    _, urgent = start(router, URGENT, order)
    await asyncio.sleep(0.001)
    assert (urgent.done(), less.done()) == (True, False)
    less.cancel()


@on_paused_clock
async def test_priority_of_an_organisation_replaces_that_of_the_route():
    """Guards against requests that are held back for others of their priority.

    They only let those with an earlier objective go first, for as long as
    their own leaves time.
    """
    router = make_router(pending_s=2.0)
    await fill(router)
    order = []
    _, less = start(router, LESS_URGENT, order)
    raised_context, raised = start(
        router, LESS_URGENT, order, effective_priority=0
    )
    await raised
    assert order == [raised_context]
    now_s = asyncio.get_running_loop().time()
    assert now_s <= raised_context.started_s + 0.55 * LESS_URGENT.objective_s
    less.cancel()


@on_paused_clock
async def test_prompts_are_sent_in_order_within_a_second_of_room():
    """Guards against room that is noticed late, or used out of order."""
    router = make_router(pending_s=2.0)
    await fill(router)
    order = []
    first, _ = start(router, LESS_URGENT, order)
    more_urgent, _ = start(router, LESS_URGENT, order, effective_priority=1)
    resumed, _ = start(router, LESS_URGENT, order, is_taken_up=True)
    await asyncio.sleep(0.1)
    assert not order
    set_pending(router, 0.0, running=0)
    for _ in range(10):
        finish_all(router)
        await asyncio.sleep(0.1)
    assert order == [more_urgent, resumed, first]


@on_paused_clock
async def test_waiting_prompt_ends_at_once_when_it_is_cancelled():
    """Guards against a stop, or a caller that left, which waits for room."""
    router = make_router(pending_s=2.0)
    await fill(router)
    _, task = start(router, LESS_URGENT, [])
    await asyncio.sleep(0.1)
    assert router.admission.waiting == 1
    task.cancel()
    await asyncio.sleep(0)
    assert router.admission.waiting == 0
    assert task.cancelled()


@on_paused_clock
async def test_prompt_is_refused_at_the_end_of_its_wait():
    """Guards against prompts that are sent although nobody waits for them."""
    loop = asyncio.get_running_loop()
    router = make_router(pending_s=60.0)
    await fill(router)
    router.fleet.known_routers = 50
    context, task = start(
        router, LESS_URGENT, [], wait_until_s=loop.time() + 0.2
    )
    with pytest.raises(RefusedError) as caught:
        await task
    assert loop.time() == pytest.approx(context.wait_until_s)
    assert caught.value.status == 503
    assert caught.value.retry_after_s <= (TIME_S - loop.time()) / 3


@on_paused_clock
async def test_hopeless_prompt_is_refused_at_once():
    """Guards against callers that learn too late that they wait in vain."""
    loop = asyncio.get_running_loop()
    router = make_router(pending_s=30.0)
    await fill(router)
    tasks = []
    while not any(task.done() for task in tasks):
        context, task = start(router, LESS_URGENT, [])
        tasks.append(task)
        await asyncio.sleep(0)
        assert len(tasks) < 500
    assert loop.time() <= context.started_s + 1.5 / 8
    with pytest.raises(RefusedError, match='backlog'):
        task.result()
    for task in tasks:
        task.cancel()


@on_paused_clock
async def test_old_reports_count_as_no_load():
    """Guards against waits for the load of a router that is gone."""
    router = make_router(pending_s=2.0)
    await fill(router)
    finish_all(router)
    order = []
    start(router, LESS_URGENT, order)
    await asyncio.sleep(0.05)
    for _ in range(25):
        await asyncio.sleep(0.1)
        now_s = asyncio.get_running_loop().time()
        for entry in router.directory.entries:
            entry.load.expire_reports(now_s)
    assert len(order) == 1


@on_paused_clock
async def test_ejected_endpoints_are_no_room():
    """Guards against prompts that are let go for endpoints out of use."""
    router = make_router(pending_s=2.0)
    now_s = asyncio.get_running_loop().time()
    ejected = router.directory.entries[0]
    ejected.load.apply_report('peer', PeerReport(0, 0.0, now_s))
    ejected.load.eject(now_s)
    await fill(router)
    assert not ejected.load.in_flight


async def test_waiting_prompt_is_refused_when_the_router_stops():
    """Guards against a stop that waits for prompts without room."""
    config = configuration()
    for item in config['routes']:
        item['priority'] = {'chat': 0}.get(item['name'], 2)
        item['latency_target_ms'] = 1500
    async with world(config, models=2, admission_control=True) as system:
        node = system.nodes[0]
        now_s = asyncio.get_running_loop().time()
        for entry in node.directory.candidates('llm'):
            entry.load.apply_report('peer', PeerReport(100, 1e8, now_s + 60.0))
        calls = [
            asyncio.create_task(system.prompt('/digest/x', headers=PROMPT))
            for _ in range(4)
        ]
        urgent = await system.prompt('/chat/x')
        assert urgent.status == 200
        await system.until(lambda: node.dispatcher.admission.waiting)
        node.dispatcher.refuse_new()
        replies = await asyncio.wait_for(asyncio.gather(*calls), 1.0)
        assert {reply.status for reply in replies} <= {200, 503}
        assert any(reply.status == 503 for reply in replies)
        assert not node.dispatcher.admission.waiting
