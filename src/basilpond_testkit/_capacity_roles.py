"""Cost of each role at the target size, worked out from the slopes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math

from ._capacity_core import REACHABLE
from ._capacity_slopes import Line

# Target size in section 3 of the design.
NODES = 350
REQUESTS_PER_S = 35_000
TOKENS_PER_S = 12_000_000
BUDGETS = 21_000
ORGANISATIONS = 1_400
ENDPOINTS = 3_500
MODELS = 10
CHANGES_PER_DAY = 5_600
# Limits of the control work of a node.
CPU_MS_PER_S = 47.0
MEMORY_MB = 64.0
TRAFFIC_KB_PER_S = 7.0
IN_FORCE_S = 19.0
APPENDS_PER_S = 200

# Assumptions, which the page lists.
CLAIM_SHARE = 0.01
CLAIM_KEPT_S = 24 * 3600 + 600
ALLOTMENT_IDLE_S = 600
SNAPSHOT_RECORDS = 20_000
SNAPSHOT_PART_BYTES = 256 * 1024
RETENTION_S = 48 * 3600
POLLS_PER_S = 12
CHECKS_PER_S = 4
POLL_BYTES = 360
# Size of a budget's group of holders when callers of a budget are sent to
# the same few routers.
HOLDERS_PER_BUDGET = 8
POLL_INTERVAL_S = 2.0
REPORT_BYTES = 20
DATA_CENTRES = 17
COMPACT_ID_BYTES = 40
ID_FOLLOWERS = 3

REQUESTS_PER_NODE = REQUESTS_PER_S / NODES
CHANGE_INTERVAL_S = 86_400 / CHANGES_PER_DAY
APPEND_INTERVAL_S = NODES / APPENDS_PER_S
# Requests are spread evenly; an allotment ends when it had no request for
# the idle time.
ALLOTMENTS_PER_NODE = BUDGETS * (
    1 - math.exp(-REQUESTS_PER_NODE * ALLOTMENT_IDLE_S / BUDGETS)
)
ALLOTMENTS = ALLOTMENTS_PER_NODE * NODES
CLAIMS = REQUESTS_PER_S * CLAIM_SHARE * CLAIM_KEPT_S

Lines = Mapping[str, Line]
Cells = tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Control work of one role on one node."""

    traffic_kb_per_s: float
    cpu_ms_per_s: float
    memory_mb: float


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """Row of a generated table; `cells` returns all but the name."""

    name: str
    cells: Callable[[Lines], Cells]


def _kb(lines: Lines, name: str) -> float:
    """Return KB per unit of size."""
    return lines[name].slope


def _mb(lines: Lines, name: str, count: float) -> float:
    return lines[name].slope * count / 1000


def membership(lines: Lines) -> Load:
    """Return the cost without news.

    A new manifest version alone is not queued as an update; starts and ends
    of members are, about one in a minute and a half.
    """
    return Load(
        _quiet_kb(lines),
        lines['member_quiet_time'].last,
        _mb(lines, 'member_quiet_memory', NODES),
    )


def ledger_reader(lines: Lines) -> Load:
    """Return the cost of the fold of all bills of the fleet."""
    return Load(
        REQUESTS_PER_S * _kb(lines, 'bill_bytes'),
        REQUESTS_PER_S * lines['router_bills_use'].slope,
        _mb(lines, 'budget_memory', BUDGETS)
        + _mb(lines, 'allotment_memory', ALLOTMENTS)
        + _mb(lines, 'claim_memory', CLAIMS),
    )


def snapshot_mb(lines: Lines) -> float:
    """Return the size of a ledger snapshot."""
    return (
        _mb(lines, 'budget_snapshot', BUDGETS)
        + _mb(lines, 'allotment_snapshot', ALLOTMENTS)
        + _mb(lines, 'claim_snapshot', CLAIMS)
    )


def _snapshot_s(lines: Lines) -> float:
    # Every other append of a router starts with a part.
    parts = snapshot_mb(lines) * 1e6 / SNAPSHOT_PART_BYTES
    return parts * 2 * APPEND_INTERVAL_S


