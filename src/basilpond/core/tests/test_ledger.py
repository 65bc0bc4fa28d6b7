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
    """Applies records to a ledger, as one batch per call of `append`."""

    def __init__(self, *records):
        self.ledger = _ledger.Ledger()
        self.time_ms = 0
        self.append(*records)

    def append(self, *records):
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


def test_grant_is_limited_to_free_tokens():
    """Guards against grants beyond the budget or below their minimum."""
    stream = Stream(Grant('x', 'o', 1, 1, 'h'), BudgetSet('o', 100, 1))
    assert stream.ledger.allotment('x') is None
    assert stream.append(
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
    assert stream.ledger.budget('o') == BudgetView(100, 0, 100)
    assert [a.allotment for a in stream.ledger.allotments_of('h')] == [
        'a',
        'b',
    ]


def test_lowered_budget_stops_grants_and_keeps_allotments():
    """Guards against a lowered budget that breaks the ledger or is granted."""
    stream = granted(80)
    stream.append(BudgetSet('o', 50, 2), BudgetSet('o', 100, 1))
    assert stream.ledger.budget('o').free_tokens == -30
    stream.append(bill('a', 1, 40), Return('a', 2, 'o', 35))
    assert stream.amounts() == (40, 5)
    assert stream.append(Grant('b', 'o', 9, 1, 'h')) == [
        GrantDecided('b', 'h', 5)
    ]


def test_batch_is_applied_once():
    """Guards against a batch that is appended again and granted twice."""
    stream = Stream(BudgetSet('o', 100, 1))
    batch = Batch('w~1', 2, [Grant('a', 'o', 10, 1, 'h')])
    assert len(list(stream.ledger.apply(batch, 1, 0))) == 1
    assert list(stream.ledger.apply(batch, 2, 0)) == []
    older = Batch('w~1', 1, [Grant('b', 'o', 10, 1, 'h')])
    assert list(stream.ledger.apply(older, 3, 0)) == []
    newer = Batch('w~1', 3, [Grant('b', 'o', 10, 1, 'h')])
    assert list(stream.ledger.apply(newer, 3, 0)) == []
    assert stream.amounts() == (0, 10)
    assert len(list(stream.ledger.apply(newer, 4, 0))) == 1


def test_entries_apply_once_in_any_order():
    """Guards against double spending by copies from a journal peer."""
    stream = granted()
    stream.append(bill('a', 3, 30, 'r3'), bill('a', 1, 10, 'r1'))
    assert stream.append(bill('a', 3, 30, 'r3'), bill('a', 2, 20, 'r2')) == [
        EntryApplied('a', 3, True, repeated=True),
        EntryApplied('a', 2, True),
    ]
    assert stream.append(bill('a', 4, 41, 'r4'), bill('a', 4, 1, 'r4')) == [
        EntryApplied('a', 4, False, 'overdrawn'),
        EntryApplied('a', 4, False, 'overdrawn', repeated=True),
    ]
    assert stream.append(
        bill('a', 5, -1),
        Return('a', 0, 'o', 1),
        Transfer('a', 5, 'o', 1, 'a', 'h'),
    ) == [
        EntryApplied('a', 5, False, 'invalid'),
        EntryApplied('a', 0, False, 'invalid'),
        EntryApplied('a', 5, False, 'invalid'),
    ]
    assert stream.amounts() == (60, 40)


def test_first_keyed_bill_counts_for_the_window():
    """Guards against a second charge, and against ids that never expire."""
    stream = granted()
    first = bill('a', 1, 10, 'k', keyed=True, answer='text')
    stream.append(first)
    stream.time_ms = WINDOW_MS
    assert stream.append(bill('a', 2, 5, 'k', keyed=True)) == [
        EntryApplied('a', 2, False, 'duplicate_bill')
    ]
    assert stream.ledger.recorded_bill('o', 'k') == first
    stream.time_ms = WINDOW_MS + _ledger.KEY_MARGIN_MS + 1
    stream.append()
    assert stream.ledger.recorded_bill('o', 'k') is None
    assert stream.amounts() == (10, 90)


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
def test_close_is_limited_to_routers_that_have_the_entries(
    closer, journal_peer, forced, allowed
):
    """Guards against a close without bills whose copies a journal has."""
    stream = granted(journal_peer=journal_peer)
    stream.append(bill('a', 1, 10, 'r1'))
    entries = [bill('a', 1, 10, 'r1'), bill('a', 2, 20, 'r2')]
    results = stream.append(Close('a', 'o', closer, entries, forced))
    if allowed:
        assert results[1:] == [
            EntryApplied('a', 2, True),
            AllotmentClosed('a', closer),
        ]
        assert stream.amounts() == (30, 0)
        assert stream.append(bill('a', 3, 1), bill('a', 2, 20, 'r2')) == [
            EntryApplied('a', 3, False, 'closed'),
            EntryApplied('a', 2, True, repeated=True),
        ]
        assert stream.append(Close('a', 'o', 'h')) == [
            CloseRejected('a', 'h', 'closed')
        ]
    else:
        assert results == [CloseRejected('a', closer, 'not_allowed')]
        assert stream.amounts() == (10, 90)


def test_entries_before_their_transfer_wait():
    """Guards against spending tokens that the donor's allotment still has."""
    stream = granted()
    close = Close('b', 'o', 'p2', [bill('b', 2, 5, 'r2')])
    assert stream.append(bill('b', 1, 30, 'r1'), close) == []
    assert stream.ledger.allotment('b').provisional
    assert stream.amounts() == (0, 100)
    transfer = Transfer('a', 1, 'o', 40, 'b', 'h2', 'p2')
    assert stream.append(transfer) == [
        EntryApplied('a', 1, True),
        EntryApplied('b', 1, True),
        EntryApplied('b', 2, True),
        AllotmentClosed('b', 'p2'),
    ]
    assert stream.amounts() == (35, 60)
    assert stream.append(transfer) == [
        EntryApplied('a', 1, True, repeated=True)
    ]


def test_remaining_tokens_follow_every_record():
    """Guards against an index that differs from the allotments it covers."""
    stream = granted(60)
    stream.append(BudgetSet('p', 10, 1), Grant('p', 'p', 10, 1, 'h'))
    stream.append(Transfer('a', 1, 'o', 20, 'b', 'h2'), bill('b', 1, 5))
    stream.append(Grant('c', 'o', 15, 1, 'h'), Return('a', 2, 'o', 10))
    stream.amounts()
    expected = {'h': 45, 'h2': 15}
    assert stream.ledger.remaining_by_holder('o') == expected
    restored = _ledger.Ledger.from_snapshot(stream.ledger.to_snapshot())
    assert restored.remaining_by_holder('o') == expected
    stream.append(
        Close('b', 'o', 'h2'), Close('a', 'o', 'h'), Close('c', 'o', 'h')
    )
    assert stream.ledger.remaining_by_holder('o') == {}
    assert stream.ledger.remaining_by_holder('p') == {'h': 10}


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
    stream = granted()
    for index in order:
        stream.append(records[index])
    assert stream.amounts() == (40, 10)


def test_transfer_after_a_close_without_it_never_counts():
    """Guards against spending tokens of a transfer that the journal lacks.

    The donor's journal peer has closed the allotment without the transfer.
    """
    stream = granted()
    stream.append(Close('a', 'o', 'p', [bill('a', 1, 10, 'r1')]))
    transfer = Transfer('a', 2, 'o', 40, 'b', 'h2')
    for record in (transfer, transfer, bill('b', 1, 30, 'r2')):
        (result,) = stream.append(record)
        assert result.reason == 'closed'
    assert stream.amounts() == (10, 0)


def test_entries_of_a_rejected_transfer_are_rejected():
    """Guards against entries that wait for a transfer that was rejected."""
    stream = granted()
    stream.append(bill('b', 1, 30), Close('a', 'o', 'p'))
    assert stream.append(Transfer('a', 1, 'o', 40, 'b', 'h2')) == [
        EntryApplied('a', 1, False, 'closed'),
        EntryApplied('b', 1, False, 'closed'),
    ]
    assert stream.append(bill('b', 2, 1)) == [
        EntryApplied('b', 2, False, 'closed')
    ]
    assert stream.amounts() == (0, 0)


@pytest.mark.parametrize(
    ('closer', 'keep_ms'),
    [('h', _ledger.CLOSED_BY_HOLDER_KEEP_MS), ('p', WINDOW_MS)],
)
def test_kept_closed_allotment_rejects_entries_at_once(closer, keep_ms):
    """Guards against a holder that waits 24 h for a late entry's result."""
    stream = granted()
    stream.append(Close('a', 'o', closer))
    stream.time_ms = keep_ms
    assert stream.append(bill('a', 9, 10)) == [
        EntryApplied('a', 9, False, 'closed')
    ]
    stream.time_ms += 1
    assert stream.append(bill('a', 9, 10)) == []


def test_writers_expire_in_the_order_of_their_last_batch():
    """Guards against a writer that is kept because an older one is active."""
    ledger = _ledger.Ledger()
    times_ms = {'w1': 0, 'w2': 0, 'w3': WINDOW_MS}
    for offset, (writer, time_ms) in enumerate(times_ms.items()):
        list(ledger.apply(Batch(writer, 1, []), offset, time_ms))
    list(ledger.apply(Batch('w1', 2, []), 3, WINDOW_MS))
    list(ledger.apply(Batch('w3', 2, []), 4, WINDOW_MS + 1))
    assert [ledger.writer_seq(w) for w in times_ms] == [2, 0, 2]


@pytest.mark.parametrize('closer', ['h', 'p'])
def test_expired_allotment_spends_nothing(closer):
    """Guards against a late entry that spends after its allotment expired."""
    stream = granted()
    stream.append(Close('a', 'o', closer))
    stream.time_ms = 2 * WINDOW_MS
    assert stream.append(bill('a', 9, 10)) == []
    assert stream.amounts() == (0, 0)
    stream.time_ms = 4 * WINDOW_MS
    assert stream.append() == [EntryApplied('a', 9, False, 'closed')]
    assert stream.ledger.allotment('a') is None


def test_claim_is_won_once_until_abandoned():
    """Guards against a non-idempotent request that runs twice."""
    stream = granted()
    claims = [Claim('o', 'k', 'd', h) for h in ('h', 'h2', 'h')]
    assert [r.won for r in stream.append(*claims)] == [True, False, False]
    abandon = [ClaimAbandon('o', 'k', h) for h in ('h2', 'h', 'h')]
    assert [r.accepted for r in stream.append(*abandon)] == [
        False,
        True,
        False,
    ]
    assert stream.append(Claim('o', 'k', 'd2', 'h2')) == [
        ClaimDecided('o', 'k', 'h2', True)
    ]
    assert stream.ledger.claim('o', 'k') == ClaimView('h2', 'd2', 'open')
    stream.append(bill('a', 1, 3, 'k', keyed=True))
    assert stream.ledger.claim('o', 'k').state == 'billed'
    assert not stream.append(ClaimAbandon('o', 'k', 'h2'))[0].accepted
    assert not stream.append(Claim('o', 'k', 'd2', 'h2'))[0].won
    stream.append(bill('a', 2, 3, 'k2', keyed=True))
    assert not stream.append(Claim('o', 'k2', 'd2', 'h2'))[0].won
