import pytest

from basilpond.node._fleet_records import account_copy_record
from basilpond.node._fleet_records import budget_record
from basilpond.node._fleet_records import copied_holder
from basilpond.node._fleet_records import lost_record
from basilpond.node._fleet_records import parse_account
from basilpond.node._fleet_records import parse_era
from basilpond.node._fleet_records import parse_heartbeat
from basilpond.node._fleet_records import parse_lost
from basilpond.node._fleet_records import parse_version
from basilpond.node._fleet_records import split_organisation_record
from basilpond.node._fleet_records import version_record
from basilpond.routing import UNKNOWN_VERSION
from basilpond.routing import EscrowAccount


def test_account_may_be_negative():
    """Guards against returned tokens that cannot be read."""
    assert parse_account(b'-300 -300 7') == EscrowAccount(-300, -300, 7)


def test_any_version_has_a_short_key():
    """Guards against long names that end the task which writes to the log."""
    for version in (('s' * 300, 'v' * 128), ('s', 'v1'), UNKNOWN_VERSION):
        key, value = version_record(version)
        assert len(key) < 64
        assert parse_version(value) == version


@pytest.mark.parametrize(
    'name',
    [
        'a/b c',
        ' \u2028 ' * 40,
        'n' * 255,
        '\u0444' * 133,
        '\U0001f3ee' * 1_024,
        'n' * 300 + '/alive/x~1',
    ],
)
def test_any_organisation_has_a_key_that_the_log_accepts(name):
    """Guards against a long name that ends all routers again and again."""
    holder = 'front-palermo-1~48fe3abc2d03'
    account = EscrowAccount(-300, -300, 7)
    key, value = budget_record(name, holder, account)
    assert len(key.encode()) <= 255
    organisation, of, numbers = split_organisation_record(
        key.removeprefix('budget/'), value
    )
    assert (organisation, of) == (name, holder)
    assert parse_account(numbers) == account
    key, value = lost_record(name, holder, 12)
    assert len(key.encode()) <= 255
    organisation, of, numbers = split_organisation_record(
        key.removeprefix('lost/'), value
    )
    assert (organisation, of) == (name, holder)
    assert parse_lost(numbers) == 12


def test_name_that_fits_stays_in_the_key():
    """Guards against accounts that routers of an earlier version miss."""
    holder = 'front-palermo-1~48fe3abc2d03'
    fits = 'n' * (255 - len(f'budget//{holder}'))
    key, value = budget_record(fits, holder, EscrowAccount(5, 4, 3))
    assert key == f'budget/{fits}/{holder}'
    assert value == b'5 4 3'
    key, _ = budget_record(fits + 'n', holder, EscrowAccount(5, 4, 3))
    assert fits not in key


def test_account_of_another_name_is_not_read():
    """Guards against a record that counts for another organisation."""
    key, value = budget_record('n' * 255, 'a~1', EscrowAccount(5, 4, 3))
    key = key.removeprefix('budget/')
    for other in (value + b'n', value.partition(b'\n')[0], b'', None):
        with pytest.raises(ValueError):
            split_organisation_record(key, other)


@pytest.mark.parametrize(
    'parse', [parse_account, parse_heartbeat, parse_era, parse_version]
)
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
        b'[' * 1_000 + b']' * 1_000,
        b'["s", "' + b'v' * 5_000 + b'"]',
    ],
)
def test_odd_record_raises_one_error(parse, value):
    """Guards against totals and datagrams that odd numbers break."""
    with pytest.raises(ValueError):
        parse(value)


@pytest.mark.parametrize('name', ['org', 'n' * 255])
def test_copies_of_an_account_have_a_key_for_each_writer(name):
    """Guards against a copy that replaces the record of the holder."""
    account = EscrowAccount(5, 4, 3)
    own_key, _ = budget_record(name, 'a~1', account)
    keys = set()
    for writer in ('b~1', 'b~2'):
        key, value = account_copy_record(name, 'a~1', account, writer)
        keys.add(key)
        # What a router of an earlier version reads: an account of a holder
        # that is no router.
        organisation, holder, numbers = split_organisation_record(
            key.removeprefix('budget/'), value
        )
        assert organisation == name
        assert parse_account(numbers) == account
        assert copied_holder(holder) == 'a~1'
    assert len(keys | {own_key}) == 3
    assert copied_holder('a~1') is None
