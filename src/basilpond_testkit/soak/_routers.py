"""Router processes of a soak."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys

import xxhash
import yaml

from .. import platform_stand_in
from . import _checks
from . import _stand_ins
from ._evidence import Evidence

# Below the range of ports that the kernel gives to clients.
CALLERS_PORT = 21_080
READY_PORT = 21_081
PEERS_PORT = 21_082
METRICS_PORT = 9464
READY_PATH = '/basilpond/ready'
_BOUNDS = {'evacuate_ms': 5000, 'cold_over': 1.5, 'cold_slack': 5}
_LIMITS = {'memory_mb': 160, 'max_fds': 1638, 'link_mbps': 100}
# Guards against a hang on a slow machine; a router ends within 8 s.
_TIMEOUT_S = 60.0
# Changes of the settings file after each start, and the time within which
# they come; a start takes 0.3 s and more.
_CHANGES = 3
_CHANGES_S = 0.8
_POLL_INTERVAL_S = 0.002
_SETTINGS_POLL_INTERVAL_S = 0.1
# Log lines with the digest of the settings in force.
_SETTINGS_EVENTS = {'started': 'settings', 'settings_reloaded': 'digest'}

BOUNDS = _checks.Bounds(
    evacuate_s=_BOUNDS['evacuate_ms'] / 1000,
    cold_requests=_stand_ins.COLD_PER_S * _BOUNDS['cold_over']
    + _BOUNDS['cold_slack'],
    memory_bytes=_LIMITS['memory_mb'] * 1_000_000,
    descriptors=_LIMITS['max_fds'],
)


class RouterProcess:
    """A router that is started, killed, paused and stopped."""

    def __init__(
        self,
        name: str,
        host: str,
        data_centre: str,
        store_port: int,
        folder: pathlib.Path,
        evidence: Evidence,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self.name = name
        self.host = host
        self.url = f'http://{host}:{CALLERS_PORT}'
        self._settings = {
            'node_name': name,
            'ip': host,
            'zone': data_centre,
            'listen': {
                'front': f'{host}:{CALLERS_PORT}',
                'ready': f'{host}:{READY_PORT}',
            },
            'port_range': [PEERS_PORT, PEERS_PORT],
            'platform': {
                'address': f'{platform_stand_in.HOST}:{store_port}',
                'parts': 24,
            },
            'bounds': _BOUNDS,
            'limits': _LIMITS,
            'bootstrap': True,
        }
        self._path = folder / f'{name}.yaml'
        self._output = folder / f'{name}.log'
        self._evidence = evidence
        # Faults of one router follow each other.
        self.lock = asyncio.Lock()
        self.process: asyncio.subprocess.Process | None = None
        self._is_ending = False
        self._watch: asyncio.Task[None] | None = None
        self._changes: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a process."""
        self._path.write_text(yaml.safe_dump(self._settings), encoding='utf-8')
        # Only the first start is that of the whole system.
        self._settings['bootstrap'] = False
        self._is_ending = False
        with self._output.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'basilpond.programs.platform_router',
                env={**os.environ, 'BASILPOND_SETTINGS': str(self._path)},
                stdout=output,
                stderr=output,
            )
        self._watch = asyncio.create_task(self._wait(self.process))
        self._changes = asyncio.create_task(self._change_settings())

    async def _change_settings(self) -> None:
        """Change the settings file at random moments of a start."""
        process = self.process
        delays_s = sorted(
            self._rng.uniform(0, _CHANGES_S) for _ in range(_CHANGES)
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for delay_s in delays_s:
            await asyncio.sleep(started_s + delay_s - loop.time())
            self._settings['seeds'] = [f'127.0.0.1:{self._rng.randrange(99)}']
            text = yaml.safe_dump(self._settings)
            if self._rng.random() < 0.5:
                new = self._path.with_suffix('.new')
                new.write_text(text, encoding='utf-8')
                new.replace(self._path)
            else:
                # A reader may find it empty.
                self._path.write_text(text, encoding='utf-8')
            await self._wait_until_hangup_is_handled()
            if process is self.process:
                self.signal(signal.SIGHUP)

    async def _wait_until_hangup_is_handled(self) -> None:
        # The start of the interpreter has the default, which ends it.
        process = self.process
        while process is self.process and not self._handles_hangup():  # noqa: ASYNC110
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _handles_hangup(self) -> bool:
        if self.process is None:
            return False
        try:
            path = pathlib.Path(f'/proc/{self.process.pid}/status')
            lines = path.read_text().splitlines()
        except OSError:
            return False
        masks = dict(line.split(':', 1) for line in lines)
        mask = 0
        for name in ('SigIgn', 'SigCgt'):
            mask |= int(masks.get(name, '0'), 16)
        return bool(mask >> (signal.SIGHUP - 1) & 1)

    async def check_settings(self) -> None:
        """Record a router that has other settings than its file."""
        expected = xxhash.xxh3_64_hexdigest(self._path.read_bytes())
        end_s = asyncio.get_running_loop().time() + _TIMEOUT_S
        while (found := self._settings_in_force()) != expected:
            if asyncio.get_running_loop().time() > end_s:
                self._evidence.ends.append(
                    f'{self.name} has settings {found}, file {expected}'
                )
                return
            await asyncio.sleep(_SETTINGS_POLL_INTERVAL_S)

    def _settings_in_force(self) -> str | None:
        digest = None
        for line in self._output.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if field := _SETTINGS_EVENTS.get(event['event']):
                    digest = event.get(field)
        return digest

    async def _wait(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.process = None
        # SIGTERM ends a process that has not set its handler yet.
        expected = (0, -signal.SIGKILL, -signal.SIGTERM)
        if not self._is_ending or code not in expected:
            last = self._output.read_text(errors='replace').splitlines()[-3:]
            text = f'{self.name} ended with code {code}: {last}'
            self._evidence.ends.append(text)

    def sample(self) -> None:
        """Record the most memory and descriptors in use."""
        if self.process is None:
            return
        folder = pathlib.Path(f'/proc/{self.process.pid}')
        used_bytes, descriptors = self._evidence.peaks.get(self.name, (0, 0))
        # The process may have just ended.
        with contextlib.suppress(OSError, ValueError):
            lines = (folder / 'status').read_text().splitlines()
            (line,) = (x for x in lines if x.startswith('VmHWM'))
            self._evidence.peaks[self.name] = (
                max(used_bytes, int(line.split()[1]) * 1024),
                max(descriptors, len(os.listdir(folder / 'fd'))),
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if there is one."""
        self.sample()
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """End it with SIGKILL or SIGTERM."""
        if self.process is None or self._watch is None:
            return
        self._is_ending = True
        if self._changes is not None:
            self._changes.cancel()
        self.signal(number)
        done, _ = await asyncio.wait([self._watch], timeout=_TIMEOUT_S)
        if not done:
            self._evidence.ends.append(f'{self.name} did not end')
            self.signal(signal.SIGKILL)
            await self._watch
