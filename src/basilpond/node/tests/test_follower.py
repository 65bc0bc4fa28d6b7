import asyncio
import contextlib

from basilpond.node._budgets import BudgetTask
from basilpond.node._fleet_topic import FleetTopic
from basilpond.node._follower import TopicFollower
from basilpond.node._log_writer import LogWriter
from basilpond.node._metrics import NodeMetrics
from basilpond.routing import Stamp
from basilpond_testkit.paused_clock import on_paused_clock
from basilpond_testkit.paused_clock import wait_until
from basilpond_testkit.slow_link_log import SlowLinkLog

# The slowest links of the grown sites, 5 Mbit/s.
LINK_BYTES_PER_S = 625_000
# A configuration with 1,500 routes.
LARGE = bytes(300_000)
# Bound of the grown sites on a version's way to a router.
CONFIG_APPLY_S = 3.0


class Decisions:
    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append((name, fields))

    def note_address(self, name, value):
        pass


class Configurations:
    """What a router has read of the configuration's topic."""

    only_newest = True

    def __init__(self):
        self.count = 0
        self.end = 0
        self.contacts = []

    def apply_newest(self, records, end, *, snapshot):
        self.apply(records, end)

    def apply(self, records, end):
        self.count += len(records)
        self.end = end
        self.contacts.append('records')

    def note_contact(self, *, reachable):
        self.contacts.append(reachable)


def clock():
    now_ms = int(asyncio.get_running_loop().time() * 1000)
    return Stamp(now_ms, now_ms)


class Reader:
    """A router as far as it follows the log and appends to it."""

    def __init__(self, log):
        self.log = log
        self.decisions = Decisions()
        self.configurations = Configurations()
        writer = LogWriter(log, 'fleet', 'n~1', self.decisions)
        self.budgets = BudgetTask('n~1', writer, self.decisions, clock)
        metrics = NodeMetrics()
        self.followers = [
            TopicFollower(log, topic, state, self.decisions, 0.05, metrics)
            for topic, state in (
                ('configuration', self.configurations),
                ('fleet', FleetTopic(self.budgets, self.decisions)),
            )
        ]
        self.budgets.restart_reader = self.restart
        self.budgets.hurry_reader = self.followers[1].hurry

    def restart(self):
        for follower in self.followers:
            follower.restart()


@contextlib.asynccontextmanager
async def reader(log):
    router = Reader(log)
    jobs = [follower.run() for follower in router.followers]
    jobs.append(router.budgets.run())
    tasks = [asyncio.create_task(job) for job in jobs]
    try:
        yield router
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@on_paused_clock
async def test_large_read_ends_beside_slow_appends():
    """Guards against a configuration that is never read on a slow link.

    Versions that gathered fill the link for 1.5 s. Appends beside them take
    over 0.1 s, and each of those cancelled the read.
    """
    log = SlowLinkLog(LINK_BYTES_PER_S)
    log.put('configuration', 'config', b'small')
    async with reader(log) as router:
        await asyncio.sleep(5)
        for _ in range(3):
            log.put('configuration', 'config', LARGE)
        await wait_until(
            lambda: router.configurations.end == 4, timeout_s=CONFIG_APPLY_S
        )


@on_paused_clock
async def test_newest_configuration_is_read_after_an_outage():
    """Guards against reading all versions that an outage held back."""
    log = SlowLinkLog(LINK_BYTES_PER_S)
    log.put('configuration', 'config', b'small')
    async with reader(log) as router:
        await asyncio.sleep(5)
        log.cut()
        await asyncio.sleep(8)
        for _ in range(8):
            log.put('configuration', 'config', LARGE)
        log.restore()
        await wait_until(
            lambda: router.configurations.end == 9,
            timeout_s=CONFIG_APPLY_S,
        )


@on_paused_clock
async def test_read_of_an_outage_is_sent_again():
    """Guards against a read that hangs though the log is back."""
    log = SlowLinkLog(LINK_BYTES_PER_S)
    log.put('configuration', 'config', b'small')
    async with reader(log) as router:
        await asyncio.sleep(5)
        log.cut()
        # Longer than an append waits, shorter than a read does.
        await asyncio.sleep(1.2)
        log.restore()
        log.put('configuration', 'config', b'next')
        await wait_until(lambda: router.configurations.end == 2, timeout_s=1.5)


@on_paused_clock
async def test_contact_is_noted_before_the_records_of_an_outage():
    """Guards against entries that lapsed in an outage and end at once."""
    log = SlowLinkLog(LINK_BYTES_PER_S)
    log.put('configuration', 'config', b'small')
    async with reader(log) as router:
        await asyncio.sleep(5)
        log.cut()
        await asyncio.sleep(8)
        contacts = router.configurations.contacts
        contacts.clear()
        log.put('configuration', 'config', b'next')
        log.restore()
        await wait_until(lambda: 'records' in contacts)
        assert True in contacts[: contacts.index('records')]
