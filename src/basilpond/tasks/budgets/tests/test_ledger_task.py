import asyncio
import contextlib

import pytest

from basilpond.core._codes import LogUnavailableError
from basilpond.core._ledger import Ledger
from basilpond.core._ledger_results import BudgetApplied
from basilpond.core._ledger_results import GrantDecided
from basilpond.core._records import Bill
from basilpond.core._records import BudgetSet
from basilpond.core._records import Claim
from basilpond.core._records import Grant
from basilpond.core._records import LedgerSnapshot
from basilpond.core._records import Return
from basilpond.core._records import decode_batch
from basilpond.tasks.budgets import _ledger_task
from basilpond.tasks.budgets._ledger_task import LedgerTask
from basilpond.tasks.shared_log import _snapshot_parts
from basilpond_testkit.fake_log import FakeLog
from basilpond_testkit.paused_clock import on_paused_clock
from basilpond_testkit.paused_clock import wait_until

ROUTERS = ('r1~1', 'r2~1', 'r3~1')


@contextlib.asynccontextmanager
async def running(log, *writers, timeout_s=2.0, **options):
    """Run one ledger task per writer, each with a link to the log."""
    options.setdefault('live_routers', lambda: ROUTERS)
    tasks = [
        LedgerTask(log.connect(timeout_s=timeout_s), writer, **options)
        for writer in writers
    ]
    runs = [asyncio.create_task(task.run()) for task in tasks]
    try:
        yield tasks
    finally:
        for run in runs:
            run.cancel()
        results = await asyncio.gather(*runs, return_exceptions=True)
        for result in results:
            assert isinstance(result, asyncio.CancelledError), result


def batches(log):
    return [decode_batch(e.payload) for e in log.entries('ledger')]


async def set_budget(task, tokens=1_000_000, version=1):
    result = await task.submit(BudgetSet('o', tokens, version))
    assert result == BudgetApplied('o', version, True)


def grant(allotment, holder='r1~1', tokens=10):
    return Grant(allotment, 'o', tokens, 1, holder)


@on_paused_clock
async def test_records_are_grouped_and_every_router_applies_them():
    """Guards against an append per record and against ledgers that differ
    between routers.
    """
    log = FakeLog()
    async with running(log, 'r1~1', 'r2~1') as (first, second):
        published = []
        second.results.subscribe(published.append)
        await set_budget(first)
        grants = [first.submit(grant(f'a{i}')) for i in range(1300)]
        assert (await grants[-1]) == GrantDecided('a1299', 'r1~1', 10)
        assert await first.flush(1)
        await wait_until(lambda: len(published) == 1301, timeout_s=1)
        assert first.ledger.to_snapshot() == second.ledger.to_snapshot()
        assert first.synced and first.log_reachable
    assert [len(b.records) for b in batches(log)] == [1, 512, 512, 276]
    assert [b.seq for b in batches(log)] == [1, 2, 3, 4]


@on_paused_clock
async def test_batches_stay_below_their_size_limit():
    """Guards against an append that the log refuses for its size."""
    log = FakeLog()
    async with running(log, 'r1~1') as (task,):
        bills = [
            task.submit(
                Bill(
                    'a',
                    i,
                    'o',
                    f'k{i}',
                    1,
                    'complete',
                    'd',
                    'e',
                    True,
                    200,
                    'x' * 2048,
                )
            )
            for i in range(1, 301)
        ]
        assert await task.flush(2)
        assert not any(bill.done() for bill in bills)
        with pytest.raises(ValueError, match='more than a batch'):
            task.submit(Claim('o', 'k', 'd' * 300_000, 'r1~1'))
    sizes = [len(e.payload) for e in log.entries('ledger')]
    assert len(sizes) == 3
    assert max(sizes) <= _ledger_task.MAX_BATCH_BYTES


@on_paused_clock
async def test_append_rate_falls_with_the_number_of_routers():
    """Guards against a fleet that exceeds the log's append rate."""
    log = FakeLog()
    live = [f'r{i}~1' for i in range(20)]
    async with running(log, 'r1~1', live_routers=lambda: live) as (task,):
        for i in range(200):
            task.submit(BudgetSet('o', 1, i + 1))
            await asyncio.sleep(0.01)
        assert await task.flush(1)
    # 2 s at 20 / 200 s between appends.
    assert 18 <= log.appends <= 22


@on_paused_clock
async def test_lost_acknowledgement_applies_a_batch_once():
    """Guards against grants that are applied twice, and against unnecessary
    appends of a batch that the reader has seen.
    """
    log = FakeLog()
    async with running(log, 'r1~1') as (task,):
        await set_budget(task)
        task.log.faults.lose_acknowledgements = 1
        assert (await task.submit(grant('a'))).granted_tokens == 10
        assert log.appends == 2
        task.log.faults.lose_appends = 1
        assert (await task.submit(grant('b'))).granted_tokens == 10
        assert log.appends == 3
        # The append takes effect after its timeout.
        task.log.faults.append_delay_s = 5.0
        late = task.submit(grant('c'))
        await asyncio.sleep(2.1)
        task.log.faults.append_delay_s = 0.0
        assert (await late).granted_tokens == 10
        await asyncio.sleep(10)
        assert task.ledger.budget('o').outstanding_tokens == 30
        assert task.log_reachable
    repeated = [b for b in batches(log) if b.seq == 4]
    assert len(repeated) == 2 and repeated[0] == repeated[1]


