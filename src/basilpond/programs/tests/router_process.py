"""A router process whose start and end wait at chosen points."""

import asyncio
import contextlib
import json
import os
from pathlib import Path
import random
import signal
import socket
import sys
import sysconfig
import time
import tomllib

import xxhash
import yaml

from basilpond_testkit._fleet import free_ports

ROOT = Path(__file__).resolve().parents[4]
# Guards against a hang on a slow machine.
TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.01
# Takes the place of a module, waits for the test, and gives the place back.
_HELD_MODULE = """
import importlib, os, sys
folder = os.path.dirname(__file__)
sys.path.remove(folder)
del sys.modules[__name__]
open(folder + '/held', 'w').close()
open(folder + '/release').close()
importlib.import_module(__name__)
"""
# Waits for the test when the interpreter ends.
_HELD_EXIT = """
import atexit, importlib, os, sys
folder = os.path.dirname(__file__)
sys.path.remove(folder)
del sys.modules[__name__]
@atexit.register
def wait():
    open(folder + '/held', 'w').close()
    open(folder + '/release').close()
importlib.import_module(__name__)
"""


def deploy_command():
    """Return the command of the deploy file, with this interpreter."""
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    words = tomllib.loads(text)['roles']['router']['run'].split()
    return [sys.executable, *words[1:]]


class RouterProcess:
    """A router on the platform, without a store that answers."""

    def __init__(self, folder):
        self._folder = folder
        self.path = folder / 'settings.yaml'
        # The metrics port is fixed, so each router has its own address.
        self._host = f'127.{random.randint(1, 254)}.{random.randint(1, 254)}.2'
        self._ports = free_ports(4)
        self._modules = folder / 'modules'
        self._modules.mkdir()
        os.mkfifo(self._modules / 'release')
        self._output = folder / 'output'
        self.process = None

    def settings(self, **bounds):
        """Return the bytes of a settings file."""
        callers, ready, peers, store = self._ports
        values = {
            'node_name': 'n',
            'ip': self._host,
            'zone': 'dc',
            'listen': {
                'front': f'{self._host}:{callers}',
                'ready': f'{self._host}:{ready}',
            },
            'port_range': [peers, peers],
            'platform': {'address': f'{self._host}:{store}', 'parts': 24},
            'bootstrap': True,
            'bounds': {'grace_s': 2, **bounds},
        }
        return yaml.safe_dump(values).encode()

    def place_settings(self, data):
        """Replace the settings file at once."""
        new = self.path.with_suffix('.new')
        new.write_bytes(data)
        new.replace(self.path)

    def hold_import(self, module):
        """Let the process wait when it imports a module."""
        (self._modules / f'{module}.py').write_text(_HELD_MODULE)

    def hold_exit(self, module):
        """Let the process wait when its interpreter ends."""
        (self._modules / f'{module}.py').write_text(_HELD_EXIT)

    async def start(self, command, **options):
        """Start the process with a command."""
        paths = sysconfig.get_paths()
        path = [self._modules, paths['purelib'], paths['platlib']]
        if 'deploy/router.py' not in command:
            path.append(ROOT / 'src')
        with self._output.open('wb') as output:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': ':'.join(map(str, path)),
                    'BASILPOND_SETTINGS': str(self.path),
                },
                **{'stdout': output, 'stderr': output, **options},
            )

    async def wait_held(self):
        """Wait until the process waits."""
        await self.wait_for((self._modules / 'held').exists)

    def release(self):
        """Let the process go on."""
        # Opening a pipe without a reader, as that of a process that ended,
        # would block.
        with contextlib.suppress(OSError):
            flags = os.O_WRONLY | os.O_NONBLOCK
            os.close(os.open(self._modules / 'release', flags))

    async def wait_for(self, condition):
        """Wait until a condition holds or the process has ended."""
        end_s = time.monotonic() + TIMEOUT_S
        while not (found := condition()):
            code = self.process.returncode
            assert code is None, f'exit code {code}: {self.output[-500:]}'
            assert time.monotonic() < end_s, self.output[-500:]
            await asyncio.sleep(_POLL_INTERVAL_S)
        return found

    @property
    def output(self):
        """What the process has written."""
        return self._output.read_text(errors='replace')

    def events(self, name):
        """Return the log lines of an event."""
        lines = []
        for line in self.output.splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return [x for x in lines if isinstance(x, dict) and x['event'] == name]

    def hold_settings(self):
        """Let the process wait when it reads the settings for the first time.

        Returns
        -------
        callable
            Waits until the process reads, and returns a function that hands
            it bytes.
        """
        os.mkfifo(self.path)

        def open_pipe():
            try:
                return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                return None

        async def wait_read():
            descriptor = await self.wait_for(open_pipe)

            def hand_over(data):
                # A process that ended no longer reads.
                with contextlib.suppress(OSError):
                    os.write(descriptor, data)
                os.close(descriptor)

            return hand_over

        return wait_read

    def accepts_callers(self):
        """Return whether the router listens for callers."""
        with contextlib.suppress(OSError):
            socket.create_connection((self._host, self._ports[0])).close()
            return True
        return False

    async def wait_event(self, name, **fields):
        """Wait for an event with given fields."""
        return await self.wait_for(
            lambda: [
                x
                for x in self.events(name)
                if all(x.get(key) == value for key, value in fields.items())
            ]
        )

    async def stop(self):
        """Send SIGTERM and return the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return await self.wait_exit()

    async def wait_exit(self):
        """Return the exit code."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.process.wait()

    async def end(self):
        """End the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def digest_of(data):
    """Return the digest of settings that log lines have."""
    return xxhash.xxh3_64_hexdigest(data)
