"""SWIM membership state machine, without I/O.

The caller passes received messages to `Membership.handle` and calls
`Membership.tick` when `Membership.next_due_s` is reached; both return the
messages to send. Differences from the SWIM paper:

* A router that hears that a member is dead starts its own suspicion of it
  instead of believing the report. A member that the other side of a partition
  declared dead can thus refute before anybody on its own side acts on it.
* Each router probes a suspect again before its suspicion runs out, which
  keeps false deaths rare when datagrams are lost.
* Each message carries a few random members, which repairs updates whose
  retransmissions were all lost.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
import functools
import ipaddress
import itertools
import math
import random
import re

from ..protocol import MAX_DATAGRAM_BYTES
from ..protocol import CrashNotice
from ..protocol import EndpointNotice
from ..protocol import Gossip
from ..protocol import MemberUpdate
from ..protocol import encoded_size

_INCARNATION_ID = re.compile(r'[\w.:-]{1,100}~[0-9]{1,16}', re.ASCII)
# A forged version near the end of the integer range could not be refuted.
_MAX_VERSION = 1 << 53
_MAX_AGE_MS = 1 << 40
_MAX_NAME_CHARS = 200
# Field headers, kind, nonce and three list headers of a `Gossip`.
_GOSSIP_OVERHEAD_BYTES = 36


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
    """Another router, as this router knows it."""

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
    # Each update is sent `retransmit_factor * log2(members + 1)` times.
    retransmit_factor: int = 3
    random_updates: int = 2
    # Routers without a live member ask the seeds each `join_interval_s`;
    # others try one seed or dead member each `reconnect_interval_s`.
    join_interval_s: float = 1.0
    reconnect_interval_s: float = 5.0
    # Partitions between regions last an hour; dead members stay known longer,
    # so that the halves find each other without a seed.
    forget_dead_s: float = 14_400.0
    forget_left_s: float = 300.0
    endpoint_notice_s: float = 60.0
    crash_notice_s: float = 600.0
    # Two reports of one notice whose start differs by less are the same one;
    # each hop adds the network delay to its age.
    notice_tolerance_s: float = 2.0
    max_members: int = 2_000
    max_notices: int = 1_000
    max_lost: int = 4_096
    full_lists_per_s: int = 8
    confirmations_per_s: int = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Outgoing:
    """A message to send to a UDP address."""

    host: str
    port: int
    gossip: Gossip


@dataclasses.dataclass(slots=True)
class _Peer:
    update: MemberUpdate
    size_bytes: int
    changed_s: float
    # Suspicion only: the times of the remaining confirmation probes.
    confirmations_s: list[float] = dataclasses.field(default_factory=list)
    transmissions: int = 0


@dataclasses.dataclass(slots=True)
class _Notice:
    started_s: float
    size_bytes: int
    value: int
    transmissions: int = 0


@dataclasses.dataclass(slots=True)
class _Probe:
    target: str
    nonce: int
    indirect_at_s: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class _Relay:
    host: str
    port: int
    nonce: int
    target: str
    expires_s: float


class _RateLimit:
    """At most `per_s` events in each second."""

    __slots__ = ('_per_s', '_window_s', '_used')

    def __init__(self, per_s: int) -> None:
        self._per_s = per_s
        self._window_s = -math.inf
        self._used = 0

    def allow(self, now_s: float) -> bool:
        if now_s - self._window_s >= 1:
            self._window_s = now_s
            self._used = 0
        self._used += 1
        return self._used <= self._per_s


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
        _INCARNATION_ID.fullmatch(update.incarnation_id) is not None
        and len(update.data_centre) <= 64
        and _is_ip_address(update.host)
        and 0 < update.port < 65_536
        and 0 <= update.operator_port < 65_536
        and 0 <= update.version < _MAX_VERSION
        and 0 <= update.manifest_version < _MAX_VERSION
        and 0 <= update.state <= MemberState.LEFT
    )


def _is_valid_message(gossip: Gossip) -> bool:
    return (
        0 <= gossip.kind <= GossipKind.PING_REQUEST
        and gossip.sender.state in (MemberState.ALIVE, MemberState.LEFT)
        and (gossip.kind != GossipKind.PING_REQUEST or bool(gossip.target))
        and all(map(_is_valid, [gossip.sender, *gossip.updates]))
        and all(
            0 < len(notice.endpoint) <= _MAX_NAME_CHARS
            and 0 <= notice.kind < 256
            and 0 <= notice.age_ms < _MAX_AGE_MS
            for notice in gossip.endpoints
        )
        and all(
            0 < len(notice.body_digest) <= _MAX_NAME_CHARS
            and notice.crashes > 0
            and 0 <= notice.age_ms < _MAX_AGE_MS
            for notice in gossip.crashes
        )
    )


def _replace(update: MemberUpdate, **changes: object) -> MemberUpdate:
    return MemberUpdate(**{**vars(update), **changes})


class _NoticeTable:
    """Notices with a start time, each retransmitted a bounded number of times.

    Parameters
    ----------
    lifetime_s, tolerance_s : float
    max_notices : int
        The oldest entries are dropped above this number.
    """

    def __init__(
        self, lifetime_s: float, tolerance_s: float, max_notices: int
    ) -> None:
        self._lifetime_s = lifetime_s
        self._tolerance_s = tolerance_s
        self._max_notices = max_notices
        self._notices: collections.OrderedDict[object, _Notice] = (
            collections.OrderedDict()
        )

    def get(self, key: object, now_s: float) -> _Notice | None:
        notice = self._notices.get(key)
        if notice and now_s - notice.started_s > self._lifetime_s:
            return None
        return notice

    def put(
        self,
        key: object,
        value: int,
        started_s: float,
        size_bytes: int,
        now_s: float,
    ) -> bool:
        """Store a notice; return whether it says anything new."""
        if now_s - started_s > self._lifetime_s:
            return False
        known = self.get(key, now_s)
        if known is not None:
            later = started_s - known.started_s > self._tolerance_s
            if not later and value <= known.value:
                return False
            value = max(value, known.value)
            started_s = max(started_s, known.started_s)
        self._notices[key] = _Notice(started_s, size_bytes, value)
        self._notices.move_to_end(key)
        if len(self._notices) > self._max_notices:
            self._notices.popitem(last=False)
        return True

    def expire(self, now_s: float) -> None:
        for key, notice in list(self._notices.items()):
            if now_s - notice.started_s > self._lifetime_s:
                del self._notices[key]

    def select(
        self, budget_bytes: int, limit: int
    ) -> Iterator[tuple[object, _Notice]]:
        """Yield the least often sent notices that fit the budget."""
        pending = [
            item
            for item in self._notices.items()
            if item[1].transmissions < limit
        ]
        pending.sort(key=lambda item: item[1].transmissions)
        for key, notice in pending:
            if notice.size_bytes > budget_bytes:
                continue
            budget_bytes -= notice.size_bytes
            notice.transmissions += 1
            yield key, notice


class Membership:
    """Members of the fleet, as one router sees them.

    Parameters
    ----------
    myself : MemberUpdate
        State and version are ignored.
    seeds : iterable of (str, int)
        UDP addresses of routers to join through; may contain the own one.
    rng : random.Random
    now_s : float
    settings : MembershipSettings

    Attributes
    ----------
    changes : int
        Raised at each change that `members` shows.
    replaced : bool
        A newer incarnation of this router has been seen.
    endpoint_notices, crash_notices : list
        Notices learned from peers; the caller takes them out.
    """

    def __init__(
        self,
        myself: MemberUpdate,
        seeds: Iterable[tuple[str, int]],
        rng: random.Random,
        now_s: float,
        settings: MembershipSettings | None = None,
    ) -> None:
        self.settings = settings or MembershipSettings()
        self.changes = 0
        self.replaced = False
        self.endpoint_notices: list[EndpointNotice] = []
        self.crash_notices: list[CrashNotice] = []
        self._myself = _replace(myself, state=MemberState.ALIVE, version=0)
        self._router_id, self._started_ms = split_incarnation_id(
            myself.incarnation_id
        )
        own_address = (myself.host, myself.port)
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._rng = rng
        self._peers: dict[str, _Peer] = {}
        self._by_router: dict[str, str] = {}
        # Ids that are dead, left or replaced, with the version of that.
        self._lost: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._queue: dict[str, _Peer] = {}
        self._suspects: set[str] = set()
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._endpoints = _NoticeTable(
            self.settings.endpoint_notice_s,
            self.settings.notice_tolerance_s,
            self.settings.max_notices,
        )
        self._crashes = _NoticeTable(
            self.settings.crash_notice_s,
            self.settings.notice_tolerance_s,
            self.settings.max_notices,
        )
        self._full_lists = _RateLimit(self.settings.full_lists_per_s)
        self._confirmations = _RateLimit(self.settings.confirmations_per_s)
        self._observed_s = now_s
        self._next_contact_s = now_s
        # Routers that start together should not probe in step.
        self._next_probe_s = now_s + rng.uniform(
            0, self.settings.probe_interval_s
        )
        self._next_cleanup_s = now_s + 60

    @property
    def myself(self) -> MemberUpdate:
        """The own entry, with its present version."""
        return self._myself

    def members(self) -> tuple[Member, ...]:
        """Return the other routers in all states, by incarnation id."""
        return tuple(
            _member(self._peers[incarnation_id].update)
            for incarnation_id in sorted(self._peers)
        )

    def is_lost(self, incarnation_id: str) -> bool:
        """Return whether an incarnation is dead, left or replaced."""
        peer = self._peers.get(incarnation_id)
        if peer is not None:
            return peer.update.state >= MemberState.DEAD
        if incarnation_id in self._lost:
            return True
        if not _INCARNATION_ID.fullmatch(incarnation_id):
            return False
        router_id, started_ms = split_incarnation_id(incarnation_id)
        current = self._by_router.get(router_id)
        if router_id == self._router_id:
            current = self._myself.incarnation_id
        return (
            current is not None
            and split_incarnation_id(current)[1] > started_ms
        )

    def next_due_s(self) -> float:
        """Return the time at which `tick` has something to do."""
        if self._myself.state == MemberState.LEFT:
            return math.inf
        due = [self._next_probe_s, self._next_contact_s, self._next_cleanup_s]
        if self._probe is not None and self._probe.indirect_at_s is not None:
            due.append(self._probe.indirect_at_s)
        for incarnation_id in self._suspects:
            peer = self._peers[incarnation_id]
            due.append(peer.changed_s + self.settings.suspicion_s)
            due.extend(peer.confirmations_s[:1])
        return min(due)

    # Local events.

    def announce(
        self,
        *,
        manifest_version: int | None = None,
        ready: bool | None = None,
    ) -> None:
        """Change the own entry that all messages carry."""
        changes: dict[str, object] = {}
        if manifest_version is not None:
            changes['manifest_version'] = manifest_version
        if ready is not None:
            changes['ready'] = ready
        updated = _replace(self._myself, **changes)
        if updated != self._myself:
            self._myself = _replace(updated, version=updated.version + 1)

    def notice_endpoint(self, endpoint: str, kind: int, now_s: float) -> None:
        """Tell the fleet about an endpoint, see `EndpointNotice`."""
        self._put_endpoint(endpoint, kind, now_s, now_s)

    def notice_crash(self, body_digest: str, now_s: float) -> None:
        """Tell the fleet that a run of this body crashed its endpoint.

        The count is one more than the highest one known here; crashes that
        two routers see at the same time count once.
        """
        known = self._crashes.get(body_digest, now_s)
        crashes = known.value + 1 if known else 1
        self._put_crash(body_digest, crashes, now_s, now_s)

    def leave(self) -> list[Outgoing]:
        """Return messages that say that this router leaves the fleet.

        May be called again to repeat them; datagrams can be lost.
        """
        if self._myself.state != MemberState.LEFT:
            self._myself = _replace(
                self._myself,
                state=MemberState.LEFT,
                version=self._myself.version + 1,
                ready=False,
            )
        targets = self._sample(
            self._alive(), self.settings.indirect_probes * 2
        )
        return [self._ping(peer, now_s=self._observed_s) for peer in targets]

    # Time.

    def tick(self, now_s: float) -> list[Outgoing]:
        """Do what is due; return the messages to send."""
        self._observe(now_s)
        if self._myself.state == MemberState.LEFT:
            return []
        sent: list[Outgoing] = []
        sent.extend(self._check_suspects(now_s))
        sent.extend(self._check_probe(now_s))
        if now_s >= self._next_probe_s:
            sent.extend(self._finish_probe(now_s))
            sent.extend(self._start_probe(now_s))
            self._next_probe_s = now_s + self.settings.probe_interval_s
        if now_s >= self._next_contact_s:
            sent.extend(self._contact_unreached(now_s))
        if now_s >= self._next_cleanup_s:
            self._cleanup(now_s)
        return sent

    def _observe(self, now_s: float) -> None:
        """Extend all running time limits by a pause of this process.

        A process that was stopped has received nothing meanwhile; members
        that it was waiting for are not silent for that reason.
        """
        gap_s = now_s - self._observed_s
        self._observed_s = now_s
        if gap_s <= 2 * self.settings.probe_interval_s:
            return
        self._probe = None
        for incarnation_id in self._suspects:
            peer = self._peers[incarnation_id]
            peer.changed_s += gap_s
            peer.confirmations_s = [
                due_s + gap_s for due_s in peer.confirmations_s
            ]

    def _check_suspects(self, now_s: float) -> Iterator[Outgoing]:
        # Sorted, because the iteration order of a set of strings differs
        # between processes and runs must be repeatable.
        for incarnation_id in sorted(self._suspects):
            peer = self._peers[incarnation_id]
            if now_s >= peer.changed_s + self.settings.suspicion_s:
                self._set(
                    peer,
                    _replace(peer.update, state=MemberState.DEAD),
                    now_s,
                )
                continue
            if peer.confirmations_s and now_s >= peer.confirmations_s[0]:
                del peer.confirmations_s[0]
                if self._confirmations.allow(now_s):
                    yield self._ping(peer, now_s)
                    if not peer.confirmations_s:
                        yield from self._ask_helpers(
                            peer, self._nonce(), now_s
                        )

    def _start_probe(self, now_s: float) -> Iterator[Outgoing]:
        while self._probe_order:
            peer = self._peers.get(self._probe_order.pop())
            if peer and peer.update.state <= MemberState.SUSPECT:
                break
        else:
            self._probe_order = [
                peer.update.incarnation_id
                for peer in self._peers.values()
                if peer.update.state <= MemberState.SUSPECT
            ]
            self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return
            peer = self._peers[self._probe_order.pop()]
        self._probe = _Probe(
            target=peer.update.incarnation_id,
            nonce=self._nonce(),
            indirect_at_s=now_s + self.settings.probe_timeout_s,
        )
        yield self._ping(peer, now_s, nonce=self._probe.nonce)

    def _check_probe(self, now_s: float) -> Iterator[Outgoing]:
        probe = self._probe
        if (
            probe is None
            or probe.indirect_at_s is None
            or now_s < probe.indirect_at_s
        ):
            return
        probe.indirect_at_s = None
        peer = self._peers.get(probe.target)
        if peer is not None:
            yield from self._ask_helpers(peer, probe.nonce, now_s)

    def _finish_probe(self, now_s: float) -> Iterator[Outgoing]:
        probe, self._probe = self._probe, None
        if probe is None:
            return
        peer = self._peers.get(probe.target)
        if peer is not None and peer.update.state == MemberState.ALIVE:
            self._suspect(peer, peer.update, now_s)
            # The suspect hears of it directly and can refute at once.
            yield self._ping(peer, now_s)

    def _ask_helpers(
        self, target: _Peer, nonce: int, now_s: float
    ) -> Iterator[Outgoing]:
        helpers = self._sample(
            (peer for peer in self._alive() if peer is not target),
            self.settings.indirect_probes,
        )
        for helper in helpers:
            yield self._send(
                helper.update.host,
                helper.update.port,
                GossipKind.PING_REQUEST,
                nonce,
                now_s,
                target=target.update.incarnation_id,
                first=(helper, target),
            )

    def _contact_unreached(self, now_s: float) -> Iterator[Outgoing]:
        """Try seeds and dead members, so that healed partitions merge."""
        alive = {
            (peer.update.host, peer.update.port) for peer in self._alive()
        }
        seeds = [seed for seed in self._seeds if seed not in alive]
        if not alive and seeds:
            self._next_contact_s = now_s + self.settings.join_interval_s
            for host, port in self._sample(seeds, 3):
                yield self._send(
                    host, port, GossipKind.PING, self._nonce(), now_s
                )
            return
        self._next_contact_s = now_s + self.settings.reconnect_interval_s
        dead = [
            peer
            for peer in self._peers.values()
            if peer.update.state == MemberState.DEAD
        ]
        for chosen in self._sample([*seeds, *dead], 1):
            if isinstance(chosen, _Peer):
                yield self._ping(chosen, now_s)
            else:
                yield self._send(
                    *chosen, GossipKind.PING, self._nonce(), now_s
                )

    def _cleanup(self, now_s: float) -> None:
        self._next_cleanup_s = now_s + 60
        lifetimes_s = {
            MemberState.DEAD: self.settings.forget_dead_s,
            MemberState.LEFT: self.settings.forget_left_s,
        }
        for peer in list(self._peers.values()):
            lifetime_s = lifetimes_s.get(peer.update.state, math.inf)
            if now_s - peer.changed_s > lifetime_s:
                self._remove(peer)
        self._endpoints.expire(now_s)
        self._crashes.expire(now_s)
        self._expire_relays(now_s)

    # Received messages.

    def handle(
        self, gossip: Gossip, host: str, port: int, now_s: float
    ) -> list[Outgoing]:
        """Process a message from a UDP address; return messages to send.

        A message with a field outside its range changes nothing.
        """
        if not _is_valid_message(gossip):
            return []
        self._observe(now_s)
        if self._myself.state == MemberState.LEFT:
            return []
        sender = gossip.sender
        if sender.incarnation_id == self._myself.incarnation_id:
            return []
        is_new = (
            sender.incarnation_id not in self._peers
            and sender.incarnation_id not in self._lost
        )
        version = self._myself.version
        self._merge(sender, now_s)
        for update in gossip.updates:
            self._merge(update, now_s)
        self._merge_notices(gossip, now_s)
        sent: list[Outgoing] = []
        if self._myself.version > version:
            # Spreads a refutation before suspicions of it run out.
            sent.extend(
                self._ping(peer, now_s)
                for peer in self._sample(
                    self._alive(), self.settings.indirect_probes
                )
            )
        if sender.state == MemberState.LEFT:
            return sent
        if gossip.kind == GossipKind.PING:
            sent.extend(self._answer(gossip, host, port, now_s, is_new))
        elif gossip.kind == GossipKind.PING_REQUEST:
            sent.extend(self._relay_ping(gossip, host, port, now_s))
        else:
            sent.extend(self._accept_ack(gossip, now_s))
        return sent

    def _answer(
        self,
        gossip: Gossip,
        host: str,
        port: int,
        now_s: float,
        is_new: bool,
    ) -> Iterator[Outgoing]:
        sender = self._peers.get(gossip.sender.incarnation_id)
        first = [] if sender is None else [sender]
        if sender is None:
            # The sender is an older incarnation; it learns of the newer one.
            router_id, _ = split_incarnation_id(gossip.sender.incarnation_id)
            newer = self._peers.get(self._by_router.get(router_id, ''))
            first = [] if newer is None else [newer]
        yield self._ack(gossip.nonce, host, port, now_s, first=first)
        if not is_new or not self._full_lists.allow(now_s):
            return
        rest = [peer for peer in self._reachable() if peer is not sender]
        while rest:
            message = self._ack(gossip.nonce, host, port, now_s, first=rest)
            yield message
            sent = {update.incarnation_id for update in message.gossip.updates}
            unsent = [
                peer for peer in rest if peer.update.incarnation_id not in sent
            ]
            # An entry with the receiver's address is never sent.
            if len(unsent) == len(rest):
                return
            rest = unsent

    def _relay_ping(
        self, gossip: Gossip, host: str, port: int, now_s: float
    ) -> Iterator[Outgoing]:
        if gossip.target == self._myself.incarnation_id:
            yield self._ack(gossip.nonce, host, port, now_s)
            return
        peer = self._peers.get(gossip.target)
        if peer is None:
            return
        self._expire_relays(now_s)
        if len(self._relays) >= self.settings.max_members:
            return
        nonce = self._nonce()
        self._relays[nonce] = _Relay(
            host,
            port,
            gossip.nonce,
            gossip.target,
            now_s + self.settings.probe_interval_s,
        )
        yield self._ping(peer, now_s, nonce=nonce)

    def _accept_ack(self, gossip: Gossip, now_s: float) -> Iterator[Outgoing]:
        # The target of an ack is the incarnation that was reached; another
        # process may have taken over the address of the one that was probed.
        probe = self._probe
        if (
            probe is not None
            and probe.nonce == gossip.nonce
            and probe.target == gossip.target
        ):
            self._probe = None
        relay = self._relays.pop(gossip.nonce, None)
        if relay is not None and relay.target == gossip.target:
            reached = self._peers.get(relay.target)
            yield self._ack(
                relay.nonce,
                relay.host,
                relay.port,
                now_s,
                target=relay.target,
                first=[] if reached is None else [reached],
            )

    def _expire_relays(self, now_s: float) -> None:
        for nonce, relay in list(self._relays.items()):
            if now_s > relay.expires_s:
                del self._relays[nonce]

    # Merging of updates.

    def _merge(self, update: MemberUpdate, now_s: float) -> None:
        router_id, started_ms = split_incarnation_id(update.incarnation_id)
        if router_id == self._router_id:
            if started_ms == self._started_ms:
                self._merge_myself(update)
                return
            if started_ms < self._started_ms:
                self._remember_lost(update.incarnation_id, _MAX_VERSION)
                return
            self.replaced = True
        peer = self._peers.get(update.incarnation_id)
        if peer is None:
            self._add(update, router_id, started_ms, now_s)
            return
        known = peer.update
        if known.state == MemberState.LEFT or update.version < known.version:
            return
        if update.state == MemberState.LEFT:
            self._set(peer, update, now_s)
        elif update.state == MemberState.ALIVE:
            if update.version > known.version:
                self._set(peer, update, now_s)
        elif known.state == MemberState.ALIVE:
            self._suspect(peer, update, now_s)
        elif update.version > known.version:
            if update.state == MemberState.DEAD == known.state:
                self._set(peer, update, now_s)
            else:
                self._suspect(peer, update, now_s)

    def _merge_myself(self, update: MemberUpdate) -> None:
        # Nobody else can announce that this router leaves.
        if (
            update.state in (MemberState.SUSPECT, MemberState.DEAD)
            and update.version >= self._myself.version
            and update.version + 1 < _MAX_VERSION
        ):
            self._myself = _replace(self._myself, version=update.version + 1)

    def _add(
        self,
        update: MemberUpdate,
        router_id: str,
        started_ms: int,
        now_s: float,
    ) -> None:
        lost_version = self._lost.get(update.incarnation_id)
        if lost_version is not None and update.version <= lost_version:
            return
        old_id = self._by_router.get(router_id)
        if old_id is not None:
            if split_incarnation_id(old_id)[1] > started_ms:
                self._remember_lost(update.incarnation_id, _MAX_VERSION)
                return
            self._remove(self._peers[old_id])
            self._remember_lost(old_id, _MAX_VERSION)
        elif len(self._peers) >= self.settings.max_members:
            return
        peer = _Peer(update, 0, now_s)
        self._peers[update.incarnation_id] = peer
        self._by_router[router_id] = update.incarnation_id
        # A new member is probed at a random place of the present round.
        self._probe_order.insert(
            self._rng.randint(0, len(self._probe_order)),
            update.incarnation_id,
        )
        if update.state == MemberState.SUSPECT:
            self._suspect(peer, update, now_s)
        else:
            self._set(peer, update, now_s)

    def _suspect(
        self, peer: _Peer, update: MemberUpdate, now_s: float
    ) -> None:
        self._set(peer, _replace(update, state=MemberState.SUSPECT), now_s)
        peer.confirmations_s = [
            now_s + self.settings.suspicion_s * share for share in (1 / 3, 0.6)
        ]

    def _set(self, peer: _Peer, update: MemberUpdate, now_s: float) -> None:
        known = peer.update
        # The sender's entry in each message spreads manifest versions; queued
        # updates of all members at each change would fill the datagrams.
        manifest_only = (
            known is not update
            and known.state == update.state == MemberState.ALIVE
            and known.ready == update.ready
            and known.manifest_version < update.manifest_version
        )
        incarnation_id = update.incarnation_id
        peer.update = update
        peer.size_bytes = encoded_size(update)
        peer.changed_s = now_s
        if not manifest_only:
            peer.transmissions = 0
            self._queue[incarnation_id] = peer
        if update.state == MemberState.SUSPECT:
            self._suspects.add(incarnation_id)
        else:
            self._suspects.discard(incarnation_id)
            peer.confirmations_s = []
        if update.state >= MemberState.DEAD:
            self._remember_lost(incarnation_id, update.version)
        else:
            self._lost.pop(incarnation_id, None)
        self.changes += 1

    def _remember_lost(self, incarnation_id: str, version: int) -> None:
        self._lost[incarnation_id] = version
        self._lost.move_to_end(incarnation_id)
        if len(self._lost) > self.settings.max_lost:
            self._lost.popitem(last=False)

    def _remove(self, peer: _Peer) -> None:
        incarnation_id = peer.update.incarnation_id
        del self._peers[incarnation_id]
        del self._by_router[split_incarnation_id(incarnation_id)[0]]
        self._queue.pop(incarnation_id, None)
        self._suspects.discard(incarnation_id)
        self.changes += 1

    def _merge_notices(self, gossip: Gossip, now_s: float) -> None:
        for notice in gossip.endpoints:
            started_s = now_s - notice.age_ms / 1000
            if self._put_endpoint(
                notice.endpoint, notice.kind, started_s, now_s
            ):
                self.endpoint_notices.append(notice)
        for notice in gossip.crashes:
            started_s = now_s - notice.age_ms / 1000
            if self._put_crash(
                notice.body_digest, notice.crashes, started_s, now_s
            ):
                self.crash_notices.append(notice)

    def _put_endpoint(
        self, endpoint: str, kind: int, started_s: float, now_s: float
    ) -> bool:
        size_bytes = encoded_size(
            EndpointNotice(endpoint=endpoint, kind=kind, age_ms=_MAX_AGE_MS)
        )
        return self._endpoints.put(
            (endpoint, kind), 0, started_s, size_bytes, now_s
        )

    def _put_crash(
        self, body_digest: str, crashes: int, started_s: float, now_s: float
    ) -> bool:
        size_bytes = encoded_size(
            CrashNotice(
                body_digest=body_digest, crashes=crashes, age_ms=_MAX_AGE_MS
            )
        )
        return self._crashes.put(
            body_digest, crashes, started_s, size_bytes, now_s
        )

    # Messages to send.

    def _nonce(self) -> int:
        return self._rng.getrandbits(62)

    def _alive(self) -> Iterator[_Peer]:
        return (
            peer
            for peer in self._peers.values()
            if peer.update.state == MemberState.ALIVE
        )

    def _reachable(self) -> list[_Peer]:
        return [
            peer
            for peer in self._peers.values()
            if peer.update.state <= MemberState.SUSPECT
        ]

    def _sample(self, candidates: Iterable, count: int) -> list:
        candidates = list(candidates)
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _ping(
        self, peer: _Peer, now_s: float, nonce: int | None = None
    ) -> Outgoing:
        return self._send(
            peer.update.host,
            peer.update.port,
            GossipKind.PING,
            self._nonce() if nonce is None else nonce,
            now_s,
            target=peer.update.incarnation_id,
            first=(peer,),
        )

    def _ack(
        self,
        nonce: int,
        host: str,
        port: int,
        now_s: float,
        *,
        target: str | None = None,
        first: Iterable[_Peer] = (),
    ) -> Outgoing:
        return self._send(
            host,
            port,
            GossipKind.ACK,
            nonce,
            now_s,
            target=target or self._myself.incarnation_id,
            first=first,
        )

    def _send(
        self,
        host: str,
        port: int,
        kind: GossipKind,
        nonce: int,
        now_s: float,
        *,
        target: str | None = None,
        first: Iterable[_Peer] = (),
    ) -> Outgoing:
        """Fill a message with what the receiver may not know yet.

        `first` are entries that the receiver needs; an entry about the
        receiver itself is only needed when it says that it is not alive.
        """
        budget_bytes = (
            MAX_DATAGRAM_BYTES
            - _GOSSIP_OVERHEAD_BYTES
            - encoded_size(self._myself)
            - len(target or '')
        )
        limit = self._retransmissions()
        endpoints = []
        for (endpoint, notice_kind), notice in self._endpoints.select(
            budget_bytes // 4, limit
        ):
            budget_bytes -= notice.size_bytes
            endpoints.append(
                EndpointNotice(
                    endpoint=endpoint,
                    kind=notice_kind,
                    age_ms=_age_ms(notice, now_s),
                )
            )
        crashes = []
        for body_digest, notice in self._crashes.select(
            budget_bytes // 4, limit
        ):
            budget_bytes -= notice.size_bytes
            crashes.append(
                CrashNotice(
                    body_digest=body_digest,
                    crashes=notice.value,
                    age_ms=_age_ms(notice, now_s),
                )
            )
        updates: dict[str, MemberUpdate] = {}
        for peer in itertools.chain(
            first, self._pending(), self._random_peers()
        ):
            incarnation_id = peer.update.incarnation_id
            address = (peer.update.host, peer.update.port)
            if incarnation_id in updates or (
                address == (host, port)
                and peer.update.state == MemberState.ALIVE
            ):
                continue
            if peer.size_bytes > budget_bytes:
                break
            budget_bytes -= peer.size_bytes
            updates[incarnation_id] = peer.update
            if self._queue.get(incarnation_id) is peer:
                peer.transmissions += 1
                if peer.transmissions >= limit:
                    del self._queue[incarnation_id]
        return Outgoing(
            host,
            port,
            Gossip(
                kind=int(kind),
                nonce=nonce,
                sender=self._myself,
                target=target,
                updates=list(updates.values()),
                endpoints=endpoints,
                crashes=crashes,
            ),
        )

    def _retransmissions(self) -> int:
        return self.settings.retransmit_factor * math.ceil(
            math.log2(len(self._peers) + 2)
        )

    def _pending(self) -> list[_Peer]:
        return sorted(
            self._queue.values(), key=lambda peer: peer.transmissions
        )

    def _random_peers(self) -> list[_Peer]:
        return self._sample(self._reachable(), self.settings.random_updates)


def _age_ms(notice: _Notice, now_s: float) -> int:
    return max(0, round((now_s - notice.started_s) * 1000))


def _member(update: MemberUpdate) -> Member:
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
