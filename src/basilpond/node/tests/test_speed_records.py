import pytest

from basilpond.node._speed_records import decode_speeds
from basilpond.node._speed_records import encode_speeds
from basilpond.routing import SpeedReport


@pytest.mark.parametrize('tokens_per_s', [1.0, 8e3, 56_900.0, 125_000.0, 1e12])
def test_speed_survives_a_datagram(tokens_per_s):
    """Guards against values that do not fit and end the reports."""
    report = SpeedReport(2**32 - 1, tokens_per_s, 2.0, 1e9)
    (read,) = decode_speeds(encode_speeds([report]))
    assert read.incarnation == report.incarnation
    assert 0 <= read.weight <= 1
    if 2e3 < tokens_per_s < 1e6:
        assert read.tokens_per_s == pytest.approx(tokens_per_s, rel=0.03)


@pytest.mark.parametrize('size', [1, 7, 9, 8 * 65])
def test_odd_sizes_are_rejected(size):
    """Guards against work that a false datagram causes."""
    with pytest.raises(ValueError, match='endpoint speeds'):
        decode_speeds(bytes(size))
