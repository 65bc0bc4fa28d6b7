"""State of budgets and allotments, as stored in ledger snapshots."""

from __future__ import annotations

import msgspec

from ._ledger_results import AllotmentView
from ._ledger_results import EntryApplied
from ._ledger_results import EntryReason
from ._records import Bill
from ._records import Close
from ._records import Return
from ._records import Transfer


class Budget(msgspec.Struct, array_like=True, gc=False):
    """Budget and sums of one organisation, in budget tokens.

    `ceiling_tokens` is the upper limit of `spent_tokens` plus
    `outstanding_tokens`. It equals the budget, or, while a lowered budget is
    below what was committed, the lowest sum since then.
    """

    organisation: str
    budget_tokens: int
    manifest_version: int
    spent_tokens: int = 0
    outstanding_tokens: int = 0
    ceiling_tokens: int = 0

    def lower_ceiling(self) -> None:
        """Check the sums and lower the ceiling towards a lowered budget.

        Raises
        ------
        AssertionError
            If a sum is negative or the sums exceed the ceiling.
        """
        committed = self.spent_tokens + self.outstanding_tokens
        assert self.outstanding_tokens >= 0 and self.spent_tokens >= 0
        assert committed <= self.ceiling_tokens, 'budget exceeded'
        self.ceiling_tokens = max(self.budget_tokens, committed)


class Allotment(msgspec.Struct, array_like=True, gc=False):
    """Tokens that a router, the holder, may spend without asking the log.

    The entries with the sequence numbers up to `last_seq` and in `later_seqs`
    have been applied. `rejected` lists those that were rejected, with the
    reason.
    """

    id: str
    organisation: str
    holder: str
    journal_peer: str | None
    tokens: int
    spent_tokens: int = 0
    last_seq: int = 0
    later_seqs: set[int] | None = None
    rejected: list[tuple[int, EntryReason]] | None = None
    closed_ms: int | None = None

    def has_applied(self, seq: int) -> bool:
        """Return whether the entry `seq` was applied, accepted or not."""
        return 0 < seq <= self.last_seq or (
            self.later_seqs is not None and seq in self.later_seqs
        )

    def mark_applied(self, seq: int, reason: EntryReason) -> None:
        """Record that an entry was applied.

        This takes constant space while no sequence number is missing and no
        entry is rejected.

        Parameters
        ----------
        seq : int
        reason : EntryReason
            Why the entry was rejected, empty if it was accepted.
        """
        if reason:
            self.rejected = self.rejected or []
            self.rejected.append((seq, reason))
        if seq != self.last_seq + 1:
            self.later_seqs = self.later_seqs or set()
            self.later_seqs.add(seq)
            return
        self.last_seq = seq
        while self.later_seqs and self.last_seq + 1 in self.later_seqs:
            self.last_seq += 1
            self.later_seqs.remove(self.last_seq)
        if not self.later_seqs:
            self.later_seqs = None

    def repeated_result(self, seq: int) -> EntryApplied:
        """Return the first result of an applied entry, marked as repeated."""
        reason = dict(self.rejected or ()).get(seq, '')
        return EntryApplied(self.id, seq, not reason, reason, repeated=True)

    def view(self) -> AllotmentView:
        """Return a read-only view."""
        return AllotmentView(
            self.id,
            self.organisation,
            self.holder,
            self.journal_peer,
            self.tokens,
            self.spent_tokens,
            self.closed_ms is not None,
        )


class ProvisionalAllotment(msgspec.Struct, array_like=True):
    """Records of an allotment whose transfer is not in the log yet."""

    id: str
    since_ms: int
    records: list[Bill | Transfer | Return | Close]


class AllotmentsState(msgspec.Struct, array_like=True):
    """Budgets and allotments in one chunk of a snapshot."""

    budgets: list[Budget]
    open: list[Allotment]
    closed_by_holder: list[Allotment]
    closed_by_other: list[Allotment]
    provisional: list[ProvisionalAllotment]
