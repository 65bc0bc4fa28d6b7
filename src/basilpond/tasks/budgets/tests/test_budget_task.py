import asyncio

import pytest

from basilpond.core import _codes
from basilpond_testkit.paused_clock import on_paused_clock
from basilpond_testkit.paused_clock import wait_until

from .budget_world import DETECT_S
from .budget_world import make_world
from .budget_world import refusal


@on_paused_clock
async def test_bill_commits_through_the_log_first():
    """Guards against a journal commit while the log responds."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        charge_result = await r1.serve_request('a')
        assert charge_result.committed and charge_result.via == 'log'
        assert r2.calls['journal_append'] == 1
        assert world.accepted_bills()[0] == {'a': 1}


@on_paused_clock
async def test_log_down_for_an_hour():
    """Guards against lost bills, and against copies that stay in the journal
    after a long outage.
    """
    async with make_world('r1~1', 'r2~1', budget_tokens=10**6) as (
        world,
        r1,
        r2,
    ):
        await r1.serve_request('before')
        world.log.faults.down = True
        loop = asyncio.get_running_loop()
        for i in range(360):
            started_s = loop.time()
            charge_result = await r1.serve_request(f'a{i}')
            assert charge_result.committed and charge_result.via == 'journal'
            assert 0.25 <= loop.time() - started_s < 0.3
            await asyncio.sleep(9.7)
        assert r2.budget._journal.used_bytes > 0
        world.log.faults.down = False
        await wait_until(lambda: r1.budget._committer.unlogged == 0)
        await wait_until(lambda: r2.budget._journal.used_bytes == 0)
        counted, view = world.accepted_bills()
        assert len(counted) == 361 and set(counted.values()) == {1}
        assert view.spent_tokens == 3610


@on_paused_clock
async def test_lost_acknowledgements_bill_once():
    """Guards against a second charge by a repeated append or copy."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        await r1.serve_request('a')
        r1.link.faults.lose_acknowledgements = 5
        world.lose_replies.add(('r2~1', 'r1~1'))
        for i in range(5):
            assert (await r1.serve_request(f'b{i}', keyed=False)).committed
        world.lose_replies.clear()
        await asyncio.sleep(10)
        counted, _ = world.accepted_bills()
        assert set(counted.values()) == {1} and len(counted) == 6


@on_paused_clock
async def test_same_request_billed_by_two_routers():
    """Guards against a double charge of a retry on another router."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        holds = [await r.hold() for r in (r1, r2)]
        world.log.faults.down = True
        for router, hold in zip((r1, r2), holds, strict=True):
            charge_result = await router.charge(hold, 'a')
            assert charge_result.via == 'journal'
        world.log.faults.down = False
        await asyncio.sleep(5)
        duplicate = await r2.serve_request('a')
        assert duplicate.committed and duplicate.duplicate
        counted, view = world.accepted_bills()
        assert counted == {'a': 1} and view.spent_tokens == 10
        for allotment in r2.budget._accounts.allotments():
            view = r2.ledger_task.ledger.allotment(allotment.id)
            free = allotment.tokens - allotment.debited_tokens
            assert view.remaining_tokens == free


@on_paused_clock
async def test_holder_killed_with_the_log_down():
    """Guards against bills that are lost or doubled with their holder."""
    async with make_world('r1~1', 'r2~1', 'r3~1') as (world, r1, r2, r3):
        await r1.serve_request('a')
        world.log.faults.down = True
        for name in ('b', 'c'):
            charge_result = await r1.serve_request(name, keyed=False)
            assert charge_result.via == 'journal'
        await world.kill(r1)
        await asyncio.sleep(20)
        world.log.faults.down = False
        await wait_until(
            lambda: not list(r3.ledger_task.ledger.allotments_of('r1~1'))
        )
        counted, view = world.accepted_bills()
        assert counted == {'a': 1, 'b': 1, 'c': 1}
        await wait_until(lambda: r2.budget._journal.used_bytes == 0)


@pytest.mark.parametrize('other_allotment', [False, True])
@on_paused_clock
async def test_paused_holder_resumes_after_its_close(other_allotment):
    """Guards against a response that is billed on a closed allotment."""
    async with make_world('r1~1', 'r2~1', budget_tokens=100) as (
        world,
        r1,
        r2,
    ):
        hold = await r1.hold(60)
        r1.running.clear()
        await asyncio.sleep(DETECT_S)
        world.set_lost(r1)
        await wait_until(
            lambda: not list(r2.ledger_task.ledger.allotments_of('r1~1'))
        )
        if not other_allotment:
            assert (await r2.serve_request('b', 60)).committed
        waiting = asyncio.ensure_future(r1.charge(hold, 'a', wait_s=5))
        await asyncio.sleep(1)
        assert not waiting.done()
        r1.running.set()
        world.set_lost(r1, False)
        charge_result = await waiting
        assert charge_result.committed is other_allotment
        await asyncio.sleep(5)
        counted, view = world.accepted_bills()
        assert counted == ({'a': 1} if other_allotment else {'b': 1})


@on_paused_clock
async def test_copy_before_the_seal_is_billed_once():
    """Guards against a second bill of a request whose copy is in the close."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        hold = await r1.hold()
        r1.link.faults.down = True
        world.lose_replies.add(('r2~1', 'r1~1'))
        waiting = asyncio.ensure_future(
            r1.charge(hold, 'a', keyed=False, wait_s=60)
        )
        await asyncio.sleep(0.1)
        world.set_lost(r1)
        await wait_until(
            lambda: not list(r2.ledger_task.ledger.allotments_of('r1~1'))
        )
        world.lose_replies.clear()
        world.set_lost(r1, False)
        # The journal now rejects the copy, but the request must not be billed
        # again because of that.
        await asyncio.sleep(5)
        assert not waiting.done()
        r1.link.faults.down = False
        assert (await waiting).committed
        assert world.accepted_bills()[0] == {'a': 1}


