import pytest

from basilpond_testkit.matrix import __main__ as program
from basilpond_testkit.matrix import _scenario

SCENARIOS = _scenario.load_scenarios()


@pytest.fixture(autouse=True)
def _quiet():
    program.quiet_logs()


@pytest.mark.parametrize('name', SCENARIOS)
def test_scenario_holds(name):
    assert _scenario.run_scenario(SCENARIOS[name], 1) == []


def test_expectations_that_do_not_hold_are_reported():
    # A misread expectation would let every scenario pass.
    expectations = [
        'complete k1',
        'outcome k1 complete',
        'code k1 0',
        'runs k1 1',
        'bills k1 1',
        'attempts k1 2',
        'budget 20001',
        'accepted 1',
    ]
    text = (
        'world budget=20000\nat 0 log down\n'
        'at 4 send booking key=k1 attempts=1 via dc1-r1\n'
        'at 20 log up\n'
    )
    text += ''.join(f'expect {line}\n' for line in expectations)
    found = _scenario.run_scenario(text, 1)
    assert len(found) == len(expectations)
    for line, report in zip(expectations, found, strict=True):
        assert f'expect {line};' in report


def test_broken_guarantee_is_reported_without_an_expectation():
    text = (
        'at 0 endpoint dc1-m1 patch reorder\n'
        'at 0 endpoint dc1-m2 patch reorder\n'
        'at 1 send chat key=k1 via dc1-r1\n'
    )
    assert any('wrong_answers' in f for f in _scenario.run_scenario(text, 1))


@pytest.mark.parametrize(
    'line',
    ['at 1', 'cut dc1 log', 'at 1 explode dc1', 'expect nothing k1'],
)
def test_line_that_is_not_understood_is_refused(line):
    with pytest.raises(_scenario.ScenarioError):
        _scenario.run_scenario(line, 1)
