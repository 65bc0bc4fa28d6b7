import random

import pytest

from basilpond.node._peer_records import decode_evidence
from basilpond.node._peer_records import encode_evidence
from basilpond.routing import Endpoint
from basilpond.routing import EndpointLoad
from basilpond.routing import Reachability
from basilpond.routing import SendEvidence
from basilpond.routing import choose_endpoint
from basilpond.routing._outlier_detection import MAX_EJECTION_S
from basilpond.routing._outlier_detection import OWN_BREAKS
from basilpond.routing._outlier_detection import REPORTERS
from basilpond.routing._outlier_detection import OutlierDetector

ENDPOINTS = 10
BAD = 'e0'
# Age at which a report of one router reaches another.
REPORT_DELAY_S = 0.4


def make_loads(count=ENDPOINTS, data_centre='dc-0'):
    return [
        EndpointLoad(
            Endpoint(f'e{i}', None, 's', '10.0.0.1', 80, data_centre, 12,
                     False, 0.0),
            10.0,
        )
        for i in range(count)
    ]  # fmt: skip


def choose(loads, rng, now_s, dc='dc-0'):
    return choose_endpoint(
        loads,
        prompt_tokens=0,
        prefixes=[],
        data_centre=dc,
        reachability=Reachability(),
        now_s=now_s,
        rng=rng,
    ).load


def apply(detector, router, dc, evidence, now_s, own_dc='dc-0', **kwargs):
    return detector.apply_report(
        router,
        dc,
        evidence,
        own_data_centre=own_dc,
        routers=kwargs.get('routers', 8),
        jitter=kwargs.get('jitter', 0.0),
        now_s=now_s,
    )


class Fleet:
    """Routers before endpoints of which one resets all its requests."""

    def __init__(self, routers, data_centres=5):
        self.rng = random.Random(1)
        self.routers = [
            (f'r{i}', f'dc-{i % data_centres}', make_loads())
            for i in range(routers)
        ]
        self.reports = []
        self.lost = 0
        self.bad = True
        self.served_by_bad = 0

    def play(self, start_s, duration_s, requests_per_s=100):
        for step in range(round(duration_s * requests_per_s)):
            now_s = start_s + step / requests_per_s
            if step % (requests_per_s // 10) == 0:
                self._exchange(now_s)
            name, dc, loads = self.rng.choice(self.routers)
            load = choose(loads, self.rng, now_s, dc)
            in_flight = load.add_request(0.0, now_s)
            load.remove_request(in_flight)
            broken = self.bad and load.endpoint.id == BAD
            self.lost += broken
            self.served_by_bad += load.endpoint.id == BAD and not broken
            load.record_result(failed=broken, now_s=now_s)
            if broken:
                load.outlier.record_broken(now_s)

    def _exchange(self, now_s):
        for name, dc, loads in self.routers:
            evidence = loads[0].outlier.evidence(now_s)
            if evidence is not None:
                self.reports.append((now_s + REPORT_DELAY_S, name, dc,
                                     evidence))  # fmt: skip
        due = [report for report in self.reports if report[0] <= now_s]
        self.reports = [report for report in self.reports if report not in due]
        for _, sender, sender_dc, evidence in due:
            for name, dc, loads in self.routers:
                if name != sender:
                    apply(
                        loads[0].outlier, sender, sender_dc, evidence, now_s,
                        own_dc=dc, routers=len(self.routers),
                        jitter=self.rng.random(),
                    )  # fmt: skip


@pytest.mark.parametrize('routers', [8, 30, 100, 300])
def test_loss_to_an_endpoint_that_resets_does_not_grow_with_routers(routers):
    """Guards against a loss at each router before the endpoint is avoided.

    On scale-1 of the large site one endpoint reset 26 requests of 24 routers
    in 6.5 s, and 18 callers were answered 502.
    """
    fleet = Fleet(routers)
    fleet.play(0.0, 6.5)
    # Ten requests a second for the endpoint until the first three reports
    # have arrived, then probes.
    assert 0 < fleet.lost <= 26


@pytest.mark.parametrize('routers', [8, 100, 300])
def test_endpoint_that_recovers_is_used_again_soon(routers):
    """Guards against endpoints that stay ejected after they recovered."""
    fleet = Fleet(routers)
    fleet.play(0.0, 3.0)
    fleet.bad = False
    fleet.play(3.0, MAX_EJECTION_S)
    fleet.served_by_bad = 0
    fleet.play(3.0 + MAX_EJECTION_S, 5.0)
    # Its share would be 50 of the 500 requests.
    assert fleet.served_by_bad >= 20


def test_one_broken_request_ejects_nothing():
    """Guards against ejections for single lost connections."""
    detector = OutlierDetector()
    assert not detector.record_broken(0.0)
    detector.record_complete(0.1)
    assert not detector.record_broken(0.2)
    assert not detector.is_ejected(0.3)


def test_ejections_grow_and_one_request_probes():
    """Guards against losing several requests after each ejection."""
    load, other = make_loads(2)
    rng = random.Random(1)
    now_s = 0.0
    durations = []
    for _ in range(OWN_BREAKS - 1):
        load.outlier.record_broken(now_s)
    for _ in range(6):
        load.outlier.record_broken(now_s)
        ejected_s = now_s
        while load.outlier.is_ejected(now_s):
            now_s += 0.05
        durations.append(round(now_s - ejected_s))
        probe = load.add_request(0.0, now_s)
        assert choose([load, other], rng, now_s + 0.01) is other
        load.remove_request(probe)
    assert durations == [1, 2, 4, 8, 8, 8]


def test_routers_of_one_other_data_centre_eject_nothing():
    """Guards against ejections when only the way from there is broken."""
    detector = OutlierDetector()
    for i in range(20):
        assert not apply(detector, f'r{i}', 'dc-1', SendEvidence.BROKEN, 0.1)
    assert not detector.is_ejected(0.2)
    assert apply(detector, 'r20', 'dc-2', SendEvidence.BROKEN, 0.3)


def test_one_router_ejects_nothing_at_others():
    """Guards against a router whose broken link takes endpoints from all."""
    detector = OutlierDetector()
    for i in range(50):
        apply(detector, 'r1', 'dc-0', SendEvidence.BROKEN, 0.1 * i)
        assert not detector.is_ejected(0.1 * i)


def test_old_reports_do_not_add_up():
    """Guards against ejections for breaks that are unrelated in time."""
    detector = OutlierDetector()
    for i in range(2 * REPORTERS):
        now_s = 1.5 * i
        assert not apply(detector, f'r{i}', 'dc-0', SendEvidence.BROKEN, now_s)


def test_ejections_are_ignored_when_most_endpoints_break_requests():
    """Guards against ejecting all endpoints when connections are reset."""
    loads = make_loads(4)
    for load in loads[:3]:
        for _ in range(OWN_BREAKS):
            load.outlier.record_broken(0.0)
    rng = random.Random(1)
    chosen = {choose(loads, rng, 0.1) for _ in range(100)}
    assert len(chosen) > 1
    loads[0].outlier.record_complete(0.2)
    chosen = {choose(loads, rng, 0.3) for _ in range(100)}
    assert chosen <= {loads[0], loads[3]}


def test_evidence_is_encoded_and_checked():
    """Guards against malformed evidence of a peer that raises elsewhere."""
    items = [(7, SendEvidence.BROKEN), (2**32 - 1, SendEvidence.RECOVERED)]
    assert decode_evidence(encode_evidence(items)) == items
    for data in (b'1234', b'12345' * 2, b'\0\0\0\0\7'):
        with pytest.raises(ValueError):
            decode_evidence(data)
