"""Limits at the target size, and changes that would keep them."""

from __future__ import annotations

from collections.abc import Callable

from ._capacity_manifests import REACHABLE
from ._capacity_roles import ALLOTMENT_IDLE_S

# Target size in section 3 of the design.
from ._capacity_roles import ALLOTMENTS_PER_NODE
from ._capacity_roles import APPEND_INTERVAL_S
from ._capacity_roles import BUDGETS
from ._capacity_roles import CHANGE_INTERVAL_S
from ._capacity_roles import CLAIMS
from ._capacity_roles import COMPACT_ID_BYTES
from ._capacity_roles import CPU_MS_PER_S
from ._capacity_roles import DATA_CENTRES
from ._capacity_roles import ENDPOINTS
from ._capacity_roles import HOLDERS_PER_BUDGET
from ._capacity_roles import ID_FOLLOWERS
from ._capacity_roles import IN_FORCE_S
from ._capacity_roles import MEMORY_MB
from ._capacity_roles import NODES
from ._capacity_roles import ORGANISATIONS
from ._capacity_roles import POLL_BYTES
from ._capacity_roles import POLL_INTERVAL_S
from ._capacity_roles import REPORT_BYTES
from ._capacity_roles import REQUESTS_PER_NODE
from ._capacity_roles import REQUESTS_PER_S
from ._capacity_roles import TRAFFIC_KB_PER_S
from ._capacity_roles import Cells
from ._capacity_roles import Lines
from ._capacity_roles import Row
from ._capacity_roles import decode_ms
from ._capacity_roles import document_kb
from ._capacity_roles import frame_ms
from ._capacity_roles import idle_router
from ._capacity_roles import kb
from ._capacity_roles import mb
from ._capacity_roles import number
from ._capacity_roles import quiet_kb
from ._capacity_roles import router
from ._capacity_roles import within


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
            f'frame checks take {number(frame_ms(lines) / 10)}% of a core',
            'not measured here; see make bench',
            'open',
        ),
    ),
)


def _group_traffic_kb(lines: Lines) -> float:
    """Return grants and closes that a router reads with partitions."""
    followed = BUDGETS * HOLDERS_PER_BUDGET / NODES * HOLDERS_PER_BUDGET
    return followed / ALLOTMENT_IDLE_S * kb(lines, 'grant_bytes')


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
            within(
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
            f'{number(3 * REQUESTS_PER_NODE * kb(lines, "bill_bytes"))} '
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
            f'{number(mb(lines, "claim_memory", _follower_ids()))} MB as '
            f'today, {number(_follower_ids() * COMPACT_ID_BYTES / 1e6)} MB '
            f'in a flat table of {COMPACT_ID_BYTES} bytes an id',
            within(
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
            within(
                _report_kb()
                + ENDPOINTS / NODES / POLL_INTERVAL_S * POLL_BYTES / 1000
                + quiet_kb(lines),
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
            within(_grouped_kb(lines), 1048, 'against 1 MiB')
            + '; '
            + within(
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
            f'{number(1000 * kb(lines, "organisation_document"))} bytes '
            f'every {CHANGE_INTERVAL_S:.1f} s, '
            f'{number(_delta_kb(lines))} KB/s',
            within(_delta_kb(lines), TRAFFIC_KB_PER_S, 'on its own'),
        ),
    ),
)
_ENDPOINT_ID_BYTES = 25


def _group_memory_mb(lines: Lines) -> float:
    budgets = BUDGETS * HOLDERS_PER_BUDGET / NODES
    return (
        mb(lines, 'budget_memory', budgets)
        + mb(lines, 'allotment_memory', budgets * HOLDERS_PER_BUDGET)
        + mb(lines, 'account_memory', budgets)
    )


def _follower_ids() -> float:
    return CLAIMS * ID_FOLLOWERS / NODES


def _grouped_kb(lines: Lines) -> float:
    saved = ORGANISATIONS * (REACHABLE - 1) * _ENDPOINT_ID_BYTES / 1000
    return document_kb(lines) - saved


def _delta_kb(lines: Lines) -> float:
    return kb(lines, 'organisation_document') / CHANGE_INTERVAL_S
