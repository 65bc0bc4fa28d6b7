"""Soak: seeded faults against real router processes."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import shutil
import sys
import tempfile

import defopt

from ._run import soak


def run(
    *,
    seed: int,
    seconds: float = 40.0,
    routers: int = 3,
    crowds: bool = False,
    burst_after_s: float = 0.0,
    keep_going: bool = False,
) -> int:
    """Run a soak.

    Parameters
    ----------
    seed : int
        Draws the faults.
    seconds : float
        Time in which faults begin.
    routers : int
        Router processes.
    crowds : bool
        Let clients misbehave towards all routers in all ways all the time.
    burst_after_s : float
        Time from the return of cold endpoints, while the store answers, to
        the burst that meets them; 0: at once, whether or not it answers.
    keep_going : bool
        Play all faults, also when a rule is broken.
    """
    # Cut connections are what a soak is about.
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    folder = pathlib.Path(tempfile.mkdtemp(prefix='basilpond-soak-'))
    lines, summary = asyncio.run(
        soak(
            seed,
            seconds,
            routers,
            folder,
            crowds=crowds,
            burst_after_s=burst_after_s,
            keep_going=keep_going,
        )
    )
    result = f'VIOLATED, see {folder}' if lines else 'passed'
    summary = f'soak --seed {seed}: {seconds:.0f} s, {summary}: {result}'
    sys.stdout.write('\n'.join((*lines, summary)) + '\n')
    if lines:
        return 1
    shutil.rmtree(folder)
    return 0


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(run))


if __name__ == '__main__':
    main()
