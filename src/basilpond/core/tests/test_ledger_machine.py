"""Compares the ledger with a slow model that recomputes every sum."""

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
    forget_ms: float = float('inf')

    def left(self):
        return self.start_tokens - sum(
            entry.tokens for entry, why in self.applied.values() if not why
        )


class Model:
    """One organisation, as lists that are searched from the start."""

    def __init__(self):
        self.now = 0
        self.budget = None
        self.version = 0
        self.allotments = {}
        self.counted = []  # (bill, time)
        self.claims = {}  # key -> [holder, state, time]
        self.waiting = []  # (record, time)

    def known(self, name):
        found = self.allotments.get(name)
        if found is not None and self.now > found.forget_ms:
            return None
        return found

    def billed(self, key):
        return any(
            b.request_id == key and self.now - t <= KEEP_KEYED_MS
            for b, t in self.counted
            if b.keyed
        )

    def claim(self, key):
        found = self.claims.get(key)
        if found is not None and self.now - found[2] > KEEP_KEYED_MS:
            return None
        return found

    def spent(self):
        return sum(b.tokens for b, _ in self.counted)

    def outstanding(self):
        return sum(a.left() for a in self.allotments.values() if not a.closed)

    def expire(self):
        out = []
        while True:
            since = {}
            for record, t in self.waiting:
                since.setdefault(record.allotment, t)
            late = [n for n, t in since.items() if self.now - t > WINDOW_MS]
            if not late:
                return out
            out += self.refuse(late[0])

    def refuse(self, name):
        out = []
        for record in self.take_waiting(name):
            if isinstance(record, Close):
                out += [(e.allotment, e.seq, 'closed') for e in record.entries]
                out.append((name, record.closer, 'closed'))
            else:
                out.append((name, record.seq, 'closed'))
        return out

    def take_waiting(self, name):
        taken = [r for r, _ in self.waiting if r.allotment == name]
        self.waiting = [w for w in self.waiting if w[0].allotment != name]
        return taken

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
                        self.now,
                    ]
                return [(record.request_id, won)]
            case ClaimAbandon():
                found = self.claim(record.request_id)
                ok = found is not None and found[:2] == [record.holder, 'open']
                if ok:
                    found[1:] = ['abandoned', self.now]
                return [(record.request_id, ok)]
        target = self.known(record.allotment)
        if target is None:
            if all(record != r for r, _ in self.waiting):
                self.waiting.append((record, self.now))
            return []
        if isinstance(record, Close):
            return self.close(record, target)
        return self.enter(record, target)

    def grant(self, record):
        old = self.known(record.allotment)
        if old is not None:
            mine = old.holder == record.holder and not old.closed
            return old.start_tokens - self.moved(old) if mine else 0
        waits = any(r.allotment == record.allotment for r, _ in self.waiting)
        if self.budget is None or waits:
            return 0
        free = self.budget - self.spent() - self.outstanding()
        got = min(free, record.want_tokens)
        if got < record.min_tokens or got < 1:
            return 0
        self.allotments[record.allotment] = ModelAllotment(
            record.holder, record.journal_peer, got
        )
        return got

    def moved(self, allotment):
        return sum(
            e.tokens
            for e, why in allotment.applied.values()
            if not why and not isinstance(e, Bill)
        )

    def enter(self, entry, target):
        if entry.seq in target.applied:
            why = target.applied[entry.seq][1]
            return [(entry.allotment, entry.seq, why)]
        why = ''
        if target.closed:
            why = 'closed'
        elif (
            isinstance(entry, Bill)
            and entry.keyed
            and self.billed(entry.request_id)
        ):
            why = 'duplicate_bill'
        elif entry.tokens > target.left():
            why = 'overdrawn'
        elif isinstance(entry, Transfer) and self.known(entry.new_allotment):
            why = 'invalid'
        if why not in ('closed', 'invalid'):
            target.applied[entry.seq] = (entry, why)
        out = [(entry.allotment, entry.seq, why)]
        if isinstance(entry, Bill) and not why:
            self.counted.append((entry, self.now))
            claim = self.claim(entry.request_id)
            if entry.keyed and claim is not None:
                claim[1:] = ['billed', self.now]
        if isinstance(entry, Transfer) and why != 'invalid':
            out += self.settle(entry, why)
        return out

    def settle(self, transfer, why):
        name = transfer.new_allotment
        if not why:
            self.allotments[name] = ModelAllotment(
                transfer.holder, transfer.journal_peer, transfer.tokens
            )
            out = []
            for record in self.take_waiting(name):
                out += self.apply(record)
            return out
        if self.known(name) is None:
            self.allotments[name] = ModelAllotment(
                transfer.holder,
                transfer.journal_peer,
                0,
                closed=True,
                forget_ms=self.now + WINDOW_MS,
            )
        return self.refuse(name)

    def close(self, record, target):
        allowed = (
            record.forced
            or target.peer is None
            or record.closer in (target.holder, target.peer)
        )
        if not allowed and not target.closed:
            return [(record.allotment, record.closer, 'not_allowed')]
        out = []
        for entry in record.entries:
            out += self.enter(entry, target)
        why = 'closed' if target.closed else ''
        if not target.closed:
            target.closed = True
            keep = (
                _ledger.CLOSED_BY_HOLDER_KEEP_MS
                if record.closer == target.holder
                else WINDOW_MS
            )
            target.forget_ms = self.now + keep
        return [*out, (record.allotment, record.closer, why)]


