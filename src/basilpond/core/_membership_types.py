"""Members, settings and messages of the membership protocol."""

from __future__ import annotations

import dataclasses
import enum
import functools
import ipaddress
import re

from ..protocol import Gossip
from ..protocol import MemberUpdate

INCARNATION_ID = re.compile(r'[\w.:-]{1,100}~[0-9]{1,16}', re.ASCII)
# A forged version near the end of the integer range could not be refuted.
MAX_VERSION = 1 << 53
MAX_AGE_MS = 1 << 40
_MAX_NAME_CHARS = 200


class MemberState(enum.IntEnum):
    """States of a member, numbered as in ``peer.thrift``."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class GossipKind(enum.IntEnum):
    """Kinds of a `Gossip` message, numbered as in ``peer.thrift``."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """Another router, from the last update about it."""

    incarnation_id: str
    router_id: str
    data_centre: str
    host: str
    port: int
    operator_port: int
    manifest_version: int
    ready: bool
    state: MemberState


@dataclasses.dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Intervals and bounds of the membership protocol."""

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.3
    suspicion_s: float = 3.0
    indirect_probes: int = 3
    # Each update is sent `retransmit_factor * log2(members + 1)` times, where
    # `members` includes this router and the logarithm is rounded up.
    retransmit_factor: int = 3
    # Random members in each message, besides the queued updates.
    random_updates: int = 2
    # Routers that know no alive member ping the seeds each `join_interval_s`;
    # others ping one seed or dead member each `reconnect_interval_s`.
    join_interval_s: float = 1.0
    reconnect_interval_s: float = 5.0
    # Partitions between regions can last an hour. Dead members are kept longer
    # than that, so that the halves find each other without a seed.
    dead_retention_s: float = 14_400.0
    left_retention_s: float = 300.0
    endpoint_notice_s: float = 60.0
    crash_notice_s: float = 600.0
    # Reports of a notice whose start times differ by at most this are the same
    # notice: each hop adds the network delay to its age.
    notice_tolerance_s: float = 2.0
    max_members: int = 2_000
    max_notices: int = 1_000
    # Incarnations remembered as dead, left or replaced.
    max_lost: int = 4_096
    full_lists_per_s: int = 8
    confirmations_per_s: int = 8


@dataclasses.dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """Message to send to a UDP address."""

    host: str
    port: int
    gossip: Gossip


def split_incarnation_id(incarnation_id: str) -> tuple[str, int]:
    """Return the router id and the start time in milliseconds."""
    router_id, _, started_ms = incarnation_id.rpartition('~')
    return router_id, int(started_ms)


@functools.lru_cache(maxsize=4096)
def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _is_valid(update: MemberUpdate) -> bool:
    return (
        INCARNATION_ID.fullmatch(update.incarnation_id) is not None
        and len(update.data_centre) <= 64
        and _is_ip_address(update.host)
        and 0 < update.port < 65_536
        and 0 <= update.operator_port < 65_536
        and 0 <= update.version < MAX_VERSION
        and 0 <= update.manifest_version < MAX_VERSION
        and 0 <= update.state <= MemberState.LEFT
    )


def is_valid_message(gossip: Gossip) -> bool:
    """Return whether all fields of a message are within their ranges."""
    return (
        0 <= gossip.kind <= GossipKind.PING_REQUEST
        and gossip.sender.state in (MemberState.ALIVE, MemberState.LEFT)
        and (gossip.kind != GossipKind.PING_REQUEST or bool(gossip.target))
        and all(map(_is_valid, [gossip.sender, *gossip.updates]))
        and all(
            0 < len(notice.endpoint) <= _MAX_NAME_CHARS
            and 0 <= notice.kind < 256
            and 0 <= notice.age_ms < MAX_AGE_MS
            for notice in gossip.endpoints
        )
        and all(
            0 < len(notice.body_digest) <= _MAX_NAME_CHARS
            and notice.crashes > 0
            and 0 <= notice.age_ms < MAX_AGE_MS
            for notice in gossip.crashes
        )
    )


def replace_fields(update: MemberUpdate, **changes: object) -> MemberUpdate:
    """Return a copy of an update with some fields changed."""
    return MemberUpdate(**{**vars(update), **changes})


def member_from_update(update: MemberUpdate) -> Member:
    """Convert an update to a member."""
    router_id, _ = split_incarnation_id(update.incarnation_id)
    return Member(
        incarnation_id=update.incarnation_id,
        router_id=router_id,
        data_centre=update.data_centre,
        host=update.host,
        port=update.port,
        operator_port=update.operator_port,
        manifest_version=update.manifest_version,
        ready=update.ready,
        state=MemberState(update.state),
    )
