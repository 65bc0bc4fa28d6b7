import asyncio
import itertools
import random

import pytest
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import serialize

from basilpond.node._budgets import BudgetTask
from basilpond.node._directory import EndpointEntry
from basilpond.node._peers import PeerTask
from basilpond.node._peers import messages
from basilpond.platform._settings import load_settings
from basilpond.routing import ClockReading
from basilpond.routing import CrashCounter
from basilpond.routing import CrashingParts
from basilpond.routing import Endpoint
from basilpond.routing import EndpointLimits
from basilpond.routing import EndpointSpeeds
from basilpond_testkit.paused_clock import on_paused_clock

# The slowest links of the large sites: 5 Mbit/s.
LINK_BYTES_PER_S = 625_000
# Headers of UDP and IP.
HEADER_BYTES = 28


class NullDecisionLog:
    def event(self, name, **fields):
        pass


class Directory(dict):
    """Endpoints by id."""

    def __iter__(self):
        return iter(self.values())

    def find(self, endpoint_id):
        return self.get(endpoint_id)

    def find_number(self, number):
        return next((e for e in self if e.number == number), None)

    def leaving(self):
        return []


class Socket:
    """Datagram socket that records time, size and address."""

    def __init__(self):
        self.sent = []
        self.receivers = {}

    def sendto(self, data, address):
        now_s = asyncio.get_running_loop().time()
        self.sent.append((now_s, len(data) + HEADER_BYTES, address[1]))
        receiver = self.receivers.get(address[1])
        if receiver is not None:
            receiver.datagram_received(data, ('127.0.0.1', 1))

    def max_bytes(self, window_s):
        """Return the maximum number of bytes sent within a time window."""
        return max(
            sum(
                size
                for at_s, size, _ in self.sent
                if start_s <= at_s < start_s + window_s
            )
            for start_s, _, _ in self.sent
        )


def make_task(name, endpoints, link_bytes_per_s=LINK_BYTES_PER_S):
    speeds = EndpointSpeeds()
    budgets = BudgetTask(
        f'{name}~1', None, NullDecisionLog(), lambda: ClockReading(0, 0)
    )
    directory = Directory()
    for i in range(endpoints):
        endpoint = Endpoint(
            f'i-{i:010x}', None, 's', '10.0.0.1', 80, 'dc', 12, False, 0.0
        )
        directory[endpoint.id] = EndpointEntry(endpoint, 10.0, speeds)
    task = PeerTask(
        name,
        f'{name}~0123456789ab',
        directory,
        budgets,
        CrashCounter(),
        CrashingParts(random.Random(1)),
        EndpointLimits('n'),
        NullDecisionLog(),
        lambda: 1,
        link_bytes_per_s=link_bytes_per_s,
        speeds=speeds,
    )
    task._transport = Socket()
    return task, directory


def add_peers(task, count):
    for i in range(count):
        task.update_address(f'm{i:02}', b'127.0.0.1:%d' % (1000 + i))
        peer = task._peers[f'm{i:02}']
        peer.holder = f'm{i:02}~1'
        peer.last_seen_s = asyncio.get_running_loop().time() + 3600


async def send_prompts(task, directory, per_s, for_s):
    """Keep a stream at each endpoint and start prompts at a constant rate."""
    entries = list(directory)
    for entry in entries:
        entry.load.add_request(0, 0.0)
    for i in range(round(per_s * for_s)):
        entry = entries[i % len(entries)]
        shared = [7_000_000_000 + i % 4, 8_000_000_000 + i % 100]
        task.record_prefixes(entry.number, shared)
        await asyncio.sleep(1 / per_s)


async def run_for(task, job):
    running = asyncio.create_task(task.run())
    try:
        await job
    finally:
        running.cancel()


