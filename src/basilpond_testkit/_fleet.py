"""Fleet on one machine, as child processes of the demo."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import dataclasses
import hashlib
import os
import pathlib
import secrets
import socket
import subprocess
import sys
from typing import Any

from absl import logging
import aiohttp
import msgspec

from . import _client
from . import workload

HOST = '127.0.0.1'
_START_TIMEOUT_S = 30
_STOP_TIMEOUT_S = 20
_PLENTY_TOKENS = 1_000_000_000
# About a third of what the organisation's part of the workload costs.
EXHAUSTED = 'lanterne-catania'
EXHAUSTED_TOKENS = 2500
TOP_UP_TOKENS = 200_000
MODELS = tuple(sorted(set(workload.MODELS.values())))


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Size of a fleet.

    Parameters
    ----------
    data_centres : dict
        Name to number of routers.
    engine_models : tuple of tuple of str
        Models of each engine of a data centre.
    engine : dict
        Settings of all engines.
    endpoints_per_engine : int
        Endpoints at the address of each engine process, which then stands for
        as many engines.
    """

    data_centres: dict[str, int]
    engine_models: tuple[tuple[str, ...], ...]
    engine: dict[str, Any] = dataclasses.field(default_factory=dict)
    endpoints_per_engine: int = 1


DEMO_PLAN = Plan(
    {'nl-west-1': 3, 'nl-west-2': 3, 'nl-west-3': 2},
    (('wagen-chat',), ('lanterna-counter', 'lanterna-pattern'), MODELS),
    {'first_token_ms': 80},
)


class StartError(Exception):
    """A program of the fleet did not become ready."""


def free_ports(count: int) -> list[int]:
    """Return TCP ports that are free now, for UDP as well."""
    sockets = []
    for _ in range(count):
        tcp = socket.socket()
        tcp.bind((HOST, 0))
        sockets.append(tcp)
    ports = [tcp.getsockname()[1] for tcp in sockets]
    for tcp in sockets:
        tcp.close()
    return ports


def toml(tables: dict[str, dict[str, Any]]) -> str:
    """Return settings as TOML; JSON values are valid TOML values."""
    lines = []
    for table, fields in tables.items():
        lines.append(f'[{table}]')
        lines += [
            f'{name} = {msgspec.json.encode(value).decode()}'
            for name, value in fields.items()
        ]
    return '\n'.join(lines) + '\n'


def _command(program: str) -> list[str]:
    """Return the command of a program of this checkout.

    A console script may have been installed from another checkout.
    """
    return [sys.executable, '-m', f'basilpond.programs.{program}']


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """An engine or service of the fleet."""

    id: str
    data_centre: str
    port: int
    models: tuple[str, ...] = ()

    @property
    def url(self) -> str:
        """Base address."""
        return f'http://{HOST}:{self.port}'


