"""Measurement of a task's periodic work, in a fresh process."""

from __future__ import annotations

import asyncio

from basilpond.core import Ledger
from basilpond.core import Member
from basilpond.core import MemberState
from basilpond.core import _accounts
from basilpond.tasks import GossipTask
from basilpond.tasks.budgets._budget_interfaces import BudgetSettings
from basilpond.tasks.budgets._refill import Refill

from . import _capacity_core
from ._capacity_slopes import Cost
from ._capacity_slopes import Experiment
from ._capacity_slopes import Slope

_MEMBERS = 349
_CHECKS = 4
_AMPLE_TOKENS = 10**12


class _Ledger:
    """Ledger task that expects no record: all allotments are ample."""

    log_reachable = True
    synced = True

    def __init__(self, organisations: int) -> None:
        self.ledger = Ledger()
        _capacity_core.fold_budgets(self.ledger, organisations)

    def submit(self, record: object) -> None:
        raise AssertionError(f'unexpected {record}')


class _Committer:
    def is_usable(self, account: _accounts.Allotment) -> bool:
        return True

    def choose_journal_peer(self, rank: object) -> None:
        return None


def _gossip() -> GossipTask:
    task = GossipTask(
        incarnation_id='r~1',
        data_centre='d',
        host='127.0.0.1',
        port=1,
        operator_port=1,
        seeds=[],
    )
    task.members.on_next(
        tuple(
            Member(
                f'r{number}~1',
                f'r{number}',
                'd',
                '10.0.0.1',
                1,
                1,
                1,
                True,
                MemberState.ALIVE,
            )
            for number in range(_MEMBERS)
        )
    )
    return task


async def _check(organisations: int) -> float:
    accounts = _accounts.Accounts('r~1')
    refill = Refill(
        _Ledger(organisations),
        _gossip(),
        None,
        accounts,
        _Committer(),
        BudgetSettings(data_centre='d'),
    )
    for number in range(organisations):
        grant = _capacity_core.make_grant(number, number)
        accounts.add(grant.allotment, _AMPLE_TOKENS, grant)
        hold = await refill.hold(grant.organisation, 100, timeout_s=1)
        accounts.release(hold)
    with Cost() as cost:
        for _ in range(_CHECKS):
            refill.tick()
    return cost.ms / _CHECKS


def refill_check(size: int) -> dict[str, float]:
    """Check the stock of organisations that had a request lately."""
    return {'refill_check': asyncio.run(_check(size))}


TASK_EXPERIMENTS = (
    Experiment(
        'active organisations',
        (500, 1_000, 2_000),
        refill_check,
        (
            Slope(
                'refill_check',
                f'refill check, {_MEMBERS} members',
                'ms',
                1000,
                'us/organisation',
            ),
        ),
    ),
)
