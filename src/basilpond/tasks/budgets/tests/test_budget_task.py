import asyncio

import pytest

from basilpond.core import _codes
from basilpond.core import _manifest
from basilpond.core import _records
from basilpond.tasks.budgets import _budget_interfaces
from basilpond_testkit.paused_clock import on_paused_clock
from basilpond_testkit.paused_clock import wait_until

from .budget_world import DETECT_S
from .budget_world import ORGANISATION
from .budget_world import make_world

ClaimState = _budget_interfaces.ClaimState


async def refusal(awaitable):
    with pytest.raises(_codes.RefusalError) as caught:
        await awaitable
    assert caught.value.outcome == _codes.Outcome.NOT_RUN
    return caught.value.code


@on_paused_clock
async def test_bill_commits_through_the_log_first():
    """Guards against a journal commit while the log responds."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        settlement = await r1.serve_request('a')
        assert settlement.committed and settlement.via == 'log'
        assert r2.calls['journal_append'] == 1
        assert world.accepted_bills()[0] == {'a': 1}


@on_paused_clock
async def test_log_down_for_an_hour():
    """Guards against lost bills and unbounded copies in a long outage."""
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
            settlement = await r1.serve_request(f'a{i}')
            assert settlement.committed and settlement.via == 'journal'
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
            settlement = await router.settle(hold, 'a')
            assert settlement.via == 'journal'
        world.log.faults.down = False
        await asyncio.sleep(5)
        duplicate = await r2.serve_request('a')
        assert duplicate.committed and duplicate.duplicate
        counted, view = world.accepted_bills()
        assert counted == {'a': 1} and view.spent_tokens == 10
        for account in r2.budget._accounts.allotments():
            view = r2.ledger_task.ledger.allotment(account.id)
            free = account.tokens - account.debited_tokens
            assert view.remaining_tokens == free


@on_paused_clock
async def test_holder_killed_with_the_log_down():
    """Guards against bills that are lost or doubled with their holder."""
    async with make_world('r1~1', 'r2~1', 'r3~1') as (world, r1, r2, r3):
        await r1.serve_request('a')
        world.log.faults.down = True
        for name in ('b', 'c'):
            settlement = await r1.serve_request(name, keyed=False)
            assert settlement.via == 'journal'
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
    """Guards against a response that a closed allotment pays for."""
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
        waiting = asyncio.ensure_future(r1.settle(hold, 'a', wait_s=5))
        await asyncio.sleep(1)
        assert not waiting.done()
        r1.running.set()
        world.set_lost(r1, False)
        settlement = await waiting
        assert settlement.committed is other_allotment
        await asyncio.sleep(5)
        counted, view = world.accepted_bills()
        assert counted == ({'a': 1} if other_allotment else {'b': 1})


@on_paused_clock
async def test_copy_before_the_seal_is_billed_once():
    """Guards against a rebill of an entry whose copy is in the close."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        hold = await r1.hold()
        r1.link.faults.down = True
        world.lose_replies.add(('r2~1', 'r1~1'))
        waiting = asyncio.ensure_future(
            r1.settle(hold, 'a', keyed=False, wait_s=60)
        )
        await asyncio.sleep(0.1)
        world.set_lost(r1)
        await wait_until(
            lambda: not list(r2.ledger_task.ledger.allotments_of('r1~1'))
        )
        world.lose_replies.clear()
        world.set_lost(r1, False)
        # The journal rejects the copy now, which is no reason to bill again.
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
        # The new process takes the address before gossip has noticed.
        world.routers['r2~1'] = world.add('r2~2')
        assert not (await r1.settle(hold, 'a', wait_s=5)).committed
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
    """Guards against one lost peer that stops service in an outage."""
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
    """Guards against a commit without any copy, and against a stranded
    allotment of a lost router without a journal peer.
    """
    async with make_world('r1~1/dc1', 'r2~1/dc2') as (world, r1, r2):
        assert (await r1.serve_request('a')).via == 'log'
        hold = await r1.hold()
        world.log.faults.down = True
        assert not (await r1.settle(hold, 'b', wait_s=2)).committed
        code = await refusal(r1.hold(timeout_s=1))
        assert code == _codes.ResultCode.ALLOTMENT_UNAVAILABLE
        world.log.faults.down = False
        await asyncio.sleep(2)
        await world.kill(r1)
        await asyncio.sleep(10)
        assert not list(r2.ledger_task.ledger.allotments_of('r1~1'))
        assert world.accepted_bills()[0] == {'a': 1, 'b': 1}


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
        settlement = await r3.serve_request('b')
        assert settlement.via == 'journal'
        # Another holder's bill is in the log before the donor's transfer.
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
    """Guards against bills that wait for the return of the donor, and
    against a transfer that is applied again by the donor's copies.
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
        assert (await r3.settle(hold, 'b', wait_s=2)).via == 'log'
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
            account = r1.budget._accounts.get(origin.allotment)
            fold = r1.ledger_task.ledger.allotment(origin.allotment)
            if account is not None:
                free = account.tokens - account.debited_tokens
                assert fold.remaining_tokens == free


@on_paused_clock
async def test_router_without_the_log_asks_one_that_has_it():
    """Guards against a return to the budget that the asker cannot use."""
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
        settlement = await r3.serve_request('a', 10)
        assert settlement.committed
        r3.link.faults.down = False
        await asyncio.sleep(5)
        assert world.accepted_bills()[0]['a'] == 1


@pytest.mark.parametrize('closed_first', [True, False])
@on_paused_clock
async def test_transfer_that_its_donor_did_not_commit(closed_first):
    """Guards against tokens that a peer gives away from an allotment of
    another router, or after its journal peer has closed it without them.
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
            donor.member, _records.encode(forged)
        )
        await asyncio.sleep(2)
        assert r3.budget._accounts.get('x/1') is None
        view = r3.ledger_task.ledger.allotment('x/1')
        assert view is None or view.closed
        r1.running.set()
        world.set_lost(r1, False)
        assert (await r1.settle(hold, 'a')).committed
        assert world.accepted_bills()[0] == {'a': 1}


