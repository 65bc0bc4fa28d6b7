import heapq
import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from basilpond import protocol
from basilpond.core import _membership

UDP_HEADER_BYTES = 28


def make_update(router, started_ms=1, port=None):
    number = int(router[1:])
    return protocol.MemberUpdate(
        incarnation_id=f'{router}~{started_ms}',
        data_centre=f'dc-{number % 3}',
        host='10.0.0.1',
        port=port or 10_000 + number,
        version=0,
        state=0,
        manifest_version=0,
        ready=True,
        operator_port=9000,
    )


class Network:
    """Simulated network of members, with loss, delay, cuts and pauses."""

    def __init__(self, count, *, seed=1, loss=0.0, seeds=2):
        self.now_s = 0.0
        self.loss = loss
        self.rng = random.Random(seed)
        self.members = {}
        self.paused = set()
        self.cuts = set()
        self.sent_bytes = {}
        self.deaths = []
        self._sequence = itertools.count()
        self._events = []
        self._states = {}
        self._seeds = [('10.0.0.1', 10_000 + n) for n in range(seeds)]
        for number in range(count):
            self.start(make_update(f'r{number}'))

    def start(self, local_member):
        member = _membership.Membership(
            local_member,
            self._seeds,
            random.Random(self.rng.random()),
            self.now_s,
        )
        self.members[local_member.port] = member
        self.sent_bytes[local_member.port] = 0
        self._tick(local_member.port, member)
        return member

    def stop(self, port):
        del self.members[port]

    def cut(self, left, right):
        self.cuts.update(itertools.product(left, right))

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def run_until(self, condition, limit_s):
        """Run until a condition holds; return the simulated seconds."""
        started_s = self.now_s
        while not condition():
            self.run(0.1)
            assert self.now_s - started_s < limit_s, (
                'condition not met in time'
            )
        return self.now_s - started_s

    def resume(self, port):
        self.paused.discard(port)
        self._tick(port, self.members[port])

    def send(self, port, messages):
        for message in messages:
            data = protocol.encode_gossip(message.gossip)
            self.sent_bytes[port] += len(data) + UDP_HEADER_BYTES
            lost = self.rng.random() < self.loss
            if lost or (port, message.port) in self.cuts:
                continue
            delay_s = self.rng.uniform(0.0002, 0.01)
            self._at(
                self.now_s + delay_s,
                lambda data=data, to=message.port: self._deliver(
                    port, to, data
                ),
            )

    def states(self, port):
        return {
            member.router_id: member.state.name
            for member in self.members[port].members()
        }

    def converged(self):
        count = len(self.members)
        return all(
            list(self.states(port).values()).count('ALIVE') == count - 1
            for port in self.members
        )

    def _at(self, when_s, action):
        heapq.heappush(self._events, (when_s, next(self._sequence), action))

    def _deliver(self, source, to, data):
        # A paused process loses its datagrams when its buffer is full.
        if to in self.members and to not in self.paused:
            gossip = protocol.decode_gossip(data)
            member = self.members[to]
            sent = member.handle(gossip, '10.0.0.1', source, self.now_s)
            self.send(to, sent)
            self._record_deaths(to)

    def _tick(self, port, member):
        if self.members.get(port) is not member or port in self.paused:
            return
        self.send(port, member.tick(self.now_s))
        self._record_deaths(port)
        self._at(
            min(member.next_due_s(), self.now_s + 0.1),
            lambda: self._tick(port, member),
        )

    def _record_deaths(self, port):
        """Record deaths, also those that are refuted soon after."""
        member = self.members[port]
        changes, _ = self._states.get(port, (None, None))
        if changes == member.changes:
            return
        before = self._states.get(port, (0, {}))[1]
        states = self.states(port)
        self._states[port] = (member.changes, states)
        for router, state in states.items():
            if state == 'DEAD' and before.get(router) != 'DEAD':
                self.deaths.append((self.now_s, port, router))


def test_members_find_each_other_through_the_seeds():
    network = Network(8)
    assert network.run_until(network.converged, 5) < 3


def test_killed_member_is_detected_by_all_within_seconds():
    """Guards recovery: journal peers act when they see a holder dead."""
    network = Network(8)
    network.run(5)
    network.stop(10_007)

    def detected():
        return all(
            network.states(port)['r7'] == 'DEAD' for port in network.members
        )

    assert network.run_until(detected, 15) < 12
    assert network.members[10_000].is_lost('r7~1')
    assert {router for _, _, router in network.deaths} == {'r7'}


