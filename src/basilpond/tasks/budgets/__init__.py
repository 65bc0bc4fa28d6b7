"""Tasks of the token budgets: ledger, allotments, claims, recovery."""

from ._budget_interfaces import BillDraft
from ._budget_interfaces import BudgetSettings
from ._budget_interfaces import ChargeResult
from ._budget_interfaces import ClaimResult
from ._budget_interfaces import ClaimState
from ._budget_interfaces import Hold
from ._budget_interfaces import Members
from ._budget_interfaces import Peers
from ._budget_task import BudgetTask
from ._ledger_report import read_entries
from ._ledger_report import read_ledger
from ._ledger_task import LedgerTask

__all__ = [
    'BillDraft',
    'BudgetSettings',
    'BudgetTask',
    'ChargeResult',
    'ClaimResult',
    'ClaimState',
    'Hold',
    'LedgerTask',
    'Members',
    'Peers',
    'read_entries',
    'read_ledger',
]
