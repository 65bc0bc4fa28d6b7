import itertools

import pytest

from basilpond.core import _ledger
from basilpond.core._ledger_results import AllotmentClosed
from basilpond.core._ledger_results import BudgetView
from basilpond.core._ledger_results import ClaimDecided
from basilpond.core._ledger_results import ClaimView
from basilpond.core._ledger_results import CloseRejected
from basilpond.core._ledger_results import EntryApplied
from basilpond.core._ledger_results import GrantDecided
from basilpond.core._records import Batch
from basilpond.core._records import Bill
from basilpond.core._records import BudgetSet
from basilpond.core._records import Claim
from basilpond.core._records import ClaimAbandon
from basilpond.core._records import Close
from basilpond.core._records import Grant
from basilpond.core._records import Return
from basilpond.core._records import Transfer

WINDOW_MS = 24 * _ledger.HOUR_MS


class Stream:
    """Feeds records to a ledger, one batch each."""

    def __init__(self, *records):
        self.ledger = _ledger.Ledger()
        self.time_ms = 0
        self.put(*records)

    def put(self, *records):
        offset = self.ledger.offset + 1
        batch = Batch(f'w~{offset}', 1, list(records))
        return list(self.ledger.apply(batch, offset, self.time_ms))

    def amounts(self):
        self.ledger.check_sums()
        budget = self.ledger.budget('o')
        return budget.spent_tokens, budget.outstanding_tokens


def bill(allotment, seq, tokens, request_id='r', **fields):
    return Bill(
        allotment=allotment,
        seq=seq,
        organisation='o',
        request_id=request_id,
        tokens=tokens,
        outcome='complete',
        body_digest='d',
        endpoint='e',
        **fields,
    )


def granted(tokens=100, journal_peer='p', budget_tokens=100):
    return Stream(
        BudgetSet('o', budget_tokens, 1),
        Grant('a', 'o', tokens, 1, 'h', journal_peer),
    )


def test_grant_takes_what_is_free():
    """Guards against grants beyond the budget or below their minimum."""
    s = Stream(Grant('x', 'o', 1, 1, 'h'), BudgetSet('o', 100, 1))
    assert s.ledger.allotment('x') is None
    assert s.put(
        Grant('a', 'o', 60, 1, 'h'),
        Grant('b', 'o', 60, 41, 'h'),
        Grant('b', 'o', 60, 40, 'h'),
        Grant('c', 'o', 1, 0, 'h'),
        Grant('b', 'o', 60, 1, 'h'),
        Grant('b', 'o', 60, 1, 'other'),
    ) == [
        GrantDecided('a', 'h', 60),
        GrantDecided('b', 'h', 0),
        GrantDecided('b', 'h', 40),
        GrantDecided('c', 'h', 0),
        GrantDecided('b', 'h', 40),
        GrantDecided('b', 'other', 0),
    ]
    assert s.ledger.budget('o') == BudgetView(100, 0, 100)
    assert [a.allotment for a in s.ledger.allotments_of('h')] == ['a', 'b']


def test_lowered_budget_stops_grants_and_keeps_allotments():
    """Guards against a reduction that breaks the fold or grants again."""
    s = granted(80)
    s.put(BudgetSet('o', 50, 2), BudgetSet('o', 100, 1))
    assert s.ledger.budget('o').free_tokens == -30
    s.put(bill('a', 1, 40), Return('a', 2, 'o', 35))
    assert s.amounts() == (40, 5)
    assert s.put(Grant('b', 'o', 9, 1, 'h')) == [GrantDecided('b', 'h', 5)]


def test_batch_is_applied_once():
    """Guards against a repeated append that grants or claims again."""
    s = Stream(BudgetSet('o', 100, 1))
    batch = Batch('w~1', 2, [Grant('a', 'o', 10, 1, 'h')])
    assert len(list(s.ledger.apply(batch, 1, 0))) == 1
    assert list(s.ledger.apply(batch, 2, 0)) == []
    older = Batch('w~1', 1, [Grant('b', 'o', 10, 1, 'h')])
    assert list(s.ledger.apply(older, 3, 0)) == []
    newer = Batch('w~1', 3, [Grant('b', 'o', 10, 1, 'h')])
    assert list(s.ledger.apply(newer, 3, 0)) == []
    assert s.amounts() == (0, 10)
    assert len(list(s.ledger.apply(newer, 4, 0))) == 1


