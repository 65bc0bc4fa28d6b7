import pytest

from basilpond.routing.reach import EndpointPaths
from basilpond.routing.reach import PathState
from basilpond.routing.reach._endpoint_paths import WINDOW_S


def isolated():
    paths = EndpointPaths()
    paths.record_failed('e1', 0.0, listed=6)
    paths.record_failed('e2', 0.1, listed=6)
    paths.record_relayed('e2')
    return paths


@pytest.mark.parametrize('last_s', [0.0, WINDOW_S - 0.01])
def test_failures_at_two_endpoints_lead_to_other_routers(last_s):
    paths = EndpointPaths()
    assert not paths.record_failed('e1', 0.0, listed=6)
    assert paths.record_failed('e2', last_s, listed=6)
    assert paths.needs_relay('e3')


def test_one_endpoint_that_is_down_is_not_the_routers_fault():
    paths = EndpointPaths()
    for i in range(20):
        assert not paths.record_failed('e1', 0.1 * i, listed=6)
    assert not paths.needs_relay('e1')


def test_response_in_between_clears_the_router():
    paths = EndpointPaths()
    paths.record_failed('e1', 0.0, listed=6)
    paths.record_response()
    assert not paths.record_failed('e2', 0.1, listed=6)


def test_old_failures_do_not_count():
    paths = EndpointPaths()
    paths.record_failed('e1', 0.0, listed=6)
    assert not paths.record_failed('e2', WINDOW_S, listed=6)


def test_only_endpoint_suffices():
    paths = EndpointPaths()
    assert paths.record_failed('e1', 0.0, listed=1)
    assert paths.record_connected('e1')


def test_router_is_proved_cut_off_by_another_one():
    """Guards against blaming the router while all endpoints are down."""
    paths = EndpointPaths()
    paths.record_failed('e1', 0.0, listed=6)
    paths.record_failed('e2', 0.0, listed=6)
    assert paths.state is PathState.SUSPECTED
    assert not paths.record_relayed('e3')
    assert paths.record_relayed('e1')
    assert paths.state is PathState.ISOLATED


def test_requests_that_break_prove_nothing():
    """Guards against crashes of endpoints that count as a cut."""
    paths = EndpointPaths()
    paths.record_failed('e1', 0.0, listed=6, connected=True)
    assert paths.record_failed('e2', 0.1, listed=6, connected=True)
    assert not paths.record_relayed('e1')
    paths.record_failed('e1', 0.2, listed=6)
    assert paths.record_relayed('e1')


def test_responses_on_old_connections_end_no_suspicion():
    paths = isolated()
    paths.record_response()
    assert paths.needs_relay('e1')


def test_router_returns_after_connections_to_two_endpoints():
    paths = isolated()
    assert not paths.record_connected('e1')
    assert not paths.needs_relay('e1')
    assert paths.needs_relay('e2')
    # One that is down does not keep the router from returning.
    paths.record_failed('e3', 1.0, listed=6)
    assert not paths.needs_relay('e1')
    paths.record_failed('e1', 1.1, listed=6)
    assert paths.needs_relay('e1')
    assert not paths.record_connected('e1')
    assert paths.record_connected('e4')
    assert paths.state is PathState.DIRECT


def test_probes_take_turns():
    paths = isolated()
    listed = ['e1', 'e2', 'e3']
    probed = []
    for i in range(6):
        endpoint = paths.next_probe(listed)
        probed.append(endpoint)
        paths.record_failed(endpoint, 1.0 + i, listed=3)
    assert sorted(probed[:3]) == sorted(probed[3:]) == listed
    assert paths.next_probe([]) is None