@pytest.mark.parametrize('fault', ['down', 'silent'])
@on_paused_clock
async def test_outage_ends_within_a_second_of_the_logs_return(fault):
    """Guards against a long back-off after an outage, and against records
    lost in it.
    """
    log = FakeLog()
    async with running(log, 'r1~1', 'r2~1') as (first, second):
        await set_budget(first)
        setattr(log.faults, fault, True)
        waiting = [first.submit(grant(f'a{i}')) for i in range(3)]
        await asyncio.sleep(4)
        assert not first.log_reachable and not second.log_reachable
        reads = log.reads
        await asyncio.sleep(600)
        assert log.reads == reads and not waiting[0].done()
        setattr(log.faults, fault, False)
        # A call that began during the silence ends at its timeout of 2 s, or
        # 3 s for a read.
        extra_s = 3.0 if fault == 'silent' else 0.0
        async with asyncio.timeout(1.2 + extra_s):
            for future in waiting:
                assert (await future).granted_tokens == 10
        await asyncio.sleep(1 + extra_s)
        assert first.log_reachable and second.log_reachable
        assert first.ledger.to_snapshot() == second.ledger.to_snapshot()


@on_paused_clock
async def test_rate_limit_delays_but_loses_nothing():
    """Guards against rate-limited appends that are dropped or treated as an
    outage.
    """
    log = FakeLog(rate_limit_per_s=5)
    async with running(log, *ROUTERS) as tasks:
        await set_budget(tasks[0])
        for i in range(60):
            for task in tasks:
                task.submit(grant(f'{task.writer}/{i}', task.writer))
            await asyncio.sleep(0.05)
        for task in tasks:
            assert await task.flush(10)
            assert task.log_reachable
            assert len(list(task.ledger.allotments_of(task.writer))) == 60
    assert log.refused_appends > 0


@on_paused_clock
async def test_concurrent_claims_of_one_router_have_one_winner():
    """Guards against two runs when a caller sends a request twice."""
    log = FakeLog()
    async with running(log, 'r1~1', 'r2~1') as (first, second):
        claims = [
            task.submit(Claim('o', 'k', 'd', task.writer))
            for task in (first, first, second)
        ]
        assert sorted([(await c).won for c in claims]) == [False, False, True]


@on_paused_clock
async def test_unusable_entries_are_skipped():
    """Guards against a payload or a subscriber that stops the reader."""
    log = FakeLog()
    async with running(log, 'r1~1') as (task,):
        log.write('ledger', b'{"writer": 3}')
        log.write('ledger', b'nonsense')
        task.results.subscribe(lambda result: 1 / 0)
        await set_budget(task)
        await set_budget(task, 5, 2)


@on_paused_clock
async def test_lowest_router_appends_snapshots_and_new_routers_load_them():
    """Guards against a new router that needs entries which the log has
    dropped.
    """
    log = FakeLog()
    options = {'snapshot_every_records': 100, 'retention_ms': 4 * 60_000}
    async with running(log, *ROUTERS, **options) as tasks:
        await set_budget(tasks[1])
        for i in range(10):
            for j in range(25):
                tasks[1].submit(grant(f'a{i}/{j}'))
            assert await tasks[1].flush(1)
        await asyncio.sleep(1)
        snapshots = [
            (b.writer, r.offset)
            for b in batches(log)
            for r in b.records
            if isinstance(r, LedgerSnapshot)
        ]
        assert [writer for writer, _ in snapshots] == ['r1~1', 'r1~1']
        # An idle stream gets a snapshot after a quarter of the retention.
        await asyncio.sleep(70)
        assert len([b for b in batches(log) if b.writer == 'r1~1']) == 3
        log.drop_before('ledger', snapshots[-1][1] + 1)
        async with running(log, 'r4~1', **options) as (new_task,):
            await wait_until(lambda: new_task.synced, timeout_s=1)
            assert (
                new_task.ledger.to_snapshot() == tasks[0].ledger.to_snapshot()
            )


@on_paused_clock
async def test_other_router_appends_when_the_lowest_does_not():
    """Guards against snapshots that depend on one router."""
    log = FakeLog()
    async with running(log, 'r3~1', snapshot_every_records=100) as (task,):
        await set_budget(task)
        for i in range(119):
            task.submit(grant(f'a{i}'))
        assert await task.flush(1)
        await asyncio.sleep(3)
        assert task.ledger.offset == 1
        await asyncio.sleep(3)
        assert task.ledger.offset == 2


