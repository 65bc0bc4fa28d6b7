import collections

from basilpond_testkit import engine
from basilpond_testkit import generate_workload
from basilpond_testkit import workload


def test_committed_workload_covers_both_deployments():
    """Guards against a demo that leaves out a kind of request."""
    requests = workload.load()
    assert len(requests) == 300
    kinds = collections.Counter(request.kind for request in requests)
    assert set(kinds) == set(workload.Kind.__args__)
    assert min(kinds.values()) >= 8
    organisations = {request.organisation for request in requests}
    assert len(organisations) == 10
    assert 35_000 < requests[-1].at_ms < 47_000
    assert any(request.abandon_after_tokens for request in requests)
    assert any(request.other_body for request in requests)
    streams = [request.stream for request in requests if request.is_chat]
    assert 0 < sum(streams) < len(streams)


def test_committed_workload_is_what_the_generator_writes():
    """Guards against an edited workload that cannot be made again."""
    assert workload.load() == generate_workload.generate(7)


def test_only_repeats_share_a_body():
    """Guards against audits that take one request for another."""
    bodies = collections.defaultdict(list)
    for request in workload.load():
        method, path, body = request.http()
        if method == 'POST':
            bodies[path, body].append(request)
    for same in bodies.values():
        assert len({request.key for request in same}) == 1
        assert len(same) == 1 or same[0].key


def test_answers_end_within_their_limit():
    """Guards against prompts whose expected answer is always cut off."""
    chats = [request for request in workload.load() if request.is_chat]
    cut = 0
    for request in chats:
        *_, body = request.http()
        _, tokens = engine.expected_usage(body)
        cut += tokens == request.max_tokens
    assert 0 < cut < 0.6 * len(chats)
