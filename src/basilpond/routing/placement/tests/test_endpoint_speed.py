import hypothesis
from hypothesis import strategies as st
import pytest

from basilpond.routing import Endpoint
from basilpond.routing import EndpointLoad
from basilpond.routing import EndpointSpeeds
from basilpond.routing import PeerReport
from basilpond.routing import SpeedReport
from basilpond.routing import prefill_cost

DEFAULT = 65_000.0
COST = 8_000.0
BASE_S = 0.03


def make_speeds(count=1):
    speeds = EndpointSpeeds()
    for i in range(count):
        speeds.track(i, 's', 'v1')
    return speeds


def observe(speeds, tokens_per_s, times, incarnation=0, **kwargs):
    for now_s in times:
        took_s = BASE_S + COST / tokens_per_s
        speeds.record_prefill(incarnation, COST, took_s, now_s, **kwargs)
        # Routers choose between their observations.
        speeds.tokens_per_s(incarnation, now_s)


def test_lasting_slowness_is_learnt_within_ten_observations():
    """Guards against an endpoint that is overloaded once it is slower."""
    speeds = make_speeds()
    observe(speeds, 125_000, range(20))
    assert speeds.tokens_per_s(0, 20) == pytest.approx(125_000, rel=0.1)
    observe(speeds, 50_000, range(21, 31))
    assert speeds.tokens_per_s(0, 31) == pytest.approx(50_000, rel=0.1)


def test_slow_second_is_forgotten():
    """Guards against an endpoint that is avoided long after a slow second."""
    speeds = make_speeds()
    observe(speeds, 125_000, range(20))
    observe(speeds, 20_000, [20 + i / 10 for i in range(10)])
    observe(speeds, 125_000, [21 + i / 10 for i in range(20)])
    assert speeds.tokens_per_s(0, 23.5) == pytest.approx(125_000, rel=0.2)


def test_slow_second_is_forgotten_without_further_prompts():
    """Guards against an endpoint that no router tries again."""
    speeds = make_speeds()
    observe(speeds, 125_000, range(20))
    observe(speeds, 20_000, [20 + i / 10 for i in range(10)])
    assert speeds.tokens_per_s(0, 85) > 80_000


def test_wait_behind_own_prompts_is_not_slowness():
    """Guards against busy endpoints that seem slow."""
    speeds = make_speeds()
    took_s = BASE_S + 3 * COST / 125_000
    for now_s in range(10):
        speeds.record_prefill(0, COST, took_s, now_s, before=2 * COST)
    assert speeds.tokens_per_s(0, 11) == pytest.approx(125_000, rel=0.1)


def test_endpoint_with_a_backlog_is_as_fast_as_what_it_completes():
    """Replays an endpoint at which each prompt waits for a second.

    It seemed twenty times as slow as it was, and all routers left it.
    """
    speeds = make_speeds()
    for i in range(200):
        now_s = i * COST / 125_000
        speeds.record_prefill(0, COST, 1.1, now_s)
    assert speeds.tokens_per_s(0, now_s) == pytest.approx(125_000, rel=0.2)


def test_untried_endpoint_gets_the_median_of_its_service():
    """Guards against forecasts by a constant where others are known."""
    speeds = make_speeds(4)
    assert speeds.tokens_per_s(3, 0) == pytest.approx(DEFAULT)
    for i, speed in enumerate((90_000, 120_000, 200_000)):
        observe(speeds, speed, range(1, 11), i)
    assert speeds.tokens_per_s(3, 12) == pytest.approx(120_000, rel=0.1)
    # A service without any observation is served as before.
    speeds.track(9, 'other', 'v1')
    assert speeds.tokens_per_s(9, 12) == pytest.approx(DEFAULT)


def test_restarted_endpoint_begins_anew():
    """Guards against the speed of a process that is gone."""
    speeds = make_speeds(4)
    for i in range(4):
        observe(speeds, 40_000 if i == 3 else 120_000, range(1, 11), i)
    speeds.forget(3)
    speeds.track(30, 's', 'v1')
    assert speeds.tokens_per_s(30, 12) == pytest.approx(120_000, rel=0.1)


