import asyncio

import msgspec

from basilpond.node import Record
from basilpond.node._directory import EndpointDirectory
from basilpond.platform import JsonPlatformCodec
from basilpond_testkit.paused_clock import on_paused_clock

# Interval between responses to reads of a topic without new records.
READ_INTERVAL_S = 1.25


class NullDecisionLog:
    def event(self, name, **fields):
        pass


def entry(offset, name='s-1', **changes):
    value = {
        'service': 'app',
        'address': '127.0.0.1:1000',
        'zone': 'dc',
        'slots': 6,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': offset,
        'version': 'v',
        'born': 1,
        **changes,
    }
    return Record(offset, name, msgspec.json.encode(value))


def removal(offset, name='s-1'):
    return Record(offset, name, None)


def make_directory():
    directory = EndpointDirectory(JsonPlatformCodec(), NullDecisionLog(), 10.0)
    directory.apply_newest([entry(0)], 1, snapshot=True)
    directory.update_reachability(reachable=True)
    return directory


async def pass_time(directory, reads):
    for _ in range(reads):
        await asyncio.sleep(READ_INTERVAL_S)
        directory.update_reachability(reachable=True)


@on_paused_clock
async def test_removed_endpoint_is_not_kept_after_a_short_outage():
    """Guards against requests to an endpoint after its time to leave.

    After one failed read on a slow link, the router waited for the endpoint's
    return as after an outage of the store, again after each failure.
    """
    directory = make_directory()
    await pass_time(directory, 8)
    directory.update_reachability(reachable=False)
    await asyncio.sleep(0.4)
    directory.update_reachability(reachable=True)
    directory.apply([removal(1)], 2)
    assert not directory.candidates('app')


@on_paused_clock
async def test_entry_that_lapsed_in_an_outage_is_kept_for_some_time():
    """Guards against a service without endpoints after an outage."""
    directory = make_directory()
    await pass_time(directory, 8)
    directory.update_reachability(reachable=False)
    await asyncio.sleep(4.0)
    directory.update_reachability(reachable=True)
    directory.apply([removal(1)], 2)
    directory.apply([entry(2)], 3)
    await asyncio.sleep(5.0)
    assert directory.candidates('app')
    directory.apply([removal(3)], 4)
    assert not directory.candidates('app')


@on_paused_clock
async def test_entry_still_missing_after_an_outage_is_removed():
    """Guards against terminated endpoints that are never removed."""
    directory = make_directory()
    await pass_time(directory, 8)
    directory.update_reachability(reachable=False)
    await asyncio.sleep(4.0)
    directory.update_reachability(reachable=True)
    directory.apply([removal(1)], 2)
    await asyncio.sleep(1.9)
    assert directory.candidates('app')
    await asyncio.sleep(0.2)
    assert not directory.candidates('app')


@on_paused_clock
async def test_late_421_does_not_remove_the_next_start():
    """Guards against the loss of an endpoint that has started again.

    A request was under way to the former address when the endpoint started
    again under its id; the 421 from there removed the new start.
    """
    directory = make_directory()
    former = directory.find('s-1')
    directory.apply([entry(1, born=2, address='127.0.0.1:2000')], 2)
    directory.mark_misdirected(former)
    assert directory.candidates('app')
