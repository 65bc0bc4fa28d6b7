import pytest

from basilpond_testkit import _capacity_core
from basilpond_testkit import _capacity_router
from basilpond_testkit import _capacity_tasks
from basilpond_testkit._capacity_slopes import Point
from basilpond_testkit._capacity_slopes import fit

IN_PROCESS = _capacity_core.CORE_EXPERIMENTS + _capacity_tasks.TASK_EXPERIMENTS
EXPERIMENTS = IN_PROCESS + _capacity_router.ROUTER_EXPERIMENTS


def points(slope, values):
    return [
        Point(slope, 'x', size, value, 'ms', repetition)
        for repetition in (1, 2, 3)
        for size, value in values.items()
    ]


def test_fit_finds_the_line():
    """Guards against figures that mix the slope with the fixed cost."""
    line = fit(points('a', {10: 25.0, 20: 45.0, 40: 85.0}))
    assert line.slope == pytest.approx(2.0)
    assert line.at(100) == pytest.approx(205.0)
    assert (line.low, line.high) == pytest.approx((2.0, 2.0))
    assert (line.first, line.last) == pytest.approx((25.0, 85.0))


def test_each_slope_has_three_sizes_and_one_name():
    """Guards against a slope without its points or mixed with another."""
    names = [s.name for e in EXPERIMENTS for s in e.slopes]
    assert len(names) == len(set(names))
    assert all(len(set(e.sizes)) >= 3 for e in EXPERIMENTS)


@pytest.mark.parametrize(
    'experiment',
    IN_PROCESS,
    ids=lambda experiment: experiment.measure.__name__,
)
def test_experiment_gives_its_slopes(experiment):
    """Guards against a measurement that breaks with the measured module."""
    values = experiment.measure(20)
    assert values.keys() == {slope.name for slope in experiment.slopes}
