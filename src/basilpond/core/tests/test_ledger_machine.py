"""Compares the ledger with a slow model that recomputes every sum.

The state machine appends random records, copies and repeated batches, lets
time pass and restores snapshots. After each step the results, the sums and
the claims of the ledger must equal those of the model.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from basilpond.core import _ledger
from basilpond.core._ledger import Ledger
from basilpond.core._records import Batch
from basilpond.core._records import Bill
from basilpond.core._records import BudgetSet
from basilpond.core._records import Claim
from basilpond.core._records import ClaimAbandon
from basilpond.core._records import Close
from basilpond.core._records import Grant
from basilpond.core._records import Return
from basilpond.core._records import Transfer

HOUR_MS = _ledger.HOUR_MS
WINDOW_MS = 4 * HOUR_MS
KEEP_KEYED_MS = WINDOW_MS + _ledger.KEY_MARGIN_MS
ROUTERS = ['r1', 'r2', 'r3']
KEYS = ['k1', 'k2', 'k3']


@dataclasses.dataclass
class ModelAllotment:
    holder: str
    peer: str | None
    start_tokens: int
    applied: dict = dataclasses.field(default_factory=dict)
    closed: bool = False
    expires_ms: float = float('inf')

    def unspent_tokens(self):
        return self.start_tokens - sum(
            entry.tokens
            for entry, reject_reason in self.applied.values()
            if not reject_reason
        )


class Model:
    """Model of a ledger with one organisation; scans lists for every result.

    Results are tuples as `to_model_result` returns them. Times are in ms.
    """

    def __init__(self):
        self.now_ms = 0
        self.budget = None
        self.version = 0
        self.allotments = {}
        self.counted_bills = []  # (bill, time)
        self.claims = {}  # key -> [holder, state, time]
        self.waiting = []  # (record, time)

    def find(self, name):
        found = self.allotments.get(name)
        if found is not None and self.now_ms > found.expires_ms:
            return None
        return found

    def billed(self, key):
        return any(
            b.request_id == key and self.now_ms - t <= KEEP_KEYED_MS
            for b, t in self.counted_bills
            if b.keyed
        )

    def claim(self, key):
        found = self.claims.get(key)
        if found is not None and self.now_ms - found[2] > KEEP_KEYED_MS:
            return None
        return found

    def spent(self):
        return sum(b.tokens for b, _ in self.counted_bills)

    def outstanding(self):
        return sum(
            a.unspent_tokens()
            for a in self.allotments.values()
            if not a.closed
        )

    def expire(self):
        outcomes = []
        while True:
            waiting_since = {}
            for record, t in self.waiting:
                waiting_since.setdefault(record.allotment, t)
            expired = [
                n
                for n, t in waiting_since.items()
                if self.now_ms - t > WINDOW_MS
            ]
            if not expired:
                return outcomes
            outcomes += self.reject_waiting(expired[0])

    def reject_waiting(self, name):
        outcomes = []
        for record in self.pop_waiting(name):
            if isinstance(record, Close):
                outcomes += [
                    (e.allotment, e.seq, 'closed') for e in record.entries
                ]
                outcomes.append((name, record.closer, 'closed'))
            else:
                outcomes.append((name, record.seq, 'closed'))
        return outcomes

    def pop_waiting(self, name):
        popped = [r for r, _ in self.waiting if r.allotment == name]
        self.waiting = [w for w in self.waiting if w[0].allotment != name]
        return popped

    def apply(self, record):
        match record:
            case BudgetSet():
                ok = record.manifest_version > self.version
                if ok:
                    self.version = record.manifest_version
                    self.budget = record.budget_tokens
                return [('budget', ok)]
            case Grant():
                return [(record.allotment, self.grant(record))]
            case Claim():
                found = self.claim(record.request_id)
                won = not self.billed(record.request_id) and (
                    found is None or found[1] == 'abandoned'
                )
                if won:
                    self.claims[record.request_id] = [
                        record.holder,
                        'open',
                        self.now_ms,
                    ]
                return [(record.request_id, won)]
            case ClaimAbandon():
                found = self.claim(record.request_id)
                ok = found is not None and found[:2] == [record.holder, 'open']
                if ok:
                    found[1:] = ['abandoned', self.now_ms]
                return [(record.request_id, ok)]
        target = self.find(record.allotment)
        if target is None:
            if all(record != r for r, _ in self.waiting):
                self.waiting.append((record, self.now_ms))
            return []
        if isinstance(record, Close):
            return self.close(record, target)
        return self.apply_entry(record, target)

    def grant(self, record):
        existing = self.find(record.allotment)
        if existing is not None:
            same_holder = (
                existing.holder == record.holder and not existing.closed
            )
            return (
                existing.start_tokens - self.removed_tokens(existing)
                if same_holder
                else 0
            )
        is_provisional = any(
            r.allotment == record.allotment for r, _ in self.waiting
        )
        if self.budget is None or is_provisional:
            return 0
        free = self.budget - self.spent() - self.outstanding()
        granted = min(free, record.want_tokens)
        if granted < record.min_tokens or granted < 1:
            return 0
        self.allotments[record.allotment] = ModelAllotment(
            record.holder, record.journal_peer, granted
        )
        return granted

    def removed_tokens(self, allotment):
        return sum(
            e.tokens
            for e, reject_reason in allotment.applied.values()
            if not reject_reason and not isinstance(e, Bill)
        )

    def apply_entry(self, entry, target):
        if entry.seq in target.applied:
            reject_reason = target.applied[entry.seq][1]
            return [(entry.allotment, entry.seq, reject_reason)]
        reject_reason = ''
        if target.closed:
            reject_reason = 'closed'
        elif (
            isinstance(entry, Bill)
            and entry.keyed
            and self.billed(entry.request_id)
        ):
            reject_reason = 'duplicate_bill'
        elif entry.tokens > target.unspent_tokens():
            reject_reason = 'overdrawn'
        elif isinstance(entry, Transfer) and self.find(entry.new_allotment):
            reject_reason = 'invalid'
        if reject_reason not in ('closed', 'invalid'):
            target.applied[entry.seq] = (entry, reject_reason)
        outcomes = [(entry.allotment, entry.seq, reject_reason)]
        if isinstance(entry, Bill) and not reject_reason:
            self.counted_bills.append((entry, self.now_ms))
            claim = self.claim(entry.request_id)
            if entry.keyed and claim is not None:
                claim[1:] = ['billed', self.now_ms]
        if isinstance(entry, Transfer) and reject_reason != 'invalid':
            outcomes += self.apply_transfer(entry, reject_reason)
        return outcomes

    def apply_transfer(self, transfer, reject_reason):
        name = transfer.new_allotment
        if not reject_reason:
            self.allotments[name] = ModelAllotment(
                transfer.holder, transfer.journal_peer, transfer.tokens
            )
            outcomes = []
            for record in self.pop_waiting(name):
                outcomes += self.apply(record)
            return outcomes
        if self.find(name) is None:
            self.allotments[name] = ModelAllotment(
                transfer.holder,
                transfer.journal_peer,
                0,
                closed=True,
                expires_ms=self.now_ms + WINDOW_MS,
            )
        return self.reject_waiting(name)

    def close(self, record, target):
        allowed = (
            record.forced
            or target.peer is None
            or record.closer in (target.holder, target.peer)
        )
        if not allowed and not target.closed:
            return [(record.allotment, record.closer, 'not_allowed')]
        outcomes = []
        for entry in record.entries:
            outcomes += self.apply_entry(entry, target)
        reject_reason = 'closed' if target.closed else ''
        if not target.closed:
            target.closed = True
            keep_ms = (
                _ledger.CLOSED_BY_HOLDER_KEEP_MS
                if record.closer == target.holder
                else WINDOW_MS
            )
            target.expires_ms = self.now_ms + keep_ms
        return [*outcomes, (record.allotment, record.closer, reject_reason)]


def to_model_result(result):
    """Convert a result of the ledger to the form that the model uses."""
    match type(result).__name__:
        case 'BudgetApplied':
            return ('budget', result.accepted)
        case 'GrantDecided':
            return (result.allotment, result.granted_tokens)
        case 'EntryApplied':
            assert result.accepted == (not result.reason)
            return (result.allotment, result.seq, result.reason)
        case 'AllotmentClosed':
            return (result.allotment, result.closer, '')
        case 'CloseRejected':
            return (result.allotment, result.closer, result.reason)
        case 'ClaimDecided':
            return (result.request_id, result.won)
    return (result.request_id, result.accepted)


class LedgerMachine(stateful.RuleBasedStateMachine):
    names = stateful.Bundle('names')

    def __init__(self):
        super().__init__()
        self.model = Model()
        self.ledger = Ledger(deduplication_window_ms=WINDOW_MS)
        # Applies all entries; `ledger` is also restored from snapshots.
        self.reference = Ledger(deduplication_window_ms=WINDOW_MS)
        self.offset = 0
        self.seqs = dict.fromkeys(ROUTERS, 0)
        self.batches = []
        self.next_name = 0
        self.next_seq = {}
        self.unlogged = []
        self.budget_lowered = False

    def append(self, batch):
        is_new = batch.seq > self.applied_seq(batch.writer)
        expected = self.model.expire()
        for record in batch.records if is_new else ():
            expected += self.model.apply(record)
        now_ms = self.model.now_ms
        results = list(self.ledger.apply(batch, self.offset, now_ms))
        reference_results = list(
            self.reference.apply(batch, self.offset, now_ms)
        )
        assert results == reference_results
        assert [to_model_result(r) for r in results] == expected
        self.offset += 1
        if is_new:
            self.batches.append((batch, now_ms))

    def applied_seq(self, writer):
        kept = [(b.seq, t) for b, t in self.batches if b.writer == writer]
        if not kept or self.model.now_ms - kept[-1][1] > WINDOW_MS:
            return 0
        return kept[-1][0]

    def append_records(self, writer, *records):
        self.seqs[writer] += 1
        self.append(Batch(writer, self.seqs[writer], list(records)))

    def new_name(self):
        self.next_name += 1
        return f'a{self.next_name}'

    def new_seq(self, name, skip):
        self.next_seq[name] = self.next_seq.get(name, 0) + 1 + skip
        return self.next_seq[name]

    def make_bill(self, name, skip, tokens, key):
        seq = self.new_seq(name, skip)
        return Bill(
            allotment=name,
            seq=seq,
            organisation='o',
            request_id=key or f'{name}/{seq}',
            tokens=tokens,
            outcome='complete',
            body_digest='d',
            endpoint='e',
            keyed=key is not None,
        )

    writers = st.sampled_from(ROUTERS)
    amounts = st.integers(0, 40)
    skips = st.sampled_from([0, 0, 0, 1])
    keys = st.none() | st.sampled_from(KEYS)
    peers = st.none() | st.sampled_from(ROUTERS)

    @stateful.initialize(tokens=st.integers(20, 200))
    def first_budget(self, tokens):
        self.append_records('r1', BudgetSet('o', tokens, 1))

    @stateful.rule(
        writer=writers,
        change=st.integers(-30, 60),
        raise_version=st.booleans(),
    )
    def set_budget(self, writer, change, raise_version):
        tokens = max(0, self.model.budget + change)
        self.budget_lowered |= raise_version and change < 0
        version = self.model.version + raise_version
        self.append_records(writer, BudgetSet('o', tokens, version))

    @stateful.rule(
        target=names,
        writer=writers,
        wanted=st.integers(0, 90),
        minimum=amounts,
        peer=peers,
    )
    def grant(self, writer, wanted, minimum, peer):
        name = self.new_name()
        self.append_records(
            writer, Grant(name, 'o', wanted, minimum, writer, peer)
        )
        return name

    @stateful.rule(name=names, holder=writers)
    def grant_known_allotment(self, name, holder):
        self.append_records(holder, Grant(name, 'o', 5, 1, holder))

    @stateful.rule(
        writer=writers, name=names, skip=skips, tokens=amounts, key=keys
    )
    def bill(self, writer, name, skip, tokens, key):
        self.append_records(writer, self.make_bill(name, skip, tokens, key))

    @stateful.rule(writer=writers, name=names, skip=skips, tokens=amounts)
    def return_tokens(self, writer, name, skip, tokens):
        seq = self.new_seq(name, skip)
        self.append_records(writer, Return(name, seq, 'o', tokens))

    @stateful.rule(
        target=names,
        name=names,
        skip=skips,
        tokens=amounts,
        holder=writers,
        peer=peers,
        logged=st.booleans(),
    )
    def transfer(self, name, skip, tokens, holder, peer, logged):
        new = self.new_name()
        seq = self.new_seq(name, skip)
        entry = Transfer(name, seq, 'o', tokens, new, holder, peer)
        if logged:
            self.append_records(holder, entry)
        else:
            self.unlogged.append(entry)
        return new

    @stateful.precondition(lambda self: self.unlogged)
    @stateful.rule(writer=writers, data=st.data())
    def log_transfer(self, writer, data):
        i = data.draw(st.integers(0, len(self.unlogged) - 1))
        self.append_records(writer, self.unlogged.pop(i))

    @stateful.rule(name=names, new=names, tokens=amounts, holder=writers)
    def transfer_to_known_allotment(self, name, new, tokens, holder):
        seq = self.new_seq(name, 0)
        self.append_records(
            holder, Transfer(name, seq, 'o', tokens, new, holder)
        )

    @stateful.rule(
        name=names,
        closer=writers,
        forced=st.booleans(),
        skip=skips,
        bills=st.lists(st.tuples(amounts, keys), max_size=2),
        copies=st.integers(0, 3),
    )
    def close(self, name, closer, forced, skip, bills, copies):
        entries = [e for e in self.entries() if e.allotment == name]
        entries = entries[len(entries) - copies :] if copies else []
        entries += [self.make_bill(name, skip, t, key) for t, key in bills]
        forced = forced and closer == 'r3'
        self.append_records(closer, Close(name, 'o', closer, entries, forced))

    def entries(self):
        return [
            record
            for batch, _ in self.batches
            for record in batch.records
            if isinstance(record, Bill | Transfer | Return)
        ]

    @stateful.rule(writer=writers, data=st.data())
    def append_entry_again(self, writer, data):
        entries = self.entries()
        if entries:
            self.append_records(writer, data.draw(st.sampled_from(entries)))

    @stateful.rule(holder=writers, key=st.sampled_from(KEYS))
    def claim(self, holder, key):
        self.append_records(holder, Claim('o', key, f'd-{holder}', holder))

    @stateful.rule(holder=writers, key=st.sampled_from(KEYS))
    def abandon(self, holder, key):
        self.append_records(holder, ClaimAbandon('o', key, holder))

    @stateful.rule(data=st.data())
    def append_batch_again(self, data):
        batch, _ = data.draw(st.sampled_from(self.batches))
        self.append(batch)

    @stateful.rule(
        ms=st.sampled_from([1000, 60_000, HOUR_MS, WINDOW_MS, WINDOW_MS + 1])
    )
    def pass_time(self, ms):
        self.model.now_ms += ms

    @stateful.rule()
    def restore_from_snapshot(self):
        self.ledger = Ledger.from_snapshot(
            self.ledger.to_snapshot(), deduplication_window_ms=WINDOW_MS
        )

    @stateful.invariant()
    def same_state(self):
        model, ledger = self.model, self.ledger
        assert ledger.to_snapshot() == self.reference.to_snapshot()
        budget = ledger.budget('o')
        if budget is None:
            return
        assert budget.spent_tokens == model.spent()
        assert budget.outstanding_tokens == model.outstanding()
        assert budget.free_tokens >= 0 or self.budget_lowered
        ledger.check_sums()
        held = {
            (a.allotment, r, a.journal_peer, a.remaining_tokens)
            for r in ROUTERS
            for a in ledger.allotments_of(r)
        }
        assert held == {
            (name, a.holder, a.peer, a.unspent_tokens())
            for name, a in model.allotments.items()
            if not a.closed
        }

    @stateful.invariant()
    def same_claims(self):
        # The ledger drops expired ids with the next batch, the model at once.
        self.append_records('r1')
        for key in KEYS:
            view = self.ledger.claim('o', key)
            claim = self.model.claim(key)
            if claim is None:
                assert view is None or view.state == 'billed'
            else:
                assert [view.holder, view.state] == claim[:2]
            recorded = self.ledger.recorded_bill('o', key)
            assert (recorded is not None) == self.model.billed(key)


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)
