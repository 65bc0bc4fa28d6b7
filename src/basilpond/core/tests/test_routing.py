from collections import Counter
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from basilpond.core import _manifest
from basilpond.core import _prefix_affinity
from basilpond.core import _routing
from basilpond.core._routing import AttemptResult
from basilpond.core._routing import LeavingSource

QUERY = _routing.RouteQuery('org', model='m')


def endpoint(number, data_centre='dc1', **changes):
    fields = {
        'id': f'e{number}',
        'data_centre': data_centre,
        'url': f'http://10.0.0.{number}:80',
        'models': ['m'],
    }
    return _manifest.Endpoint(**{**fields, **changes})


def manifest(endpoints, reachable=None):
    return _manifest.Manifest(
        organisations=[
            _manifest.Organisation(
                id='org',
                key_sha256=['0' * 64],
                top_ups=[],
                endpoints=reachable or [e.id for e in endpoints],
            )
        ],
        models=[_manifest.Model(id='m')],
        endpoints=endpoints,
    )


def table(endpoints, seed=1, **options):
    made = _routing.EndpointTable('dc1', random.Random(seed))
    made.set_manifest(manifest(endpoints, **options))
    return made


def choices(made, query=QUERY, now_s=0.0, times=200):
    return Counter(made.choose(query, now_s) for _ in range(times))


def eject(made, name, now_s=0.0):
    for _ in range(5):
        made.start_attempt(name, now_s)
        made.finish_attempt(name, AttemptResult.FAILED, now_s)


def test_only_reachable_endpoints_of_the_model():
    """Guards against a request on an endpoint of another customer."""
    made = table(
        [
            endpoint(1),
            endpoint(2),
            endpoint(3, models=['other']),
            endpoint(4, models=[], service='m'),
        ],
        reachable=['e1', 'e3', 'e4'],
    )
    assert set(choices(made)) == {'e1'}
    assert made.choose(_routing.RouteQuery('nobody', model='m'), 0) is None
    service = _routing.RouteQuery('org', service='m')
    assert made.choose(service, 0) == 'e4'


def test_excluded_endpoints_are_not_used_again():
    """Guards against a retry on the endpoint that just failed."""
    made = table([endpoint(1), endpoint(2)])
    retry = _routing.RouteQuery('org', model='m', exclude=frozenset({'e1'}))
    assert set(choices(made, retry)) == {'e2'}
    both = _routing.RouteQuery(
        'org', model='m', exclude=frozenset({'e1', 'e2'})
    )
    assert made.choose(both, 0) is None


@pytest.mark.parametrize('source', list(LeavingSource))
def test_first_leaving_signal_counts(source):
    """Guards against new work on an endpoint that is leaving."""
    made = table([endpoint(1), endpoint(2)])
    assert made.set_leaving('e1', source, True, 0)
    assert not made.set_leaving('e1', LeavingSource.VM_LIST, True, 0)
    assert set(choices(made)) == {'e2'}
    for each in LeavingSource:
        made.set_leaving('e1', each, False, 1)
    assert set(choices(made, now_s=1)) == {'e1', 'e2'}


def test_peer_notice_lapses():
    """Guards against an old notice that keeps a returned endpoint idle."""
    made = table([endpoint(1), endpoint(2)])
    made.set_leaving('e1', LeavingSource.PEER, True, 0)
    assert set(choices(made, now_s=59)) == {'e2'}
    assert set(choices(made, now_s=61)) == {'e1', 'e2'}


def test_drained_in_the_manifest():
    """Guards against work on an endpoint that an operator drains."""
    made = table([endpoint(1), endpoint(2, drain=True)])
    assert set(choices(made)) == {'e1'}


def test_load_report_with_leaving():
    """Guards against a leaving signal that only the endpoint gives."""
    made = table([endpoint(1), endpoint(2)])
    made.report_load('e1', _routing.EndpointLoad(0, 0, leaving=True), 0)
    assert set(choices(made)) == {'e2'}


def test_own_data_centre_first():
    """Guards against needless latency between data centres."""
    made = table([endpoint(1), endpoint(2, 'dc2'), endpoint(3, 'dc2')])
    assert set(choices(made)) == {'e1'}
    for _ in range(10):
        made.start_attempt('e1', 0)
    assert set(choices(made)) >= {'e2', 'e3'}


def test_other_data_centre_when_local_is_ejected():
    """Guards against ejected endpoints while others are healthy."""
    made = table([endpoint(1), endpoint(2, 'dc2'), endpoint(3, 'dc2')])
    eject(made, 'e1')
    assert set(choices(made)) == {'e2', 'e3'}


def test_ejection_never_leaves_an_organisation_without_endpoints():
    """Guards against refusals caused by ejection alone."""
    made = table([endpoint(1), endpoint(2)], reachable=['e1'])
    eject(made, 'e1')
    assert set(choices(made)) == {'e1'}


def test_limit_closes_an_endpoint():
    """Guards against work beyond the concurrency limit."""
    made = table([endpoint(1)])
    for _ in range(made.limit('e1')):
        assert made.choose(QUERY, 0) == 'e1'
        made.start_attempt('e1', 0)
    assert made.choose(QUERY, 0) is None
    made.finish_attempt('e1', AttemptResult.COMPLETE, 0)
    assert made.choose(QUERY, 0) == 'e1'


