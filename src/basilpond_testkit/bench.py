"""Benchmark of the relay: one JSON line per figure.

The same load goes straight to the engines, through a bare pass-through and
through one router. Engines, load clients and relay are
processes of their own; each relay is a single thread, so it has one core.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import os
import pathlib
import statistics
import sys
import tempfile
import time
import urllib.parse

from absl import logging
import aiohttp
import defopt
import msgspec

from . import _bench_client
from . import _fleet
from . import _program

_ENGINES = 3
_CLIENTS = 2
_MODEL = 'wagen-chat'
_PLAN = _fleet.Plan(
    {'bench-1': 1},
    ((_MODEL,),) * _ENGINES,
    {
        'first_token_ms': 100,
        'token_interval_ms': 20.0,
        'batch_size': 5000,
        'queue_size': 5000,
        # Spreads the tokens over the interval, as many engines do.
        'step_groups': 20,
    },
    # A router starts with 32 requests at an endpoint and raises that limit
    # with the streams that end, so 3 endpoints would queue most of the load.
    endpoints_per_engine=16,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Phase:
    """A load of the benchmark."""

    name: str
    requests_per_s: float
    tokens: int
    max_streams: int


# Section 3 of the design: 34,000 tokens/s over 100 requests/s, and delays at
# half of it. Saturation offers twice as much, because a relay that is behind
# reads several tokens at once and gets cheaper; its gaps show that.
_PHASES = (
    Phase('half_load', 50, 340, 1500),
    Phase('full_load', 100, 340, 1500),
    Phase('saturation', 100, 680, 1500),
    # Answers of one token show the cost of the request path.
    Phase('requests', 200, 1, 1500),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """What the clients send to; `pid` is the relay's process, if any."""

    name: str
    urls: list[str]
    pid: int | None
    authorization: str = 'Bearer none'


@dataclasses.dataclass(slots=True, frozen=True)
class Measurement:
    """Result of one phase with one target."""

    result: _bench_client.Result
    tokens_per_s: float
    finished_per_s: float
    cores: float
    waiting: float
    memory_mb: float

    def p95_ms(self, delays_s: list[float]) -> float:
        """Return the 95th percentile of delays, in milliseconds."""
        if len(delays_s) < 2:
            return float('nan')
        return statistics.quantiles(delays_s, n=20)[-1] * 1000


def _processor_s(pid: int | None) -> float:
    if pid is None:
        return 0.0
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def _waiting_s(pid: int | None) -> float:
    """Return how long a process was ready to run but had no core."""
    if pid is None:
        return 0.0
    fields = pathlib.Path(f'/proc/{pid}/schedstat').read_text().split()
    return int(fields[1]) / 1e9


def _memory_mb(pid: int | None) -> float:
    if pid is None:
        return 0.0
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1e6


async def _run_client(load: _bench_client.Load) -> _bench_client.Result:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'basilpond_testkit._bench_client',
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate(msgspec.json.encode(load))
    if process.returncode:
        raise _fleet.StartError(
            f'a load client ended with code {process.returncode}'
        )
    return msgspec.msgpack.decode(output, type=_bench_client.Result)


async def _measure(
    target: Target, phase: Phase, measure_s: float
) -> Measurement:
    """Run one phase against one target."""
    # Until the first streams end, the load still grows.
    interval_s = _PLAN.engine['token_interval_ms'] / 1000
    warm_up_s = phase.tokens * interval_s + 2
    addresses = [
        (parts.hostname, parts.port)
        for parts in map(urllib.parse.urlsplit, target.urls)
    ]
    clients = [
        asyncio.create_task(
            _run_client(
                _bench_client.Load(
                    addresses,
                    target.authorization,
                    _MODEL,
                    phase.requests_per_s / _CLIENTS,
                    phase.max_streams // _CLIENTS,
                    phase.tokens,
                    warm_up_s,
                    measure_s,
                    f'{target.name} {phase.name} {number}',
                )
            )
        )
        for number in range(_CLIENTS)
    ]
    await asyncio.sleep(warm_up_s + 1)
    start_s = time.monotonic()
    processor_s = _processor_s(target.pid)
    waiting_s = _waiting_s(target.pid)
    await asyncio.sleep(measure_s - 2)
    elapsed_s = time.monotonic() - start_s
    cores = (_processor_s(target.pid) - processor_s) / elapsed_s
    waiting = (_waiting_s(target.pid) - waiting_s) / elapsed_s
    memory_mb = _memory_mb(target.pid)
    total = _bench_client.Result()
    for result in await asyncio.gather(*clients):
        total.tokens += result.tokens
        total.started += result.started
        total.finished += result.finished
        total.errors += result.errors
        total.first_token_s += result.first_token_s
        total.gaps_s += result.gaps_s
    return Measurement(
        total,
        total.tokens / measure_s,
        total.finished / measure_s,
        cores,
        waiting,
        memory_mb,
    )


