import math

import pytest

from basilpond.routing.capacity import IncomingLink
from basilpond.routing.capacity import RequestDemand
from basilpond.routing.capacity import RouterLoad
from basilpond.routing.capacity import UploadProgress

LINK_BYTES_PER_S = 625_000.0
CONNECT_TIMEOUT_S = 0.4


def receive(link, share, *, until_s, since_s=0.0):
    """Let a share of the bandwidth arrive."""
    for i in range(round((until_s - since_s) / 0.05) + 1):
        now_s = since_s + 0.05 * i
        link.record_received(int(share * LINK_BYTES_PER_S * now_s), now_s)


def full_link(share=0.9, bytes_per_s=LINK_BYTES_PER_S):
    link = IncomingLink(bytes_per_s, 'dc')
    receive(link, share, until_s=1.0)
    return link


def time_out(link, *endpoints, now_s=1.0):
    """Record time-outs; return whether the last is due to the link."""
    for zone, endpoint in endpoints:
        own = link.record_timeout(zone, endpoint, CONNECT_TIMEOUT_S, now_s)
    return own


@pytest.mark.parametrize(
    ('endpoints', 'expected'),
    [
        ((('dc', 'a'), ('far', 'b')), True),
        ((('dc', 'a'), ('dc', 'b')), True),
        ((('far', 'a'), ('other', 'b')), True),
        # A data centre that is cut off, or an endpoint that is down.
        ((('far', 'a'), ('far', 'b'), ('far', 'c')), False),
        ((('dc', 'a'), ('dc', 'a')), False),
    ],
)
def test_time_outs_in_several_places_show_a_full_link(endpoints, expected):
    """Guards against ejections of sound endpoints by a full router."""
    assert time_out(full_link(), *endpoints) is expected


@pytest.mark.parametrize(
    'link', [full_link(0.7), full_link(bytes_per_s=math.inf)]
)
def test_link_with_room_is_never_the_cause(link):
    """Guards against a cut router that blames its own link."""
    assert not time_out(link, ('dc', 'a'), ('far', 'b'), ('dc', 'c'))
    assert link.wait_s(1.0) == 0.0


def test_quick_connection_acquits_the_link():
    """Guards against cut data centres that stay in use beside a busy link."""
    link = full_link()
    link.record_connected(0.01, 0.9)
    assert not time_out(link, ('far', 'a'), ('other', 'b'))
    assert not time_out(link, ('far', 'c'), ('other', 'd'))
    # A slow connection waited, too.
    link = full_link()
    link.record_connected(0.3, 0.9)
    assert time_out(link, ('far', 'a'), ('other', 'b'))


def test_known_failures_are_no_evidence():
    """Guards against endpoints that are down and count as a full link."""
    link = full_link()
    for i in range(4):
        assert not link.record_timeout(
            'dc', f'{i}', CONNECT_TIMEOUT_S, 1.0, known=True
        )
    assert time_out(link, ('dc', 'a'), ('far', 'b'))
    assert link.record_timeout('dc', 'a', CONNECT_TIMEOUT_S, 1.0, known=True)


def test_signal_ends_with_the_load():
    """Guards against a router that refuses after the load."""
    link = full_link()
    assert time_out(link, ('dc', 'a'), ('far', 'b'))
    assert link.is_full(1.5)
    # Evidence of the past, bytes that no longer arrive, or a quick connection.
    assert not link.is_full(2.01)
    link = full_link()
    time_out(link, ('dc', 'a'), ('far', 'b'))
    total = int(0.9 * LINK_BYTES_PER_S)
    for i in range(1, 5):
        link.record_received(total, 1.0 + 0.05 * i)
    assert not link.is_full(1.2)
    link = full_link()
    time_out(link, ('dc', 'a'), ('far', 'b'))
    link.record_connected(0.01, 1.1)
    assert not link.is_full(1.1)


def test_full_incoming_link_refuses_what_would_time_out():
    """Guards against requests that wait for connections until they are late.

    On one day, 804 of 1,265 sends of one router failed so.
    """
    link = full_link()
    load = RouterLoad(incoming=link)
    load.record_link(0, LINK_BYTES_PER_S, 0.0)
    urgent = RequestDemand(0, 0.4, 0.0, 4.0, 800)
    bulk = RequestDemand(2, 1.5, 0.0, 4.0, 72_000)
    assert load.verdict(bulk, 1.0).reason is None
    time_out(link, ('dc', 'a'), ('far', 'b'))
    for demand in (urgent, bulk):
        verdict = load.verdict(demand, 1.0)
        assert verdict.reason == 'router full, incoming link'
    others = [UploadProgress(10, 1.0)]
    verdict = load.upload_verdict(bulk, others, 1.0)
    assert verdict.reason == 'router full, incoming link'
    assert load.is_full(1.0)
    # If half of the connections are opened, there is time for another try,
    # unless more urgent requests have lately arrived.
    for _ in range(2):
        link.record_connected(0.3, 1.0)
    assert load.verdict(bulk, 1.0).reason is not None
    alone = RouterLoad(incoming=link)
    alone.record_link(0, LINK_BYTES_PER_S, 0.0)
    assert alone.verdict(bulk, 1.0).reason is None
