from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from basilpond.core import _accounts
from basilpond.core import _records
from basilpond.core._accounts import AllotmentState

ORGANISATIONS = ('a', 'b')


def make_draft(tokens, request_id='r'):
    return _accounts.BillDraft(
        request_id=request_id,
        tokens=tokens,
        outcome='complete',
        body_digest='d',
        endpoint='e',
    )


def add(accounts, tokens, organisation='a', peer='p~1'):
    allotment = accounts.new_allotment_id()
    grant = _records.Grant(
        allotment, organisation, tokens, 1, accounts.holder, peer
    )
    assert accounts.add(allotment, tokens, grant)
    return allotment


class AccountsMachine(stateful.RuleBasedStateMachine):
    """Guards against overspend on an allotment and holds that end twice."""

    def __init__(self):
        super().__init__()
        self.accounts = _accounts.Accounts('h~1')
        self.granted = {}
        self.entries = {}
        self.holds = []
        self.ended = []

    def record_entries(self, *entries):
        for entry in entries:
            if entry is not None:
                entries_of = self.entries.setdefault(entry.allotment, [])
                entries_of.append(entry)
                assert entry.seq == len(entries_of)

    def draw_allotment(self, data):
        allotments = [a.id for a in self.accounts.allotments()]
        return data.draw(st.sampled_from(allotments)) if allotments else None

    @stateful.rule(
        organisation=st.sampled_from(ORGANISATIONS), tokens=st.integers(1, 99)
    )
    def grant(self, organisation, tokens):
        self.granted[add(self.accounts, tokens, organisation)] = tokens

    @stateful.rule(data=st.data())
    def grant_again(self, data):
        if self.granted:
            allotment = data.draw(st.sampled_from(sorted(self.granted)))
            grant = _records.Grant(allotment, 'a', 99, 1, 'h~1')
            assert not self.accounts.add(allotment, 99, grant)

    @stateful.rule(
        organisation=st.sampled_from(ORGANISATIONS), tokens=st.integers(0, 60)
    )
    def hold(self, organisation, tokens):
        free = [
            a.free_tokens
            for a in self.accounts.allotments(organisation)
            if a.state is AllotmentState.OPEN
        ]
        hold = self.accounts.hold(organisation, tokens)
        assert (hold is not None) == (max(free, default=-1) >= tokens)
        if hold is not None:
            self.holds.append(hold)

    @stateful.precondition(lambda self: self.holds)
    @stateful.rule(data=st.data())
    def release(self, data):
        hold = self.holds.pop(data.draw(st.integers(0, len(self.holds) - 1)))
        assert self.accounts.release(hold)
        self.ended.append(hold)

    @stateful.precondition(lambda self: self.holds)
    @stateful.rule(data=st.data())
    def charge(self, data):
        hold = self.holds.pop(data.draw(st.integers(0, len(self.holds) - 1)))
        tokens = data.draw(st.integers(0, hold.tokens))
        bill = self.accounts.charge(hold, make_draft(tokens))
        if hold.allotment.accepts_entries:
            assert bill.allotment == hold.allotment.id
        if bill is not None:
            assert bill.tokens == tokens
            assert bill.organisation == hold.organisation
        self.record_entries(bill)
        self.ended.append(hold)

    @stateful.precondition(lambda self: self.ended)
    @stateful.rule(data=st.data())
    def end_again(self, data):
        hold = data.draw(st.sampled_from(self.ended))
        assert not self.accounts.release(hold)
        with pytest.raises(ValueError):
            self.accounts.charge(hold, make_draft(0))

    @stateful.rule(
        organisation=st.sampled_from(ORGANISATIONS), tokens=st.integers(0, 60)
    )
    def transfer(self, organisation, tokens):
        entry = self.accounts.transfer(
            organisation, tokens, holder='o~1', journal_peer=None
        )
        if entry is not None:
            assert entry.tokens >= max(tokens, 0)
            assert entry.new_allotment not in self.granted
        self.record_entries(entry)

    @stateful.rule(
        organisation=st.sampled_from(ORGANISATIONS), tokens=st.integers(0, 60)
    )
    def return_tokens(self, organisation, tokens):
        free = self.accounts.free_tokens(organisation)
        entries = self.accounts.return_tokens(organisation, tokens)
        assert sum(entry.tokens for entry in entries) == min(free, tokens)
        self.record_entries(*entries)

    @stateful.rule(data=st.data())
    def retire(self, data):
        allotment = self.draw_allotment(data)
        if allotment is not None:
            self.record_entries(self.accounts.retire(allotment))
            assert self.accounts.get(allotment).free_tokens == 0

    @stateful.rule(data=st.data())
    def seal_or_close(self, data):
        allotment = self.draw_allotment(data)
        if allotment is not None:
            if data.draw(st.booleans()):
                self.accounts.seal(allotment)
            else:
                self.accounts.close(allotment)

    @stateful.rule(data=st.data(), accepted=st.booleans())
    def apply_entry(self, data, accepted):
        allotment = self.draw_allotment(data)
        account = self.accounts.get(allotment) if allotment else None
        if account is None or not account.unlogged:
            return
        seq = data.draw(st.sampled_from(sorted(account.unlogged)))
        refunded = not accepted and isinstance(
            account.unlogged[seq], _records.Bill
        )
        for _ in range(2):
            self.accounts.on_entry_applied(
                allotment, seq, accepted=accepted, refunded=refunded
            )
        if refunded:
            self.granted[allotment] += self.entries[allotment][seq - 1].tokens

    @stateful.rule()
    def close_finished(self):
        closed = {close.allotment for close in self.accounts.close_finished()}
        for hold in self.holds:
            assert hold.allotment.id not in closed

    @stateful.invariant()
    def never_spends_above_its_tokens(self):
        for allotment, entries in self.entries.items():
            spent = sum(entry.tokens for entry in entries)
            held = sum(
                hold.tokens
                for hold in self.holds
                if hold.allotment.id == allotment
                and hold.allotment.accepts_entries
            )
            assert spent + held <= self.granted[allotment]


