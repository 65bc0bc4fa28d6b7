"""Router processes of a soak."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

import yaml

from .. import platform_stand_in
from ._checks import Bounds
from ._evidence import Evidence
from ._evidence import Peak

MEMORY_MB = 160
MAX_FDS = 1638
LINK_MBPS = 100
EVACUATE_MS = 5000
COLD_OVER = 1.5
COLD_SLACK = 5
GRACE_S = 8.0
# Below the range of ports that the kernel gives to clients.
CALLERS_PORT = 21_080
READY_PORT = 21_081
PEERS_PORT = 21_082
METRICS_PORT = 9464
# Guards against a hang on a slow machine; a router starts in about a second
# and ends within `bounds.grace_s`.
_START_TIMEOUT_S = 60.0
_END_TIMEOUT_S = 60.0


def bounds(cold_per_s: float) -> Bounds:
    """Return the bounds that the settings of the routers promise."""
    return Bounds(
        evacuate_s=EVACUATE_MS / 1000,
        cold_requests=cold_per_s * COLD_OVER + COLD_SLACK,
        memory_bytes=MEMORY_MB * 1_000_000,
        descriptors=MAX_FDS,
    )


class RouterProcess:
    """A router that is started, killed, paused and stopped.

    Parameters
    ----------
    name, host, data_centre : str
    store_port : int
    folder : pathlib.Path
        For its settings and its output.
    evidence : Evidence
    """

    def __init__(
        self,
        name: str,
        host: str,
        data_centre: str,
        store_port: int,
        folder: pathlib.Path,
        evidence: Evidence,
    ) -> None:
        self.name = name
        self.host = host
        self._data_centre = data_centre
        self._store_port = store_port
        self._path = folder / f'{name}.yaml'
        self._output = folder / f'{name}.log'
        self._evidence = evidence
        self._peak = evidence.peaks.setdefault(name, Peak())
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self._is_ending = False
        # Faults of one router follow each other.
        self.lock = asyncio.Lock()

    @property
    def url(self) -> str:
        """Base address for callers."""
        return f'http://{self.host}:{CALLERS_PORT}'

    @property
    def is_running(self) -> bool:
        """Whether there is a process, if only a paused one."""
        return self._process is not None and not self._is_ending

    async def start(self, *, is_first: bool = False) -> None:
        """Start a process."""
        settings = {
            'node_name': self.name,
            'ip': self.host,
            'zone': self._data_centre,
            'listen': {
                'front': f'{self.host}:{CALLERS_PORT}',
                'ready': f'{self.host}:{READY_PORT}',
            },
            'port_range': [PEERS_PORT, PEERS_PORT],
            'platform': {
                'address': f'{platform_stand_in.HOST}:{self._store_port}',
                'parts': 24,
            },
            'bounds': {
                'evacuate_ms': EVACUATE_MS,
                'cold_over': COLD_OVER,
                'cold_slack': COLD_SLACK,
                'grace_s': GRACE_S,
            },
            'limits': {
                'memory_mb': MEMORY_MB,
                'max_fds': MAX_FDS,
                'link_mbps': LINK_MBPS,
            },
            'bootstrap': is_first,
        }
        self._path.write_text(yaml.safe_dump(settings), encoding='utf-8')
        with self._output.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'basilpond.programs.platform_router',
                env={**os.environ, 'BASILPOND_SETTINGS': str(self._path)},
                stdout=output,
                stderr=output,
            )
        self._is_ending = False
        self._watch = asyncio.create_task(self._wait(self._process))

    async def _wait(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if not self._is_ending:
            last = self._output.read_text(errors='replace').splitlines()[-3:]
            self._evidence.ends.append(
                f'{self.name} ended by itself with code {code}: {last}'
            )
        self._process = None

    async def wait_until_ready(self) -> bool:
        """Wait until it answers that it is ready; return whether it does."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_START_TIMEOUT_S):
                while not await self._is_ready():  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
                return True
        return False

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host, READY_PORT
            )
        except OSError:
            return False
        try:
            writer.write(
                b'GET /basilpond/ready HTTP/1.1\r\nHost: h.example\r\n'
                b'Connection: close\r\n\r\n'
            )
            return (await reader.read(12)).endswith(b'200')
        except OSError:
            return False
        finally:
            writer.close()

    def sample(self) -> None:
        """Record the memory and the descriptors in use."""
        if self._process is None:
            return
        folder = pathlib.Path(f'/proc/{self._process.pid}')
        with contextlib.suppress(OSError, ValueError):
            lines = (folder / 'status').read_text().splitlines()
            (line,) = (x for x in lines if x.startswith('VmHWM'))
            used = int(line.split()[1]) * 1024
            self._peak.memory_bytes = max(self._peak.memory_bytes, used)
            count = len(os.listdir(folder / 'fd'))
            self._peak.descriptors = max(self._peak.descriptors, count)

    def pause(self) -> None:
        """Stand still."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Go on."""
        self._signal(signal.SIGCONT)

    async def kill(self) -> None:
        """End it with SIGKILL."""
        self.sample()
        self._is_ending = True
        self._signal(signal.SIGKILL)
        if self._watch is not None:
            await self._watch

    async def terminate(self) -> None:
        """End it with SIGTERM."""
        self.sample()
        process = self._process
        if process is None or self._watch is None:
            return
        self._is_ending = True
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_END_TIMEOUT_S):
                await asyncio.shield(self._watch)
        except TimeoutError:
            self._evidence.ends.append(f'{self.name} did not end on SIGTERM')
            await self.kill()
            return
        # The signal ends a process that has not set its handler yet.
        if process.returncode not in (0, -signal.SIGTERM):
            self._evidence.ends.append(
                f'{self.name} ended on SIGTERM with code {process.returncode}'
            )

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)
