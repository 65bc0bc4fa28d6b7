"""Creates, connects, starts and stops all tasks of a router process."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import random
import time
from typing import Any

from absl import logging

from ..core import CrashCounter
from ..core import DecisionHistory
from ..core import EndpointTable
from ..core import ManifestIndex
from ..settings import RouterSettings
from ..telemetry import open_metrics
from ._metrics_task import MetricsTask
from ._operator_api import OperatorApi
from ._peer_requests import PeerRequests
from ._router_state import RouterState
from .budgets import BudgetSettings
from .budgets import BudgetTask
from .budgets import LedgerTask
from .callers import ChatRunner
from .callers import ChatService
from .callers import Gateway
from .callers import PeerResponses
from .callers import ServiceCalls
from .configuration import ConfigTask
from .configuration import ManifestFetcher
from .endpoints import Dispatcher
from .endpoints import EndpointClient
from .endpoints import EndpointTask
from .membership import GossipTask
from .membership import PeerClient
from .membership import PeerServer
from .requests import KeyedCalls
from .requests import RecordedResponses
from .requests import RequestLog
from .requests import ResponseStore
from .shared_log import LogClient

# Time limit for writing the last bills, returns and closes to the log.
DRAIN_BUDGET_S = 20.0
# Time limit for the answers of requests that the stop ends.
LAST_ANSWERS_S = 2.0


def uptime_s() -> float:
    """Return the time since boot, including time the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _socket_address(text: str) -> tuple[str, int]:
    host, _, port = text.partition(':')
    return host, int(port)


