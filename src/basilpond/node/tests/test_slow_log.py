import asyncio

import pytest

from basilpond.node._budgets import HoldRejection
from basilpond.node.tests.test_follower import LINK_BYTES_PER_S
from basilpond.node.tests.test_follower import reader
from basilpond_testkit.paused_clock import on_paused_clock
from basilpond_testkit.slow_link_log import SlowLinkLog


class SlowLog(SlowLinkLog):
    answer_s = 0.0

    async def _answer(self, timeout_s):
        await asyncio.sleep(self.answer_s)
        await super()._answer(timeout_s)


@pytest.mark.parametrize('answer_s', [0.0, 0.088, 0.15, 0.24])
def test_requests_wait_for_tokens_of_a_slow_log(answer_s):
    """Guards against refusals while a grant is pending.

    Appends of over 0.1 s counted as an outage, in which only other routers
    can provide tokens. The requests exceed the allotment of an idle router.
    """

    @on_paused_clock
    async def simulate():
        log = SlowLog(LINK_BYTES_PER_S)
        async with reader(log) as router:
            await asyncio.sleep(5)
            log.answer_s = answer_s
            await asyncio.sleep(5)
            router.budgets.allotments.set_limit('org', 1_000_000)
            for _ in range(10):
                hold = await router.budgets.hold('org', 90_000, 5.0)
                assert not isinstance(hold, HoldRejection)

    simulate()