@pytest.mark.parametrize('count', [8, 24])
def test_no_false_death_at_20_percent_loss(count):
    """Guards against deaths of members that only lose datagrams."""
    network = Network(count, seed=3)
    network.run(5)
    network.loss = 0.2
    network.run(60)
    assert network.deaths == []
    network.loss = 0
    network.run(10)
    assert network.converged()


def test_one_way_cut_causes_no_death():
    """Guards the indirect probes, which reach the member through others."""
    network = Network(8)
    network.run(5)
    network.cut({10_001}, {10_002})
    network.run(60)
    assert network.deaths == []


def test_healed_partition_halves_rejoin():
    """Guards against halves that stay separate after mutual deaths."""
    network = Network(8, seeds=1)
    network.run(5)
    ports = sorted(network.members)
    network.cut(ports[:4], ports[4:])
    network.cut(ports[4:], ports[:4])
    network.run(120)
    assert network.states(10_000)['r7'] == 'DEAD'
    assert network.states(10_007)['r0'] == 'DEAD'
    same_side = [
        death
        for death in network.deaths
        if (death[1] < 10_004) == (int(death[2][1:]) < 4)
    ]
    assert same_side == []
    network.cuts.clear()
    before = len(network.deaths)
    network.run_until(network.converged, 30)
    # Reports of deaths by the other side must not be accepted.
    assert network.deaths[before:] == []


def test_resumed_member_refutes_and_declares_no_router_dead():
    """Guards against a resumed process that declares all others dead."""
    network = Network(8)
    network.run(5)
    network.paused.add(10_003)
    network.run(30)
    assert network.states(10_000)['r3'] == 'DEAD'
    assert {router for _, _, router in network.deaths} == {'r3'}
    network.resume(10_003)
    network.run_until(network.converged, 20)
    assert {router for _, _, router in network.deaths} == {'r3'}
    assert network.members[10_003].local_member.version > 0


def test_new_incarnation_replaces_the_old_one():
    """Guards against two entries for one router after a restart."""
    network = Network(8)
    network.run(5)
    network.stop(10_007)
    network.start(make_update('r7', started_ms=2))
    network.run(4)
    member = network.members[10_000]
    assert [m.incarnation_id for m in member.members()][-1] == 'r7~2'
    assert member.is_lost('r7~1')
    assert not member.is_lost('r7~2')
    assert network.deaths == []
    # A late update of the old incarnation changes nothing.
    late = protocol.Gossip(
        kind=1,
        nonce=1,
        sender=make_update('r1'),
        target='r1~1',
        updates=[make_update('r7')],
        endpoints=[],
        crashes=[],
    )
    before = member.members()
    member.handle(late, '10.0.0.1', 10_001, network.now_s)
    assert member.members() == before


def test_old_process_learns_that_it_was_replaced():
    network = Network(4)
    network.run(5)
    new = network.start(make_update('r3', started_ms=2, port=10_099))
    network.run(5)
    assert network.members[10_003].replaced
    assert not new.replaced


def test_leaving_member_is_not_declared_dead():
    network = Network(8)
    network.run(5)
    leaver = network.members[10_005]
    network.send(10_005, leaver.leave())
    network.run(1)
    network.stop(10_005)
    network.run(20)
    assert network.deaths == []
    assert {
        network.states(port)['r5'] for port in sorted(network.members)
    } == {'LEFT'}
    assert network.members[10_000].is_lost('r5~1')


def test_removed_dead_member_stays_lost():
    """Guards memory use, and against an old update that revives a member."""
    network = Network(4)
    network.run(5)
    network.stop(10_003)
    network.run(20)
    member = network.members[10_000]
    old = protocol.Gossip(
        kind=1,
        nonce=1,
        sender=make_update('r1'),
        target='r1~1',
        updates=[make_update('r3')],
        endpoints=[],
        crashes=[],
    )
    now_s = network.now_s + member.settings.dead_retention_s + 60
    member.tick(now_s)
    member.handle(old, '10.0.0.1', 10_001, now_s)
    assert 'r3' not in network.states(10_000)
    assert member.is_lost('r3~1')


def test_notices_reach_all_members_once_with_their_age():
    """Guards guarantee 6: all routers know a leaving endpoint in seconds."""
    network = Network(24, loss=0.1)
    network.run(10)
    network.members[10_000].announce_endpoint('e1', 0, network.now_s)
    network.members[10_000].announce_crash('ab', network.now_s)
    network.members[10_000].announce_crash('ab', network.now_s)
    network.run(5)
    others = [m for p, m in network.members.items() if p != 10_000]
    assert [
        [notice.endpoint for notice in m.endpoint_notices] for m in others
    ] == [['e1']] * 23
    assert all(m.endpoint_notices[0].age_ms < 5_000 for m in others)
    assert all(m.crash_notices[-1].crashes == 2 for m in others)
    network.run(20)
    assert all(len(m.endpoint_notices) == 1 for m in others)