def shorten(result):
    """Give a result of the ledger the form that the model uses."""
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
        # Folds everything; the other one is restored from snapshots.
        self.whole = Ledger(deduplication_window_ms=WINDOW_MS)
        self.offset = 0
        self.seqs = dict.fromkeys(ROUTERS, 0)
        self.batches = []
        self.next_name = 0
        self.next_seq = {}
        self.unlogged = []
        self.lowered = False

    def append(self, batch):
        fresh = batch.seq > self.applied_seq(batch.writer)
        expected = self.model.expire()
        for record in batch.records if fresh else ():
            expected += self.model.apply(record)
        now = self.model.now
        results = list(self.ledger.apply(batch, self.offset, now))
        again = list(self.whole.apply(batch, self.offset, now))
        assert results == again
        assert [shorten(r) for r in results] == expected
        self.offset += 1
        if fresh:
            self.batches.append((batch, now))

    def applied_seq(self, writer):
        kept = [(b.seq, t) for b, t in self.batches if b.writer == writer]
        if not kept or self.model.now - kept[-1][1] > WINDOW_MS:
            return 0
        return kept[-1][0]

    def put(self, writer, *records):
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
        self.put('r1', BudgetSet('o', tokens, 1))

    @stateful.rule(
        writer=writers, change=st.integers(-30, 60), up=st.booleans()
    )
    def set_budget(self, writer, change, up):
        tokens = max(0, self.model.budget + change)
        self.lowered |= up and change < 0
        version = self.model.version + up
        self.put(writer, BudgetSet('o', tokens, version))

    @stateful.rule(
        target=names,
        writer=writers,
        want=st.integers(0, 90),
        least=amounts,
        peer=peers,
    )
    def grant(self, writer, want, least, peer):
        name = self.new_name()
        self.put(writer, Grant(name, 'o', want, least, writer, peer))
        return name

    @stateful.rule(name=names, holder=writers)
    def grant_a_known_name(self, name, holder):
        self.put(holder, Grant(name, 'o', 5, 1, holder))

    @stateful.rule(
        writer=writers, name=names, skip=skips, tokens=amounts, key=keys
    )
    def bill(self, writer, name, skip, tokens, key):
        self.put(writer, self.make_bill(name, skip, tokens, key))

    @stateful.rule(writer=writers, name=names, skip=skips, tokens=amounts)
    def give_back(self, writer, name, skip, tokens):
        seq = self.new_seq(name, skip)
        self.put(writer, Return(name, seq, 'o', tokens))

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
            self.put(holder, entry)
        else:
            self.unlogged.append(entry)
        return new

    @stateful.precondition(lambda self: self.unlogged)
    @stateful.rule(writer=writers, data=st.data())
    def log_transfer(self, writer, data):
        i = data.draw(st.integers(0, len(self.unlogged) - 1))
        self.put(writer, self.unlogged.pop(i))

    @stateful.rule(name=names, new=names, tokens=amounts, holder=writers)
    def transfer_to_a_known_name(self, name, new, tokens, holder):
        seq = self.new_seq(name, 0)
        self.put(holder, Transfer(name, seq, 'o', tokens, new, holder))

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
        self.put(closer, Close(name, 'o', closer, entries, forced))

    def entries(self):
        return [
            record
            for batch, _ in self.batches
            for record in batch.records
            if isinstance(record, Bill | Transfer | Return)
        ]

    @stateful.rule(writer=writers, data=st.data())
    def copy_an_entry(self, writer, data):
        entries = self.entries()
        if entries:
            self.put(writer, data.draw(st.sampled_from(entries)))

    @stateful.rule(holder=writers, key=st.sampled_from(KEYS))
    def claim(self, holder, key):
        self.put(holder, Claim('o', key, f'd-{holder}', holder))

    @stateful.rule(holder=writers, key=st.sampled_from(KEYS))
    def abandon(self, holder, key):
        self.put(holder, ClaimAbandon('o', key, holder))

    @stateful.rule(data=st.data())
    def repeat_a_batch(self, data):
        batch, _ = data.draw(st.sampled_from(self.batches))
        self.append(batch)

    @stateful.rule(
        ms=st.sampled_from([1000, 60_000, HOUR_MS, WINDOW_MS, WINDOW_MS + 1])
    )
    def pass_time(self, ms):
        self.model.now += ms

    @stateful.rule()
    def restore_from_a_snapshot(self):
        self.ledger = Ledger.from_snapshot(
            self.ledger.to_snapshot(), deduplication_window_ms=WINDOW_MS
        )

    @stateful.invariant()
    def same_state(self):
        model, ledger = self.model, self.ledger
        assert ledger.to_snapshot() == self.whole.to_snapshot()
        budget = ledger.budget('o')
        if budget is None:
            return
        assert budget.spent_tokens == model.spent()
        assert budget.outstanding_tokens == model.outstanding()
        assert budget.free_tokens >= 0 or self.lowered
        ledger.check_sums()
        held = {
            (a.allotment, r, a.journal_peer, a.remaining_tokens)
            for r in ROUTERS
            for a in ledger.allotments_of(r)
        }
        assert held == {
            (name, a.holder, a.peer, a.left())
            for name, a in model.allotments.items()
            if not a.closed
        }

    @stateful.invariant()
    def same_claims(self):
        # Ids are forgotten with the next batch, the model does so at once.
        self.put('r1')
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