Figure = tuple[str, float, str]


def _figures(
    prefix: str, phase: Phase, measured: Measurement, direct: Measurement
) -> Iterator[Figure]:
    result = measured.result
    first_ms = measured.p95_ms(result.first_token_s)
    gap_ms = measured.p95_ms(result.gaps_s)
    yield f'{prefix}_tokens', measured.tokens_per_s, 'tokens/s'
    yield f'{prefix}_requests', measured.finished_per_s, 'requests/s'
    yield f'{prefix}_errors', result.errors, 'requests'
    yield f'{prefix}_first_token_p95', first_ms, 'ms'
    yield f'{prefix}_token_gap_p95', gap_ms, 'ms'
    if measured is not direct:
        straight = direct.result
        added_ms = first_ms - direct.p95_ms(straight.first_token_s)
        yield f'{prefix}_added_first_token_p95', added_ms, 'ms'
        added_ms = gap_ms - direct.p95_ms(straight.gaps_s)
        yield f'{prefix}_added_token_gap_p95', added_ms, 'ms'
        yield f'{prefix}_processor', measured.cores, 'cores'
        # Near 0 on an idle machine; otherwise the delays are not the relay's.
        yield f'{prefix}_waiting_for_core', measured.waiting, 'cores'
        if phase.tokens == 1:
            count, unit = measured.finished_per_s, 'request'
        else:
            count, unit = measured.tokens_per_s, 'token'
        cost_us = measured.cores / max(1, count) * 1e6
        yield f'{prefix}_processor_per_{unit}', cost_us, 'us'
        yield f'{prefix}_memory', measured.memory_mb, 'MB'


async def _targets(fleet: _fleet.Fleet, relays: list[str]) -> list[Target]:
    """Start the relays; return them after the engines themselves."""
    await fleet.start_endpoints()
    urls = [engine.url for engine in fleet.engines]
    targets = [Target('direct', urls, None)]
    if 'passthrough' in relays:
        tables = {'passthrough': {'engines': urls}}
        url = await fleet.start_stand_in(
            'bench_passthrough', 'passthrough', tables
        )
        targets.append(
            Target('passthrough', [url], fleet.process_id('passthrough'))
        )
    if 'router' in relays:
        await fleet.start()
        # The first allotments and polls belong to the control part.
        await asyncio.sleep(2)
        (relay,) = fleet.routers
        key = next(
            key
            for organisation, key in fleet.keys.items()
            if organisation != _fleet.EXHAUSTED
        )
        pid = fleet.process_id(relay.id)
        targets.append(Target('router', [relay.url], pid, f'Bearer {key}'))
    return targets


async def _run(
    folder: pathlib.Path,
    measure_s: float,
    relays: list[str],
    phases: list[str],
    write: Callable[[Figure], None],
) -> None:
    async with aiohttp.ClientSession() as session:
        fleet = _fleet.Fleet(folder, session, _PLAN)
        try:
            targets = await _targets(fleet, relays)
            idle_mb = {t.name: _memory_mb(t.pid) for t in targets[1:]}
            for name, memory_mb in idle_mb.items():
                # Control works without any stream; streams come on top.
                write((f'{name}_idle_memory', memory_mb, 'MB'))
            for phase in _PHASES:
                if phase.name not in phases:
                    continue
                direct = None
                for target in targets:
                    measured = await _measure(target, phase, measure_s)
                    direct = direct or measured
                    prefix = f'{target.name}_{phase.name}'
                    for figure in _figures(prefix, phase, measured, direct):
                        write(figure)
                    if target.name in idle_mb:
                        streams_mb = measured.memory_mb - idle_mb[target.name]
                        write((f'{prefix}_streams_memory', streams_mb, 'MB'))
        finally:
            await fleet.stop()


def _write(figure: Figure) -> None:
    name, value, unit = figure
    line = {'name': name, 'value': round(value, 3), 'unit': unit}
    sys.stdout.write(msgspec.json.encode(line).decode() + '\n')
    sys.stdout.flush()


def run(
    *,
    measure_s: float = 6.0,
    relays: list[str] = ['passthrough', 'router'],  # noqa: B006
    phases: list[str] = [phase.name for phase in _PHASES],  # noqa: B006
) -> None:
    """Measure the relay.

    Parameters
    ----------
    measure_s : float
        Measured time of each phase, after its warm-up.
    relays : list[str]
        Relays to measure: passthrough, router.
    phases : list[str]
        Loads to measure: half_load, full_load, saturation.
    """
    _program.start_logging()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(
            _run(pathlib.Path(folder), measure_s, relays, phases, _write)
        )


def main() -> None:
    """Entry point."""
    try:
        defopt.run(run)
    except _fleet.StartError as error:
        logging.error('%s', error)
        raise SystemExit(1) from None


if __name__ == '__main__':
    main()
