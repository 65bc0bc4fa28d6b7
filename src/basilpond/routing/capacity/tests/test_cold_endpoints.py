"""Replays idle endpoints that return at fleets of different sizes."""

import heapq
import random

import pytest

from basilpond.routing import ColdEndpoints
from basilpond.routing import ColdLimit
from basilpond.routing import RouterView

SERVICE = 's'
ENDPOINT = 7
LIMIT = ColdLimit(start_s=3.0, per_s=8.2)
OVER = 1.5
SLACK = 5.0
STEP_S = 0.01
# Routers hear of each other in this interval, and no longer count as live
# after this silence.
REPORT_S = 0.8
SILENCE_S = 5.0
UPDATE_S = 0.5
# Longest time of a connect.
CONNECT_S = 0.4
SIZES = [3, 17, 82, 300]


def bound(per_s=LIMIT.per_s):
    return OVER * per_s + SLACK


def most_in_a_second(times):
    """Return the largest number of sends in a sliding second."""
    times = sorted(times)
    most = first = 0
    for last, at_s in enumerate(times):
        while at_s - times[first] >= 1.0:
            first += 1
        most = max(most, last + 1 - first)
    return most


class Router:
    def __init__(self, fleet, number, started_s):
        self.fleet = fleet
        self.name = f'r-{number}'
        self.number = number
        self.view = RouterView(self.name)
        self.cold = ColdEndpoints(self.name, over=OVER, slack=SLACK)
        self.cold.set_limits({SERVICE: fleet.limit})
        self.update_s = started_s + fleet.rng.random() * UPDATE_S
        self.started_s = started_s
        self.heard_s = {}
        self.paused_until_s = float('-inf')

    def update(self, now_s):
        live = [
            name
            for name, heard_s in self.heard_s.items()
            if now_s - heard_s < SILENCE_S
        ]
        routers = self.view.update(live, self.fleet.registered, now_s)
        self.cold.set_routers(routers, now_s)
        self.update_s = now_s + UPDATE_S


class Fleet:
    """Routers that all have requests for one idle endpoint."""

    def __init__(self, count, *, limit=LIMIT, started_s=-10.0):
        self.rng = random.Random(count)
        self.limit = limit
        self.now_s = started_s
        self.registered = []
        self.routers = []
        # Part of the network in which a router is.
        self.part = {}
        self.sent_s = []
        self.returned = False
        self._connecting = []
        self._report_s = started_s
        for _ in range(count):
            self.start_router()

    def start_router(self):
        router = Router(self, len(self.routers), self.now_s)
        self.routers.append(router)
        self.registered.append(router.name)
        self.part[router.name] = 0
        if self.returned:
            self.list_endpoint(router)
        return router

    def list_endpoint(self, router, **changes):
        fields = {
            'cold_s': 3600.0,
            'sequence': 1,
            'now_s': self.now_s,
            'is_first_read': False,
            **changes,
        }
        router.cold.record_entry(ENDPOINT, SERVICE, **fields)

    def return_endpoint(self):
        self.returned = True
        for router in self.routers:
            self.list_endpoint(router)

    def play(self, until_s, requests_per_s=400):
        due = 0.0
        while self.now_s < until_s:
            self.now_s += STEP_S
            if self.now_s >= self._report_s:
                self._report_s = self.now_s + REPORT_S
                self._report()
            for router in self.routers:
                if router.update_s <= self.now_s >= router.paused_until_s:
                    router.update(self.now_s)
            while self._connecting and self._connecting[0][0] <= self.now_s:
                _, number = heapq.heappop(self._connecting)
                self._send(self.routers[number])
            due += requests_per_s * STEP_S
            while due >= 1:
                due -= 1
                self._request(self.rng.choice(self.routers))

    def _report(self):
        awake = [r for r in self.routers if self.now_s >= r.paused_until_s]
        for receiver in awake:
            part = self.part[receiver.name]
            for sender in awake:
                if sender is not receiver and self.part[sender.name] == part:
                    receiver.heard_s[sender.name] = self.now_s

    def _request(self, router):
        if self.now_s < router.paused_until_s or not self.returned:
            return
        if router.cold.wait_s(ENDPOINT, self.now_s):
            return
        router.cold.record_sent(ENDPOINT, self.now_s)
        delay_s = self.rng.choice([0.0, CONNECT_S * self.rng.random()])
        heapq.heappush(self._connecting, (self.now_s + delay_s, router.number))

    def _send(self, router):
        if router.cold.confirm_sent(ENDPOINT, self.now_s):
            self.sent_s.append(self.now_s)


