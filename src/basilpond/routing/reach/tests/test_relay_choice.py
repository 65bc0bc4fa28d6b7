from collections import Counter
import random

from basilpond.routing.reach import RelayChoice
from basilpond.routing.reach import RelayRouter


def router(name, data_centre='dc-1', is_full=False):
    return RelayRouter(name, ('10.0.0.1', 7000), data_centre, is_full)


def counts(choice, routers, draws=2000, **kwargs):
    rng = random.Random(1)
    chosen = (
        choice.choose(routers, 'dc-1', 0.0, rng, **kwargs)
        for _ in range(draws)
    )
    return Counter(r.router_id for r in chosen)


def test_router_of_the_own_data_centre_does_not_get_all():
    routers = [router('a'), *(router(f'b{i}', 'dc-2') for i in range(7))]
    shares = counts(RelayChoice(), routers)
    assert shares['a'] < 2000 / 2
    assert len(shares) == 8


def test_full_routers_are_avoided():
    routers = [router('a', is_full=True), router('b', 'dc-2')]
    assert set(counts(RelayChoice(), routers)) == {'b'}


def test_router_that_failed_is_avoided_for_a_while():
    choice = RelayChoice()
    routers = [router('a'), router('b')]
    choice.record_failed('a', 0.0)
    assert set(counts(choice, routers)) == {'b'}
    rng = random.Random(1)
    later = {
        choice.choose(routers, 'dc-1', 1.5, rng).router_id for _ in range(50)
    }
    assert later == {'a', 'b'}


def test_excluded_routers_are_not_tried_again():
    routers = [router('a'), router('b')]
    assert set(counts(RelayChoice(), routers, excluded={'b'})) == {'a'}
    rng = random.Random(1)
    assert (
        RelayChoice().choose(routers, 'dc-1', 0.0, rng, excluded={'a', 'b'})
        is None
    )
