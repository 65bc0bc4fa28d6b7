"""The routers' own topic: who they are and what they were granted."""

from __future__ import annotations

from ._budgets import BudgetTask
from ._fleet_records import ALIVE_KIND
from ._fleet_records import BUDGET_KIND
from ._fleet_records import ROUTER_KIND
from ._interfaces import Record
from ._peers import PeerTask


class FleetTopic:
    """Hands the records of the topic to their owners.

    Parameters
    ----------
    budgets : BudgetTask
    peers : PeerTask
    """

    only_newest = False

    def __init__(self, budgets: BudgetTask, peers: PeerTask) -> None:
        self._budgets = budgets
        self._peers = peers

    def apply_newest(
        self, records: list[Record], end: int, *, snapshot: bool
    ) -> None:
        """Take the newest record of each key."""
        self._budgets.suspend()
        self._hand_out(records)
        self._budgets.resume_from(end)
        if snapshot:
            self._budgets.decide_raises(end)

    def apply(self, records: list[Record], end: int) -> None:
        """Take records in order."""
        self._hand_out(records)
        self._budgets.decide_raises(end)

    def note_contact(self, *, reachable: bool) -> None:
        """Take whether the store answers."""
        self._budgets.note_contact(reachable=reachable)

    def _hand_out(self, records: list[Record]) -> None:
        for record in records:
            kind, _, name = record.key.partition('/')
            if kind == BUDGET_KIND:
                self._budgets.fold(name, record.value, record.offset)
            elif kind == ALIVE_KIND:
                self._budgets.fold_stamp(name, record.value)
            elif kind == ROUTER_KIND:
                self._peers.note_address(name, record.value)
