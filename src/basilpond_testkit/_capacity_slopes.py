"""Points, slopes and the processes that measure them."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
import dataclasses
import gc
import multiprocessing
import os
import pathlib
import statistics
import time

REPETITIONS = 3
Measure = Callable[[int], dict[str, float]]


@dataclasses.dataclass(slots=True, frozen=True)
class Slope:
    """One measured value of an experiment over its sizes.

    Parameters
    ----------
    name : str
    title : str
        What the value is.
    unit : str
        Unit of the value.
    factor : float
        Multiplies the rise of the value per unit of size for display.
    per : str
        Unit of the displayed slope.
    """

    name: str
    title: str
    unit: str
    factor: float
    per: str


@dataclasses.dataclass(slots=True, frozen=True)
class Experiment:
    """Measurement at several sizes, which gives one or more slopes.

    `axis` names the size, and `measure` returns a value for each slope.
    """

    axis: str
    sizes: tuple[int, ...]
    measure: Measure
    slopes: tuple[Slope, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Point:
    """One measured value."""

    slope: str
    axis: str
    size: int
    value: float
    unit: str
    repetition: int


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """Least-squares line through the points of a slope.

    `low` and `high` are the slopes of single repetitions, `first` and `last`
    the means of the values at the smallest and the largest size, for values
    that a bound keeps from rising on.
    """

    slope: float
    base: float
    low: float
    high: float
    first: float
    last: float

    def at(self, size: float) -> float:
        """Return the value of the line, at least 0."""
        return max(0.0, self.base + self.slope * size)


def fit(points: Iterable[Point]) -> Line:
    """Fit a line, and one to each repetition for the spread.

    Raises
    ------
    statistics.StatisticsError
        If there are fewer than two sizes.
    """
    points = list(points)
    by_repetition: dict[int, list[Point]] = {}
    for point in points:
        by_repetition.setdefault(point.repetition, []).append(point)
    slopes = [_regression(group)[0] for group in by_repetition.values()]
    slope, base = _regression(points)
    sizes = sorted({point.size for point in points})
    first, last = (
        statistics.fmean(p.value for p in points if p.size == size)
        for size in (sizes[0], sizes[-1])
    )
    return Line(slope, base, min(slopes), max(slopes), first, last)


def _regression(points: list[Point]) -> tuple[float, float]:
    line = statistics.linear_regression(
        [point.size for point in points], [point.value for point in points]
    )
    return line.slope, line.intercept


def run_experiment(experiment: Experiment) -> Iterator[Point]:
    """Measure all sizes, each repetition in a process of its own.

    Memory is compared between a process's start and its end, so a process is
    not used twice.
    """
    context = multiprocessing.get_context('forkserver')
    context.set_forkserver_preload(['basilpond_testkit._capacity_router'])
    for repetition in range(1, REPETITIONS + 1):
        for size in experiment.sizes:
            with ProcessPoolExecutor(1, mp_context=context) as pool:
                values = pool.submit(experiment.measure, size).result()
            for slope in experiment.slopes:
                yield Point(
                    slope.name,
                    experiment.axis,
                    size,
                    values[slope.name],
                    slope.unit,
                    repetition,
                )


def resident_bytes(pid: int | None = None) -> int:
    """Return the resident memory of a process, by default of this one."""
    statm = pathlib.Path(f'/proc/{pid or os.getpid()}/statm').read_text()
    return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE')


def processor_s(pid: int) -> float:
    """Return the processor time of all threads of a process."""
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    spent_ns = sum(
        int((task / 'schedstat').read_text().split()[0]) for task in tasks
    )
    return spent_ns / 1e9


class Cost:
    """Processor time and growth of resident memory inside a block."""

    def __enter__(self) -> Cost:
        gc.collect()
        self._memory = resident_bytes()
        self._start_ns = time.process_time_ns()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.ms = (time.process_time_ns() - self._start_ns) / 1e6
        gc.collect()
        self.kb = (resident_bytes() - self._memory) / 1000
