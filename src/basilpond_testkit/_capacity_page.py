"""Generated part of the capacity page and its plots."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import os
from pathlib import Path

from . import _capacity_limits as limits
from . import _capacity_roles as roles
from ._capacity_slopes import Experiment
from ._capacity_slopes import Line
from ._capacity_slopes import Point
from ._capacity_slopes import fit

BEGIN = '<!-- generated: begin -->'
END = '<!-- generated: end -->'
_SLOPE_HEAD = (
    'slope',
    'value',
    'over',
    'sizes',
    'slope of the line',
    'spread',
)


def replace_generated(page: str, generated: str) -> str:
    """Replace the text between the markers.

    Raises
    ------
    ValueError
        If a marker is missing.
    """
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise ValueError(f'the page has no {BEGIN} and {END}')
    return f'{before}{BEGIN}\n\n{generated}\n{END}{after}'


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [head, ['---'] * len(head), *rows]
    return ''.join(f'| {" | ".join(line)} |\n' for line in lines)


def _lines(
    experiments: Iterable[Experiment], points: Sequence[Point]
) -> dict[str, Line]:
    return {
        slope.name: fit(p for p in points if p.slope == slope.name)
        for experiment in experiments
        for slope in experiment.slopes
    }


def _slope_rows(
    experiments: Iterable[Experiment], lines: dict[str, Line]
) -> Iterable[Sequence[str]]:
    for experiment in experiments:
        for slope in experiment.slopes:
            line = lines[slope.name]
            yield (
                slope.name,
                slope.title,
                experiment.axis,
                ', '.join(f'{size:,}' for size in experiment.sizes),
                f'{roles.number(line.slope * slope.factor)} {slope.per}; '
                f'{roles.number(line.base)} {slope.unit} at 0',
                f'{roles.number(line.low * slope.factor)} to '
                f'{roles.number(line.high * slope.factor)}',
            )


def row_names(experiments: Iterable[Experiment]) -> list[str]:
    """Return the first cell of every row that the page must have."""
    slopes = [
        slope.name for experiment in experiments for slope in experiment.slopes
    ]
    tables = (limits.LIMITS, roles.ROLES, limits.CHANGES)
    return slopes + [row.name for table in tables for row in table]


def render(experiments: Sequence[Experiment], points: Sequence[Point]) -> str:
    """Return the generated part of the page."""
    lines = _lines(experiments, points)
    memory_gb = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES') / 1e9
    parts = [
        f'Machine: {os.cpu_count()} cores, {memory_gb:.0f} GB of memory, '
        'shared with other work; three repetitions.\n'
    ]
    for title, head, table in (
        ('Limits', limits.LIMIT_HEAD, limits.LIMITS),
        ('Roles, for each node', roles.ROLE_HEAD, roles.ROLES),
        ('What would reach the limits', limits.CHANGE_HEAD, limits.CHANGES),
    ):
        rows = ((row.name, *row.cells(lines)) for row in table)
        parts.append(f'## {title}\n\n{_table(head, rows)}')
    rows = _slope_rows(experiments, lines)
    parts.append(f'## Slopes\n\n{_table(_SLOPE_HEAD, rows)}')
    return '\n'.join(parts)


def plot(
    experiments: Sequence[Experiment], points: Sequence[Point], path: Path
) -> None:
    """Write one SVG with a plot for each slope."""
    # matplotlib is a development tool and takes a second to import.
    import matplotlib

    matplotlib.use('svg')
    # Without these, equal data would give another file each time.
    matplotlib.rcParams['svg.hashsalt'] = 'basilpond'
    # Text as text makes the file a fraction of the size.
    matplotlib.rcParams['svg.fonttype'] = 'none'
    from matplotlib import pyplot

    lines = _lines(experiments, points)
    panels = [
        (experiment, slope)
        for experiment in experiments
        for slope in experiment.slopes
    ]
    columns = 4
    figure, axes = pyplot.subplots(
        -(-len(panels) // columns),
        columns,
        figsize=(16, 2.6 * -(-len(panels) // columns)),
        layout='constrained',
    )
    for axis in axes.flat[len(panels) :]:
        axis.remove()
    for axis, (experiment, slope) in zip(axes.flat, panels, strict=False):
        found = [p for p in points if p.slope == slope.name]
        axis.plot([p.size for p in found], [p.value for p in found], 'o')
        ends = [min(experiment.sizes), max(experiment.sizes)]
        line = lines[slope.name]
        axis.plot(ends, [line.base + line.slope * x for x in ends])
        axis.set_title(slope.name, fontsize=9)
        axis.set_xlabel(experiment.axis, fontsize=8)
        axis.set_ylabel(slope.unit, fontsize=8)
        axis.tick_params(labelsize=7)
        axis.locator_params(nbins=3)
    figure.savefig(path, metadata={'Date': None})
    pyplot.close(figure)
