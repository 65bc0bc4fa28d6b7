"""Accounts of routers whose reads hang and which are killed.

Runs the routers' own tasks; the log and the network are simulated.
"""

import asyncio
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from basilpond.node._budgets import BudgetTask
from basilpond.node._fleet_records import FLEET_TOPIC
from basilpond.node._fleet_records import parse_heartbeat
from basilpond_testkit.budget_fleet import BudgetFleet
from basilpond_testkit.budget_fleet import Events
from basilpond_testkit.paused_clock import PausedClockEventLoop

ORG = 'org'
LIMIT_TOKENS = 400_000
NAMES = ('a', 'b', 'c')
# Time in which the routers agree on the accounts after a start.
SETTLE_S = 2.0
# Requests of one rule, and the time between two of them.
BURST = 10
BURST_INTERVAL_S = 0.02
# The rest of the budget is requested in parts of these sizes, until a number
# of rounds was refused: a grant may take longer than one round.
LAST_REQUESTS_TOKENS = (4_000, 500)
REFUSED_ROUNDS = 2
SUBSETS = st.sets(st.sampled_from(NAMES), min_size=1)


class _Writer:
    era = 1


def read_from_start(fleet):
    """Return the accounts and heartbeats that a process would start with."""
    reader = BudgetTask('reader~0', _Writer(), Events('reader', []))
    heartbeats = {}
    for key, (offset, value) in fleet.store.contents.newest(
        FLEET_TOPIC
    ).items():
        kind, _, name = key.partition('/')
        if kind == 'budget':
            reader.apply_account(name, value, offset)
        elif kind == 'alive':
            heartbeats[name] = parse_heartbeat(value)
    return reader._accounts, heartbeats


class AccountsMachine(stateful.RuleBasedStateMachine):
    """Routers with silent reads, late datagrams and kills of some or all.

    Checks that no process ever starts with an account of another one that
    proves less use than there was, and that the budget is kept.
    """

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=PausedClockEventLoop)
        self.fleet = BudgetFleet(random.Random(1), {ORG: LIMIT_TOKENS})
        self.processes = []
        self.jobs = set()
        self.run(self._start())

    def run(self, job):
        self.runner.run(job)

    async def _start(self):
        for name in NAMES:
            self.fleet.start_router(name, is_first_start=True)
        await asyncio.sleep(SETTLE_S)

    def _add_job(self, job):
        task = self.runner.get_loop().create_task(job)
        self.jobs.add(task)

    @stateful.rule(names=SUBSETS)
    def silence_reads(self, names):
        for name in names & set(self.fleet.routers):
            self.fleet.routers[name].log.is_next_read_silent = True

    @stateful.rule(delay_s=st.sampled_from((0.0, 0.1, 1.0)))
    def delay_datagrams(self, delay_s):
        self.fleet.max_datagram_delay_s = delay_s

    @stateful.rule(
        name=st.sampled_from(NAMES), tokens=st.sampled_from((500, 4_000))
    )
    def send_requests(self, name, tokens):
        async def burst():
            for _ in range(BURST):
                if self.fleet.routers:
                    self._add_job(self.fleet.request(ORG, tokens, name))
                await asyncio.sleep(BURST_INTERVAL_S)

        self.run(burst())

    @stateful.rule(duration_s=st.sampled_from((0.1, 0.5, 1.5)))
    def pass_time(self, duration_s):
        self.run(asyncio.sleep(duration_s))

    @stateful.rule(names=SUBSETS | st.just(set(NAMES)))
    def kill(self, names):
        async def kill():
            # All of them end at once.
            for name in names:
                self._add_job(self.fleet.restart(name))
            await asyncio.sleep(0)

        self.run(kill())

    @stateful.invariant()
    def log_covers_use(self):
        for router in self.fleet.routers.values():
            if router not in self.processes:
                self.processes.append(router)
        accounts, heartbeats = read_from_start(self.fleet)
        now = self._now()
        for process in self.processes:
            use = process.budgets.allotments._allotment(ORG).local_use
            account, _ = accounts.account(ORG, process.holder)
            heartbeat = heartbeats.get(process.holder)
            if (
                heartbeat is None
                or heartbeat.statement.written_era
                != self.fleet.store.contents.era
            ):
                # Its next process frees nothing.
                continue
            age_s = heartbeat.reading.proved_age_s(now)
            proved = account.limit_after(age_s)
            assert use <= proved, (process.holder, use, account, age_s)

    def _now(self):
        async def read():
            return self.fleet.read_clocks()

        return self.runner.run(read())

    def teardown(self):
        try:
            self.run(self._spend_all())
        finally:
            self.run(self._end())
            self.runner.close()

    async def _spend_all(self):
        """Spend what routers that start now think is left."""
        await asyncio.gather(*self.jobs)
        await asyncio.gather(*map(self.fleet.restart, NAMES))
        await asyncio.sleep(SETTLE_S)
        for tokens in LAST_REQUESTS_TOKENS:
            refused = 0
            while refused < REFUSED_ROUNDS:
                served = self.fleet.served
                await asyncio.gather(
                    *(
                        self.fleet.request(ORG, tokens, name)
                        for name in NAMES
                        for _ in range(BURST)
                    )
                )
                refused = 0 if self.fleet.served > served else refused + 1
        self.fleet.check()

    async def _end(self):
        for name in NAMES:
            self.fleet.kill(name)
        for job in self.jobs:
            job.cancel()
        await asyncio.gather(*self.jobs, return_exceptions=True)


class RestoredAccountsMachine(AccountsMachine):
    """The same with a log that comes back without its last records."""

    @stateful.rule(age_s=st.sampled_from((0.3, 3.0)))
    def restore_log(self, age_s):
        async def restore():
            now_s = asyncio.get_running_loop().time()
            self.fleet.store.contents.restore(now_s - age_s)

        self.run(restore())


SETTINGS = hypothesis.settings(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    # Shrinking runs a fleet for each trial, and takes minutes.
    phases=(hypothesis.Phase.reuse, hypothesis.Phase.generate),
)
TestAccountsMachine = AccountsMachine.TestCase
TestAccountsMachine.settings = SETTINGS
TestRestoredAccountsMachine = RestoredAccountsMachine.TestCase
TestRestoredAccountsMachine.settings = SETTINGS
