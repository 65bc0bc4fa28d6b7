"""Futures of submitted records, resolved by the results of the ledger."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Hashable
import dataclasses

from ...core import AllotmentClosed
from ...core import BudgetApplied
from ...core import BudgetSet
from ...core import Claim
from ...core import ClaimAbandon
from ...core import ClaimAbandoned
from ...core import ClaimDecided
from ...core import Close
from ...core import CloseRejected
from ...core import EntryApplied
from ...core import Grant
from ...core import GrantDecided
from ...core import Ledger
from ...core import LedgerRecord
from ...core import LedgerResult


@dataclasses.dataclass(slots=True)
class Waiter:
    """Submitted record; `batch_seq` is 0 until it is part of a batch."""

    record: LedgerRecord
    future: asyncio.Future[LedgerResult]
    batch_seq: int = 0


def _record_key(record: LedgerRecord) -> Hashable:
    """Return the key that a record has in common with its result."""
    match record:
        case Grant():
            return 'grant', record.allotment, record.holder
        case Close():
            return 'close', record.allotment, record.closer
        case Claim():
            return (
                'claim',
                record.organisation,
                record.request_id,
                record.holder,
            )
        case ClaimAbandon():
            return (
                'abandon',
                record.organisation,
                record.request_id,
                record.holder,
            )
        case BudgetSet():
            return 'budget', record.organisation, record.manifest_version
    return 'entry', record.allotment, record.seq


def _result_key(result: LedgerResult) -> Hashable:
    match result:
        case GrantDecided():
            return 'grant', result.allotment, result.holder
        case AllotmentClosed() | CloseRejected():
            return 'close', result.allotment, result.closer
        case ClaimDecided():
            return (
                'claim',
                result.organisation,
                result.request_id,
                result.holder,
            )
        case ClaimAbandoned():
            return (
                'abandon',
                result.organisation,
                result.request_id,
                result.holder,
            )
        case BudgetApplied():
            return 'budget', result.organisation, result.manifest_version
    return 'entry', result.allotment, result.seq


class Waiters:
    """Submitted records that wait for their result.

    A result resolves every waiter with its key, because a copy of an entry
    from a journal peer counts as much as the entry of the holder. A result of
    a claim or an abandonment resolves only one waiter, in the order of
    submission: two requests of one router may claim the same id, and only the
    first one wins.
    """

    def __init__(self) -> None:
        self._waiters: dict[Hashable, collections.deque[Waiter]] = {}

    def __len__(self) -> int:
        return sum(len(waiters) for waiters in self._waiters.values())

    def add(self, waiter: Waiter) -> None:
        """Add a submitted record."""
        key = _record_key(waiter.record)
        self._waiters.setdefault(key, collections.deque()).append(waiter)

    def resolve(self, result: LedgerResult) -> None:
        """Set a result on the futures that wait for it."""
        key = _result_key(result)
        waiters = self._waiters.get(key)
        if waiters is None:
            return
        if isinstance(result, ClaimDecided | ClaimAbandoned):
            resolved = [waiters.popleft()]
        else:
            resolved = list(waiters)
            waiters.clear()
        if not waiters:
            del self._waiters[key]
        for waiter in resolved:
            if not waiter.future.done():
                waiter.future.set_result(result)

    def resolve_skipped(self, before: Ledger, after: Ledger, seq: int) -> None:
        """Derive the results that a snapshot has skipped.

        Parameters
        ----------
        before, after : Ledger
            States before and after the snapshot was loaded.
        seq : int
            Last batch of this router that the snapshot contains.
        """
        skipped = [
            waiter
            for waiters in self._waiters.values()
            for waiter in waiters
            if 0 < waiter.batch_seq <= seq
        ]
        for waiter in skipped:
            result = _skipped_result(waiter.record, before, after)
            if result is not None:
                self.resolve(result)


def _skipped_result(
    record: LedgerRecord, before: Ledger, after: Ledger
) -> LedgerResult | None:
    """Return the result of an applied record from the state after it.

    Where the state does not show the result, it is one that cannot lead to a
    second run or a second charge. None if the record is still provisional.
    """
    match record:
        case BudgetSet():
            version = after.budget_version(record.organisation)
            accepted = version == record.manifest_version
            return BudgetApplied(
                record.organisation, record.manifest_version, accepted
            )
        case Grant():
            found = after.allotment(record.allotment)
            usable = (
                found is not None
                and not found.closed
                and found.holder == record.holder
            )
            return GrantDecided(
                record.allotment,
                record.holder,
                found.tokens if usable else 0,
            )
        case Close():
            found = after.allotment(record.allotment)
            if found is not None and found.provisional:
                return None
            if found is not None and not found.closed:
                return CloseRejected(
                    record.allotment, record.closer, 'not_allowed'
                )
            return AllotmentClosed(record.allotment, record.closer)
        case Claim():
            claim = after.claim(record.organisation, record.request_id)
            won = (
                claim is not None
                and claim.state == 'open'
                and claim.holder == record.holder
                and before.claim(record.organisation, record.request_id)
                is None
            )
            return ClaimDecided(
                record.organisation, record.request_id, record.holder, won
            )
        case ClaimAbandon():
            claim = after.claim(record.organisation, record.request_id)
            accepted = claim is None or claim.state == 'abandoned'
            return ClaimAbandoned(
                record.organisation,
                record.request_id,
                record.holder,
                accepted,
            )
    if after.is_provisional(record.allotment):
        return None
    return after.entry_result(record.allotment, record.seq) or EntryApplied(
        record.allotment, record.seq, False, 'forgotten'
    )