@pytest.mark.parametrize('committed', [True, False])
@on_paused_clock
async def test_transfer_whose_reply_or_commit_is_missing(committed):
    """Guards against tokens that strand with a lost reply, and against a
    transfer that the receiver spends but its donor may lose.
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
            account.id for account in receiver.budget._accounts.allotments()
        }


@on_paused_clock
async def test_copy_of_a_lost_peer_does_not_commit():
    """Guards against a commit on a copy that is lost with its keeper."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        hold = await r1.hold()
        world.log.faults.down = True
        waiting = asyncio.ensure_future(r1.settle(hold, 'a', wait_s=2))
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
async def test_tail_of_a_budget_over_several_routers():
    """Guards against false refusals while remainders are spread out."""
    names = [f'r{i}~1' for i in range(4)]
    async with make_world(*names, budget_tokens=1000) as (world, *routers):

        async def serve(i):
            hold = await routers[i % 4].hold(50, timeout_s=10)
            await asyncio.sleep(0.2)
            return await routers[i % 4].settle(hold, f'a{i}', tokens=20)

        # The bounds together are 2,250 tokens, the bills 900; the last hold
        # needs 50 of the 120 tokens that are left before it.
        settlements = await asyncio.gather(*(serve(i) for i in range(45)))
        assert all(s.committed for s in settlements)
        counted, view = world.accepted_bills()
        assert len(counted) == 45 and view.spent_tokens == 900
        for i in range(45, 47):
            assert (await serve(i)).committed
        assert (await serve(47)).committed
        code = await refusal(routers[0].hold(50, timeout_s=10))
        assert code == _codes.ResultCode.BUDGET_EXHAUSTED


@on_paused_clock
async def test_exhausted_budget_is_refused_at_once():
    """Guards against a queue and appends for a budget that is spent."""
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
    """Guards against holds of callers that have left."""
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
    """Guards against tokens and bills that strand at a planned stop."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        hold = await r1.hold()
        waiting = asyncio.ensure_future(r1.budget.drain(30))
        await asyncio.sleep(1)
        assert await refusal(r1.hold()) == _codes.ResultCode.DRAINING
        assert (await r1.settle(hold, 'a')).committed
        assert await waiting
        _, view = world.accepted_bills()
        assert view.outstanding_tokens == 0 and view.spent_tokens == 10


@on_paused_clock
async def test_drain_with_the_log_down_reports_failure():
    """Guards against a stop that claims to have logged its bills."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        hold = await r1.hold()
        world.log.faults.down = True
        assert (await r1.settle(hold, 'a')).via == 'journal'
        assert not await r1.budget.drain(3)
        assert not await r2.budget.drain(3)


