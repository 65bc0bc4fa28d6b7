"""Evacuations of data centres: records of the store, reports, log lines."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from ..routing import EvacuationRecord
from ..routing import EvacuationReport
from ..routing import Evacuations
from ._datagrams import messages
from ._decision_log import DecisionLog
from ._directory import ConfigurationState
from ._interfaces import LogEraChangedError
from ._interfaces import LogTrimmedError
from ._interfaces import LogUnavailableError
from ._interfaces import PlatformCodec
from ._interfaces import Record
from ._shared_call import SharedCall

# Time for which reports tell that there are no evacuations, after the last one
# ended or another router reported one: longer than a router is silent before
# it is no longer live.
_ENDED_TOLD_S = 10.0
# A router whose reports are this far apart stood still: they are sent every
# 0.05 to 2 s. What it knew before is then older than usual bounds allow.
_STOOD_STILL_S = 3.0
# Longest time to read what was written meanwhile, before a request is sent.
_READ_AHEAD_TIMEOUT_S = 0.3
# Malformed records whose log lines are not repeated.
_MAX_REJECTED = 16
# Source of records that are read from the store.
_STORE = 'store'


class EvacuationState:
    """Applies records and reports on evacuations.

    Parameters
    ----------
    state : Evacuations
    codec : PlatformCodec
    decisions : DecisionLog
    count_endpoints : callable
        Returns the number of endpoints that are listed in a data centre.
    bound_s : float or None
        Time in which an evacuation must be in force; None where there are
        none.
    """

    def __init__(
        self,
        state: Evacuations,
        codec: PlatformCodec,
        decisions: DecisionLog,
        count_endpoints: Callable[[str], int],
        bound_s: float | None,
    ) -> None:
        self._state = state
        self._codec = codec
        self._decisions = decisions
        self._count_endpoints = count_endpoints
        self._bound_s = bound_s
        # Called with a data centre whose evacuation started or ended.
        self.on_change: Callable[[str], None] = lambda data_centre: None
        # Returns the records of the topic that are not applied yet.
        self.read_ahead: Callable[[], Awaitable[list[Record]]] | None = None
        self._newer_records = SharedCall(self._read_newer_records)
        # When the last report was built, and whether records were not read
        # since this router stood still.
        self._reported_s: float | None = None
        self._is_stale = False
        self._era = -1
        self._tell_until_s = float('-inf')
        # Whether the next report starts a new time of telling.
        self._must_tell = False
        self._rejected: deque[int] = deque(maxlen=_MAX_REJECTED)

    def begin_era(self, era: int) -> None:
        """Note that the next records are of another era of the store."""
        self._era = era

    def apply_newest(
        self, records: list[Record], end: int, *, snapshot: bool
    ) -> None:
        """Apply the newest record of each key."""
        before = {r.data_centre: r for r in self._state if r.active}
        listed = {
            data_centre: (active, record.offset)
            for record, data_centre, active in self._decode(records)
        }
        changes = self._state.apply_newest(
            listed, era=self._era, end=end, snapshot=snapshot
        )
        self._record_changes(changes, _STORE)
        for record in self._state:
            known = before.get(record.data_centre)
            if (
                record.active
                and record.offset < 0
                and known
                not in (
                    None,
                    record,
                )
            ):
                self._log('evacuation_kept', record, _STORE)

    def apply(self, records: list[Record], end: int) -> None:
        """Apply records in order."""
        for record, data_centre, active in self._decode(records):
            if active is None:
                continue
            is_repeated = self._state.is_evacuated(data_centre) is active
            changed = self._state.apply(
                data_centre,
                active=active,
                era=self._era,
                offset=record.offset,
            )
            newest = self._state.find(data_centre)
            if newest is None:
                self._decisions.event(
                    'evacuation_ignored',
                    data_centre=data_centre,
                    offset=record.offset,
                    reason='too many data centres',
                )
            elif changed:
                self._record_changes([newest], _STORE)
            elif is_repeated and newest.version == (self._era, record.offset):
                self._log('evacuation_repeated', newest, _STORE)
        self._state.record_end(self._era, end)

    def _decode(
        self, records: Iterable[Record]
    ) -> Iterable[tuple[Record, str, bool | None]]:
        for record in records:
            try:
                decoded = self._codec.decode_evacuation(
                    record.key, record.value
                )
            except ValueError as error:
                self._log_rejected(record, str(error))
                continue
            if decoded is None:
                continue
            data_centre, active = decoded
            if active is None:
                self._log_rejected(record, 'value is no object')
            yield record, data_centre, active

    def _log_rejected(self, record: Record, reason: str) -> None:
        # A record is read again with each era and with each newest records.
        key = hash((record.key, record.value))
        if key in self._rejected:
            return
        self._rejected.append(key)
        self._decisions.event(
            'evacuation_unreadable',
            key=record.key,
            era=self._era,
            offset=record.offset,
            reason=reason,
        )

    def _record_changes(
        self, changes: Iterable[EvacuationRecord], source: str
    ) -> None:
        for record in changes:
            self._must_tell = True
            self._log(
                'evacuation_started' if record.active else 'evacuation_ended',
                record,
                source,
            )
            self.on_change(record.data_centre)

    def _log(self, event: str, record: EvacuationRecord, source: str) -> None:
        self._decisions.event(
            event,
            data_centre=record.data_centre,
            era=record.era,
            offset=record.offset,
            source=source,
            # None: a data centre that is unknown yet, or misspelt.
            endpoints=self._count_endpoints(record.data_centre) or None,
            bound_s=self._bound_s,
        )

    # A router that stood still.

    def is_stale(self) -> bool:
        """Whether this router stood still and has not read the store since.

        Requests that waited at its sockets are then processed before the
        records that came meanwhile.
        """
        if self._bound_s is None or self._reported_s is None:
            return False
        now_s = asyncio.get_running_loop().time()
        return self._is_stale or now_s - self._reported_s >= _STOOD_STILL_S

    async def refresh(self) -> None:
        """Read what was written while this router stood still.

        Without the store, the last known state holds.
        """
        try:
            async with asyncio.timeout(_READ_AHEAD_TIMEOUT_S):
                records = await self._newer_records()
        except (
            LogUnavailableError,
            LogTrimmedError,
            LogEraChangedError,
            TimeoutError,
        ) as error:
            self._decisions.event(
                'evacuations_not_confirmed',
                routine=True,
                reason=str(error) or 'timed out',
            )
        else:
            if records:
                self.apply(records, records[-1].offset + 1)
        self._is_stale = False
        self._reported_s = asyncio.get_running_loop().time()

    async def _read_newer_records(self) -> list[Record]:
        if self.read_ahead is None:
            raise LogUnavailableError('not read yet')
        return await self.read_ahead()

    # Reports between routers.

    def report(self, now_s: float) -> object | None:
        """Return the part of a report, if other routers may lack it."""
        if (
            self._reported_s is not None
            and now_s - self._reported_s >= _STOOD_STILL_S
        ):
            self._is_stale = True
        self._reported_s = now_s
        if self._must_tell:
            self._must_tell = False
            self._tell_until_s = now_s + _ENDED_TOLD_S
        if not len(self._state) and now_s >= self._tell_until_s:
            return None
        report = self._state.reports()
        return messages.Evacuations(
            era=report.era,
            log_end=report.end,
            records=[
                messages.Evacuation(
                    data_centre=record.data_centre,
                    active=record.active,
                    era=record.era,
                    log_offset=record.offset,
                )
                for record in report.records
            ],
        )

    def apply_report(self, message: object, router: str) -> None:
        """Apply the part of another router's report.

        Parameters
        ----------
        message : object
            From `report`, checked by `decode_datagram`.
        router : str
        """
        report = EvacuationReport(
            message.era,
            message.log_end,
            tuple(
                EvacuationRecord(
                    record.data_centre,
                    record.active,
                    record.era,
                    record.log_offset,
                )
                for record in message.records or ()
            ),
        )
        self._record_changes(self._state.apply_report(report), router)
        if self._state.differs_from(report):
            self._must_tell = True


class OperatorTopic:
    """The topic to which operators write: configuration and evacuations.

    Parameters
    ----------
    configuration : ConfigurationState
    evacuations : EvacuationState
    """

    only_newest = True

    def __init__(
        self, configuration: ConfigurationState, evacuations: EvacuationState
    ) -> None:
        self._configuration = configuration
        self._evacuations = evacuations

    def begin_era(self, era: int) -> None:
        """Apply the records of another era from now on."""
        self._evacuations.begin_era(era)
        self._configuration.begin_era(era)

    def apply_newest(
        self, records: list[Record], end: int, *, snapshot: bool
    ) -> None:
        """Apply the newest record of each key."""
        # First, as a defect in a configuration must not hide an evacuation:
        # these records are not read again.
        self._evacuations.apply_newest(records, end, snapshot=snapshot)
        self._configuration.apply_newest(records, end, snapshot=snapshot)

    def apply(self, records: list[Record], end: int) -> None:
        """Apply records in order."""
        self._evacuations.apply(records, end)
        self._configuration.apply(records, end)

    def update_reachability(self, *, reachable: bool) -> None:
        """Record whether the store responds."""
        self._configuration.update_reachability(reachable=reachable)
