"""Routers with real ledgers on a fake log and a fake peer network."""

import asyncio
import collections
import contextlib
import dataclasses

import pytest

from basilpond import protocol
from basilpond.core import _codes
from basilpond.core import _ledger
from basilpond.core import _records
from basilpond.tasks.budgets import _budget_interfaces
from basilpond.tasks.budgets import _budget_task
from basilpond.tasks.budgets import _ledger_task
from basilpond_testkit import fake_log
from basilpond_testkit import fake_peers

ORGANISATION = 'org'
DETECT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Member:
    incarnation_id: str
    router_id: str
    data_centre: str


class Router:
    """Router under test; also its `Members` and `Peers`."""

    def __init__(self, world, name, data_centre, **settings):
        self.world = world
        self.member = Member(name, name.rpartition('~')[0], data_centre)
        self.running = asyncio.Event()
        self.running.set()
        self.killed = False
        self.lost = set()
        self.calls = collections.Counter()
        # A paused router does not reach the link, on which faults are set.
        self.link = world.log.connect(timeout_s=1.0)
        self.ledger_task = _ledger_task.LedgerTask(
            fake_peers.PausableLink(self.link, self.running.wait),
            name,
            live_routers=lambda: [m.incarnation_id for m in self.live()],
        )
        self.budget = _budget_task.BudgetTask(
            self.ledger_task,
            self,
            self,
            incarnation=name,
            settings=_budget_interfaces.BudgetSettings(
                data_centre=data_centre,
                **{'initial_bound_tokens': 10, **settings},
            ),
        )
        self._tasks = [
            asyncio.ensure_future(self.ledger_task.run()),
            asyncio.ensure_future(self.budget.run()),
        ]

    @property
    def name(self):
        return self.member.incarnation_id

    def live(self):
        return tuple(
            router.member
            for router in self.world.routers.values()
            if router is not self and router.name not in self.lost
        )

    def is_lost(self, incarnation_id):
        return incarnation_id in self.lost

    async def call(self, member, frame, *, timeout_s):
        reply = self.world.deliver(
            self, member.incarnation_id, fake_peers.recode(frame)
        )
        return fake_peers.recode(
            await fake_peers.reply_in_time(reply, timeout_s)
        )

    async def serve(self, frame):
        reply = protocol.Frame(call_id=frame.call_id, is_reply=True)
        if frame.journal_append is not None:
            self.calls['journal_append'] += 1
            reply.journal_reply = self.budget.serve_journal_append(
                frame.journal_append
            )
        else:
            self.calls['ask_allotment'] += 1
            reply.ask_allotment_reply = await self.budget.serve_ask_allotment(
                frame.ask_allotment
            )
        return reply

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def hold(self, tokens=10, timeout_s=3.0):
        return self.budget.hold(ORGANISATION, tokens, timeout_s=timeout_s)

    def charge(self, hold, request_id, *, tokens=None, keyed=True, wait_s=5):
        draft = _budget_interfaces.BillDraft(
            request_id=request_id,
            tokens=hold.tokens if tokens is None else tokens,
            outcome='complete',
            body_digest='d',
            endpoint='e',
            keyed=keyed,
        )
        return self.budget.charge(hold, draft, timeout_s=wait_s)

    async def serve_request(self, request_id, tokens=10, **kwargs):
        hold = await self.hold(tokens)
        return await self.charge(hold, request_id, **kwargs)


class World:
    """Log, routers and the network between them."""

    def __init__(self, **log_options):
        self.log = fake_log.FakeLog(**log_options)
        self.routers = {}
        self.cuts = set()
        self.lose_replies = set()
        self.delay_s = 0.001

    def add(self, name, data_centre='dc1', **settings):
        router = Router(self, name, data_centre, **settings)
        self.routers[name] = router
        return router

    def set_budget(self, tokens, version=1):
        record = _records.BudgetSet(ORGANISATION, tokens, version)
        batch = _records.Batch(f'operator~{version}', 1, [record])
        self.log.write('ledger', _records.encode_record(batch))

    async def deliver(self, sender, target, frame):
        router = self.routers.get(target)
        if (
            router is None
            or router.killed
            or frozenset((sender.name, target)) in self.cuts
        ):
            # Models an open connection that stops responding without an error.
            await asyncio.sleep(3600)
        await sender.running.wait()
        await asyncio.sleep(self.delay_s)
        await router.running.wait()
        reply = await router.serve(frame)
        if (target, sender.name) in self.lose_replies:
            await asyncio.sleep(3600)
        await router.running.wait()
        await asyncio.sleep(self.delay_s)
        await sender.running.wait()
        return reply

    async def kill(self, router, *, detect=True):
        router.killed = True
        await router.stop()
        del self.routers[router.name]
        if detect:
            await asyncio.sleep(DETECT_S)
            self.set_lost(router)

    def set_lost(self, router, lost=True):
        for other in self.routers.values():
            if other is not router:
                (other.lost.add if lost else other.lost.discard)(router.name)

    def accepted_bills(self):
        """Replay the log and check the sums.

        Returns the number of accepted bills of each request, and the budget.
        """
        ledger = _ledger.Ledger()
        bills = {}
        counted = collections.Counter()
        for entry in self.log.entries('ledger'):
            batch = _records.decode_batch(entry.payload)
            for record in batch.records:
                copies = getattr(record, 'entries', [record])
                for copy in copies:
                    if isinstance(copy, _records.Bill):
                        bills[copy.allotment, copy.seq] = copy
            for result in ledger.apply(batch, entry.offset, entry.time_ms):
                if getattr(result, 'seq', 0) and not result.repeated:
                    bill = bills.get((result.allotment, result.seq))
                    if bill is not None and result.accepted:
                        counted[bill.request_id] += 1
        ledger.check_sums()
        view = ledger.budget(ORGANISATION)
        spent = sum(
            bill.tokens
            for bill in {b.request_id: b for b in bills.values()}.values()
            if counted[bill.request_id]
        )
        assert view.spent_tokens == spent <= view.budget_tokens
        return counted, view


@contextlib.asynccontextmanager
async def make_world(*names, budget_tokens=10_000, settings=None, **options):
    """Start routers; a name may have its data centre after a slash."""
    world = World(**options)
    world.set_budget(budget_tokens)
    routers = []
    for name in names:
        name, _, data_centre = name.partition('/')
        routers.append(
            world.add(name, data_centre or 'dc1', **(settings or {}))
        )
    try:
        yield world, *routers
    finally:
        for router in list(world.routers.values()):
            await router.stop()


async def refusal(awaitable):
    """Return the code of a `RefusalError` with the outcome `NOT_RUN`."""
    with pytest.raises(_codes.RefusalError) as caught:
        await awaitable
    assert caught.value.outcome == _codes.Outcome.NOT_RUN
    return caught.value.code
