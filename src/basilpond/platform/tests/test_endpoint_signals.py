"""Fields in which servers speak of themselves."""

import email.utils

import pytest

from basilpond.http1 import ResponseHead
from basilpond.platform import endpoint_signals

NOW_S = 1_781_071_529.0


def signals(*values, status=503, **fields):
    headers = [(b'retry-after', value) for value in values]
    headers += [(k.encode(), v.encode()) for k, v in fields.items()]
    return endpoint_signals(ResponseHead(status, headers), NOW_S)


@pytest.mark.parametrize(
    ('value', 'quiet_s'),
    [
        (b'2', 2.0),
        (b'2.5', 2.5),
        (b'0.125', 0.125),
        (b'0', 0.0),
        (b' 3 ', 3.0),
        (b'259200', 259_200.0),
        (b'9' * 400, float('inf')),
    ],
)
def test_time_in_seconds_is_decoded(value, quiet_s):
    """Guards against fractions, or long times, that are not understood."""
    result = signals(value)
    assert result.quiet_s == quiet_s
    assert not result.problems


@pytest.mark.parametrize('after_s', [5, 0, -60])
def test_date_is_decoded(after_s):
    """Guards against a date that is read as nonsense."""
    value = email.utils.formatdate(NOW_S + after_s, usegmt=True).encode()
    result = signals(value)
    assert result.quiet_s == max(0.0, after_s)
    assert not result.problems


def test_date_refers_to_the_clock_of_the_server():
    """Guards against a quiet time that differs by the error of a clock."""
    sent = email.utils.formatdate(NOW_S - 3_600, usegmt=True)
    until = email.utils.formatdate(NOW_S - 3_598, usegmt=True)
    assert signals(until.encode(), date=sent).quiet_s == 2.0
    assert signals(until.encode(), date='now').quiet_s == 0.0


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'-3',
        b'soon',
        b'nan',
        b'inf',
        b'1e9',
        b'2, 3',
        b'0x10',
        b'1_0',
        b'Sat, 99 Foo 2026 99:99:99 GMT',
        b'Fri, 31 Dec 99999 23:59:59 GMT',
        b'\xff\xfe\x00',
        b'\xb2',
    ],
)
def test_value_without_meaning_asks_for_nothing(value):
    """Guards against a crash, or an endpoint that is out of use, by it."""
    result = signals(value)
    assert result.quiet_s is None
    assert len(result.problems) == 1
    assert result.problems[0].startswith('retry-after: ')
    assert len(result.problems[0]) < 80


def test_longest_time_counts_if_several_are_named():
    """Guards against requests before the end of the longer time."""
    result = signals(b'1', b'soon', b'2.5')
    assert result.quiet_s == 2.5
    assert len(result.problems) == 1
    # The same one twice is no problem.
    assert signals(b'2', b'2').problems == ()


@pytest.mark.parametrize('status', [200, 429, 500, 502])
def test_time_is_read_from_rejections_only(status):
    """Guards against a field that means something else elsewhere."""
    assert signals(b'2', status=status).quiet_s is None
    assert signals(b'soon', status=status).problems == ()


@pytest.mark.parametrize('status', [200, 429, 500, 503])
def test_leaving_is_read_from_all_responses(status):
    """Guards against a field that is read from some responses only."""
    head = ResponseHead(status, [(b'server-leaving', b'1')])
    assert endpoint_signals(head, NOW_S).leaving
    head = ResponseHead(status, [(b'server-leaving', b'0')])
    assert endpoint_signals(head, NOW_S) == endpoint_signals(
        ResponseHead(status, []), NOW_S
    )


@pytest.mark.parametrize(
    ('value', 'cold_s'),
    [('0', 0.0), ('2400', 2.4), (' 12.5 ', 0.0125), ('86400000', 86_400.0)],
)
def test_cold_time_is_decoded(value, cold_s):
    """Guards against a cold server that counts as warm."""
    result = signals(status=200, **{'x-cold-ms': value})
    assert result.cold_s == cold_s
    assert not result.problems


@pytest.mark.parametrize('value', ['', '-1', 'soon', 'nan', '1e9', '86400001'])
def test_cold_time_without_sense_is_named(value):
    """Guards against a server that one wrong time limits for years."""
    result = signals(status=200, **{'x-cold-ms': value})
    assert result.cold_s is None
    assert len(result.problems) == 1


@pytest.mark.parametrize(
    ('value', 'survived'),
    [('0', 0), (' 3 ', 3), ('999999', 999_999)],
)
def test_survived_rejections_are_decoded(value, survived):
    """Guards against brittle endpoints that count as sturdy."""
    result = signals(status=200, **{'server-brittle': value})
    assert result.survived_rejections == survived
    assert not result.problems


@pytest.mark.parametrize('value', ['', '-1', '2.5', '1e3', 'yes', '9' * 40])
def test_undefined_count_of_rejections_says_nothing(value):
    """Guards against a bound that no server means."""
    result = signals(status=200, **{'server-brittle': value})
    assert result.survived_rejections is None
    assert result.problems