def ledger_writer(lines: Lines) -> Load:
    """Return the cost of own bills, whose encoding `accounts` counts."""
    unlogged = REQUESTS_PER_NODE * APPEND_INTERVAL_S
    return Load(
        REQUESTS_PER_NODE * _kb(lines, 'bill_bytes'),
        0.0,
        unlogged * _kb(lines, 'bill_bytes') / 1000,
    )


def accounts(lines: Lines) -> Load:
    """Return the cost of own bills and the copies sent and received."""
    copies = REQUESTS_PER_NODE * APPEND_INTERVAL_S
    return Load(
        2 * REQUESTS_PER_NODE * _kb(lines, 'bill_bytes'),
        REQUESTS_PER_NODE
        * (lines['account_request'].slope + lines['journal_copy'].slope)
        + CHECKS_PER_S
        * ALLOTMENTS_PER_NODE
        * (lines['account_check'].slope + lines['refill_check'].slope),
        _mb(lines, 'account_memory', ALLOTMENTS_PER_NODE)
        + _mb(lines, 'journal_memory', copies),
    )


def document_kb(lines: Lines) -> float:
    """Return the size of the manifest."""
    return ORGANISATIONS * _kb(
        lines, 'organisation_document'
    ) + ENDPOINTS * _kb(lines, 'endpoint_document')


def decode_ms(lines: Lines) -> float:
    """Return the time to decode and index the manifest."""
    return (
        ORGANISATIONS * lines['organisation_decode'].slope
        + ENDPOINTS * lines['endpoint_decode'].slope
    )


def configuration(lines: Lines) -> Load:
    """Return the cost of whole manifests, two in memory during a change."""
    return Load(
        document_kb(lines) / CHANGE_INTERVAL_S,
        decode_ms(lines) / CHANGE_INTERVAL_S,
        2
        * (
            _mb(lines, 'organisation_memory', ORGANISATIONS)
            + _mb(lines, 'endpoint_memory', ENDPOINTS)
        ),
    )


def endpoint_polls(lines: Lines) -> Load:
    """Return the cost of polls up to the bound of a router."""
    polls = lines['router_endpoints_use']
    return Load(
        POLLS_PER_S * POLL_BYTES / 1000,
        max(0.0, polls.last - polls.first),
        _mb(lines, 'router_endpoints_resident', ENDPOINTS),
    )


def idle_router(lines: Lines) -> Load:
    """Return the cost without members, budgets and endpoints."""
    return Load(
        0.0,
        lines['router_members_use'].first,
        lines['router_members_resident'].first / 1000,
    )


PARTS = (
    idle_router,
    membership,
    ledger_reader,
    ledger_writer,
    accounts,
    configuration,
    endpoint_polls,
)


def router(lines: Lines) -> Load:
    """Return the sum of the parts."""
    loads = [part(lines) for part in PARTS]
    return Load(
        sum(load.traffic_kb_per_s for load in loads),
        sum(load.cpu_ms_per_s for load in loads),
        sum(load.memory_mb for load in loads),
    )


def verdict(load: Load) -> str:
    """Name the limits of a node that a load exceeds."""
    over = [
        f'{name} {number(value / limit)} times the limit'
        for name, value, limit in (
            ('traffic', load.traffic_kb_per_s, TRAFFIC_KB_PER_S),
            ('processor', load.cpu_ms_per_s, CPU_MS_PER_S),
            ('memory', load.memory_mb, MEMORY_MB),
        )
        if value > limit
    ]
    return 'over: ' + ', '.join(over) if over else 'within'


def _within(value: float, limit: float, where: str) -> str:
    return f'{"within" if value <= limit else "over"} {where}'


def number(value: float) -> str:
    """Format with three significant digits."""
    if abs(value) >= 1000:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def _role(
    name: str,
    state: Callable[[Lines], str],
    mechanism: str,
    load: Callable[[Lines], Load],
) -> Row:
    def cells(lines: Lines) -> Cells:
        found = load(lines)
        return (
            state(lines),
            number(found.traffic_kb_per_s),
            number(found.cpu_ms_per_s),
            number(found.memory_mb),
            mechanism,
            verdict(found),
        )

    return Row(name, cells)


