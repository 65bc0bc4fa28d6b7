"""Starts routers as processes, with stand-ins for platform and servers.

The log of the platform and the servers are the project's own stand-ins; they
run in the process of the script. Routers are started with the command of the
deploy file. All addresses are loopback addresses, all ports are free ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / 'src'), str(ROOT / 'target' / 'deps')]

from basilpond_testkit.platform_stand_in import LogStandIn  # noqa: E402
from basilpond_testkit.platform_stand_in import ServerStandIn  # noqa: E402

HOST_NAME = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Pause before the platform starts a process again that ended by itself.
RESTART_S = 0.8
# Limits and bounds of the sites wagenpark and trinacria-hq.
MEMORY_BYTES = 300_000_000
LIMITS = {
    'cpu_share': 0.537,
    'cores': 2,
    'memory_mb': 300,
    'max_fds': 4100,
    'link_mbps': 1000.0,
}
BOUNDS = {
    'stable_window_ms': 3000,
    'drain_ms': 2000,
    'grace_s': 8,
    'config_apply_ms': 2000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 56,
    'reuse_window_s': 10,
}


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, written to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._started_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Time since the start of the script."""
        return time.monotonic() - self._started_s

    def line(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f'{self.now_s:8.3f} {text}\n')

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


def free_port(host: str) -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def route(
    prefix: str, kind: str, service: str, **changes: object
) -> dict[str, object]:
    """Return a route as in the platform's examples."""
    return {
        'name': f'r-{prefix.strip("/")}',
        'host': HOST_NAME,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 1500,
        'latency_target_ms': 300,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        'gap_target_ms': 300,
        **changes,
    }


