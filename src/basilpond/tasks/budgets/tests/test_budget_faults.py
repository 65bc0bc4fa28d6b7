"""Random faults during requests: no overspend, one bill per request."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from basilpond.core import _codes
from basilpond_testkit import paused_clock

from .budget_world import DETECT_S
from .budget_world import make_world

NAMES = ('r1~1/dc1', 'r2~1/dc1', 'r3~1/dc1', 'r4~1/dc2')
ROUTERS = st.integers(0, len(NAMES) - 1)
STEPS = st.one_of(
    st.tuples(
        st.sampled_from(
            ('log', 'link', 'pause', 'silent', 'slow', 'lose_ack')
        ),
        ROUTERS,
        st.booleans(),
    ),
    st.tuples(st.sampled_from(('cut', 'lose_replies')), ROUTERS, ROUTERS),
    st.tuples(st.just('kill'), ROUTERS, st.booleans()),
)


class Scenario:
    """Applies steps; records the requests reported to callers as committed."""

    def __init__(self, world, routers):
        self.world = world
        self.routers = routers
        self.committed = set()
        self.started = 0
        self.requests = set()
        self.killed = False

    async def request(self, router):
        request_id = f'q{self.started}'
        self.started += 1
        try:
            hold = await router.hold(10, timeout_s=2)
        except _codes.RefusalError as error:
            assert error.outcome == _codes.Outcome.NOT_RUN
            return
        await asyncio.sleep(self.started % 7 * 0.1)
        charge_result = await router.charge(
            hold,
            request_id,
            tokens=self.started % 11,
            keyed=self.started % 2 == 0,
        )
        # A paused router sends no response before it resumes.
        await router.running.wait()
        if charge_result.committed and not router.killed:
            self.committed.add(request_id)

    async def step(self, kind, index, argument):
        world, router = self.world, self.routers[index]
        if kind == 'kill':
            # The loss of two routers at once may lose bills; see section 10
            # of docs/design.md.
            if not self.killed:
                self.killed = True
                await world.kill(router)
        elif kind == 'pause':
            router.running.clear()
            await asyncio.sleep(DETECT_S if argument else 0.3)
            if argument:
                world.set_lost(router)
        elif kind == 'log':
            world.log.faults.down = argument
        elif kind == 'link':
            router.link.faults.down = argument
        elif kind == 'silent':
            router.link.faults.silent = argument
        elif kind == 'slow':
            router.link.faults.append_delay_s = 0.8 * argument
        elif kind == 'lose_ack':
            router.link.faults.lose_acknowledgements = 2
        elif kind == 'cut':
            pair = (router.name, self.routers[argument].name)
            world.cuts ^= {frozenset(pair)}
        else:
            world.lose_replies ^= {(router.name, self.routers[argument].name)}

    def heal(self):
        self.world.cuts.clear()
        self.world.lose_replies.clear()
        self.world.log.faults.down = False
        for router in self.routers:
            faults = router.link.faults
            faults.down = faults.silent = False
            faults.append_delay_s = 0.0
            router.running.set()
            if not router.killed:
                self.world.set_lost(router, False)

    async def run(self, steps):
        tasks = set()
        for kind, index, argument in steps:
            for router in self.routers:
                if not router.killed:
                    for _ in range(2):
                        tasks.add(asyncio.ensure_future(self.request(router)))
            await asyncio.sleep(0.4)
            await self.step(kind, index, argument)
            await asyncio.sleep(1.1)
        await asyncio.sleep(4)
        self.heal()
        await asyncio.gather(*tasks)
        # Time to recover a lost holder and to empty the journals.
        await asyncio.sleep(20)


@given(
    st.lists(STEPS, min_size=1, max_size=12),
    st.sampled_from((150, 600, 20_000)),
)
@settings(max_examples=60)
def test_random_faults(steps, budget_tokens):
    """Guards against overspend, lost bills and double bills under faults."""

    async def run():
        async with make_world(*NAMES, budget_tokens=budget_tokens) as (
            world,
            *routers,
        ):
            scenario = Scenario(world, routers)
            await scenario.run(steps)
            counted, view = world.accepted_bills()
            assert scenario.committed <= set(counted)
            assert set(counted.values()) <= {1}
            for router in routers:
                if not router.killed:
                    assert router.budget._committer.unlogged == 0
                    assert router.budget._journal.used_bytes == 0
                    task = router.ledger_task
                    assert task.ledger.budget('org') == view
                else:
                    ledger = routers[index_of_live(routers)].ledger_task.ledger
                    assert not list(ledger.allotments_of(router.name))

    paused_clock.run(run())


def index_of_live(routers):
    return next(i for i, router in enumerate(routers) if not router.killed)
