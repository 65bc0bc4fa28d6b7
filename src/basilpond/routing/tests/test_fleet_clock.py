import pytest

from basilpond.routing import ClockReading
from basilpond.routing import FleetClock
from basilpond.routing._escrow_accounts import OUTAGE_S

BOOT_MS = 4_000


def make_clock(*offsets_ms, now_s=0.0):
    clock = FleetClock()
    for i, offset_ms in enumerate(offsets_ms):
        clock.record(
            f'r{i}',
            peer_ms=1_000_000 + offset_ms,
            boot_ms=BOOT_MS,
            now_s=now_s,
        )
    return clock


def agreed_ms(clock, registered_routers, *, elapsed_ms=500, jump_ms=0):
    """Return the agreed time of day some time after the datagrams."""
    boot_ms = BOOT_MS + elapsed_ms
    offset_ms = clock.boot_offset_ms(
        wall_ms=1_000_000 + elapsed_ms + jump_ms,
        boot_ms=boot_ms,
        registered_routers=registered_routers,
        now_s=elapsed_ms / 1000,
    )
    return None if offset_ms is None else boot_ms + offset_ms


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
    time_ms = agreed_ms(make_clock(*offsets_ms), registered_routers)
    if offset_ms is None:
        assert time_ms is None
    else:
        assert abs(time_ms - 1_000_500 - offset_ms) <= 1


@pytest.mark.parametrize('jump_ms', [-5_000, 5_000])
def test_jump_of_the_local_clock_does_not_move_the_time(jump_ms):
    """Guards against proofs from a clock that jumped after a datagram.

    The successor of a router whose clock went back 5 s would prove that its
    predecessor ended 5 s earlier than it did, and free tokens it had used.
    """
    time_ms = agreed_ms(make_clock(1, 2, 3), 3, jump_ms=jump_ms)
    assert abs(time_ms - 1_000_500) <= 3


def test_routers_agree_in_a_fleet_of_350():
    """Guards against clocks that expire before the next datagram.

    A router sends 160 datagrams a second, so 350 routers hear from each other
    every 2.2 s.
    """
    clock = FleetClock()
    interval_s = 350 / 160
    for i in range(349):
        heard_s = interval_s * i / 349
        clock.record(
            f'r{i}',
            peer_ms=1_000_000 + round(1000 * heard_s),
            boot_ms=BOOT_MS + round(1000 * heard_s),
            now_s=heard_s,
        )
    time_ms = agreed_ms(clock, 349, elapsed_ms=round(1000 * interval_s))
    assert abs(time_ms - 1_000_000 - 1000 * interval_s) <= 2


def test_old_clocks_do_not_count():
    """Guards against clocks of routers that have stopped."""
    clock = make_clock(1, 2, 3)
    assert agreed_ms(clock, 3, elapsed_ms=3_500) is None


@pytest.mark.parametrize(
    ('age_ms', 'proved_s'),
    [(800, 1.1), (1_700, 2.0), (2_700, 3.0), (6_000, None), (-1, None)],
)
def test_fleet_time_survives_a_power_failure(age_ms, proved_s):
    """Replays a power failure of all machines, which restart after 1.7 s.

    Without fleet time all allotments were lost, and three in four requests
    were refused.
    """
    heartbeat = ClockReading(80_000_000, 5_000, 700_000)
    successor = ClockReading(3_000, 5_000 + age_ms, 700_000 + age_ms)
    assert heartbeat.proved_age_s(successor) == proved_s
    assert heartbeat.proves_within_ceiling(successor) is (
        proved_s is not None and proved_s < OUTAGE_S
    )
    without_fleet_time = ClockReading(3_000, 5_000 + age_ms, None)
    assert heartbeat.proved_age_s(without_fleet_time) is None
    assert not heartbeat.proves_within_ceiling(without_fleet_time)
