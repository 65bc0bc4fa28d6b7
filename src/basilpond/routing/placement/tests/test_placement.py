import dataclasses
import random

import pytest

from basilpond.routing import Endpoint
from basilpond.routing import EndpointLoad
from basilpond.routing import PeerReport
from basilpond.routing import PromptPart
from basilpond.routing import Reachability
from basilpond.routing import choose_endpoint
from basilpond.routing import long_prompt_endpoints
from basilpond.routing import prompt_prefixes
from basilpond.routing import sample_loads

SHARED = (PromptPart(1, 500), PromptPart(2, 4_900))


def make_loads(count, slots=64):
    return [
        EndpointLoad(
            Endpoint(
                f'e{i}', None, 's', '10.0.0.1', 80, 'dc', slots, False, 0.0
            ),
            10.0,
        )
        for i in range(count)
    ]


def choose(loads, tokens, *, parts=(), now_s=0.0, seed=1, lone_versions=()):
    return choose_endpoint(
        loads,
        prompt_tokens=tokens,
        prefixes=prompt_prefixes(parts),
        data_centre='dc',
        reachability=Reachability(),
        now_s=now_s,
        rng=random.Random(seed),
        lone_versions=lone_versions,
    )


def place_request(loads, tokens, **kwargs):
    """Choose an endpoint and add the request to it."""
    choice = choose(loads, tokens, **kwargs)
    return choice, choice.load.add_request(
        choice.prefill_cost, kwargs.get('now_s', 0.0)
    )


def test_burst_of_prompts_spreads():
    """Replays a burst of nine prompts in one millisecond at one router.

    Placed by stale reports alone, all went to the endpoint with the lowest
    reported load.
    """
    loads = make_loads(9)
    chosen = {
        place_request(loads, 8_000)[0].load.endpoint.id for _ in range(9)
    }
    assert len(chosen) == 9


def test_wait_counts_tokens_not_requests():
    """Guards against a short prompt that waits for one of 50,000 tokens."""
    loads = make_loads(2)
    loads[0].add_request(50_000, 0.0)
    for _ in range(5):
        loads[1].add_request(300, 0.0)
    assert choose(loads, 800).load is loads[1]


def test_first_event_ends_the_wait_of_a_prompt():
    """Guards against endpoints that count as stalled while they stream.

    Each prompt counted as prefilling until its stream had ended, so every
    endpoint appeared stalled after some seconds.
    """
    (load,) = make_loads(1)
    in_flight = load.add_request(50_000, 0.0)
    load.record_first_byte(in_flight, 0.5)
    assert load.pending_prefill_cost == 0
    assert load.stalled_s(5.0) == 0
    assert load.running == 1
    load.remove_request(in_flight)
    assert load.running == 0


def test_shared_parts_are_read_once():
    """Guards against a repeated prefill of a part cached at another endpoint.

    That endpoint has a little more load than the others.
    """
    loads = make_loads(4)
    parts = (*SHARED, PromptPart(99, 600))
    for key, _ in prompt_prefixes(parts):
        loads[2].cache.touch(key, 0.0)
    loads[2].add_request(1_000, 0.0)
    choice = choose(loads, 6_000, parts=parts)
    assert choice.load is loads[2]
    assert choice.cached_tokens == 5_400


def test_unshared_part_never_counts_as_cached():
    """Guards against a retried request that appears to need no prefill."""
    loads = make_loads(1)
    parts = (*SHARED, PromptPart(99, 600))
    for key, _ in prompt_prefixes(parts):
        loads[0].cache.touch(key, 0.0)
    assert choose(loads, 6_000, parts=parts).cached_tokens == 5_400


def test_long_wait_outweighs_a_cached_part():
    """Guards against overload of the endpoint that caches a popular part."""
    loads = make_loads(4)
    parts = (*SHARED, PromptPart(99, 600))
    for key, _ in prompt_prefixes(parts):
        loads[2].cache.touch(key, 0.0)
    loads[2].add_request(60_000, 0.0)
    assert choose(loads, 6_000, parts=parts).load is not loads[2]


def test_long_prompt_avoids_streams():
    """Replays a prompt of 46,000 tokens with twenty streams per endpoint.

    Its prefill paused each stream at its endpoint for more than 300 ms.
    """
    loads = make_loads(3)
    for load in loads[:2]:
        for _ in range(20):
            load.record_first_byte(load.add_request(500, 0.0), 0.05)
    loads[2].add_request(20_000, 0.0)
    assert choose(loads, 46_000).load is loads[2]