def test_quarantined_endpoint_gets_little_after_readmission():
    """Guards against full traffic to an endpoint that failed its checks."""
    made = table([endpoint(1), endpoint(2)])
    for _ in range(2):
        made.start_attempt('e1', 0)
        made.finish_attempt('e1', AttemptResult.INVALID, 0)
    assert set(choices(made)) == {'e2'}
    for _ in range(3):
        made.quarantine.record_probe('e1', passed=True, now_s=5)
    assert choices(made, now_s=5, times=1000)['e1'] < 100


def test_old_load_reports_lose_weight():
    """Guards against a late report that misroutes all requests."""
    made = table([endpoint(1), endpoint(2)])
    made.report_load('e1', _routing.EndpointLoad(20, 0), 0)
    made.start_attempt('e2', 0)
    assert set(choices(made, now_s=0)) == {'e2'}
    assert set(choices(made, now_s=30)) == {'e1'}


def test_least_loaded_does_not_get_everything():
    """Guards against all routers choosing one endpoint of a late report."""
    made = table([endpoint(number) for number in range(1, 10)])
    for number in range(2, 10):
        made.report_load(f'e{number}', _routing.EndpointLoad(3, 0), 0)
    assert choices(made, times=900)['e1'] < 300


def test_manifest_change_keeps_history():
    """Guards against a patch of the manifest that resets ejections."""
    made = table([endpoint(1), endpoint(2)])
    eject(made, 'e1')
    made.start_attempt('e2', 0)
    made.set_manifest(manifest([endpoint(1), endpoint(2), endpoint(3)]))
    assert 'e1' not in choices(made)
    assert made.in_flight('e2') == 1
    moved = endpoint(1, url='http://10.0.0.9:80')
    made.set_manifest(manifest([moved, endpoint(2)]))
    assert 'e1' in choices(made)
    made.set_manifest(manifest([endpoint(2)]))
    made.finish_attempt('e1', AttemptResult.FAILED, 0)
    assert set(choices(made)) == {'e2'}


@given(
    st.integers(0, 1000),
    st.lists(
        st.tuples(
            st.integers(1, 6), st.sampled_from(AttemptResult), st.floats(0, 9)
        ),
        max_size=60,
    ),
)
def test_choice_is_deterministic_and_valid(seed, steps):
    """Guards against a choice that a replay cannot explain."""
    tables = [
        table(
            [endpoint(n, f'dc{n % 2}') for n in range(1, 7)],
            seed,
            reachable=['e1', 'e2', 'e3', 'e4', 'e5'],
        )
        for _ in range(2)
    ]
    now_s = 0.0
    query = _routing.RouteQuery(
        'org', model='m', prefix_digests=(1, 2), exclude=frozenset({'e5'})
    )
    for number, result, pause_s in steps:
        now_s += pause_s
        chosen = set()
        for made in tables:
            made.start_attempt(f'e{number}', now_s, (1,))
            made.finish_attempt(f'e{number}', result, now_s)
            chosen.add(made.choose(query, now_s))
        assert len(chosen) == 1
        assert chosen < {'e1', 'e2', 'e3', 'e4', None}


def test_prefix_digests():
    """Guards against prompts that match without a common prefix."""
    first = _prefix_affinity.prefix_digests('m', b'a' * 600)
    assert len(first) == 2
    assert _prefix_affinity.prefix_digests('m', b'a' * 256) == first[:1]
    assert _prefix_affinity.prefix_digests('n', b'a' * 256) != first[:1]
    assert len(_prefix_affinity.prefix_digests('m', b'a' * 10**6)) == 64


def test_affinity_prefers_the_endpoint_with_the_prefix():
    """Guards against cache misses on every endpoint in turn."""
    made = table([endpoint(number) for number in range(1, 7)])
    made.start_attempt('e3', 0, (1, 2, 3))
    query = _routing.RouteQuery('org', model='m', prefix_digests=(1, 2, 4))
    assert set(choices(made, query)) == {'e3'}
    for _ in range(8):
        made.start_attempt('e3', 0)
    assert 'e3' not in choices(made, query)


def test_cache_events():
    """Guards against late, missing and restarted event pages."""
    affinity = _prefix_affinity.PrefixAffinity()
    affinity.record('e1', (1, 2))
    affinity.apply_events('e1', 0, 7, [(2, False), (3, True)])
    assert affinity.matches((1, 2)) == {'e1': 0.5}
    assert affinity.next_event('e1') == 7
    affinity.apply_events('e1', 0, 7, [(1, False)])
    assert affinity.matches((1,)) == {'e1': 1.0}
    affinity.apply_events('e1', 7, 12, [(1, True)])
    assert affinity.missed_events == 4
    affinity.apply_events('e1', 12, 2, [(9, True)])
    assert affinity.matches((1,)) == {}
    assert affinity.matches((9,)) == {'e1': 1.0}


def test_affinity_is_bounded():
    """Guards against memory that grows with the number of prompts."""
    affinity = _prefix_affinity.PrefixAffinity(max_prefixes=10)
    for number in range(100):
        affinity.record(f'e{number}', (number, 0))
    assert len(affinity) == 10
    assert len(affinity.matches((0,))) == 4


def test_removed_endpoints_are_forgotten():
    """Guards against affinity to an endpoint that was replaced."""
    made = table([endpoint(1), endpoint(2)])
    made.start_attempt('e1', 0, (1, 2))
    made.start_attempt('e2', 0, (2,))
    made.affinity.apply_events('e1', 0, 5, [])
    made.set_manifest(manifest([endpoint(2)]))
    assert made.affinity.matches((1, 2)) == {'e2': 1.0}
    assert made.affinity.next_event('e1') == 0
    assert len(made.affinity) == 1