@on_paused_clock
async def test_claim_verdicts():
    """Guards against a second run of a non-idempotent request."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):

        async def claim(router, key, digest='d'):
            verdict = await router.budget.claim(
                ORGANISATION, key, digest, timeout_s=2
            )
            return verdict.state

        hold = await r1.hold()
        results = await asyncio.gather(
            claim(r1, 'k'), claim(r1, 'k'), claim(r2, 'k')
        )
        assert sorted(results) == ['in_progress', 'in_progress', 'won']
        assert await claim(r2, 'k', 'other') == ClaimState.OTHER_BODY
        assert (await r1.settle(hold, 'k')).committed
        await asyncio.sleep(0.1)
        assert await claim(r2, 'k') == ClaimState.BILLED
        assert r2.budget.recorded_bill(ORGANISATION, 'k').tokens == 10
        assert await claim(r1, 'm') == ClaimState.WON
        await r1.budget.abandon_claim(ORGANISATION, 'm')
        await asyncio.sleep(0.2)
        assert await claim(r2, 'm') == ClaimState.WON
        r1.lost.add('r2~1')
        assert await claim(r1, 'm') == ClaimState.UNKNOWN


@on_paused_clock
async def test_claim_that_wins_too_late_is_abandoned():
    """Guards against a key that no router may ever run."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        await r1.serve_request('a')
        r1.link.faults.append_delay_s = 0.9
        code = await refusal(
            r1.budget.claim(ORGANISATION, 'k', 'd', timeout_s=0.2)
        )
        assert code == _codes.ResultCode.CLAIM_LOG_UNAVAILABLE
        await asyncio.sleep(5)
        verdict = await r2.budget.claim(ORGANISATION, 'k', 'd', timeout_s=2)
        assert verdict.state == ClaimState.WON
        world.log.faults.down = True
        await asyncio.sleep(3)
        code = await refusal(
            r1.budget.claim(ORGANISATION, 'm', 'd', timeout_s=2)
        )
        assert code == _codes.ResultCode.CLAIM_LOG_UNAVAILABLE


def make_manifest(tokens):
    return _manifest.Manifest(
        organisations=[
            _manifest.Organisation(
                id=ORGANISATION,
                key_sha256=['0' * 64],
                top_ups=[_manifest.TopUp('t1', tokens)],
                endpoints=[],
            )
        ],
        endpoints=[],
    )


@on_paused_clock
async def test_budgets_are_copied_once():
    """Guards against an append per router, and against older versions."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        await asyncio.sleep(0.1)
        appends = world.log.appends
        for router in (r2, r1):
            router.budget.set_budgets(make_manifest(50_000), 7)
            router.budget.set_budgets(make_manifest(1), 6)
        await asyncio.sleep(0.1)
        view = r2.ledger_task.ledger.budget(ORGANISATION)
        assert view.budget_tokens == 50_000
        assert world.log.appends - appends == 1
        await asyncio.sleep(5)
        ledger = r2.ledger_task.ledger
        assert ledger.budget_version(ORGANISATION) == 7
        # Few organisations: each router keeps stock before any request.
        assert list(ledger.allotments_of('r1~1'))
        assert list(ledger.allotments_of('r2~1'))


@pytest.mark.parametrize(
    ('folded', 'undone'), [(1_000, 50_000), (50_000, 1_000)]
)
@pytest.mark.parametrize(
    ('late_s', 'append_delay_s'), [(0.0, 0.3), (0.0, 0.9), (3.0, 0.3)]
)
@on_paused_clock
async def test_undone_budget_is_not_copied_late(
    folded, undone, late_s, append_delay_s
):
    """Guards against a total that a later manifest has undone: a router that
    still has the earlier one copies it, and the budget could be exceeded.
    """
    async with make_world(
        'r1~1', 'r2~1', budget_tokens=folded, settings={'budget_delay_s': 0.5}
    ) as (world, r1, r2):
        await asyncio.sleep(0.1)
        r1.link.faults.append_delay_s = append_delay_s
        r1.budget.set_budgets(make_manifest(folded), 9)
        await asyncio.sleep(late_s)
        r2.budget.set_budgets(make_manifest(undone), 8)
        await asyncio.sleep(8)
        ledger = r2.ledger_task.ledger
        assert ledger.budget(ORGANISATION).budget_tokens == folded
        assert ledger.budget_version(ORGANISATION) == 9
        assert world.accepted_bills()[1].budget_tokens == folded


@on_paused_clock
async def test_a_manifest_costs_few_budget_records():
    """Guards against a record per organisation and manifest version."""

    def manifest(changed_tokens):
        return _manifest.Manifest(
            organisations=[
                _manifest.Organisation(
                    id=f'o{i}',
                    key_sha256=[f'{i:064}'],
                    top_ups=[_manifest.TopUp('t', changed_tokens)]
                    if i == 50
                    else [_manifest.TopUp('t', 1_000)],
                    endpoints=[],
                )
                for i in range(100)
            ],
            endpoints=[],
        )

    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        await asyncio.sleep(0.1)
        for router in (r1, r2):
            router.budget.set_budgets(manifest(1_000), 2)
        await asyncio.sleep(10)
        for version, tokens in ((3, 1_000), (4, 2_000), (5, 1_000)):
            before = len(budget_records(world))
            for router in (r1, r2):
                router.budget.set_budgets(manifest(tokens), version)
            await asyncio.sleep(10)
            assert len(budget_records(world)) == before + 1
            ledger = r1.ledger_task.ledger
            assert ledger.budget('o50').budget_tokens == tokens


def budget_records(world):
    return [
        record
        for entry in world.log.entries('ledger')
        for record in _records.decode_batch(entry.payload).records
        if isinstance(record, _records.BudgetSet)
    ]