@pytest.mark.parametrize('routers', SIZES)
def test_all_routers_together_stay_under_the_bound(routers):
    """Guards against an idle endpoint that all routers choose at once."""
    fleet = Fleet(routers)
    fleet.play(0.0)
    fleet.return_endpoint()
    fleet.play(6.0, 20 * routers)
    assert most_in_a_second(fleet.sent_s) <= LIMIT.per_s
    # The permitted rate is used, also with connects before half of the sends.
    assert len(fleet.sent_s) >= 0.7 * LIMIT.per_s * 6.0


@pytest.mark.parametrize('per_s', [0.4, 1.0, 3.7, 40.0])
def test_any_limit_is_kept_and_used(per_s):
    """Guards against a limit below the number of routers, or above."""
    fleet = Fleet(30, limit=ColdLimit(3.0, per_s))
    fleet.play(0.0)
    fleet.return_endpoint()
    fleet.play(10.0)
    used = min(per_s, bound(per_s) / 2)
    assert most_in_a_second(fleet.sent_s) <= max(1.0, used)
    assert len(fleet.sent_s) >= 0.7 * used * 10.0 - 1


@pytest.mark.parametrize('routers', SIZES)
def test_two_parts_of_the_fleet_stay_under_the_bound(routers):
    """Guards against parts that each use the whole bound."""
    fleet = Fleet(routers)
    fleet.play(0.0)
    fleet.return_endpoint()
    for number, name in enumerate(fleet.registered):
        fleet.part[name] = number % 2
    fleet.play(12.0)
    for name in fleet.registered:
        fleet.part[name] = 0
    fleet.play(16.0)
    assert most_in_a_second(fleet.sent_s) <= bound()
    healed = [at_s for at_s in fleet.sent_s if at_s >= 14.0]
    assert most_in_a_second(healed) <= LIMIT.per_s


@pytest.mark.parametrize('routers', SIZES)
def test_routers_that_start_stay_under_the_bound(routers):
    """Guards against starting routers that know of no others."""
    fleet = Fleet(routers)
    fleet.play(0.0)
    fleet.return_endpoint()
    while fleet.now_s < 8.0:
        fleet.start_router()
        fleet.play(fleet.now_s + 0.15, 10 * routers)
    assert most_in_a_second(fleet.sent_s) <= LIMIT.per_s


def test_all_routers_start_beside_a_cold_endpoint():
    """Guards against the first start of a whole deployment."""
    fleet = Fleet(1, started_s=0.0)
    fleet.return_endpoint()
    for _ in range(81):
        fleet.play(fleet.now_s + 0.02, 2000)
        fleet.start_router()
    fleet.play(12.0, 2000)
    assert most_in_a_second(fleet.sent_s) <= LIMIT.per_s
    assert fleet.sent_s


def test_routers_that_stood_still_stay_under_the_bound():
    """Guards against routers that resume and count all others as silent."""
    fleet = Fleet(30)
    fleet.play(0.0)
    fleet.return_endpoint()
    for router in fleet.routers[:15]:
        router.paused_until_s = 9.0
        # What waited at its sockets comes first.
        router.update_s = 9.2
    fleet.play(14.0, 1000)
    assert most_in_a_second(fleet.sent_s) <= LIMIT.per_s
    # The others used what these could not.
    assert sum(7.0 <= at_s < 9.0 for at_s in fleet.sent_s) >= 10


def test_starting_router_counts_all_that_are_registered():
    """Guards against a start on a link that brings no reports yet."""
    view = RouterView('r')
    assert view.update(['r'], None, 0.0) is None
    assert view.update(['r'], ['a', 'b'], 1.0) is None
    assert view.update(['r'], ['a', 'b'], 2.9) is None
    assert view.update(['r', 'a'], ['a', 'b'], 4.0) == ['a', 'b', 'r']
    assert view.update(['r', 'a'], ['a', 'b'], 6.5) == ['a', 'b', 'r']
    assert view.update(['r', 'a'], ['a', 'b'], 7.0) == ['a', 'r']


