"""Budgets of a fleet whose log comes back from a copy, on a paused clock."""

import asyncio
import random

import pytest

from basilpond_testkit.budget_fleet import BudgetFleet
from basilpond_testkit.paused_clock import run

ROUTERS = ('a', 'b', 'c', 'd', 'e')
BUDGETS_TOKENS = {'large': 400_000, 'small': 60_000}
REQUESTS_PER_S = 25.0


async def send_requests(fleet):
    """Send requests that exceed the budgets after some seconds."""
    tasks = set()
    try:
        while True:
            organisation = fleet.rng.choice(('large', 'large', 'small'))
            tokens = int(min(8_000, fleet.rng.expovariate(1 / 1_000)) + 50)
            if fleet.routers:
                task = asyncio.create_task(fleet.request(organisation, tokens))
                tasks.add(task)
            for task in [t for t in tasks if t.done()]:
                tasks.discard(task)
                task.result()
            await asyncio.sleep(fleet.rng.expovariate(REQUESTS_PER_S))
    finally:
        for task in tasks:
            task.cancel()


async def restore(fleet, *, age_s, outage_s):
    """Make the log unavailable and restore it from a copy."""
    lost_at_s = asyncio.get_running_loop().time()
    fleet.store.available = False
    await asyncio.sleep(outage_s)
    fleet.store.contents.restore(lost_at_s - age_s)
    fleet.store.available = True


async def cut(fleet, names, *, for_s, from_peers):
    """Cut routers off the log, and from the others, too."""
    cut_off = [fleet.routers[name] for name in names if name in fleet.routers]
    for router in cut_off:
        router.log.is_cut = True
        router.is_cut_off = from_peers
    await asyncio.sleep(for_s)
    for router in cut_off:
        router.log.is_cut = router.is_cut_off = False


async def simulate(seed, play):
    """Run a fleet with requests and a play of faults."""
    fleet = BudgetFleet(random.Random(seed), BUDGETS_TOKENS)
    for name in ROUTERS:
        fleet.start_router(name, is_first_start=True)
    await asyncio.sleep(2.0)
    requests = asyncio.create_task(send_requests(fleet))
    try:
        await play(fleet)
        fleet.check()
    finally:
        requests.cancel()
        await asyncio.gather(requests, return_exceptions=True)
        for name in list(fleet.routers):
            fleet.kill(name)
    return fleet


async def random_faults(fleet):
    """Restore the log twice, with kills, cuts and top-ups around it."""
    rng = fleet.rng
    jobs = []

    async def at(delay_s, job):
        await asyncio.sleep(delay_s)
        await job

    def add(job, first_s=0.0, last_s=14.0):
        delay_s = rng.uniform(first_s, last_s)
        jobs.append(asyncio.create_task(at(delay_s, job)))

    first_s = rng.uniform(1.0, 6.0)
    second_s = first_s + rng.uniform(2.5, 7.0)
    for start_s in (first_s, second_s):
        add(
            restore(
                fleet,
                age_s=rng.uniform(2.0, 15.0),
                outage_s=rng.uniform(0.3, 2.0),
            ),
            start_s,
            start_s,
        )
    for _ in range(rng.randrange(6)):
        add(fleet.restart(rng.choice(ROUTERS)))
    for _ in range(rng.randrange(3)):
        names = rng.sample(ROUTERS, rng.randrange(1, 4))
        add(
            cut(
                fleet,
                names,
                for_s=rng.uniform(0.5, 6.0),
                from_peers=rng.random() < 0.3,
            )
        )
    if rng.random() < 0.3:
        for name in ROUTERS:
            add(fleet.restart(name), 8.0, 8.2)
    for organisation in BUDGETS_TOKENS:
        if rng.random() < 0.5:
            await_s = rng.uniform(0.0, 14.0)

            async def top_up(organisation=organisation):
                fleet.top_up(organisation, 30_000)

            add(top_up(), await_s, await_s)
    await asyncio.gather(*jobs)
    await asyncio.sleep(8.0)


@pytest.mark.parametrize('seed', range(40))
def test_restored_log_grants_no_tokens_twice(seed):
    """Guards against budgets that are overspent when the log loses raises."""
    run(simulate(seed, random_faults))