ROLE_HEAD = (
    'role',
    'state',
    'KB/s',
    'ms/s',
    'MB',
    'mechanism',
    'verdict',
)
ROLES = (
    _role(
        'router as a whole',
        lambda lines: 'all below; the relay is not control work',
        'one process',
        router,
    ),
    _role(
        'idle process',
        lambda lines: 'interpreter and modules',
        'CPython, aiohttp',
        idle_router,
    ),
    _role(
        'membership',
        lambda lines: (
            f'{NODES} members; '
            f'{number(lines["member_quiet_messages"].last)} messages/s; after '
            'a change of all members at once '
            f'{number(lines["member_busy_bytes"].last / 1000)} KB/s and '
            f'{number(lines["member_busy_time"].last)} ms/s'
        ),
        'SWIM, datagrams of at most 1,200 bytes',
        membership,
    ),
    _role(
        'ledger reader',
        lambda lines: (
            f'{BUDGETS:,} budgets, {ALLOTMENTS:,.0f} open allotments, '
            f'{CLAIMS:,.0f} claims'
        ),
        'one stream that every router folds',
        ledger_reader,
    ),
    _role(
        'ledger writer',
        lambda lines: (
            f'{REQUESTS_PER_NODE * APPEND_INTERVAL_S:.0f} records a batch; '
            f'a snapshot of {snapshot_mb(lines):,.0f} MB '
            f'every {SNAPSHOT_RECORDS / REQUESTS_PER_S:.2g} s, which takes '
            f'{_snapshot_s(lines):,.0f} s to append'
        ),
        f'group commit every {APPEND_INTERVAL_S} s',
        ledger_writer,
    ),
    _role(
        'accounts and journal',
        lambda lines: f'{ALLOTMENTS_PER_NODE:,.0f} own allotments',
        'escrow; a copy of each entry at a peer',
        accounts,
    ),
    _role(
        'configuration',
        lambda lines: f'manifest of {document_kb(lines):,.0f} KB',
        f'whole manifest every {CHANGE_INTERVAL_S:.1f} s',
        configuration,
    ),
    _role(
        'endpoint polls and routing table',
        lambda lines: (
            f'{ENDPOINTS:,} endpoints; reports up to '
            f'{ENDPOINTS / (POLLS_PER_S / 2):.0f} s old; a choice among '
            f'{ENDPOINTS // MODELS} takes {number(lines["choose"].last)} us'
        ),
        f'each router polls all, at most {POLLS_PER_S} a second',
        endpoint_polls,
    ),
    Row(
        'operator interface',
        lambda lines: (
            f'page of {BUDGETS:,} budgets and {ENDPOINTS:,} endpoints',
            'not measured',
            'not measured',
            'not measured',
            'HTTP, on request',
            'open',
        ),
    ),
    Row(
        'log',
        lambda lines: (
            f'{_retained_tb(lines):.2g} TB in {RETENTION_S // 3600} h',
            f'{number(_log_out_kb(lines))} out',
            'not measured',
            'not measured',
            f"{APPENDS_PER_S} appends/s by the routers' interval",
            "appends within; reads by all routers are over a log's means",
        ),
    ),
    Row(
        'relay',
        lambda lines: (
            f'{TOKENS_PER_S / NODES:,.0f} tokens/s a node',
            'data',
            f'{number(_frame_ms(lines))} for the frame checks alone',
            'not measured',
            'frame checks without parsing; the rest by make bench',
            'frame checks within one core; the relay as a whole is not '
            'measured here',
        ),
    ),
)


def _log_out_kb(lines: Lines) -> float:
    return NODES * ledger_reader(lines).traffic_kb_per_s


def _retained_tb(lines: Lines) -> float:
    return ledger_reader(lines).traffic_kb_per_s * RETENTION_S / 1e9


