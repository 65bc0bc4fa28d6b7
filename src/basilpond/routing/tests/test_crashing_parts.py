"""Replays crashes of endpoints at fleets of different sizes."""

import random

import pytest

from basilpond.routing import CrashEvidence
from basilpond.routing import CrashingParts
from basilpond.routing import part_key
from basilpond.routing._crashing_parts import FIRST_QUARANTINE_S
from basilpond.routing._crashing_parts import MIN_CRASHES

SYSTEM, DOCUMENT, BAD = 1, 2, 3
# From a crash until all routers know of it: one hop takes 5 ms and a datagram.
SPREAD_S = 0.03
PREFILL_S = 0.2


class Fleet:
    """Routers that exchange what they learn, with a delay."""

    def __init__(self, count, seed=1):
        self.rng = random.Random(seed)
        self.routers = [
            CrashingParts(random.Random(f'{seed} {i}')) for i in range(count)
        ]
        self.pending = []
        self.crashes = 0
        self.incarnation = 0

    def crash(self, requests, now_s):
        """Crash an endpoint with requests of (router, keys, sent_s)."""
        self.incarnation += 1
        for router, keys, sent_s in requests:
            self.routers[router].add(
                CrashEvidence(self.incarnation, keys, sent_s, now_s), now_s
            )
        self.spread(now_s)

    def begin(self, router, keys, now_s):
        """Begin a response."""
        self.routers[router].record_begun(keys, now_s)
        self.spread(now_s)

    def spread(self, now_s):
        """Send the news of all routers."""
        for router in self.routers:
            if router.has_news:
                self.pending.append((now_s + SPREAD_S, router.pop_news()))

    def advance(self, now_s):
        """Deliver what has arrived."""
        while self.pending and self.pending[0][0] <= now_s:
            _, (evidence, cleared) = self.pending.pop(0)
            for router in self.routers:
                for item in evidence:
                    router.add(item, now_s)
                for key, begun_s in cleared:
                    router.clear(key, begun_s)
                router.pop_news()

    def refuses(self, router, keys, now_s):
        """Whether a router refuses a request."""
        found = self.routers[router].find_quarantine(
            keys, routers=len(self.routers), now_s=now_s
        )
        return found is not None

    def any_router(self):
        """Return a random router."""
        return self.rng.randrange(len(self.routers))


def play(fleet, *, bad_per_s, sound_per_s, for_s):
    """Play requests with a crashing part beside sound ones.

    Returns the times at which a request with the part was sent, and the
    numbers of sound requests and of those refused.
    """
    flying = []
    sent_s = []
    sound = refused = 0
    now_s = 0.0
    while now_s < for_s:
        now_s += 0.01
        fleet.advance(now_s)
        for ends_s, router, keys, started_s in list(flying):
            if ends_s > now_s:
                continue
            flying.remove((ends_s, router, keys, started_s))
            if BAD in keys:
                fleet.crash([(router, keys, started_s)], now_s)
            else:
                fleet.begin(router, keys, now_s)
        router = fleet.any_router()
        if fleet.rng.random() < 0.01 * bad_per_s:
            keys = SYSTEM, DOCUMENT, BAD
            if not fleet.refuses(router, keys, now_s):
                fleet.routers[router].record_sent(keys, now_s)
                sent_s.append(now_s)
                flying.append((now_s + PREFILL_S, router, keys, now_s))
        router = fleet.any_router()
        if fleet.rng.random() < 0.01 * sound_per_s:
            sound += 1
            keys = SYSTEM, fleet.rng.choice((DOCUMENT, 4, 5, 6))
            if fleet.refuses(router, keys, now_s):
                refused += 1
                continue
            fleet.routers[router].record_sent(keys, now_s)
            flying.append((now_s + PREFILL_S, router, keys, now_s))
    return sent_s, sound, refused


@pytest.mark.parametrize('routers', [9, 30, 85, 195])
@pytest.mark.parametrize('bad_per_s', [0.5, 5.0, 30.0])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_few_requests_with_a_crashing_part_are_sent(routers, bad_per_s, seed):
    """Guards against a number of crashes that grows with the routers.

    One part ended 10 endpoints of trinacria-hq in 18 s, and 19 of
    odalaigh-mats.
    """
    fleet = Fleet(routers, seed)
    sent_s, sound, refused = play(
        fleet, bad_per_s=bad_per_s, sound_per_s=20.0, for_s=40.0
    )
    assert len(sent_s) >= MIN_CRASHES
    # Those on their way when the first two crashes become known.
    unavoidable = 2 + 2 * bad_per_s * (PREFILL_S + SPREAD_S)
    assert len(sent_s) <= 4 + 2 * unavoidable
    if len(sent_s) > 5:
        fifth_s = sent_s[4] + PREFILL_S
        assert sum(at_s > fifth_s + 3.0 for at_s in sent_s) <= 3
    assert refused <= 0.02 * sound


