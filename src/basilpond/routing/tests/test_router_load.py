import math

import pytest

from basilpond.routing.capacity import RequestDemand
from basilpond.routing.capacity import RouterLoad
from basilpond.routing.capacity import UploadProgress

LINK_BYTES_PER_S = 625_000.0
BODY_BYTES = 72_000


def demand(priority=0, objective_s=0.4, **changes):
    fields = {'waited_s': 0.0, 'left_s': 4.0, 'body_bytes': 800, **changes}
    return RequestDemand(priority, objective_s, **fields)


def busy_router(**limits):
    load = RouterLoad(**limits)
    for _ in range(8):
        load.record_started(0)
    return load


def lagging(lag_s, *, samples=5):
    load = busy_router()
    for i in range(samples):
        load.record_lag(lag_s, now_s=1.0 + 0.05 * i)
    return load, 1.0 + 0.05 * (samples - 1)


def reason(load, request, now_s):
    return load.verdict(request, now_s).reason


def test_idle_router_admits_the_largest_body():
    """Guards against refusals by a router that is not full."""
    load = RouterLoad(cpu_share=0.39, memory_bytes=160e6)
    load.record_link(0, LINK_BYTES_PER_S, 0.0)
    for priority in range(10):
        request = demand(priority, 0.1, body_bytes=4_194_304)
        assert reason(load, request, 0.0) is None
        assert load.upload_verdict(request, [], 0.0).reason is None


def test_waits_below_the_way_of_a_retry_refuse_nothing():
    """Guards against refusals whose retry takes longer than the wait."""
    load = RouterLoad()
    load.record_link(30_000, LINK_BYTES_PER_S, 0.0)
    assert reason(load, demand(objective_s=0.05), 0.0) is None


def test_limit_follows_the_objective():
    """Guards against one limit for requests of different urgency."""
    load = RouterLoad()
    load.record_link(300_000, LINK_BYTES_PER_S, 0.0)
    assert reason(load, demand(0, 0.4), 0.0) == 'router full, link'
    assert reason(load, demand(0, 12.0), 0.0) is None
    # Nor is it sent at a time at which its caller has left.
    late = demand(0, 12.0, left_s=0.6)
    assert reason(load, late, 0.0) == 'router full, link'


def test_larger_body_is_refused_first():
    """Guards against small requests that pay for large ones."""
    load = RouterLoad()
    load.record_link(75_000, LINK_BYTES_PER_S, 0.0)
    assert reason(load, demand(body_bytes=BODY_BYTES), 0.0) is not None
    assert reason(load, demand(), 0.0) is None


def test_urgent_request_does_not_wait_for_less_urgent_ones():
    """Guards against urgent requests behind a queue of others."""
    load = RouterLoad()
    load.record_link(0, LINK_BYTES_PER_S, 0.0)
    load.held.add(demand(2).rank, latest_s=1.0, size_bytes=500_000)
    assert reason(load, demand(0), 0.0) is None
    assert reason(load, demand(2, 1.5), 0.0) == 'router full, link'


def test_busy_processor_refuses_less_urgent_requests_first():
    """Guards against a lag that grows until urgent requests are refused."""
    load, now_s = lagging(0.06)
    assert reason(load, demand(2, 12.0), now_s) is None
    assert reason(load, demand(0, 0.4), now_s) is None
    # Now a more urgent request is known.
    assert reason(load, demand(2, 12.0), now_s) == 'router full, processor'
    assert reason(load, demand(0, 0.4), now_s) is None
    # Without further ones, it is forgotten.
    load.record_lag(0.06, now_s + 1.0)
    assert load.lag_s(now_s + 1.0) == 0.06
    assert reason(load, demand(2, 12.0), now_s + 1.0) is None


@pytest.mark.parametrize('pause_s', [0.3, 3.0, 60.0])
def test_pause_of_the_process_is_no_load(pause_s):
    """Guards against a router that refuses requests after a pause."""
    load = busy_router()
    for i in range(3):
        load.record_lag(0.0, now_s=0.05 * i)
    # Before the sample that is due, and after it.
    now_s = 0.15 + pause_s
    assert reason(load, demand(), now_s) is None
    load.record_lag(pause_s, now_s)
    assert reason(load, demand(), now_s) is None
    load.record_lag(0.0, now_s + 0.05)
    assert load.lag_s(now_s + 0.05) == 0.0


