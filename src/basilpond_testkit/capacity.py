"""Capacity of the modules and of a router process.

Prints one JSON line per measured point, and rewrites the generated part of
``docs/CAPACITY.md`` and the plots in ``docs/capacity.svg``.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
import sys

import defopt
import msgspec

from . import _capacity_page
from ._capacity_core import CORE_EXPERIMENTS
from ._capacity_router import ROUTER_EXPERIMENTS
from ._capacity_slopes import Point
from ._capacity_slopes import run_experiment
from ._capacity_tasks import TASK_EXPERIMENTS

EXPERIMENTS = CORE_EXPERIMENTS + TASK_EXPERIMENTS + ROUTER_EXPERIMENTS


def _measure() -> Iterator[Point]:
    for experiment in EXPERIMENTS:
        for point in run_experiment(experiment):
            sys.stdout.write(msgspec.json.encode(point).decode() + '\n')
            sys.stdout.flush()
            yield point


def _read(path: Path) -> list[Point]:
    decoder = msgspec.json.Decoder(Point)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]


def run(*, docs: Path = Path('docs'), points: Path | None = None) -> None:
    """Measure and write the page.

    Parameters
    ----------
    docs : Path
        Folder of the page and the plots.
    points
        Lines that an earlier run printed; without it, everything is
        measured.
    """
    measured = list(_measure()) if points is None else _read(points)
    page = docs / 'CAPACITY.md'
    page.write_text(
        _capacity_page.replace_generated(
            page.read_text(), _capacity_page.render(EXPERIMENTS, measured)
        )
    )
    _capacity_page.plot(EXPERIMENTS, measured, docs / 'capacity.svg')


def main() -> None:
    """Parse arguments and run."""
    defopt.run(run)


if __name__ == '__main__':
    main()