@pytest.mark.parametrize('false', [1.0, 10e9])
def test_false_report_of_one_router_misleads_no_other(false):
    """Replays a router that reports nonsense with each datagram."""
    speeds = make_speeds()
    for second in range(20):
        for router in ('a', 'b', 'c'):
            report = SpeedReport(0, 100_000, 1.0, COST)
            speeds.apply_report(router, report, second)
        speeds.apply_report('liar', SpeedReport(0, false, 1.0, 1e6), second)
        assert speeds.tokens_per_s(0, second) == pytest.approx(
            100_000, rel=0.1
        )


def test_reports_are_bounded_and_repeated_slowly():
    """Guards against datagrams that grow with the number of endpoints."""
    speeds = make_speeds(100)
    for i in range(100):
        observe(speeds, 100_000, [0.0], i)
    sent = [report for _ in range(10) for report in speeds.reports(0.1)]
    assert sorted(report.incarnation for report in sent) == list(range(100))
    assert len(speeds.reports(3.0)) == 0
    assert len(speeds.reports(6.0)) == 16
    assert len(speeds.reports(600.0)) == 0


def test_observations_of_unknown_endpoints_are_ignored():
    """Guards against memory that grows with ids in datagrams."""
    speeds = make_speeds()
    for i in range(1000):
        speeds.apply_report(f'r{i}', SpeedReport(7, 1e5, 1.0), 0.0)
        speeds.apply_report(f'r{i}', SpeedReport(0, 1e5, 1.0), 0.0)
    assert len(speeds) == 1
    assert speeds.tokens_per_s(7, 0.0) == DEFAULT


def make_load(speeds):
    endpoint = Endpoint(
        'e', None, 's', '10.0.0.1', 80, 'dc', 64, False, 0.0, version='v1'
    )
    return EndpointLoad(endpoint, 10.0, speeds, 0)


def test_time_limits_of_a_fast_endpoint_are_not_shorter():
    """Guards against prompts that are given up as an endpoint is fast."""
    speeds = make_speeds()
    observe(speeds, 500_000, range(20))
    load = make_load(speeds)
    load.apply_report('r', PeerReport(1, 20_000, 20.0))
    assert load.forecast_s(50_000, 20.0) < 0.3
    assert load.limit_forecast_s(50_000, 20.0) > 70_000 / DEFAULT
    load.add_request(50_000, 20.0)
    assert load.stalled_s(20.0 + 3 * 70_000 / DEFAULT) == 0


def test_time_limits_follow_late_first_tokens():
    """Guards against retries that add to the load of an endpoint in need."""
    load = make_load(make_speeds())
    for now_s in range(20):
        in_flight = load.add_request(1_000, now_s)
        load.record_first_byte(in_flight, now_s + 0.9)
        load.remove_request(in_flight)
    default_s = 0.03 + 8_000 / DEFAULT
    assert load.limit_forecast_s(8_000, 20.0) > 4 * default_s


def test_outdated_reports_count_only_beyond_their_age():
    """Guards against all routers that choose by the same old reports."""
    load = make_load(make_speeds())
    load.apply_report('r', PeerReport(5, DEFAULT / 4, 0.0))
    load.expire_reports(0.0, 0.05)
    assert load.forecast_s(0, 0.0) > 0.25
    load.expire_reports(0.0, 0.5)
    assert load.forecast_s(0, 0.0) < 0.01
    load.apply_report('r', PeerReport(5, 3 * DEFAULT, 0.0))
    assert load.forecast_s(0, 0.0) > 2.0


_TOKENS = st.one_of(st.integers(0, 100), st.integers(0, 10**8))


@hypothesis.given(
    st.lists(
        st.tuples(_TOKENS, _TOKENS, st.booleans()), min_size=1, max_size=8
    ),
    st.randoms(use_true_random=False),
)
def test_any_prompts_leave_the_load_of_an_endpoint_finite(prompts, rng):
    """Guards against one prompt's bookkeeping that fails another's."""
    load = make_load(make_speeds())
    sent = []
    now_s = 0.0
    for tokens, cached_tokens, begins in prompts:
        cost = prefill_cost(tokens, cached_tokens)
        assert cost >= 0
        sent.append((load.add_request(cost, now_s), begins))
    rng.shuffle(sent)
    for in_flight, begins in sent:
        now_s += rng.choice([1e-4, 0.05, 30.0])
        if begins:
            load.record_first_byte(in_flight, now_s)
        load.remove_request(in_flight)
        # Less than a token is lost to rounding.
        assert load.prefill_cost > -1
    assert 0 < load.tokens_per_s(now_s) < float('inf')
    assert load.forecast_s(COST, now_s) > 0
