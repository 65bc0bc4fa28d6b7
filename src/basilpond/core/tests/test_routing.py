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


def make_endpoint(number, data_centre='dc1', **changes):
    fields = {
        'id': f'e{number}',
        'data_centre': data_centre,
        'url': f'http://10.0.0.{number}:80',
        'models': ['m'],
    }
    return _manifest.Endpoint(**{**fields, **changes})


def make_manifest(endpoints, reachable=None):
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


def make_table(endpoints, seed=1, **options):
    table = _routing.EndpointTable('dc1', random.Random(seed))
    table.set_manifest(make_manifest(endpoints, **options))
    return table


def count_choices(table, query=QUERY, now_s=0.0, times=200):
    return Counter(table.choose(query, now_s) for _ in range(times))


def eject(table, name, now_s=0.0):
    for _ in range(5):
        table.start_attempt(name, now_s)
        table.finish_attempt(name, AttemptResult.FAILED, now_s)


def test_only_reachable_endpoints_of_the_model():
    """Guards against a request at an endpoint of another organisation."""
    table = make_table(
        [
            make_endpoint(1),
            make_endpoint(2),
            make_endpoint(3, models=['other']),
            make_endpoint(4, models=[], service='m'),
        ],
        reachable=['e1', 'e3', 'e4'],
    )
    assert set(count_choices(table)) == {'e1'}
    assert table.choose(_routing.RouteQuery('nobody', model='m'), 0) is None
    service = _routing.RouteQuery('org', service='m')
    assert table.choose(service, 0) == 'e4'


def test_excluded_endpoints_are_not_used_again():
    """Guards against a retry at the endpoint that just failed."""
    table = make_table([make_endpoint(1), make_endpoint(2)])
    retry = _routing.RouteQuery('org', model='m', exclude=frozenset({'e1'}))
    assert set(count_choices(table, retry)) == {'e2'}
    both = _routing.RouteQuery(
        'org', model='m', exclude=frozenset({'e1', 'e2'})
    )
    assert table.choose(both, 0) is None


@pytest.mark.parametrize('source', list(LeavingSource))
def test_any_leaving_signal_stops_new_requests(source):
    """Guards against new requests at an endpoint that is leaving."""
    table = make_table([make_endpoint(1), make_endpoint(2)])
    assert table.set_leaving('e1', source, True, 0)
    assert not table.set_leaving('e1', LeavingSource.VM_LIST, True, 0)
    assert set(count_choices(table)) == {'e2'}
    for each in LeavingSource:
        table.set_leaving('e1', each, False, 1)
    assert set(count_choices(table, now_s=1)) == {'e1', 'e2'}


def test_peer_notice_expires():
    """Guards against an old notice that excludes a returned endpoint."""
    table = make_table([make_endpoint(1), make_endpoint(2)])
    table.set_leaving('e1', LeavingSource.PEER, True, 0)
    assert set(count_choices(table, now_s=59)) == {'e2'}
    assert set(count_choices(table, now_s=61)) == {'e1', 'e2'}


def test_endpoint_drained_in_the_manifest():
    """Guards against requests at an endpoint that an operator drains."""
    table = make_table([make_endpoint(1), make_endpoint(2, drain=True)])
    assert set(count_choices(table)) == {'e1'}


def test_load_report_with_leaving():
    """Guards against ignoring a leaving signal in a load report."""
    table = make_table([make_endpoint(1), make_endpoint(2)])
    table.report_load('e1', _routing.EndpointLoad(0, 0, leaving=True), 0)
    assert set(count_choices(table)) == {'e2'}


def test_local_data_centre_first():
    """Guards against needless latency between data centres.

    Remote endpoints are used when the local one is much busier.
    """
    table = make_table(
        [make_endpoint(1), make_endpoint(2, 'dc2'), make_endpoint(3, 'dc2')]
    )
    assert set(count_choices(table)) == {'e1'}
    for _ in range(10):
        table.start_attempt('e1', 0)
    assert set(count_choices(table)) >= {'e2', 'e3'}


def test_other_data_centre_when_local_is_ejected():
    """Guards against using ejected endpoints while others are healthy."""
    table = make_table(
        [make_endpoint(1), make_endpoint(2, 'dc2'), make_endpoint(3, 'dc2')]
    )
    eject(table, 'e1')
    assert set(count_choices(table)) == {'e2', 'e3'}


def test_ejection_never_leaves_an_organisation_without_endpoints():
    """Guards against refusals caused by ejection alone."""
    table = make_table([make_endpoint(1), make_endpoint(2)], reachable=['e1'])
    eject(table, 'e1')
    assert set(count_choices(table)) == {'e1'}