TestAccounts = AccountsMachine.TestCase


def test_bill_moves_from_a_closed_allotment():
    """Guards against an entry on an allotment that another router closed."""
    accounts = _accounts.Accounts('h~1')
    first = add(accounts, 50)
    hold = accounts.hold('a', 40)
    second = add(accounts, 30)
    accounts.seal(first)
    assert accounts.charge(hold, make_draft(20)).allotment == second
    hold = accounts.hold('a', 10)
    accounts.close(second)
    assert accounts.charge(hold, make_draft(5)) is None


def test_bill_above_the_hold_is_refused():
    """Guards against a bill that takes tokens reserved by other holds."""
    accounts = _accounts.Accounts('h~1')
    add(accounts, 50)
    hold = accounts.hold('a', 10)
    for tokens in (11, -1):
        with pytest.raises(ValueError, match='draft.tokens'):
            accounts.charge(hold, make_draft(tokens))
    assert accounts.release(hold)


def test_allotment_with_holds_or_unlogged_entries_is_not_closed():
    """Guards against a close before the holder's last bill is in the log."""
    accounts = _accounts.Accounts('h~1')
    allotment = add(accounts, 50)
    hold = accounts.hold('a', 10)
    entry = accounts.retire(allotment)
    accounts.on_entry_applied(
        allotment, entry.seq, accepted=True, refunded=False
    )
    assert accounts.close_finished() == []
    bill = accounts.charge(hold, make_draft(10))
    assert accounts.close_finished() == []
    accounts.on_entry_applied(
        allotment, bill.seq, accepted=True, refunded=False
    )
    assert [c.allotment for c in accounts.close_finished()] == [allotment]


@given(st.integers(0, 10**9), st.integers(1, 400), st.integers(1, 10**6))
def test_targets_of_all_routers_fit_into_the_budget(free, routers, bound):
    """Guards against allotments that make the end of a budget unusable.

    Routers whose targets exceed the budget together would hold free tokens
    that no other router can use.
    """
    demand = _accounts.Demand(bound)
    assert routers * demand.target_tokens(free, routers) <= free


@pytest.mark.parametrize(
    ('free', 'waiting', 'now_s', 'want'),
    [
        (500, 0, 0, 0),
        (499, 0, 0, 501),
        (0, 0, 0, 1000),
        (0, 0, -1, 0),
        (900, 300, 0, 300),
        (100, 2000, 0, 2000),
        (0, 10, -1, 1000),
    ],
)
def test_refill_starts_below_half_of_the_target(free, waiting, now_s, want):
    """Guards against one grant per request, and against no grant at all."""
    demand = _accounts.Demand(10, backoff_until_s=0)
    assert (
        demand.want_tokens(
            free_tokens=free,
            waiting_tokens=waiting,
            budget_free_tokens=8000,
            routers=4,
            now_s=now_s,
        )
        == want
    )


def test_ended_ids_are_bounded_and_never_lost():
    """Guards against memory that grows with every allotment, and against a
    transfer that is received again and adds its tokens twice.
    """
    accounts = _accounts.Accounts('h~1')
    number = _accounts.MAX_ENDED_IDS + 500

    def add(i):
        transfer = _records.Transfer('a', i, 'o', 9, f'd~1/{i}', 'h~1')
        return accounts.add(transfer.new_allotment, 9, transfer)

    for i in range(1, number + 1):
        assert add(i)
        accounts.close(f'd~1/{i}')
    assert len(accounts._ended) <= _accounts.MAX_ENDED_IDS + 1
    assert not add(1) and not add(number)
    assert add(number + 1)
