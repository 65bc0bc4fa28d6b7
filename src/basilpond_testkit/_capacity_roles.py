"""Cost of each role at the target size, worked out from the slopes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math

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


def kb(lines: Lines, name: str) -> float:
    """Return KB per unit of size."""
    return lines[name].slope


def mb(lines: Lines, name: str, count: float) -> float:
    """Return MB of `count` items."""
    return lines[name].slope * count / 1000


def membership(lines: Lines) -> Load:
    """Return the cost without news.

    A new manifest version alone is not queued as an update; starts and ends
    of members are, about one in a minute and a half.
    """
    return Load(
        quiet_kb(lines),
        lines['member_quiet_time'].last,
        mb(lines, 'member_quiet_memory', NODES),
    )


def ledger_reader(lines: Lines) -> Load:
    """Return the cost of the fold of all bills of the fleet."""
    return Load(
        REQUESTS_PER_S * kb(lines, 'bill_bytes'),
        REQUESTS_PER_S * lines['router_bills_use'].slope,
        mb(lines, 'budget_memory', BUDGETS)
        + mb(lines, 'allotment_memory', ALLOTMENTS)
        + mb(lines, 'claim_memory', CLAIMS),
    )


def snapshot_mb(lines: Lines) -> float:
    """Return the size of a ledger snapshot."""
    return (
        mb(lines, 'budget_snapshot', BUDGETS)
        + mb(lines, 'allotment_snapshot', ALLOTMENTS)
        + mb(lines, 'claim_snapshot', CLAIMS)
    )


def _snapshot_s(lines: Lines) -> float:
    # Every other append of a router starts with a part.
    parts = snapshot_mb(lines) * 1e6 / SNAPSHOT_PART_BYTES
    return parts * 2 * APPEND_INTERVAL_S


def ledger_writer(lines: Lines) -> Load:
    """Return the cost of own bills, whose encoding `accounts` counts."""
    unlogged = REQUESTS_PER_NODE * APPEND_INTERVAL_S
    return Load(
        REQUESTS_PER_NODE * kb(lines, 'bill_bytes'),
        0.0,
        unlogged * kb(lines, 'bill_bytes') / 1000,
    )


def accounts(lines: Lines) -> Load:
    """Return the cost of own bills and the copies sent and received."""
    copies = REQUESTS_PER_NODE * APPEND_INTERVAL_S
    return Load(
        2 * REQUESTS_PER_NODE * kb(lines, 'bill_bytes'),
        REQUESTS_PER_NODE
        * (lines['account_request'].slope + lines['journal_copy'].slope)
        + CHECKS_PER_S
        * ALLOTMENTS_PER_NODE
        * (lines['account_check'].slope + lines['refill_check'].slope),
        mb(lines, 'account_memory', ALLOTMENTS_PER_NODE)
        + mb(lines, 'journal_memory', copies),
    )


def document_kb(lines: Lines) -> float:
    """Return the size of the manifest."""
    return ORGANISATIONS * kb(lines, 'organisation_document') + ENDPOINTS * kb(
        lines, 'endpoint_document'
    )


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
            mb(lines, 'organisation_memory', ORGANISATIONS)
            + mb(lines, 'endpoint_memory', ENDPOINTS)
        ),
    )


def endpoint_polls(lines: Lines) -> Load:
    """Return the cost of polls up to the bound of a router."""
    polls = lines['router_endpoints_use']
    return Load(
        POLLS_PER_S * POLL_BYTES / 1000,
        max(0.0, polls.last - polls.first),
        mb(lines, 'router_endpoints_resident', ENDPOINTS),
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


def within(value: float, limit: float, where: str) -> str:
    """Tell whether a value keeps its limit."""
    return f'{"within" if value <= limit else "over"} {where}'


def number(value: float) -> str:
    """Format with three significant digits."""
    if abs(value) >= 1000:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def quiet_kb(lines: Lines) -> float:
    """Return KB/s of a member among members that change nothing."""
    return lines['member_quiet_bytes'].last / 1000


def log_out_kb(lines: Lines) -> float:
    """Return KB/s that the log sends to all readers of the ledger."""
    return NODES * ledger_reader(lines).traffic_kb_per_s


def retained_tb(lines: Lines) -> float:
    """Return TB of ledger that the log keeps."""
    return ledger_reader(lines).traffic_kb_per_s * RETENTION_S / 1e9


def frame_ms(lines: Lines) -> float:
    """Return ms/s of frame checks at one node."""
    return TOKENS_PER_S / NODES * lines['frame'].slope


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
            f'{retained_tb(lines):.2g} TB in {RETENTION_S // 3600} h',
            f'{number(log_out_kb(lines))} out',
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
            f'{number(frame_ms(lines))} for the frame checks alone',
            'not measured',
            'frame checks without parsing; the rest by make bench',
            'frame checks within one core; the relay as a whole is not '
            'measured here',
        ),
    ),
)
