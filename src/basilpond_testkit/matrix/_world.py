"""World of routers, log, endpoints and callers on the paused clock."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Iterable
import hashlib
from typing import Any

import msgspec

from basilpond.core import LogUnavailableError
from basilpond.core import ManifestPublish
from basilpond.core import encode_record
from basilpond.tasks.configuration import _manifest_publisher

from .. import audit
from .. import fake_log
from .. import workload
from ._callers import API_KEY
from ._callers import MAX_ATTEMPTS
from ._callers import Caller
from ._callers import Exchange
from ._callers import issued_key
from ._endpoints import Endpoint
from ._network import LOG
from ._network import Network
from ._router import Router
from ._steps import Steps

ORGANISATION = 'org'
BUDGET_TOKENS = 60_000
OUTPUT_TOKENS = 12
IN_FORCE_S = 5.0
WATCH_S = 0.1


class RecordedLog(fake_log.FakeLog):
    """Log that also keeps what its retention drops, for the checks."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.history: dict[str, list] = {'ledger': [], 'config': []}
        self.on_write = lambda stream: None

    def write(self, stream: str, payload: bytes | str) -> int:
        """Append at once."""
        offset = super().write(stream, payload)
        self.history[stream].append(self.entries(stream)[-1])
        self.on_write(stream)
        return offset


