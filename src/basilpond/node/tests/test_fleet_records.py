import pytest

from basilpond.node._fleet_records import parse_account
from basilpond.node._fleet_records import parse_era
from basilpond.node._fleet_records import parse_heartbeat
from basilpond.routing import EscrowAccount


def test_account_may_be_negative():
    """Guards against returned tokens that cannot be read."""
    assert parse_account(b'-300 -300 7') == EscrowAccount(-300, -300, 7)


@pytest.mark.parametrize('parse', [parse_account, parse_heartbeat, parse_era])
@pytest.mark.parametrize(
    'value',
    [
        b'x',
        b'1 2 3 4 5 6 7',
        b'9' * 5_000,
        b'%d 1 1 1 1' % 2**70,
        b'%d 1 1' % 2**70,
        b'%d' % 2**70,
        b'-%d 1 1' % 2**70,
    ],
)
def test_odd_record_raises_one_error(parse, value):
    """Guards against totals and datagrams that odd numbers break."""
    with pytest.raises(ValueError):
        parse(value)
