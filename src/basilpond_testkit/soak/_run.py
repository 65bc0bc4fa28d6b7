"""One run of a soak."""

from __future__ import annotations

import asyncio
import collections
import pathlib

from . import _plan
from ._callers import Callers
from ._callers import misbehave
from ._checks import find_violations
from ._checks import most_in_a_second
from ._evidence import Evidence
from ._faults import Player
from ._routers import BOUNDS
from ._routers import RouterProcess
from ._system import ENDPOINTS
from ._system import System

_CHECK_INTERVAL_S = 5.0
# A crowd that lasts for the whole run connects again after this.
_CROWD_S = 4.0
_CROWD_CLIENTS = 3


async def soak(
    seed: int,
    seconds: float,
    routers: int,
    folder: pathlib.Path,
    *,
    crowds: bool = False,
    burst_after_s: float = 0.0,
    keep_going: bool = False,
) -> tuple[list[str], str]:
    """Run a soak; return lines on the violations, and a summary."""
    system = System(routers, folder, seed)
    evidence = system.evidence
    try:
        await system.start()
        callers = Callers(list(system.routers.values()), evidence, seed)
        await callers.ask_all()
        callers.start()
        faults = _plan.draw(seed, seconds, list(system.routers), ENDPOINTS)
        player = Player(system, callers, burst_after_s)
        tasks = [asyncio.create_task(player.play(x)) for x in faults]
        tasks.append(asyncio.create_task(asyncio.sleep(seconds)))
        steady = [
            asyncio.create_task(_keep_crowd(router))
            for router in (system.routers.values() if crowds else ())
        ]
        await _wait_for(tasks, evidence, keep_going=keep_going)
        for task in (*tasks, *steady):
            task.cancel()
        await asyncio.gather(*tasks, *steady, return_exceptions=True)
        if keep_going or not find_violations(evidence, BOUNDS):
            await callers.ask_all()
            await system.check_settings()
        await callers.stop()
    finally:
        await system.stop()
    lines = find_violations(evidence, BOUNDS)
    if lines:
        times = [f'    {at_s:.3f} {text}' for at_s, text in evidence.faults]
        lines = [f'seed {seed}, faults:', *times, *lines]
    return lines, _summary(evidence)


async def _wait_for(
    tasks: list[asyncio.Task[None]], evidence: Evidence, *, keep_going: bool
) -> None:
    running = set(tasks)
    while running:
        if find_violations(evidence, BOUNDS) and not keep_going:
            return
        done, running = await asyncio.wait(running, timeout=_CHECK_INTERVAL_S)
        for task in done:
            task.result()


async def _keep_crowd(router: RouterProcess) -> None:
    while True:
        await misbehave(router.host, _CROWD_CLIENTS, _CROWD_S)


def _summary(evidence: Evidence) -> str:
    results = collections.Counter(
        str(x.status or (x.error or '').partition('(')[0])
        for x in evidence.attempts
    )
    found = ', '.join(f'{key} {n}' for key, n in sorted(results.items()))
    most = max(
        (len(most_in_a_second(evidence, x)) for x in evidence.cold), default=0
    )
    begun = sum(not text.startswith('end of') for _, text in evidence.faults)
    memory = max(used for used, _ in evidence.peaks.values()) / 1e6
    descriptors = max(count for _, count in evidence.peaks.values())
    return (
        f'{begun} faults, {len(evidence.evacuations)} evacuations, '
        f'{len(evidence.cold)} cold returns (at most {most} requests in a '
        f'second), {len(evidence.arrivals)} arrivals, '
        f'{len(evidence.attempts)} attempts ({found}), '
        f'peak {memory:.0f} MB and {descriptors} descriptors'
    )
