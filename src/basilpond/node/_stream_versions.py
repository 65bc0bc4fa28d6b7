"""Software versions at which streams begin and continue."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import random

from ..routing import BegunStreams
from ..routing import Catalogue
from ..routing import Endpoint
from ..routing import ServiceVersion
from ..routing import SoftwareVersions
from ._budgets import BudgetTask
from ._decision_log import DecisionLog
from ._directory import EndpointDirectory
from ._fleet_records import VERSION_KIND
from ._fleet_records import parse_version
from ._fleet_records import version_record
from ._interfaces import LogEraChangedError
from ._interfaces import LogTrimmedError
from ._interfaces import LogUnavailableError
from ._interfaces import Record
from ._log_writer import LogWriter
from ._metrics import NodeMetrics
from ._request_context import RefusedError
from ._request_context import RequestContext
from ._shared_call import SharedCall
from ._stream_records import StreamRecords

# Interval in which the listed versions are checked.
_CHECK_INTERVAL_S = 1.0
# All routers see a new version at the same time. Each waits for a random time
# up to this, per live router, in which another may register it.
_REGISTRATION_SPREAD_S = 0.002
# The same for the removal of a version that serves no more.
_RETIREMENT_SPREAD_S = 0.2
# Longest time to find the version of a stream: two calls to a slow store.
_FIND_TIMEOUT_S = 1.0
# Retry interval of a stream that cannot continue here; the router that relayed
# it knows its version.
_UNKNOWN_RETRY_S = 0.1


class StreamVersions:
    """Keeps each stream at the software version that began it.

    Parameters
    ----------
    records : StreamRecords
    writer : LogWriter
    directory : EndpointDirectory
    budgets : BudgetTask
    metrics : NodeMetrics
    decisions : DecisionLog
    rng : random.Random
    """

    def __init__(
        self,
        records: StreamRecords,
        writer: LogWriter,
        directory: EndpointDirectory,
        budgets: BudgetTask,
        metrics: NodeMetrics,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._records = records
        self._writer = writer
        self._directory = directory
        self._budgets = budgets
        self._metrics = metrics
        self._decisions = decisions
        self._rng = rng
        self._registered = SoftwareVersions()
        self._streams = BegunStreams()
        # Services to whose endpoints callers may take up streams, and the
        # longest time limit of these streams.
        self._services: frozenset[str] = frozenset()
        self._stream_life_s = 0.0
        self._reachable = False
        self._last_read_s = float('-inf')
        self._synced = asyncio.Event()
        self._check_requested = asyncio.Event()
        # Returns the records of the shared topic that are not applied yet.
        self.read_ahead: Callable[[], Awaitable[list[Record]]] | None = None
        self._newer_versions = SharedCall(self._read_newer_versions)
        self.live_routers: Callable[[], int] = lambda: 1
        self.wake_reader: Callable[[], None] = lambda: None

    # Records of the shared topic.

    def begin_era(self) -> None:
        """Note that the log may have lost its last records."""
        self._registered.begin_era()

    def apply_newest(self, records: Iterable[Record]) -> None:
        """Apply all registered versions that the log contains."""
        now_s = asyncio.get_running_loop().time()
        self._registered.apply_newest(
            self._parse(record for record in records if record.value),
            now_s=now_s,
        )
        self._synced.set()
        self._store_streams()

    def apply(self, records: Iterable[Record]) -> None:
        """Apply changes of the registered versions."""
        now_s = asyncio.get_running_loop().time()
        changed = False
        for record in records:
            changed = True
            if record.value is None:
                self._remove(record.key)
                continue
            for version in self._parse([record]):
                is_new = version not in self._registered.registered()
                self._registered.apply(version, now_s=now_s)
                if not is_new:
                    continue
                self._decisions.event(
                    'version_registered',
                    service=version[0],
                    version=version[1],
                    log_offset=record.offset,
                )
        if changed:
            self._store_streams()
            self._check_requested.set()

    def update_reachability(self, *, reachable: bool) -> None:
        """Record whether the store responds."""
        self._reachable = reachable
        if reachable:
            # Reads run one at a time, so this one was sent after the last.
            self._registered.confirm_read(self._last_read_s)
            self._last_read_s = asyncio.get_running_loop().time()

    def known_records(self) -> list[tuple[str, bytes]]:
        """Return the records of all versions that this router knows."""
        return [version_record(v) for v in self._registered.registered()]

    def _parse(self, records: Iterable[Record]) -> Iterator[ServiceVersion]:
        for record in records:
            try:
                yield parse_version(record.value or b'')
            except ValueError as error:
                self._decisions.event(
                    'version_unreadable',
                    log_offset=record.offset,
                    reason=str(error),
                )

    def _remove(self, key: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self._record_listed()
        for version in self._registered.registered():
            if version_record(version)[0] != key:
                continue
            rejected = self._registered.is_listed(version, now_s=now_s)
            if rejected:
                # The removal came late: streams may have begun since.
                self._registered.reject_removal(version)
            else:
                self._registered.remove(version)
            self._decisions.event(
                'version_retired' if not rejected else 'version_kept',
                service=version[0],
                version=version[1],
            )

    # Configuration and endpoints.

    def apply_configuration(self, catalogue: Catalogue) -> None:
        """Apply the routes of a configuration."""
        routes = [
            route
            for route in catalogue.configuration.routes
            if route.continues_streams
        ]
        self._services = frozenset(
            service for route in routes for service, _ in route.split
        )
        self._stream_life_s = max(
            (route.timeout_s for route in routes), default=0.0
        )
        self.check_endpoints()

    def check_endpoints(self) -> None:
        """Check whether endpoints of a new version are listed."""
        self._check_requested.set()

    async def run(self) -> None:
        """Register new versions and retire old ones until cancelled."""
        await self._synced.wait()
        while True:
            await self._register()
            await self._retire()
            try:
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._check_requested.wait()
            except TimeoutError:
                pass
            self._check_requested.clear()

    def _unregistered(self) -> list[ServiceVersion]:
        self._record_listed()
        return self._registered.unregistered()

    def _record_listed(self) -> None:
        self._registered.record_listed(
            {
                (entry.endpoint.service, entry.endpoint.version)
                for entry in self._directory
                if entry.endpoint.service in self._services
            },
            now_s=asyncio.get_running_loop().time(),
        )

    async def _register(self) -> None:
        if not self._unregistered():
            return
        await asyncio.sleep(
            self._rng.random() * _REGISTRATION_SPREAD_S * self.live_routers()
        )
        await self._writer.append(
            lambda: [version_record(v) for v in self._unregistered()]
        )
        self.wake_reader()

    async def _retire(self) -> None:
        if not self._retired():
            return
        await asyncio.sleep(
            self._rng.random() * _RETIREMENT_SPREAD_S * self.live_routers()
        )
        await self._writer.append(
            lambda: [
                (version_record(version)[0], b'')
                for version in self._retired()
            ]
        )
        self.wake_reader()

    def _retired(self) -> list[ServiceVersion]:
        # The log of an era whose records are incomplete may list a version
        # that serves, and a router that does not reach it lists old ones.
        if not self._reachable or not self._budgets.knows_accounts:
            return []
        # An append may have waited for the end of an outage.
        self._record_listed()
        return self._registered.retired(
            stream_life_s=self._stream_life_s,
            now_s=asyncio.get_running_loop().time(),
        )

    # Streams.

    def may_begin(self, endpoint: Endpoint) -> bool:
        """Whether streams may begin at an endpoint of this version."""
        return self._registered.may_begin(endpoint.service, endpoint.version)

    def record_begun(
        self, context: RequestContext, endpoint: Endpoint
    ) -> None:
        """Record that the first event of a stream goes to its caller."""
        if not context.route.continues_streams:
            return
        context.stream_version = endpoint.version
        allowed_s = max(
            context.route.timeout_s, context.metadata.deadline_s or 0.0
        )
        until_s = context.started_s + allowed_s
        must_store = (
            self._registered.must_store(context.service)
            and not context.is_version_stored
        )
        self._streams.add(
            context.stream_id,
            endpoint.version,
            service=context.service,
            until_s=until_s,
            now_s=asyncio.get_running_loop().time(),
            stored=must_store or context.is_version_stored,
        )
        if must_store:
            self._records.store(context.stream_id, endpoint.version, until_s)

    async def find(self, context: RequestContext) -> None:
        """Find the version of a stream that its caller takes up.

        Raises
        ------
        RefusedError
            It is unknown, so that the stream cannot continue here.
        """
        if not context.is_taken_up:
            return
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        reason = None
        try:
            async with asyncio.timeout_at(
                min(started_s + _FIND_TIMEOUT_S, context.send_by_s)
            ):
                version, source = await self._find(context)
        except (
            LogUnavailableError,
            LogTrimmedError,
            LogEraChangedError,
            TimeoutError,
        ) as error:
            version, source = None, 'log_unavailable'
            reason = str(error) or 'timed out'
        self._metrics.count_take_up('unknown' if version is None else source)
        inputs = {
            'source': source,
            'stream_version': version,
            'service': context.service,
            'registered': sorted(self._registered.versions(context.service)),
            'log_age_s': round(started_s - self._last_read_s, 3),
            'resumes': context.metadata.resumes,
        }
        if version is None:
            raise RefusedError(
                503,
                'version of the stream is unknown',
                _UNKNOWN_RETRY_S,
                detail=reason,
                **inputs,
            )
        context.stream_version = version
        self._decisions.event(
            'stream_taken_up',
            routine=True,
            request=context.metadata.request_id,
            took_s=round(loop.time() - started_s, 4),
            **inputs,
        )

    async def _find(self, context: RequestContext) -> tuple[str | None, str]:
        stream_id = context.stream_id
        now_s = asyncio.get_running_loop().time()
        version = self._streams.find(stream_id, now_s=now_s)
        if version is not None:
            return version, 'relayed'
        if not self._reachable:
            return None, 'log_unavailable'
        if self._registered.sole(context.service) is not None:
            newer = await self._newer_versions()
            # The log may lack a version that was registered in an earlier era.
            if not self._budgets.knows_accounts:
                return None, 'log_incomplete'
            version = self._registered.sole(context.service, newer)
            if version is not None:
                return version, 'sole'
        version = await self._records.find(stream_id)
        context.is_version_stored = version is not None
        return version, 'not_stored' if version is None else 'stored'

    async def _read_newer_versions(self) -> list[ServiceVersion]:
        if self.read_ahead is None:
            raise LogUnavailableError('not read yet')
        records = await self.read_ahead()
        return list(
            self._parse(
                record
                for record in records
                if record.key.startswith(f'{VERSION_KIND}/') and record.value
            )
        )

    def _store_streams(self) -> None:
        # Streams that began before another version was registered.
        now_s = asyncio.get_running_loop().time()
        for service in self._services:
            if not self._registered.must_store(service):
                continue
            for stream in self._streams.pop_unstored(service, now_s=now_s):
                self._records.store(*stream)
