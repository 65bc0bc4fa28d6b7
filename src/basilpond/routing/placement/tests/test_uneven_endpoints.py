"""Replays of many routers at endpoints of different speeds."""

import pytest

from .prompt_fleet import Fleet

# Of three endpoints of a service in a row, in units of prefill cost a second.
SPEEDS = (0.7 * 125_000, 0.7 * 125_000, 1.7 * 125_000)


def make_fleet(endpoints, routers, share):
    return Fleet(
        [SPEEDS[i % 3] for i in range(endpoints)], routers, share=share
    )


def warm_up(fleet, for_s=6.0):
    """Begin at six tenths of the load; a deployment does not begin full."""
    full_per_s = fleet.per_s
    fleet.per_s = 0.6 * full_per_s
    fleet.run(for_s)
    fleet.per_s = full_per_s
    fleet.run(for_s + 4.0)
    return fleet.now_s


def test_work_follows_speed_under_load():
    """Replays 70 endpoints and 17 routers with reports 0.5 to 1 s old.

    With one speed for all, a half of the forecasts was wrong by more than a
    factor of two and prompts waited for a second, as all routers chose the
    same endpoints until the next reports.
    """
    fleet = make_fleet(70, 17, 0.8)
    since_s = warm_up(fleet)
    work = fleet.work()
    fleet.run(since_s + 12)
    assert fleet.accuracy(since_s) > 0.8
    assert fleet.busiest(work) < 1.2
    assert fleet.slowest_tenth_s(since_s) < 0.4


@pytest.mark.parametrize('share', [0.3, 0.6])
def test_forecasts_hold_at_moderate_load(share):
    """Guards against time limits and choices by a wrong speed."""
    fleet = make_fleet(70, 17, share)
    since_s = warm_up(fleet)
    fleet.run(since_s + 8)
    assert fleet.accuracy(since_s) > 0.9
    learnt = [fleet.learnt(i) for i in range(70)]
    assert sum(0.8 < ratio < 1.25 for ratio in learnt) > 0.9 * 70


def test_restart_slow_second_and_false_reports():
    """Guards against speeds that one event misleads for longer."""
    fleet = make_fleet(12, 8, 0.5)
    fleet.liars = {'r0'}
    since_s = warm_up(fleet)
    fleet.run(since_s + 4)
    learnt = sorted(fleet.learnt(i) for i in range(12))
    assert learnt[1] > 0.75
    assert learnt[-2] < 1.25
    # A slow second.
    fleet.servers[2].slow = (fleet.now_s, fleet.now_s + 1, 6.0)
    fleet.run(fleet.now_s + 8)
    assert 0.6 < fleet.learnt(2) < 1.25
    # A start of another, slower program.
    fleet.restart(2, 0.5 * fleet.servers[2].speed)
    fleet.run(fleet.now_s + 8)
    assert 0.75 < fleet.learnt(2) < 1.25


def test_work_spills_over_and_comes_back():
    """Guards against waits at home while a remote data centre is idle.

    Also against work that stays there once the wait at home has ended.
    """
    fleet = Fleet([125_000] * 24, 8, share=0.02, remote=12)

    def local_share(for_s):
        before = fleet.work()
        fleet.run(fleet.now_s + for_s)
        sent = [b - a for a, b in zip(before, fleet.work(), strict=True)]
        return sum(sent[:12]) / sum(sent)

    fleet.run(4.0)
    per_s = fleet.per_s
    assert local_share(4.0) > 0.7
    fleet.per_s = 35 * per_s
    fleet.run(fleet.now_s + 3.0)
    since_s = fleet.now_s
    assert local_share(4.0) < 0.65
    assert fleet.slowest_tenth_s(since_s) < 0.4
    fleet.per_s = per_s
    fleet.run(fleet.now_s + 3.0)
    assert local_share(4.0) > 0.7