def test_entries_apply_once_in_any_order():
    """Guards against double spending by copies from a journal peer."""
    s = granted()
    s.put(bill('a', 3, 30, 'r3'), bill('a', 1, 10, 'r1'))
    assert s.put(bill('a', 3, 30, 'r3'), bill('a', 2, 20, 'r2')) == [
        EntryApplied('a', 3, True, repeated=True),
        EntryApplied('a', 2, True),
    ]
    assert s.put(bill('a', 4, 41, 'r4'), bill('a', 4, 1, 'r4')) == [
        EntryApplied('a', 4, False, 'overdrawn'),
        EntryApplied('a', 4, False, 'overdrawn', repeated=True),
    ]
    assert s.put(
        bill('a', 5, -1),
        Return('a', 0, 'o', 1),
        Transfer('a', 5, 'o', 1, 'a', 'h'),
    ) == [
        EntryApplied('a', 5, False, 'invalid'),
        EntryApplied('a', 0, False, 'invalid'),
        EntryApplied('a', 5, False, 'invalid'),
    ]
    assert s.amounts() == (60, 40)


def test_first_keyed_bill_counts_for_the_window():
    """Guards against a second charge, and against ids that stay forever."""
    s = granted()
    first = bill('a', 1, 10, 'k', keyed=True, answer='text')
    s.put(first)
    s.time_ms = WINDOW_MS
    assert s.put(bill('a', 2, 5, 'k', keyed=True)) == [
        EntryApplied('a', 2, False, 'duplicate_bill')
    ]
    assert s.ledger.recorded_bill('o', 'k') == first
    s.time_ms = WINDOW_MS + _ledger.KEY_MARGIN_MS + 1
    s.put()
    assert s.ledger.recorded_bill('o', 'k') is None
    assert s.amounts() == (10, 90)


@pytest.mark.parametrize(
    ('closer', 'journal_peer', 'forced', 'allowed'),
    [
        ('h', 'p', False, True),
        ('p', 'p', False, True),
        ('other', 'p', False, False),
        ('other', None, False, True),
        ('operator', 'p', True, True),
    ],
)
def test_close_is_limited_to_who_knows_the_entries(
    closer, journal_peer, forced, allowed
):
    """Guards against a close that drops bills of a journal."""
    s = granted(journal_peer=journal_peer)
    s.put(bill('a', 1, 10, 'r1'))
    entries = [bill('a', 1, 10, 'r1'), bill('a', 2, 20, 'r2')]
    results = s.put(Close('a', 'o', closer, entries, forced))
    if allowed:
        assert results[1:] == [
            EntryApplied('a', 2, True),
            AllotmentClosed('a', closer),
        ]
        assert s.amounts() == (30, 0)
        assert s.put(bill('a', 3, 1), bill('a', 2, 20, 'r2')) == [
            EntryApplied('a', 3, False, 'closed'),
            EntryApplied('a', 2, True, repeated=True),
        ]
        assert s.put(Close('a', 'o', 'h')) == [
            CloseRejected('a', 'h', 'closed')
        ]
    else:
        assert results == [CloseRejected('a', closer, 'not_allowed')]
        assert s.amounts() == (10, 90)


def test_entries_before_their_transfer_wait():
    """Guards against spending tokens that the donor still counts."""
    s = granted()
    close = Close('b', 'o', 'p2', [bill('b', 2, 5, 'r2')])
    assert s.put(bill('b', 1, 30, 'r1'), close) == []
    assert s.ledger.allotment('b').provisional
    assert s.amounts() == (0, 100)
    transfer = Transfer('a', 1, 'o', 40, 'b', 'h2', 'p2')
    assert s.put(transfer) == [
        EntryApplied('a', 1, True),
        EntryApplied('b', 1, True),
        EntryApplied('b', 2, True),
        AllotmentClosed('b', 'p2'),
    ]
    assert s.amounts() == (35, 60)
    assert s.put(transfer) == [EntryApplied('a', 1, True, repeated=True)]


def test_remaining_tokens_follow_every_record():
    """Guards against an index that differs from the allotments it covers."""
    s = granted(60)
    s.put(BudgetSet('p', 10, 1), Grant('p', 'p', 10, 1, 'h'))
    s.put(Transfer('a', 1, 'o', 20, 'b', 'h2'), bill('b', 1, 5))
    s.put(Grant('c', 'o', 15, 1, 'h'), Return('a', 2, 'o', 10))
    s.amounts()
    expected = {'h': 45, 'h2': 15}
    assert s.ledger.remaining_by_holder('o') == expected
    restored = _ledger.Ledger.from_snapshot(s.ledger.to_snapshot())
    assert restored.remaining_by_holder('o') == expected
    s.put(Close('b', 'o', 'h2'), Close('a', 'o', 'h'), Close('c', 'o', 'h'))
    assert s.ledger.remaining_by_holder('o') == {}
    assert s.ledger.remaining_by_holder('p') == {'h': 10}


