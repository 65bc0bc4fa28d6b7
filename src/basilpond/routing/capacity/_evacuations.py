"""Data centres whose endpoints get no requests.

Operators evacuate a data centre by a record of the store, and end that by
removing it. Routers read the records and report them to each other, so a
router that is cut off from the store learns of them as well. Of two records of
a data centre, the one with the higher (era of the store, offset) is newer.

A read of the newest records, and the report of a router that has read a later
part of the store, lack what was removed. What they lack counts as removed by
the record after the one that is known: the real one has that offset or a
higher one, and any later evacuation follows it.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

# Data centres that are kept, evacuated or not. A deployment has 3 or 4; the
# keys of other writers must not exhaust the memory or a datagram.
MAX_EVACUATIONS = 64
# Offset of what no record of the era says, which any record replaces.
_NO_OFFSET = -1


@dataclasses.dataclass(slots=True, frozen=True)
class EvacuationRecord:
    """Newest record of a data centre.

    Parameters
    ----------
    data_centre : str
    active : bool
        Whether it is evacuated.
    era, offset : int
        Of the record in the store. An offset of -1 stands for a record of an
        earlier era that a restored store has lost, or that is unreadable.
    """

    data_centre: str
    active: bool
    era: int
    offset: int

    @property
    def version(self) -> tuple[int, int]:
        """Key by which records are ordered."""
        return self.era, self.offset


@dataclasses.dataclass(slots=True, frozen=True)
class EvacuationReport:
    """What a router knows of all data centres.

    Parameters
    ----------
    era, end : int
        All records before this offset of the era are applied.
    records : tuple of EvacuationRecord
    """

    era: int
    end: int
    records: tuple[EvacuationRecord, ...]


class Evacuations:
    """Newest record of each data centre, of the store or other routers.

    Examples
    --------
    >>> evacuations = Evacuations()
    >>> evacuations.apply('dc1', active=True, era=1, offset=7)
    True
    >>> evacuations.is_evacuated('dc1')
    True
    >>> evacuations.apply('dc1', active=False, era=1, offset=6)
    False
    """

    __slots__ = ('_end', '_era', '_is_complete', '_records')

    def __init__(self) -> None:
        self._records: dict[str, EvacuationRecord] = {}
        # All records before this offset of the era are applied.
        self._era = -1
        self._end = 0
        # Whether no record was left out for lack of room.
        self._is_complete = True

    def __len__(self) -> int:
        return sum(record.active for record in self._records.values())

    def __iter__(self) -> Iterator[EvacuationRecord]:
        return iter(self._records.values())

    def find(self, data_centre: str) -> EvacuationRecord | None:
        """Return the newest record of a data centre."""
        return self._records.get(data_centre)

    def is_evacuated(self, data_centre: str) -> bool:
        """Whether the endpoints of a data centre get no requests."""
        record = self._records.get(data_centre)
        return record is not None and record.active

    def apply(
        self, data_centre: str, *, active: bool, era: int, offset: int
    ) -> bool:
        """Apply a record; return whether an evacuation started or ended."""
        known = self._records.get(data_centre)
        if known is not None and (era, offset) <= known.version:
            return False
        if known is None and not self._make_room():
            self._is_complete = False
            return False
        self._records[data_centre] = EvacuationRecord(
            data_centre, active, era, offset
        )
        return active != (known is not None and known.active)

    def record_end(self, era: int, end: int) -> None:
        """Note that all records before an offset are applied."""
        self._era = era
        self._end = end

    def apply_newest(
        self,
        listed: Mapping[str, tuple[bool | None, int]],
        *,
        era: int,
        end: int,
        snapshot: bool,
    ) -> list[EvacuationRecord]:
        """Apply the newest record of each data centre that the store lists.

        Parameters
        ----------
        listed : mapping of str to (bool or None, int)
            By data centre, whether it is evacuated and the offset. None
            stands for an unreadable record, which changes nothing.
        era, end : int
            Era and end of the store.
        snapshot : bool
            Whether the records are those at one time. Otherwise only what
            was applied from the store before can be missing.

        Returns
        -------
        list of EvacuationRecord
            Of the evacuations that started or ended.
        """
        before = self._active()
        is_new_era = era != self._era
        for data_centre, (active, offset) in listed.items():
            if active is not None:
                self.apply(data_centre, active=active, era=era, offset=offset)
            elif data_centre not in self._records:
                # Other routers may know of a record before this one.
                self.apply(
                    data_centre, active=False, era=era, offset=_NO_OFFSET
                )
        seen_end = end if snapshot else 0 if is_new_era else self._end
        for record in list(self._records.values()):
            if not record.active or record.data_centre in listed:
                continue
            if record.era == era:
                self._end_if_passed(record, seen_end)
            elif record.era < era and is_new_era:
                self._carry_over(record, era, end)
        if snapshot:
            self.record_end(era, end)
        elif is_new_era:
            self.record_end(era, 0)
        return self._changes(before)

    def _carry_over(
        self, record: EvacuationRecord, era: int, end: int
    ) -> None:
        # A store that is shorter than a record and its removal has lost the
        # record: nobody has ended the evacuation.
        if record.offset + 1 < end:
            self._records[record.data_centre] = dataclasses.replace(
                record, active=False, offset=record.offset + 1
            )
        else:
            self._records[record.data_centre] = dataclasses.replace(
                record, era=era, offset=_NO_OFFSET
            )

    def _end_if_passed(self, record: EvacuationRecord, end: int) -> None:
        if _NO_OFFSET < record.offset < end:
            self._records[record.data_centre] = dataclasses.replace(
                record, active=False, offset=record.offset + 1
            )

    def reports(self) -> EvacuationReport:
        """Return what to tell other routers."""
        return EvacuationReport(
            self._era,
            self._end if self._is_complete else 0,
            tuple(self._records.values()),
        )

    def apply_report(self, report: EvacuationReport) -> list[EvacuationRecord]:
        """Apply what another router knows.

        Returns
        -------
        list of EvacuationRecord
            Of the evacuations that started or ended.
        """
        before = self._active()
        for record in report.records:
            if (
                record.data_centre not in self._records
                and record.era == self._era
                and _NO_OFFSET < record.offset < self._end
            ):
                # Removed before the records that this router has read.
                continue
            self.apply(
                record.data_centre,
                active=record.active,
                era=record.era,
                offset=record.offset,
            )
        told = {record.data_centre for record in report.records}
        for record in list(self._records.values()):
            if (
                record.active
                and record.data_centre not in told
                and record.era == report.era
            ):
                self._end_if_passed(record, report.end)
        return self._changes(before)

    def differs_from(self, report: EvacuationReport) -> bool:
        """Whether the sender of a report does not know what is known here."""
        told = {r.data_centre for r in report.records if r.active}
        return told != self._active()

    def _active(self) -> set[str]:
        return {r.data_centre for r in self._records.values() if r.active}

    def _changes(self, before: Iterable[str]) -> list[EvacuationRecord]:
        changed = self._active() ^ set(before)
        return [self._records[name] for name in sorted(changed)]

    def _make_room(self) -> bool:
        if len(self._records) < MAX_EVACUATIONS:
            return True
        ended = [r for r in self._records.values() if not r.active]
        if not ended:
            return False
        oldest = min(ended, key=lambda record: record.version)
        del self._records[oldest.data_centre]
        return True