def test_streams_avoid_endpoints_for_long_prompts():
    """Guards against streams at endpoints that prefill long prompts."""
    loads = make_loads(3)
    loads[0].for_long_prompts = True
    loads[1].add_request(2_000, 0.0)
    loads[2].add_request(2_000, 0.0)
    assert choose(loads, 800).load is not loads[0]


def test_stream_begins_where_another_endpoint_can_continue_it():
    """Replays a release: one endpoint of each end of it, and two between."""
    loads = make_loads(4)
    for load, version in zip(loads, ('v1', 'v2', 'v2', 'v3'), strict=True):
        load.endpoint = dataclasses.replace(load.endpoint, version=version)
    lone = {'v1', 'v3'}
    for seed in range(20):
        choice = choose(loads, 800, seed=seed, lone_versions=lone)
        assert choice.load in loads[1:3]
    # A wait outweighs it.
    for load in loads[1:3]:
        load.add_request(8_000, 0.0)
    choice = choose(loads, 800, lone_versions=lone)
    assert choice.load in (loads[0], loads[3])


def test_stalled_endpoint_is_avoided():
    """Replays an endpoint that stops responding with requests in flight."""
    loads = make_loads(2)
    loads[0].add_request(800, 0.0)
    for _ in range(4):
        loads[1].add_request(5_000, 2.0)
    assert choose(loads, 800, now_s=2.0).load is loads[1]


def test_failing_endpoint_is_avoided_and_selected_again():
    """Replays an endpoint that fails requests while its status is good."""
    loads = make_loads(2)
    for _ in range(10):
        loads[0].record_result(failed=True, now_s=0.0)
    assert choose(loads, 0, now_s=0.1).load is loads[1]
    assert loads[0].failure_share(60.0) < 0.001


def test_ejection_grows_and_ends_with_a_success():
    """Guards against an unreachable address that is tried for each request."""
    (load,) = make_loads(1)
    first_s = load.eject(0.0)
    assert load.is_ejected(first_s / 2)
    assert load.eject(0.0) == 2 * first_s
    load.record_result(failed=False, now_s=0.1)
    assert not load.is_ejected(0.1)


def test_only_ejected_endpoints_are_still_used():
    """Guards against a refusal while a connection may succeed again."""
    loads = make_loads(1)
    loads[0].eject(0.0)
    assert choose(loads, 0).load is loads[0]


def test_reports_of_other_routers_count_and_expire():
    """Guards against load reported by a router that has stopped."""
    loads = make_loads(2)
    loads[0].apply_report('r1', PeerReport(3, 40_000, 0.0))
    loads[0].apply_report('r1', PeerReport(2, 30_000, 0.1))
    assert (loads[0].running, loads[0].pending_prefill_cost) == (2, 30_000)
    assert choose(loads, 800).load is loads[1]
    loads[0].expire_reports(60.0)
    assert (loads[0].running, loads[0].pending_prefill_cost) == (0, 0)


def test_full_endpoint_is_worse_than_a_busy_one():
    """Guards against a queue at one endpoint while another has a free slot."""
    loads = make_loads(2, slots=4)
    for _ in range(4):
        loads[0].add_request(0, 0.0)
    for _ in range(3):
        loads[1].add_request(0, 0.0)
    assert choose(loads, 0).load is loads[1]


@pytest.mark.parametrize('count', [3, 6, 9, 70])
def test_selection_for_long_prompts_is_stable(count):
    """Guards against routers that select different endpoints."""
    ids = [f'i-{i}' for i in range(count)]
    chosen = long_prompt_endpoints(ids)
    assert chosen == long_prompt_endpoints(reversed(ids))
    assert 0.2 * count <= len(chosen) <= 0.4 * count


def test_sample_includes_endpoints_that_cache_the_prompt():
    """Guards against cached parts not considered among many endpoints."""
    loads = make_loads(100)
    prefixes = prompt_prefixes((*SHARED, PromptPart(99, 600)))
    loads[57].cache.touch(prefixes[-2][0], 0.0)
    sample = sample_loads(loads, prefixes, random.Random(1), 0.0)
    assert loads[57] in sample
    assert len(sample) <= 17
