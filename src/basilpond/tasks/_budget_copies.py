"""Copies budgets from the manifest into the ledger."""

from __future__ import annotations

import asyncio

from ..core import _records
from ..core._manifest import Manifest
from ._budget_interfaces import BudgetSettings
from ._budget_interfaces import LedgerWriter
from ._budget_interfaces import Members

# With more routers ahead than this, the order no longer matters.
MAX_RANK = 5


class BudgetCopies:
    """Appends `BudgetSet` records after a new manifest.

    The live router with the lowest id appends at once, the others only when
    the budget is still missing later, so that a change costs one append.

    Parameters
    ----------
    ledger_task : LedgerWriter
    members : Members
    router_id : str
    settings : BudgetSettings
    """

    def __init__(
        self,
        ledger_task: LedgerWriter,
        members: Members,
        *,
        router_id: str,
        settings: BudgetSettings,
    ) -> None:
        self._ledger_task = ledger_task
        self._members = members
        self._router_id = router_id
        self._settings = settings
        self._version = 0
        self._since_s = 0.0
        self._missing: dict[str, int] = {}

    def set_budgets(self, manifest: Manifest, version: int) -> None:
        """Take the budgets of a manifest; an older version is ignored."""
        if version <= self._version:
            return
        self._version = version
        self._since_s = asyncio.get_running_loop().time()
        self._missing = {
            organisation.id: sum(
                top_up.tokens for top_up in organisation.top_ups
            )
            for organisation in manifest.organisations
        }
        self.tick()

    def tick(self) -> None:
        """Append the budgets that the fold does not have."""
        ledger_task = self._ledger_task
        if not (self._missing and ledger_task.synced):
            return
        rank = sum(
            member.router_id < self._router_id
            for member in self._members.live()
        )
        now_s = asyncio.get_running_loop().time()
        delay_s = self._settings.budget_delay_s * min(rank, MAX_RANK)
        if now_s - self._since_s < delay_s:
            return
        missing, self._missing = self._missing, {}
        for organisation, tokens in missing.items():
            if ledger_task.ledger.budget_version(organisation) >= (
                self._version
            ):
                continue
            view = ledger_task.ledger.budget(organisation)
            # A record without a change would cost an append for each
            # organisation and manifest.
            if view is None or view.budget_tokens != tokens:
                ledger_task.submit(
                    _records.BudgetSet(organisation, tokens, self._version)
                )
