import pytest

from basilpond.routing import CheckState
from basilpond.routing import VersionCheck
from basilpond.routing._version_check import LIMIT_S
from basilpond.routing._version_check import SILENCE_S

INTERVAL_S = 0.05
STEP_S = 0.01


def decide(steps, *, registered=3, interval_s=INTERVAL_S):
    """Return the state after each of some (time, own, peers') versions."""
    check = VersionCheck()
    return [
        check.update(
            version,
            peers,
            registered=registered,
            interval_s=interval_s,
            now_s=now_s,
        )
        for now_s, version, peers in steps
    ]


def test_router_alone_does_not_wait():
    """Guards against a fleet of one router that is held up at its start."""
    (state,) = decide([(0.0, 1, None)], registered=0)
    assert state is CheckState.ALONE


@pytest.mark.parametrize('registered', [None, 3])
def test_wait_for_silent_routers_is_bounded(registered):
    """Guards against a router that never serves as no other is alive."""
    steps = [(0.0, 1, None), (SILENCE_S - STEP_S, 1, None)]
    steps.append((SILENCE_S, 1, None))
    states = decide(steps, registered=registered)
    assert states == [CheckState.WAITING, CheckState.WAITING, CheckState.ALONE]


def test_router_waits_one_interval_after_it_heard_another():
    """Guards against a first report of a router that lacks the version."""
    steps = [(0.0, 1, None), (0.5, 1, -1), (0.54, 1, 1), (0.56, 1, 1)]
    assert decide(steps)[-2:] == [CheckState.WAITING, CheckState.NEWEST]


def test_newer_version_is_fetched():
    """Guards against the version of an older copy of the store."""
    steps = [(0.0, 1, 2), (0.1, 1, 2), (0.2, 1, 2), (0.3, 2, 2)]
    states = [state.name for state in decide(steps)]
    assert states == ['WAITING', 'FETCHING', 'FETCHING', 'NEWEST']


def test_wait_for_a_version_that_cannot_be_fetched_is_bounded():
    """Guards against a router that one faulty router keeps unready."""
    steps = [(0.0, 1, 9), (LIMIT_S - STEP_S, 1, 9), (LIMIT_S, 1, 9)]
    states = [state.name for state in decide(steps)]
    assert states == ['WAITING', 'FETCHING', 'EXPIRED']


def test_time_without_a_configuration_does_not_count():
    """Guards against a first version that is used unchecked.

    The store was silent for some time after the start.
    """
    steps = [(0.0, None, None), (9.0, 1, None), (9.1, 1, None)]
    assert set(decide(steps)) == {CheckState.WAITING}
    # It heard others all the while.
    assert decide([(0.0, None, 2), (9.0, 1, 2)])[-1] is CheckState.FETCHING
    assert decide([(0.0, None, 2), (9.0, 2, 2)])[-1] is CheckState.NEWEST


def test_routers_that_fall_silent_do_not_hold_it():
    """Guards against a wait for routers that ended after one report."""
    steps = [(0.0, 1, 9), (0.1, 1, 9), (SILENCE_S, 1, None)]
    assert decide(steps)[-1] is CheckState.ALONE
