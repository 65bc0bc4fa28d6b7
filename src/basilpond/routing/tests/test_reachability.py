import heapq
import itertools
import random

import pytest

from basilpond.routing import Endpoint
from basilpond.routing import EndpointLoad
from basilpond.routing import Reachability
from basilpond.routing import choose_endpoint
from basilpond.routing import sample_loads
from basilpond.routing._reachability import PROBE_INTERVAL_S

CONNECT_TIMEOUT_S = 0.4
RESPONSE_S = 0.05
DATA_CENTRES = 5


class Cut:
    """One router before endpoints in five data centres, some cut off."""

    def __init__(self, endpoints, cut_off, home=None):
        # Without endpoints at home all data centres are used alike.
        self.home = home
        self.rng = random.Random(1)
        self.cut_off = cut_off
        self.reachability = Reachability()
        self.loads = [
            EndpointLoad(
                Endpoint(
                    f'e{i}', None, 's', '10.0.0.1', 80,
                    f'dc-{i % DATA_CENTRES}', 32, False, 0.0,
                ),
                10.0,
            )
            for i in range(endpoints)
        ]  # fmt: skip
        self.timeouts = 0
        self.waits_s = []
        self.served_beyond = 0

    def play(self, start_s, duration_s, requests_per_s=10):
        events = []
        number = itertools.count()
        for i in range(round(duration_s * requests_per_s)):
            at_s = start_s + i / requests_per_s
            heapq.heappush(events, (at_s, next(number), at_s, None))
        while events:
            now_s, _, started_s, ended = heapq.heappop(events)
            if ended is not None and not self._end(ended, now_s):
                self.waits_s.append(now_s - started_s)
                continue
            ended = self._send(now_s)
            _, _, is_cut = ended
            delay_s = CONNECT_TIMEOUT_S if is_cut else RESPONSE_S
            heapq.heappush(
                events, (now_s + delay_s, next(number), started_s, ended)
            )

    def _send(self, now_s):
        load = choose_endpoint(
            sample_loads(self.loads, [], self.rng, now_s),
            prompt_tokens=0,
            prefixes=[],
            data_centre=self.home or 'dc-none',
            reachability=self.reachability,
            now_s=now_s,
            rng=self.rng,
        ).load
        is_cut = load.endpoint.data_centre in self.cut_off
        in_flight = load.add_request(0.0, now_s)
        self.reachability.record_send(load.endpoint.data_centre, now_s)
        return load, in_flight, is_cut

    def _end(self, ended, now_s):
        """Record the end of a send; return whether another is needed."""
        load, in_flight, is_cut = ended
        load.remove_request(in_flight)
        load.record_result(failed=is_cut, now_s=now_s)
        endpoint = load.endpoint
        if is_cut:
            self.timeouts += 1
            load.eject(now_s)
            self.reachability.record_timeout(
                endpoint.data_centre, endpoint.id, now_s
            )
            return True
        self.reachability.record_response(endpoint.data_centre)
        self.served_beyond += endpoint.data_centre == 'dc-1'
        return False


@pytest.mark.parametrize('endpoints', [10, 40, 160])
def test_a_cut_data_centre_costs_few_timeouts(endpoints):
    """Guards against a cut that is discovered one endpoint at a time.

    On scale-1 of the large site a cut of 6 s cost a time-out for each endpoint
    beyond it, again after each ejection.
    """
    cut = Cut(endpoints, {'dc-1'})
    cut.play(0.0, 6.0)
    # The requests of the first time-out, then one probe at a time.
    probes = 6.0 / (PROBE_INTERVAL_S + CONNECT_TIMEOUT_S)
    assert 0 < cut.timeouts <= 10 * CONNECT_TIMEOUT_S + 2 + probes


@pytest.mark.parametrize('endpoints', [10, 40, 160])
def test_a_router_inside_a_cut_serves_from_its_data_centre(endpoints):
    """Guards against requests that try one data centre after the other."""
    cut = Cut(endpoints, {'dc-1', 'dc-2', 'dc-3', 'dc-4'}, 'dc-0')
    cut.play(0.0, 1.5)
    cut.waits_s.clear()
    cut.play(2.0, 4.0)
    waits_s = sorted(cut.waits_s)
    assert waits_s[len(waits_s) // 2] <= RESPONSE_S + 0.01
    assert waits_s[-1] <= 2 * CONNECT_TIMEOUT_S + RESPONSE_S + 0.01


def test_a_cut_that_ends_is_found_within_a_second():
    """Guards against data centres that stay unused after a cut."""
    cut = Cut(40, {'dc-1'})
    cut.play(0.0, 6.0)
    cut.cut_off = set()
    cut.play(6.0, 1.0)
    assert cut.served_beyond > 0
    assert not cut.reachability.is_avoided('dc-1', 7.0)


def test_one_dark_endpoint_takes_no_data_centre_out():
    """Guards against a data centre avoided for one endpoint without power."""
    reachability = Reachability()
    for i in range(20):
        assert not reachability.record_timeout('dc', 'e1', 0.1 * i)
    assert not reachability.is_avoided('dc', 2.0)


def test_timeouts_with_responses_in_between_do_not_add_up():
    """Guards against a data centre avoided while it responds."""
    reachability = Reachability()
    for i in range(20):
        assert not reachability.record_timeout('dc', f'e{i}', 0.1 * i)
        assert not reachability.record_response('dc')
    assert not reachability.is_avoided('dc', 2.0)


def test_one_request_probes():
    """Guards against several requests that wait for the same time-out."""
    reachability = Reachability()
    reachability.record_timeout('dc', 'e1', 0.0)
    assert reachability.record_timeout('dc', 'e2', 0.0)
    now_s = PROBE_INTERVAL_S + 0.1
    assert not reachability.is_avoided('dc', now_s)
    reachability.record_send('dc', now_s)
    assert reachability.is_avoided('dc', now_s + 0.01)
    assert not reachability.record_timeout('dc', 'e3', now_s + 0.4)
    assert reachability.is_avoided('dc', now_s + 0.5)
