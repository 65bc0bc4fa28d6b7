"""Measurements of the core modules, each in a fresh process."""

from __future__ import annotations

import itertools
import random
import uuid

from basilpond.core import Ledger
from basilpond.core import _accounts
from basilpond.core import _frames
from basilpond.core import _journal
from basilpond.core import _manifest
from basilpond.core import _records
from basilpond.core import _routing

from ._capacity_manifests import manifest_document
from ._capacity_manifests import manifest_endpoints
from ._capacity_manifests import manifest_organisations
from ._capacity_manifests import manifest_reach
from ._capacity_manifests import organisation_name
from ._capacity_membership import busy_membership
from ._capacity_membership import joint_start
from ._capacity_membership import quiet_membership
from ._capacity_slopes import Cost
from ._capacity_slopes import Experiment
from ._capacity_slopes import Slope

_HOLDER = 'nl-west-1-r1~1764800000000'
_PEER = 'nl-west-1-r2~1764800000000'
_DIGEST = 'd' * 64
_PLENTY_TOKENS = 10**12
_RECORDS_PER_BATCH = 100


def _id(number: int) -> str:
    """Return a request id of the usual length, always the same one."""
    return str(uuid.UUID(int=number, version=4))


def make_bill(
    number: int, allotment: str, seq: int, *, keyed: bool = False
) -> _records.Bill:
    """Return a bill of one allotment of the first organisation."""
    return _records.Bill(
        allotment=allotment,
        seq=seq,
        organisation=organisation_name(0),
        request_id=_id(number),
        tokens=500,
        outcome='complete',
        body_digest=_DIGEST,
        endpoint='nl-west-1-engine-0001',
        keyed=keyed,
    )


def _claim(number: int) -> _records.Claim:
    return _records.Claim(organisation_name(0), _id(number), _DIGEST, _HOLDER)


def make_grant(number: int, organisation: int = 0) -> _records.Grant:
    """Return the grant of an allotment of the own router."""
    return _records.Grant(
        f'{_HOLDER}/{number}',
        organisation_name(organisation),
        10_000,
        1,
        _HOLDER,
        _PEER,
    )


def _close(number: int) -> _records.Close:
    return _records.Close(f'{_HOLDER}/{number}', organisation_name(0), _PEER)


def _budget(number: int) -> _records.BudgetSet:
    return _records.BudgetSet(organisation_name(number), _PLENTY_TOKENS, 1)


def _payloads(records: list, first_seq: int) -> list[bytes]:
    return [
        _records.encode_record(
            _records.Batch(
                _HOLDER,
                first_seq + index // _RECORDS_PER_BATCH,
                records[index : index + _RECORDS_PER_BATCH],
            )
        )
        for index in range(0, len(records), _RECORDS_PER_BATCH)
    ]


def _fold(ledger: Ledger, payloads: list[bytes]) -> None:
    """Fold payloads as the ledger task does, from JSON text."""
    for payload in payloads:
        batch = _records.decode_batch(payload)
        for _ in ledger.apply(batch, ledger.offset + 1, 1):
            pass


def fold_budgets(ledger: Ledger, count: int) -> None:
    """Fold the budgets of as many organisations."""
    _fold(ledger, _payloads([_budget(n) for n in range(count)], 1))


def _ledger_with_account() -> Ledger:
    ledger = Ledger()
    wide = _records.Grant(
        f'{_HOLDER}/wide', organisation_name(0), 10**9, 1, _HOLDER, _PEER
    )
    _fold(ledger, _payloads([_budget(0), wide], 1))
    return ledger


def fold_bills(size: int) -> dict[str, float]:
    """Fold unkeyed bills; their encoding is not counted."""
    ledger = _ledger_with_account()
    bills = [make_bill(n, f'{_HOLDER}/wide', n + 1) for n in range(size)]
    payloads = _payloads(bills, 2)
    total_bytes = sum(map(len, payloads))
    del bills
    with Cost() as cost:
        _fold(ledger, payloads)
    assert ledger.budget(organisation_name(0)).spent_tokens == 500 * size
    return {'fold_bill': cost.ms, 'bill_bytes': total_bytes / 1000}


def fold_grants(size: int) -> dict[str, float]:
    """Fold grants that are closed at once."""
    ledger = _ledger_with_account()
    pairs = [
        (
            make_grant(n),
            _records.Close(f'{_HOLDER}/{n}', organisation_name(0), _PEER),
        )
        for n in range(size)
    ]
    payloads = _payloads(list(itertools.chain.from_iterable(pairs)), 2)
    total_bytes = sum(map(len, payloads))
    with Cost() as cost:
        _fold(ledger, payloads)
    return {'fold_grant_close': cost.ms, 'grant_bytes': total_bytes / 1000}


