import asyncio

import pytest

from basilpond.core import _manifest
from basilpond.core import _records
from basilpond_testkit.paused_clock import on_paused_clock

from .budget_world import ORGANISATION
from .budget_world import make_world


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
    """Guards against one append per router, and against budgets of an older
    manifest.
    """
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
        # With few organisations, each router keeps a baseline allotment
        # before the first request.
        assert list(ledger.allotments_of('r1~1'))
        assert list(ledger.allotments_of('r2~1'))


@pytest.mark.parametrize(
    ('current', 'undone'), [(1_000, 50_000), (50_000, 1_000)]
)
@pytest.mark.parametrize(
    ('late_s', 'append_delay_s'), [(0.0, 0.3), (0.0, 0.9), (3.0, 0.3)]
)
@on_paused_clock
async def test_undone_total_is_not_copied_later(
    current, undone, late_s, append_delay_s
):
    """Guards against a router that still has an earlier manifest and copies a
    total that a later one has undone, so that the budget may be exceeded.
    """
    async with make_world(
        'r1~1', 'r2~1', budget_tokens=current, settings={'budget_delay_s': 0.5}
    ) as (world, r1, r2):
        await asyncio.sleep(0.1)
        r1.link.faults.append_delay_s = append_delay_s
        r1.budget.set_budgets(make_manifest(current), 9)
        await asyncio.sleep(late_s)
        r2.budget.set_budgets(make_manifest(undone), 8)
        await asyncio.sleep(8)
        ledger = r2.ledger_task.ledger
        assert ledger.budget(ORGANISATION).budget_tokens == current
        assert ledger.budget_version(ORGANISATION) == 9
        assert world.accepted_bills()[1].budget_tokens == current


@on_paused_clock
async def test_manifest_change_appends_one_budget_record():
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