class Router:
    """All tasks of a router process.

    Parameters
    ----------
    settings : RouterSettings
    """

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        section = settings.router
        limits = settings.limits
        self.incarnation = f'{section.id}~{int(time.time() * 1000)}'
        self.ready = False
        self.draining = False
        self._index: ManifestIndex | None = None
        self._tasks: set[asyncio.Task] = set()
        self._failed = asyncio.Event()

        rng = random.Random()
        address = settings.telemetry.statsd_address
        self.metrics = open_metrics(
            *(_socket_address(address) if address else (None,))
        )
        self.log = LogClient(
            settings.log.url,
            timeout_s=settings.log.append_timeout_ms / 1000,
            client=section.id,
            metrics=self.metrics,
        )
        self.gossip = GossipTask(
            incarnation_id=self.incarnation,
            data_centre=section.data_centre,
            host=section.host,
            port=section.peer_port,
            operator_port=section.operator_port,
            seeds=map(_socket_address, section.seeds),
            rng=rng,
        )
        self.ledger_task = LedgerTask(
            self.log,
            self.incarnation,
            live_routers=self._live_incarnations,
            append_budget_per_s=settings.log.append_budget_per_s,
            snapshot_every_records=settings.log.snapshot_every_records,
        )
        self.config_task = ConfigTask(
            self.log, self.incarnation, live_routers=self._live_incarnations
        )
        self.peers = PeerClient(metrics=self.metrics)
        self.budget = BudgetTask(
            self.ledger_task,
            self.gossip,
            self.peers,
            incarnation=self.incarnation,
            settings=BudgetSettings(
                data_centre=section.data_centre,
                log_timeout_ms=settings.log.patience_ms,
            ),
        )
        self.table = EndpointTable(section.data_centre, rng)
        self.endpoints = EndpointTask(
            self.table,
            rng=rng,
            live_routers=lambda: len(self.gossip.live()) + 1,
            vms_url=settings.vms.url,
            uptime_s=uptime_s,
        )
        self.crashes = CrashCounter()
        self.dispatcher = Dispatcher(
            limits, self.table, self.crashes, self.endpoints.refresh_if_stale
        )
        self.client = EndpointClient(limits)
        self.request_log = RequestLog(
            DecisionHistory(), time.time, self.metrics
        )
        self.responses = ResponseStore(
            limits.stored_answers_bytes, limits.stored_answer_s
        )
        self.keyed = KeyedCalls(self.responses, self.request_log)
        self.runner = ChatRunner(
            limits,
            self.budget,
            self.dispatcher,
            self.client,
            self.request_log,
            time.time,
        )
        recorded_responses = RecordedResponses(
            PeerResponses(self.budget, self.gossip, self.peers),
            self.request_log,
            limits.rerun_limit,
        )
        self.gateway = Gateway(
            limits,
            lambda: self._index,
            ChatService(limits, self.runner, self.keyed, recorded_responses),
            ServiceCalls(
                limits,
                self.budget,
                self.dispatcher,
                self.client,
                self.keyed,
                recorded_responses,
                self.request_log,
                time.time,
                uptime_s,
            ),
            self.request_log,
        )
        self.peer_server = PeerServer(
            section.host,
            section.peer_port,
            PeerRequests(self.config_task, self.budget, self.keyed).handle,
        )
        self.operator_api = OperatorApi(
            section.host,
            section.operator_port,
            source=RouterState(self),
            key_sha256=section.operator_key_sha256,
        )

    async def start(self) -> None:
        """Open all sockets and start all tasks."""
        section = self.settings.router
        await self.client.open()
        await self.operator_api.start()
        await self.peer_server.start()
        self.config_task.versions.subscribe(self._apply_version)
        self.endpoints.leaving.subscribe(
            lambda endpoint: self.gossip.announce_endpoint(endpoint, 0)
        )
        self.endpoints.quarantined.subscribe(
            lambda endpoint: self.gossip.announce_endpoint(endpoint, 1)
        )
        self.gossip.endpoint_notices.subscribe(
            lambda notice: self.endpoints.apply_notice(
                notice.endpoint, notice.kind
            )
        )
        self.gossip.crash_notices.subscribe(self._apply_crash_notice)
        self.dispatcher.crash_keys.subscribe(self.gossip.announce_crash)
        for run in (
            self.gossip.run(),
            self.config_task.run(),
            self.ledger_task.run(),
            self.budget.run(),
            self.endpoints.run(),
            ManifestFetcher(self.config_task, self.gossip, self.peers).run(),
            MetricsTask(self, self.metrics).run(),
        ):
            self._spawn(run)
        await self.gateway.start(section.host, section.caller_port)

    async def run_until(self, stop: asyncio.Event) -> None:
        """Run until `stop` is set, then stop gracefully.

        Raises
        ------
        RuntimeError
            A task failed; the router was not stopped gracefully.
        """
        waits = [
            asyncio.ensure_future(stop.wait()),
            asyncio.ensure_future(self._failed.wait()),
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if self._failed.is_set():
            raise RuntimeError('a task of the router ended with an error')
        await self.stop()

    async def stop(self) -> None:
        """Drain and stop the router.

        Requests in progress are completed. Those that are still open after
        the drain timeout end with a response that tells whether they may have
        run; a stream that has begun is broken off.
        """
        section = self.settings.router
        logging.info(
            'stopping: no longer ready, waiting for the load balancer'
        )
        self.ready = False
        self.draining = True
        self.gossip.announce(ready=False)
        self.gateway.announce_stop()
        await asyncio.sleep(section.drain_notice_ms / 1000)
        await self.gateway.stop_accepting()
        if not await self.gateway.wait_idle(section.drain_timeout_ms / 1000):
            logging.warning('requests were still open at the drain timeout')
            self.gateway.end_requests()
            self.keyed.end_runs()
            await self.gateway.wait_idle(LAST_ANSWERS_S)
        await self.keyed.wait_runs()
        await self.runner.wait_bills()
        if not await self.budget.drain(DRAIN_BUDGET_S):
            logging.warning(
                'drain timeout: some bills or allotments were not closed'
            )
        await self.gossip.leave()
        await self._close()
        logging.info('stopped')

    async def _close(self) -> None:
        for task in self._tasks:
            task.remove_done_callback(self._on_task_end)
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.gateway.close()
        await self.operator_api.close()
        await self.peer_server.close()
        await self.peers.close()
        await self.client.close()
        await self.log.close()

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_end)

    def _on_task_end(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            logging.error('task failed', exc_info=task.exception())
        self._failed.set()

    def _live_incarnations(self) -> list[str]:
        return [member.incarnation_id for member in self.gossip.live()]

    def _apply_version(self, version: int) -> None:
        manifest = self.config_task.manifest
        if manifest is None:
            return
        self._index = ManifestIndex(manifest, version)
        self.endpoints.set_manifest(manifest)
        self.budget.set_budgets(manifest, version)
        self.ready = True
        self.gossip.announce(manifest_version=version, ready=True)
        logging.info('manifest version %d is in force', version)

    def _apply_crash_notice(self, notice: Any) -> None:
        # Routers merge the counts in notices by their maximum, so the whole
        # fleet is counted as one origin here.
        self.crashes.merge(
            'fleet',
            notice.body_digest,
            notice.crashes,
            age_s=notice.age_ms / 1000,
            now_s=asyncio.get_running_loop().time(),
        )
