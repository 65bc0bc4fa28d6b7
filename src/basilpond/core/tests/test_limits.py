from hypothesis import given
from hypothesis import strategies as st
import pytest

from basilpond.core._adaptive_limit import AdaptiveLimit
from basilpond.core._codes import ResultCode
from basilpond.core._request_queue import QueuedRequest
from basilpond.core._request_queue import RequestQueue
from basilpond.core._retry_budget import RetryBudget


@given(
    st.lists(
        st.tuples(st.floats(0, 100), st.integers(0, 200), st.booleans()),
        max_size=200,
    )
)
def test_limit_stays_in_range(samples):
    """Guards against a limit of zero, which would never recover."""
    limit = AdaptiveLimit(initial=8, floor=2, ceiling=64)
    for now_s, (latency_s, in_flight, failed) in enumerate(samples):
        if failed:
            limit.record_failure(now_s)
        else:
            limit.record_first_byte(latency_s, in_flight, now_s)
        assert 2 <= limit.limit <= 64


def test_limit_follows_queueing_delay():
    """Guards against a limit that lets an endpoint's own queue grow."""
    limit = AdaptiveLimit(initial=32, floor=2, ceiling=512)
    capacity = 20
    for step in range(3000):
        in_flight = limit.limit
        latency_s = 0.1 * max(1.0, in_flight / capacity)
        limit.record_first_byte(latency_s, in_flight, step * 0.01)
    assert capacity <= limit.limit <= 4 * capacity


def test_burst_of_failures_halves_once():
    """Guards against one event that closes an endpoint."""
    limit = AdaptiveLimit(initial=32)
    for _ in range(10):
        limit.record_failure(5.0)
    assert limit.limit == 16
    limit.record_failure(7.0)
    assert limit.limit == 8


def test_idle_endpoint_does_not_grow():
    """Guards against a limit that no load has tested."""
    limit = AdaptiveLimit(initial=32)
    for step in range(100):
        limit.record_first_byte(0.1, 1, step)
    assert limit.limit == 32


@pytest.mark.parametrize('floor', [0, 9])
def test_limit_rejects_range(floor):
    """Guards against settings under which nothing may run."""
    with pytest.raises(ValueError, match='floor'):
        AdaptiveLimit(initial=8, floor=floor)


def waiting(item, organisation='a', priority=5, deadline_s=100.0):
    return QueuedRequest(item, organisation, priority, deadline_s)


def test_queue_order():
    """Guards against urgent requests behind others."""
    queue = RequestQueue(max_size=10)
    queue.push(waiting(1, priority=5, deadline_s=50), 0)
    queue.push(waiting(2, priority=5, deadline_s=20), 0)
    queue.push(waiting(3, priority=1, deadline_s=90), 0)
    assert [queue.pop(1).item for _ in range(3)] == [3, 2, 1]
    assert queue.pop(1) is None


def test_queue_drops_expired():
    """Guards against work for a caller that gave up."""
    queue = RequestQueue(max_size=10)
    queue.push(waiting(1, deadline_s=2), 0)
    queue.push(waiting(2, deadline_s=9), 0)
    assert queue.pop(3).item == 2
    assert [entry.item for entry in queue.pop_expired(3)] == [1]
    assert queue.pop_expired(3) == []


def test_queue_refuses_unreachable_deadline():
    """Guards against waiting for a start that cannot come in time."""
    queue = RequestQueue(max_size=100)
    for item in range(40):
        queue.push(waiting(item), 0)
    for step in range(20):
        queue.pop(1 + step * 0.1)
    rate = queue.service_rate(3)
    assert 5 < rate < 10
    late = queue.push(waiting('x', deadline_s=5, priority=9), 3)
    assert late.refusal == ResultCode.DEADLINE_UNREACHABLE
    first = queue.push(waiting('y', deadline_s=5, priority=0), 3)
    assert first.refusal is None
    assert queue.push(waiting('z'), 3).refusal is None


def test_idle_time_does_not_lower_the_service_rate():
    """Guards against false refusals after a quiet period."""
    queue = RequestQueue(max_size=100)
    for step in range(50):
        queue.push(waiting(step), step * 0.1)
        queue.push(waiting(step), step * 0.1)
        queue.pop(step * 0.1 + 0.05)
        queue.pop(step * 0.1 + 0.1)
    queue.push(waiting('a', deadline_s=601), 600)
    assert queue.push(waiting('b', deadline_s=601), 600).refusal is None


def test_large_organisation_cannot_fill_the_queue():
    """Guards against false refusals of small organisations."""
    queue = RequestQueue(max_size=10)
    for item in range(10):
        assert queue.push(waiting(item, 'large'), 0).refusal is None
    full = queue.push(waiting('x', 'large'), 0)
    assert full.refusal == ResultCode.QUEUE_FULL
    for item in range(5):
        admission = queue.push(waiting(item, 'small'), 0)
        assert admission.evicted.organisation == 'large'
        assert admission.evicted.item == 9 - item
    full = queue.push(waiting('x', 'small'), 0)
    assert full.refusal == ResultCode.QUEUE_FULL


@given(
    st.lists(
        st.tuples(
            st.sampled_from('abc'),
            st.integers(0, 3),
            st.floats(0, 30),
            st.booleans(),
        ),
        max_size=60,
    )
)
def test_every_request_leaves_the_queue_once(steps):
    """Guards against a caller that never gets a result."""
    queue = RequestQueue(max_size=5)
    queued, left = [], []
    for now_s, (organisation, priority, wait_s, pop) in enumerate(steps):
        entry = waiting(now_s, organisation, priority, now_s + wait_s)
        admission = queue.push(entry, now_s)
        if admission.refusal is None:
            queued.append(entry.item)
        if admission.evicted is not None:
            left.append(admission.evicted.item)
        if pop and (taken := queue.pop(now_s)) is not None:
            assert taken.deadline_s > now_s
            left.append(taken.item)
        left += [w.item for w in queue.pop_expired(now_s)]
        assert len(queue) <= 5
    left += [w.item for w in queue.pop_expired(1000)]
    assert sorted(left) == queued


@pytest.mark.parametrize('rate', [5, 20, 100, 1000])
def test_retry_amplification_in_outage(rate):
    """Guards against retries that keep an endpoint down."""
    budget = RetryBudget()
    requests, attempts = rate * 60, 0
    for number in range(requests):
        budget.record_request()
        while True:
            attempts += 1
            budget.record_result(failed=True)
            if not budget.try_retry(number / rate):
                break
    # One retry may be saved from before the outage.
    assert attempts <= 1.2 * requests + 1


@pytest.mark.parametrize('rate', [5, 100])
def test_sparse_failures_are_retried(rate):
    """Guards against false failures when a single endpoint fails."""
    budget = RetryBudget()
    refused = 0
    for number in range(1000):
        budget.record_request()
        failed = number % 20 == 0
        budget.record_result(failed=failed)
        refused += failed and not budget.try_retry(number / rate)
    assert refused == 0
