"""Copies budgets from the manifest into the ledger."""

from __future__ import annotations

import asyncio

from ...core import BudgetSet
from ...core import Manifest
from ._budget_interfaces import BudgetSettings
from ._budget_interfaces import LedgerView
from ._budget_interfaces import LedgerWriter
from ._budget_interfaces import Members

# Maximum number of routers ahead for which a router delays its append. Behind
# more of them the order no longer matters.
MAX_RANK = 5


class BudgetCopies:
    """Appends `BudgetSet` records after a new manifest.

    The live router with the lowest id appends at once, the others only if the
    ledger still lacks the budget after a delay, so that a change usually costs
    one append.

    Each manifest version gets a record for each organisation whose total
    differs from that in the ledger or in the previous manifest of this router,
    and at least one record. From then on the ledger ignores records of earlier
    versions, so a router that still has an earlier manifest cannot restore a
    total that was undone. A record of an earlier version that came before is
    found by the comparison with the ledger, which is repeated after every
    change of a budget in the ledger.

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
        self._totals: dict[str, int] = {}
        # Organisations whose total differs from the previous manifest.
        self._changed: set[str] = set()
        self._compared: tuple[LedgerView, int] | None = None
        self._due_since_s: float | None = None
        self._submitted: set[tuple[str, int]] = set()

    def set_budgets(self, manifest: Manifest, version: int) -> None:
        """Apply the budgets of a manifest.

        Parameters
        ----------
        manifest : Manifest
        version : int
            Ignored unless it is newer than that of the last manifest.
        """
        if version <= self._version:
            return
        before, first = self._totals, not self._version
        self._version = version
        self._totals = {
            organisation.id: sum(
                top_up.tokens for top_up in organisation.top_ups
            )
            for organisation in manifest.organisations
        }
        self._changed = {
            organisation
            for organisation, tokens in self._totals.items()
            if not first and before.get(organisation) != tokens
        }
        self._compared = None
        self._due_since_s = None
        self.tick()

    def tick(self) -> None:
        """Append the budgets that the ledger lacks, if their time has come."""
        if not (self._totals and self._ledger_task.synced):
            return
        ledger = self._ledger_task.ledger
        if self._compared == (ledger, ledger.budget_changes):
            return
        now_s = asyncio.get_running_loop().time()
        missing = self._missing_organisations(ledger)
        if not missing:
            self._compared = (ledger, ledger.budget_changes)
            self._due_since_s = None
            return
        if self._due_since_s is None:
            self._due_since_s = now_s
        rank = sum(
            member.router_id < self._router_id
            for member in self._members.live()
        )
        delay_s = self._settings.budget_delay_s * min(rank, MAX_RANK)
        if now_s - self._due_since_s < delay_s:
            return
        for organisation in missing:
            self._submit(organisation)

    def _missing_organisations(self, ledger: LedgerView) -> list[str]:
        """Return the organisations that need a record of this version."""
        if ledger.manifest_version > self._version:
            return []
        missing = [
            organisation
            for organisation, tokens in self._totals.items()
            if ledger.budget_version(organisation) < self._version
            and (
                organisation in self._changed
                or (view := ledger.budget(organisation)) is None
                or view.budget_tokens != tokens
            )
        ]
        if not missing and ledger.manifest_version < self._version:
            missing.append(min(self._totals))
        return missing

    def _submit(self, organisation: str) -> None:
        key = (organisation, self._version)
        if key in self._submitted:
            return
        self._submitted.add(key)
        future = self._ledger_task.submit(
            BudgetSet(organisation, self._totals[organisation], self._version)
        )
        future.add_done_callback(lambda _: self._submitted.discard(key))
