"""Decisions on less urgent prompts."""

import dataclasses

import pytest

from basilpond.routing import Organisation
from basilpond.routing import Route
from basilpond.routing import RouteKind
from basilpond.routing.admission import AdmissionPolicy
from basilpond.routing.admission import ServiceLoad
from basilpond.routing.admission import UrgencyLevels
from basilpond.routing.admission import WorkMix
from basilpond.routing.admission import rank_endpoints
from basilpond.routing.admission import reserved_count

SPEED = 65_000.0
COST = 13_000.0
LIMIT_S = 0.2
URGENT = Route(
    'a', 'h', '/a/', RouteKind.STREAM, 30.0, 0.4, 0.3, 0,
    (('llm', 1.0),), 2, False, True, True,
)  # fmt: skip
SLOW = dataclasses.replace(URGENT, name='b', objective_s=1.5, priority=2)
IDLE = ServiceLoad(tokens_per_s=4 * SPEED, slots=64)


def update(policy, load, now_s, *, routers=1):
    policy.record_load(load, LIMIT_S, now_s)
    policy.update(
        load,
        ServiceLoad(),
        routers=routers,
        shared_limit_s=LIMIT_S,
        waiting_cost=COST,
        oldest_share=0.0,
        now_s=now_s,
    )


@pytest.mark.parametrize(
    'routes',
    [
        (URGENT,),
        (URGENT, dataclasses.replace(URGENT, name='c')),
        (URGENT, dataclasses.replace(SLOW, generates=False)),
        (URGENT, dataclasses.replace(SLOW, split=(('other', 1.0),))),
    ],
)
def test_service_with_prompts_that_are_alike_holds_nothing_back(routes):
    """Guards against admission control where nothing calls for it."""
    organisations = [Organisation('o', (), 5, None)]
    levels = UrgencyLevels('llm', routes, organisations)
    assert levels.is_uniform
    assert levels.limit_s(9) is None


def test_limit_is_that_of_the_strictest_more_urgent_objective():
    """Guards against the priority of the route where an organisation's is."""
    levels = UrgencyLevels(
        'llm', (URGENT, SLOW), [Organisation('o', (), 5, None)]
    )
    assert levels.limit_s(0) is None
    assert levels.limit_s(2) == levels.limit_s(5) == pytest.approx(0.16)
    low = dataclasses.replace(URGENT, priority=2, objective_s=0.3)
    levels = UrgencyLevels('llm', (low, SLOW), ())
    assert levels.limit_s(2) is None
    assert levels.equal_limit_s(2, 1.5) == pytest.approx(0.12)
    assert levels.equal_limit_s(2, 0.3) is None


def test_there_is_contention_only_without_room():
    """Guards against waits while endpoints have room, and long after."""
    policy = AdmissionPolicy()
    update(policy, IDLE, 0.0)
    assert not policy.is_contended(0.0)
    full = dataclasses.replace(IDLE, peer_cost=8 * COST)
    update(policy, full, 1.0)
    assert policy.is_contended(1.5)
    update(policy, IDLE, 1.6)
    assert not policy.is_contended(2.1)
    update(policy, dataclasses.replace(IDLE, running=60), 3.0)
    assert policy.is_contended(3.0)


def test_service_without_usable_endpoints_is_not_contended():
    """Guards against waits for endpoints that are all ejected."""
    policy = AdmissionPolicy()
    update(policy, ServiceLoad(), 0.0)
    assert not policy.is_contended(0.0)
    assert policy.admits(COST)


def test_router_bounds_its_unfinished_work_by_its_part():
    """Guards against many routers that all fill the room that one sees."""
    policy = AdmissionPolicy()
    full = dataclasses.replace(IDLE, peer_cost=8 * COST)
    update(policy, full, 0.0, routers=20)
    assert policy.admits(COST)
    sent = dataclasses.replace(full, own_cost=COST)
    policy.record_sent(COST)
    for step in range(1, 20):
        update(policy, sent, 0.02 * step, routers=20)
        assert not policy.admits(COST)


def test_less_urgent_prompts_get_a_part_of_the_speed_in_any_case():
    """Guards against starvation by urgent work, or by false reports."""
    policy = AdmissionPolicy()
    busy = dataclasses.replace(IDLE, running=64, peer_cost=1e9)
    sent = 0
    for step in range(2000):
        update(policy, busy, 0.01 * step, routers=2)
        if policy.admits(COST):
            policy.record_sent(COST)
            sent += 1
    assert sent * COST / 20.0 >= 0.9 * 0.25 * 4 * SPEED / 2


def test_retry_times_follow_the_backlog_and_differ():
    """Guards against callers that return together, or before there is room."""
    policy = AdmissionPolicy()
    update(policy, IDLE, 0.0)
    times = [policy.retry_s(8 * COST, 30.0, i / 10) for i in range(10)]
    assert min(times) >= policy.wait_s(8 * COST)
    assert max(times) - min(times) >= 0.4
    # Callers honour a third of the time that they have left.
    assert policy.retry_s(1e9, 3.0, 0.99) <= 1.0


def test_routers_agree_on_reserved_endpoints():
    """Guards against endpoints that only some routers keep free."""
    names = [(f'e{i}', i == 3) for i in range(12)]
    places = rank_endpoints(names)
    assert places == rank_endpoints(reversed(names))
    assert places['e3'] == 11
    fewer = rank_endpoints([n for n in names if n[0] != 'e0'])
    order = [n for n in sorted(places, key=places.get) if n != 'e0']
    assert order == sorted(fewer, key=fewer.get)
    assert reserved_count(3, 1.0) == 0
    assert reserved_count(4, 0.0) == 1


def test_urgent_part_counts_work_and_slots():
    """Guards against short prompts that are little work but find no slot."""
    mix = WorkMix()
    for _ in range(50):
        mix.record(0, 800, 1.0)
        mix.record(2, 12_000, 1.0)
    assert mix.urgent_share(2, 0.0) < 0.1
    assert mix.urgent_share(2, 0.8) == pytest.approx(0.4)
    assert mix.last_priority() == 2
