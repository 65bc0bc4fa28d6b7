"""Router process: creation, start and stop of all tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math
import os
from pathlib import Path
import random

from ..http1 import RECEIVED
from ..http1 import CallerServer
from ..http1 import ClientResources
from ..http1 import ConnectionLimits
from ..http1 import DescriptorBudget
from ..http1 import MemoryBudget
from ..http1 import UnansweredClose
from ..routing import UNKNOWN_VERSION
from ..routing import Catalogue
from ..routing import ColdEndpoints
from ..routing import CrashCounter
from ..routing import CrashingParts
from ..routing import EndpointLimits
from ..routing import Evacuations
from ..routing.capacity import IncomingLink
from ..routing.capacity import RouterLoad
from ..routing.reach import PathState
from ._budgets import BudgetTask
from ._client_log import ClientLog
from ._cold_endpoints import ColdEndpointWatch
from ._configuration_currency import ConfigurationCurrency
from ._configuration_fetcher import ConfigurationFetcher
from ._crash_log import CrashLog
from ._decision_log import DecisionLog
from ._directory import ConfigurationState
from ._directory import EndpointDirectory
from ._dispatcher import Dispatcher
from ._evacuations import EvacuationState
from ._evacuations import OperatorTopic
from ._fleet_records import FLEET_TOPIC
from ._fleet_records import new_holder
from ._fleet_records import router_record
from ._fleet_records import version_record
from ._fleet_topic import FleetTopic
from ._follower import TopicFollower
from ._interfaces import Log
from ._interfaces import NodeSettings
from ._interfaces import PlatformCodec
from ._internal_server import InternalResponse
from ._internal_server import InternalServer
from ._load_readiness import LoadReadiness
from ._log_writer import LogWriter
from ._metrics import CONTENT_TYPE
from ._metrics import NodeMetrics
from ._peers import PeerTask
from ._preview import PREVIEW_PATH
from ._router_overload import LIST_AGE_SHARE
from ._router_overload import RouterOverload
from ._router_watch import LinkMeter
from ._router_watch import RouterWatch
from ._router_watch import SendingConnection
from ._settings_watch import SettingsWatch
from ._stream_records import StreamRecords
from ._stream_versions import StreamVersions
from .relay import EndpointConnections
from .relay import RelayClient
from .relay import RelayServer

# Pause between two reads of the configuration and of the endpoints. Endpoints
# write every 1.2 s; a leaving endpoint must get no more requests after 2 s.
_CONFIGURATION_READ_INTERVAL_S = 0.05
_ENDPOINTS_READ_INTERVAL_S = 0.25
# Pause in which records of all routers accumulate; a router that waits for its
# own record does not pause.
_FLEET_READ_INTERVAL_S = 0.2
# Endpoint crashes after which a request is not sent again.
_MAX_CRASHES = 3
# The load balancer polls every second and removes a router after two failures.
_STOP_NOTICE_S = 2.5
# Interval in which the number of active requests is checked while stopping.
_STOP_POLL_INTERVAL_S = 0.02
# Part of the grace time reserved for the last answers and the release of
# allotments.
_STOP_MARGIN_S = 1.0
# Share of that part in which connections send the last answers.
_LAST_ANSWERS_SHARE = 0.25
# Share of that part that the release of allotments may take.
_RELEASE_SHARE = 0.5


class Node:
    """One router process.

    Parameters
    ----------
    settings : NodeSettings
    codec : PlatformCodec
    log : Log
    decisions : DecisionLog
    """

    def __init__(
        self,
        settings: NodeSettings,
        codec: PlatformCodec,
        log: Log,
        decisions: DecisionLog,
    ) -> None:
        self._settings = settings
        self._decisions = decisions
        self._stopping = False
        self._metrics = NodeMetrics()
        self._client_log = ClientLog(self._metrics, decisions)
        self._resources = ClientResources(
            MemoryBudget.of_process(settings.memory_bytes),
            DescriptorBudget.of_process(settings.max_fds),
            on_limited=self._client_log.record_limited,
        )
        self._watch: SettingsWatch | None = None
        self.holder = new_holder(settings.node_id, os.urandom(6).hex())
        self.configuration = ConfigurationState(
            codec, decisions, self._apply_configuration
        )
        self._evacuations = Evacuations()
        self.directory = EndpointDirectory(
            codec, decisions, settings.prompt_reuse_s, self._evacuations
        )
        cold = ColdEndpoints(
            settings.node_id,
            over=settings.cold_over,
            slack=settings.cold_slack,
        )
        self._cold = ColdEndpointWatch(
            cold, self.directory, decisions, settings.node_id
        )
        evacuations = EvacuationState(
            self._evacuations,
            codec,
            decisions,
            self.directory.count_in,
            settings.evacuate_s,
        )
        crashes = CrashCounter(max_crashes=_MAX_CRASHES)
        self._parts = CrashingParts(random.Random())
        self._limits = EndpointLimits(settings.node_id)
        self._writer = LogWriter(log, FLEET_TOPIC, self.holder, decisions)
        self.budgets = BudgetTask(
            self.holder,
            self._writer,
            decisions,
            is_first_start=settings.is_first_start,
        )
        self.peers = PeerTask(
            settings.node_id,
            self.holder,
            self.directory,
            self.budgets,
            crashes,
            self._parts,
            self._limits,
            decisions,
            self._configuration_version,
            data_centre=settings.data_centre,
            link_bytes_per_s=settings.link_bytes_per_s,
            speeds=self.directory.speeds,
        )
        evacuations.on_change = lambda data_centre: (
            self._cold.suspect_data_centre(data_centre, 'evacuation')
        )
        self.peers.cold_endpoints = self._cold.reports
        self.peers.on_cold = self._cold.apply_reports
        self.peers.on_routers = self._cold.update_routers
        self.peers.on_ejected = self._cold.suspect
        self.peers.evacuations = evacuations.report
        self.peers.on_evacuations = evacuations.apply_report
        self.budgets.request_from_peers = self.peers.request_tokens
        self.budgets.live_holders = self.peers.live_holders
        self.budgets.fleet_boot_offset_ms = self.peers.fleet_boot_offset_ms
        self.budgets.recovery.heard_routers = self.peers.heard_routers
        self.budgets.recovery.registered_routers = (
            self.peers.registered_routers
        )
        self.budgets.raise_statements.send = self.peers.state_accounts
        address = f'{settings.host}:{settings.peer_port}'
        self._announcement_record = router_record(settings.node_id, address)
        self._stream_records = StreamRecords(
            log,
            decisions,
            partitions=settings.store_partitions,
            writes_per_s=settings.store_writes_per_s,
            live_routers=self.peers.live_routers,
        )
        self.versions = StreamVersions(
            self._stream_records,
            self._writer,
            self.directory,
            self.budgets,
            self._metrics,
            decisions,
            random.Random(),
        )
        self.versions.live_routers = self.peers.live_routers
        self.directory.on_added = self.versions.check_endpoints
        self.budgets.announcements = lambda: [
            self._announcement_record,
            *self.versions.known_records(),
        ]
        self.budgets.recovery.records_of_loss = [
            version_record(UNKNOWN_VERSION)
        ]
        self._crash_log = CrashLog(
            self.holder,
            crashes,
            log,
            decisions,
            writes_per_s=settings.store_writes_per_s,
            live_routers=self.peers.live_routers,
        )
        self.load = RouterLoad(
            settings.cpu_share,
            settings.memory_bytes or math.inf,
            IncomingLink(settings.link_bytes_per_s, settings.data_centre),
        )
        overload = RouterOverload(
            self.load,
            codec,
            self.configuration,
            self._metrics,
            decisions,
            random.Random(),
            settings.link_bytes_per_s,
        )
        self._connections = EndpointConnections(
            self.directory,
            RelayClient(
                self.peers.relay_routers,
                settings.data_centre,
                decisions,
                random.Random(),
            ),
            decisions,
            random.Random(),
        )
        self._connections.is_link_full = lambda: self.load.incoming.is_busy(
            asyncio.get_running_loop().time()
        )
        self.peers.is_isolated = lambda: (
            self._connections.state is PathState.ISOLATED
        )
        self.peers.may_be_isolated = lambda: (
            self._connections.state is not PathState.DIRECT
        )
        self._currency = currency = ConfigurationCurrency(
            self.configuration, self.peers, settings.config_apply_s
        )
        self.dispatcher = Dispatcher(
            settings,
            codec,
            self.configuration,
            currency,
            self.directory,
            self.budgets,
            self.peers,
            crashes,
            self._crash_log,
            self._parts,
            self._limits,
            self.versions,
            overload,
            self._cold,
            self._connections,
            self._metrics,
            decisions,
            random.Random(),
        )
        fleet = TopicFollower(
            log,
            FLEET_TOPIC,
            FleetTopic(self.budgets, self.peers, self.versions),
            decisions,
            _FLEET_READ_INTERVAL_S,
            self._metrics,
        )
        self.budgets.wake_reader = fleet.wake_up
        self.budgets.recovery.wake_reader = fleet.wake_up
        self.versions.wake_reader = fleet.wake_up
        self.versions.read_ahead = fleet.read_ahead
        self._cold.registered_routers = lambda: (
            self.peers.registered_router_ids()
            if fleet.synced.is_set()
            else None
        )
        self.budgets.restart_reader = self._restart_readers
        self._configuration_fetcher = ConfigurationFetcher(
            self.configuration,
            self.peers,
            decisions,
            are_routers_known=fleet.synced.is_set,
            resources=self._resources,
            link_bytes_per_s=settings.link_bytes_per_s,
        )
        endpoints = TopicFollower(
            log,
            codec.endpoints_topic,
            self.directory,
            decisions,
            _ENDPOINTS_READ_INTERVAL_S,
            self._metrics,
        )
        self.directory.read_ahead = endpoints.read_ahead
        operator = TopicFollower(
            log,
            codec.configuration_topic,
            OperatorTopic(self.configuration, evacuations),
            decisions,
            _CONFIGURATION_READ_INTERVAL_S,
            self._metrics,
        )
        evacuations.read_ahead = operator.read_ahead
        currency.has_unread = lambda: operator.has_unread
        currency.current_as_of_s = lambda: operator.current_as_of_s
        self.directory.is_stale = evacuations.is_stale
        self.directory.refresh = evacuations.refresh
        self._followers = operator, endpoints, fleet
        log.on_new_era = self._resync_readers
        self._relay = RelayServer(
            self.directory,
            self._connections,
            self.peers.is_router,
            lambda: self.load.is_full(asyncio.get_running_loop().time()),
        )
        self._callers = CallerServer(
            self.dispatcher.handle,
            ConnectionLimits(),
            self._client_log.record_malformed,
            self._log_unanswered,
            self._resources,
        )
        if not math.isinf(settings.link_bytes_per_s):
            self._callers.check_upload = overload.check_upload
            overload.uploads = lambda: [
                c.upload for c in self._callers.uploading
            ]
        self._router_watch = RouterWatch(
            self.load,
            LinkMeter(self._sending_connections),
            settings.link_bytes_per_s,
            decisions,
        )
        overload.confirm_link = self._router_watch.confirm_link
        overload.list_age_s = lambda: (
            asyncio.get_running_loop().time() - endpoints.current_as_of_s
        )
        self._overload = overload
        overload.max_list_age_s = LIST_AGE_SHARE * settings.drain_s
        self._router_watch.received_bytes = lambda: RECEIVED.total
        self._load_readiness = LoadReadiness(
            self.load, self.peers.count_data_centre, decisions
        )
        if not math.isinf(settings.link_bytes_per_s):
            self._router_watch.on_sample = self._update_load_readiness
            self.peers.states_full = lambda: self._load_readiness.states_full
        self._ready_path = codec.ready_path
        self._ready = InternalServer(self._respond_ready, self._resources)
        self._metrics_server = InternalServer(
            self._respond_metrics,
            self._resources,
            {PREVIEW_PATH: self.dispatcher.preview.respond}
            if settings.preview
            else {},
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._announcement: asyncio.Task[None] | None = None

    def is_ready(self) -> bool:
        """Whether requests can be served."""
        return (
            not self._stopping
            and self.configuration.serving is not None
            and all(f.synced.is_set() for f in self._followers)
            and self._crash_log.is_read
        )

    async def start(self) -> None:
        """Listen and follow the log."""
        await self._metrics_server.listen(
            self._settings.host, self._settings.metrics_port
        )
        await self._ready.listen(*self._settings.ready_address)
        await self.peers.listen(self._settings.host, self._settings.peer_port)
        await self._configuration_fetcher.listen(
            self._settings.host, self._settings.peer_port, self._relay.wrap
        )
        await self._callers.listen(*self._settings.caller_address)
        jobs = [follower.run() for follower in self._followers]
        jobs += [
            self.budgets.run(),
            self.budgets.sample_rates(),
            self.peers.run(),
            self._configuration_fetcher.run(),
            self._connections.run(),
            self.versions.run(),
            self._stream_records.run(),
            self._crash_log.run(),
            self._router_watch.run(),
            self._flush_log(),
        ]
        self._tasks = [asyncio.create_task(job) for job in jobs]
        self._announcement = asyncio.create_task(self._announce())
        self._decisions.event(
            'started',
            holder=self.holder,
            data_centre=self._settings.data_centre,
            callers=':'.join(map(str, self._settings.caller_address)),
            settings=self._settings.digest or None,
        )

    @property
    def caller_address(self) -> tuple[str, int]:
        """Address that callers connect to."""
        return self._settings.caller_address

    def stop_immediately(self) -> None:
        """Stop at once, without notifying peers or releasing allotments."""
        for task in (*self._tasks, self._announcement):
            if task is not None:
                task.cancel()
        for server in (
            self._callers,
            self._ready,
            self._metrics_server,
            self._configuration_fetcher,
            self._relay,
        ):
            server.close()
        self.peers.close()
        self._decisions.close()

    async def run_until(self, stop: asyncio.Event) -> None:
        """Serve until the event is set, then stop gracefully."""
        waiting = asyncio.create_task(stop.wait())
        done, _ = await asyncio.wait(
            [waiting, *self._tasks], return_when=asyncio.FIRST_COMPLETED
        )
        for task in done - {waiting}:
            # A task ends only by a defect; the platform restarts the router.
            task.result()
            raise RuntimeError('a task of the router ended')
        await self._stop()

    async def _stop(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        deadline_s = started_s + self._settings.stop_grace_s - _STOP_MARGIN_S
        self._stopping = True
        self._callers.announce_stop()
        self._relay.announce_stop()
        self.dispatcher.announce_stop(deadline_s)
        self._decisions.event('stopping', active=self._callers.active)
        await asyncio.sleep(min(_STOP_NOTICE_S, deadline_s - started_s))
        # The load balancer still sends connections to this router while fewer
        # than half of a data centre's routers are ready. A refusal tells their
        # callers at once that the request was not run, so that they retry at
        # another router.
        self.dispatcher.refuse_new()
        self._callers.close_idle()
        await self._wait_inactive(deadline_s)
        self._callers.close_listener()
        self._callers.refuse_partial()
        await self._wait_inactive(
            deadline_s + _LAST_ANSWERS_SHARE * _STOP_MARGIN_S
        )
        # Answers that were late leave less time for the release: the process
        # ends by SIGKILL after the grace time.
        release_by_s = min(
            loop.time() + _RELEASE_SHARE * _STOP_MARGIN_S,
            deadline_s
            + (_LAST_ANSWERS_SHARE + _RELEASE_SHARE) * _STOP_MARGIN_S,
        )
        try:
            async with asyncio.timeout_at(release_by_s):
                await self.budgets.release_allotments()
        except TimeoutError:
            # The log is unavailable: other routers can use the tokens
            # meanwhile.
            self._decisions.event('allotments_given_away')
            self.peers.transfer_to_peers()
        interrupted = self.dispatcher.interrupted + self._callers.active
        # Requests that are still in progress write the log line on their end.
        self._callers.close()
        self._relay.close()
        await asyncio.sleep(_STOP_POLL_INTERVAL_S)
        self._decisions.event('stopped', cut=interrupted)
        self._decisions.close()

    async def _wait_inactive(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            if not self._callers.active and not self._relay.active:
                break
            await asyncio.sleep(_STOP_POLL_INTERVAL_S)

    def _apply_configuration(self, catalogue: Catalogue) -> None:
        self.budgets.set_limits(catalogue)
        self.versions.apply_configuration(catalogue)
        self._cold.apply_configuration(catalogue)
        limits = catalogue.configuration.limits
        if limits is not None:
            self._callers.limits = ConnectionLimits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )

    def _log_unanswered(self, close: UnansweredClose) -> None:
        self._metrics.count_unanswered(close.reason)
        self._decisions.event(
            'connection_unanswered',
            # A crowd of clients that stop half-way must not displace others.
            routine=not close.whole_requests,
            reason=close.reason,
            requests=close.whole_requests or None,
            partial=close.is_partial or None,
            connection_age_s=round(close.connection_age_s, 4),
            request_age_s=round(close.request_age_s, 4),
            idle_timeout_s=close.idle_timeout_s,
            version=self._configuration_version(),
        )

    def watch_settings(
        self, path: Path, load: Callable[[Path], NodeSettings]
    ) -> None:
        """Reload the settings when their file changes."""
        self._watch = SettingsWatch(
            path,
            load,
            self._apply_settings,
            self._decisions,
            self._settings.digest,
        )
        self._tasks.append(asyncio.create_task(self._watch.run()))

    def request_reload(self) -> None:
        """Reload the settings file at once."""
        if self._watch is not None:
            self._watch.request_reload()

    def _apply_settings(self, settings: NodeSettings) -> None:
        # Changed addresses and names apply only after a restart.
        self._settings = dataclasses.replace(
            self._settings,
            stop_grace_s=settings.stop_grace_s,
            drain_s=settings.drain_s,
            config_apply_s=settings.config_apply_s,
            retry_share=settings.retry_share,
            retry_slack=settings.retry_slack,
            retry_window_s=settings.retry_window_s,
            prompt_reuse_s=settings.prompt_reuse_s,
        )
        self._overload.max_list_age_s = LIST_AGE_SHARE * settings.drain_s
        self._currency.apply_s = settings.config_apply_s
        self.dispatcher.apply_settings(self._settings)

    def _respond_ready(self, path: bytes) -> InternalResponse:
        if path != self._ready_path:
            return 404, [], b''
        ready = self.is_ready() and self._may_be_ready()
        return (200 if ready else 503), [], b''

    def _may_be_ready(self) -> bool:
        if math.isinf(self._settings.link_bytes_per_s):
            return True
        return self._update_load_readiness(asyncio.get_running_loop().time())

    def _update_load_readiness(self, now_s: float) -> bool:
        ready = self._load_readiness.update(now_s)
        # Callers with open connections would stay with this router.
        self._callers.closes_after_response = (
            self._load_readiness.leads_elsewhere(now_s)
        )
        return ready

    def _respond_metrics(self, path: bytes) -> InternalResponse:
        self._update_gauges()
        return 200, [(b'content-type', CONTENT_TYPE)], self._metrics.render()

    def _sending_connections(self) -> Iterator[SendingConnection]:
        yield from self.dispatcher.sender.connections
        yield from self._relay.tunnels
        yield from (
            c for c in self._callers.connections if c.busy or c.is_sending
        )

    def _update_gauges(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for name, value in (
            ('active_requests', self._callers.active),
            ('live_routers', self.peers.live_routers()),
            ('configuration_version', self._configuration_version()),
            ('client_memory_bytes', self._resources.memory.held_bytes),
            ('client_memory_limit_bytes', self._resources.memory.limit_bytes),
            ('client_connections', self._resources.descriptors.open),
            (
                'client_connections_limit',
                self._resources.descriptors.max_connections,
            ),
            ('endpoints', len(self.directory)),
            ('leaving_endpoints', len(self.directory.leaving())),
            ('evacuated_data_centres', len(self._evacuations)),
            ('cold_endpoints', self._cold.count()),
            ('cold_share_used', self._cold.share_used()),
            ('quiet_endpoints', self.dispatcher.quiet_endpoints),
            ('waiting_requests', self.dispatcher.waiting),
            ('admission_waiting', self.dispatcher.admission.waiting),
            ('store_read_age_seconds', self.budgets.outage_s),
            ('store_era', self._writer.era),
            ('accounts_complete', int(self.budgets.knows_accounts)),
            ('suspect_prompt_parts', len(self._parts)),
            ('unstored_streams', self._stream_records.waiting),
            ('limited_endpoints', len(self._limits)),
            ('brittle_endpoints', self.dispatcher.brittle.count()),
            ('log_lines_dropped', self._decisions.dropped_total),
            ('peer_report_interval_seconds', self.peers.report_interval_s),
            ('peer_sent_bytes', self.peers.sent_bytes),
            ('router_lag_seconds', self.load.lag_s(now_s)),
            ('link_wait_seconds', self.load.link_wait_s(now_s)),
            ('router_delay_seconds', self.load.delay_s(now_s)),
            ('router_full', int(self.load.is_full(now_s))),
            ('held_requests', len(self.load.held)),
            ('accurate_forecast_share', self.directory.speeds.accurate_share),
            ('busiest_endpoint_ratio', self.directory.busiest_ratio()),
            ('incoming_link_share', self.load.incoming.used_share(now_s)),
            ('relayed_requests', self._connections.relayed),
            ('relay_connections', len(self._relay.tunnels)),
            (
                'router_isolated',
                int(self._connections.state is PathState.ISOLATED),
            ),
            ('router_out_of_rotation', int(not self._load_readiness.is_ready)),
        ):
            self._metrics.set_gauge(name, value)

    def _restart_readers(self, sent_before_s: float) -> None:
        for follower in self._followers:
            follower.restart(sent_before_s)

    def _resync_readers(self) -> None:
        self.budgets.request_append()
        for follower in self._followers:
            follower.resync()

    def _configuration_version(self) -> int:
        catalogue = self.configuration.catalogue
        return -1 if catalogue is None else catalogue.version

    async def _announce(self) -> None:
        record = self._announcement_record
        await self._writer.append(lambda: [record])
        await self.budgets.reduce_predecessors()

    async def _flush_log(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            self._decisions.flush()