def test_slots_of_a_silent_router_are_used_after_a_second():
    """Guards against two routers that use the same slot in one second."""
    cold = ColdEndpoints('r')
    cold.set_limits({SERVICE: LIMIT})
    cold.set_routers(['a', 'r'], 0.0)
    cold.record_entry(ENDPOINT, SERVICE, cold_s=9.0, sequence=1, now_s=0.0)
    assert cold.slots(ENDPOINT, 1.0) == 4
    cold.set_routers(['r'], 2.0)
    assert cold.slots(ENDPOINT, 2.9) == 4
    assert cold.slots(ENDPOINT, 3.1) == 8
    # What is lost is lost at once.
    cold.set_routers(['a', 'r'], 3.2)
    assert cold.slots(ENDPOINT, 3.2) == 4


def warm_router():
    cold = ColdEndpoints('r')
    cold.set_limits({SERVICE: LIMIT})
    cold.set_routers(['r'], 0.0)
    cold.set_routers(['r'], 2.0)
    cold.record_entry(ENDPOINT, SERVICE, cold_s=0.0, sequence=1, now_s=2.0)
    return cold


def play_entries(cold, start_s, *, sequence, count, **changes):
    """Read an entry every 1.2 s; return when the endpoint is not cold."""
    for i in range(count):
        now_s = start_s + 1.2 * i
        cold.set_routers(['r'], now_s)
        cold.record_entry(
            ENDPOINT,
            SERVICE,
            **{
                'cold_s': 0.0,
                'sequence': sequence + i,
                'now_s': now_s,
                **changes,
            },
        )
        if not cold.is_cold(ENDPOINT, now_s):
            return now_s
    return None


def test_sends_before_the_change_count():
    """Guards against a full second of sends on both sides of the change."""
    cold = warm_router()
    assert not cold.wait_s(ENDPOINT, 2.0)
    for _ in range(20):
        cold.record_sent(ENDPOINT, 2.1)
    cold.record_entry(ENDPOINT, SERVICE, cold_s=3.0, sequence=2, now_s=2.2)
    assert cold.wait_s(ENDPOINT, 2.2) >= 0.9


def test_request_that_connects_while_the_endpoint_becomes_cold_is_stopped():
    """Guards against requests that were chosen before the change."""
    cold = warm_router()
    for _ in range(20):
        cold.record_sent(ENDPOINT, 2.1)
    cold.record_entry(ENDPOINT, SERVICE, cold_s=3.0, sequence=2, now_s=2.2)
    sent = [cold.confirm_sent(ENDPOINT, 2.2 + 0.01 * i) for i in range(20)]
    assert 1 <= sum(sent) <= LIMIT.per_s


def test_failed_endpoint_is_cold_until_a_newer_entry_says_otherwise():
    """Guards against an entry from before the return of an endpoint."""
    cold = warm_router()
    cold.record_suspect(ENDPOINT, 3.0)
    # Written before, or read again with the newest records.
    cold.record_entry(ENDPOINT, SERVICE, cold_s=0.0, sequence=2, now_s=3.2)
    for now_s in (5.0, 7.0, 8.0):
        cold.set_routers(['r'], now_s)
    cold.record_entry(ENDPOINT, SERVICE, cold_s=0.0, sequence=2, now_s=8.0)
    assert cold.is_cold(ENDPOINT, 8.0)
    assert (
        play_entries(cold, 8.1, sequence=3, count=1, is_delayed=True) is None
    )
    assert play_entries(cold, 8.2, sequence=4, count=1) == 8.2
    assert not cold.wait_s(ENDPOINT, 8.2)


def test_endpoint_that_is_out_of_use_stays_suspect():
    """Guards against entries of before the end of an evacuation."""
    cold = warm_router()
    assert (
        play_entries(cold, 3.0, sequence=2, count=9, is_out_of_use=True)
        is None
    )
    assert play_entries(cold, 13.8, sequence=11, count=9) == 16.2


def test_lapsed_endpoint_returns_cold():
    """Guards against an entry that comes back as if nothing had been."""
    cold = warm_router()
    cold.record_gone(ENDPOINT)
    assert play_entries(cold, 3.0, sequence=2, count=9) == 6.6


