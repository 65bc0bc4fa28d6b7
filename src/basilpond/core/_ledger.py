"""State of the ``ledger`` stream: batches, budgets, allotments and claims.

Every router reads the stream from the shared log and applies its entries in
order. This is deterministic: the same entries give the same state and results
on every router, whether it read all of them or started from a snapshot. The
only clock used is the log's append time.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import sys
from typing import Any
from typing import TypeVar

import msgspec

from ._allotment_records import AllotmentsState
from ._allotments import Allotments
from ._claims import KeyedIdRow
from ._claims import KeyedIds
from ._ledger_results import AllotmentView
from ._ledger_results import BudgetView
from ._ledger_results import ClaimView
from ._ledger_results import EntryApplied
from ._ledger_results import LedgerResult
from ._records import Batch
from ._records import Bill
from ._records import BudgetSet
from ._records import Claim
from ._records import ClaimAbandon
from ._records import Close
from ._records import Grant
from ._records import LedgerRecord
from ._records import Return
from ._records import Transfer
from ._validation import JsonDecoder

T = TypeVar('T')

HOUR_MS = 3_600_000

# A key is accepted until `deduplication_window_ms` after its issue time, which
# may be 5 minutes ahead of the log's clock. The other 5 minutes cover the
# difference between the clocks of the routers.
KEY_MARGIN_MS = 600_000

# Copies of entries that a journal peer sent before it learned of the close
# arrive within the time of a few appends.
CLOSED_BY_HOLDER_KEEP_MS = 120_000


class _Writer(msgspec.Struct, array_like=True, gc=False):
    """Last batch of a router, by which repeated batches are detected."""

    id: str
    last_seq: int
    time_ms: int


# Encoding or decoding a chunk of this many rows takes 1 to 2 ms.
CHUNK_ROWS = 256


class _Chunk(msgspec.Struct, omit_defaults=True):
    """Part of a snapshot; every part contains `offset` and `time_ms`."""

    offset: int
    time_ms: int
    writers: list[_Writer] = []
    allotments: AllotmentsState | None = None
    keyed_ids: list[KeyedIdRow] = []


# Sorts sets and mappings, so that equal ledgers have equal snapshots.
_state_encoder = msgspec.json.Encoder(order='deterministic')
_state_decoder = JsonDecoder(_Chunk)


class Ledger:
    """State of the ``ledger`` stream after the entries applied so far.

    Parameters
    ----------
    deduplication_window_ms : int
        Time in which keyed request ids are accepted. Claims and keyed bills
        are kept for `KEY_MARGIN_MS` longer. Writers, allotments closed by
        others than their holder, and entries that wait for a transfer are
        kept for the window. All routers must use the same value, because the
        results depend on it.

    Attributes
    ----------
    offset : int
        Offset of the last entry applied, -1 before the first.
    time_ms : int
        Highest append time applied.
    """

    __slots__ = (
        '_allotments',
        '_keyed_ids',
        '_window_ms',
        '_writers',
        'offset',
        'time_ms',
    )

    def __init__(self, *, deduplication_window_ms: int = 24 * HOUR_MS) -> None:
        self._window_ms = deduplication_window_ms
        self._keyed_ids = KeyedIds(deduplication_window_ms + KEY_MARGIN_MS)
        self._allotments = Allotments(
            self._keyed_ids,
            closed_by_holder_keep_ms=CLOSED_BY_HOLDER_KEEP_MS,
            closed_by_other_keep_ms=deduplication_window_ms,
            provisional_keep_ms=deduplication_window_ms,
        )
        # Ordered by the time of the last batch.
        self._writers: dict[str, _Writer] = {}
        self.offset = -1
        self.time_ms = 0

    # Reading

    def budget(self, organisation: str) -> BudgetView | None:
        """Return the sums of an organisation, None without a budget."""
        return self._allotments.budget(organisation)

    def budget_version(self, organisation: str) -> int:
        """Return the manifest version of a budget, 0 without one."""
        return self._allotments.budget_version(organisation)

    @property
    def manifest_version(self) -> int:
        """Highest manifest version of any budget, 0 without one."""
        return self._allotments.manifest_version

    @property
    def budget_changes(self) -> int:
        """Number of budget records accepted by this object."""
        return self._allotments.budget_changes

    def organisations(self) -> Iterator[str]:
        """Return the organisations that have a budget."""
        return self._allotments.organisations()

    def allotment(self, allotment: str) -> AllotmentView | None:
        """Return an open, provisional or recently closed allotment."""
        return self._allotments.allotment(allotment)

    def allotments_of(self, holder: str) -> Iterator[AllotmentView]:
        """Return the open allotments of a holder, oldest first."""
        return self._allotments.allotments_of(holder)

    def remaining_by_holder(self, organisation: str) -> dict[str, int]:
        """Return the unspent tokens of each holder with open allotments."""
        return self._allotments.remaining_by_holder(organisation)

    def holders(self) -> Iterator[str]:
        """Return the holders of open allotments."""
        return self._allotments.holders()

    def entry_result(self, allotment: str, seq: int) -> EntryApplied | None:
        """Return the result of an entry, None if it was not applied."""
        return self._allotments.entry_result(allotment, seq)

    def is_provisional(self, allotment: str) -> bool:
        """Return whether entries wait for the allotment's transfer."""
        return self._allotments.is_provisional(allotment)

    def recorded_bill(self, organisation: str, request_id: str) -> Bill | None:
        """Return the accepted bill of a keyed request id, if any."""
        return self._keyed_ids.recorded_bill(organisation, request_id)

    def claim(self, organisation: str, request_id: str) -> ClaimView | None:
        """Return the latest claim on a request id, if any."""
        return self._keyed_ids.claim(organisation, request_id)

    def writer_seq(self, writer: str) -> int:
        """Return the number of a writer's last batch, 0 if it is unknown."""
        found = self._writers.get(writer)
        return 0 if found is None else found.last_seq

    # Applying entries

    def apply(
        self, batch: Batch, offset: int, time_ms: int
    ) -> Iterator[LedgerResult]:
        """Apply one entry of the stream and return its results.

        An entry at or below the `offset` attribute has no effect, nor has a
        batch that was applied before.

        Parameters
        ----------
        batch : Batch
            Payload of the entry.
        offset : int
            Offset of the entry in the stream.
        time_ms : int
            Append time of the entry in the log.
        """
        if offset <= self.offset:
            return iter(())
        self.offset = offset
        # If the log's clock is set back, expired state must not become valid
        # again.
        self.time_ms = max(self.time_ms, time_ms)
        # The list makes the state change now, not while the result is read.
        return iter(list(self._apply_batch(batch)))

    def _apply_batch(self, batch: Batch) -> Iterator[LedgerResult]:
        self._keyed_ids.expire(self.time_ms)
        yield from self._allotments.expire(self.time_ms)
        self._expire_writers()
        if batch.seq <= self.writer_seq(batch.writer):
            return
        self._writers.pop(batch.writer, None)
        writer = _Writer(sys.intern(batch.writer), batch.seq, self.time_ms)
        self._writers[writer.id] = writer
        for record in batch.records:
            yield from self._apply_record(record)

    def _apply_record(self, record: LedgerRecord) -> Iterator[LedgerResult]:
        match record:
            case Bill() | Transfer() | Return():
                return self._allotments.apply_entry(record, self.time_ms)
            case Grant():
                return self._allotments.apply_grant(record)
            case Close():
                return self._allotments.apply_close(record, self.time_ms)
            case Claim():
                return self._keyed_ids.apply_claim(record, self.time_ms)
            case ClaimAbandon():
                return self._keyed_ids.apply_abandon(record, self.time_ms)
            case BudgetSet():
                return self._allotments.apply_budget(record)
        # A `LedgerSnapshot` contains a state that is already applied here.
        return iter(())

    def _expire_writers(self) -> None:
        # A batch that is appended again after its writer has expired is
        # applied again. This changes no sum: each entry is applied once by
        # its own sequence number, and each grant once by its allotment id.
        while self._writers:
            oldest = next(iter(self._writers.values()))
            if self.time_ms - oldest.time_ms <= self._window_ms:
                return
            del self._writers[oldest.id]

    def check_sums(self) -> None:
        """Assert that the kept sums equal those of the open allotments."""
        self._allotments.check_sums()

    # Snapshots

    def to_snapshot(self) -> bytes:
        """Return the complete state; equal states give equal bytes."""
        return b''.join(self.snapshot_chunks())

    def snapshot_chunks(self) -> Iterator[bytes]:
        """Yield the state as lines of JSON, each encoded in 1 to 2 ms.

        No entry may be applied until the last chunk has been read.
        """
        yield self._encode_chunk()
        for writers in _slices(self._writers.values()):
            yield self._encode_chunk(writers=writers)
        for state in self._allotments.to_states(CHUNK_ROWS):
            yield self._encode_chunk(allotments=state)
        for rows in _slices(self._keyed_ids.to_rows()):
            yield self._encode_chunk(keyed_ids=rows)

    def _encode_chunk(self, **fields: Any) -> bytes:
        chunk = _Chunk(self.offset, self.time_ms, **fields)
        return _state_encoder.encode(chunk) + b'\n'

    def load_chunk(self, chunk: bytes) -> None:
        """Add one chunk of a snapshot to a new ledger.

        The chunks must be added in the order of `snapshot_chunks`.

        Raises
        ------
        msgspec.MsgspecError
            If the data is not a chunk.
        """
        state = _state_decoder.decode(chunk)
        self.offset = state.offset
        self.time_ms = state.time_ms
        self._writers.update((w.id, w) for w in state.writers)
        if state.allotments is not None:
            self._allotments.load_state(state.allotments)
        self._keyed_ids.load_rows(state.keyed_ids)

    @classmethod
    def from_snapshot(
        cls, data: bytes, *, deduplication_window_ms: int = 24 * HOUR_MS
    ) -> Ledger:
        """Restore a ledger from the bytes of `to_snapshot`.

        Raises
        ------
        msgspec.MsgspecError
            If the data is not a snapshot.
        """
        ledger = cls(deduplication_window_ms=deduplication_window_ms)
        for chunk in data.splitlines():
            ledger.load_chunk(chunk)
        return ledger


def _slices(rows: Iterable[T]) -> Iterator[list[T]]:
    iterator = iter(rows)
    while part := list(itertools.islice(iterator, CHUNK_ROWS)):
        yield part
