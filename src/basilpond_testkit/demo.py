"""Fleet on one machine: ``run`` plays and audits, ``up`` only serves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import pathlib
import signal
import sys
import tempfile
from typing import Any

from absl import logging
import aiohttp
import defopt
import msgspec

from basilpond.core._interfaces import LogEntry

from . import _client
from . import _fleet
from . import _program
from . import audit
from . import engine
from . import service
from . import workload

# Times since the start of the workload.
_KILL_S = 8.0
_REPLACE_S = 10.0
_OUTAGE_S = 16.0
_OUTAGE_MS = 6000
_TOP_UP_S = 26.0
_SETTLE_S = 2.0


def _session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


async def _read_stream(
    session: aiohttp.ClientSession, log_url: str, stream: str
) -> list[LogEntry]:
    """Read a whole stream; the demo's log drops nothing."""
    entries: list[LogEntry] = []
    while True:
        async with session.get(
            f'{log_url}/v1/streams/{stream}/records',
            params={'offset': len(entries), 'limit': 1000},
        ) as answer:
            page = await answer.json()
        if not page['records']:
            return entries
        entries += [LogEntry(**record) for record in page['records']]


async def _read_runs(
    session: aiohttp.ClientSession,
    endpoints: list[_fleet.Endpoint],
    kind: type,
) -> list[Any]:
    runs = []
    for endpoint in endpoints:
        async with session.get(f'{endpoint.url}/control/runs') as answer:
            runs += (await answer.json())['runs']
    return msgspec.convert(runs, list[kind])


async def _disturb(
    fleet: _fleet.Fleet,
    balancer: _client.Balancer,
    session: aiohttp.ClientSession,
    outages_ms: list[tuple[int, int]],
) -> None:
    """Kill and replace a router, stop the log, top up a budget."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(max(0, start_s + at_s - loop.time()))

    await wait_until(_KILL_S)
    balancer.stream_opened.clear()
    await balancer.stream_opened.wait()
    victim = max(fleet.routers, key=lambda router: router.streams)
    logging.info('killing %s with %d streams', victim.id, victim.streams)
    fleet.kill_router(victim)
    await wait_until(_REPLACE_S)
    fleet.replace_router(victim)
    balancer.routers = fleet.routers

    await wait_until(_OUTAGE_S)
    start_ms = _program.now_ms()
    outages_ms.append((start_ms, start_ms + _OUTAGE_MS))
    async with session.post(
        f'{fleet.log_url}/control/faults',
        json={'mode': 'down', 'for_ms': _OUTAGE_MS},
    ) as answer:
        answer.raise_for_status()

    await wait_until(_TOP_UP_S)
    await fleet.top_up(_fleet.EXHAUSTED, _fleet.TOP_UP_TOKENS)


def _handle_signals(
    callback: Callable[[], object], *numbers: signal.Signals
) -> None:
    # Routers ignore the SIGHUP of a terminal that closes, so they would
    # outlive a demo that it ends.
    loop = asyncio.get_running_loop()
    for number in numbers:
        loop.add_signal_handler(number, callback)


async def _run(folder: pathlib.Path) -> audit.Report:
    task = asyncio.current_task()
    assert task is not None
    _handle_signals(task.cancel, signal.SIGTERM, signal.SIGHUP)
    async with _session() as session:
        fleet = _fleet.Fleet(folder, session)
        try:
            await fleet.start()
            balancer = _client.Balancer(session)
            balancer.routers = fleet.routers
            checks = asyncio.create_task(balancer.run())
            player = _client.Player(session, balancer, fleet.keys)
            outages_ms: list[tuple[int, int]] = []
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(player.play(workload.load()))
                tasks.create_task(
                    _disturb(fleet, balancer, session, outages_ms)
                )
            checks.cancel()
            await asyncio.sleep(_SETTLE_S)
            failed = await fleet.stop_routers()
            evidence = audit.Evidence(
                audit.Accounts(
                    await _read_stream(session, fleet.log_url, 'ledger')
                ),
                audit.accepted_manifests(
                    await _read_stream(session, fleet.log_url, 'config')
                ),
                player.observations,
                await _read_runs(session, fleet.engines, engine.RunRecord),
                await _read_runs(session, fleet.services, service.RunRecord),
                outages_ms,
            )
            (folder / 'observations.json').write_bytes(
                msgspec.json.encode(player.observations)
            )
        finally:
            await fleet.stop()
    report = audit.check(evidence)
    report.found += failed
    return report


def run(*, folder: str = '') -> None:
    """Play the workload against a fleet, audit it, print one JSON line.

    Exits with code 1 when a promise is broken.

    Parameters
    ----------
    folder : str
        Keeps settings, log lines and observations; else a temporary folder.
    """
    _program.start_logging()
    with contextlib.ExitStack() as stack:
        if not folder:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        try:
            report = asyncio.run(_run(path))
        except asyncio.CancelledError:
            logging.error('stopped by a signal')
            raise SystemExit(1) from None
    for line in report.found:
        logging.warning('%s', line)
    values = msgspec.to_builtins(report)
    del values['found']
    _write_line(values)
    broken = report.broken()
    if broken:
        logging.error('broken promises: %s', ', '.join(broken))
        raise SystemExit(1)


async def _up(folder: pathlib.Path) -> None:
    stop = asyncio.Event()
    _handle_signals(stop.set, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    async with _session() as session:
        fleet = _fleet.Fleet(folder, session)
        try:
            await fleet.start()
            organisation, key = next(iter(fleet.keys.items()))
            _write_line(
                {
                    'routers': [router.url for router in fleet.routers],
                    'operator': [
                        router.operator_url for router in fleet.routers
                    ],
                    'operator_key': fleet.operator_key,
                    'log': fleet.log_url,
                    'vms': fleet.vms_url,
                    'engines': [e.url for e in fleet.engines],
                    'services': [s.url for s in fleet.services],
                    'organisation': organisation,
                    'key': key,
                    'models': _fleet.MODELS,
                }
            )
            await stop.wait()
        finally:
            await fleet.stop()


def up(*, folder: str = '') -> None:
    """Run the fleet until Ctrl-C; print its addresses and a key.

    Parameters
    ----------
    folder : str
        Keeps settings and log lines; else a temporary folder.
    """
    _program.start_logging()
    with contextlib.ExitStack() as stack:
        if not folder:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        asyncio.run(_up(path))


def _write_line(values: dict[str, Any]) -> None:
    sys.stdout.write(msgspec.json.encode(values).decode() + '\n')
    sys.stdout.flush()


def main() -> None:
    """Entry point of ``basilpond-testkit-demo``."""
    try:
        defopt.run([run, up])
    except _fleet.StartError as error:
        logging.error('%s', error)
        raise SystemExit(1) from None


if __name__ == '__main__':
    main()