class World:
    """Routers in data centres, with what they talk to.

    Parameters
    ----------
    seed : int
    budget_tokens : int
    data_centres : tuple of str
    routers_each : int
    """

    def __init__(
        self,
        seed: int = 1,
        *,
        budget_tokens: int = BUDGET_TOKENS,
        data_centres: tuple[str, ...] = ('dc1', 'dc2'),
        routers_each: int = 2,
        snapshot_every_records: int = 20_000,
    ) -> None:
        self.seed = seed
        self.snapshot_every_records = snapshot_every_records
        self.log = RecordedLog()
        self.network = Network()
        self.steps = Steps()
        self.endpoints: dict[str, Endpoint] = {}
        self.routers: dict[str, Router] = {}
        self.all_routers: list[Router] = []
        self.exchanges: set[Exchange] = set()
        self.callers: list[Caller] = []
        self.leaving_s: dict[str, float] = {}
        self.publishes: list[Any] = []
        self.top_ups = [{'id': 't1', 'tokens': budget_tokens}]
        self.drained: set[str] = set()
        # Time for which a router could have had a newer manifest.
        self.lag_s: dict[str, float] = collections.defaultdict(float)
        self.late_versions: list[str] = []
        self.usage_patched = False
        self.frames_patched = False
        # Prompts that crash endpoints, and routers that get one at once.
        self.crash_texts: set[str] = set()
        self.crash_routers = 1
        self.stopped: list[tuple[Router, float]] = []
        self._tasks: set[asyncio.Task] = set()
        self._keys: dict[str, str] = {}
        for number, data_centre in enumerate(data_centres):
            self._add_endpoints(number, data_centre)
        for data_centre in data_centres:
            for index in range(routers_each):
                self.add_router(f'{data_centre}-r{index + 1}', data_centre)

    @staticmethod
    def now_s() -> float:
        """Return the wall-clock time in seconds."""
        time_s = asyncio.get_running_loop().time()
        return fake_log.START_TIME_MS / 1000 + time_s

    def now_ms(self) -> int:
        """Return the wall-clock time in milliseconds."""
        return int(self.now_s() * 1000)

    # Setup

    def _add_endpoints(self, number: int, data_centre: str) -> None:
        for index, kind in enumerate(('m1', 'm2', 's1', 's2')):
            name = f'{data_centre}-{kind}'
            url = f'http://10.0.{number}.{index + 1}:80'
            self.endpoints[url] = Endpoint(
                name,
                data_centre,
                url,
                is_model=kind.startswith('m'),
                now_ms=self.now_ms,
            )

    def endpoint(self, name: str) -> Endpoint:
        """Return an endpoint by name."""
        return next(e for e in self.endpoints.values() if e.name == name)

    def add_router(self, router_id: str, data_centre: str) -> Router:
        """Start a router, or a new incarnation of it."""
        router = Router(
            router_id,
            data_centre,
            network=self.network,
            log=self.log,
            endpoints=self.endpoints,
            steps=self.steps,
            vms=self._vms,
            now_s=self.now_s,
            start_ms=self.now_ms(),
            seed=self.seed,
            snapshot_every_records=self.snapshot_every_records,
        )
        self.routers[router_id] = router
        self.all_routers.append(router)
        router.start()
        return router

    def drop_to_snapshot(self) -> bool:
        """Let the retention of the ledger pass up to its newest snapshot."""
        for entry in reversed(self.log.entries('ledger')):
            if '"ledger_snapshot"' in entry.payload:
                self.log.drop_before('ledger', entry.offset)
                return True
        return False

    def _vms(self) -> Any:
        return {
            'vms': [
                {
                    'id': endpoint.name,
                    'address': endpoint.url.removeprefix('http://'),
                    'state': 'leaving' if endpoint.leaving_in_list else 'live',
                }
                for endpoint in self.endpoints.values()
            ]
        }

    def document(self) -> bytes:
        """Return the manifest as JSON."""
        names = [endpoint.name for endpoint in self.endpoints.values()]
        return msgspec.json.encode(
            {
                'organisations': [
                    {
                        'id': ORGANISATION,
                        'key_sha256': [
                            hashlib.sha256(API_KEY.encode()).hexdigest()
                        ],
                        'top_ups': self.top_ups,
                        'endpoints': names,
                    }
                ],
                'models': [{'id': workload.MODELS['chat']}],
                'services': [
                    {
                        'id': workload.SERVICE,
                        'routes': [
                            {
                                'method': 'POST',
                                'path': '/bookings',
                                'idempotent': False,
                                'call_price_tokens': 20,
                            },
                            {
                                'method': 'POST',
                                'path': '/spots/*',
                                'idempotent': False,
                                'call_price_tokens': 5,
                            },
                            {
                                'method': 'GET',
                                'path': '/orders/*',
                                'idempotent': True,
                                'call_price_tokens': 2,
                            },
                        ],
                    }
                ],
                'endpoints': [
                    {
                        'id': endpoint.name,
                        'data_centre': endpoint.data_centre,
                        'url': endpoint.url,
                        'drain': endpoint.name in self.drained,
                        **(
                            {'models': [workload.MODELS['chat']]}
                            if endpoint.is_model
                            else {'service': workload.SERVICE}
                        ),
                    }
                    for endpoint in self.endpoints.values()
                ],
            }
        )

    async def start(self) -> None:
        """Publish the manifest and let all routers get their allotments."""
        self.spawn(self.network.run())
        self.spawn(self._watch_versions())
        self.log.write(
            'config',
            encode_record(
                ManifestPublish('p0', 0, msgspec.Raw(self.document()))
            ),
        )
        await asyncio.sleep(8)

    def spawn(self, coroutine: Any) -> asyncio.Task:
        """Run a coroutine beside the test."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Observation of configurations

    async def _watch_versions(self) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            accepted = audit.accepted_manifests(self.log.history['config'])
            if not accepted:
                continue
            newest = accepted[-1].version
            for router in self.all_routers:
                self._watch_router(router, newest)

    def _watch_router(self, router: Router, newest: int) -> None:
        name = router.node.incarnation_id
        running = router.node.running.is_set()
        if not router.is_serving or router.config_task.version >= newest:
            self.lag_s.pop(name, None)
        elif running and self._could_know(router, newest):
            self.lag_s[name] += WATCH_S
            if self.lag_s[name] > IN_FORCE_S:
                self.late_versions.append(
                    f'{name}: version {newest} not in force after '
                    f'{IN_FORCE_S} s'
                )
                self.lag_s[name] = float('-inf')
        else:
            self.lag_s.pop(name, None)

    def _could_know(self, router: Router, version: int) -> bool:
        """Return whether log or a peer with the version can be reached."""
        node = router.node
        network = self.network
        faults = self.log.faults
        if (
            not (faults.down or faults.silent)
            and network.is_open(node, LOG)
            and network.is_open(LOG, node)
        ):
            return True
        return any(
            other.is_serving
            and other.node.running.is_set()
            and other.config_task.version >= version
            and network.is_open(node, other.node)
            and network.is_open(other.node, node)
            for other in self.all_routers
            if other is not router
        )

    # Operators

    async def publish(
        self, document: bytes, *, replaces: int | None = None
    ) -> Any:
        """Publish a manifest as the operator's program does."""
        publisher = _manifest_publisher.ManifestPublisher(
            self.log.connect(timeout_s=2.0)
        )
        if replaces is None:
            replaces = (await publisher.read()).version
        decided = await publisher.publish(document, replaces, timeout_s=60.0)
        self.publishes.append(decided)
        return decided

    def next_document(self, tokens: int) -> bytes:
        """Add a payment to the budget; return the new manifest."""
        number = len(self.top_ups) + 1
        self.top_ups.append({'id': f't{number}', 'tokens': tokens})
        return self.document()

    async def top_up(self, tokens: int) -> Any:
        """Add a payment to the budget."""
        return await self.publish(self.next_document(tokens))

    async def lower_budget(self, tokens: int) -> None:
        """Publish a smaller budget until the fold has judged it.

        It must be rejected; accepted, the smaller budget would be what the
        overspend check compares with.
        """
        paid = self.top_ups
        stale = True
        while stale:
            await asyncio.sleep(1)
            self.top_ups = [{'id': 't1', 'tokens': tokens}]
            decided = await self.publish(self.document())
            stale = 'manifest_stale' in decided.reason
        if not decided.accepted:
            self.top_ups = paid

    def crash_on(self, text: str) -> None:
        """Let prompts with a text crash each model engine that runs them."""
        self.crash_texts.add(text)
        for endpoint in self.endpoints.values():
            if endpoint.is_model:
                endpoint.crash_text = text

    def leave(self, endpoint: Endpoint, signal: str = 'load') -> None:
        """Let an endpoint leave.

        Parameters
        ----------
        endpoint : Endpoint
        signal : str
            The only one that tells it: ``load``, ``list``, ``manifest`` or
            ``operator``.
        """
        if signal == 'load':
            endpoint.leaving = True
        elif signal == 'list':
            endpoint.leaving_in_list = True
        elif signal == 'manifest':
            self.drained.add(endpoint.name)
            self.spawn(self._publish_drain(endpoint))
            return
        else:
            # The command takes several addresses, because it lasts only as
            # long as the routers that it was given to.
            for router_id in ('dc1-r1', 'dc2-r1'):
                router = self.routers[router_id]
                router.endpoints.set_drained(endpoint.name, True)
        self.leaving_s[endpoint.name] = self.now_s()

    async def _publish_drain(self, endpoint: Endpoint) -> None:
        """Publish until the log takes it; nobody knows of it before."""
        while True:
            try:
                decided = await self.publish(self.document())
            except LogUnavailableError:
                await asyncio.sleep(1)
                continue
            entry = self.log.history['config'][decided.version - 1]
            self.leaving_s[endpoint.name] = entry.time_ms / 1000
            return

    # Callers

    def send(
        self,
        kind: str,
        via: Iterable[str],
        *,
        key: str = '',
        text: str = '',
        max_attempts: int = MAX_ATTEMPTS,
        output_tokens: int = OUTPUT_TOKENS,
        other_body: bool = False,
    ) -> Caller:
        """Start a caller.

        Parameters
        ----------
        kind : str
            ``chat`` (streamed), ``whole``, ``booking``,
            ``release`` or ``order``.
        via : iterable of str
        key : str
            Label of the key; the same label gives the same key.
        text : str
            Makes the request's body unique.
        max_attempts, output_tokens : int
        other_body : bool
            The key is used with another body.
        """
        number = len(self.callers) + 1
        text = text or f'request {number}'
        name = f'w{number}'
        if kind == 'booking':
            request = workload.Request(
                name, 0, ORGANISATION, 'booking', text=text, key=key
            )
        elif kind == 'release':
            request = workload.Request(
                name,
                0,
                ORGANISATION,
                'release',
                text=text,
                target=f'spot{number}',
                key=key,
            )
        elif kind == 'order':
            request = workload.Request(
                name, 0, ORGANISATION, 'order_status', target='o1', key=key
            )
        else:
            request = workload.Request(
                name,
                0,
                ORGANISATION,
                'chat',
                text=f'{text} [{output_tokens - 2} tokens]',
                stream=kind == 'chat',
                max_tokens=output_tokens,
                key=key,
            )
        if other_body:
            request = msgspec.structs.replace(request, other_body=True)
        value = ''
        if key:
            value = self._keys.setdefault(
                key, issued_key(self.now_ms(), len(self._keys) + 1)
            )
        caller = Caller(self, request, list(via), value, max_attempts)
        caller.must_complete = bool(key) and kind not in ('booking', 'release')
        caller.must_complete &= not other_body
        # A caller that gives up early may have met the fault only.
        caller.must_complete &= max_attempts == MAX_ATTEMPTS
        self.callers.append(caller)
        caller.task = self.spawn(caller.run())
        return caller

    def repeat(self, caller: Caller, via: Iterable[str]) -> Caller:
        """Send a request with the same key and body once more."""
        observation = caller.observation
        again = Caller(
            self, caller.request, list(via), observation.key, MAX_ATTEMPTS
        )
        again.must_complete = caller.must_complete
        again.is_repeat = True
        self.callers.append(again)
        again.task = self.spawn(again.run())
        return again

    async def finish(self, quiet_s: float = 25.0) -> None:
        """Wait until all callers have ended and everything is settled."""
        tasks = [caller.task for caller in self.callers]
        if tasks:
            done, _ = await asyncio.wait(tasks, timeout=600)
            for task in done:
                # An error in the fakes must not look like a lost response.
                task.result()
        await asyncio.sleep(quiet_s)

    # Faults on routers

    def kill(self, router: Router) -> None:
        """Kill a router; its callers see a closed connection."""
        router.kill()
        for exchange in list(self.exchanges):
            if exchange.router is router:
                exchange.transport.close()

    async def stop(self, router: Router) -> None:
        """Stop a router gracefully."""
        self.stopped.append((router, self.now_s()))
        await router.stop()

    # Evidence

    def evidence(self) -> audit.Evidence:
        """Return the records of log, endpoints and callers."""
        return audit.Evidence(
            accounts=audit.Accounts(self.log.history['ledger']),
            manifests=audit.accepted_manifests(self.log.history['config']),
            observations=[caller.observation for caller in self.callers],
            engine_runs=[
                run for e in self.endpoints.values() for run in e.engine_runs
            ],
            service_runs=[
                run for e in self.endpoints.values() for run in e.service_runs
            ],
        )