def test_sound_part_that_only_the_requests_of_crashes_share_is_served():
    """Guards against refusing a document because of a part that follows it."""
    fleet = Fleet(3)
    for sent_s in (1.0, 2.0):
        fleet.crash([(0, (SYSTEM, DOCUMENT, BAD), sent_s)], sent_s + 0.2)
        fleet.advance(sent_s + 0.5)
    for router in range(3):
        assert fleet.refuses(router, (SYSTEM, DOCUMENT, BAD), 3.0)
        assert not fleet.refuses(router, (SYSTEM, DOCUMENT), 3.0)
        assert not fleet.refuses(router, (SYSTEM, 8), 3.0)
    # A response to the other parts leaves only one that explains the crashes.
    fleet.begin(0, (SYSTEM, DOCUMENT), 3.0)
    fleet.advance(3.1)
    assert all(fleet.refuses(i, (7, BAD), 3.1) for i in range(3))


def test_part_that_crashes_alone_is_refused_after_it_was_explained():
    """Guards against a crashing part that others always explain."""
    fleet = Fleet(2)
    for sent_s in (1.0, 2.0):
        fleet.crash([(0, (SYSTEM, BAD, 9), sent_s)], sent_s + 0.2)
        fleet.advance(sent_s + 0.5)
    fleet.crash([(1, (SYSTEM, BAD), 3.0)], 3.2)
    fleet.advance(3.5)
    assert fleet.refuses(0, (SYSTEM, BAD), 3.6)


def test_endpoints_that_end_together_make_no_part_suspect():
    """Guards against refusing prompts after a loss of power."""
    fleet = Fleet(9)
    parts = SYSTEM, DOCUMENT
    for _ in range(6):
        fleet.crash([(fleet.any_router(), parts, 1.0)], 1.2)
    fleet.advance(2.0)
    assert not any(fleet.refuses(i, parts, 2.0) for i in range(9))


def test_part_in_use_needs_more_evidence_and_a_response_clears_it():
    """Guards against refusing a part for crashes that have other causes."""
    fleet = Fleet(2)
    parts = (SYSTEM,)
    fleet.begin(0, parts, 0.5)
    for sent_s in (1.0, 2.0):
        fleet.crash([(0, parts, sent_s)], sent_s + 0.2)
        fleet.advance(sent_s + 0.5)
    assert not fleet.refuses(0, parts, 3.0)
    assert not fleet.refuses(1, parts, 3.0)
    fleet.crash([(0, parts, 3.0)], 3.2)
    fleet.advance(3.5)
    assert fleet.refuses(1, parts, 3.6)
    fleet.begin(0, parts, 3.7)
    fleet.advance(4.0)
    assert not fleet.refuses(1, parts, 4.0)
    assert [len(router) for router in fleet.routers] == [0, 0]


def test_quarantine_ends_with_one_trial_and_grows():
    """Guards against a part that is refused for good, or tried by many."""
    parts = CrashingParts(random.Random(1))
    key = part_key(7, BAD)

    def refused(now_s):
        return parts.find_quarantine((key,), routers=1, now_s=now_s)

    now_s = 0.0
    durations = []
    for incarnation in range(6):
        parts.record_sent((key,), now_s)
        parts.add(CrashEvidence(incarnation, (key,), now_s, now_s), now_s)
        crashed_s = now_s
        while refused(now_s + 0.01):
            now_s += 0.5
        now_s += 0.5
        durations.append(now_s - crashed_s)
    assert durations[1] == pytest.approx(FIRST_QUARANTINE_S, abs=1.0)
    assert durations[3] > 8 * durations[1]
    assert durations[5] < 700.0
    parts.record_sent((key,), now_s)
    assert refused(now_s + 0.1)


def test_memory_is_bounded():
    """Guards against callers that fill the memory with new parts."""
    parts = CrashingParts(random.Random(1))
    for i in range(6000):
        evidence = CrashEvidence(i, (2 * i, 2 * i + 1), i / 100, i / 100)
        parts.add(evidence, i / 100)
        parts.pop_news()
        parts.record_begun((10**6 + i,), i / 100)
    assert len(parts) <= 2048
    assert sum(1 for _ in parts.evidence(60.0)) <= 1024
    # All of it expires.
    assert list(parts.evidence(1000.0)) == []
    assert len(parts) == 0


def test_router_with_old_evidence_is_told_that_a_part_is_sound():
    """Guards against a router that returns from a cut and refuses a part."""
    fleet = Fleet(2)
    parts = (SYSTEM,)
    isolated = fleet.routers[1]
    for incarnation, sent_s in ((8, 1.0), (9, 2.0)):
        item = CrashEvidence(incarnation, parts, sent_s, sent_s + 0.2)
        isolated.add(item, sent_s + 0.2)
    isolated.pop_news()
    fleet.begin(0, parts, 5.0)
    assert fleet.refuses(1, parts, 10.0)
    for item in list(isolated.evidence(10.0)):
        fleet.routers[0].add(item, 10.0)
    fleet.spread(10.0)
    fleet.advance(10.1)
    assert not fleet.refuses(1, parts, 10.1)