@on_paused_clock
async def test_restarted_journal_peer_acknowledges_nothing():
    """Guards against a commit on copies that a restart has dropped."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        hold = await r1.hold()
        world.log.faults.down = True
        await world.kill(r2, detect=False)
        # The new process has the address before gossip detects the restart.
        world.routers['r2~1'] = world.add('r2~2')
        assert not (await r1.charge(hold, 'a', wait_s=5)).committed
        code = await refusal(r1.hold(timeout_s=1))
        assert code == _codes.ResultCode.ALLOTMENT_UNAVAILABLE
        del world.routers['r2~1']
        world.set_lost(r2)
        world.log.faults.down = False
        await asyncio.sleep(5)
        assert (await r1.serve_request('b')).committed
        world.log.faults.down = True
        assert (await r1.serve_request('c')).via == 'journal'
        world.log.faults.down = False
        await asyncio.sleep(5)
        assert world.accepted_bills()[0] == {'a': 1, 'b': 1, 'c': 1}


@on_paused_clock
async def test_two_allotments_survive_the_loss_of_one_journal_peer():
    """Guards against an outage in which the loss of one journal peer stops
    the service of an organisation.
    """
    async with make_world('r1~1', 'r2~1', 'r3~1') as (world, r1, r2, r3):
        await r1.serve_request('a')
        await asyncio.sleep(2)
        world.log.faults.down = True
        await r1.serve_request('b')
        peers = [r2, r3] if r2.calls['journal_append'] else [r3, r2]
        await world.kill(peers[0])
        assert (await r1.serve_request('c')).via == 'journal'
        await world.kill(peers[1])
        code = await refusal(r1.hold(timeout_s=1))
        assert code == _codes.ResultCode.ALLOTMENT_UNAVAILABLE
        world.log.faults.down = False
        await asyncio.sleep(5)
        assert world.accepted_bills()[0] == {'a': 1, 'b': 1, 'c': 1}


@on_paused_clock
async def test_data_centre_with_one_router():
    """Guards against a commit without any copy, and against an allotment
    without a journal peer that no router closes when its holder is lost.
    """
    async with make_world('r1~1/dc1', 'r2~1/dc2') as (world, r1, r2):
        assert (await r1.serve_request('a')).via == 'log'
        hold = await r1.hold()
        world.log.faults.down = True
        assert not (await r1.charge(hold, 'b', wait_s=2)).committed
        code = await refusal(r1.hold(timeout_s=1))
        assert code == _codes.ResultCode.ALLOTMENT_UNAVAILABLE
        world.log.faults.down = False
        await asyncio.sleep(2)
        await world.kill(r1)
        await asyncio.sleep(10)
        assert not list(r2.ledger_task.ledger.allotments_of('r1~1'))
        assert world.accepted_bills()[0] == {'a': 1, 'b': 1}


@on_paused_clock
async def test_exhausted_budget_is_refused_at_once():
    """Guards against requests that wait, and cause appends, although their
    budget is spent.
    """
    async with make_world('r1~1', 'r2~1', budget_tokens=10) as (world, r1, _):
        assert (await r1.serve_request('a')).committed
        await asyncio.sleep(1)
        appends = world.log.appends
        started_s = asyncio.get_running_loop().time()
        for _ in range(20):
            code = await refusal(r1.hold())
            assert code == _codes.ResultCode.BUDGET_EXHAUSTED
        assert asyncio.get_running_loop().time() == started_s
        assert world.log.appends == appends
        world.set_budget(20, version=2)
        await asyncio.sleep(0.1)
        assert (await r1.serve_request('b')).committed


@on_paused_clock
async def test_cancelled_hold_leaves_no_tokens_behind():
    """Guards against holds that remain after their caller has disconnected."""
    async with make_world('r1~1', 'r2~1', budget_tokens=10) as (world, r1, _):
        for delay_s in (0, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.07):
            task = asyncio.ensure_future(r1.hold())
            await asyncio.sleep(delay_s)
            task.cancel()
            (result,) = await asyncio.gather(task, return_exceptions=True)
            if not isinstance(result, BaseException):
                assert r1.budget.release(result)
                assert not r1.budget.release(result)
        assert (await r1.serve_request('a')).committed


@on_paused_clock
async def test_drain_returns_everything():
    """Guards against tokens and bills that are lost in a planned stop."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        hold = await r1.hold()
        waiting = asyncio.ensure_future(r1.budget.drain(30))
        await asyncio.sleep(1)
        assert await refusal(r1.hold()) == _codes.ResultCode.DRAINING
        assert (await r1.charge(hold, 'a')).committed
        assert await waiting
        _, view = world.accepted_bills()
        assert view.outstanding_tokens == 0 and view.spent_tokens == 10


@on_paused_clock
async def test_drain_with_the_log_down_reports_failure():
    """Guards against a drain that reports success with unlogged bills."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        hold = await r1.hold()
        world.log.faults.down = True
        assert (await r1.charge(hold, 'a')).via == 'journal'
        assert not await r1.budget.drain(3)
        assert not await r2.budget.drain(3)