@on_paused_clock
async def test_reports_use_a_small_share_of_a_slow_link():
    """Replays the router of a large organisation among 85 on 5 Mbit/s.

    Its reports to the others were sent in one burst of 0.5 s and exceeded the
    bandwidth of the link, so prompts and responses were delayed.
    """
    task, directory = make_task('n', 56)
    add_peers(task, 84)
    await run_for(task, send_prompts(task, directory, 40, 10.0))
    socket = task._transport
    assert {port for _, _, port in socket.sent} == set(range(1000, 1084))
    assert socket.max_bytes(2.0) <= 0.2 * 2.0 * LINK_BYTES_PER_S
    # A burst delays a response by less than 25 ms.
    assert socket.max_bytes(0.01) <= 0.025 * LINK_BYTES_PER_S


@on_paused_clock
async def test_reports_contain_loads_and_shared_prefixes():
    """Guards against busy endpoints that appear idle to other routers."""
    sender, sending = make_task('n', 3)
    receiver, receiving = make_task('m00', 3)
    add_peers(sender, 1)
    sender._transport.receivers[1000] = receiver
    busy, caching = list(sending)[1:]
    idle, seen_busy, seen_caching = receiving
    in_flight = busy.load.add_request(9_000, 0.0)
    sender.record_prefixes(caching.number, [2**63 - 1, 7])
    await run_for(sender, asyncio.sleep(0.2))
    assert seen_busy.load.running == 1
    assert seen_busy.load.pending_prefill_cost == 9_000
    assert seen_caching.load.cache.has(2**63 - 1)
    assert seen_caching.load.cache.has(7)
    assert idle.load.running == 0
    busy.load.remove_request(in_flight)
    await run_for(sender, asyncio.sleep(0.2))
    assert seen_busy.load.running == 0


@on_paused_clock
async def test_reports_share_the_speeds_of_endpoints():
    """Guards against routers that each learn from few prompts of their own."""
    sender, sending = make_task('n', 2)
    receiver, receiving = make_task('m00', 2)
    add_peers(sender, 1)
    sender._transport.receivers[1000] = receiver
    entry, _ = sending
    seen, untried = receiving

    async def prompt():
        for _ in range(10):
            in_flight = entry.load.add_request(8_000, loop.time())
            await asyncio.sleep(0.03 + 8_000 / 160_000)
            entry.load.record_first_byte(in_flight, loop.time())
            entry.load.remove_request(in_flight)
            await asyncio.sleep(0.1)

    loop = asyncio.get_running_loop()
    await run_for(sender, prompt())
    for load in (seen.load, untried.load):
        learnt = load.tokens_per_s(loop.time())
        assert learnt == pytest.approx(160_000, rel=0.1)
        # The median of the service is computed once a second.
        await asyncio.sleep(1.0)


@on_paused_clock
async def test_speeds_are_a_bounded_part_of_a_datagram():
    """Guards against reports that grow with the number of endpoints."""
    task, directory = make_task('n', 200)
    add_peers(task, 1)
    for entry in directory:
        in_flight = entry.load.add_request(8_000, 0.0)
        entry.load.record_first_byte(in_flight, 0.1)
        entry.load.remove_request(in_flight)
    await run_for(task, asyncio.sleep(2.0))
    sizes = [size for _, size, _ in task._transport.sent]
    # A load is 10 bytes, a speed 8.
    assert max(sizes) - min(sizes) <= 16 * 8 + 200 * 10 + 10


@on_paused_clock
async def test_prefix_in_use_is_announced_again():
    """Guards against a shared prefix that expires at peers while in use."""
    sender, sending = make_task('n', 1)
    receiver, receiving = make_task('m00', 1)
    add_peers(sender, 1)
    sender._transport.receivers[1000] = receiver
    (entry,) = sending
    (received,) = receiving

    async def use():
        for _ in range(150):
            sender.record_prefixes(entry.number, [7])
            await asyncio.sleep(0.1)

    await run_for(sender, use())
    now_s = asyncio.get_running_loop().time()
    assert received.load.cache.cached_tokens([(7, 500)], now_s + 8.0) == 500
    sizes = [size for _, size, _ in sender._transport.sent]
    assert sizes.count(max(sizes)) <= 16