def _frame_ms(lines: Lines) -> float:
    return TOKENS_PER_S / NODES * lines['frame'].slope


def _limit(
    name: str,
    value: Callable[[Lines], float],
    limit: float,
    unit: str,
    part: str,
) -> Row:
    def cells(lines: Lines) -> Cells:
        found = value(lines)
        return (
            f'{number(limit)} {unit}',
            f'{number(found)} {unit}',
            part,
            'reached' if found <= limit else 'not reached',
        )

    return Row(name, cells)


LIMIT_HEAD = ('limit', 'allowed', 'today at the target', 'mostly', 'verdict')
LIMITS = (
    _limit(
        'control processor time',
        lambda lines: router(lines).cpu_ms_per_s / 10,
        CPU_MS_PER_S / 10,
        '% of a core',
        'ledger reader',
    ),
    _limit(
        'control memory',
        lambda lines: router(lines).memory_mb,
        MEMORY_MB,
        'MB',
        'ledger reader; the idle process is next',
    ),
    _limit(
        'control traffic',
        lambda lines: router(lines).traffic_kb_per_s,
        TRAFFIC_KB_PER_S,
        'KB/s',
        'ledger reader',
    ),
    Row(
        'configuration in force',
        lambda lines: (
            f'{number(IN_FORCE_S)} s',
            f'{number(decode_ms(lines) / 1000)} s to decode; a document of '
            f'{number(document_kb(lines))} KB at {TRAFFIC_KB_PER_S:.0f} KB/s '
            f'takes {number(document_kb(lines) / TRAFFIC_KB_PER_S)} s',
            'transfer of the whole manifest; over 1 MiB it passes neither '
            'a peer frame nor the stand-in log',
            'not reached'
            if document_kb(lines) / TRAFFIC_KB_PER_S > IN_FORCE_S
            or document_kb(lines) > 1048
            else 'reached',
        ),
    ),
    _limit(
        'log appends',
        lambda lines: NODES / APPEND_INTERVAL_S,
        300.0,
        'appends/s',
        'group commit; "several hundred" is taken as 300',
    ),
    Row(
        'relay',
        lambda lines: (
            '34,000 tokens/s on a core',
            f'frame checks take {number(_frame_ms(lines) / 10)}% of a core',
            'not measured here; see make bench',
            'open',
        ),
    ),
)


def _group_traffic_kb(lines: Lines) -> float:
    """Return grants and closes that a router reads with partitions."""
    followed = BUDGETS * HOLDERS_PER_BUDGET / NODES * HOLDERS_PER_BUDGET
    return followed / ALLOTMENT_IDLE_S * _kb(lines, 'grant_bytes')


def _report_kb() -> float:
    """Return the reports that a router gets and gives in its data centre."""
    own = ENDPOINTS / NODES / POLL_INTERVAL_S
    peers = NODES / DATA_CENTRES
    return 2 * own * peers * REPORT_BYTES / 1000


