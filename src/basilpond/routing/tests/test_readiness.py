import pytest

from basilpond.routing.capacity import Readiness

STEP_S = 0.05


def play(full, *, for_s, peers=4, full_peers=lambda now_s: 0):
    """Return the times at which a router is not ready."""
    readiness = Readiness()
    outs = []
    for i in range(round(for_s / STEP_S)):
        now_s = i * STEP_S
        if not readiness.update(
            full(now_s),
            peers=peers,
            full_peers=full_peers(now_s),
            now_s=now_s,
        ):
            outs.append(now_s)
    return outs


def test_router_that_is_full_for_long_leaves_until_it_is_calm():
    """Guards against clients that stay at a full router beside idle ones."""
    outs = play(lambda now_s: now_s < 3.0, for_s=10.0)
    assert outs[0] == pytest.approx(1.5)
    assert outs[-1] == pytest.approx(4.9, abs=2 * STEP_S)
    # Pauses between refusals are no end of the load.
    assert play(lambda now_s: now_s < 3.0 and now_s % 0.5 < 0.2, for_s=10.0)


def test_short_loads_change_nothing():
    """Guards against clients that move for a load that refusals can bear."""
    assert not play(lambda now_s: now_s % 3.0 < 1.4, for_s=60.0)


def test_router_is_out_for_half_of_any_window_at_most():
    """Guards against a router that is out for as long as a load lasts."""
    outs = play(lambda now_s: True, for_s=60.0)
    for i in range(round(48.0 / STEP_S)):
        begin_s = i * STEP_S
        inside = [t for t in outs if begin_s <= t < begin_s + 12.0]
        assert len(inside) * STEP_S <= 6.0 + STEP_S
    assert len(outs) * STEP_S >= 0.3 * 60.0
    # Never for less than the load balancer needs to notice.
    ends = [t for t, u in zip(outs, outs[1:], strict=False) if u - t > 0.1]
    begins = [u for t, u in zip(outs, outs[1:], strict=False) if u - t > 0.1]
    for begin_s, end_s in zip([outs[0], *begins], ends, strict=False):
        assert end_s - begin_s >= 2.9


@pytest.mark.parametrize(
    ('peers', 'full_peers', 'leaves'),
    [
        (0, 0, False),
        (1, 0, True),
        (1, 1, False),
        (4, 1, False),
        (20, 4, True),
        (20, 5, False),
    ],
)
def test_routers_leave_only_beside_peers_with_room(peers, full_peers, leaves):
    """Guards against a data centre without ready routers."""
    outs = play(
        lambda now_s: True,
        for_s=5.0,
        peers=peers,
        full_peers=lambda now_s: full_peers,
    )
    assert bool(outs) is leaves


def test_router_returns_at_once_when_its_peers_are_full():
    """Guards against routers that are out while the others are full."""
    outs = play(
        lambda now_s: True,
        for_s=6.0,
        full_peers=lambda now_s: 2 * (now_s >= 2.0),
    )
    assert outs[-1] < 2.0


def test_routers_that_become_full_together_stay_ready():
    """Guards against all routers of a data centre that leave together.

    What they say of each other is 1 s old.
    """
    routers = [Readiness() for _ in range(8)]
    said = [[False] * len(routers)] * 20
    for i in range(400):
        for number, router in enumerate(routers):
            assert router.update(
                True,
                peers=len(routers) - 1,
                full_peers=sum(said[-20]) - said[-20][number],
                now_s=i * STEP_S,
            )
        said.append([router.states_full for router in routers])


def test_load_that_comes_back_keeps_a_router_out_for_longer_each_time():
    """Guards against a router that is full whenever it is in rotation.

    In a large data centre the load of one client returned with each return
    of its router, which then lost its callers' connections for seconds.
    """
    router = Readiness()
    outs, ready_since_s = [], 0.0
    for i in range(round(200.0 / STEP_S)):
        now_s = i * STEP_S
        # The client's requests arrive 0.5 s after the return, and stop 2 s
        # after the router is out.
        arrives = (
            now_s - ready_since_s > 0.5
            if router.is_ready
            else now_s - outs[-1][0] < 2.0
        )
        was_ready = router.is_ready
        router.update(arrives, peers=20, full_peers=0, now_s=now_s)
        if was_ready and not router.is_ready:
            outs.append((now_s, now_s))
        elif not was_ready:
            outs[-1] = (outs[-1][0], now_s)
            ready_since_s = now_s
    lengths = [end_s - begin_s for begin_s, end_s in outs]
    assert lengths[:3] == pytest.approx([20.0, 40.0, 80.0], abs=2 * STEP_S)