def test_endpoint_that_appears_later_counts_as_cold():
    """Guards against a start whose first entry names no time."""
    cold = ColdEndpoints('r')
    cold.set_limits({SERVICE: LIMIT})
    cold.set_routers(['r'], 0.0)
    cold.record_entry(
        ENDPOINT,
        SERVICE,
        cold_s=0.0,
        sequence=1,
        now_s=1.0,
        is_first_read=False,
    )
    assert cold.is_cold(ENDPOINT, 1.0)


def test_report_of_another_router_is_not_passed_on():
    """Guards against two routers that keep an endpoint cold for good."""
    cold = warm_router()
    cold.record_told(ENDPOINT, 2.0, 3.0, is_first_hand=False)
    assert cold.is_cold(ENDPOINT, 3.0)
    assert not list(cold.reports(3.0))
    cold.set_routers(['r'], 4.9)
    assert not cold.is_cold(ENDPOINT, 5.0)
    cold.record_told(ENDPOINT, 1.0, 5.0)
    assert list(cold.reports(5.5)) == [(ENDPOINT, 0.5)]


@pytest.mark.parametrize('limit', [(0.0, 8.2), (3.0, 0.0), None])
def test_service_without_a_limit_is_not_limited(limit):
    """Guards against deployments that are served otherwise than before."""
    cold = ColdEndpoints('r')
    cold.set_limits({SERVICE: ColdLimit(*limit)} if limit else {})
    assert cold.is_empty
    cold.record_entry(ENDPOINT, SERVICE, cold_s=9.0, sequence=1, now_s=0.0)
    cold.record_suspect(ENDPOINT, 0.0)
    assert cold.wait_s(ENDPOINT, 0.0) == 0.0
    assert cold.confirm_sent(ENDPOINT, 0.0)
    assert cold.sends_until(ENDPOINT, 9.0, 0.0) is None


def cold_alone(incarnation=ENDPOINT, now_s=10.0):
    """Return the state of a lone router that knows one cold endpoint."""
    cold = ColdEndpoints('r-1', over=OVER, slack=SLACK)
    cold.set_limits({SERVICE: LIMIT})
    cold.set_routers(['r-1'], now_s)
    cold.set_routers(['r-1'], now_s + 0.5)
    cold.record_entry(
        incarnation, SERVICE, cold_s=30.0, sequence=1, now_s=now_s
    )
    return cold


def test_slots_that_become_free_in_time_count_as_capacity():
    """Guards against refusals of requests that a slot admits in time."""
    cold = cold_alone()
    cold.set_routers(['r-1'], 12.5)
    cold.set_routers(['r-1'], 14.0)
    slots = cold.slots(ENDPOINT, 14.0)
    for _ in range(slots):
        cold.record_sent(ENDPOINT, 14.0)
        cold.confirm_sent(ENDPOINT, 14.0)
    wait_s = cold.wait_s(ENDPOINT, 14.9)
    assert 0 < wait_s < 0.5
    assert cold.sends_until(ENDPOINT, 14.9 + wait_s / 2, 14.9) == 0
    assert cold.sends_until(ENDPOINT, 14.9 + 0.5, 14.9) == slots


def test_new_endpoint_is_limited_beside_many_that_are_gone():
    """Guards against a crash loop that leaves no room for the limit."""
    cold = cold_alone()
    for number in range(1_100):
        cold.record_entry(
            100 + number, SERVICE, cold_s=0.0, sequence=1, now_s=11.0
        )
        cold.record_gone(100 + number)
    cold.record_entry(9_999, SERVICE, cold_s=3.0, sequence=1, now_s=11.0)
    assert cold.is_cold(9_999, 11.1)


def test_suspected_endpoint_is_limited_for_as_long_as_a_start_takes():
    """Guards against endpoints that stay limited without a newer entry.

    The store lists an entry again only if more than its number changes, so
    sound endpoints were limited for ever.
    """
    cold = cold_alone()
    cold.record_entry(
        ENDPOINT,
        SERVICE,
        cold_s=0.0,
        sequence=2,
        now_s=41.0,
        is_out_of_use=True,
    )
    for now_s in range(42, 800):
        cold.set_routers(['r-1'], float(now_s))
    assert cold.is_cold(ENDPOINT, 41.0 + LIMIT.start_s)
    assert not cold.is_cold(ENDPOINT, 800.0)
