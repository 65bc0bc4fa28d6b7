"""Each check finds an invented violation, and nothing where there is none."""

import pytest

from basilpond_testkit.soak import _checks
from basilpond_testkit.soak._evidence import Arrival
from basilpond_testkit.soak._evidence import Attempt
from basilpond_testkit.soak._evidence import Evidence
from basilpond_testkit.soak._evidence import Period

BOUNDS = _checks.Bounds(
    evacuate_s=5.0, cold_requests=17.3, memory_bytes=160, descriptors=1638
)


def attempt(**changes):
    fields = {
        'request_id': '1a',
        'number': 1,
        'kind': 'claim',
        'router': 'r0',
        'sent_s': 0.9,
        'status': 200,
        **changes,
    }
    return Attempt(**fields)


def arrival(at_s=1.0, **changes):
    fields = {
        'endpoint': 'app-east-1',
        'data_centre': 'east',
        'kind': 'claim',
        'request_id': '1a',
        'attempt': 1,
        'earliest_s': at_s - 0.06,
        'at_s': at_s,
        **changes,
    }
    return Arrival(**fields)


def find(**evidence):
    return _checks.find_violations(Evidence(**evidence), BOUNDS)


def evacuated(at_s, **changes):
    return {
        'evacuations': [Period('east', 10.0, 20.0)],
        'arrivals': [arrival(at_s, **changes)],
    }


def cold(count, *, step_s=0.03, **changes):
    return {
        'cold': [Period('app-east-1', 10.0, 13.0)],
        'arrivals': [
            arrival(10.5 + i * step_s, kind='look', **changes)
            for i in range(count)
        ],
    }


VIOLATIONS = {
    'unsafe request runs again at another attempt': {
        'arrivals': [arrival(), arrival(2.0, attempt=2)]
    },
    'unsafe request runs again at another endpoint': {
        'arrivals': [arrival(), arrival(2.0, endpoint='app-west-1')]
    },
    **{
        f'{kind} refused with {status} ran': {
            'attempts': [attempt(status=status, kind=kind)],
            'arrivals': [arrival(kind=kind)],
        }
        for status in (408, 421, 429, 503)
        for kind in ('look', 'claim', 'chat')
    },
    'refused request runs later': {
        'attempts': [attempt(status=503)],
        'arrivals': [arrival(60.0)],
    },
    'wrong response': {'attempts': [attempt(problem='is not its own')]},
    'request to an evacuated data centre': evacuated(16.0),
    'last moment of an evacuation': evacuated(19.9),
    'misbehaving client to an evacuated data centre': evacuated(
        16.0, request_id='7'
    ),
    'refused request to an evacuated data centre': evacuated(
        16.0, is_run=False
    ),
    'evacuation without an end': {
        'evacuations': [Period('east', 10.0)],
        'arrivals': [arrival(1000.0)],
    },
    'too many requests to a cold endpoint': cold(18),
    'too many requests of misbehaving clients': cold(18, request_id='7'),
    'end of a process': {'ends': ['r0 ended with code 1']},
    'memory': {'peaks': {'r0': (160, 10)}},
    'descriptors': {'peaks': {'r0': (100, 1638)}},
    'no last answer': {'last': {('r0', 'chat'): 0}},
    'last answer is a refusal': {'last': {('r0', 'chat'): 503}},
}
ALLOWED = {
    'nothing': {},
    'safe request runs twice': {
        'arrivals': [arrival(kind='look'), arrival(2.0, kind='look')]
    },
    'unsafe request runs after a refusal': {
        'attempts': [attempt(status=503), attempt(number=2)],
        'arrivals': [arrival(attempt=2)],
    },
    'endpoint refuses an unsafe request': {
        'attempts': [attempt(status=503)],
        'arrivals': [arrival(is_run=False), arrival(2.0, is_run=False)],
    },
    'unsafe request with an unknown outcome': {
        'attempts': [attempt(status=502), attempt(status=None)],
        'arrivals': [arrival()],
    },
    'misbehaving clients repeat a request': {
        'arrivals': [arrival(request_id='7'), arrival(2.0, request_id='7')]
    },
    'evacuation is not in force yet': evacuated(14.9),
    # The event loop of the test stood still.
    'request may have arrived earlier': evacuated(16.0, earliest_s=14.9),
    'evacuation has ended': evacuated(20.1),
    'another data centre': evacuated(16.0, data_centre='west'),
    'evacuated endpoint answers 421': evacuated(
        16.0, is_misdirected=True, is_run=False
    ),
    'cold endpoint at its limit': cold(17),
    'cold endpoint over a longer time': cold(40, step_s=0.07),
    'cold endpoint answers 421': cold(40, is_misdirected=True),
    'requests may have been spread': cold(18, earliest_s=9.0),
    'processes within their limits': {'peaks': {'r0': (159, 1637)}},
    'last answers': {'last': {('r0', 'chat'): 200}},
}


@pytest.mark.parametrize('name', VIOLATIONS)
def test_violation_is_found(name):
    """Guards against checks that find nothing."""
    assert len(find(**VIOLATIONS[name])) == 1


@pytest.mark.parametrize('name', ALLOWED)
def test_nothing_is_found_in_what_is_allowed(name):
    """Guards against false findings, which would make the soak unsteady."""
    assert find(**ALLOWED[name]) == []


def test_violation_shows_the_requests_concerned():
    """Guards against findings that cannot be traced."""
    (text,) = find(
        attempts=[attempt(status=503), attempt(request_id='1b')],
        arrivals=[arrival(), arrival(request_id='1b')],
    )
    assert 'claim 1a was refused with 503 and ran' in text
    assert text.count("request_id='1a'") == 2
    assert "request_id='1b'" not in text


@pytest.mark.parametrize('kind', ['look', 'claim', 'chat', 'digest'])
def test_only_the_whole_response_of_the_request_is_right(kind):
    """Guards against cut and foreign responses that count as right."""
    whole = _checks.answer(kind, '1a')
    assert _checks.answer_problem(kind, '1a', whole) is None
    for wrong in (b'', whole[:-1], whole + b'x', _checks.answer(kind, '1b')):
        assert _checks.answer_problem(kind, '1a', wrong) is not None


def test_stream_with_a_missing_or_repeated_event_is_wrong():
    """Guards against streams that are resumed at the wrong event."""
    events = [_checks.event('1a', i + 1) for i in range(_checks.EVENTS)]
    for wrong in (events[:3] + events[4:], events[:4] + events[3:]):
        body = b''.join(wrong)
        assert _checks.answer_problem('chat', '1a', body) is not None
