import itertools
import random

import pytest

from basilpond.routing import Evacuations
from basilpond.routing.capacity._evacuations import MAX_EVACUATIONS


class Store:
    """Newest records of data centres, in an era that restores raise."""

    def __init__(self):
        self.era = 1
        self.log = []

    def put(self, data_centre, active):
        self.log.append((data_centre, active))

    def listed(self):
        newest = {
            data_centre: (active, offset)
            for offset, (data_centre, active) in enumerate(self.log)
        }
        return {name: item for name, item in newest.items() if item[0]}

    def restore(self, end):
        del self.log[end:]
        self.era += 1


class Router:
    def __init__(self):
        self.state = Evacuations()
        self.position = None

    def read_newest(self, store):
        self.state.apply_newest(
            store.listed(), era=store.era, end=len(store.log), snapshot=True
        )
        self.position = store.era, len(store.log)

    def read(self, store):
        era, offset = self.position or (0, 0)
        if era != store.era:
            self.read_newest(store)
            return
        for data_centre, active in store.log[offset:]:
            self.state.apply(
                data_centre, active=active, era=era, offset=offset
            )
            offset += 1
        self.state.record_end(era, offset)
        self.position = era, offset

    def tell(self, other):
        other.state.apply_report(self.state.reports())

    def evacuated(self):
        return {record.data_centre for record in self.state if record.active}


def exchange(routers):
    # Twice, as a router may pass on what it learns in the first round.
    for _ in range(2):
        for sender, receiver in itertools.permutations(routers, 2):
            sender.tell(receiver)


def test_newest_records_lack_what_was_removed():
    """Guards against an evacuation left over after a trimmed log."""
    store, router = Store(), Router()
    store.put('a', True)
    store.put('b', True)
    router.read_newest(store)
    store.put('a', False)
    store.put('c', True)
    router.read_newest(store)
    assert router.evacuated() == {'b', 'c'}


def test_pages_of_different_times_do_not_hide_later_records():
    """Guards against a record that counts as passed before it is read."""
    state = Evacuations()
    state.apply('a', active=True, era=1, offset=7)
    # Known from another router; the page without it is older than the end.
    assert not state.apply_newest({}, era=1, end=9, snapshot=False)
    assert state.is_evacuated('a')
    assert state.apply('a', active=False, era=1, offset=8)
    assert not state.is_evacuated('a')


def test_router_that_is_cut_off_follows_the_others():
    """Guards against evacuations that a router without the store misses."""
    store, router, cut_off = Store(), Router(), Router()
    cut_off.read_newest(store)
    store.put('a', True)
    router.read(store)
    router.tell(cut_off)
    assert cut_off.evacuated() == {'a'}
    store.put('a', False)
    router.read(store)
    router.tell(cut_off)
    assert cut_off.evacuated() == set()


def test_report_of_the_past_changes_nothing():
    """Guards against an ended evacuation that a late router brings back."""
    store, late, started = Store(), Router(), Router()
    store.put('a', True)
    late.read_newest(store)
    store.put('a', False)
    # It has never heard of the evacuation.
    started.read_newest(store)
    late.tell(started)
    assert started.evacuated() == set()
    assert started.state.differs_from(late.state.reports())
    started.tell(late)
    assert late.evacuated() == set()


def test_router_without_the_store_ends_nothing():
    """Guards against a starting router that ends what it has not read."""
    store, router, started = Store(), Router(), Router()
    store.put('a', True)
    router.read_newest(store)
    started.tell(router)
    assert router.evacuated() == {'a'}
    router.tell(started)
    assert started.evacuated() == {'a'}


def test_restored_store_that_lost_the_record_ends_nothing():
    """Guards against requests to a data centre whose key was acknowledged."""
    store, router, started = Store(), Router(), Router()
    store.put('b', False)
    store.put('a', True)
    router.read_newest(store)
    store.restore(1)
    router.read(store)
    started.read_newest(store)
    exchange([router, started])
    assert router.evacuated() == started.evacuated() == {'a'}
    # Operators end it as any other.
    store.put('a', True)
    store.put('a', False)
    router.read(store)
    exchange([router, started])
    assert router.evacuated() == started.evacuated() == set()


def test_removal_in_the_next_era_ends_an_evacuation():
    """Guards against an evacuation left over in a new era of the log."""
    store, router = Store(), Router()
    store.put('a', True)
    router.read_newest(store)
    store.restore(1)
    store.put('a', False)
    router.read(store)
    assert router.evacuated() == set()


def test_unreadable_record_changes_nothing():
    """Guards against a starting router that ends what others know."""
    store, router, started = Store(), Router(), Router()
    store.put('a', True)
    router.read_newest(store)
    router.state.apply_newest({'a': (None, 1)}, era=1, end=2, snapshot=True)
    started.state.apply_newest({'a': (None, 1)}, era=1, end=2, snapshot=True)
    exchange([router, started])
    assert router.evacuated() == started.evacuated() == {'a'}


def test_keys_of_other_writers_are_bounded():
    """Guards against memory and datagrams that grow with the keys."""
    state = Evacuations()
    for offset in range(2 * MAX_EVACUATIONS):
        state.apply(f'z{offset}', active=True, era=1, offset=offset)
    assert len(state.reports().records) == MAX_EVACUATIONS
    # What was left out must not count as removed elsewhere.
    assert state.reports().end == 0


@pytest.mark.parametrize('routers', [3, 17, 82, 300])
def test_routers_agree_with_the_store(routers):
    """Replays operators, late routers and reports in any order."""
    rng = random.Random(routers)
    store = Store()
    fleet = [Router() for _ in range(routers)]
    for _ in range(400):
        action = rng.random()
        if action < 0.2:
            store.put(rng.choice('abc'), rng.random() < 0.6)
        elif action < 0.4:
            rng.choice(fleet).read(store)
        elif action < 0.45:
            rng.choice(fleet).read_newest(store)
        elif action < 0.5:
            fleet[rng.randrange(routers)] = Router()
        else:
            sender, receiver = rng.sample(fleet, 2)
            sender.tell(receiver)
    fleet[0].read(store)
    for router in fleet[1:]:
        fleet[0].tell(router)
    expected = {name for name in store.listed()}
    assert all(router.evacuated() == expected for router in fleet)