@on_paused_clock
async def test_idle_router_stays_live_with_few_reports():
    """Guards against links that are saturated by reports of idle routers.

    84 routers without changes sent 160 datagrams a second to each router.
    """
    task, _ = make_task('n', 56)
    add_peers(task, 84)
    await run_for(task, asyncio.sleep(10.0))
    for peer in range(1000, 1084):
        times = [t for t, _, port in task._transport.sent if port == peer]
        assert len(times) <= 25
        # A clock expires 1 s after the last report.
        assert max(b - a for a, b in itertools.pairwise(times)) < 0.8


@on_paused_clock
async def test_crash_reaches_routers_that_missed_it():
    """Guards against crashes that are announced in only one datagram."""
    sender, _ = make_task('n', 1)
    receiver, _ = make_task('m00', 1)
    add_peers(sender, 1)
    sender._crashes.record('digest', 'digest', 0.0)
    await run_for(sender, asyncio.sleep(0.5))
    sender._transport.receivers[1000] = receiver
    await run_for(sender, asyncio.sleep(1.5))
    assert receiver._crashes._entries['digest'].crashes == 1


@on_paused_clock
async def test_report_of_invalid_size_is_ignored():
    """Guards against a router that fails on a malformed report of a peer."""
    task, directory = make_task('n', 1)
    # Five bytes are a row of evidence, but of none that is known.
    for field in ('loads', 'runs', 'evidence', 'cold'):
        report = messages.Report(wall_ms=1, **{field: b'12345'})
        datagram = messages.Datagram(holder='m~1', router='m', report=report)
        data = serialize(datagram, TCyBinaryProtocolFactory())
        task.datagram_received(data, ('127.0.0.1', 1))
    (entry,) = directory
    assert entry.load.running == 0
    assert not entry.load.outlier.is_ejected(0.0)


@on_paused_clock
async def test_evidence_of_three_routers_ejects_an_endpoint():
    """Guards against evidence that is not sent, or not applied."""
    receiver, received = make_task('r', 2)
    for i in range(3):
        sender, sending = make_task(f'm{i:02}', 2)
        sender.update_address('r', b'127.0.0.1:1000')
        sender._peers['r'].last_seen_s = 3600.0
        sender._transport.receivers[1000] = receiver
        now_s = asyncio.get_running_loop().time()
        next(iter(sending)).load.outlier.record_broken(now_s)
        await run_for(sender, asyncio.sleep(0.2))
        now_s = asyncio.get_running_loop().time()
        broken, sound = received
        assert broken.load.outlier.is_ejected(now_s) is (i == 2)
        assert not sound.load.outlier.is_ejected(now_s)


def test_link_of_the_settings_bounds_reports(tmp_path):
    """Guards against a link bandwidth in the settings that has no effect."""
    path = tmp_path / 'boot.yaml'
    path.write_text(
        'node_name: n\nip: 10.0.0.1\nzone: z\n'
        'listen: {front: "10.0.0.1:1", ready: "10.0.0.1:2"}\n'
        'port_range: [3, 9]\nplatform: {address: "10.0.0.2:4"}\n'
        'limits: {link_mbps: 5.0}\n'
    )
    assert load_settings(path).link_bytes_per_s == LINK_BYTES_PER_S


async def test_record_of_a_live_router_keeps_its_state():
    """Guards against live routers that count as silent after a new read.

    Their addresses are read again when the topic is. The fleet then had one
    live router, this one, whose part of all budgets became too large.
    """
    task, _ = make_task('n', endpoints=0)
    task.update_address('m', b'127.0.0.1:1001')
    peer = task._peers['m']
    peer.holder = 'm~1'
    peer.last_seen_s = asyncio.get_running_loop().time()
    task.update_address('m', b'127.0.0.1:1001')
    assert task.live_routers() == 2
    assert task.live_holders() == ['m~1']
