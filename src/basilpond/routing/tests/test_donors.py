from basilpond.routing import Allotments
from basilpond.routing import ClockReading
from basilpond.routing import Donors
from basilpond.routing import EscrowAccount
from basilpond.routing import EscrowAccounts
from basilpond.routing._escrow_accounts import OUTAGE_S

ORG = 'org'
HOLDERS = [f'r{i}' for i in range(80)]


def make_donors(idle=range(80)):
    accounts = EscrowAccounts()
    for i, tokens in enumerate(idle):
        accounts.apply(ORG, HOLDERS[i], EscrowAccount(1000 * tokens, 0), i)
    allotments = Allotments('me', accounts)
    allotments.set_limit(ORG, 10_000_000)
    allotments.collect_changes(ClockReading(0, 0))
    return Donors(allotments), accounts


def test_all_routers_are_selected_before_one_without_tokens():
    """Replays a log outage at one of 80 routers.

    Three rounds sent requests to the 24 routers with the largest accounts,
    again for each request, so the tokens of the other 56 were never
    requested.
    """
    donors, _ = make_donors(idle=[20] * 80)
    requested = set()
    for _ in range(10):
        chosen = donors.choose(ORG, HOLDERS, 1.0, 0)
        for holder in chosen:
            donors.record_remaining(ORG, holder, 0, 0)
        requested.update(chosen)
    assert requested == set(HOLDERS)


def test_report_overrides_the_account():
    """Guards against estimates from accounts older than the outage."""
    donors, _ = make_donors()
    donors.record_remaining(ORG, 'r79', 0, 0)
    donors.record_remaining(ORG, 'r0', 500_000, 0)
    chosen = donors.choose(ORG, HOLDERS, 0.5, 0)
    assert chosen[0] == 'r0'
    assert 'r79' not in chosen


def test_report_expires_when_the_account_changes():
    """Guards against routers not selected again once the log is available."""
    donors, accounts = make_donors()
    donors.record_remaining(ORG, 'r79', 0, 0)
    accounts.apply(ORG, 'r79', EscrowAccount(900_000, 0), 100)
    assert donors.choose(ORG, HOLDERS, 0.5, 0)[0] == 'r79'


def test_report_expires_when_further_tokens_become_usable():
    """Guards against routers not selected again later in an outage."""
    donors, _ = make_donors()
    early_ms = int(OUTAGE_S * 1000) - 1
    donors.record_remaining(ORG, 'r79', 0, early_ms)
    assert donors.expected_tokens(ORG, 'r79', early_ms) == 0
    assert donors.expected_tokens(ORG, 'r79', early_ms + 1) == 79_000
    donors.record_remaining(ORG, 'r79', 0, early_ms + 1)
    assert donors.expected_tokens(ORG, 'r79', early_ms + 1) == 0
    late_ms = early_ms + 1_001
    assert donors.expected_tokens(ORG, 'r79', late_ms) == 79_000


def test_no_routers_to_ask():
    """Guards against a division by zero without other routers."""
    donors, _ = make_donors()
    assert donors.choose(ORG, [], 1.0, 0) == []
