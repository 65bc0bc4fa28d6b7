"""System of real routers and stand-ins of log, engine and service."""

import asyncio
import contextlib
import hashlib
import json
import uuid

import aiohttp
from aiohttp import web
import msgspec

from basilpond.settings import RouterSettings
from basilpond.tasks import LogClient
from basilpond.tasks import ManifestPublisher
from basilpond.tasks import Router
from basilpond_testkit import _program
from basilpond_testkit import engine
from basilpond_testkit import log
from basilpond_testkit import service
from basilpond_testkit._fleet import free_ports

HOST = '127.0.0.1'
OPERATOR_KEY = 'operator-planted-key'
KEYS = {'acme': 'bp-acme-planted-key', 'other': 'bp-other-planted-key'}
BUDGET_TOKENS = 100_000
WAIT_TIMEOUT_S = 10


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def uuid7(time_ms):
    random_bits = uuid.uuid4().int & ((1 << 62) - 1)
    return str(
        uuid.UUID(int=(time_ms << 80) | 7 << 76 | 0b10 << 62 | random_bits)
    )


def chat(**fields):
    return {
        'model': 'model-a',
        'messages': [{'role': 'user', 'content': 'hello [12 tokens]'}],
        'max_tokens': 20,
        **fields,
    }


async def wait_until(condition):
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


