import pytest

from basilpond.routing import Completion
from basilpond.routing import EraRecovery
from basilpond.routing import EraStatement

OWN = EraStatement(2, 2, remembers=True)
OTHERS = ('b~1', 'c~1')


def make_recovery(*, remembers):
    """Return the state of a router in era 2, which began at 10 s."""
    recovery = EraRecovery('a', is_first_start=False)
    if remembers:
        recovery.begin(1, 0.0)
        recovery.apply_marker(1)
    recovery.begin(2, 10.0)
    return recovery


def test_first_start_needs_no_marker():
    """Guards against a new fleet that waits for routers that remember."""
    recovery = EraRecovery('a', is_first_start=True)
    recovery.begin(1, 0.0)
    assert recovery.finish_snapshot(has_accounts=False)
    assert recovery.is_complete


@pytest.mark.parametrize('is_first_start', [True, False])
def test_start_with_accounts_waits_for_the_marker(is_first_start):
    """Guards against raises decided by a copy that lacks accounts."""
    recovery = EraRecovery('a', is_first_start=is_first_start)
    recovery.begin(2, 0.0)
    recovery.apply_marker(1)
    assert not recovery.finish_snapshot(has_accounts=True)
    assert not recovery.is_complete
    recovery.apply_marker(2)
    assert recovery.is_complete


@pytest.mark.parametrize('era', [0, 1])
def test_empty_log_of_the_first_era_is_new(era):
    """Guards against budgets that are reserved where nothing was lost.

    Settings written by hand may not say that the whole fleet starts.
    """
    recovery = EraRecovery('a', is_first_start=False)
    recovery.begin(era, 0.0)
    assert recovery.finish_snapshot(has_accounts=False)
    assert recovery.is_complete


def test_empty_log_after_a_restore_is_not_a_first_start():
    """Guards against a copy without any account taken as a new log."""
    recovery = EraRecovery('a', is_first_start=False)
    recovery.begin(2, 0.0)
    assert not recovery.finish_snapshot(has_accounts=False)
    assert not recovery.is_complete


def test_marker_of_an_earlier_era_is_no_proof():
    """Guards against a restore that goes unnoticed in the accounts."""
    recovery = make_recovery(remembers=True)
    recovery.apply_marker(1)
    assert not recovery.is_complete


def test_marker_waits_for_all_live_routers():
    """Guards against a raise that only one live router remembers."""
    recovery = make_recovery(remembers=True)
    recovery.apply_statement('b~1', OWN)
    assert recovery.completion(OWN, OTHERS, 10.5) is None
    recovery.apply_statement('c~1', OWN)
    assert recovery.completion(OWN, OTHERS, 10.5) is Completion.REMEMBERED


def test_router_that_cannot_reach_the_log_stops_raises_for_2_s_only():
    """Guards against a fleet that waits for a router that is cut off."""
    recovery = make_recovery(remembers=True)

    def completion(now_s):
        return recovery.completion(
            OWN,
            OTHERS,
            now_s,
            registered_routers=2,
            account_holders={'b~1'},
        )

    assert completion(11.9) is None
    assert completion(12.0) is Completion.REMEMBERED


def test_unwritten_accounts_delay_the_statement():
    """Guards against a marker while the log still lacks known accounts."""
    recovery = make_recovery(remembers=True)

    def known_era(has_unwritten):
        return recovery.statement(
            written_era=2,
            has_unwritten=has_unwritten,
            live_holders=(),
            now_s=10.5,
        ).known_era

    assert known_era(True) == -1
    assert known_era(False) == 2


def test_each_lost_account_is_written_by_one_router_first():
    """Replays three routers that remember the accounts of one that ended."""
    keys = [(f'org{i}', f'x{i}~1') for i in range(50)]
    written = []
    for name in 'abc':
        recovery = EraRecovery(name, is_first_start=False)
        recovery.begin(2, 10.0)
        assert not recovery.accounts_to_write(keys, 'abc', OTHERS, 10.0)
        written += recovery.accounts_to_write(keys, 'abc', OTHERS, 10.41)
    assert sorted(written) == sorted(keys)


def test_no_survivor_reserves_the_tokens_that_nobody_owns():
    """Replays a restore after which no router remembers the accounts."""
    own = EraStatement(2, 2)
    recovery = make_recovery(remembers=False)
    recovery.apply_statement('b~1', own)
    assert recovery.completion(own, ('b~1',), 14.9) is None
    assert recovery.completion(own, ('b~1',), 15.0) is Completion.RESERVED


def test_no_tokens_are_reserved_while_a_router_remembers():
    """Guards against budgets reserved for good beside a slow survivor."""
    recovery = make_recovery(remembers=False)
    recovery.apply_statement('b~1', EraStatement(2, 2, remembers=True))
    own = EraStatement(2, 2)
    assert recovery.completion(own, ('b~1',), 29.9) is None


def test_only_router_that_remembers_reserves_tokens():
    """Guards against a survivor that was cut off from the others before."""
    recovery = make_recovery(remembers=True)
    recovery.apply_statement('b~2', EraStatement(2, 2))

    def completion(now_s):
        return recovery.completion(
            OWN, ('b~2',), now_s, registered_routers=1, account_holders=()
        )

    assert completion(14.9) is None
    assert completion(15.0) is Completion.RESERVED


def test_survivor_that_cannot_reach_the_log_is_waited_for_20_s():
    """Guards against raises that stop for good, or go on too soon."""
    recovery = make_recovery(remembers=False)
    own = EraStatement(2, 2)

    def completion(now_s):
        return recovery.completion(
            own, ('b~1',), now_s, registered_routers=1, account_holders={'b~1'}
        )

    assert completion(29.9) is None
    assert completion(30.0) is Completion.RESERVED


def test_router_that_hears_few_others_waits():
    """Guards against a marker of a router that was cut off from the others."""
    recovery = make_recovery(remembers=True)
    recovery.apply_statement('b~1', OWN)

    def completion(now_s):
        return recovery.completion(OWN, ['b~1'], now_s, registered_routers=4)

    assert completion(11.9) is None
    assert completion(12.0) is Completion.REMEMBERED
