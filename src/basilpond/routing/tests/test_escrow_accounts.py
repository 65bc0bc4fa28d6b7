from basilpond.routing import EscrowAccount
from basilpond.routing import EscrowAccounts

ORG = 'org'
OLD = EscrowAccount(100, 50, 3)
NEW = EscrowAccount(200, 80, 4)


def test_record_of_a_copy_does_not_replace_a_newer_account():
    """Guards against tokens that are granted again after a restore."""
    accounts = EscrowAccounts()
    accounts.apply(ORG, 'a', NEW, 90)
    accounts.forget_offsets()
    accounts.apply(ORG, 'a', OLD, 20)
    assert accounts.total_owned(ORG) == 200
    assert accounts.unwritten() == [(ORG, 'a')]
    accounts.apply(ORG, 'a', NEW, 21)
    assert accounts.unwritten() == []
    assert accounts.account(ORG, 'a') == (NEW, 21)


def test_late_record_of_an_ended_holder_is_overwritten():
    """Guards against a log that returns an account before its reduction."""
    accounts = EscrowAccounts()
    accounts.apply(ORG, 'a', NEW, 1)
    reduced = EscrowAccount(80, 80, 6)
    accounts.apply(ORG, 'a', reduced, 2)
    accounts.apply(ORG, 'a', EscrowAccount(300, 90, 5), 3)
    assert accounts.total_owned(ORG) == 80
    assert accounts.unwritten() == [(ORG, 'a')]


def test_stated_account_counts_before_it_is_read():
    """Guards against a raise that is forgotten before its record is read."""
    accounts = EscrowAccounts()
    accounts.apply(ORG, 'a', OLD, 1)
    accounts.learn(ORG, 'a', NEW)
    assert accounts.total_owned(ORG) == 200
    accounts.learn(ORG, 'a', OLD)
    assert accounts.total_owned(ORG) == 200
    assert accounts.unwritten() == [(ORG, 'a')]


def test_copy_counts_only_if_the_log_has_nothing_newer():
    """Guards against an older account of a router that has gone on."""
    accounts = EscrowAccounts()
    accounts.apply(ORG, 'a', NEW, 1)
    accounts.apply_copy(ORG, 'a', OLD, 2)
    assert accounts.account(ORG, 'a') == (NEW, 1)
    assert accounts.unwritten() == []
    newer = EscrowAccount(300, 90, 5)
    accounts.apply_copy(ORG, 'a', newer, 3)
    assert accounts.account(ORG, 'a') == (newer, 3)
    accounts.forget_offsets()
    accounts.apply_copy(ORG, 'a', newer, 4)
    assert accounts.unwritten() == []