def desired_state(routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a desired state with one tenant, as in the examples."""
    services = sorted({str(item['service']) for item in routes})
    return {
        'version': 7,
        'routes': routes,
        'services': [
            {'name': name, 'health_path': '/health'} for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'hule930',
                'api_keys': [KEY],
                'priority': 1,
                'prepaid': 10**9,
            }
        ],
    }


class Router:
    """A machine with one router process."""

    def __init__(
        self, name: str, host: str, store_port: int, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.host = host
        self.front = free_port(host)
        self._ready_port = free_port(host)
        peer_port = free_port(host)
        self.settings = {
            'node_name': name,
            'role': 'router',
            'machine_class': 'front',
            'ip': host,
            'zone': 'dc',
            'zones': {'dc': 'region'},
            'listen': {
                'front': f'{host}:{self.front}',
                'ready': f'{host}:{self._ready_port}',
            },
            'port_range': [peer_port, peer_port],
            'seeds': [],
            'bootstrap': True,
            'limits': LIMITS,
            'bounds': BOUNDS,
            'platform': {
                'address': f'127.0.0.1:{store_port}',
                'writes_per_s': 800,
                'reads_per_s': 2000,
                'parts': 24,
            },
        }
        self._path = folder / f'{name}.yaml'
        self.output = folder / f'{name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        # Ends that the platform did not ask for: exit code or reason.
        self.own_ends: list[str] = []

    def write_settings(self) -> None:
        """Replace the settings file at once."""
        new = self._path.with_suffix('.new')
        new.write_text(json.dumps(self.settings), encoding='utf-8')
        new.replace(self._path)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        # Only the first start is that of the whole system.
        self.settings['bootstrap'] = False
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        names = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
        env = {n: os.environ[n] for n in names if n in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['BASILPOND_SETTINGS'] = str(self._path)
        with self.output.open('ab') as output:
            self.process = subprocess.Popen(
                deploy['roles']['router']['run'].split(),
                cwd=ROOT,
                env=env,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    @property
    def resident_bytes(self) -> int:
        """Resident memory of the process."""
        assert self.process is not None
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        lines = [x for x in text.splitlines() if x.startswith('VmRSS')]
        return int(lines[0].split()[1]) * 1024 if lines else 0

    async def is_ready(self) -> bool:
        """Whether the platform's question is answered with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self._ready_port
                )
                writer.write(
                    b'GET /basilpond/ready HTTP/1.1\r\nHost: ready\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until it takes requests."""
        end_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end_s:
                raise CannotRunError(f'{self.name} does not get ready')
            await asyncio.sleep(0.05)

    def end(self) -> None:
        """End the process."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


class Deployment:
    """Routers, the log and servers of one case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.log = LogStandIn()
        self.folder = folder
        self.routers: list[Router] = []
        self.servers: list[ServerStandIn] = []

    async def start(
        self,
        routes: list[dict[str, object]],
        servers: list[ServerStandIn],
        hosts: list[str],
        slots: int,
    ) -> None:
        """Start all of it and wait until the routers are ready."""
        await self.log.start()
        self.log.put('keyed.op', 'config', desired_state(routes))
        self.servers = servers
        for server in servers:
            await server.start()
            self.log.put(
                'keyed.servers', server.server_id, server.entry(slots=slots)
            )
        self.routers = [
            Router(f'front-{i}', host, self.log.port, self.folder)
            for i, host in enumerate(hosts, 1)
        ]
        for router in self.routers:
            router.start()
        for router in self.routers:
            await router.wait_ready()

    def end(self) -> None:
        """End all processes and stand-ins."""
        for router in self.routers:
            router.end()
        for server in self.servers:
            server.stop()
        self.log.stop()


@contextlib.asynccontextmanager
async def deployment() -> AsyncIterator[Deployment]:
    """Return a deployment in a temporary folder, and end it."""
    with tempfile.TemporaryDirectory() as name:
        result = Deployment(pathlib.Path(name))
        try:
            yield result
        finally:
            result.end()


class Client:
    """A client's channel, over which requests are sent one by one."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(self, data: bytes) -> tuple[int | None, bytes]:
        """Send a request; return status and body, or None without one.

        A channel that ends, or an answer that is cut, closes the channel.
        """
        try:
            if self._writer is None:
                async with asyncio.timeout(1.0):
                    self._reader, self._writer = await asyncio.open_connection(
                        self._router.host, self._router.front
                    )
            self._writer.write(data)
            return await self._read_response()
        except (
            OSError,
            TimeoutError,
            ValueError,
            asyncio.IncompleteReadError,
        ):
            self.close()
            return None, b''
        except asyncio.CancelledError:
            self.close()
            raise

    async def _read_response(self) -> tuple[int, bytes]:
        assert self._reader is not None
        line = await self._reader.readline()
        if not line:
            raise OSError('closed')
        status = int(line.split()[1])
        fields = {}
        while field := (await self._reader.readline()).strip():
            name, _, value = field.partition(b':')
            fields[name.lower()] = value.strip()
        if fields.get(b'transfer-encoding') == b'chunked':
            body = await self._read_chunks()
        else:
            size = int(fields.get(b'content-length', b'0'))
            body = await self._reader.readexactly(size)
        if fields.get(b'connection') == b'close':
            self.close()
        return status, body

    async def _read_chunks(self) -> bytes:
        assert self._reader is not None
        body = b''
        while True:
            size = int(await self._reader.readline(), 16)
            body += (await self._reader.readexactly(size + 2))[:size]
            if not size:
                return body

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def head(
    method: str, path: str, request_id: str, deadline_ms: int, *lines: str
) -> bytes:
    """Return the head of a client's request."""
    fields = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'X-Request-Id: {request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {KEY}',
        *lines,
    ]
    return ''.join(f'{line}\r\n' for line in fields).encode() + b'\r\n'


def record_runs(record: Record, servers: list[ServerStandIn]) -> None:
    """Record the requests that the servers ran."""
    for server in servers:
        for request in server.requests:
            fields = dict(request.headers)
            request_id = fields.get(b'x-request-id', b'').decode()
            record.line(f'{server.server_id} ran {request_id}')


def run_case(
    script: str, play: Callable[[Record], object], limit_s: float = 110.0
) -> None:
    """Play a case and exit with 1 if the rule was broken, else with 0.

    Parameters
    ----------
    script : str
        Path of the case's script, beside which the record is written.
    play : callable
        Async function that returns whether the rule was broken.
    limit_s : float
        Longest time.
    """
    record = Record(pathlib.Path(script).resolve().parent)

    async def limited() -> bool:
        async with asyncio.timeout(limit_s):
            return await play(record)

    try:
        broken = asyncio.run(limited())
    except (CannotRunError, OSError, TimeoutError) as error:
        record.line(f'could not run: {error!r}')
        sys.stderr.write(f'could not run: {error!r}\n')
        code = 2
    else:
        code = 1 if broken else 0
        record.line(f'rule broken: {broken}')
    record.close()
    raise SystemExit(code)
