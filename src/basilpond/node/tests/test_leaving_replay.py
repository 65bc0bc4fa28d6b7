"""Replays an endpoint that says it leaves at fleets of different sizes."""

import asyncio
import random

import msgspec
import pytest

from basilpond.node import Record
from basilpond.node._directory import EndpointDirectory
from basilpond.node._peers import MAX_DATAGRAMS_PER_S
from basilpond.node._peers import REPORT_INTERVAL_S
from basilpond.platform import JsonPlatformCodec
from basilpond_testkit.paused_clock import on_paused_clock

SERVICE = 'app'
ENDPOINTS = 4
LEAVING = 's-0'
BOOT_MS = 1_781_071_529_128
RESPONSE_S = 0.05
REQUEST_INTERVAL_S = 0.1
TOLD_S = 2.0
RESTART_S = 9.0
END_S = 11.0
# Time from the start after which removals are not delayed.
REMOVED_AT_ONCE_S = 3.0


class NullDecisionLog:
    def event(self, name, **fields):
        pass


def listing(name, *, sequence=0, **changes):
    """Return the entry with which the store lists an endpoint."""
    value = {
        'service': SERVICE,
        'address': f'127.0.0.1:{1000 + int(name[2:])}',
        'zone': 'dc',
        'slots': 6,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': sequence,
        'version': 'v',
        'born': BOOT_MS,
        **changes,
    }
    return Record(sequence, name, msgspec.json.encode(value))


def removal(name):
    return Record(0, name, None)


def make_directory():
    directory = EndpointDirectory(JsonPlatformCodec(), NullDecisionLog(), 10.0)
    names = [f's-{i}' for i in range(ENDPOINTS)]
    directory.apply_newest([listing(n) for n in names], 1, snapshot=True)
    directory.update_reachability(reachable=True)
    return directory


class Fleet:
    """Routers with a directory each, one endpoint of which says it leaves."""

    def __init__(self, count):
        self.rng = random.Random(count)
        self.directories = [make_directory() for _ in range(count)]
        self.report_interval_s = max(
            REPORT_INTERVAL_S, count / MAX_DATAGRAMS_PER_S
        )
        # Router, time of the send and boot, for each request to the endpoint.
        self.arrivals = []
        # When a router first passed on an answer that says so.
        self.told_s = {}

    def apply(self, record):
        """Let all routers read a record of the store."""
        for directory in self.directories:
            directory.apply([record], 2)

    def set_reachable(self, *, reachable):
        """Let the store respond to all routers, or to none."""
        for directory in self.directories:
            directory.update_reachability(reachable=reachable)

    async def send_requests(self, router):
        """Send requests of one router to endpoints at random."""
        loop = asyncio.get_running_loop()
        directory = self.directories[router]
        while True:
            await asyncio.sleep(2 * REQUEST_INTERVAL_S * self.rng.random())
            entry = self.rng.choice(directory.candidates(SERVICE))
            if entry.endpoint.id != LEAVING:
                continue
            boot_ms = entry.endpoint.boot_ms
            self.arrivals.append((router, loop.time(), boot_ms))
            await asyncio.sleep(RESPONSE_S)
            if boot_ms == BOOT_MS and loop.time() >= TOLD_S:
                self.told_s.setdefault(router, loop.time())
                directory.mark_told_leaving(entry)

    async def send_reports(self, router):
        """Report leaving endpoints to all other routers."""
        await asyncio.sleep(self.report_interval_s * self.rng.random())
        while True:
            for incarnation in self.directories[router].leaving():
                for i, directory in enumerate(self.directories):
                    if i != router:
                        directory.mark_leaving(incarnation, f'r-{router}')
            await asyncio.sleep(self.report_interval_s)


async def play_store(fleet):
    """Let the store fail, and list the endpoint as ready again."""
    await asyncio.sleep(TOLD_S - 0.5)
    fleet.set_reachable(reachable=False)
    await asyncio.sleep(3.5)
    fleet.set_reachable(reachable=True)
    fleet.apply(listing(LEAVING, sequence=1))
    await asyncio.sleep(2.5)
    fleet.apply(removal(LEAVING))
    assert all(d.find(LEAVING) is None for d in fleet.directories)
    await asyncio.sleep(0.5)
    fleet.apply(listing(LEAVING, sequence=2))
    fleet.apply(listing(LEAVING, sequence=3, service='other'))
    fleet.apply(listing(LEAVING, sequence=4))
    await asyncio.sleep(RESTART_S - asyncio.get_running_loop().time())
    fleet.apply(listing(LEAVING, born=BOOT_MS + 7_000))