class SmallSystem:
    """Stand-ins and routers that listen on free loopback ports."""

    def __init__(self, routers, limits, telemetry):
        self.log = log.Log(log.LogSettings())
        self.log_server = _program.Server(
            self.log.app(), _program.HttpSettings(), 0
        )
        self.engine = engine.Engine(
            engine.EngineSettings(
                models=['model-a', 'model-b'],
                first_token_ms=5,
                token_interval_ms=2,
                load_lag_ms=20,
            )
        )
        # Trace headers that the engine received.
        self.engine_traces = []
        app = self.engine.app()
        app.middlewares.append(self._record_trace)
        self.engine_server = _program.Server(app, _program.HttpSettings(), 0)
        self.engine.server = self.engine_server
        self.service = service.Service(service.ServiceSettings())
        self.service_server = _program.Server(
            self.service.app(), _program.HttpSettings(), 0
        )
        self.service.server = self.service_server
        self.routers = []
        self.session = None
        self._count = routers
        self._limits = limits
        self._telemetry = telemetry

    async def start(self):
        self.session = aiohttp.ClientSession()
        for server in self._servers():
            await server.start()
        await self.publish(self.manifest())
        ports = free_ports(3 * self._count)
        seeds = [f'{HOST}:{port}' for port in ports[2::3]]
        for number in range(self._count):
            caller, operator, peer = ports[3 * number : 3 * number + 3]
            settings = msgspec.convert(
                {
                    'router': {
                        'id': f'r{number + 1}',
                        'data_centre': 'dc1',
                        'host': HOST,
                        'caller_port': caller,
                        'operator_port': operator,
                        'peer_port': peer,
                        'seeds': seeds,
                        'operator_key_sha256': sha256(OPERATOR_KEY),
                        'drain_notice_ms': 0,
                    },
                    'log': {'url': self.log_server.url},
                    'limits': self._limits,
                    'telemetry': self._telemetry,
                },
                RouterSettings,
            )
            router = Router(settings)
            self.routers.append(router)
            await router.start()
        await wait_until(lambda: all(map(self._usable, self.routers)))

    def _usable(self, router):
        ledger = router.ledger_task.ledger
        return (
            router.ready
            and len(router.gossip.live()) == self._count - 1
            and all(ledger.budget(name) is not None for name in KEYS)
        )

    async def stop(self):
        # The servers stop last, because the routers use the log until then.
        for router in self.routers:
            router.budget.drain = _no_drain
            router.gossip.leave = _no_leave
        await asyncio.gather(*(router.stop() for router in self.routers))
        await self.session.close()
        for server in self._servers():
            server.abort_connections()
        for server in self._servers():
            await server.stop()

    @web.middleware
    async def _record_trace(self, request, handler):
        if request.method == 'POST':
            self.engine_traces.append(
                {
                    name: request.headers[name]
                    for name in ('traceparent', 'tracestate')
                    if name in request.headers
                }
            )
        return await handler(request)

    def _servers(self):
        return self.log_server, self.engine_server, self.service_server

    def manifest(self, tokens=BUDGET_TOKENS):
        return {
            'organisations': [
                {
                    'id': name,
                    'key_sha256': [sha256(KEYS[name])],
                    'top_ups': [{'id': 'first', 'tokens': tokens}],
                    'endpoints': endpoints,
                }
                for name, endpoints in (
                    ('acme', ['engine-1', 'desk-1']),
                    ('other', ['engine-2']),
                )
            ],
            'models': [{'id': 'model-a'}, {'id': 'model-b'}],
            'services': [
                {
                    'id': 'desk',
                    'routes': [
                        {'method': 'POST', 'path': path, 'idempotent': False}
                        for path in ('/spots/*', '/bookings')
                    ]
                    + [
                        {'method': 'GET', 'path': path, 'idempotent': True}
                        for path in ('/spots/*', '/orders/*')
                    ],
                }
            ],
            'endpoints': [
                {
                    'id': 'engine-1',
                    'data_centre': 'dc1',
                    'url': self.engine_server.url,
                    'models': ['model-a'],
                },
                {
                    'id': 'engine-2',
                    'data_centre': 'dc1',
                    'url': self.engine_server.url,
                    'models': ['model-b'],
                },
                {
                    'id': 'desk-1',
                    'data_centre': 'dc1',
                    'url': self.service_server.url,
                    'service': 'desk',
                },
            ],
        }

    async def publish(self, manifest):
        client = LogClient(self.log_server.url)
        try:
            publisher = ManifestPublisher(client)
            version = (await publisher.read()).version
            decided = await publisher.publish(
                json.dumps(manifest).encode(), version, timeout_s=5
            )
            assert decided.accepted
        finally:
            await client.close()

    def url(self, router=0):
        section = self.routers[router].settings.router
        return f'http://{HOST}:{section.caller_port}'

    def operator_address(self, router=0):
        section = self.routers[router].settings.router
        return f'{HOST}:{section.operator_port}'

    async def call(
        self, method, path, *, router=0, organisation='acme', **options
    ):
        """Send a request; return status, headers and body of the response."""
        headers = {'Authorization': f'Bearer {KEYS[organisation]}'}
        headers.update(options.pop('headers', {}))
        async with self.session.request(
            method, self.url(router) + path, headers=headers, **options
        ) as response:
            return response.status, response.headers, await response.read()

    async def operator(self, method, path, *, router=0, key=OPERATOR_KEY):
        async with self.session.request(
            method,
            f'http://{self.operator_address(router)}{path}',
            headers={'Authorization': f'Bearer {key}'},
        ) as response:
            return response.status, await response.read()

    async def raw(self, data, *, router=0, port=None):
        """Send bytes on a new connection; return all bytes of the response."""
        port = port or self.routers[router].settings.router.caller_port
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(data)
            async with asyncio.timeout(5):
                return await reader.read(-1)
        finally:
            writer.close()

    def spent_tokens(self, organisation='acme', router=0):
        ledger = self.routers[router].ledger_task.ledger
        return ledger.budget(organisation).spent_tokens

    def held_tokens(self, organisation='acme', router=0):
        """Return tokens of the router that are neither free nor spent."""
        budget = self.routers[router].budget
        ledger = self.routers[router].ledger_task.ledger
        view = ledger.budget(organisation)
        return view.outstanding_tokens - budget.free_tokens(organisation)

    async def set_fault(self, server, **order):
        async with self.session.post(
            f'{server.url}/control/faults', json=order
        ) as response:
            assert response.status == 200


async def _no_drain(timeout_s):
    return True


async def _no_leave():
    return None


@contextlib.asynccontextmanager
async def running_system(routers=1, *, limits=None, telemetry=None):
    system = SmallSystem(routers, limits or {}, telemetry or {})
    try:
        await system.start()
        yield system
    finally:
        await system.stop()
