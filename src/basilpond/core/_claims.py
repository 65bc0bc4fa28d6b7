"""Claims and accepted bills of keyed requests, kept for a limited time.

A keyed request has the caller's ``Idempotency-Key`` as its id. Only the first
bill of the id counts. Before a router runs a non-idempotent request, it must
win a claim on the id.
"""

from __future__ import annotations

from collections.abc import Iterator
import sys
from typing import Literal

import msgspec

from ._ledger_results import ClaimAbandoned
from ._ledger_results import ClaimDecided
from ._ledger_results import ClaimState
from ._ledger_results import ClaimView
from ._records import Bill
from ._records import Claim
from ._records import ClaimAbandon
from ._validation import JsonDecoder


class KeyedIdRow(msgspec.Struct, array_like=True, frozen=True):
    """Keyed request id in a snapshot; fields as in `_KeyedId`."""

    key: str
    time_ms: int
    holder: str
    body_digest: str
    state: ClaimState | Literal['']
    bill: msgspec.Raw


class _KeyedId(msgspec.Struct, gc=False):
    """Claim and bill of one request id.

    `state` is empty if there is a bill without a claim. `bill` is JSON, empty
    without a bill; it takes a third of the memory of a decoded record.
    """

    time_ms: int
    holder: str = ''
    body_digest: str = ''
    state: str = ''
    bill: bytes = b''


class _StoredBill(msgspec.Struct, array_like=True, frozen=True):
    """Fields of a `Bill` that the key of the id does not imply."""

    allotment: str
    seq: int
    tokens: int
    outcome: str
    body_digest: str
    endpoint: str
    answer_status: int
    answer: str | None


_bill_decoder = JsonDecoder(_StoredBill)
_NO_BILL = msgspec.Raw(b'null')


def _key(organisation: str, request_id: str) -> str:
    # Names of organisations contain no slash, so the key is unambiguous.
    return f'{organisation}/{request_id}'


class KeyedIds:
    """Claims and accepted bills by organisation and request id.

    The ids are ordered by the time of their last change, so `expire` checks
    only the oldest.

    Parameters
    ----------
    keep_ms : int
        Time after its last change for which an id is kept, in log time.
    """

    __slots__ = ('_ids', '_keep_ms')

    def __init__(self, keep_ms: int) -> None:
        self._keep_ms = keep_ms
        self._ids: dict[str, _KeyedId] = {}

    def __len__(self) -> int:
        return len(self._ids)

    def expire(self, time_ms: int) -> None:
        """Drop the ids whose last change is more than `keep_ms` ago."""
        while self._ids:
            key = next(iter(self._ids))
            if time_ms - self._ids[key].time_ms <= self._keep_ms:
                return
            del self._ids[key]

    def is_billed(self, organisation: str, request_id: str) -> bool:
        """Return whether a bill of the id was accepted."""
        keyed = self._ids.get(_key(organisation, request_id))
        return keyed is not None and bool(keyed.bill)

    def record_bill(self, bill: Bill, time_ms: int) -> None:
        """Store the first bill of an id and mark its claim as billed.

        Raises
        ------
        AssertionError
            If the id has a bill.
        """
        keyed = self._refresh(
            _key(bill.organisation, bill.request_id), time_ms
        )
        assert not keyed.bill, 'the id has a bill already'
        stored = _StoredBill(
            bill.allotment,
            bill.seq,
            bill.tokens,
            bill.outcome,
            bill.body_digest,
            bill.endpoint,
            bill.answer_status,
            bill.answer,
        )
        keyed.bill = msgspec.json.encode(stored)
        if keyed.state:
            keyed.state = 'billed'

    def recorded_bill(self, organisation: str, request_id: str) -> Bill | None:
        """Return the accepted bill of an id, if any."""
        keyed = self._ids.get(_key(organisation, request_id))
        if keyed is None or not keyed.bill:
            return None
        stored = _bill_decoder.decode(keyed.bill)
        return Bill(
            organisation=organisation,
            request_id=request_id,
            keyed=True,
            **msgspec.structs.asdict(stored),
        )

    def claim(self, organisation: str, request_id: str) -> ClaimView | None:
        """Return the latest claim on an id, if any."""
        keyed = self._ids.get(_key(organisation, request_id))
        if keyed is None or not keyed.state:
            return None
        return ClaimView(keyed.holder, keyed.body_digest, keyed.state)

    def apply_claim(
        self, claim: Claim, time_ms: int
    ) -> Iterator[ClaimDecided]:
        """Apply a claim; it wins unless the id is claimed or billed.

        An abandoned claim doesn't count.
        """
        key = _key(claim.organisation, claim.request_id)
        keyed = self._ids.get(key)
        won = keyed is None or (keyed.state == 'abandoned' and not keyed.bill)
        if won:
            keyed = self._refresh(key, time_ms)
            keyed.holder = sys.intern(claim.holder)
            keyed.body_digest = claim.body_digest
            keyed.state = 'open'
        yield ClaimDecided(
            claim.organisation, claim.request_id, claim.holder, won
        )

    def apply_abandon(
        self, abandon: ClaimAbandon, time_ms: int
    ) -> Iterator[ClaimAbandoned]:
        """Mark an open claim as abandoned, if it has the same holder."""
        key = _key(abandon.organisation, abandon.request_id)
        keyed = self._ids.get(key)
        accepted = (
            keyed is not None
            and keyed.state == 'open'
            and keyed.holder == abandon.holder
        )
        if accepted:
            self._refresh(key, time_ms).state = 'abandoned'
        yield ClaimAbandoned(
            abandon.organisation,
            abandon.request_id,
            abandon.holder,
            accepted,
        )

    def to_rows(self) -> Iterator[KeyedIdRow]:
        """Yield the ids for a snapshot, the least recently changed first."""
        for key, keyed in self._ids.items():
            yield KeyedIdRow(
                key,
                keyed.time_ms,
                keyed.holder,
                keyed.body_digest,
                keyed.state,
                msgspec.Raw(keyed.bill) if keyed.bill else _NO_BILL,
            )

    def load_rows(self, rows: list[KeyedIdRow]) -> None:
        """Add ids of a snapshot, in the order of `to_rows`."""
        for row in rows:
            self._ids[row.key] = _KeyedId(
                row.time_ms,
                sys.intern(row.holder),
                row.body_digest,
                sys.intern(row.state),
                b'' if bytes(row.bill) == b'null' else bytes(row.bill),
            )

    def _refresh(self, key: str, time_ms: int) -> _KeyedId:
        keyed = self._ids.pop(key, None) or _KeyedId(time_ms)
        keyed.time_ms = time_ms
        self._ids[key] = keyed
        return keyed
