import asyncio
import contextlib
import random
import time
from types import SimpleNamespace
import zlib

import pytest

from basilpond.node import _configuration_fetcher
from basilpond.node._budgets import BudgetTask
from basilpond.node._configuration_fetcher import ConfigurationFetcher
from basilpond.node._peers import PeerTask
from basilpond.routing import CrashCounter
from basilpond.routing import CrashingParts
from basilpond.routing import EndpointLimits
from basilpond.routing import _version_check
from basilpond_testkit._fleet import free_ports

HOST = '127.0.0.1'
DATA = bytes(range(256)) * 40
COMPRESSED = zlib.compress(DATA)


class Events:
    """Decision log that stores its lines."""

    def __init__(self):
        self.lines = []

    def event(self, name, **fields):
        self.lines.append((name, fields))


class Configuration:
    """Configuration of a router, which records applied versions."""

    catalogue = None
    in_use = False

    def __init__(self, data=None):
        self.data = data
        self.applied = []

    def apply_version(self, data, *, source):
        self.applied.append(data)


@contextlib.asynccontextmanager
async def source(parts, pause_s):
    """Serve the version in pieces, with pauses between them."""

    async def respond(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        length = len(COMPRESSED)
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % length)
        size = -(-length // 8)
        for start in range(0, size * parts, size):
            writer.write(COMPRESSED[start : start + size])
            await asyncio.sleep(pause_s)

    server = await asyncio.start_server(respond, HOST, 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


async def fetch(address):
    """Fetch a version; return the applied versions and the log lines."""
    events = Events()
    configuration = Configuration()
    fetcher = ConfigurationFetcher(configuration, None, events)
    await fetcher._fetch(2, address)
    return configuration.applied, events.lines


@pytest.fixture(autouse=True)
def short_stall(monkeypatch):
    """Shorten the stall time-out."""
    monkeypatch.setattr(_configuration_fetcher, '_STALL_TIMEOUT_S', 0.2)


async def test_slow_transfer_is_not_cancelled():
    """Guards against large versions that never arrive over a slow link.

    The time limit applied to the complete transfer: 300 KB that many routers
    fetched at once over one link took longer, and all of them restarted.
    """
    async with source(8, 0.05) as address:
        applied, _ = await fetch(address)
    assert applied == [DATA]


async def test_fetch_from_a_stalled_source_is_cancelled():
    """Guards against a wait for a router that became unreachable."""
    started_s = time.monotonic()
    async with source(3, 0.0) as address:
        applied, lines = await fetch(address)
    assert not applied
    assert time.monotonic() - started_s < 2.0
    ((name, fields),) = lines
    assert name == 'configuration_not_fetched'
    assert 0 < fields['received_bytes'] < len(COMPRESSED)


async def test_many_routers_fetch_from_several_sources():
    """Replays a fleet most of which lacks a version at the same moment.

    All routers fetched from the first router that had it, and its link served
    none of them in time.
    """
    events = Events()
    budgets = BudgetTask('n~1', None, events)
    peers = PeerTask(
        'n',
        'n~1',
        [],
        budgets,
        CrashCounter(),
        CrashingParts(random.Random(1)),
        EndpointLimits('n'),
        events,
        lambda: 0,
    )
    now_s = asyncio.get_running_loop().time()
    for i in range(20):
        peers.update_address(f'm{i}', b'127.0.0.1:%d' % (1000 + i))
        peer = peers._peers[f'm{i}']
        peer.last_seen_s = now_s
        peer.configuration_version = 2 if i < 10 else 1
    found = [peers.find_newest_configuration() for _ in range(200)]
    assert {version for version, _ in found} == {2}
    ports = {port for _, (_, port) in found}
    assert len(ports) > 5
    assert ports <= set(range(1000, 1010))


async def test_source_limits_transfers_per_second(monkeypatch):
    """Guards against concurrent transfers that all finish late."""
    limit = 4 * len(zlib.compress(DATA, 1))
    monkeypatch.setattr(_configuration_fetcher, '_MAX_BYTES_PER_S', limit)
    (port,) = free_ports(1)
    fetcher = ConfigurationFetcher(Configuration(DATA), None, Events())
    await fetcher.listen(HOST, port)
    try:
        results = await asyncio.gather(
            *(fetch((HOST, port)) for _ in range(10))
        )
    finally:
        fetcher.close()
    assert [applied for applied, _ in results if applied] == [[DATA]] * 4
    refused = [lines for applied, lines in results if not applied]
    assert all('503' in lines[0][1]['reason'] for lines in refused)


@pytest.mark.parametrize(
    ('link_bytes_per_s', 'served'), [(25_000_000, 20), (625_000, 4)]
)
async def test_source_limits_transfers_by_its_link(
    monkeypatch, link_bytes_per_s, served
):
    """Guards against a fast link that serves as few routers as a slow one.

    After a cut, routers on slow links were refused by sources with links of
    200 Mbit/s, and got a large version last.
    """
    size = 70_000
    (port,) = free_ports(1)
    data = random.Random(1).randbytes(size)
    fetcher = ConfigurationFetcher(
        Configuration(data), None, Events(), link_bytes_per_s=link_bytes_per_s
    )
    await fetcher.listen(HOST, port)
    try:
        results = await asyncio.gather(
            *(fetch((HOST, port)) for _ in range(20))
        )
    finally:
        fetcher.close()
    assert sum(applied == [data] for applied, _ in results) == served


async def test_router_that_is_refused_asks_another_source_at_once():
    """Guards against a pause after each source that serves others."""
    ports = free_ports(2)
    configurations = [Configuration(DATA), Configuration(DATA)]
    sources = [
        ConfigurationFetcher(
            configuration, None, Events(), link_bytes_per_s=1000.0 * rate
        )
        for configuration, rate in zip(configurations, (1, 1000), strict=True)
    ]
    for fetcher, port in zip(sources, ports, strict=True):
        await fetcher.listen(HOST, port)
    addresses = [(HOST, port) for port in ports]
    try:
        await fetch(addresses[0])
        events = Events()
        configuration = Configuration()
        fetcher = ConfigurationFetcher(
            configuration, Peers(2, *addresses), events
        )
        await fetcher._fetch_newest(2, addresses[0])
    finally:
        for fetcher in sources:
            fetcher.close()
    assert [(name, fields.get('reason')) for name, fields in events.lines] == [
        ('configuration_not_fetched', 'status 503'),
        ('configuration_fetched', None),
    ]
    assert configuration.applied == [DATA]


class Peers:
    """Other routers, one of which reports a newer version."""

    report_interval_s = 0.05

    def __init__(self, version, *addresses):
        self.version = version
        self.addresses = addresses

    def find_newest_configuration(self, excluded=()):
        left = [a for a in self.addresses if a not in excluded]
        return (self.version, left[0]) if left else None

    def registered_routers(self):
        return 1


async def test_slow_transfer_does_not_hold_a_router_that_starts(monkeypatch):
    """Guards against a router that a faulty one keeps unready.

    The faulty router sends a byte of the version now and then.
    """
    monkeypatch.setattr(_version_check, 'LIMIT_S', 0.4)
    events = Events()
    configuration = Configuration()
    configuration.catalogue = SimpleNamespace(version=1)
    async with source(7, 0.15) as address:
        fetcher = ConfigurationFetcher(
            configuration, Peers(2, address), events
        )
        run = asyncio.create_task(fetcher.run())
        started_s = time.monotonic()
        async with asyncio.timeout(5.0):
            while not configuration.in_use:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        run.cancel()
    assert time.monotonic() - started_s < 0.8
    ((name, fields),) = events.lines
    assert name == 'configuration_checked'
    assert (fields['state'], fields['peer_version']) == ('expired', 2)
