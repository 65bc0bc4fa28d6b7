"""Allotments of a fleet during an outage of the log, on a paused clock."""

import asyncio
import random

import pytest

from basilpond.node._budgets import BudgetTask
from basilpond.node._budgets import HoldRejection
from basilpond.node._peers import PeerTask
from basilpond.routing import ClockReading
from basilpond.routing import CrashCounter
from basilpond.routing import CrashingParts
from basilpond.routing import EndpointLimits
from basilpond_testkit.paused_clock import run

ORG = 'org'
# The largest organisation of wagenpark-grown's small twin on a quiet day. The
# cut came when a third of its budget was used.
LIMIT_TOKENS = 3_400_000
REQUESTS_PER_S = 13.0
CUT_FROM_S = 5.7
CUT_S = 9.0
# Most callers of a large organisation use the same router.
ONE_ROUTER_SHARE = 0.9
# Prompts of 12,000 tokens and their output, 54,600 at most.
MEAN_TOKENS = 14_000
MAX_TOKENS = 54_600
MIN_TOKENS = 400
# Share of a request's token bound that it does not consume.
UNUSED_SHARE = 0.15
REQUEST_S = 1.0
_LOG_CALL_S = 0.004
_NETWORK_S = 0.001


class NullStub:
    def event(self, name, **fields):
        pass

    def __iter__(self):
        return iter(())

    def leaving(self):
        return []


class FakeLog:
    """Log with one partition; appends wait while it is unavailable."""

    def __init__(self):
        self.unavailable = False
        self.end = 0
        self.readers = []
        self._available = asyncio.Event()

    def make_unavailable(self):
        self.unavailable = True
        self._available.clear()
        for reader in self.readers:
            reader.update_reachability(reachable=False)

    def append(self, records):
        """Append records and pass them to all readers."""
        first = self.end
        self.end += len(records)
        accounts = [
            (key.partition('/')[2], value, first + i)
            for i, (key, value) in enumerate(records)
            if key.startswith('budget/')
        ]
        for reader in self.readers:
            for name, value, offset in accounts:
                reader.apply_account(name, value, offset)
            if accounts:
                reader.decide_raises(self.end)

    async def wait_available(self):
        await self._available.wait()


class FakeWriter:
    """Log writer of one router."""

    # No test here has reads that an outage could delay.
    recovered_at_s = None
    era = 0
    usual_append_s = 0.0

    def __init__(self, log):
        self._log = log
        self._since_s = None

    @property
    def waiting_s(self):
        if self._since_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._since_s

    async def append(self, collect):
        records = collect()
        if not records:
            return False
        self._since_s = asyncio.get_running_loop().time()
        await asyncio.sleep(_LOG_CALL_S)
        if self._log.unavailable:
            await self._log.wait_available()
        self._log.append(records)
        self._since_s = None
        return True


class FakeTransport:
    """Datagram transport with a delay of 1 ms."""

    def __init__(self, fleet, address):
        self._fleet = fleet
        self._address = address

    def sendto(self, data, address):
        loop = asyncio.get_running_loop()
        receiver = self._fleet[address[1] - 1][1]
        loop.call_later(
            _NETWORK_S, receiver.datagram_received, data, self._address
        )


def make_fleet(log, number):
    """Return the budgets and peers of routers with each other's address."""
    loop = asyncio.get_running_loop()

    def read_clocks():
        now_ms = int(loop.time() * 1000)
        return ClockReading(now_ms, now_ms)

    fleet = []
    for i in range(number):
        holder = f'r{i}~1'
        budgets = BudgetTask(
            holder,
            FakeWriter(log),
            NullStub(),
            clock=read_clocks,
            is_first_start=True,
        )
        peers = PeerTask(
            f'r{i}',
            holder,
            NullStub(),
            budgets,
            CrashCounter(),
            CrashingParts(random.Random(1)),
            EndpointLimits('n'),
            NullStub(),
            lambda: 1,
        )
        peers.connection_made(FakeTransport(fleet, ('10.0.0.1', i + 1)))
        for other in range(number):
            peers.update_address(f'r{other}', b'10.0.0.1:%d' % (other + 1))
        budgets.request_from_peers = peers.request_tokens
        budgets.live_holders = peers.live_holders
        budgets.allotments.routers = number
        budgets.allotments.set_limit(ORG, LIMIT_TOKENS)
        budgets.recovery.heard_routers = peers.heard_routers
        budgets.raise_statements.send = peers.state_accounts
        budgets.begin_era(0)
        budgets.resume_decisions(0)
        fleet.append((budgets, peers))
        log.readers.append(budgets)
    return fleet