@pytest.mark.parametrize('routers', [9, 30, 85, 195])
@on_paused_clock
async def test_endpoint_that_says_it_leaves_is_avoided_until_it_restarts(
    routers,
):
    """Guards against requests to an endpoint that the store calls ready.

    It lists the endpoint as ready after an outage, drops it and lists it
    again.
    """
    fleet = Fleet(routers)
    tasks = [asyncio.create_task(play_store(fleet))]
    for i in range(routers):
        tasks.append(asyncio.create_task(fleet.send_requests(i)))
        tasks.append(asyncio.create_task(fleet.send_reports(i)))
    await asyncio.sleep(END_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert fleet.told_s
    for router, told_s in fleet.told_s.items():
        late = [
            at_s
            for sender, at_s, boot_ms in fleet.arrivals
            if sender == router and boot_ms == BOOT_MS and at_s > told_s
        ]
        assert not late
    # All routers learn of it from the first reports.
    reported_s = min(fleet.told_s.values()) + fleet.report_interval_s
    assert not [
        at_s
        for _, at_s, boot_ms in fleet.arrivals
        if boot_ms == BOOT_MS and at_s > reported_s
    ]
    # The next start is used by all.
    senders = {sender for sender, _, boot in fleet.arrivals if boot != BOOT_MS}
    assert len(senders) >= 0.9 * routers


@on_paused_clock
async def test_endpoint_is_marked_whose_entry_lapsed_during_the_request():
    """Guards against an answer that marks an entry no longer in use."""
    directory = make_directory()
    await asyncio.sleep(REMOVED_AT_ONCE_S)
    entry = directory.find(LEAVING)
    directory.apply([removal(LEAVING)], 2)
    assert directory.find(LEAVING) is None
    directory.apply([listing(LEAVING, sequence=2)], 3)
    directory.mark_told_leaving(entry)
    assert LEAVING not in [
        e.endpoint.id for e in directory.candidates(SERVICE)
    ]


@on_paused_clock
async def test_answer_of_an_earlier_start_does_not_mark_the_next_one():
    """Guards against a restarted endpoint that is never used again."""
    directory = make_directory()
    entry = directory.find(LEAVING)
    directory.apply([listing(LEAVING, sequence=2, born=BOOT_MS + 1)], 2)
    directory.mark_told_leaving(entry)
    directory.mark_leaving(f'{LEAVING}@{BOOT_MS}', 'r-1')
    assert len(directory.candidates(SERVICE)) == ENDPOINTS
    # Another server has got the address.
    record = listing('s-9', address='127.0.0.1:1000')
    directory.apply([record], 3)
    assert len(directory.candidates(SERVICE)) == ENDPOINTS + 1


@on_paused_clock
async def test_report_on_an_endpoint_that_is_not_listed_yet_is_kept():
    """Guards against a new router that uses a leaving endpoint."""
    directory = make_directory()
    directory.mark_leaving(f's-9@{BOOT_MS}', 'r-1')
    directory.apply([listing('s-9')], 2)
    assert len(directory.candidates(SERVICE)) == ENDPOINTS


@on_paused_clock
async def test_endpoint_without_a_start_time_leaves_while_it_is_listed():
    """Guards against an id that is out of use for good."""
    directory = make_directory()
    await asyncio.sleep(REMOVED_AT_ONCE_S)
    directory.apply([listing('s-9', born=None)], 2)
    entry = directory.find('s-9')
    directory.mark_told_leaving(entry)
    directory.apply([listing('s-9', sequence=2, born=None)], 3)
    assert len(directory.candidates(SERVICE)) == ENDPOINTS
    directory.apply([removal('s-9')], 4)
    directory.apply([listing('s-9', sequence=3, born=None)], 5)
    assert len(directory.candidates(SERVICE)) == ENDPOINTS + 1
