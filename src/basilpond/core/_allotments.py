"""Budgets and allotments of the ledger: grants, entries, closes.

Each token of a budget is in one of three states: free, outstanding (unspent
in an open allotment), or spent. A grant moves free tokens to an allotment, a
bill moves unspent tokens to spent, a transfer moves them to another
allotment, and a return or close moves them back to the budget. Nothing else
changes the sums, so spent + outstanding exceeds the budget only after an
operator has lowered it.

An entry whose allotment is unknown is kept in a *provisional* allotment until
the transfer that creates the allotment is applied. It spends nothing before
that. An entry of an allotment that was closed and has expired here can
therefore never spend tokens.
"""

from __future__ import annotations

from collections.abc import Iterator
import itertools
import sys
from typing import Any

from ._allotment_records import Allotment
from ._allotment_records import AllotmentsState
from ._allotment_records import Budget
from ._allotment_records import ProvisionalAllotment
from ._claims import KeyedIds
from ._ledger_results import AllotmentClosed
from ._ledger_results import AllotmentView
from ._ledger_results import BudgetApplied
from ._ledger_results import BudgetView
from ._ledger_results import CloseRejected
from ._ledger_results import EntryApplied
from ._ledger_results import EntryReason
from ._ledger_results import GrantDecided
from ._ledger_results import LedgerResult
from ._records import AllotmentEntry
from ._records import Bill
from ._records import BudgetSet
from ._records import Close
from ._records import Grant
from ._records import Transfer


