"""Configuration and endpoints that the platform's store lists."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from ..http1 import ConnectionPool
from ..routing import Catalogue
from ..routing import Endpoint
from ..routing import EndpointHistory
from ..routing import EndpointLoad
from ..routing import EndpointSpeeds
from ..routing import EntryVerdict
from ..routing import Evacuations
from ..routing import LeavingIncarnations
from ..routing import long_prompt_endpoints
from ._decision_log import DecisionLog
from ._interfaces import ColdTimeError
from ._interfaces import LogEraChangedError
from ._interfaces import LogTrimmedError
from ._interfaces import LogUnavailableError
from ._interfaces import PlatformCodec
from ._interfaces import Record
from ._peer_records import endpoint_number
from ._shared_call import SharedCall

# A new connection takes one round trip and 1 ms at the endpoint; a lost packet
# is retransmitted after 200 ms.
CONNECT_TIMEOUT_S = 0.4
# Time after the end of a store outage in which entries that lapsed during the
# outage, or that the store has lost in it, are written again, if their servers
# are alive.
_LAPSE_GRACE_S = 2.0
# Time after the end of a store outage in which entries from before it may be
# read.
_DELAYED_S = 2.0
# Source of versions that are read from the store.
_STORE = 'store'
# Rejected records whose log lines are not repeated.
_MAX_REJECTED = 16
# Endpoints report every 1.2 s, and an entry lapses after three such intervals
# without a report. The last report is up to one interval old when an outage of
# the store begins, so no entry lapses in a shorter outage.
_MIN_LAPSE_S = 2.4
# Mean use of the endpoints of a service from which the busiest of them is
# compared to the mean; with less, chance decides.
_MIN_BUSY = 0.05
# Longest time to learn from the store whether an endpoint was replaced, before
# a stream goes on there.
_READ_AHEAD_TIMEOUT_S = 0.3


class ConfigurationState:
    """Newest version of the operators' configuration.

    Parameters
    ----------
    codec : PlatformCodec
    decisions : DecisionLog
    on_change : callable
        Called with the new catalogue.
    """

    only_newest = True

    def __init__(
        self,
        codec: PlatformCodec,
        decisions: DecisionLog,
        on_change: Callable[[Catalogue], None],
    ) -> None:
        self._codec = codec
        self._decisions = decisions
        self._on_change = on_change
        self.catalogue: Catalogue | None = None
        # Set, and replaced, when another version is in force.
        self.changed = asyncio.Event()
        # Whether requests may be handled by the version in force.
        self.in_use = False
        # Encoded form of the version in force.
        self.data: bytes | None = None
        self._era: int | None = None
        # Era in which the version in force was read from the store.
        self._read_era: int | None = None
        # Hash values of the last records that were rejected.
        self._rejected: deque[int] = deque(maxlen=_MAX_REJECTED)

    @property
    def serving(self) -> Catalogue | None:
        """Catalogue to handle requests by, if there is one."""
        return self.catalogue if self.in_use else None

    def begin_era(self, era: int) -> None:
        """Note that the next records are of another era of the store."""
        self._era = era

    def apply_newest(
        self, records: list[Record], end: int, *, snapshot: bool
    ) -> None:
        """Apply the newest record of each key."""
        self.apply(records, end)

    def apply(self, records: list[Record], end: int) -> None:
        """Apply the newest version in some records."""
        for record in records:
            if record.key == self._codec.configuration_key and record.value:
                self.apply_version(record.value, source=_STORE)

    def update_reachability(self, *, reachable: bool) -> None:
        """Keep the version in force, whether or not the store responds."""

    def apply_version(self, data: bytes, *, source: str) -> None:
        """Apply a version unless the same or a newer one is in force.

        Operators may publish other content under the number of a version that
        the store has lost. The store's version then replaces one of the same
        number that was not read in the present era.
        """
        if data == self.data:
            self._note_read(source)
            return
        try:
            configuration = self._codec.decode_configuration(data)
        except ValueError as error:
            self._log_rejected(
                'configuration_unreadable', data, source, reason=str(error)
            )
            return
        version = configuration.version
        known = self.catalogue
        if known is not None and version < known.version:
            self._log_rejected(
                'configuration_older',
                data,
                source,
                version=version,
                known=known.version,
            )
            return
        if known is not None and version == known.version:
            if configuration == known.configuration:
                self._note_read(source)
                return
            if source != _STORE or self._read_era == self._era:
                self._log_rejected(
                    'configuration_differs', data, source, version=version
                )
                return
        self.catalogue = Catalogue(configuration)
        self.data = data
        self._read_era = None
        self._note_read(source)
        self._decisions.event(
            'configuration_applied',
            version=version,
            replaced=None if known is None else known.version,
            source=source,
            era=self._era,
            size_bytes=len(data),
            routes=len(configuration.routes),
            organisations=len(configuration.organisations or ()),
            problems=list(configuration.problems) or None,
        )
        self._on_change(self.catalogue)
        self.changed.set()
        self.changed = asyncio.Event()

    def _note_read(self, source: str) -> None:
        if source == _STORE:
            self._read_era = self._era

    def _log_rejected(
        self, event: str, data: bytes, source: str, **inputs: object
    ) -> None:
        # A record is read again with each era and with each newest records.
        key = hash(data)
        if key in self._rejected:
            return
        self._rejected.append(key)
        self._decisions.event(event, source=source, era=self._era, **inputs)


class EndpointEntry:
    """An endpoint with its load and its connections."""

    __slots__ = (
        'endpoint',
        'incarnation_number',
        'load',
        'number',
        'pool',
        'relayed_pool',
    )

    def __init__(
        self,
        endpoint: Endpoint,
        cache_retention_s: float,
        speeds: EndpointSpeeds | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.number = endpoint_number(endpoint.id)
        # The same for its process, as it may start again under its id.
        self.incarnation_number = endpoint_number(repr(endpoint.incarnation))
        if speeds is not None:
            speeds.track(
                self.incarnation_number, endpoint.service, endpoint.version
            )
        self.load = EndpointLoad(
            endpoint, cache_retention_s, speeds, self.incarnation_number
        )
        self.pool = ConnectionPool(
            endpoint.host, endpoint.port, CONNECT_TIMEOUT_S
        )
        # Idle connections through other routers.
        self.relayed_pool = ConnectionPool(
            endpoint.host, endpoint.port, CONNECT_TIMEOUT_S
        )


class EndpointDirectory:
    """Endpoints that the platform lists.

    Parameters
    ----------
    codec : PlatformCodec
    decisions : DecisionLog
    cache_retention_s : float
        Time for which prompt prefixes count as cached by an endpoint.
    evacuations : Evacuations or None
    """

    only_newest = False

    def __init__(
        self,
        codec: PlatformCodec,
        decisions: DecisionLog,
        cache_retention_s: float,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._codec = codec
        self._decisions = decisions
        if evacuations is None:
            evacuations = Evacuations()
        self._evacuations = evacuations
        # Returns the records of the topic that are not applied yet.
        self.read_ahead: Callable[[], Awaitable[list[Record]]] | None = None
        self._newer_records = SharedCall(self._read_newer_records)
        # Called when an endpoint is added.
        self.on_added: Callable[[], None] = lambda: None
        # Called when the entry of an endpoint in use was read, and when the
        # endpoint is removed.
        self.on_entry: Callable[[EndpointEntry], None] = lambda entry: None
        self.on_removed: Callable[[EndpointEntry], None] = lambda entry: None
        # Whether evacuations may have been missed, and reads them.
        self.is_stale: Callable[[], bool] = lambda: False
        self.refresh: Callable[[], Awaitable[None]] = _do_nothing
        # Returns whether a service limits requests to cold endpoints.
        self.limits_cold: Callable[[str], bool] = lambda service: False
        # Whether the newest entries have been read once.
        self.is_read = False
        self._cache_retention_s = cache_retention_s
        self.speeds = EndpointSpeeds()
        self._entries: dict[str, EndpointEntry] = {}
        self._by_service: dict[str, dict[str, EndpointEntry]] = {}
        self._by_number: dict[int, EndpointEntry] = {}
        self._reachable = False
        self._last_contact_s = float('-inf')
        # When the store last became reachable after an outage in which
        # entries may have lapsed.
        self._reachable_again_s = float('-inf')
        # When the store last came back without its latest records.
        self._restored_s = float('-inf')
        self._lapsed: dict[str, asyncio.TimerHandle] = {}
        # When the store became unreachable, at which these timers are
        # cancelled until it responds.
        self._held_since_s = float('-inf')
        self._history = EndpointHistory()
        # Listed entries that may be older than the departures of their
        # endpoints.
        self._withheld: dict[str, asyncio.TimerHandle] = {}
        # Told by the endpoints or by other routers.
        self._told_leaving = LeavingIncarnations()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[EndpointEntry]:
        return iter(self._entries.values())

    def find(self, endpoint_id: str) -> EndpointEntry | None:
        """Return an endpoint by id."""
        return self._entries.get(endpoint_id)

    def find_number(self, number: int) -> EndpointEntry | None:
        """Return an endpoint by its number in reports."""
        return self._by_number.get(number)

    def candidates(self, service: str) -> list[EndpointEntry]:
        """Return the endpoints of a service that accept requests."""
        return [
            entry
            for entry in self._by_service.get(service, {}).values()
            if not entry.endpoint.leaving and not self.is_evacuated(entry)
        ]

    def listed(self, service: str) -> list[EndpointEntry]:
        """Return all endpoints of a service, also those that leave."""
        return list(self._by_service.get(service, {}).values())

    def is_evacuated(self, entry: EndpointEntry) -> bool:
        """Whether the data centre of an endpoint is evacuated."""
        return self._evacuations.is_evacuated(entry.endpoint.data_centre)

    def has_evacuated(self, service: str) -> bool:
        """Whether only evacuations keep some endpoints of a service back."""
        return any(
            not entry.endpoint.leaving and self.is_evacuated(entry)
            for entry in self._by_service.get(service, {}).values()
        )

    def count_in(self, data_centre: str) -> int:
        """Return the number of endpoints in a data centre."""
        return sum(
            entry.endpoint.data_centre == data_centre
            for entry in self._entries.values()
        )

    def busiest_ratio(self) -> float:
        """Return the work of the busiest endpoint of a service by the mean.

        Weighted by speed, as an average over half a minute; of the service
        with the largest ratio, and 0 without load.
        """
        ratios = [0.0]
        for service in self._by_service:
            busy = [
                entry.load.busy_average for entry in self.candidates(service)
            ]
            if busy and sum(busy) > _MIN_BUSY * len(busy):
                ratios.append(len(busy) * max(busy) / sum(busy))
        return max(ratios)

    def is_replaced(self, entry: EndpointEntry) -> bool:
        """Whether another process has started under the id of an endpoint."""
        present = self._entries.get(entry.endpoint.id, entry)
        return present.endpoint.incarnation != entry.endpoint.incarnation

    async def is_replaced_in_store(self, entry: EndpointEntry) -> bool:
        """Whether the store lists another process under the id of an endpoint.

        A router that stood still, or whose reads are late, learns of it here.
        What the store cannot tell counts as unchanged.
        """
        if self.is_replaced(entry):
            return True
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
                'endpoint_not_confirmed',
                routine=True,
                endpoint=entry.endpoint.id,
                reason=str(error) or 'timed out',
            )
            return False
        return any(
            incarnation != entry.endpoint.incarnation
            for incarnation in self._incarnations(entry.endpoint.id, records)
        )

    async def _read_newer_records(self) -> list[Record]:
        if self.read_ahead is None:
            raise LogUnavailableError('not read yet')
        return await self.read_ahead()

    def _incarnations(
        self, endpoint_id: str, records: list[Record]
    ) -> Iterator[tuple[str, int | None, str, int]]:
        for record in records:
            if record.key != endpoint_id or record.value is None:
                continue
            try:
                endpoint = self._codec.decode_endpoint(
                    record.key, record.value
                )
            except ValueError:
                continue
            yield endpoint.incarnation

    def begin_era(self, era: int) -> None:
        """Note that the next newest records are of another era of the store.

        It may lack records that were applied before. What it does not list
        stays for the time in which servers write their entries again.
        """
        before = self._history.era
        if not self._history.begin_era(era):
            return
        self._restored_s = asyncio.get_running_loop().time()
        for endpoint_id in list(self._lapsed):
            self._lapsed.pop(endpoint_id).cancel()
            self._schedule_removal(endpoint_id)
        self._decisions.event(
            'endpoints_unconfirmed',
            era=era,
            before=before,
            endpoints=len(self._entries),
            departures=len(self._history) - len(self._entries),
            grace_s=_LAPSE_GRACE_S,
        )

    def apply_newest(
        self, records: list[Record], end: int, *, snapshot: bool
    ) -> None:
        """Apply the newest record of each key."""
        self.apply(records, end)
        listed = {record.key for record in records if record.value}
        for endpoint_id in list(self._entries):
            if endpoint_id not in listed:
                self._schedule_removal(endpoint_id)
        for endpoint_id in self._withheld.keys() - listed:
            self._release_withheld(endpoint_id)
        self.is_read = True

    def apply(self, records: list[Record], end: int) -> None:
        """Apply records in order."""
        # The first ones after an outage contain what lapsed in it.
        self.update_reachability(reachable=True)
        for record in records:
            self._release_withheld(record.key)
            if record.value is None:
                self._schedule_removal(record.key)
                continue
            try:
                endpoint = self._codec.decode_endpoint(
                    record.key, record.value
                )
            except ValueError as error:
                if not self._ignores_time(record.key, error):
                    self._schedule_removal(
                        record.key, f'unreadable entry: {error}'
                    )
                continue
            if self._told_leaving.has(_incarnation_text(endpoint)):
                endpoint = dataclasses.replace(endpoint, leaving=True)
            self._add_or_update(endpoint)

    def _ignores_time(self, endpoint_id: str, error: ValueError) -> bool:
        # A wrong time must not remove an endpoint in use, nor hide that it
        # leaves or has started again.
        known = self._entries.get(endpoint_id)
        if (
            known is None
            or not isinstance(error, ColdTimeError)
            or not self.limits_cold(known.endpoint.service)
            or known.endpoint.incarnation != error.endpoint.incarnation
        ):
            return False
        if error.endpoint.leaving and not known.endpoint.leaving:
            self._update(dataclasses.replace(known.endpoint, leaving=True))
        self._log_endpoint('cold_time_ignored', known.endpoint, str(error))
        return True

    def is_delayed(self) -> bool:
        """Whether entries may have been written long before they are read."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self._reachable_again_s < _DELAYED_S

    def update_reachability(self, *, reachable: bool) -> None:
        """Record whether the store responds."""
        if reachable:
            now_s = asyncio.get_running_loop().time()
            outage_s = now_s - self._last_contact_s
            if not self._reachable and outage_s >= _MIN_LAPSE_S:
                self._reachable_again_s = now_s
            self._last_contact_s = now_s
        if reachable != self._reachable:
            self._reachable = reachable
            self._hold_lapses()

    def _hold_lapses(self) -> None:
        # Servers cannot write their entries while the store is away, so the
        # time for it stands still.
        loop = asyncio.get_running_loop()
        if not self._reachable:
            self._held_since_s = loop.time()
        for endpoint_id, timer in list(self._lapsed.items()):
            if not self._reachable:
                timer.cancel()
            elif timer.cancelled():
                remaining_s = max(0.0, timer.when() - self._held_since_s)
                self._start_lapse(endpoint_id, remaining_s)

    def _start_lapse(self, endpoint_id: str, remaining_s: float) -> None:
        self._lapsed[endpoint_id] = asyncio.get_running_loop().call_later(
            remaining_s, self._remove, endpoint_id, 'entry lapsed'
        )

    def leaving(self) -> list[str]:
        """Return the incarnations of endpoints that are leaving."""
        return [
            _incarnation_text(entry.endpoint)
            for entry in self._entries.values()
            if entry.endpoint.leaving
        ]

    def mark_leaving(self, incarnation: str, source: str) -> None:
        """Mark an endpoint as leaving, as reported by another router."""
        self._told_leaving.add(incarnation)
        endpoint_id = incarnation.rpartition('@')[0]
        if self._history.record_leaving(incarnation):
            self._release_withheld(endpoint_id)
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.endpoint.leaving:
            return
        if _incarnation_text(entry.endpoint) == incarnation:
            self._add_or_update(
                dataclasses.replace(entry.endpoint, leaving=True)
            )
            self._log_endpoint('leaving_told', entry.endpoint, source)

    def mark_told_leaving(self, entry: EndpointEntry) -> None:
        """Mark an endpoint as leaving that says so itself.

        Holds for its present start, whatever the platform lists.
        """
        endpoint = entry.endpoint
        incarnation = _incarnation_text(endpoint)
        self._told_leaving.add(incarnation)
        if self._history.record_leaving(incarnation):
            self._release_withheld(endpoint.id)
        # The entry may have lapsed and come back during the request.
        listed = self._entries.get(endpoint.id)
        if listed is None or listed.endpoint.incarnation != (
            endpoint.incarnation
        ):
            listed = entry
        if listed.endpoint.leaving:
            return
        listed.endpoint = dataclasses.replace(listed.endpoint, leaving=True)
        listed.load.endpoint = listed.endpoint
        self._log_endpoint('endpoint_leaving_told_itself', listed.endpoint)

    def mark_misdirected(self, entry: EndpointEntry) -> None:
        """Remove an endpoint whose address now belongs to another server."""
        endpoint_id = entry.endpoint.id
        if self._entries.get(endpoint_id) is not entry:
            # It has started again, at another address.
            return
        self._remove(
            endpoint_id, 'address belongs to another server', listed=True
        )

    def _add_or_update(self, endpoint: Endpoint) -> None:
        now_s = asyncio.get_running_loop().time()
        verdict = self._history.judge(endpoint, now_s)
        if verdict is not EntryVerdict.CURRENT:
            self._log_ignored(endpoint, verdict, now_s)
            if endpoint.leaving:
                # A server that has reported its leaving does not become ready
                # again without a new start.
                self._history.record_leaving(_incarnation_text(endpoint))
        if verdict is EntryVerdict.REMOVED:
            self._withhold(endpoint, now_s)
            return
        if verdict is EntryVerdict.EARLIER_START:
            self._schedule_removal(endpoint.id)
            return
        timer = self._lapsed.pop(endpoint.id, None)
        if timer is not None:
            timer.cancel()
        if verdict is EntryVerdict.OLDER:
            if endpoint.leaving:
                known = self._entries[endpoint.id].endpoint
                self._update(dataclasses.replace(known, leaving=True))
            return
        if verdict is EntryVerdict.LEFT:
            endpoint = dataclasses.replace(endpoint, leaving=True)
        self._update(endpoint)
        self._history.record(endpoint)

    def _update(self, endpoint: Endpoint) -> None:
        known = self._entries.get(endpoint.id)
        if known is not None:
            same = (
                known.endpoint.incarnation == endpoint.incarnation
                and known.endpoint.service == endpoint.service
                and known.endpoint.version == endpoint.version
            )
            if same:
                if endpoint.leaving and not known.endpoint.leaving:
                    self._log_endpoint('endpoint_leaving', endpoint)
                if known.endpoint.leaving and not endpoint.leaving:
                    # The entry is older than another router's report.
                    return
                known.endpoint = endpoint
                known.load.endpoint = endpoint
                self.on_entry(known)
                return
            self._remove(endpoint.id, 'started again')
        entry = EndpointEntry(endpoint, self._cache_retention_s, self.speeds)
        self._entries[endpoint.id] = entry
        self._by_number[entry.number] = entry
        service = self._by_service.setdefault(endpoint.service, {})
        service[endpoint.id] = entry
        self._assign_long_prompts(endpoint.service)
        self._log_endpoint('endpoint_added', endpoint)
        self.on_added()
        self.on_entry(entry)

    def _withhold(self, endpoint: Endpoint, now_s: float) -> None:
        # The store removes entries of silent servers within seconds: one that
        # it still lists when the departure is forgotten is in use.
        self._release_withheld(endpoint.id)
        self._withheld[endpoint.id] = asyncio.get_running_loop().call_later(
            self._history.retention_s(endpoint.id, now_s),
            self._add_or_update,
            endpoint,
        )

    def _release_withheld(self, endpoint_id: str) -> None:
        timer = self._withheld.pop(endpoint_id, None)
        if timer is not None:
            timer.cancel()

    def _schedule_removal(
        self, endpoint_id: str, reason: str = 'entry removed'
    ) -> None:
        if endpoint_id not in self._entries or endpoint_id in self._lapsed:
            return
        loop = asyncio.get_running_loop()
        since_s = self._reachable_again_s
        if not self._history.is_confirmed(endpoint_id):
            since_s = max(since_s, self._restored_s)
        remaining_s = since_s + _LAPSE_GRACE_S - loop.time()
        if remaining_s <= 0:
            self._remove(endpoint_id, reason)
        else:
            self._start_lapse(endpoint_id, remaining_s)
            self._decisions.event(
                'endpoint_entry_missing',
                routine=True,
                endpoint=endpoint_id,
                reason=reason,
                era=self._history.era,
                remaining_s=round(remaining_s, 3),
            )

    def _remove(
        self, endpoint_id: str, reason: str, *, listed: bool = False
    ) -> None:
        timer = self._lapsed.pop(endpoint_id, None)
        if timer is not None:
            timer.cancel()
        entry = self._entries.pop(endpoint_id, None)
        if entry is None:
            return
        self._by_service[entry.endpoint.service].pop(endpoint_id, None)
        self._by_number.pop(entry.number, None)
        entry.pool.close()
        entry.relayed_pool.close()
        self.speeds.forget(entry.incarnation_number)
        self._history.record_departure(
            endpoint_id, asyncio.get_running_loop().time(), listed=listed
        )
        self._assign_long_prompts(entry.endpoint.service)
        self._log_endpoint('endpoint_removed', entry.endpoint, reason)
        self.on_removed(entry)

    def _assign_long_prompts(self, service: str) -> None:
        entries = self._by_service[service]
        reserved = long_prompt_endpoints(entries)
        for endpoint_id, entry in entries.items():
            entry.load.for_long_prompts = endpoint_id in reserved

    def _log_ignored(
        self, endpoint: Endpoint, verdict: EntryVerdict, now_s: float
    ) -> None:
        self._decisions.event(
            'endpoint_entry_ignored',
            routine=True,
            endpoint=endpoint.id,
            service=endpoint.service,
            address=f'{endpoint.host}:{endpoint.port}',
            reason=verdict.value,
            era=self._history.era,
            boot_ms=endpoint.boot_ms,
            sequence=endpoint.sequence,
            **self._history.inputs(endpoint.id, now_s),
        )

    def _log_endpoint(
        self, event: str, endpoint: Endpoint, reason: str | None = None
    ) -> None:
        self._decisions.event(
            event,
            endpoint=endpoint.id,
            service=endpoint.service,
            address=f'{endpoint.host}:{endpoint.port}',
            boot_ms=endpoint.boot_ms,
            version=endpoint.version,
            reason=reason,
        )


def _incarnation_text(endpoint: Endpoint) -> str:
    return f'{endpoint.id}@{endpoint.boot_ms}'


async def _do_nothing() -> None:
    pass
