import itertools

import pytest

from basilpond.routing import Catalogue
from basilpond.routing import Configuration
from basilpond.routing import CrashCounter
from basilpond.routing import EventTokens
from basilpond.routing import FleetRetryBudget
from basilpond.routing import Organisation
from basilpond.routing import PromptCache
from basilpond.routing import PromptPart
from basilpond.routing import Route
from basilpond.routing import RouteKind
from basilpond.routing import SendResult
from basilpond.routing import choose_service
from basilpond.routing import event_gap_timeout_s
from basilpond.routing import first_byte_timeout_s
from basilpond.routing import may_send_again
from basilpond.routing import prompt_prefixes


def make_route(prefix='/a/', kind=RouteKind.SAFE, **changes):
    values = {
        'name': prefix,
        'host': 'h.example',
        'path_prefix': prefix,
        'kind': kind,
        'timeout_s': 1.0,
        'objective_s': 0.2,
        'pause_s': 0.3,
        'priority': 0,
        'split': (('s', 1.0),),
        'max_attempts': 2,
        'public': False,
        'resumable': False,
        'generates': False,
    }
    return Route(**{**values, **changes})


def make_catalogue(*prefixes):
    organisations = (Organisation('org', ('k1', 'k2'), None, None),)
    routes = tuple(make_route(prefix) for prefix in prefixes)
    return Catalogue(
        Configuration(3, routes, organisations, frozenset(), None)
    )


@pytest.mark.parametrize(
    ('path', 'prefix'),
    [
        ('/a/x', '/a/'),
        ('/a/b/x/y', '/a/b/'),
        ('/a/b/', '/a/b/'),
        ('/a/bc', '/a/'),
        ('/a', None),
        ('/c/x', None),
    ],
)
def test_longest_prefix_wins(path, prefix):
    """Guards against a request routed by a shorter path prefix."""
    route = make_catalogue('/a/', '/a/b/').find_route('H.example', path)
    assert (route and route.path_prefix) == prefix


def test_other_host_has_no_route():
    """Guards against routes of one host that match another host."""
    assert make_catalogue('/a/').find_route('other', '/a/x') is None


def test_keys_belong_to_their_organisation():
    """Guards against unknown keys that are accepted."""
    catalogue = make_catalogue('/a/')
    assert catalogue.find_organisation('k2').name == 'org'
    assert catalogue.find_organisation('k3') is None
    assert catalogue.find_organisation(None) is None


@pytest.mark.parametrize(
    ('draw', 'service'), [(0.0, 'x'), (0.89, 'x'), (0.9, 'y'), (0.99, 'y')]
)
def test_split_follows_the_weights(draw, service):
    """Guards against services that receive more than their weight."""
    route = make_route(split=(('x', 90.0), ('y', 10.0)))
    assert choose_service(route, draw) == service


@pytest.mark.parametrize(
    ('kind', 'resumable', 'result', 'allowed'),
    [
        (RouteKind.UNSAFE, False, SendResult.UNKNOWN, False),
        (RouteKind.UNSAFE, False, SendResult.FAILED, False),
        (RouteKind.STREAM, False, SendResult.UNKNOWN, False),
        (RouteKind.STREAM, True, SendResult.UNKNOWN, True),
        (RouteKind.SAFE, False, SendResult.UNKNOWN, True),
        (RouteKind.SAFE, False, SendResult.FAILED, True),
    ],
)
def test_only_retriable_requests_run_twice(kind, resumable, result, allowed):
    """Guards against a request with side effects that runs twice."""
    route = make_route(kind=kind, resumable=resumable)
    assert may_send_again(route, result, sends=1, possible_runs=1) is allowed


@pytest.mark.parametrize('result', [SendResult.NOT_SENT, SendResult.NOT_RUN])
def test_request_that_did_not_run_is_sent_again(result):
    """Guards against a refusal while another endpoint is available."""
    route = make_route(kind=RouteKind.UNSAFE, max_attempts=1)
    assert may_send_again(route, result, sends=1, possible_runs=0)
    assert not may_send_again(route, result, sends=3, possible_runs=0)


def test_attempts_of_the_route_bind():
    """Guards against more runs than the operators allow."""
    route = make_route(max_attempts=2)
    assert not may_send_again(
        route, SendResult.UNKNOWN, sends=2, possible_runs=2
    )


def test_timeouts_end_before_callers_disconnect():
    """Replays an endpoint that hangs; callers disconnect after two seconds."""
    safe = make_route()
    assert 0.2 < first_byte_timeout_s(safe, 0.01) <= 0.4
    stream = make_route(kind=RouteKind.STREAM, resumable=True, objective_s=0.4)
    assert 0.4 < first_byte_timeout_s(stream, 0.05) < 2.0
    assert 0.3 < event_gap_timeout_s(stream) < 2.0


def test_retries_stay_within_the_budget():
    """Replays an outage in which every request could be retried."""
    budget = FleetRetryBudget(0.2, 56.0, 10.0)
    allowed = 0
    for i in range(1_000):
        budget.record_request(i / 100, 8)
        allowed += budget.try_retry(i / 100, 8)
    assert allowed <= 0.2 * 1_000 + 56 / 8
    assert allowed > 100