class Allotments:
    """Budgets, open allotments, and recently closed ones for late entries.

    A holder that closes its own allotment sends no further entries. Only
    copies of earlier entries that are already in transit can follow, so the
    allotment is dropped after `closed_by_holder_keep_ms`. When another router
    closes it, the holder may append its entries after a network partition, so
    it is kept for `closed_by_other_keep_ms`. An entry that arrives even later
    becomes provisional and is rejected after `provisional_keep_ms`. The
    amounts spent don't depend on these times.

    Parameters
    ----------
    keyed_ids : KeyedIds
        Request ids that are billed once; updated with the bills that count.
    closed_by_holder_keep_ms, closed_by_other_keep_ms : int
        Time for which closed allotments are kept, in log time.
    provisional_keep_ms : int
        Time for which entries of an unknown allotment are kept.

    Attributes
    ----------
    manifest_version : int
        Highest manifest version of any budget.
    budget_changes : int
        Budget records that this object has accepted; not in snapshots.
    """

    __slots__ = (
        '_budgets',
        '_by_holder',
        '_by_organisation',
        '_closed_by_holder',
        '_closed_by_holder_keep_ms',
        '_closed_by_other',
        '_closed_by_other_keep_ms',
        '_keyed_ids',
        '_open',
        '_provisional',
        '_provisional_keep_ms',
        'budget_changes',
        'manifest_version',
    )

    def __init__(
        self,
        keyed_ids: KeyedIds,
        *,
        closed_by_holder_keep_ms: int,
        closed_by_other_keep_ms: int,
        provisional_keep_ms: int,
    ) -> None:
        self._keyed_ids = keyed_ids
        self._closed_by_holder_keep_ms = closed_by_holder_keep_ms
        self._closed_by_other_keep_ms = closed_by_other_keep_ms
        self._provisional_keep_ms = provisional_keep_ms
        self._budgets: dict[str, Budget] = {}
        self._open: dict[str, Allotment] = {}
        self._by_holder: dict[str, dict[str, Allotment]] = {}
        self._by_organisation: dict[str, dict[str, Allotment]] = {}
        self._closed_by_holder: dict[str, Allotment] = {}
        self._closed_by_other: dict[str, Allotment] = {}
        self._provisional: dict[str, ProvisionalAllotment] = {}
        self.manifest_version = 0
        self.budget_changes = 0

    # Reading

    def budget(self, organisation: str) -> BudgetView | None:
        """Return the sums of an organisation, None without a budget."""
        budget = self._budgets.get(organisation)
        if budget is None:
            return None
        return BudgetView(
            budget.budget_tokens,
            budget.spent_tokens,
            budget.outstanding_tokens,
        )

    def budget_version(self, organisation: str) -> int:
        """Return the manifest version of a budget, 0 without one."""
        budget = self._budgets.get(organisation)
        return 0 if budget is None else budget.manifest_version

    def organisations(self) -> Iterator[str]:
        """Return the organisations that have a budget."""
        return iter(tuple(self._budgets))

    def allotment(self, allotment: str) -> AllotmentView | None:
        """Return an open, provisional or recently closed allotment."""
        found = self._find(allotment)
        if found is not None:
            return found.view()
        pending = self._provisional.get(allotment)
        if pending is None:
            return None
        organisation = pending.records[0].organisation
        return AllotmentView(
            allotment, organisation, '', None, 0, 0, False, provisional=True
        )

    def allotments_of(self, holder: str) -> Iterator[AllotmentView]:
        """Return the open allotments of a holder, oldest first."""
        for allotment in tuple(self._by_holder.get(holder, {}).values()):
            yield allotment.view()

    def remaining_by_holder(self, organisation: str) -> dict[str, int]:
        """Return the unspent tokens of each holder with open allotments."""
        remaining: dict[str, int] = {}
        for allotment in self._by_organisation.get(organisation, {}).values():
            remaining[allotment.holder] = (
                remaining.get(allotment.holder, 0)
                + allotment.tokens
                - allotment.spent_tokens
            )
        return remaining

    def holders(self) -> Iterator[str]:
        """Return the holders of open allotments."""
        return iter(tuple(self._by_holder))

    def entry_result(self, allotment: str, seq: int) -> EntryApplied | None:
        """Return the result of an entry, None if it was not applied."""
        found = self._find(allotment)
        if found is None or not found.has_applied(seq):
            return None
        return found.repeated_result(seq)

    def is_provisional(self, allotment: str) -> bool:
        """Return whether entries wait for the allotment's transfer."""
        return allotment in self._provisional

    # Applying records

    def expire(self, time_ms: int) -> Iterator[LedgerResult]:
        """Drop old closed allotments and reject old provisional entries."""
        for closed, keep_ms in (
            (self._closed_by_holder, self._closed_by_holder_keep_ms),
            (self._closed_by_other, self._closed_by_other_keep_ms),
        ):
            while closed:
                oldest = next(iter(closed.values()))
                if time_ms - oldest.closed_ms <= keep_ms:
                    break
                del closed[oldest.id]
        while self._provisional:
            pending = next(iter(self._provisional.values()))
            if time_ms - pending.since_ms <= self._provisional_keep_ms:
                return
            del self._provisional[pending.id]
            yield from self._reject_records(pending)

    def apply_budget(self, record: BudgetSet) -> Iterator[LedgerResult]:
        """Set a budget unless the record's manifest version is outdated.

        A version below that of any other budget is ignored, too: the router
        that wrote the record does not know yet that a later manifest is in
        force, which may have reverted the change.
        """
        budget = self._budgets.get(record.organisation)
        accepted = (
            record.budget_tokens >= 0
            and record.manifest_version >= self.manifest_version
            and (
                budget is None
                or record.manifest_version > budget.manifest_version
            )
        )
        if accepted:
            self.manifest_version = record.manifest_version
            self.budget_changes += 1
            if budget is None:
                budget = Budget(sys.intern(record.organisation), 0, 0)
                self._budgets[budget.organisation] = budget
            budget.budget_tokens = record.budget_tokens
            budget.manifest_version = record.manifest_version
            budget.ceiling_tokens = max(
                budget.budget_tokens,
                budget.spent_tokens + budget.outstanding_tokens,
            )
        yield BudgetApplied(
            record.organisation, record.manifest_version, accepted
        )

    def apply_grant(self, grant: Grant) -> Iterator[LedgerResult]:
        """Grant up to the wanted tokens; none if the minimum is not free."""
        yield GrantDecided(
            grant.allotment, grant.holder, self._grant_tokens(grant)
        )

    def apply_entry(
        self, entry: AllotmentEntry, time_ms: int
    ) -> Iterator[LedgerResult]:
        """Apply an entry unless it was applied before.

        An entry of an unknown allotment is kept until the transfer that
        creates the allotment is applied.
        """
        allotment = self._find(entry.allotment)
        if allotment is None:
            self._add_provisional(entry, time_ms)
            return
        if allotment.has_applied(entry.seq):
            yield allotment.repeated_result(entry.seq)
            return
        reason = self._reject_reason(entry, allotment)
        if reason != 'invalid' and allotment.closed_ms is None:
            allotment.mark_applied(entry.seq, reason)
        if not reason:
            self._move_tokens(entry, allotment, time_ms)
        yield EntryApplied(entry.allotment, entry.seq, not reason, reason)
        if isinstance(entry, Transfer) and reason != 'invalid':
            if reason:
                self._reject_new_allotment(entry, time_ms)
            yield from self._resolve_provisional(entry, time_ms)

    def apply_close(
        self, close: Close, time_ms: int
    ) -> Iterator[LedgerResult]:
        """Apply the last entries and return the remainder to the budget."""
        allotment = self._find(close.allotment)
        if allotment is None:
            self._add_provisional(close, time_ms)
            return
        reason = self._close_reject_reason(close, allotment)
        if reason in ('', 'closed'):
            for entry in close.entries:
                if entry.allotment == close.allotment:
                    yield from self.apply_entry(entry, time_ms)
        if reason:
            yield CloseRejected(close.allotment, close.closer, reason)
            return
        budget = self._budgets[allotment.organisation]
        budget.outstanding_tokens -= allotment.tokens - allotment.spent_tokens
        budget.lower_ceiling()
        self._remove_open(allotment)
        allotment.closed_ms = time_ms
        if close.closer == allotment.holder:
            self._closed_by_holder[allotment.id] = allotment
        else:
            self._closed_by_other[allotment.id] = allotment
        yield AllotmentClosed(close.allotment, close.closer)

    def check_sums(self) -> None:
        """Assert that the kept sums equal those of the open allotments."""
        outstanding = dict.fromkeys(self._budgets, 0)
        for allotment in self._open.values():
            unspent = allotment.tokens - allotment.spent_tokens
            assert unspent >= 0, 'allotment overdrawn'
            outstanding[allotment.organisation] += unspent
            for index, key in self._indexes(allotment):
                assert index[key][allotment.id] is allotment
        for organisation, budget in self._budgets.items():
            assert budget.outstanding_tokens == outstanding[organisation]
            budget.lower_ceiling()

    # Snapshots

    def to_states(self, max_rows: int) -> Iterator[AllotmentsState]:
        """Yield the state in parts of at most `max_rows` rows."""
        tables = (
            self._budgets,
            self._open,
            self._closed_by_holder,
            self._closed_by_other,
            self._provisional,
        )
        for index, table in enumerate(tables):
            values = iter(table.values())
            while part := list(itertools.islice(values, max_rows)):
                parts: list[list[Any]] = [[] for _ in tables]
                parts[index] = part
                yield AllotmentsState(*parts)

    def load_state(self, state: AllotmentsState) -> None:
        """Add a part of a snapshot."""
        for budget in state.budgets:
            self._budgets[budget.organisation] = budget
            self.manifest_version = max(
                self.manifest_version, budget.manifest_version
            )
        for allotment in state.open:
            self._add_open(allotment)
        self._closed_by_holder.update(
            (a.id, a) for a in state.closed_by_holder
        )
        self._closed_by_other.update((a.id, a) for a in state.closed_by_other)
        self._provisional.update((p.id, p) for p in state.provisional)

    # Internals

    def _find(self, allotment: str) -> Allotment | None:
        return (
            self._open.get(allotment)
            or self._closed_by_holder.get(allotment)
            or self._closed_by_other.get(allotment)
        )

    def _add_open(self, allotment: Allotment) -> None:
        allotment.organisation = sys.intern(allotment.organisation)
        allotment.holder = sys.intern(allotment.holder)
        if allotment.journal_peer is not None:
            allotment.journal_peer = sys.intern(allotment.journal_peer)
        self._open[allotment.id] = allotment
        for index, key in self._indexes(allotment):
            index.setdefault(key, {})[allotment.id] = allotment

    def _remove_open(self, allotment: Allotment) -> None:
        del self._open[allotment.id]
        for index, key in self._indexes(allotment):
            del index[key][allotment.id]
            if not index[key]:
                del index[key]

    def _indexes(
        self, allotment: Allotment
    ) -> tuple[tuple[dict[str, dict[str, Allotment]], str], ...]:
        return (
            (self._by_holder, allotment.holder),
            (self._by_organisation, allotment.organisation),
        )

    def _grant_tokens(self, grant: Grant) -> int:
        known = self._find(grant.allotment)
        if known is not None:
            # A repeated grant has no effect and gives the same result.
            same_holder = (
                known.closed_ms is None and known.holder == grant.holder
            )
            return known.tokens if same_holder else 0
        budget = self._budgets.get(grant.organisation)
        if budget is None or grant.allotment in self._provisional:
            return 0
        free = (
            budget.budget_tokens
            - budget.spent_tokens
            - budget.outstanding_tokens
        )
        tokens = min(grant.want_tokens, free)
        if tokens < max(1, grant.min_tokens):
            return 0
        self._add_open(
            Allotment(
                grant.allotment,
                grant.organisation,
                grant.holder,
                grant.journal_peer,
                tokens,
            )
        )
        budget.outstanding_tokens += tokens
        budget.lower_ceiling()
        return tokens

    def _reject_reason(
        self, entry: AllotmentEntry, allotment: Allotment
    ) -> EntryReason:
        if (
            entry.organisation != allotment.organisation
            or entry.seq < 1
            or entry.tokens < 0
        ):
            return 'invalid'
        if allotment.closed_ms is not None:
            return 'closed'
        if (
            isinstance(entry, Bill)
            and entry.keyed
            and self._keyed_ids.is_billed(entry.organisation, entry.request_id)
        ):
            return 'duplicate_bill'
        if entry.tokens > allotment.tokens - allotment.spent_tokens:
            return 'overdrawn'
        if (
            isinstance(entry, Transfer)
            and self._find(entry.new_allotment) is not None
        ):
            return 'invalid'
        return ''

    def _move_tokens(
        self, entry: AllotmentEntry, allotment: Allotment, time_ms: int
    ) -> None:
        budget = self._budgets[allotment.organisation]
        if isinstance(entry, Bill):
            allotment.spent_tokens += entry.tokens
            budget.spent_tokens += entry.tokens
            budget.outstanding_tokens -= entry.tokens
            if entry.keyed:
                self._keyed_ids.record_bill(entry, time_ms)
        elif isinstance(entry, Transfer):
            allotment.tokens -= entry.tokens
            self._add_open(
                Allotment(
                    entry.new_allotment,
                    entry.organisation,
                    entry.holder,
                    entry.journal_peer,
                    entry.tokens,
                )
            )
        else:
            allotment.tokens -= entry.tokens
            budget.outstanding_tokens -= entry.tokens
        assert 0 <= allotment.spent_tokens <= allotment.tokens
        budget.lower_ceiling()

    def _close_reject_reason(self, close: Close, allotment: Allotment) -> str:
        if close.organisation != allotment.organisation:
            return 'invalid'
        if allotment.closed_ms is not None:
            return 'closed'
        allowed = (
            close.forced
            or allotment.journal_peer is None
            or close.closer in (allotment.holder, allotment.journal_peer)
        )
        return '' if allowed else 'not_allowed'

    def _add_provisional(
        self, record: AllotmentEntry | Close, time_ms: int
    ) -> None:
        pending = self._provisional.get(record.allotment)
        if pending is None:
            self._provisional[record.allotment] = ProvisionalAllotment(
                record.allotment, time_ms, [record]
            )
        elif record not in pending.records:
            pending.records.append(record)

    def _reject_new_allotment(self, transfer: Transfer, time_ms: int) -> None:
        # The transfer was rejected, so its new allotment will never exist.
        # Recording it as closed rejects its later entries at once.
        if self._find(transfer.new_allotment) is None:
            self._closed_by_other[transfer.new_allotment] = Allotment(
                transfer.new_allotment,
                transfer.organisation,
                transfer.holder,
                transfer.journal_peer,
                0,
                closed_ms=time_ms,
            )

    def _resolve_provisional(
        self, transfer: Transfer, time_ms: int
    ) -> Iterator[LedgerResult]:
        """Apply the records that waited for a transfer.

        They are rejected if the transfer was.
        """
        pending = self._provisional.get(transfer.new_allotment)
        if pending is None:
            return
        del self._provisional[pending.id]
        if pending.id not in self._open:
            yield from self._reject_records(pending)
            return
        for record in pending.records:
            if isinstance(record, Close):
                yield from self.apply_close(record, time_ms)
            else:
                yield from self.apply_entry(record, time_ms)

    def _reject_records(
        self, pending: ProvisionalAllotment
    ) -> Iterator[LedgerResult]:
        for record in pending.records:
            if not isinstance(record, Close):
                yield EntryApplied(
                    record.allotment, record.seq, False, 'closed'
                )
                continue
            for entry in record.entries:
                yield EntryApplied(entry.allotment, entry.seq, False, 'closed')
            yield CloseRejected(record.allotment, record.closer, 'closed')
