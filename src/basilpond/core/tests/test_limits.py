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
    """Guards against a limit of zero, from which it could not recover."""
    limit = AdaptiveLimit(initial=8, floor=2, ceiling=64)
    for now_s, (latency_s, in_flight, failed) in enumerate(samples):
        if failed:
            limit.record_failure(now_s)
        else:
            limit.record_first_byte(latency_s, in_flight, now_s)
        assert 2 <= limit.limit <= 64


def test_limit_follows_queueing_delay():
    """Guards against a limit that lets the queue in an endpoint grow."""
    limit = AdaptiveLimit(initial=32, floor=2, ceiling=512)
    capacity = 20
    for step in range(3000):
        in_flight = limit.limit
        latency_s = 0.1 * max(1.0, in_flight / capacity)
        limit.record_first_byte(latency_s, in_flight, step * 0.01)
    assert capacity <= limit.limit <= 4 * capacity


def test_burst_of_failures_halves_once():
    """Guards against one incident that reduces the limit several times."""
    limit = AdaptiveLimit(initial=32)
    for _ in range(10):
        limit.record_failure(5.0)
    assert limit.limit == 16
    limit.record_failure(7.0)
    assert limit.limit == 8


def test_limit_of_idle_endpoint_does_not_grow():
    """Guards against a limit that grows beyond the tested load."""
    limit = AdaptiveLimit(initial=32)
    for step in range(100):
        limit.record_first_byte(0.1, 1, step)
    assert limit.limit == 32


@pytest.mark.parametrize('floor', [0, 9])
def test_limit_rejects_invalid_range(floor):
    """Guards against settings that allow no request."""
    with pytest.raises(ValueError, match='floor'):
        AdaptiveLimit(initial=8, floor=floor)


def make_request(item, organisation='a', priority=5, deadline_s=100.0):
    return QueuedRequest(item, organisation, priority, deadline_s)


def test_queue_order():
    """Guards against urgent requests queued behind others."""
    queue = RequestQueue(max_size=10)
    queue.push(make_request(1, priority=5, deadline_s=50), 0)
    queue.push(make_request(2, priority=5, deadline_s=20), 0)
    queue.push(make_request(3, priority=1, deadline_s=90), 0)
    assert [queue.pop(1).item for _ in range(3)] == [3, 2, 1]
    assert queue.pop(1) is None


def test_queue_drops_expired():
    """Guards against running requests whose callers have timed out."""
    queue = RequestQueue(max_size=10)
    queue.push(make_request(1, deadline_s=2), 0)
    queue.push(make_request(2, deadline_s=9), 0)
    assert queue.pop(3).item == 2
    assert [entry.item for entry in queue.pop_expired(3)] == [1]
    assert queue.pop_expired(3) == []


def test_queue_refuses_unreachable_deadline():
    """Guards against queueing requests that cannot start in time."""
    queue = RequestQueue(max_size=100)
    for item in range(40):
        queue.push(make_request(item), 0)
    for step in range(20):
        queue.pop(1 + step * 0.1)
    rate = queue.service_rate(3)
    assert 5 < rate < 10
    late = queue.push(make_request('x', deadline_s=5, priority=9), 3)
    assert late.refusal == ResultCode.DEADLINE_UNREACHABLE
    first = queue.push(make_request('y', deadline_s=5, priority=0), 3)
    assert first.refusal is None
    assert queue.push(make_request('z'), 3).refusal is None


def test_idle_time_does_not_lower_the_service_rate():
    """Guards against false refusals after an idle period."""
    queue = RequestQueue(max_size=100)
    for step in range(50):
        queue.push(make_request(step), step * 0.1)
        queue.push(make_request(step), step * 0.1)
        queue.pop(step * 0.1 + 0.05)
        queue.pop(step * 0.1 + 0.1)
    queue.push(make_request('a', deadline_s=601), 600)
    assert queue.push(make_request('b', deadline_s=601), 600).refusal is None


def test_large_organisation_cannot_fill_the_queue():
    """Guards against false refusals of small organisations."""
    queue = RequestQueue(max_size=10)
    for item in range(10):
        assert queue.push(make_request(item, 'large'), 0).refusal is None
    full = queue.push(make_request('x', 'large'), 0)
    assert full.refusal == ResultCode.QUEUE_FULL
    for item in range(5):
        admission = queue.push(make_request(item, 'small'), 0)
        assert admission.evicted.organisation == 'large'
        assert admission.evicted.item == 9 - item
    full = queue.push(make_request('x', 'small'), 0)
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
    queued, removed = [], []
    for now_s, (organisation, priority, wait_s, pop) in enumerate(steps):
        entry = make_request(now_s, organisation, priority, now_s + wait_s)
        admission = queue.push(entry, now_s)
        if admission.refusal is None:
            queued.append(entry.item)
        if admission.evicted is not None:
            removed.append(admission.evicted.item)
        if pop and (popped := queue.pop(now_s)) is not None:
            assert popped.deadline_s > now_s
            removed.append(popped.item)
        removed += [w.item for w in queue.pop_expired(now_s)]
        assert len(queue) <= 5
    removed += [w.item for w in queue.pop_expired(1000)]
    assert sorted(removed) == queued


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
    # The budget may hold one retry from before the outage.
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
