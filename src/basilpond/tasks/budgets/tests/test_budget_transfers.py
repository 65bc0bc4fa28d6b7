import asyncio

import pytest

from basilpond.core import _codes
from basilpond.core import _records
from basilpond_testkit.paused_clock import on_paused_clock
from basilpond_testkit.paused_clock import wait_until

from .budget_world import ORGANISATION
from .budget_world import make_world
from .budget_world import refusal


@on_paused_clock
async def test_transfer_during_an_outage():
    """Guards against a new router that cannot serve without the log, and
    against bills that reach the log before their transfer.
    """
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        await r1.serve_request('a')
        world.log.faults.down = True
        r3 = world.add('r3~1')
        await asyncio.sleep(0.1)
        charge_result = await r3.serve_request('b')
        assert charge_result.via == 'journal'
        # The receiver's bill reaches the log before the donor's transfer.
        r1.link.faults.down = r2.link.faults.down = True
        world.log.faults.down = False
        await wait_until(lambda: r3.budget._committer.unlogged == 1)
        await asyncio.sleep(5)
        r1.link.faults.down = r2.link.faults.down = False
        await wait_until(lambda: r3.budget._committer.unlogged == 0)
        assert world.accepted_bills()[0] == {'a': 1, 'b': 1}


@pytest.mark.parametrize('donor_is_killed', [True, False])
@on_paused_clock
async def test_transfer_is_logged_by_its_receiver(donor_is_killed):
    """Guards against bills that wait until the donor is back, and against a
    transfer that is applied again when copies of the donor's entries arrive.
    """
    async with make_world('r1~1', 'r2~1', budget_tokens=200) as (
        world,
        r1,
        r2,
    ):
        await r1.serve_request('a')
        world.log.faults.down = True
        r3 = world.add('r3~1', 'dc2')
        # Without a journal peer, the receiver cannot commit yet.
        waiting = asyncio.ensure_future(r3.hold(timeout_s=30))
        await wait_until(lambda: any(r3.budget._accounts.allotments()))
        r1.link.faults.down = r2.link.faults.down = True
        world.log.faults.down = False
        hold = await waiting
        origin = hold.allotment.origin
        assert isinstance(origin, _records.Transfer)
        assert (await r3.charge(hold, 'b', wait_s=2)).via == 'log'
        if donor_is_killed:
            await world.kill(r1)
        r1.link.faults.down = r2.link.faults.down = False
        await asyncio.sleep(20)
        counted, view = world.accepted_bills()
        assert counted == {'a': 1, 'b': 1}
        assert not r3.budget._committer.unlogged
        if not donor_is_killed:
            copies = [
                record
                for entry in world.log.entries('ledger')
                for record in _records.decode_batch(entry.payload).records
                if record == origin
            ]
            assert len(copies) == 2
            allotment = r1.budget._accounts.get(origin.allotment)
            donor_view = r1.ledger_task.ledger.allotment(origin.allotment)
            if allotment is not None:
                free = allotment.tokens - allotment.debited_tokens
                assert donor_view.remaining_tokens == free


@on_paused_clock
async def test_router_without_the_log_receives_a_transfer():
    """Guards against a return to the budget when the requesting router does
    not reach the log and cannot obtain a grant.
    """
    async with make_world('r1~1', 'r2~1', 'r3~1', budget_tokens=200) as (
        world,
        r1,
        r2,
        r3,
    ):
        r3.link.faults.down = True
        await asyncio.sleep(1.5)
        # Only the other two have tokens, and both reach the log.
        for router in (r1, r2):
            await router.serve_request(router.name)
        charge_result = await r3.serve_request('a', 10)
        assert charge_result.committed
        r3.link.faults.down = False
        await asyncio.sleep(5)
        assert world.accepted_bills()[0]['a'] == 1