def _grown(make, size: int) -> tuple[float, float, float, float]:
    """Return memory, size, time and load time of a snapshot."""
    ledger = _ledger_with_account()
    # Records are made a batch at a time: memory that was freed before would
    # hide growth.
    with Cost() as fold:
        for start in range(0, size, _RECORDS_PER_BATCH):
            records = [make(start + n) for n in range(_RECORDS_PER_BATCH)]
            seq = 2 + start // _RECORDS_PER_BATCH
            _fold(ledger, _payloads(records, seq))
    with Cost() as snapshot:
        state = ledger.to_snapshot()
    with Cost() as load:
        assert Ledger.from_snapshot(state).offset == ledger.offset
    return fold.kb, len(state) / 1000, snapshot.ms, load.ms


def budgets(size: int) -> dict[str, float]:
    """Hold budgets without allotments."""
    memory, snapshot, spent, loaded = _grown(_budget, size)
    return {
        'budget_memory': memory,
        'budget_snapshot': snapshot,
        'budget_snapshot_time': spent,
        'budget_load_time': loaded,
    }


def allotments(size: int) -> dict[str, float]:
    """Hold open allotments."""
    memory, snapshot, spent, loaded = _grown(make_grant, size)
    return {
        'allotment_memory': memory,
        'allotment_snapshot': snapshot,
        'allotment_snapshot_time': spent,
        'allotment_load_time': loaded,
    }


def claims(size: int) -> dict[str, float]:
    """Hold open claims."""
    memory, snapshot, spent, _ = _grown(_claim, size)
    return {
        'claim_memory': memory,
        'claim_snapshot': snapshot,
        'claim_snapshot_time': spent,
    }


def keyed_ids(size: int) -> dict[str, float]:
    """Hold keyed bills without claims, as of chat requests."""
    memory, snapshot, spent, _ = _grown(
        lambda n: make_bill(n, f'{_HOLDER}/wide', n + 1, keyed=True), size
    )
    return {
        'keyed_memory': memory,
        'keyed_snapshot': snapshot,
        'keyed_snapshot_time': spent,
    }


def accounts(size: int) -> dict[str, float]:
    """Hold allotments of many organisations and serve requests on them."""
    held = _accounts.Accounts(_HOLDER)
    with Cost() as memory:
        for number in range(size):
            grant = make_grant(number, number)
            held.add(grant.allotment, grant.want_tokens, grant)
    with Cost() as check:
        for _ in range(20):
            held.close_finished()
    return {
        'account_memory': memory.kb,
        'account_check': check.ms / 20,
    }


def account_requests(size: int) -> dict[str, float]:
    """Hold, bill and settle requests of 100 organisations."""
    held = _accounts.Accounts(_HOLDER)
    for number in range(100):
        grant = make_grant(number, number)
        held.add(grant.allotment, 10**9, grant)
    with Cost() as cost:
        for number in range(size):
            hold = held.hold(organisation_name(number % 100), 1000)
            draft = _accounts.BillDraft(
                request_id='r',
                tokens=500,
                outcome='complete',
                body_digest=_DIGEST,
                endpoint='e',
            )
            bill = held.charge(hold, draft)
            _records.encode_record(bill)
            held.on_entry_applied(
                bill.allotment, bill.seq, accepted=True, refunded=False
            )
    return {'account_request': cost.ms}


def journal(size: int) -> dict[str, float]:
    """Keep copies of bills, then drop them all."""
    grant = _records.encode_record(make_grant(0))
    copies = [
        _records.encode_record(make_bill(n, f'{_HOLDER}/0', n + 1))
        for n in range(size)
    ]
    kept = _journal.Journal(_PEER, max_bytes=10**9)
    # The holder sends fresh bytes each time; a copy of the list shares them.
    with Cost() as append:
        for copy in copies:
            kept.append(
                _HOLDER,
                [bytes(bytearray(grant)), bytes(bytearray(copy))],
                is_closed=lambda allotment: False,
            )
    with Cost() as decide:
        for number in range(size):
            kept.record_decided(
                f'{_HOLDER}/0', number + 1, open_holder=_HOLDER
            )
    return {
        'journal_copy': append.ms + decide.ms,
        'journal_memory': append.kb,
    }


def choose(size: int) -> dict[str, float]:
    """Choose among endpoints of one model, a tenth of them local."""
    document = manifest_document(1, size * 10, size * 10)
    table = _routing.EndpointTable('sicilia-00', random.Random(1))
    table.set_manifest(_manifest.decode_manifest(document))
    query = _routing.RouteQuery(
        organisation_name(0), model='model-0', prefix_digests=tuple(range(40))
    )
    table.choose(query, 0.0)
    rounds = 500
    with Cost() as cost:
        for _ in range(rounds):
            table.choose(query, 0.0)
    return {'choose': cost.ms / rounds * 1000}


def frames(size: int) -> dict[str, float]:
    """Check streamed frames of one token each."""
    frame = (
        b'data: {"id":"chatcmpl-a1","object":"chat.completion.chunk",'
        b'"created":1,"model":"m1","choices":[{"index":0,"delta":'
        b'{"content":"word"},"finish_reason":null}]}\n\n'
    )
    check = _frames.StreamCheck(
        attempt_id='a1', model='m1', max_output_tokens=size + 1
    )
    with Cost() as cost:
        for _ in range(size):
            assert check.feed(frame).problem is None
    return {'frame': cost.ms}


