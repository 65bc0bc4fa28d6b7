"""Copies of other routers' allotment entries, kept by their journal peer.

A router that bills a request sends a copy of the entry to the journal peer of
the allotment, so that the entry is not lost if the router fails before the
entry is in the log. The copies are dropped only when the ledger state of this
router (the journal peer) contains the results of the entries or has closed
the allotment. A sealed allotment accepts no more copies. `EndedIds` limits
the memory for the ids of sealed allotments.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

import msgspec

from ._ended_ids import EndedIds
from ._records import AllotmentEntry
from ._records import Bill
from ._records import Grant
from ._records import Return
from ._records import Transfer
from ._validation import JsonDecoder

# Dict entry, key and bytes object around a copy, by sys.getsizeof on CPython
# 3.11, rounded up.
COPY_OVERHEAD_BYTES = 200

# Takes less than 1 MB. An older allotment that is rejected because of its
# number has its entries committed through the log alone, and its holder stops
# using it.
MAX_SEALED_IDS = 4096

_decoder = JsonDecoder(Grant | Bill | Transfer | Return)
_entry_decoder = JsonDecoder(AllotmentEntry)


class JournalFullError(Exception):
    """The copies would exceed the size limit; none was stored."""


class JournalMessageError(ValueError):
    """A message is malformed; none of its copies was stored."""


@dataclasses.dataclass(slots=True)
class _AllotmentCopies:
    holder: str
    by_seq: dict[int, bytes] = dataclasses.field(default_factory=dict)
    # Entries with a result in the ledger: all with a sequence number below
    # `decided_below`, and those in `decided`.
    decided_below: int = 1
    decided: set[int] = dataclasses.field(default_factory=set)

    def record_decided(self, seq: int) -> None:
        if seq < self.decided_below:
            return
        self.decided.add(seq)
        while self.decided_below in self.decided:
            self.decided.remove(self.decided_below)
            self.decided_below += 1

    def is_decided(self, seq: int) -> bool:
        return seq < self.decided_below or seq in self.decided


class Journal:
    """Copies of entries that other routers have sent to this one.

    Parameters
    ----------
    incarnation : str
        Incarnation id of this router. Copies for allotments that name an
        earlier incarnation as journal peer are rejected: the copies of that
        process are lost, so this one must not acknowledge in its place.
    max_bytes : int
        Upper limit of `used_bytes`.

    Attributes
    ----------
    used_bytes : int
        Size of all copies, with `COPY_OVERHEAD_BYTES` for each.
    """

    def __init__(self, incarnation: str, *, max_bytes: int) -> None:
        self.incarnation = incarnation
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._copies: dict[str, _AllotmentCopies] = {}
        self._sealed = EndedIds(MAX_SEALED_IDS)

    def append(
        self,
        holder: str,
        records: Sequence[bytes],
        *,
        is_closed: Callable[[str], bool],
    ) -> list[str]:
        """Store the copies of a message; on an error, none of them.

        Parameters
        ----------
        holder : str
            Incarnation id of the sender.
        records : sequence of bytes
            JSON of entries. The entries of an allotment must be preceded by
            the `Grant` or `Transfer` that created it, because the ledger
            state of this router may not contain the allotment yet.
        is_closed : callable
            Returns whether the ledger state of this router has closed the
            allotment with the given id.

        Returns
        -------
        list of str
            Ids of the allotments whose copies were rejected.

        Raises
        ------
        JournalFullError
            If the copies would exceed `max_bytes`.
        JournalMessageError
            If a record is malformed or its allotment was not introduced.
        """
        accepted: dict[tuple[str, int], bytes] = {}
        introduced: set[str] = set()
        rejected: dict[str, None] = {}
        for data in records:
            record = _decode(data)
            created = _created_allotment(record, holder)
            if created is not None:
                if record.journal_peer == self.incarnation:
                    introduced.add(created)
                else:
                    rejected[created] = None
                continue
            allotment = record.allotment
            if allotment in rejected:
                continue
            if allotment in self._sealed or is_closed(allotment):
                rejected[allotment] = None
            elif allotment not in introduced:
                raise JournalMessageError(
                    f'entry of allotment {allotment} without its grant'
                )
            elif not self._has_copy(allotment, record.seq):
                accepted[allotment, record.seq] = data
        self._store_copies(holder, accepted)
        return list(rejected)

    def _has_copy(self, allotment: str, seq: int) -> bool:
        copies = self._copies.get(allotment)
        return copies is not None and (
            seq in copies.by_seq or copies.is_decided(seq)
        )

    def _store_copies(
        self, holder: str, accepted: dict[tuple[str, int], bytes]
    ) -> None:
        added_bytes = sum(
            len(data) + COPY_OVERHEAD_BYTES for data in accepted.values()
        )
        if self.used_bytes + added_bytes > self.max_bytes:
            raise JournalFullError(
                f'journal of {self.used_bytes} bytes; at most {self.max_bytes}'
            )
        self.used_bytes += added_bytes
        for (allotment, seq), data in accepted.items():
            copies = self._copies.setdefault(
                allotment, _AllotmentCopies(holder)
            )
            copies.by_seq[seq] = data

    def seal(self, allotment: str) -> None:
        """Reject all later copies of an allotment."""
        self._sealed.add(allotment)

    def is_sealed(self, allotment: str) -> bool:
        """Return whether an allotment is sealed."""
        return allotment in self._sealed

    def entries(self, allotment: str) -> list[AllotmentEntry]:
        """Return the copies of an allotment by ascending sequence number."""
        copies = self._copies.get(allotment)
        if copies is None:
            return []
        return [
            _entry_decoder.decode(copies.by_seq[seq])
            for seq in sorted(copies.by_seq)
        ]

    def record_decided(
        self, allotment: str, seq: int, *, open_holder: str | None
    ) -> None:
        """Record that the ledger has a result of an entry; drop its copy.

        Parameters
        ----------
        allotment : str
        seq : int
        open_holder : str or None
            Holder if the allotment is open and this router is its journal
            peer, else None. With a holder, the sequence number is kept, so
            that a copy that arrives later is not stored.
        """
        copies = self._copies.get(allotment)
        if copies is None:
            if open_holder is None:
                return
            copies = self._copies[allotment] = _AllotmentCopies(open_holder)
        copies.record_decided(seq)
        data = copies.by_seq.pop(seq, None)
        if data is not None:
            self.used_bytes -= len(data) + COPY_OVERHEAD_BYTES

    def record_closed(self, allotment: str, *, by_holder: bool) -> None:
        """Record that the ledger has closed an allotment; drop its copies.

        A holder sends no copies after its own close. If another router closed
        the allotment, the holder may not know that yet, so the allotment
        remains sealed.
        """
        copies = self._copies.pop(allotment, None)
        if copies is not None:
            self.used_bytes -= sum(
                len(data) + COPY_OVERHEAD_BYTES
                for data in copies.by_seq.values()
            )
        if not by_holder:
            self._sealed.add(allotment)

    def allotments(self) -> Iterator[tuple[str, str, list[int]]]:
        """Iterate over allotment id, holder and sequence numbers."""
        for allotment, copies in list(self._copies.items()):
            yield allotment, copies.holder, list(copies.by_seq)


def _decode(data: bytes) -> Grant | AllotmentEntry:
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise JournalMessageError(f'malformed copy: {error}') from error


def _created_allotment(
    record: Grant | AllotmentEntry, holder: str
) -> str | None:
    """Return the id of the allotment that a record creates, if any.

    Raises
    ------
    JournalMessageError
        If the record is a grant of another router than `holder`.
    """
    if isinstance(record, Grant):
        if record.holder != holder:
            raise JournalMessageError(
                f'grant of {record.holder} in a message of {holder}'
            )
        return record.allotment
    if isinstance(record, Transfer) and record.holder == holder:
        return record.new_allotment
    return None