def test_long_absence_ends_when_peers_are_full():
    """Guards against routers that stay out while the others lack room."""
    readiness = Readiness()
    for i in range(round(4.0 / STEP_S)):
        readiness.update(
            i * STEP_S < 2.0, peers=20, full_peers=0, now_s=i * STEP_S
        )
    assert not readiness.is_ready
    assert readiness.states_full
    assert not readiness.update(False, peers=20, full_peers=4, now_s=4.4)
    assert readiness.update(False, peers=20, full_peers=5, now_s=4.5)
    # A load that has ended in the meantime begins with the shortest absence.
    for i in range(round(25.0 / STEP_S)):
        now_s = 30.0 + i * STEP_S
        readiness.update(now_s < 32.0, peers=20, full_peers=0, now_s=now_s)
    assert readiness.is_ready


def play_routers(count, needs, *, for_s):
    """Play a client that overloads the first routers of its hash order.

    The load balancer takes routers out 2 s after they are not ready; reports
    are 0.75 s old.

    Parameters
    ----------
    needs : int
        Place of the first router that can carry the load.

    Returns
    -------
    outs : int
    full_share : float
        Part of the time in which the client's router is full.
    """
    routers = [Readiness() for _ in range(count)]
    ready_at_s = [0.0] * count
    said = [[False] * count] * 15
    outs = full = 0
    for i in range(round(for_s / STEP_S)):
        now_s = i * STEP_S
        in_rotation = [
            router.is_ready or now_s - ready_at_s[number] < 2.0
            for number, router in enumerate(routers)
        ]
        place = in_rotation.index(True)
        full += place < needs
        for number, router in enumerate(routers):
            was_ready = router.is_ready
            router.update(
                number == place < needs,
                peers=count - 1,
                full_peers=sum(said[-15]) - said[-15][number],
                now_s=now_s,
            )
            if router.is_ready:
                ready_at_s[number] = now_s
            outs += was_ready and not router.is_ready
        said.append([router.states_full for router in routers])
    return outs, full * STEP_S / for_s


@pytest.mark.parametrize(('count', 'needs'), [(10, 1), (20, 1), (20, 2)])
def test_load_moves_on_until_a_router_can_carry_it(count, needs):
    """Guards against a large client that meets full routers all the time."""
    _, full_share = play_routers(count, needs, for_s=300.0)
    assert full_share < 0.2


@pytest.mark.parametrize(('count', 'needs'), [(10, 2), (20, 3), (29, 4)])
def test_routers_do_not_end_the_absence_of_each_other(count, needs):
    """Guards against routers that take turns faster than without a long rule.

    There are too few routers for the load to move on. With at most 6 of 12 s
    for each, they were out 47 times.
    """
    outs, _ = play_routers(count, needs, for_s=300.0)
    assert outs <= 47


def test_router_that_stays_full_without_clients_returns():
    """Guards against a long absence that does not help."""
    outs = play(lambda now_s: True, for_s=300.0, peers=20)
    assert len(outs) * STEP_S <= 0.6 * 300.0


def test_short_absences_do_not_make_the_next_long_one_longer():
    """Guards against two minutes out of rotation after an overload of all."""
    readiness = Readiness()
    for i in range(round(100.0 / STEP_S)):
        readiness.update(True, peers=20, full_peers=4, now_s=i * STEP_S)
    begin_s = 110.0
    for i in range(round(40.0 / STEP_S)):
        now_s = begin_s + i * STEP_S
        readiness.update(now_s < 113.0, peers=20, full_peers=0, now_s=now_s)
    assert readiness.is_ready


def test_pause_of_the_process_is_no_load():
    """Guards against a router that leaves because it was paused."""
    readiness = Readiness()
    assert readiness.update(True, peers=20, full_peers=0, now_s=0.0)
    assert readiness.update(True, peers=20, full_peers=0, now_s=5.0)
