"""Fault matrix: every fault at every step, checked against the guarantees."""

from __future__ import annotations

import collections
import concurrent.futures
import logging
import pathlib
import re
import sys

from absl import logging as absl_logging
import defopt

from . import _cells

KNOWN_RED = pathlib.Path(__file__).parents[3] / 'KNOWN-RED.txt'
COMMAND = 'python -m basilpond_testkit.matrix'
TITLES = {
    1: 'spend within the budget',
    2: 'billed exactly once',
    3: 'whole and own response',
    4: 'not-run means not run',
    5: 'non-idempotent at most once',
    6: 'no work for a leaving endpoint',
    7: 'planned stops cut nothing',
    8: 'configuration in force everywhere',
}


def known_red(path: pathlib.Path = KNOWN_RED) -> set[str]:
    """Return the names of the cells that are listed as known red."""
    if not path.exists():
        return set()
    return set(re.findall(r'--cell (\S+)', path.read_text(encoding='utf-8')))


def quiet_logs() -> None:
    """Silence the logs of the product and of asyncio."""
    absl_logging.set_verbosity(absl_logging.FATAL)
    absl_logging.set_stderrthreshold('fatal')
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)


def _run(task: tuple[_cells.Cell, int]) -> tuple[_cells.Cell, list[str]]:
    quiet_logs()
    cell, seed = task
    try:
        return cell, _cells.run_cell(cell, seed)
    except Exception as error:
        # A fault of the test world must show as a failed cell.
        return cell, [f'the cell ended with {error!r}']


def _write(line: str) -> None:
    sys.stdout.write(line + '\n')
    sys.stdout.flush()


def _list_not_applicable(cells: list[_cells.Cell]) -> None:
    reasons = collections.Counter(cell.reason for cell in cells)
    for reason, count in reasons.most_common():
        _write(f'{count:5} {reason}')
    for cell in cells:
        _write(f'{cell.name}: {cell.reason}')


def _select(promise: int, name: str) -> list[_cells.Cell]:
    cells = [
        item
        for item in _cells.all_cells()
        if not promise or promise in item.promises
    ]
    exact = [item for item in cells if item.name == name]
    return exact or [item for item in cells if item.name.startswith(name)]


def run(
    *,
    promise: int = 0,
    cell: str = '',
    seed: int = 1,
    jobs: int = 2,
    not_applicable: bool = False,
) -> int:
    """Run the fault matrix.

    Parameters
    ----------
    promise : int
        Run only the cells that check this guarantee, 1 to 8.
    cell : str
        Run only the cell of this name, or else those whose name starts so.
    seed : int
    jobs : int
        Processes.
    not_applicable : bool
        Only print the cells that are not applicable, with their reasons.
    """
    selected = _select(promise, cell)
    absent = [item for item in selected if item.reason]
    if not_applicable:
        _list_not_applicable(absent)
        return 0
    runs = [item for item in selected if not item.reason]
    red = known_red()
    ran = collections.Counter()
    broken = collections.Counter()
    failed, known = [], []
    tasks = [(item, seed) for item in runs]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for item, found in pool.map(_run, tasks, chunksize=4):
            ran.update(item.promises)
            if not found:
                continue
            broken.update(
                number
                for number in item.promises
                if any(f'guarantee {number},' in line for line in found)
            )
            is_known = item.name in red
            (known if is_known else failed).append(item)
            _write(f'{"known red" if is_known else "FAILED"} {item.name}')
            for line in found:
                _write(f'    {line}')
            _write(f'    repeat: {COMMAND} --cell {item.name} --seed {seed}')
    for number, title in TITLES.items():
        _write(
            f'guarantee {number} ({title}): {ran[number]} cells, '
            f'{broken[number]} with a violation'
        )
    _write(
        f'matrix: {len(selected)} cells, '
        f'{len(runs) - len(failed) - len(known)} passed, '
        f'{len(failed)} failed, {len(known)} known red, '
        f'{len(absent)} not applicable'
    )
    return 1 if failed else 0


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(run))


if __name__ == '__main__':
    main()