def test_retry_budget_recovers_after_the_window():
    """Guards against a retry budget that remains exhausted."""
    budget = FleetRetryBudget(0.0, 8.0, 10.0)
    assert [budget.try_retry(0.0, 1) for _ in range(8)].count(True) == 6
    assert budget.try_retry(10.1, 1)


@pytest.mark.parametrize('routers', [3, 9, 85])
@pytest.mark.parametrize('killed_share', [0.0, 0.3, 0.5, 1.0])
@pytest.mark.parametrize('kills_s', [(5.0,), (5.0, 9.0)])
def test_killed_routers_do_not_spend_the_slack_again(
    routers, killed_share, kills_s
):
    """Guards against retries that routers allow once more after a start.

    Every retry that is allowed is sent. After a kill, survivors count fewer
    live routers until those that were killed are back two seconds later.
    """
    slack, share, window_s = 98.0, 0.2, 10.0
    budgets = [
        FleetRetryBudget(share, slack, window_s) for _ in range(routers)
    ]
    back_s = [0.0] * routers
    killed = round(killed_share * routers)
    requests, retries = [], []
    for tick in range(400):
        now_s = tick / 10
        if now_s in kills_s:
            for i in range(killed):
                back_s[i] = now_s + 2.0
                budgets[i] = FleetRetryBudget(
                    share, slack, window_s, back_s[i]
                )
        live = [i for i in range(routers) if back_s[i] <= now_s]
        for i in live:
            budgets[i].record_request(now_s, len(live))
            requests.append(now_s)
            while budgets[i].try_retry(now_s, len(live)):
                retries.append(now_s)
        recent = [t for t in retries if t >= now_s - window_s]
        asked = sum(t >= now_s - window_s for t in requests)
        assert len(recent) <= share * asked + slack
    assert retries


def test_retry_budget_has_its_slack_a_window_after_the_start():
    """Guards against a router that never retries a rare request."""
    budget = FleetRetryBudget(0.0, 8.0, 10.0, started_s=3.0)
    budget.record_request(4.0, 1)
    assert not budget.has_budget(12.9, 1)
    assert budget.has_budget(13.0, 1)


def test_event_token_bound_is_never_too_low():
    """Guards against streams charged for fewer tokens than delivered."""
    bounds = EventTokens()
    for events, allowed in ((3, 400), (41, 205), (41, 201), (1, 1), (0, 9)):
        bounds.record('s', events=events, allowed_tokens=allowed)
    assert bounds.bound('s') == 5


def test_prefix_keys_depend_on_all_parts_before():
    """Guards against a part that counts as cached after a different prefix."""
    one = prompt_prefixes((PromptPart(1, 10), PromptPart(2, 10)))
    other = prompt_prefixes((PromptPart(3, 10), PromptPart(2, 10)))
    assert one[1][0] != other[1][0]
    assert [tokens for _, tokens in one] == [10, 20]


def test_cached_prefixes_expire():
    """Guards against requests placed for parts that have been evicted."""
    cache = PromptCache(10.0)
    prefixes = prompt_prefixes((PromptPart(1, 10), PromptPart(2, 10)))
    for key, _ in prefixes:
        cache.touch(key, 0.0)
    assert cache.cached_tokens(prefixes, 9.0) == 20
    assert cache.cached_tokens(prefixes, 11.0) == 0


def test_completed_request_is_not_stopped():
    """Guards against a frequent request stopped for unrelated crashes."""
    counter = CrashCounter(max_crashes=3)
    for _ in range(2):
        counter.record('d', 'd', 0.0)
    counter.clear('d')
    counter.record('d', 'd', 1.0)
    assert not counter.is_stopped('d', 'd', 1.0)


def test_third_crash_stops_a_request():
    """Guards against a request that crashes one endpoint after another."""
    counter = CrashCounter(max_crashes=3)
    counter.record('d', 'd', 0.0)
    counter.merge('peer', 'd', 2, age_s=0.0, now_s=0.0)
    assert counter.is_stopped('d', 'd', 1.0)


def test_reported_counts_begin_with_the_most_crashes():
    """Guards against counts that never travel because others fill a report.

    A crash breaks all requests at its endpoint, each of which is counted.
    """
    counter = CrashCounter(max_crashes=3)
    for i in range(100):
        counter.record(f'sound{i}', f'sound{i}', 0.01 * i)
    for now_s in (2.0, 3.0):
        counter.record('bad', 'bad', now_s)
    for i in range(100, 200):
        counter.record(f'sound{i}', f'sound{i}', 3.0 + 0.01 * i)
    reported = list(itertools.islice(counter.local_counts(10.0), 32))
    assert reported[0][:2] == ('bad', 2)
    # Then the newest, as the older ones were reported before.
    assert reported[1][0] == 'sound199'


@pytest.mark.parametrize(
    ('kind', 'allowed_s', 'wait_s'),
    [
        # Callers of the stream leave after 2.4 s.
        (RouteKind.STREAM, 12.0, 2.2),
        (RouteKind.STREAM, 1.0, 0.7),
        (RouteKind.SAFE, 1.0, 0.7),
        (RouteKind.UNSAFE, 12.0, 8.4),
    ],
)
def test_waiting_requests_leave_time_for_a_response(kind, allowed_s, wait_s):
    """Guards against requests that are held until their callers leave."""
    route = make_route(kind=kind, objective_s=0.4, pause_s=0.3)
    assert route.longest_wait_s(allowed_s) == pytest.approx(wait_s)
