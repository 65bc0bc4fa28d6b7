"""Quiet times of endpoints and the order of requests that wait for them."""

import random

import pytest

from basilpond.routing import MAX_QUIET_S
from basilpond.routing import QuietEndpoints
from basilpond.routing import ReturnQueue
from basilpond.routing import return_retry_s


def test_quiet_time_ends_at_its_bound():
    """Guards against a sound endpoint that is out of use for days."""
    quiet = QuietEndpoints()
    assert quiet.record_refusal(7, 3 * 86_400.0, now_s=10.0)
    assert quiet.is_quiet(7, 10.0 + MAX_QUIET_S - 0.1)
    assert quiet.is_open(7, 10.0 + MAX_QUIET_S)


def test_endpoint_that_means_a_long_time_gets_two_requests_a_minute():
    """Guards against a bound after which all requests arrive at once."""
    quiet = QuietEndpoints()
    sent = []
    for step in range(6_000):
        now_s = step / 100
        if quiet.is_open(7, now_s):
            sent.append(now_s)
            quiet.record_sent(7, now_s)
            quiet.record_refusal(7, 3_600.0, now_s=now_s)
    assert len(sent) == 2


def test_response_to_an_earlier_request_does_not_end_a_quiet_time():
    """Guards against answers that overtake each other."""
    quiet = QuietEndpoints()
    quiet.record_refusal(7, 2.0, now_s=1.0)
    assert not quiet.record_response(7, sent_s=0.9)
    assert quiet.is_quiet(7, 2.9)
    # A later answer that names a shorter time does not end it, either.
    assert not quiet.record_refusal(7, 0.1, now_s=1.1)
    assert quiet.is_quiet(7, 2.9)
    assert not quiet.record_refusal(7, 0.0, now_s=1.2)
    assert quiet.is_quiet(7, 2.9)


def test_one_request_tries_an_endpoint_after_its_quiet_time():
    """Guards against all that waited arriving at an endpoint at once."""
    quiet = QuietEndpoints()
    quiet.record_refusal(7, 2.0, now_s=0.0)
    quiet.record_sent(7, 2.0)
    assert not quiet.is_open(7, 2.1) and not quiet.is_quiet(7, 2.1)
    # A trial without an answer is repeated.
    assert quiet.is_open(7, 2.6)
    quiet.record_sent(7, 2.6)
    assert quiet.record_response(7, sent_s=2.6)
    assert quiet.is_open(7, 2.7) and quiet.is_empty


def test_next_start_of_an_endpoint_is_not_quiet():
    """Guards against the quiet time of a process that is gone."""
    quiet = QuietEndpoints()
    quiet.record_refusal(7, 2.0, now_s=0.0)
    assert quiet.is_open(8, 0.1)
    assert quiet.count(0.1) == 1 and quiet.count(2.1) == 0


def test_quiet_times_of_gone_endpoints_are_dropped():
    """Guards against state that grows with each endpoint."""
    quiet = QuietEndpoints()
    for i in range(10_000):
        quiet.record_refusal(i, 0.1, now_s=float(i))
    assert len(quiet._times) < 100


@pytest.mark.parametrize('quiet_s', [0.5, 2.0, 10.0])
def test_refused_callers_return_spread_over_time(quiet_s):
    """Guards against callers that overload the endpoint together.

    Callers that arrive during a quiet time return at about their usual rate,
    after its end.
    """
    rng = random.Random(1)
    callers = 20_000
    returns = []
    for i in range(callers):
        at_s = quiet_s * i / callers
        retry_s = return_retry_s(quiet_s - at_s, quiet_s, 600.0, rng.random())
        returns.append(at_s + retry_s)
    assert min(returns) >= quiet_s
    tenth_s = quiet_s / 10
    for i in range(20):
        start_s = quiet_s + i * tenth_s
        count = sum(start_s <= at_s < start_s + tenth_s for at_s in returns)
        assert count <= 1.3 * callers / 10


def test_caller_with_little_time_returns_within_it():
    """Guards against a retry time after the caller's time limit."""
    assert return_retry_s(0.5, 10.0, 3.0, 1.0) == 1.0
    assert return_retry_s(0.5, 10.0, 3.0, 0.0) == 0.5
    # Never before the endpoint.
    assert return_retry_s(2.0, 10.0, 3.0, 0.0) == 2.0


def test_requests_wait_in_the_order_of_priority_and_time_left():
    """Guards against urgent requests behind others."""
    queue = ReturnQueue()
    added = [
        queue.add(priority, latest_s=latest_s, capacity=9)
        for priority, latest_s in [(2, 1.0), (0, 3.0), (1, 2.0), (0, 2.0)]
    ]
    order = []
    while len(queue):
        order += [r for r in added if queue.is_first(r)]
        queue.remove(order[-1])
    assert [(r.priority, r.latest_s) for r in order] == [
        (0, 2.0),
        (0, 3.0),
        (1, 2.0),
        (2, 1.0),
    ]


def test_no_more_requests_wait_than_the_endpoints_take():
    """Guards against requests that wait in vain until their time is over."""
    queue = ReturnQueue()
    low = [queue.add(5, latest_s=1.0 + i, capacity=3) for i in range(3)]
    assert queue.add(5, latest_s=9.0, capacity=3) is None
    assert queue.add(1, latest_s=9.0, capacity=3) is not None
    assert [request.displaced for request in low] == [False, False, True]
    assert len(queue) == 3
    # One may always wait.
    assert ReturnQueue().add(5, latest_s=1.0, capacity=0) is not None
