"""The routers' shared topic: addresses, heartbeats, accounts, versions."""

from __future__ import annotations

from ._budgets import BudgetTask
from ._fleet_records import BUDGET_KIND
from ._fleet_records import ERA_KIND
from ._fleet_records import HEARTBEAT_KIND
from ._fleet_records import LOST_KIND
from ._fleet_records import ROUTER_KIND
from ._fleet_records import VERSION_KIND
from ._interfaces import Record
from ._peers import PeerTask
from ._stream_versions import StreamVersions


class FleetTopic:
    """Dispatches the records of the topic by kind.

    Parameters
    ----------
    budgets : BudgetTask
    peers : PeerTask
    versions : StreamVersions
    """

    only_newest = False

    def __init__(
        self, budgets: BudgetTask, peers: PeerTask, versions: StreamVersions
    ) -> None:
        self._budgets = budgets
        self._peers = peers
        self._versions = versions

    def begin_era(self, era: int) -> None:
        """Apply the records of another era from now on."""
        self._budgets.begin_era(era)
        self._versions.begin_era()

    def apply_newest(
        self, records: list[Record], end: int, *, snapshot: bool
    ) -> None:
        """Apply the newest record of each key."""
        self._budgets.suspend_decisions()
        self._dispatch(records)
        self._versions.apply_newest(
            record
            for record in records
            if record.key.startswith(f'{VERSION_KIND}/')
        )
        self._budgets.resume_decisions(
            end,
            has_accounts=any(
                record.key.startswith(f'{BUDGET_KIND}/') for record in records
            ),
        )
        if snapshot:
            self._budgets.decide_raises(end)

    def apply(self, records: list[Record], end: int) -> None:
        """Apply records in order."""
        # First, as a defect in another record must not hide a version: these
        # records are not read again.
        self._versions.apply(
            record
            for record in records
            if record.key.startswith(f'{VERSION_KIND}/')
        )
        self._dispatch(records)
        self._budgets.decide_raises(end)

    def update_reachability(self, *, reachable: bool) -> None:
        """Record whether the store responds."""
        self._budgets.update_reachability(reachable=reachable)
        self._versions.update_reachability(reachable=reachable)

    def _dispatch(self, records: list[Record]) -> None:
        for record in records:
            kind, _, name = record.key.partition('/')
            if kind == BUDGET_KIND:
                self._budgets.apply_account(name, record.value, record.offset)
            elif kind == HEARTBEAT_KIND:
                self._budgets.apply_heartbeat(name, record.value)
            elif kind == LOST_KIND:
                self._budgets.apply_lost(name, record.value)
            elif kind == ERA_KIND:
                self._budgets.apply_era(record.value)
            elif kind == ROUTER_KIND:
                self._peers.update_address(name, record.value)