@on_paused_clock
async def test_reader_resumes_from_a_snapshot_after_retention():
    """Guards against a router that cannot continue after a long partition,
    because the log has dropped the entries that it needs next.
    """
    log = FakeLog()
    options = {'snapshot_every_records': 40}
    async with running(log, 'r1~1', 'r2~1', **options) as (first, second):
        await set_budget(first)
        # The append takes effect, but neither its acknowledgement nor the
        # entry reaches r2.
        link = second.log
        link.faults.read_delay_s = 100.0
        logged = second.submit(grant('kept', 'r2~1'))
        claim = second.submit(Claim('o', 'k', 'd', 'r2~1'))
        await wait_until(lambda: log.next_offset('ledger') == 2)
        link.faults.down = True
        link.faults.read_delay_s = 0.0
        queued = second.submit(grant('queued', 'r2~1'))
        for i in range(60):
            await first.submit(grant(f'a{i}', tokens=20))
            await first.submit(Return(f'a{i}', 1, 'o', 20))
        await asyncio.sleep(1)
        assert not logged.done() and second.ledger.offset < 2
        snapshots = [
            r.offset
            for b in batches(log)
            for r in b.records
            if isinstance(r, LedgerSnapshot)
        ]
        log.drop_before('ledger', snapshots[-1] + 1)
        link.faults.down = False
        async with asyncio.timeout(2):
            assert (await logged).granted_tokens == 10
            assert (await claim).won
            assert (await queued).granted_tokens == 10
        await wait_until(
            lambda: first.ledger.offset == second.ledger.offset, timeout_s=2
        )
        assert first.ledger.to_snapshot() == second.ledger.to_snapshot()


@on_paused_clock
async def test_reader_does_not_start_after_a_gap_without_snapshot():
    """Guards against a new router that starts with an incomplete state,
    because the log has dropped entries and holds no snapshot.
    """
    log = FakeLog()
    async with running(log, 'r1~1') as (task,):
        await set_budget(task)
        await set_budget(task, 7, 2)
    log.drop_before('ledger', 1)
    async with running(log, 'r2~1') as (new_task,):
        await asyncio.sleep(30)
        assert not new_task.synced and not new_task.log_reachable
        assert new_task.ledger.budget('o') is None


@on_paused_clock
async def test_large_snapshot_is_split():
    """Guards against a snapshot that exceeds the size of an append."""
    log = FakeLog()
    async with running(log, 'r1~1', snapshot_every_records=900) as (task,):
        await set_budget(task)
        await task.submit(grant('a', tokens=900_000))
        for i in range(1, 1000):
            # Random digits, so that compression does not hide the size.
            response = str(pow(7, 2500 + i))[:2048]
            task.submit(
                Bill(
                    'a',
                    i,
                    'o',
                    f'k{i}',
                    1,
                    'complete',
                    'd',
                    'e',
                    True,
                    200,
                    response,
                )
            )
        assert await task.flush(20)
        await asyncio.sleep(5)
        sizes = [len(e.payload) for e in log.entries('ledger')]
        assert max(sizes) <= _ledger_task.MAX_BATCH_BYTES
        parts = [
            r
            for b in batches(log)
            for r in b.records
            if isinstance(r, LedgerSnapshot)
        ]
        assert len(parts) > 2
        log.drop_before('ledger', parts[0].offset + 1)
        async with running(log, 'r2~1') as (new_task,):
            await wait_until(lambda: new_task.synced, timeout_s=1)
            assert new_task.ledger.to_snapshot() == task.ledger.to_snapshot()


@on_paused_clock
async def test_snapshot_yields_to_other_tasks():
    """Guards against responses that stall while a snapshot is packed or
    unpacked.
    """
    log = FakeLog()
    claim_count, turns = 10_000, 0

    async def count_turns():
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    async with running(log, 'r1~1', snapshot_every_records=10**6) as (task,):
        await set_budget(task)
        for i in range(claim_count):
            task.submit(Claim('o', f'k{i}', 'd', 'r1~1'))
        assert await task.flush(60)
        counter = asyncio.ensure_future(count_turns())
        packed = await _snapshot_parts.pack_snapshot(
            task.ledger.snapshot_chunks()
        )
        assert turns >= claim_count / 500
        turns = 0
        ledger = await task._decode_snapshot(packed)
        assert turns >= claim_count / 500
        counter.cancel()
        assert ledger.to_snapshot() == task.ledger.to_snapshot()
        for broken in (packed[:-20], b'x' + packed):
            assert await task._decode_snapshot(broken) is None


def test_snapshot_of_an_empty_ledger():
    """Guards against a snapshot of an empty ledger that cannot be restored."""
    empty = Ledger().to_snapshot()
    assert Ledger.from_snapshot(empty).to_snapshot() == empty


@on_paused_clock
async def test_link_fails_before_the_first_read():
    """Guards against a log that counts as reachable before the first read."""
    log = FakeLog()
    log.faults.down = True
    with pytest.raises(LogUnavailableError):
        await log.connect().read('ledger', 0, limit=1, wait_ms=0)
    async with running(log, 'r1~1') as (task,):
        await asyncio.sleep(5)
        assert not task.log_reachable and not task.synced
