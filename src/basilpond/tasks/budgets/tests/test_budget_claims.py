import asyncio

from basilpond.core import _codes
from basilpond.tasks.budgets import _budget_interfaces
from basilpond_testkit.paused_clock import on_paused_clock

from .budget_world import ORGANISATION
from .budget_world import make_world
from .budget_world import refusal

ClaimState = _budget_interfaces.ClaimState


@on_paused_clock
async def test_claim_results():
    """Guards against a second run of a non-idempotent request."""
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):

        async def claim(router, key, digest='d'):
            claim_result = await router.budget.claim(
                ORGANISATION, key, digest, timeout_s=2
            )
            return claim_result.state

        hold = await r1.hold()
        results = await asyncio.gather(
            claim(r1, 'k'), claim(r1, 'k'), claim(r2, 'k')
        )
        assert sorted(results) == ['in_progress', 'in_progress', 'won']
        assert await claim(r2, 'k', 'other') == ClaimState.OTHER_BODY
        assert (await r1.charge(hold, 'k')).committed
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
    """Guards against a request that no router may run any more, because the
    claim was won after its timeout.
    """
    async with make_world('r1~1', 'r2~1') as (world, r1, r2):
        await r1.serve_request('a')
        r1.link.faults.append_delay_s = 0.9
        code = await refusal(
            r1.budget.claim(ORGANISATION, 'k', 'd', timeout_s=0.2)
        )
        assert code == _codes.ResultCode.CLAIM_LOG_UNAVAILABLE
        await asyncio.sleep(5)
        claim_result = await r2.budget.claim(
            ORGANISATION, 'k', 'd', timeout_s=2
        )
        assert claim_result.state == ClaimState.WON
        world.log.faults.down = True
        await asyncio.sleep(3)
        code = await refusal(
            r1.budget.claim(ORGANISATION, 'm', 'd', timeout_s=2)
        )
        assert code == _codes.ResultCode.CLAIM_LOG_UNAVAILABLE
