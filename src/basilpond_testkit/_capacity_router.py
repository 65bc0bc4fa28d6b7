"""Measurements of one real router process among stand-ins."""

from __future__ import annotations

from collections.abc import Iterator
import hashlib
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

import msgspec

from basilpond.core import _records

from . import _capacity_core
from . import _capacity_manifests
from . import _fleet
from ._capacity_slopes import Experiment
from ._capacity_slopes import Slope
from ._capacity_slopes import processor_s
from ._capacity_slopes import resident_bytes

_SETTLE_S = 0.7
_MEASURE_S = 1.5
_START_TIMEOUT_S = 30.0
_WRITER = 'z-member-000~1764800000000'
_BATCHES_PER_S = 10


class _Site:
    """A log, stand-ins and a router as child processes."""

    def __init__(
        self,
        folder: str,
        *,
        members: int = 0,
        organisations: int = 1,
        endpoints: int = 1,
    ) -> None:
        self.folder = pathlib.Path(folder)
        self.members = members
        self.organisations = organisations
        self.endpoints = endpoints
        self.children: list[subprocess.Popen] = []

    def __enter__(self) -> _Site:
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        # The router's allotments end with the log, so it need not drain.
        for child in reversed(self.children):
            child.kill()
            child.wait()

    def _start(self) -> None:
        log, caller, operator, peer = _fleet.free_ports(4)
        self.log_url = f'http://{_fleet.HOST}:{log}'
        self._spawn(
            'basilpond_testkit.log',
            {
                'http': {'host': _fleet.HOST, 'port': log},
                'log': {'max_payload_bytes': 10_000_000},
            },
        )
        _wait_for(f'{self.log_url}/control/stats')
        stand_ins = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'basilpond_testkit._capacity_stand_ins',
                str(self.members),
                f'{_fleet.HOST}:{peer}',
            ],
            stdout=subprocess.PIPE,
        )
        self.children.append(stand_ins)
        port = int(stand_ins.stdout.readline())
        document = _capacity_manifests.manifest_document(
            self.organisations,
            self.endpoints,
            1,
            url=f'http://{_fleet.HOST}:{port}',
        )
        publish = _records.ManifestPublish('p1', 0, msgspec.Raw(document))
        self.append('config', _records.encode_record(publish))
        self.router = self._spawn(
            'basilpond.programs.router',
            {
                'router': {
                    'id': 'router-1',
                    'data_centre': 'sicilia-00',
                    'host': _fleet.HOST,
                    'caller_port': caller,
                    'operator_port': operator,
                    'peer_port': peer,
                    'operator_key_sha256': hashlib.sha256(b'k').hexdigest(),
                },
                'log': {'url': self.log_url},
                'telemetry': {'log_level': 'warning'},
            },
        )
        _wait_for(f'http://{_fleet.HOST}:{operator}/readyz')

    def _spawn(self, module: str, tables: dict) -> subprocess.Popen:
        path = self.folder / f'{module}.toml'
        path.write_text(_fleet.toml(tables))
        child = subprocess.Popen(
            [sys.executable, '-m', module, '--settings', str(path)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.children.append(child)
        return child

    def append(self, stream: str, payload: bytes) -> None:
        """Append to the log."""
        url = f'{self.log_url}/v1/streams/{stream}/records'
        with urllib.request.urlopen(url, payload, timeout=10):
            pass

    def folded(self) -> int:
        """Return the ledger's next offset in the log."""
        with urllib.request.urlopen(f'{self.log_url}/control/stats') as page:
            streams = json.load(page)['streams']
        return streams.get('ledger', {}).get('next_offset', 0)

    def use_ms_per_s(self) -> float:
        """Return the router's processor time over a while."""
        start_s = time.monotonic()
        before_s = processor_s(self.router.pid)
        time.sleep(_MEASURE_S)
        spent_s = processor_s(self.router.pid) - before_s
        if any(child.poll() is not None for child in self.children):
            raise _fleet.StartError('a process ended while it was measured')
        return 1000 * spent_s / (time.monotonic() - start_s)

    def memory_kb(self) -> float:
        """Return the router's resident memory."""
        return resident_bytes(self.router.pid) / 1000


def _wait_for(url: str) -> None:
    deadline_s = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                if answer.status == 200:
                    return
        except (urllib.error.URLError, OSError):
            pass
        if time.monotonic() > deadline_s:
            raise _fleet.StartError(f'{url} did not answer 200')
        time.sleep(0.05)


def _idle(prefix: str, **sizes: int) -> dict[str, float]:
    with (
        tempfile.TemporaryDirectory() as folder,
        _Site(folder, **sizes) as site,
    ):
        # Start of the process, and joins of the members.
        time.sleep(_SETTLE_S + sizes.get('members', 0) / 16)
        use = site.use_ms_per_s()
        return {f'{prefix}_use': use, f'{prefix}_resident': site.memory_kb()}


def idle_members(size: int) -> dict[str, float]:
    """Run an idle router among members."""
    return _idle('router_members', members=size)


def idle_budgets(size: int) -> dict[str, float]:
    """Run an idle router with organisations that have a budget each."""
    return _idle('router_budgets', organisations=max(1, size))


def idle_endpoints(size: int) -> dict[str, float]:
    """Run an idle router that polls endpoints."""
    return _idle('router_endpoints', endpoints=max(1, size))


def _bill_batches(per_batch: int) -> Iterator[bytes]:
    allotment = f'{_WRITER}/1'
    number = 0
    seq = 1
    while True:
        seq += 1
        bills = []
        for _ in range(per_batch):
            number += 1
            bills.append(_capacity_core.make_bill(number, allotment, number))
        yield _records.encode_record(_records.Batch(_WRITER, seq, bills))


def read_bills(size: int) -> dict[str, float]:
    """Run a router that reads the bills of the others."""
    with tempfile.TemporaryDirectory() as folder, _Site(folder) as site:
        time.sleep(_SETTLE_S)
        grant = _records.Grant(
            f'{_WRITER}/1',
            'organisation-00000',
            10**8,
            1,
            _WRITER,
        )
        site.append(
            'ledger',
            _records.encode_record(_records.Batch(_WRITER, 1, [grant])),
        )
        stop = threading.Event()
        writer = threading.Thread(
            target=_write, args=(site, size // _BATCHES_PER_S, stop)
        )
        writer.start()
        try:
            time.sleep(0.5)
            use = site.use_ms_per_s()
        finally:
            stop.set()
            writer.join()
        return {'router_bills_use': use}


def _write(site: _Site, per_batch: int, stop: threading.Event) -> None:
    batches = _bill_batches(per_batch)
    due_s = time.monotonic()
    while per_batch and not stop.is_set():
        site.append('ledger', next(batches))
        due_s += 1 / _BATCHES_PER_S
        time.sleep(max(0.0, due_s - time.monotonic()))


def _slopes(name: str, title: str, per: str) -> tuple[Slope, ...]:
    return (
        Slope(
            f'router_{name}_use',
            f'idle router, {title}',
            'ms/s',
            1,
            f'ms/s/{per}',
        ),
        Slope(
            f'router_{name}_resident',
            f'idle router memory, {title}',
            'KB',
            1,
            f'KB/{per}',
        ),
    )


ROUTER_EXPERIMENTS = (
    Experiment(
        'members',
        (0, 8, 32),
        idle_members,
        _slopes('members', 'members', 'member'),
    ),
    Experiment(
        'budgets',
        (0, 1_000, 4_000),
        idle_budgets,
        _slopes('budgets', 'budgets', 'budget'),
    ),
    Experiment(
        'endpoints',
        (0, 350, 3_500),
        idle_endpoints,
        _slopes('endpoints', 'endpoints', 'endpoint'),
    ),
    Experiment(
        'bills a second of the fleet',
        (0, 500, 2_000),
        read_bills,
        (
            Slope(
                'router_bills_use',
                'router that reads bills of others',
                'ms/s',
                1000,
                'us/bill',
            ),
        ),
    ),
)