def test_announced_manifest_version_reaches_all_without_queued_updates():
    """Guards the traffic of a configuration change in a large fleet."""
    network = Network(24)
    network.run(20)
    for member in network.members.values():
        member.announce(manifest_version=7)
    network.run(20)
    sizes = [
        len(member._table.update_queue) for member in network.members.values()
    ]
    assert max(sizes) == 0
    seen = {m.manifest_version for m in network.members[10_000].members()}
    assert 7 in seen


def run_for_cost(count, seconds):
    network = Network(count, seed=5)
    network.run(1)
    # Each member knows all others from the start: idle cost only.
    for member in network.members.values():
        for number in range(count):
            member._table.merge(make_update(f'r{number}'), network.now_s)
        member._table.update_queue.clear()
    network.run(2)
    before = sum(network.sent_bytes.values())
    network.run(seconds)
    assert network.deaths == []
    return (sum(network.sent_bytes.values()) - before) / seconds / count


def test_cost_per_member_does_not_grow_with_the_fleet(record_property):
    """Guards the limit of 7 KB/s for the control traffic of a router."""
    costs = {count: run_for_cost(count, 5) for count in (8, 64, 350)}
    record_property('bytes_per_s', {n: round(costs[n]) for n in costs})
    assert max(costs.values()) < 1.25 * min(costs.values())
    assert max(costs.values()) < 1_500


def test_death_in_a_large_fleet_stays_within_the_traffic_limit(
    record_property,
):
    network = Network(64, seed=6)
    network.run_until(network.converged, 60)
    network.run(10)
    network.stop(10_063)
    before = sum(network.sent_bytes.values())
    seconds = network.run_until(
        lambda: all(
            network.states(port)['r63'] == 'DEAD' for port in network.members
        ),
        20,
    )
    bytes_per_s = (sum(network.sent_bytes.values()) - before) / seconds / 63
    record_property('detection_s', round(seconds, 1))
    record_property('bytes_per_s', round(bytes_per_s))
    assert bytes_per_s < 7_000


def test_same_seed_gives_the_same_run():
    """Guards the repeatability of all tests here."""
    runs = []
    for _ in range(2):
        network = Network(6, seed=9, loss=0.3)
        network.run(30)
        runs.append((network.sent_bytes, network.deaths))
    assert runs[0] == runs[1]


@st.composite
def messages(draw):
    number = st.integers(-2, 2**62)
    name = st.sampled_from(
        ['r0~1', 'r1~1', 'r1~2', 'r2~1', 'r3', '~', '', 'r4~9999999999999999']
    )
    update = st.builds(
        protocol.MemberUpdate,
        incarnation_id=name,
        data_centre=st.just('dc'),
        host=st.sampled_from(['10.0.0.1', '::1', 'name', '']),
        port=st.sampled_from([0, 1, 10_001, 65_535, 65_536]),
        version=number,
        state=st.integers(-1, 4),
        manifest_version=number,
        ready=st.booleans(),
        operator_port=st.sampled_from([-1, 0, 9000]),
    )
    return protocol.Gossip(
        kind=draw(st.integers(-1, 3)),
        nonce=draw(number),
        sender=draw(update),
        target=draw(st.none() | name),
        updates=draw(st.lists(update, max_size=4)),
        endpoints=draw(
            st.lists(
                st.builds(
                    protocol.EndpointNotice,
                    endpoint=st.sampled_from(['', 'e1', 'é' * 300]),
                    kind=st.integers(-1, 300),
                    age_ms=number,
                ),
                max_size=2,
            )
        ),
        crashes=[],
    )


@settings(max_examples=200, deadline=None)
@given(st.lists(messages(), max_size=6))
def test_no_message_stops_the_state_machine(received):
    """Guards against forged fields that stop the state machine."""
    member = _membership.Membership(
        make_update('r0'), [], random.Random(1), now_s=0.0
    )
    for index, gossip in enumerate(received):
        sent = member.handle(gossip, '10.0.0.1', 10_001, index * 0.1)
        sent += member.tick(index * 0.1)
        for message in sent:
            protocol.encode_gossip(message.gossip)
    assert not member.is_lost('r0~1')
    assert member.next_due_s() < 10
