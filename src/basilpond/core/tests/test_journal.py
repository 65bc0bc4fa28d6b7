from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from basilpond.core import _journal
from basilpond.core import _records

MAX_BYTES = 3000


def grant(allotment='h/1', holder='h~1', peer='p~1'):
    return _records.encode_record(
        _records.Grant(allotment, 'a', 100, 1, holder, peer)
    )


def bill(seq, allotment='h/1', request_id='r'):
    return _records.Bill(
        allotment, seq, 'a', request_id, 1, 'complete', 'd', 'e'
    )


def append(journal, *records, holder='h~1', closed=()):
    return journal.append(
        holder,
        [
            r if isinstance(r, bytes) else _records.encode_record(r)
            for r in records
        ],
        is_closed=closed.__contains__,
    )


class JournalMachine(stateful.RuleBasedStateMachine):
    """Guards against an acknowledged copy that is dropped before the ledger
    has a result of its entry, and against a journal above its size limit.
    """

    def __init__(self):
        super().__init__()
        self.journal = _journal.Journal('p~1', max_bytes=MAX_BYTES)
        self.acknowledged = {}
        self.decided = set()
        self.sealed = set()

    allotments = st.sampled_from(['h/1', 'h/2'])
    seqs = st.integers(1, 8)

    @stateful.rule(allotment=allotments, seqs=st.lists(seqs, max_size=3))
    def append(self, allotment, seqs):
        entries = [bill(seq, allotment) for seq in seqs]
        try:
            rejected = append(self.journal, grant(allotment), *entries)
        except _journal.JournalFullError:
            return
        if allotment in self.sealed:
            assert rejected == ([allotment] if seqs else [])
            return
        assert rejected == []
        for seq in seqs:
            self.acknowledged.setdefault(allotment, set()).add(seq)

    @stateful.rule(allotment=allotments, seq=seqs)
    def decide(self, allotment, seq):
        self.journal.record_decided(allotment, seq, open_holder='h~1')
        self.decided.add((allotment, seq))

    @stateful.rule(allotment=allotments)
    def seal(self, allotment):
        self.journal.seal(allotment)
        self.sealed.add(allotment)

    @stateful.rule(allotment=allotments, by_holder=st.booleans())
    def close(self, allotment, by_holder):
        self.journal.record_closed(allotment, by_holder=by_holder)
        self.acknowledged.pop(allotment, None)
        self.decided = {d for d in self.decided if d[0] != allotment}
        if not by_holder:
            self.sealed.add(allotment)

    @stateful.invariant()
    def keeps_exactly_copies_without_result(self):
        for allotment in ('h/1', 'h/2'):
            kept = [e.seq for e in self.journal.entries(allotment)]
            assert kept == sorted(
                seq
                for seq in self.acknowledged.get(allotment, ())
                if (allotment, seq) not in self.decided
            )

    @stateful.invariant()
    def stays_within_max_bytes(self):
        kept = [
            len(_records.encode_record(entry)) + _journal.COPY_OVERHEAD_BYTES
            for allotment in ('h/1', 'h/2')
            for entry in self.journal.entries(allotment)
        ]
        assert self.journal.used_bytes == sum(kept) <= MAX_BYTES


TestJournal = JournalMachine.TestCase


def make_journal():
    return _journal.Journal('p~1', max_bytes=MAX_BYTES)


def test_copies_for_an_earlier_incarnation_are_rejected():
    """Guards against a restarted peer that acknowledges copies it has lost.

    The allotment names the earlier process as its journal peer.
    """
    journal = make_journal()
    assert append(journal, grant(peer='p~0'), bill(1)) == ['h/1']
    assert journal.used_bytes == 0


def test_transfer_introduces_the_receivers_allotment():
    """Guards against rejected copies of a transferred allotment's entries."""
    journal = make_journal()
    transfer = _records.Transfer('d/1', 4, 'a', 9, 'd/2', 'h~1', 'p~1')
    assert append(journal, transfer, bill(1, 'd/2')) == []
    assert [e.seq for e in journal.entries('d/2')] == [1]
    assert journal.entries('d/1') == []


def test_sealed_ids_are_bounded_and_never_lost():
    """Guards against memory that grows with every lost router, and against a
    copy for a closed allotment that is acknowledged.
    """
    journal = _journal.Journal('p~1', max_bytes=MAX_BYTES)
    number = _journal.MAX_SEALED_IDS + 500
    for i in range(1, number + 1):
        journal.seal(f'h/{i}')
    assert len(journal._sealed) <= _journal.MAX_SEALED_IDS + 1
    for name in ('h/1', f'h/{number}'):
        assert append(journal, grant(name), bill(1, name)) == [name]
    for name in (f'h/{number + 1}', 'other/1'):
        assert append(journal, grant(name), bill(1, name)) == []


def test_transfer_by_the_holder_is_kept_as_a_copy():
    """Guards against a donor's entry that is taken for a new allotment."""
    journal = make_journal()
    transfer = _records.Transfer('h/1', 1, 'a', 9, 'h/2', 'o~1', 'p~1')
    assert append(journal, grant(), transfer) == []
    assert journal.entries('h/1') == [transfer]


def test_allotment_closed_in_the_ledger_is_rejected():
    """Guards against copies that are stored for a closed allotment.

    When the ledger is restored from a snapshot, the journal is not notified of
    the closes before it.
    """
    journal = make_journal()
    assert append(journal, grant(), bill(1), closed=['h/1']) == ['h/1']


@pytest.mark.parametrize(
    'records',
    [
        [bill(1)],
        [grant(), b'{'],
        [grant(), b'{"type":"bill"}'],
        [grant(), bill(1), grant(holder='x~1')],
        [grant(), bill(1), bill(1, 'h/9')],
    ],
)
def test_malformed_message_changes_nothing(records):
    """Guards against a message of which only a part is stored."""
    journal = make_journal()
    with pytest.raises(_journal.JournalMessageError):
        append(journal, *records)
    assert journal.used_bytes == 0
