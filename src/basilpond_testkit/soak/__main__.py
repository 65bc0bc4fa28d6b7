"""Soak: seeded faults against real router processes."""

from __future__ import annotations

import asyncio
import collections
import logging
import pathlib
import shutil
import sys
import tempfile

import defopt

from . import _plan
from . import _system


def _write(line: str) -> None:
    sys.stdout.write(line + '\n')
    sys.stdout.flush()


def _summary(system: _system.System) -> str:
    evidence = system.evidence
    statuses = collections.Counter(
        str(a.status or a.error and a.error.partition('(')[0])
        for a in evidence.attempts
    )
    memory = max(p.memory_bytes for p in evidence.peaks.values()) / 1e6
    descriptors = max(p.descriptors for p in evidence.peaks.values())
    found = ', '.join(f'{key} {n}' for key, n in sorted(statuses.items()))
    return (
        f'{len(evidence.attempts)} attempts ({found}), '
        f'{len(evidence.arrivals)} arrivals at endpoints, '
        f'{len(evidence.evacuations)} evacuations, '
        f'{len(evidence.cold_times)} cold returns, '
        f'peak {memory:.0f} MB and {descriptors} descriptors'
    )


async def soak(
    seed: int,
    seconds: float,
    routers: int,
    folder: pathlib.Path,
    *,
    crowds: bool = False,
) -> int:
    """Run a soak and print what it finds; return the number of violations."""
    system = _system.System(seed, routers, folder)
    faults: list[_plan.Fault] = []
    try:
        await system.start()
        faults = _plan.draw(
            seed,
            seconds,
            list(system.routers),
            system.endpoints_by_data_centre(),
        )
        await system.play(faults, seconds, crowds=crowds)
        if not system.violations():
            await system.finish()
    finally:
        await system.stop()
    violations = system.violations()
    if violations:
        _write(f'seed {seed}')
        for at_s, text in system.evidence.time_line:
            _write(f'{at_s:.3f} {text}')
    for violation in violations:
        _write(f'VIOLATION {violation.text}')
        for request in violation.requests:
            _write(f'    {request}')
    _write(
        f'soak: seed {seed}, {seconds:.0f} s, {routers} routers, '
        f'{len(faults)} faults, {_summary(system)}, '
        f'{len(violations)} violations'
    )
    return len(violations)


def run(
    *,
    seed: int,
    seconds: float = 40.0,
    routers: int = 3,
    crowds: bool = False,
) -> int:
    """Run a soak.

    Parameters
    ----------
    seed : int
        Draws the faults.
    seconds : float
        Time in which faults begin and end.
    routers : int
        Router processes.
    crowds : bool
        Let clients misbehave towards all routers, in all ways, all the time.
    """
    # Cut connections are what a soak is about.
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    folder = pathlib.Path(tempfile.mkdtemp(prefix='basilpond-soak-'))
    found = asyncio.run(soak(seed, seconds, routers, folder, crowds=crowds))
    if found:
        _write(f'settings and output of the routers: {folder}')
        return 1
    shutil.rmtree(folder)
    return 0


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(run))


if __name__ == '__main__':
    main()