CHANGE_HEAD = ('change', 'arithmetic at the target', 'verdict')
CHANGES = (
    Row(
        'ledger in streams by organisation',
        lambda lines: (
            f'callers of a budget go to {HOLDERS_PER_BUDGET} routers, which '
            'follow only its partition, with grants and closes: '
            f'{BUDGETS * HOLDERS_PER_BUDGET // NODES} budgets a router, '
            f'{number(_group_traffic_kb(lines))} KB/s, '
            f'{number(_group_memory_mb(lines))} MB. With random placement a '
            f'router draws on {ALLOTMENTS_PER_NODE:,.0f} budgets and follows '
            'every partition, so that partitions alone gain nothing',
            _within(
                _group_traffic_kb(lines),
                TRAFFIC_KB_PER_S,
                'with placement by budget',
            ),
        ),
    ),
    Row(
        'bills in per-router streams',
        lambda lines: (
            'read by journal peers and auditors only: no fold of '
            f'{REQUESTS_PER_S:,} bills/s. One written, one copy sent and one '
            f'received at {REQUESTS_PER_NODE:.0f} requests/s still take '
            f'{number(3 * REQUESTS_PER_NODE * _kb(lines, "bill_bytes"))} '
            f'KB/s; {TRAFFIC_KB_PER_S:.0f} KB/s allow '
            f'{TRAFFIC_KB_PER_S * 1000 / REQUESTS_PER_NODE / 3:.0f} bytes a '
            'copy, less than a request id and its fields',
            'processor within; traffic only when bills count as request work',
        ),
    ),
    Row(
        'claims at a few followers',
        lambda lines: (
            f'{ID_FOLLOWERS} followers a partition hold '
            f'{CLAIMS * ID_FOLLOWERS / NODES:,.0f} ids each: '
            f'{number(_mb(lines, "claim_memory", _follower_ids()))} MB as '
            f'today, {number(_follower_ids() * COMPACT_ID_BYTES / 1e6)} MB '
            f'in a flat table of {COMPACT_ID_BYTES} bytes an id',
            _within(
                _follower_ids() * COMPACT_ID_BYTES / 1e6
                + idle_router(lines).memory_mb,
                MEMORY_MB,
                'with a flat table beside an idle process',
            ),
        ),
    ),
    Row(
        'load reports by one router of the data centre',
        lambda lines: (
            f'{ENDPOINTS // NODES} endpoints a router every '
            f'{POLL_INTERVAL_S:.0f} s: '
            f'{ENDPOINTS / NODES / POLL_INTERVAL_S:.0f} polls/s, '
            f'{ENDPOINTS / NODES / POLL_INTERVAL_S * POLL_BYTES / 1000:.2g} '
            f'KB/s, and {number(_report_kb())} KB/s for reports of '
            f'{REPORT_BYTES} bytes among {NODES // DATA_CENTRES} routers; '
            'cache events for affinity are left out',
            _within(
                _report_kb()
                + ENDPOINTS / NODES / POLL_INTERVAL_S * POLL_BYTES / 1000
                + _quiet_kb(lines),
                TRAFFIC_KB_PER_S,
                'together with quiet gossip',
            ),
        ),
    ),
    Row(
        'endpoint groups in the manifest',
        lambda lines: (
            f'a group name for {REACHABLE} endpoint ids of an organisation: '
            f'{number(_grouped_kb(lines))} KB in place of '
            f'{number(document_kb(lines))} KB',
            _within(_grouped_kb(lines), 1048, 'against 1 MiB')
            + '; '
            + _within(
                _grouped_kb(lines) / CHANGE_INTERVAL_S,
                TRAFFIC_KB_PER_S,
                'against the traffic limit, as a whole manifest',
            ),
        ),
    ),
    Row(
        'deltas of the manifest',
        lambda lines: (
            'one organisation a change: '
            f'{number(1000 * _kb(lines, "organisation_document"))} bytes '
            f'every {CHANGE_INTERVAL_S:.1f} s, '
            f'{number(_delta_kb(lines))} KB/s',
            _within(_delta_kb(lines), TRAFFIC_KB_PER_S, 'on its own'),
        ),
    ),
)
_ENDPOINT_ID_BYTES = 25


def _group_memory_mb(lines: Lines) -> float:
    budgets = BUDGETS * HOLDERS_PER_BUDGET / NODES
    return (
        _mb(lines, 'budget_memory', budgets)
        + _mb(lines, 'allotment_memory', budgets * HOLDERS_PER_BUDGET)
        + _mb(lines, 'account_memory', budgets)
    )


def _follower_ids() -> float:
    return CLAIMS * ID_FOLLOWERS / NODES


def _grouped_kb(lines: Lines) -> float:
    saved = ORGANISATIONS * (REACHABLE - 1) * _ENDPOINT_ID_BYTES / 1000
    return document_kb(lines) - saved


def _delta_kb(lines: Lines) -> float:
    return _kb(lines, 'organisation_document') / CHANGE_INTERVAL_S


def _quiet_kb(lines: Lines) -> float:
    return lines['member_quiet_bytes'].last / 1000
