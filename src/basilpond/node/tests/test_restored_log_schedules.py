"""Schedules around a restore of the log that random faults rarely reach."""

import asyncio

import pytest

from basilpond.node._account_recovery import AccountRecovery
from basilpond.node._fleet_records import FLEET_TOPIC
from basilpond.node._fleet_records import era_record
from basilpond.routing import Allotments
from basilpond.routing import EraStatement
from basilpond.routing import EscrowAccounts
from basilpond_testkit.paused_clock import on_paused_clock
from basilpond_testkit.paused_clock import run

from .test_restored_log import ROUTERS
from .test_restored_log import restore
from .test_restored_log import simulate


class Events:
    def event(self, event, *, routine=False, **fields):
        pass


class Writer:
    """Producer whose appends get no response."""

    era = 1


@on_paused_clock
async def test_marker_of_a_first_start_is_not_written_in_a_later_era():
    """Guards against raises judged before lost accounts are written again.

    The first append of a router that starts with the fleet gets no response
    until the log has been restored.
    """
    recovery = AccountRecovery(
        'a~1',
        Writer(),
        accounts := EscrowAccounts(),
        Allotments('a~1', accounts),
        Events(),
        is_first_start=True,
    )
    recovery.begin_era(1)
    recovery.finish_snapshot(has_accounts=False)
    assert recovery.first_records() == [era_record(1)]
    recovery._writer.era = 2
    assert recovery.first_records() == []
    recovery.begin_era(2)
    assert recovery.first_records() == []
    recovery.confirm_written(EraStatement(2))
    assert not recovery.is_complete


async def cut_log_and_peers(fleet, name, *, log_s, peers_s):
    """Cut a router off the log and off the others, for different times."""
    router = fleet.routers[name]
    router.log.is_cut = router.is_cut_off = True
    await asyncio.sleep(min(log_s, peers_s))
    if log_s < peers_s:
        router.log.is_cut = False
        await asyncio.sleep(peers_s - log_s)
    router.log.is_cut = router.is_cut_off = False


async def return_before_others(fleet):
    """Let a router reach the restored log while it hears no other one."""
    await asyncio.sleep(3.0)
    cut = asyncio.create_task(
        cut_log_and_peers(fleet, 'e', log_s=4.0, peers_s=7.5)
    )
    await asyncio.sleep(3.0)
    others = [fleet.routers[name].log for name in 'abcd']
    for log in others:
        log.is_cut = True
    await restore(fleet, age_s=4.0, outage_s=1.0)
    await asyncio.sleep(0.3)
    for log in others:
        log.is_cut = False
    await cut
    completed = [
        (at_s, holder)
        for at_s, holder, event, _ in fleet.events
        if event == 'accounts_completed'
    ]
    returned_s = 2.0 + 3.0 + 3.0 + 1.0
    assert all(
        at_s >= returned_s + 1.9
        for at_s, holder in completed
        if holder.startswith('e~')
    ), completed


@pytest.mark.parametrize('seed', range(3))
def test_router_that_hears_no_other_does_not_complete_an_era_at_once(seed):
    """Guards against a marker of a router that missed the last raises.

    It was cut off the log and the other routers before the restore, and
    reaches the log again before them. Their accounts were not written yet.
    """
    run(simulate(seed, return_before_others))


async def keep_one_that_missed_raises(fleet):
    """Kill all routers but one that was cut off before the restore."""
    rng = fleet.rng
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    cut_s, outage_s = rng.uniform(1.0, 5.0), rng.uniform(1.0, 2.0)
    cut = asyncio.create_task(
        cut_log_and_peers(
            fleet, 'a', log_s=cut_s + outage_s, peers_s=cut_s + outage_s
        )
    )
    await asyncio.sleep(cut_s)
    restarts = [
        asyncio.create_task(fleet.restart(name))
        for name in ROUTERS
        if name != 'a'
    ]
    await restore(fleet, age_s=rng.uniform(2.0, 15.0), outage_s=outage_s)
    await asyncio.gather(cut, *restarts)
    await asyncio.sleep(10.0)


def test_survivor_that_missed_raises_does_not_complete_an_era():
    """Guards against tokens granted twice when one router is left.

    It was cut off while the others were granted raises, and remembers the
    accounts of the era before, but not those raises.
    """
    for seed in range(12):
        run(simulate(seed, keep_one_that_missed_raises))


async def overwrite_marker(fleet):
    """Execute a late append of an ended router: the marker of an older era."""
    await asyncio.sleep(1.0)
    await restore(fleet, age_s=2.0, outage_s=0.5)
    await asyncio.sleep(3.0)
    fleet.store.contents.append(
        FLEET_TOPIC,
        [era_record(1)],
        producer='ended~0',
        epoch=2,
        sequence=0,
        now_s=asyncio.get_running_loop().time(),
    )
    fleet.kill('a')
    await asyncio.sleep(1.0)
    router = fleet.start_router('a')
    await asyncio.sleep(8.0)
    assert router.budgets.knows_accounts


def test_late_marker_of_an_older_era_does_not_stop_raises():
    """Guards against routers that are never granted a raise again."""
    run(simulate(1, overwrite_marker))


@on_paused_clock
async def test_nothing_is_reserved_before_a_configuration_is_known():
    """Guards against a marker that reserves no tokens of any budget."""
    accounts = EscrowAccounts()
    writer = Writer()
    writer.appended = []
    allotments = Allotments('a~1', accounts)

    async def append(collect):
        writer.appended += collect()
        return True

    writer.append = append
    writer.era = 1
    recovery = AccountRecovery(
        'a~1', writer, accounts, allotments, Events(), is_first_start=False
    )
    recovery.begin_era(1)
    recovery.confirm_written(EraStatement(1, 1))
    await asyncio.sleep(10.0)
    await recovery.complete(reachable=True)
    assert not writer.appended
    allotments.set_limit('large', 1_000)
    await recovery.complete(reachable=True)
    assert [key for key, _ in writer.appended] == [
        'budget/large/reserve~1',
        'era/complete',
    ]
