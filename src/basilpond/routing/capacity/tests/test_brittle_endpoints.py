"""Room at endpoints that bound the requests that they may reject."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from basilpond.routing import BrittleEndpoints
from basilpond.routing import EndpointRoom

FULL = EndpointRoom(slots=4, own=0, running=4, report_interval_s=0.05)
FREE = dataclasses.replace(FULL, running=0)


def brittle_state(survived=2, router='r-0', routers=1, named_s=0.0):
    state = BrittleEndpoints(router)
    state.set_routers([f'r-{i}' for i in range(routers)], named_s)
    state.record_response(7, survived, sent_s=named_s, now_s=named_s)
    return state


@hypothesis.given(
    routers=st.integers(1, 16),
    running=st.integers(0, 12),
    slots=st.integers(1, 12),
    number=st.integers(0, 50),
)
def test_routers_take_no_more_places_than_are_free(
    routers, running, slots, number
):
    """Guards against routers that all send to the same free place."""
    now_s = 0.1 * number + 0.01
    sent = 0
    for i in range(routers):
        state = brittle_state(router=f'r-{i}', routers=routers)
        # Lately, so that free places are divided.
        state.record_rejection(7, 0, -1.0)
        state._endpoints[7].rejected_s = now_s
        room = EndpointRoom(slots, 0, running, 0.05)
        while not state.wait_s(7, room, now_s):
            state.record_sent(7, room, now_s)
            room = dataclasses.replace(
                room, own=room.own + 1, running=room.running + 1
            )
            sent += 1
    assert sent == max(0, slots - running)


@pytest.mark.parametrize('survived', [0, 1, 3])
def test_no_request_is_sent_once_the_bound_is_used_up(survived):
    """Guards against one rejection more than an endpoint survives."""
    state = brittle_state(survived)
    other = brittle_state(survived, router='r-1')
    for i in range(max(1, survived)):
        source = other if i else state
        source.record_rejection(7, 0, 1.0 + 0.1 * i)
    for rejection in other.pop_news()[1]:
        state.apply_rejection(rejection, rejection.rejected_s + 0.01)
        # A second copy, from another router.
        state.apply_rejection(rejection, rejection.rejected_s + 0.02)
    assert state.recent_rejections(7, 1.4) == max(1, survived)
    assert state.wait_s(7, FREE, 1.4) == pytest.approx(0.6)
    assert not state.wait_s(7, FREE, 2.42)


def test_request_replaces_one_that_ended_until_it_is_idle():
    """Guards against slots that stay unused between two reports."""
    state = brittle_state()
    state.record_sent(7, dataclasses.replace(FULL, running=3), 0.01)
    state.record_end(7, 0.3, 0.5)
    # Reports of others are older than the end.
    assert not state.wait_s(7, FULL, 0.51)
    assert state.wait_s(7, FULL, 0.7)


def test_state_ends_after_responses_without_the_field():
    """Guards against endpoints that stay limited, or are not limited."""
    state = brittle_state(named_s=1.0)
    for _ in range(5):
        # Sent before the field was named.
        state.record_response(7, None, sent_s=0.9, now_s=1.1)
    assert state.bound(7) == 2
    for i in range(3):
        assert state.bound(7) == 2
        state.record_response(7, None, sent_s=2.0 + i, now_s=2.1 + i)
    assert state.bound(7) is None
    assert not state.wait_s(7, FULL, 5.0)
    bounds, _ = state.pop_news()
    other = brittle_state(router='r-1', named_s=1.5)
    other.apply_report(bounds[-1], 5.0)
    assert other.bound(7) is None
