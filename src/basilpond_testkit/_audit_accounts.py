"""Budgets and bills, recomputed from the log independently of the router."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import Any

from basilpond.core import _records
from basilpond.core._interfaces import LogEntry


@dataclasses.dataclass(slots=True)
class _Allotment:
    """An allotment; `granted` is False until its origin is in the log."""

    organisation: str
    holder: str = ''
    journal_peer: str | None = None
    tokens: int = 0
    granted: bool = False
    closed: bool = False
    entries: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, frozen=True)
class LoggedBill:
    """A bill in the log; `reason` is empty when it counts."""

    offset: int
    time_ms: int
    bill: _records.Bill
    reason: str


@dataclasses.dataclass(slots=True)
class Budget:
    """Tokens of an organisation; `overspend_tokens` is the worst ever."""

    budget_tokens: int = 0
    manifest_version: int = 0
    spent_tokens: int = 0
    outstanding_tokens: int = 0
    overspend_tokens: int = 0


class Accounts:
    """Budgets and bills, recomputed from the ledger stream.

    Parameters
    ----------
    entries : iterable of LogEntry
        The stream from offset 0.
    """

    def __init__(self, entries: Iterable[LogEntry]) -> None:
        self.budgets: dict[str, Budget] = collections.defaultdict(Budget)
        self.bills: list[LoggedBill] = []
        self._allotments: dict[str, _Allotment] = {}
        self._sequences: dict[str, int] = {}
        self._billed: set[tuple[str, str]] = set()
        for entry in entries:
            batch = _records.decode_batch(entry.payload)
            if batch.seq > self._sequences.get(batch.writer, 0):
                self._sequences[batch.writer] = batch.seq
                for record in batch.records:
                    self._apply(record, entry)

    def counted(self) -> Iterator[LoggedBill]:
        """Yield the bills that count."""
        return (logged for logged in self.bills if not logged.reason)

    def _apply(self, record: Any, entry: LogEntry) -> None:
        match record:
            case _records.BudgetSet():
                budget = self.budgets[record.organisation]
                if record.manifest_version > budget.manifest_version:
                    budget.budget_tokens = record.budget_tokens
                    budget.manifest_version = record.manifest_version
            case _records.Grant():
                self._grant(record)
            case _records.Close():
                self._close(record, entry)
            case _records.Bill() | _records.Transfer() | _records.Return():
                self._enter(record, entry)
            case _:
                pass

    def _grant(self, record: _records.Grant) -> None:
        if record.allotment in self._allotments:
            return
        budget = self.budgets[record.organisation]
        free = (
            budget.budget_tokens
            - budget.spent_tokens
            - budget.outstanding_tokens
        )
        tokens = min(record.want_tokens, free)
        if tokens < max(1, record.min_tokens):
            return
        budget.outstanding_tokens += tokens
        self._allotments[record.allotment] = _Allotment(
            record.organisation,
            record.holder,
            record.journal_peer,
            tokens,
            True,
        )

    def _close(self, record: _records.Close, entry: LogEntry) -> None:
        allotment = self._allotments.get(record.allotment)
        if allotment is None or allotment.closed:
            return
        if not (
            record.forced
            or allotment.journal_peer is None
            or record.closer in (allotment.holder, allotment.journal_peer)
        ):
            return
        for copy in record.entries:
            self._enter(copy, entry)
        allotment.closed = True
        self._outstanding(allotment, -allotment.tokens)

    def _outstanding(self, allotment: _Allotment, tokens: int) -> None:
        allotment.tokens += tokens
        if allotment.granted:
            budget = self.budgets[allotment.organisation]
            budget.outstanding_tokens += tokens

    def _enter(self, record: _records.AllotmentEntry, entry: LogEntry) -> None:
        allotment = self._allotments.get(record.allotment)
        if allotment is None:
            # The transfer that made it may come later.
            allotment = _Allotment(record.organisation)
            self._allotments[record.allotment] = allotment
        if record.seq in allotment.entries:
            return
        allotment.entries.add(record.seq)
        reason = ''
        if allotment.closed:
            reason = 'closed'
        elif allotment.granted and record.tokens > allotment.tokens:
            reason = 'overdrawn'
        if isinstance(record, _records.Bill):
            self._bill(record, entry, allotment, reason)
        elif not reason:
            self._outstanding(allotment, -record.tokens)
            if isinstance(record, _records.Transfer):
                self._receive(record)

    def _bill(
        self,
        bill: _records.Bill,
        entry: LogEntry,
        allotment: _Allotment,
        reason: str,
    ) -> None:
        identity = (bill.organisation, bill.request_id)
        if not reason and identity in self._billed:
            reason = 'duplicate_bill'
        if not reason:
            self._billed.add(identity)
            self._outstanding(allotment, -bill.tokens)
            budget = self.budgets[bill.organisation]
            budget.spent_tokens += bill.tokens
            budget.overspend_tokens = max(
                budget.overspend_tokens,
                budget.spent_tokens - budget.budget_tokens,
            )
        self.bills.append(
            LoggedBill(entry.offset, entry.time_ms, bill, reason)
        )

    def _receive(self, record: _records.Transfer) -> None:
        allotment = self._allotments.setdefault(
            record.new_allotment, _Allotment(record.organisation)
        )
        if allotment.granted:
            return
        allotment.holder = record.holder
        allotment.journal_peer = record.journal_peer
        allotment.granted = True
        # Bills that came before the transfer are already subtracted.
        allotment.tokens += record.tokens
        budget = self.budgets[record.organisation]
        budget.outstanding_tokens += allotment.tokens
