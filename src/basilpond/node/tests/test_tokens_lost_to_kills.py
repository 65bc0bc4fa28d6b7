"""Budgets of a fleet whose routers are killed, on a paused clock."""

import asyncio
import random

import pytest

from basilpond_testkit.budget_fleet import BudgetFleet
from basilpond_testkit.paused_clock import run

ORG = 'org'
LIMIT_TOKENS = 2_400_000
REQUEST_TOKENS = 2_000
# Time in which the requests use the whole budget.
USE_S = 30.0
# Part of a budget that callers may be refused, as only 0.97 has to be usable.
MAX_LOST_SHARE = 0.03
KILL_INTERVAL_S = 2.5
IDLE_S = 3.0


async def spend_all(fleet):
    """Send requests until none is served any more."""
    loop = asyncio.get_running_loop()
    interval_s = USE_S * REQUEST_TOKENS / LIMIT_TOKENS
    served, served_s = 0, loop.time()
    requests = set()
    while loop.time() - served_s < IDLE_S:
        if fleet.routers:
            request = asyncio.create_task(fleet.request(ORG, REQUEST_TOKENS))
            requests.add(request)
            request.add_done_callback(requests.discard)
        await asyncio.sleep(interval_s)
        if fleet.served > served:
            served, served_s = fleet.served, loop.time()
    await asyncio.gather(*requests)


async def lost_share(routers, kills, share, seed):
    """Return the part of a budget that nobody can use after kills."""
    rng = random.Random(seed)
    fleet = BudgetFleet(rng, {ORG: LIMIT_TOKENS})
    names = [f'r{i}' for i in range(routers)]
    for name in names:
        fleet.start_router(name, is_first_start=True)
    await asyncio.sleep(1.0)
    spending = asyncio.create_task(spend_all(fleet))
    for _ in range(kills):
        await asyncio.sleep(KILL_INTERVAL_S)
        killed = rng.sample(names, round(share * routers))
        await asyncio.gather(*(fleet.restart(name) for name in killed))
    await spending
    fleet.check()
    for name in names:
        fleet.kill(name)
    return 1 - fleet.spent_tokens[ORG] / LIMIT_TOKENS


@pytest.mark.parametrize(
    ('routers', 'kills', 'share'),
    [(3, 1, 1.0), (3, 8, 0.6), (9, 1, 1.0), (9, 8, 0.55), (30, 2, 1.0)],
)
def test_killed_routers_leave_the_budget_usable(routers, kills, share):
    """Guards against tokens below the ceilings that each kill loses.

    Replays one kill of three routers early in the day: a tenth of the budget
    was lost, and requests that fitted into 0.97 of it were refused for good.
    """
    lost = run(lost_share(routers, kills, share, seed=3))
    assert lost <= MAX_LOST_SHARE