class Fleet:
    """Child processes, their settings and the manifest.

    Parameters
    ----------
    folder : pathlib.Path
        Settings, manifest and log lines go here.
    session : aiohttp.ClientSession
    plan : Plan
    """

    def __init__(
        self,
        folder: pathlib.Path,
        session: aiohttp.ClientSession,
        plan: Plan = DEMO_PLAN,
    ) -> None:
        self._plan = plan
        self._folder = folder
        self._session = session
        self._children: dict[str, subprocess.Popen] = {}
        log_port, vms_port = free_ports(2)
        self.log_url = f'http://{HOST}:{log_port}'
        self.vms_url = f'http://{HOST}:{vms_port}'
        self._ports = {'log': log_port, 'vms': vms_port}
        self.engines: list[Endpoint] = []
        self.services: list[Endpoint] = []
        self.routers: list[_client.Router] = []
        self.operator_key = secrets.token_urlsafe(24)
        organisations = {r.organisation for r in workload.load()}
        self.keys = {
            organisation: f'bp-{secrets.token_urlsafe(24)}'
            for organisation in sorted(organisations)
        }
        self._top_ups = {
            organisation: [
                EXHAUSTED_TOKENS
                if organisation == EXHAUSTED
                else _PLENTY_TOKENS
            ]
            for organisation in self.keys
        }
        self._seeds: list[str] = []
        self._router_count = 0

    async def start(self) -> None:
        """Start everything that does not run yet and publish a manifest."""
        self._start_platform()
        if not self.engines:
            self._start_endpoints()
        await self._wait_for(
            [
                f'{self.log_url}/control/stats',
                f'{self.vms_url}/vms',
                *(f'{engine.url}/load' for engine in self.engines),
                *(f'{desk.url}/control/runs' for desk in self.services),
            ]
        )
        await self._list_vms()
        await self.publish()
        plan = [
            data_centre
            for data_centre, count in self._plan.data_centres.items()
            for _ in range(count)
        ]
        ports = free_ports(3 * len(plan))
        peers = dict(zip(plan, ports[2::3], strict=False))
        # One seed of each data centre; later ones replace earlier ones.
        self._seeds = [f'{HOST}:{port}' for port in peers.values()]
        for number, data_centre in enumerate(plan):
            three = ports[3 * number : 3 * number + 3]
            self._start_router(data_centre, *three)
        await self.wait_until_ready()

    def _start_platform(self) -> None:
        for program, tables in (
            ('log', {'log': {'appends_per_s': 400}}),
            ('vms', {'vms': {'lag_ms': 1000}}),
        ):
            http = {'host': HOST, 'port': self._ports[program]}
            self._spawn_stand_in(program, program, {'http': http, **tables})

    def _start_endpoints(self) -> None:
        plan = self._plan
        engines = len(plan.engine_models) * len(plan.data_centres)
        ports = iter(free_ports(engines + len(plan.data_centres)))
        for data_centre in plan.data_centres:
            for number, models in enumerate(plan.engine_models, start=1):
                engine = Endpoint(
                    f'{data_centre}-engine-{number}',
                    data_centre,
                    next(ports),
                    models,
                )
                self.engines.append(engine)
                self.engines += [
                    dataclasses.replace(engine, id=f'{engine.id}-{copy}')
                    for copy in range(2, plan.endpoints_per_engine + 1)
                ]
                settings = {'models': list(models), **plan.engine}
                self._start_endpoint('engine', engine, settings)
            desk = Endpoint(f'{data_centre}-desk', data_centre, next(ports))
            self.services.append(desk)
            self._start_endpoint('service', desk, {'name': desk.id})

    def _start_endpoint(
        self, program: str, endpoint: Endpoint, settings: dict[str, Any]
    ) -> None:
        tables = {
            'http': {'host': HOST, 'port': endpoint.port},
            program: settings,
        }
        self._spawn_stand_in(program, endpoint.id, tables)

    def _start_router(
        self, data_centre: str, caller: int, operator: int, peer: int
    ) -> _client.Router:
        self._router_count += 1
        name = f'{data_centre}-r{self._router_count}'
        digest = hashlib.sha256(self.operator_key.encode()).hexdigest()
        tables = {
            'router': {
                'id': name,
                'data_centre': data_centre,
                'host': HOST,
                'caller_port': caller,
                'operator_port': operator,
                'peer_port': peer,
                'seeds': self._seeds,
                'operator_key_sha256': digest,
                'drain_notice_ms': 1500,
            },
            'log': {'url': self.log_url},
            'vms': {'url': self.vms_url},
        }
        self._spawn(name, _command('router'), tables)
        router = _client.Router(
            name, f'http://{HOST}:{caller}', f'http://{HOST}:{operator}'
        )
        self.routers.append(router)
        return router

    async def start_endpoints(self) -> None:
        """Start engines and services only."""
        self._start_endpoints()
        await self._wait_for(f'{engine.url}/load' for engine in self.engines)

    async def start_stand_in(
        self, module: str, name: str, tables: dict[str, dict[str, Any]]
    ) -> str:
        """Start another program of the test kit; return its address."""
        (port,) = free_ports(1)
        http = {'host': HOST, 'port': port}
        self._spawn_stand_in(module, name, {'http': http, **tables})
        url = f'http://{HOST}:{port}'
        await self._wait_for([f'{url}/control/ready'])
        return url

    def _spawn_stand_in(
        self, module: str, name: str, tables: dict[str, dict[str, Any]]
    ) -> None:
        command = [sys.executable, '-m', f'basilpond_testkit.{module}']
        self._spawn(name, command, tables)

    def _spawn(
        self,
        name: str,
        command: list[str],
        tables: dict[str, dict[str, Any]],
    ) -> None:
        settings = self._folder / f'{name}.toml'
        settings.write_text(toml(tables))
        with open(self._folder / f'{name}.log', 'wb') as errors:
            self._children[name] = subprocess.Popen(
                [*command, '--settings', str(settings)],
                stdout=errors,
                stderr=errors,
                env=os.environ,
            )

    async def _wait_for(self, urls: Iterable[str]) -> None:
        """Wait until each address answers 200."""
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                for url in urls:
                    while not await self._answers(url):
                        self._check_children()
                        await asyncio.sleep(0.1)
        except TimeoutError:
            raise StartError(
                f'{url} is not ready after {_START_TIMEOUT_S} s; see '
                f'{self._folder}'
            ) from None

    async def _answers(self, url: str) -> bool:
        try:
            async with self._session.get(url) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    def _check_children(self) -> None:
        for name, child in self._children.items():
            if child.poll() is not None:
                path = self._folder / f'{name}.log'
                last = path.read_text(errors='replace').splitlines()[-1:]
                raise StartError(
                    f'{name} ended with code {child.returncode}: {last}'
                )

    async def wait_until_ready(self) -> None:
        """Wait until every router is ready."""
        await self._wait_for(
            f'{router.operator_url}/readyz' for router in self.routers
        )

    async def _list_vms(self) -> None:
        vms = [
            {'id': endpoint.id, 'address': f'{HOST}:{endpoint.port}'}
            for endpoint in self.engines + self.services
        ]
        async with self._session.post(
            f'{self.vms_url}/control/vms', json={'vms': vms}
        ) as answer:
            answer.raise_for_status()

    def manifest(self) -> dict[str, Any]:
        """Return the manifest with the budgets paid so far."""
        endpoints = self.engines + self.services
        return {
            'organisations': [
                {
                    'id': organisation,
                    'key_sha256': [hashlib.sha256(key.encode()).hexdigest()],
                    'top_ups': [
                        {'id': f'payment-{number}', 'tokens': tokens}
                        for number, tokens in enumerate(
                            self._top_ups[organisation], start=1
                        )
                    ],
                    'endpoints': [endpoint.id for endpoint in endpoints],
                }
                for organisation, key in self.keys.items()
            ],
            'models': [
                {'id': model, 'max_output_tokens': 1024} for model in MODELS
            ],
            'services': [
                {
                    'id': workload.SERVICE,
                    'routes': [
                        {'method': method, 'path': path, 'idempotent': same}
                        for method, path, same in (
                            ('POST', '/spots/*', False),
                            ('GET', '/spots/*', True),
                            ('POST', '/bookings', False),
                            ('GET', '/orders/*', True),
                        )
                    ],
                }
            ],
            'endpoints': [
                {
                    'id': endpoint.id,
                    'data_centre': endpoint.data_centre,
                    'url': endpoint.url,
                    **(
                        {'models': list(endpoint.models)}
                        if endpoint.models
                        else {'service': workload.SERVICE}
                    ),
                }
                for endpoint in endpoints
            ],
        }

    async def publish(self) -> None:
        """Publish the manifest with the operators' program.

        Raises
        ------
        StartError
            If it was not accepted.
        """
        path = self._folder / 'manifest.json'
        path.write_bytes(msgspec.json.encode(self.manifest()))
        process = await asyncio.create_subprocess_exec(
            *_command('manifest'),
            'publish',
            '--log-url',
            self.log_url,
            str(path),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        if process.returncode:
            raise StartError(
                f'publish ended with code {process.returncode}: '
                f'{output.decode(errors="replace")[-500:]}'
            )

    async def top_up(self, organisation: str, tokens: int) -> None:
        """Add a payment and publish it."""
        self._top_ups[organisation].append(tokens)
        await self.publish()

    def kill_router(self, router: _client.Router) -> None:
        """End a router with SIGKILL."""
        child = self._children.pop(router.id)
        child.kill()
        child.wait()
        self.routers.remove(router)

    def replace_router(self, router: _client.Router) -> _client.Router:
        """Start a new router in the data centre of another."""
        data_centre = router.id.rpartition('-')[0]
        return self._start_router(data_centre, *free_ports(3))

    def process_id(self, name: str) -> int:
        """Return the process id of a child."""
        return self._children[name].pid

    async def stop_routers(self) -> list[str]:
        """Stop the routers gracefully; return those that did not end well."""
        names = [router.id for router in self.routers]
        return await self._stop(names)

    async def stop(self) -> None:
        """Stop every child process, the routers first."""
        await self.stop_routers()
        await self._stop(list(self._children))

    async def _stop(self, names: list[str]) -> list[str]:
        """Stop children by their process ids; return those that failed."""
        children = {
            name: self._children.pop(name)
            for name in names
            if name in self._children
        }
        for child in children.values():
            if child.poll() is None:
                child.terminate()
        failed = []
        for name, child in children.items():
            try:
                await asyncio.to_thread(child.wait, _STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                logging.warning('%s did not stop; killing it', name)
                child.kill()
                child.wait()
            if child.returncode:
                failed.append(f'{name} ended with code {child.returncode}')
        return failed