def test_concurrency_limit_stops_new_attempts():
    """Guards against attempts beyond the concurrency limit."""
    table = make_table([make_endpoint(1)])
    for _ in range(table.limit('e1')):
        assert table.choose(QUERY, 0) == 'e1'
        table.start_attempt('e1', 0)
    assert table.choose(QUERY, 0) is None
    table.finish_attempt('e1', AttemptResult.COMPLETE, 0)
    assert table.choose(QUERY, 0) == 'e1'


def test_readmitted_endpoint_gets_little_traffic():
    """Guards against full traffic to an endpoint that failed its checks."""
    table = make_table([make_endpoint(1), make_endpoint(2)])
    for _ in range(2):
        table.start_attempt('e1', 0)
        table.finish_attempt('e1', AttemptResult.INVALID, 0)
    assert set(count_choices(table)) == {'e2'}
    for _ in range(3):
        table.quarantine.record_probe('e1', passed=True, now_s=5)
    assert count_choices(table, now_s=5, times=1000)['e1'] < 100


def test_weight_of_load_reports_decays():
    """Guards against an old load report that misroutes all requests."""
    table = make_table([make_endpoint(1), make_endpoint(2)])
    table.report_load('e1', _routing.EndpointLoad(20, 0), 0)
    table.start_attempt('e2', 0)
    assert set(count_choices(table, now_s=0)) == {'e2'}
    assert set(count_choices(table, now_s=30)) == {'e1'}


def test_least_loaded_endpoint_does_not_get_all_requests():
    """Guards against all routers choosing the endpoint that seems idle."""
    table = make_table([make_endpoint(number) for number in range(1, 10)])
    for number in range(2, 10):
        table.report_load(f'e{number}', _routing.EndpointLoad(3, 0), 0)
    assert count_choices(table, times=900)['e1'] < 300


def test_manifest_change_keeps_load_and_health():
    """Guards against a manifest change that resets ejections."""
    table = make_table([make_endpoint(1), make_endpoint(2)])
    eject(table, 'e1')
    table.start_attempt('e2', 0)
    table.set_manifest(
        make_manifest([make_endpoint(1), make_endpoint(2), make_endpoint(3)])
    )
    assert 'e1' not in count_choices(table)
    assert table.in_flight('e2') == 1
    moved = make_endpoint(1, url='http://10.0.0.9:80')
    table.set_manifest(make_manifest([moved, make_endpoint(2)]))
    assert 'e1' in count_choices(table)
    table.set_manifest(make_manifest([make_endpoint(2)]))
    table.finish_attempt('e1', AttemptResult.FAILED, 0)
    assert set(count_choices(table)) == {'e2'}


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
    """Guards against a choice that a replay does not reproduce."""
    tables = [
        make_table(
            [make_endpoint(n, f'dc{n % 2}') for n in range(1, 7)],
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
        for table in tables:
            table.start_attempt(f'e{number}', now_s, (1,))
            table.finish_attempt(f'e{number}', result, now_s)
            chosen.add(table.choose(query, now_s))
        assert len(chosen) == 1
        assert chosen < {'e1', 'e2', 'e3', 'e4', None}


def test_prefix_digests():
    """Guards against matches of prompts without a common prefix."""
    first = _prefix_affinity.prefix_digests('m', b'a' * 600)
    assert len(first) == 2
    assert _prefix_affinity.prefix_digests('m', b'a' * 256) == first[:1]
    assert _prefix_affinity.prefix_digests('n', b'a' * 256) != first[:1]
    assert len(_prefix_affinity.prefix_digests('m', b'a' * 10**6)) == 64


def test_affinity_prefers_the_endpoint_with_the_prefix():
    """Guards against a cache miss at each endpoint in turn.

    A busy endpoint is avoided in spite of the cached prefix.
    """
    table = make_table([make_endpoint(number) for number in range(1, 7)])
    table.start_attempt('e3', 0, (1, 2, 3))
    query = _routing.RouteQuery('org', model='m', prefix_digests=(1, 2, 4))
    assert set(count_choices(table, query)) == {'e3'}
    for _ in range(8):
        table.start_attempt('e3', 0)
    assert 'e3' not in count_choices(table, query)


def test_cache_events():
    """Guards against errors from late, missing and restarted event pages."""
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


def test_affinity_of_removed_endpoints_is_dropped():
    """Guards against affinity to an endpoint that was replaced."""
    table = make_table([make_endpoint(1), make_endpoint(2)])
    table.start_attempt('e1', 0, (1, 2))
    table.start_attempt('e2', 0, (2,))
    table.affinity.apply_events('e1', 0, 5, [])
    table.set_manifest(make_manifest([make_endpoint(2)]))
    assert table.affinity.matches((1, 2)) == {'e2': 1.0}
    assert table.affinity.next_event('e1') == 0
    assert len(table.affinity) == 1