@pytest.mark.parametrize('closed_first', [True, False])
@on_paused_clock
async def test_transfer_that_its_donor_did_not_commit(closed_first):
    """Guards against a transfer from an allotment of another router, or one
    that comes after the journal peer has closed the allotment without it.
    """
    async with make_world('r1~1', 'r2~1', 'r3~1', budget_tokens=100) as (
        world,
        r1,
        r2,
        r3,
    ):
        hold = await r1.hold(50)
        donor = r1 if closed_first else r2
        forged = _records.Transfer(
            hold.allotment.id, 1, ORGANISATION, 50, 'x/1', 'r3~1', None
        )
        if closed_first:
            r1.running.clear()
            world.set_lost(r1)
            await wait_until(
                lambda: not list(r3.ledger_task.ledger.allotments_of('r1~1'))
            )
        r3.budget._refill._exchange.receive_transfer(
            donor.member, _records.encode_record(forged)
        )
        await asyncio.sleep(2)
        assert r3.budget._accounts.get('x/1') is None
        view = r3.ledger_task.ledger.allotment('x/1')
        assert view is None or view.closed
        r1.running.set()
        world.set_lost(r1, False)
        assert (await r1.charge(hold, 'a')).committed
        assert world.accepted_bills()[0] == {'a': 1}


@pytest.mark.parametrize('committed', [True, False])
@on_paused_clock
async def test_transfer_whose_reply_or_commit_is_missing(committed):
    """Guards against tokens that no router can use after a lost reply, and
    against a transfer that the receiver spends although its donor may lose it.
    """
    async with make_world('r1~1', 'r2~1', 'r3~1') as (world, r1, r2, r3):
        await r1.serve_request('a')
        others = [r2, r3] if r2.calls['journal_append'] else [r3, r2]
        peer, receiver = others
        world.log.faults.down = True
        if committed:
            world.lose_replies.add((r1.name, receiver.name))
        else:
            world.cuts.add(frozenset((r1.name, peer.name)))
        code = await refusal(receiver.hold(timeout_s=5))
        assert code == _codes.ResultCode.ALLOTMENT_UNAVAILABLE
        world.lose_replies.clear()
        world.cuts.clear()
        world.log.faults.down = False
        await asyncio.sleep(5)
        views = list(receiver.ledger_task.ledger.allotments_of(receiver.name))
        assert views
        assert {view.allotment for view in views} == {
            allotment.id
            for allotment in receiver.budget._accounts.allotments()
        }


@on_paused_clock
async def test_copy_of_a_lost_peer_does_not_commit():
    """Guards against a commit on a copy that its journal peer has lost."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        hold = await r1.hold()
        world.log.faults.down = True
        waiting = asyncio.ensure_future(r1.charge(hold, 'a', wait_s=2))
        await asyncio.sleep(0.1)
        assert r2.calls['journal_append'] == 1
        world.set_lost(r2)
        assert not (await waiting).committed


@on_paused_clock
async def test_two_waiting_routers_merge_their_remainders():
    """Guards against routers that wait for each other's remainder."""
    async with make_world('r1~1', 'r2~1', budget_tokens=60) as (_, r1, r2):
        holds = [await r.hold(30) for r in (r1, r2)]
        waiting = [
            asyncio.ensure_future(r.hold(50, timeout_s=8)) for r in (r1, r2)
        ]
        await asyncio.sleep(0.5)
        for router, hold in zip((r1, r2), holds, strict=True):
            router.budget.release(hold)
        done, _ = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        assert done.pop().exception() is None
        await asyncio.gather(*waiting, return_exceptions=True)


@on_paused_clock
async def test_last_tokens_of_a_budget_over_several_routers():
    """Guards against refusals although the remainders of several routers
    together would serve the request.
    """
    names = [f'r{i}~1' for i in range(4)]
    async with make_world(*names, budget_tokens=1000) as (world, *routers):

        async def serve(i):
            hold = await routers[i % 4].hold(50, timeout_s=10)
            await asyncio.sleep(0.2)
            return await routers[i % 4].charge(hold, f'a{i}', tokens=20)

        # The bounds together are 2,250 tokens, the bills 900; the last hold
        # needs 50 of the 120 tokens that are left before it.
        charge_results = await asyncio.gather(*(serve(i) for i in range(45)))
        assert all(s.committed for s in charge_results)
        counted, view = world.accepted_bills()
        assert len(counted) == 45 and view.spent_tokens == 900
        for i in range(45, 47):
            assert (await serve(i)).committed
        assert (await serve(47)).committed
        code = await refusal(routers[0].hold(50, timeout_s=10))
        assert code == _codes.ResultCode.BUDGET_EXHAUSTED
