"""Router in a test world: the product's tasks without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from typing import Any

from basilpond.core import CrashCounter
from basilpond.core import DecisionHistory
from basilpond.core import EndpointTable
from basilpond.core import ManifestIndex
from basilpond.settings import LimitsSection
from basilpond.tasks import _peer_requests
from basilpond.tasks.budgets import _budget_interfaces
from basilpond.tasks.budgets import _budget_task
from basilpond.tasks.budgets import _ledger_task
from basilpond.tasks.callers import _chat_run
from basilpond.tasks.callers import _chat_service
from basilpond.tasks.callers import _gateway
from basilpond.tasks.callers import _peer_responses
from basilpond.tasks.callers import _service_calls
from basilpond.tasks.configuration import _config_task
from basilpond.tasks.configuration import _manifest_fetcher
from basilpond.tasks.endpoints import _dispatcher
from basilpond.tasks.endpoints import _endpoint_task
from basilpond.tasks.endpoints import _relay
from basilpond.tasks.requests import _keyed_calls
from basilpond.tasks.requests import _recorded_responses
from basilpond.tasks.requests import _request_log
from basilpond.tasks.requests import _responses

from ..fake_log import FakeLog
from ..fake_peers import PausableLink
from ._endpoints import Endpoint
from ._endpoints import NoConnections
from ._endpoints import Session
from ._network import LogAccess
from ._network import Network
from ._network import Node
from ._steps import Steps

LOG_TIMEOUT_S = 2.0
DRAIN_NOTICE_S = 5.0
DRAIN_TIMEOUT_S = 130.0
DRAIN_BUDGET_S = 20.0
# Close to the bound of the requests of a cell, so that a small budget is
# divided among all routers.
INITIAL_BOUND_TOKENS = 700


class _Budget(_budget_task.BudgetTask):
    """Budget task that tells when a request reaches its steps."""

    steps: Steps
    node: Node

    async def hold(self, *args: Any, **kwargs: Any) -> Any:
        await self._reach('hold')
        return await super().hold(*args, **kwargs)

    async def claim(self, *args: Any, **kwargs: Any) -> Any:
        await self._reach('claim')
        return await super().claim(*args, **kwargs)

    async def charge(self, *args: Any, **kwargs: Any) -> Any:
        await self._reach('bill')
        charge_result = await super().charge(*args, **kwargs)
        await self._reach('release')
        return charge_result

    async def _reach(self, step: str) -> None:
        await self.steps.reach(step)
        await self.node.gate()


class _Dispatcher(_dispatcher.Dispatcher):
    """Dispatcher that tells when a request is queued."""

    steps: Steps
    node: Node

    async def choose_endpoint(self, *args: Any) -> str:
        await self.steps.reach('queue')
        await self.node.gate()
        return await super().choose_endpoint(*args)


class _Endpoints(_endpoint_task.EndpointTask):
    """Endpoint task over fake endpoints; cache events are not polled."""

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_loads())
            group.create_task(self._run_probes())
            group.create_task(self._poll_vms())
            group.create_task(self._reannounce_drains())


class Router:
    """All tasks of a router.

    Parameters
    ----------
    router_id, data_centre : str
    network : Network
    log : FakeLog
    endpoints : dict
    steps : Steps
    vms : callable
    now_s : callable
        Wall-clock time in seconds.
    start_ms : int
    seed : int
    snapshot_every_records : int
    """

    def __init__(
        self,
        router_id: str,
        data_centre: str,
        *,
        network: Network,
        log: FakeLog,
        endpoints: dict[str, Endpoint],
        steps: Steps,
        vms: Callable[[], Any],
        now_s: Callable[[], float],
        start_ms: int,
        seed: int,
        snapshot_every_records: int = 20_000,
    ) -> None:
        self.router_id = router_id
        self.data_centre = data_centre
        self.network = network
        self.steps = steps
        self.index: ManifestIndex | None = None
        self.accepting = True
        # Every version that came into force, with its time.
        self.versions: list[tuple[float, int]] = []
        incarnation = f'{router_id}~{start_ms}'
        self.node = Node(router_id, incarnation, data_centre)
        self.view = network.add(self.node, self._serve_peer)
        self.view.on_endpoint_notice = self._apply_endpoint_notice
        self.view.on_crash = self._apply_crash
        limits = self.limits = LimitsSection()
        rng = random.Random(f'{seed} {incarnation}')
        link = log.connect(timeout_s=LOG_TIMEOUT_S)
        access = PausableLink(
            LogAccess(network, self.node, link), self.node.gate
        )
        self.ledger_task = _ledger_task.LedgerTask(
            access,
            incarnation,
            live_routers=self._live,
            snapshot_every_records=snapshot_every_records,
        )
        self.config_task = _config_task.ConfigTask(
            access, incarnation, live_routers=self._live
        )
        self.budget = _Budget(
            self.ledger_task,
            self.view,
            self.view,
            incarnation=incarnation,
            settings=_budget_interfaces.BudgetSettings(
                data_centre=data_centre,
                initial_bound_tokens=INITIAL_BOUND_TOKENS,
            ),
        )
        self.budget.steps = steps
        self.budget.node = self.node
        self.table = EndpointTable(data_centre, rng)
        self.session = Session(network, self.node, endpoints, steps, vms)
        self.endpoints = _Endpoints(
            self.table,
            rng=rng,
            live_routers=lambda: len(self.view.live()) + 1,
            vms_url='http://10.255.0.1:1',
            uptime_s=now_s,
        )
        self.endpoints._session = self.session
        self.endpoints.leaving.subscribe(
            lambda endpoint: self.view.announce_endpoint(endpoint, 0)
        )
        self.endpoints.quarantined.subscribe(
            lambda endpoint: self.view.announce_endpoint(endpoint, 1)
        )
        self.crashes = CrashCounter()
        self.dispatcher = _Dispatcher(
            limits, self.table, self.crashes, self.endpoints.refresh_if_stale
        )
        self.dispatcher.steps = steps
        self.dispatcher.node = self.node
        self.dispatcher.crash_keys.subscribe(self.view.announce_crash)
        client = _relay.EndpointClient(limits)
        client._session = client._fresh_session = self.session
        client._connector = NoConnections()
        request_log = _request_log.RequestLog(DecisionHistory(), now_s)
        self.history = request_log.history
        self.keyed = _keyed_calls.KeyedCalls(
            _responses.ResponseStore(
                limits.stored_answers_bytes, limits.stored_answer_s
            ),
            request_log,
        )
        self.runner = _chat_run.ChatRunner(
            limits, self.budget, self.dispatcher, client, request_log, now_s
        )
        recorded_responses = _recorded_responses.RecordedResponses(
            _peer_responses.PeerResponses(self.budget, self.view, self.view),
            request_log,
            limits.rerun_limit,
        )
        self.gateway = _gateway.Gateway(
            limits,
            lambda: self.index,
            _chat_service.ChatService(
                limits, self.runner, self.keyed, recorded_responses
            ),
            _service_calls.ServiceCalls(
                limits,
                self.budget,
                self.dispatcher,
                client,
                self.keyed,
                recorded_responses,
                request_log,
                now_s,
                now_s,
            ),
            request_log,
        )
        self._peer_requests = _peer_requests.PeerRequests(
            self.config_task, self.budget, self.keyed
        )
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start all tasks."""
        self.config_task.versions.subscribe(self._apply_version)
        fetcher = _manifest_fetcher.ManifestFetcher(
            self.config_task, self.view, self.view
        )
        self._tasks = [
            asyncio.ensure_future(run)
            for run in (
                self.config_task.run(),
                self.ledger_task.run(),
                self.budget.run(),
                self.endpoints.run(),
                fetcher.run(),
            )
        ]

    async def stop(self) -> None:
        """Stop gracefully, in the order of the product's router."""
        self.steps.note('leave')
        self.view.announce(ready=False)
        await asyncio.sleep(DRAIN_NOTICE_S)
        self.steps.note('drain')
        self.accepting = False
        await self.gateway.wait_idle(DRAIN_TIMEOUT_S)
        await self.keyed.wait_runs()
        await self.runner.wait_bills()
        self.steps.note('hand_back')
        await self.budget.drain(DRAIN_BUDGET_S)
        await self.node.gate()
        self.node.left = True
        self.cancel()

    def kill(self) -> None:
        """End the process: nothing that it does has an effect any more."""
        self.node.killed = True
        self.node.running.set()
        self.accepting = False
        self.cancel()

    def pause(self) -> None:
        """Suspend the VM."""
        self.node.running.clear()

    def resume(self) -> None:
        """End the suspension."""
        self.node.running.set()

    def cancel(self) -> None:
        """Cancel the tasks that poll."""
        for task in self._tasks:
            task.cancel()

    def errors(self) -> list[str]:
        """Return the errors with which tasks have ended."""
        return [
            f'{self.router_id}: task ended with {task.exception()!r}'
            for task in self._tasks
            if task.done() and not task.cancelled() and task.exception()
        ]

    @property
    def is_serving(self) -> bool:
        """Whether the process is there."""
        return not (self.node.killed or self.node.left)

    async def _serve_peer(self, frame: Any) -> Any:
        reply = await self._peer_requests.handle(frame)
        reply.call_id = frame.call_id
        reply.is_reply = True
        return reply

    def _live(self) -> list[str]:
        return [member.incarnation_id for member in self.view.live()]

    def _apply_version(self, version: int) -> None:
        manifest = self.config_task.manifest
        if manifest is None or not self.is_serving:
            return
        self.steps.note(f'apply {self.router_id} {version}')
        self.index = ManifestIndex(manifest, version)
        self.endpoints.set_manifest(manifest)
        self.budget.set_budgets(manifest, version)
        now_s = asyncio.get_running_loop().time()
        self.versions.append((now_s, version))
        self.view.announce(manifest_version=version, ready=True)

    def _apply_endpoint_notice(self, endpoint: str, kind: int) -> None:
        self.endpoints.apply_notice(endpoint, kind)

    def _apply_crash(
        self, peer: str, key: str, count: int, age_s: float
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self.crashes.merge(peer, key, count, age_s=age_s, now_s=now_s)
