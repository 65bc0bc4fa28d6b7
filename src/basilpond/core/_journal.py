"""Journal peer's copies of allotment entries that wait for the log.

The copies of an allotment are dropped only when this router's own fold has
decided on them or has closed the allotment. A sealed allotment takes no more
copies; see `EndedIds` for the bound on what is remembered.
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

# Dict entry, key and bytes object around a copy, as measured with
# sys.getsizeof on CPython 3.11, rounded up.
COPY_OVERHEAD_BYTES = 200

# Below 1 MB. An older allotment that is rejected for its number commits
# through the log alone, and its holder stops using it.
MAX_SEALED_IDS = 4096

_decoder = msgspec.json.Decoder(Grant | Bill | Transfer | Return)
_entry_decoder = msgspec.json.Decoder(AllotmentEntry)


class JournalFullError(Exception):
    """The copies would exceed the journal's bound; none was kept."""


class JournalMessageError(ValueError):
    """A malformed message; none of its copies was kept."""


@dataclasses.dataclass(slots=True)
class _Copies:
    holder: str
    by_seq: dict[int, bytes] = dataclasses.field(default_factory=dict)
    # Decided entries: all below `decided_below`, and those in `decided`.
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
    """Copies that other routers delivered to this one.

    Parameters
    ----------
    incarnation : str
        Incarnation id of this router. Copies for allotments that name an
        earlier incarnation are rejected: that process has lost its copies,
        so this one must not answer for it.
    max_bytes : int
        Bound on the copies together, their overhead included.
    """

    def __init__(self, incarnation: str, *, max_bytes: int) -> None:
        self.incarnation = incarnation
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._copies: dict[str, _Copies] = {}
        self._sealed = EndedIds(MAX_SEALED_IDS)

    def append(
        self,
        holder: str,
        records: Sequence[bytes],
        *,
        is_closed: Callable[[str], bool],
    ) -> list[str]:
        """Keep copies; all of the message or, on an error, none of it.

        Parameters
        ----------
        holder : str
            Incarnation id of the sender.
        records : sequence of bytes
            JSON of entries. Before the entries of an allotment comes the
            `Grant` or `Transfer` that created it, because this router's fold
            may not know the allotment yet.
        is_closed : callable
            Whether the own fold has closed an allotment.

        Returns
        -------
        list of str
            Allotments whose copies were rejected.

        Raises
        ------
        JournalFullError, JournalMessageError
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
            copies = self._copies.setdefault(allotment, _Copies(holder))
            copies.by_seq[seq] = data

    def seal(self, allotment: str) -> None:
        """Reject all later copies of an allotment."""
        self._sealed.add(allotment)

    def is_sealed(self, allotment: str) -> bool:
        """Return whether an allotment is sealed."""
        return allotment in self._sealed

    def entries(self, allotment: str) -> list[AllotmentEntry]:
        """Return the copies of an allotment, in the holder's order."""
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
        """Note that the own fold has decided on an entry; drop its copy.

        Parameters
        ----------
        allotment : str
        seq : int
        open_holder : str or None
            Holder, if the allotment is open and names this journal. The
            decision is remembered then, so that a copy that arrives late is
            not kept.
        """
        copies = self._copies.get(allotment)
        if copies is None:
            if open_holder is None:
                return
            copies = self._copies[allotment] = _Copies(open_holder)
        copies.record_decided(seq)
        data = copies.by_seq.pop(seq, None)
        if data is not None:
            self.used_bytes -= len(data) + COPY_OVERHEAD_BYTES

    def record_closed(self, allotment: str, *, by_holder: bool) -> None:
        """Note that the own fold has closed an allotment; drop its copies.

        After a close by somebody else the holder may not know of it yet, so
        the allotment stays sealed. A holder sends nothing after its own
        close.
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
        """Iterate over allotment, holder and numbers of the copies."""
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
    """Return the allotment that a record introduces, if it does."""
    if isinstance(record, Grant):
        if record.holder != holder:
            raise JournalMessageError(
                f'grant of {record.holder} in a message of {holder}'
            )
        return record.allotment
    if isinstance(record, Transfer) and record.holder == holder:
        return record.new_allotment
    return None