def test_pauses_count_for_less_than_a_second():
    """Guards against pauses that are counted in full."""
    load, now_s = lagging(30.0, samples=3)
    assert load.lag_s(now_s) == 1.0
    for i in range(1, 4):
        load.record_lag(0.0, now_s + 0.05 * i)
    assert load.lag_s(now_s + 0.15) == 0.0


def test_stalled_samples_read_as_lag():
    """Guards against a load that delays the samples that would show it."""
    load = busy_router()
    load.record_lag(0.0, now_s=1.0)
    assert reason(load, demand(), 1.3) is None
    assert reason(load, demand(), 1.45) == 'router full, processor'


def test_lag_beside_few_requests_refuses_none():
    """Guards against refusals by an idle router on a busy machine."""
    load, now_s = lagging(0.5)
    assert reason(load, demand(), now_s) is not None
    load.record_ended(0)
    assert reason(load, demand(), now_s) is None


def test_request_that_would_be_late_elsewhere_is_kept():
    """Guards against refusals that help neither caller nor router."""
    load, now_s = lagging(0.06)
    assert reason(load, demand(objective_s=0.2), now_s) is not None
    late = demand(objective_s=0.2, waited_s=0.13)
    assert reason(load, late, now_s) is None


def test_throttling_of_an_idle_process_is_no_load():
    """Guards against refusals by a VM with a share of a core."""
    load = busy_router(cpu_share=0.39)
    for i in range(5):
        load.record_lag(0.06, now_s=0.05 * i)
    assert load.lag_s(0.2) == 0.0


def test_end_of_the_load_is_felt_within_a_second():
    """Guards against refusals after the load, and against alternation."""
    load, now_s = lagging(0.3)
    assert load.is_full(now_s)
    calm_s = now_s
    while load.is_full(calm_s):
        calm_s += 0.05
        load.record_lag(0.0, calm_s)
    assert 0.25 <= calm_s - now_s <= 0.5
    assert reason(load, demand(2), calm_s) is None


def test_bodies_in_progress_stay_within_the_memory():
    """Guards against bodies that use up the memory of a small VM."""
    load = RouterLoad(memory_bytes=160e6)
    admitted = 0
    request = demand(objective_s=12.0, body_bytes=4_000_000)
    while reason(load, request, 0.0) is None:
        load.record_started(request.body_bytes)
        admitted += request.body_bytes
    assert 20e6 <= admitted <= 27e6
    assert reason(load, request, 0.0) == 'router full, memory'
    assert reason(load, demand(body_bytes=800), 0.0) is None
    load.record_ended(request.body_bytes)
    assert reason(load, request, 0.0) is None


def test_used_up_time_is_refused_at_once():
    """Guards against requests that are sent after their callers left."""
    verdict = RouterLoad().verdict(demand(left_s=0.0), 0.0)
    assert verdict.reason == 'time limit reached before a send'


def test_retry_leaves_time_for_its_objective():
    """Guards against retries that come too late at another router."""
    assert demand(objective_s=0.4).retry_after_s(1.0) <= 0.05
    assert demand(objective_s=12.0).retry_after_s(1.0) <= 0.1
    assert demand(objective_s=12.0, left_s=0.3).retry_after_s(1.0) <= 0.1 / 3
    assert demand(objective_s=0.4).retry_after_s(0.0) > 0


def test_upload_behind_others_is_refused_unless_urgent():
    """Guards against bodies that are received and then too late."""
    load = RouterLoad()
    load.record_link(0, LINK_BYTES_PER_S, 0.0)
    others = [UploadProgress(BODY_BYTES, 80_000.0)] * 6
    large = demand(2, 1.0, body_bytes=BODY_BYTES)
    assert load.upload_verdict(large, others, 0.0).reason is not None
    small = demand(0, 0.4, body_bytes=17_000)
    assert load.upload_verdict(small, others, 0.0).reason is None


@pytest.mark.parametrize('rate', [0.0, 10.0])
def test_uploads_of_slow_senders_use_no_link(rate):
    """Guards against crowds that let a router refuse everything."""
    load = RouterLoad()
    load.record_link(0, LINK_BYTES_PER_S, 0.0)
    others = [UploadProgress(4_000_000, rate)] * 200
    request = demand(2, 1.0, body_bytes=BODY_BYTES)
    assert load.upload_verdict(request, others, 0.0).reason is None


def test_unknown_link_has_no_wait():
    """Guards against refusals without limits in the settings."""
    load = RouterLoad()
    load.record_link(10**9, math.inf, 0.0)
    load.record_sent(10**9, 0.0)
    assert load.delay_s(0.0) == 0.0