_US_PER_MS = 1000
_B_PER_KB = 1000


def _time(name: str, title: str, per: str) -> Slope:
    return Slope(name, title, 'ms', _US_PER_MS, f'us/{per}')


def _size(name: str, title: str, per: str) -> Slope:
    return Slope(name, title, 'KB', _B_PER_KB, f'B/{per}')


def _state(name: str, title: str, *, load: bool = False) -> tuple[Slope, ...]:
    slopes = (
        _size(f'{name}_memory', f'memory of {title}', name),
        _size(f'{name}_snapshot', f'snapshot of {title}', name),
        _time(f'{name}_snapshot_time', f'snapshot time of {title}', name),
    )
    if load:
        title = f'snapshot load time of {title}'
        slopes += (_time(f'{name}_load_time', title, name),)
    return slopes


def _manifest_slopes(name: str, title: str, per: str) -> tuple[Slope, ...]:
    return (
        _time(f'{name}_decode', f'manifest decode over {title}', per),
        _size(f'{name}_memory', f'manifest memory over {title}', per),
        _size(f'{name}_document', f'manifest document over {title}', per),
    )


def _member_slopes(state: str, title: str) -> tuple[Slope, ...]:
    return tuple(
        Slope(
            f'member_{state}_{name}',
            f'gossip {what}, {title}',
            unit,
            factor,
            per,
        )
        for name, what, unit, factor, per in (
            ('bytes', 'both ways', 'B/s', 1, 'B/s/member'),
            ('messages', 'messages', '1/s', 1, '1/s/member'),
            ('time', 'processor time', 'ms/s', 1, 'ms/s/member'),
            ('memory', 'state', 'KB', _B_PER_KB, 'B/member'),
        )
    )


_MANY = (10_000, 20_000, 40_000)
CORE_EXPERIMENTS = (
    Experiment(
        'requests',
        (10_000, 20_000, 40_000),
        fold_bills,
        (
            _time('fold_bill', 'fold of bills', 'bill'),
            _size('bill_bytes', 'log entries of bills', 'bill'),
        ),
    ),
    Experiment(
        'grants',
        (5_000, 10_000, 20_000),
        fold_grants,
        (
            _time('fold_grant_close', 'fold of grant and close', 'grant'),
            _size('grant_bytes', 'log entries of grant and close', 'grant'),
        ),
    ),
    Experiment(
        'budgets',
        (5_000, 10_000, 21_000),
        budgets,
        _state('budget', 'budgets', load=True),
    ),
    Experiment(
        'open allotments',
        _MANY,
        allotments,
        _state('allotment', 'open allotments', load=True),
    ),
    Experiment('claims', _MANY, claims, _state('claim', 'claims')),
    Experiment('keyed ids', _MANY, keyed_ids, _state('keyed', 'keyed bills')),
    Experiment(
        'own allotments',
        (2_000, 8_000, 21_000),
        accounts,
        (
            _size('account_memory', 'memory of own allotments', 'allotment'),
            _time('account_check', 'check for finished ones', 'allotment'),
        ),
    ),
    Experiment(
        'requests',
        (5_000, 10_000, 20_000),
        account_requests,
        (_time('account_request', 'hold, bill and settle', 'request'),),
    ),
    Experiment(
        'copies',
        (5_000, 10_000, 20_000),
        journal,
        (
            _time('journal_copy', 'journal copy, kept and dropped', 'copy'),
            _size('journal_memory', 'memory of journal copies', 'copy'),
        ),
    ),
    Experiment(
        'members',
        (8, 64, 350),
        busy_membership,
        _member_slopes('busy', 'with an update of each member to send'),
    ),
    Experiment(
        'members',
        (8, 64, 350),
        quiet_membership,
        _member_slopes('quiet', 'without news'),
    ),
    Experiment(
        'members',
        (8, 16, 32),
        joint_start,
        (Slope('member_join', 'joint start', 's', 1, 's/member'),),
    ),
    Experiment(
        'organisations',
        (200, 600, 1_400),
        manifest_organisations,
        _manifest_slopes('organisation', 'organisations', 'organisation'),
    ),
    Experiment(
        'endpoints',
        (350, 1_000, 3_500),
        manifest_endpoints,
        _manifest_slopes('endpoint', 'endpoints', 'endpoint'),
    ),
    Experiment(
        'reachable endpoints of 100 organisations',
        (100, 400, 1_000),
        manifest_reach,
        _manifest_slopes('reach', 'reachable endpoints', 'endpoint'),
    ),
    Experiment(
        'endpoints of the model',
        (35, 100, 350),
        choose,
        (Slope('choose', 'choose()', 'us', 1, 'us/endpoint'),),
    ),
    Experiment(
        'streamed tokens',
        (20_000, 40_000, 80_000),
        frames,
        (_time('frame', 'check of streamed frames', 'token'),),
    ),
)