async def report(fleet, peers):
    """Send a report to all routers every 2 s, to count as live."""
    loop = asyncio.get_running_loop()
    while True:
        data, due = peers._prepare_report(loop.time())
        for peer in due:
            peers._send(data, peer)
        await asyncio.sleep(2.0)


async def read(log, budgets):
    """Update the reachability of the log as a reader does."""
    while True:
        if not log.unavailable:
            budgets.update_reachability(reachable=True)
        await asyncio.sleep(0.3)


async def serve(fleet, rng, outcomes):
    """Simulate one request of the organisation."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    at_one = rng.random() < ONE_ROUTER_SHARE
    budgets, _ = fleet[0] if at_one else rng.choice(fleet)
    sampled = int(rng.expovariate(1 / MEAN_TOKENS))
    tokens = min(MAX_TOKENS, max(MIN_TOKENS, sampled))
    hold = await budgets.hold(ORG, tokens, 12.0)
    served = not isinstance(hold, HoldRejection)
    outcomes.append((started_s, served, tokens))
    if not served:
        return
    await asyncio.sleep(REQUEST_S)
    budgets.charge(hold, int(tokens * (1 - UNUSED_SHARE)))


async def simulate(number, seed):
    """Return the share of the requests in a cut that got tokens."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    log = FakeLog()
    fleet = make_fleet(log, number)
    tasks = set()
    for budgets, peers in fleet:
        for job in (
            budgets.run(),
            budgets.sample_rates(),
            report(fleet, peers),
            read(log, budgets),
        ):
            tasks.add(loop.create_task(job))
    await asyncio.sleep(2.0)
    traffic_s = loop.time()
    outcomes = []
    requests = []
    while (now_s := loop.time() - traffic_s) < CUT_FROM_S + CUT_S:
        if now_s >= CUT_FROM_S and not log.unavailable:
            log.make_unavailable()
        requests.append(loop.create_task(serve(fleet, rng, outcomes)))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await asyncio.sleep(3.0)
    for task in [*tasks, *requests]:
        task.cancel()
    await asyncio.gather(*tasks, *requests, return_exceptions=True)
    requested = sum(tokens for _, _, tokens in outcomes)
    assert requested < LIMIT_TOKENS, 'the budget covers all requests'
    in_cut = [
        served
        for started_s, served, _ in outcomes
        if started_s - traffic_s >= CUT_FROM_S
    ]
    return sum(in_cut) / len(in_cut)


def share_served(number, seed=1):
    """Simulate a cut on a paused clock."""
    return run(simulate(number, seed))


@pytest.mark.parametrize(
    ('number', 'seeds'), [(8, range(1, 6)), (16, range(1, 6)), (80, [1])]
)
def test_a_cut_serves_what_budgets_cover(number, seeds):
    """Replays a cut from the log at 5.7 s, with most callers at one router.

    The budget covers all requests, and all routers reach each other. No
    router owned the last two thirds of the budget when the cut began, so
    these tokens were unusable: 0.55 to 0.81 of the requests were served.
    """
    shares = [share_served(number, seed) for seed in seeds]
    assert sum(shares) / len(shares) >= 0.9


def test_request_that_waits_gets_tokens_when_the_cut_ends():
    """Guards against requests that still wait for a ceiling after a cut.

    Their tokens were due at an age of the last heartbeat, and each heartbeat
    after the cut began that time anew.
    """

    async def check():
        loop = asyncio.get_running_loop()
        log = FakeLog()
        ((budgets, _),) = make_fleet(log, 1)
        tasks = [
            loop.create_task(job)
            for job in (budgets.run(), read(log, budgets))
        ]
        await asyncio.sleep(2.0)
        log.make_unavailable()
        # The log is suspect already, so the request adds no demand to it.
        await asyncio.sleep(0.5)
        owned, _, _ = budgets.allotments.balances()[ORG]
        waiting = loop.create_task(budgets.hold(ORG, owned // 2, 6.0))
        await asyncio.sleep(0.6)
        log.unavailable = False
        log._available.set()
        ended_s = loop.time()
        hold = await waiting
        assert not isinstance(hold, HoldRejection)
        assert loop.time() - ended_s < 1.0
        for task in tasks:
            task.cancel()

    run(check())
