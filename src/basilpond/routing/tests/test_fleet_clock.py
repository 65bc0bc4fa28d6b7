import pytest

from basilpond.routing import ClockReading
from basilpond.routing import FleetClock
from basilpond.routing._escrow_accounts import OUTAGE_S


def make_clock(*offsets_ms, now_s=0.0):
    clock = FleetClock()
    for i, offset_ms in enumerate(offsets_ms):
        clock.record(
            f'r{i}',
            peer_ms=1_000_000 + offset_ms,
            local_ms=1_000_000,
            now_s=now_s,
        )
    return clock


@pytest.mark.parametrize(
    ('offsets_ms', 'registered_routers', 'offset_ms'),
    [
        ((5, -3, 4, 2), 4, 2),
        # The local clock jumped.
        ((2000, 2001, 1999, 2000), 4, 2000),
        # A minority jumped.
        ((5, 2000, -1500, 3, 1, 2), 6, 2),
        # Half of the clocks jumped, so there is no majority.
        ((2000, 2001, 1), 3, None),
        # Datagrams of too few routers arrived.
        ((5, -3, 4), 7, None),
        ((5,), 1, None),
        ((), 0, None),
    ],
)
def test_majority_determines_the_time(
    offsets_ms, registered_routers, offset_ms
):
    """Guards against a jump of the clock of one machine."""
    time_ms = make_clock(*offsets_ms).time_ms(
        local_ms=9_000, registered_routers=registered_routers, now_s=0.5
    )
    if offset_ms is None:
        assert time_ms is None
    else:
        assert abs(time_ms - 9_000 - offset_ms) <= 1


def test_old_clocks_do_not_count():
    """Guards against clocks of routers that have stopped."""
    clock = make_clock(1, 2, 3)
    assert clock.time_ms(local_ms=0, registered_routers=3, now_s=1.5) is None


@pytest.mark.parametrize(
    ('age_ms', 'proven'),
    [
        (1_700, True),
        (int(OUTAGE_S * 1000) - 100, False),
        (-1, False),
    ],
)
def test_fleet_time_survives_a_power_failure(age_ms, proven):
    """Replays a power failure of all machines, which restart after 1.7 s.

    Without fleet time all allotments were lost, and three in four requests
    were refused.
    """
    heartbeat = ClockReading(80_000_000, 5_000, 700_000)
    successor = ClockReading(3_000, 5_000 + age_ms, 700_000 + age_ms)
    assert heartbeat.proves_within_ceiling(successor) is proven
    assert not heartbeat.proves_within_ceiling(
        ClockReading(3_000, 5_000, None)
    )