@pytest.mark.parametrize('order', list(itertools.permutations(range(4))))
def test_transfer_from_either_side_counts_once(order):
    """Guards against a transfer that counts twice, or not at all, when its
    receiver, its donor and the donor's journal peer append it in any order.
    """
    transfer = Transfer('a', 2, 'o', 40, 'b', 'h2')
    records = [
        transfer,
        transfer,
        Close('a', 'o', 'p', [bill('a', 1, 10, 'r1'), transfer]),
        bill('b', 1, 30, 'r2'),
    ]
    s = granted()
    for index in order:
        s.put(records[index])
    assert s.amounts() == (40, 10)


def test_transfer_after_a_close_without_it_never_counts():
    """Guards against tokens of a transfer that the journal does not know."""
    s = granted()
    s.put(Close('a', 'o', 'p', [bill('a', 1, 10, 'r1')]))
    transfer = Transfer('a', 2, 'o', 40, 'b', 'h2')
    for record in (transfer, transfer, bill('b', 1, 30, 'r2')):
        (result,) = s.put(record)
        assert result.reason == 'closed'
    assert s.amounts() == (10, 0)


def test_entries_of_a_rejected_transfer_are_rejected():
    """Guards against entries that wait for a transfer that cannot come."""
    s = granted()
    s.put(bill('b', 1, 30), Close('a', 'o', 'p'))
    assert s.put(Transfer('a', 1, 'o', 40, 'b', 'h2')) == [
        EntryApplied('a', 1, False, 'closed'),
        EntryApplied('b', 1, False, 'closed'),
    ]
    assert s.put(bill('b', 2, 1)) == [EntryApplied('b', 2, False, 'closed')]
    assert s.amounts() == (0, 0)


@pytest.mark.parametrize(
    ('closer', 'keep_ms'),
    [('h', _ledger.CLOSED_BY_HOLDER_KEEP_MS), ('p', WINDOW_MS)],
)
def test_closed_allotment_rejects_at_once_while_kept(closer, keep_ms):
    """Guards against a holder that waits a day for a late entry's result."""
    s = granted()
    s.put(Close('a', 'o', closer))
    s.time_ms = keep_ms
    assert s.put(bill('a', 9, 10)) == [EntryApplied('a', 9, False, 'closed')]
    s.time_ms += 1
    assert s.put(bill('a', 9, 10)) == []


def test_writers_are_forgotten_in_the_order_of_their_last_batch():
    """Guards against sequence numbers that stay behind a busy writer."""
    ledger = _ledger.Ledger()
    times_ms = {'w1': 0, 'w2': 0, 'w3': WINDOW_MS}
    for offset, (writer, time_ms) in enumerate(times_ms.items()):
        list(ledger.apply(Batch(writer, 1, []), offset, time_ms))
    list(ledger.apply(Batch('w1', 2, []), 3, WINDOW_MS))
    list(ledger.apply(Batch('w3', 2, []), 4, WINDOW_MS + 1))
    assert [ledger.writer_seq(w) for w in times_ms] == [2, 0, 2]


@pytest.mark.parametrize('closer', ['h', 'p'])
def test_forgotten_allotment_spends_nothing(closer):
    """Guards against a late entry that a forgotten allotment accepts."""
    s = granted()
    s.put(Close('a', 'o', closer))
    s.time_ms = 2 * WINDOW_MS
    assert s.put(bill('a', 9, 10)) == []
    assert s.amounts() == (0, 0)
    s.time_ms = 4 * WINDOW_MS
    assert s.put() == [EntryApplied('a', 9, False, 'closed')]
    assert s.ledger.allotment('a') is None


def test_claim_is_won_once_until_abandoned():
    """Guards against a non-idempotent request that runs twice."""
    s = granted()
    claims = [Claim('o', 'k', 'd', h) for h in ('h', 'h2', 'h')]
    assert [r.won for r in s.put(*claims)] == [True, False, False]
    abandon = [ClaimAbandon('o', 'k', h) for h in ('h2', 'h', 'h')]
    assert [r.accepted for r in s.put(*abandon)] == [False, True, False]
    assert s.put(Claim('o', 'k', 'd2', 'h2')) == [
        ClaimDecided('o', 'k', 'h2', True)
    ]
    assert s.ledger.claim('o', 'k') == ClaimView('h2', 'd2', 'open')
    s.put(bill('a', 1, 3, 'k', keyed=True))
    assert s.ledger.claim('o', 'k').state == 'billed'
    assert not s.put(ClaimAbandon('o', 'k', 'h2'))[0].accepted
    assert not s.put(Claim('o', 'k', 'd2', 'h2'))[0].won
    s.put(bill('a', 2, 3, 'k2', keyed=True))
    assert not s.put(Claim('o', 'k2', 'd2', 'h2'))[0].won
