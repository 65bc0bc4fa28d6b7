"""SWIM membership state machine, without I/O.

The caller passes received messages to `Membership.handle` and calls
`Membership.tick` when `Membership.next_due_s` is reached; both return the
messages to send. Differences from the SWIM paper:

* A router that receives a report of a member's death does not accept it, but
  starts to suspect the member itself. A member that the other side of a
  partition declared dead can thus refute this before any router on its own
  side declares it dead.
* Each router probes a suspect again before the suspicion time ends, which
  keeps false deaths rare when datagrams are lost.
* Each message carries a few random members, which repairs updates whose
  retransmissions were all lost.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math
import random

from ..protocol import CrashNotice
from ..protocol import EndpointNotice
from ..protocol import Gossip
from ..protocol import MemberUpdate
from ._gossip_messages import MessageWriter
from ._gossip_notices import GossipNotices
from ._member_table import MemberTable
from ._member_table import Peer
from ._membership_types import GossipKind
from ._membership_types import Member
from ._membership_types import MembershipSettings
from ._membership_types import MemberState
from ._membership_types import OutgoingMessage
from ._membership_types import is_valid_message
from ._membership_types import replace_fields
from ._membership_types import split_incarnation_id


@dataclasses.dataclass(slots=True)
class _Probe:
    """Probe in progress.

    `indirect_at_s` is when to request indirect probes, None once that is done.
    """

    target: str
    nonce: int
    indirect_at_s: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class _Relay:
    """Ping sent for another router; its ack goes to `host` and `port`."""

    host: str
    port: int
    nonce: int
    target: str
    expires_s: float


class _RateLimit:
    """Rate limit that allows `per_s` events in each second."""

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


class Membership:
    """Members of the fleet, as seen by one router.

    Parameters
    ----------
    local_member : MemberUpdate
        Entry of this router; its state and version are ignored.
    seeds : iterable of (str, int)
        UDP addresses of routers through which to join; this router's own
        address is skipped.
    rng : random.Random
        Source of all random choices.
    now_s : float
        Clock reading of the caller in seconds, as for all methods.
    settings : MembershipSettings, optional
    """

    def __init__(
        self,
        local_member: MemberUpdate,
        seeds: Iterable[tuple[str, int]],
        rng: random.Random,
        now_s: float,
        settings: MembershipSettings | None = None,
    ) -> None:
        self.settings = settings or MembershipSettings()
        self._table = MemberTable(
            local_member, self.settings, self._insert_into_probe_order
        )
        self._notices = GossipNotices(self.settings)
        self._writer = MessageWriter(
            self._table, self._notices, rng, self.settings
        )
        local_address = (local_member.host, local_member.port)
        self._seeds = [seed for seed in seeds if seed != local_address]
        self._rng = rng
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._full_list_limit = _RateLimit(self.settings.full_lists_per_s)
        self._confirmation_limit = _RateLimit(
            self.settings.confirmations_per_s
        )
        self._last_event_s = now_s
        self._next_contact_s = now_s
        # Random, so that routers started together do not probe in step.
        self._next_probe_s = now_s + rng.uniform(
            0, self.settings.probe_interval_s
        )
        self._next_cleanup_s = now_s + 60

    @property
    def local_member(self) -> MemberUpdate:
        """Entry of this router, with its current version."""
        return self._table.local_member

    @property
    def changes(self) -> int:
        """Counter that increases whenever `members` changes."""
        return self._table.changes

    @property
    def replaced(self) -> bool:
        """Whether a newer incarnation of this router has been seen."""
        return self._table.replaced

    @property
    def endpoint_notices(self) -> list[EndpointNotice]:
        """Notices learned from peers since the last `pop_notices`."""
        return self._notices.learned_endpoints

    @property
    def crash_notices(self) -> list[CrashNotice]:
        """Notices learned from peers since the last `pop_notices`."""
        return self._notices.learned_crashes

    def pop_notices(self) -> tuple[list[EndpointNotice], list[CrashNotice]]:
        """Return the notices learned from peers since the last call."""
        return self._notices.pop_learned()

    def members(self) -> tuple[Member, ...]:
        """Return the other routers in all states, sorted by incarnation."""
        return self._table.members()

    def is_lost(self, incarnation_id: str) -> bool:
        """Return whether an incarnation is dead, left or replaced."""
        return self._table.is_lost(incarnation_id)

    def next_due_s(self) -> float:
        """Return the time at which `tick` must be called next.

        Infinite once this router has left.
        """
        if self._table.local_member.state == MemberState.LEFT:
            return math.inf
        due = [self._next_probe_s, self._next_contact_s, self._next_cleanup_s]
        if self._probe is not None and self._probe.indirect_at_s is not None:
            due.append(self._probe.indirect_at_s)
        for incarnation_id in self._table.suspects:
            peer = self._table[incarnation_id]
            due.append(peer.changed_s + self.settings.suspicion_s)
            due.extend(peer.confirmation_times_s[:1])
        return min(due)

    # Local events.

    def announce(
        self,
        *,
        manifest_version: int | None = None,
        ready: bool | None = None,
    ) -> None:
        """Change this router's entry, which all messages carry."""
        changes: dict[str, object] = {}
        if manifest_version is not None:
            changes['manifest_version'] = manifest_version
        if ready is not None:
            changes['ready'] = ready
        updated = replace_fields(self._table.local_member, **changes)
        if updated != self._table.local_member:
            self._table.local_member = replace_fields(
                updated, version=updated.version + 1
            )

    def announce_endpoint(
        self, endpoint: str, kind: int, now_s: float
    ) -> None:
        """Spread a notice about an endpoint; `kind` as in ``peer.thrift``."""
        self._notices.add_endpoint(endpoint, kind, now_s)

    def announce_crash(self, body_digest: str, now_s: float) -> None:
        """Spread a notice that a request body crashed its endpoint."""
        self._notices.add_crash(body_digest, now_s)

    def leave(self) -> list[OutgoingMessage]:
        """Mark this router as left and return messages that announce it.

        Can be called again to repeat the announcement, since datagrams can
        be lost.
        """
        if self._table.local_member.state != MemberState.LEFT:
            self._table.local_member = replace_fields(
                self._table.local_member,
                state=MemberState.LEFT,
                version=self._table.local_member.version + 1,
                ready=False,
            )
        targets = self._sample(
            self._table.alive(), self.settings.indirect_probes * 2
        )
        return [
            self._writer.ping(peer, now_s=self._last_event_s)
            for peer in targets
        ]

    # Time.

    def tick(self, now_s: float) -> list[OutgoingMessage]:
        """Process what is due; return the messages to send."""
        self._extend_deadlines(now_s)
        if self._table.local_member.state == MemberState.LEFT:
            return []
        sent: list[OutgoingMessage] = []
        sent.extend(self._check_suspects(now_s))
        sent.extend(self._check_probe(now_s))
        if now_s >= self._next_probe_s:
            sent.extend(self._finish_probe(now_s))
            sent.extend(self._start_probe(now_s))
            self._next_probe_s = now_s + self.settings.probe_interval_s
        if now_s >= self._next_contact_s:
            sent.extend(self._contact_unreachable(now_s))
        if now_s >= self._next_cleanup_s:
            self._cleanup(now_s)
        return sent

    def _extend_deadlines(self, now_s: float) -> None:
        """Extend all running time limits by a pause of this process.

        A suspended process received nothing, so an ack that is missing after
        the pause says nothing about the member.
        """
        pause_s = now_s - self._last_event_s
        self._last_event_s = now_s
        if pause_s <= 2 * self.settings.probe_interval_s:
            return
        self._probe = None
        for incarnation_id in self._table.suspects:
            peer = self._table[incarnation_id]
            peer.changed_s += pause_s
            peer.confirmation_times_s = [
                due_s + pause_s for due_s in peer.confirmation_times_s
            ]

    def _check_suspects(self, now_s: float) -> Iterator[OutgoingMessage]:
        # Sorted, because the iteration order of a set of strings differs
        # between processes and runs must be repeatable.
        for incarnation_id in sorted(self._table.suspects):
            peer = self._table[incarnation_id]
            if now_s >= peer.changed_s + self.settings.suspicion_s:
                self._table.set_update(
                    peer,
                    replace_fields(peer.update, state=MemberState.DEAD),
                    now_s,
                )
                continue
            if (
                peer.confirmation_times_s
                and now_s >= peer.confirmation_times_s[0]
            ):
                del peer.confirmation_times_s[0]
                if self._confirmation_limit.allow(now_s):
                    yield self._writer.ping(peer, now_s)
                    if not peer.confirmation_times_s:
                        yield from self._send_ping_requests(
                            peer, self._writer.new_nonce(), now_s
                        )

    def _start_probe(self, now_s: float) -> Iterator[OutgoingMessage]:
        while self._probe_order:
            peer = self._table.get(self._probe_order.pop())
            if peer and peer.update.state <= MemberState.SUSPECT:
                break
        else:
            self._probe_order = [
                peer.update.incarnation_id
                for peer in self._table
                if peer.update.state <= MemberState.SUSPECT
            ]
            self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return
            peer = self._table[self._probe_order.pop()]
        self._probe = _Probe(
            target=peer.update.incarnation_id,
            nonce=self._writer.new_nonce(),
            indirect_at_s=now_s + self.settings.probe_timeout_s,
        )
        yield self._writer.ping(peer, now_s, nonce=self._probe.nonce)

    def _check_probe(self, now_s: float) -> Iterator[OutgoingMessage]:
        probe = self._probe
        if (
            probe is None
            or probe.indirect_at_s is None
            or now_s < probe.indirect_at_s
        ):
            return
        probe.indirect_at_s = None
        peer = self._table.get(probe.target)
        if peer is not None:
            yield from self._send_ping_requests(peer, probe.nonce, now_s)

    def _finish_probe(self, now_s: float) -> Iterator[OutgoingMessage]:
        probe, self._probe = self._probe, None
        if probe is None:
            return
        peer = self._table.get(probe.target)
        if peer is not None and peer.update.state == MemberState.ALIVE:
            self._table.suspect(peer, peer.update, now_s)
            # Informs the suspect directly, so that it can refute at once.
            yield self._writer.ping(peer, now_s)

    def _send_ping_requests(
        self, target: Peer, nonce: int, now_s: float
    ) -> Iterator[OutgoingMessage]:
        helpers = self._sample(
            (peer for peer in self._table.alive() if peer is not target),
            self.settings.indirect_probes,
        )
        for helper in helpers:
            yield self._writer.write(
                helper.update.host,
                helper.update.port,
                GossipKind.PING_REQUEST,
                nonce,
                now_s,
                target=target.update.incarnation_id,
                first_peers=(helper, target),
            )

    def _contact_unreachable(self, now_s: float) -> Iterator[OutgoingMessage]:
        """Ping seeds and dead members, so that healed partitions merge."""
        alive = {
            (peer.update.host, peer.update.port)
            for peer in self._table.alive()
        }
        seeds = [seed for seed in self._seeds if seed not in alive]
        if not alive and seeds:
            self._next_contact_s = now_s + self.settings.join_interval_s
            for host, port in self._sample(seeds, 3):
                yield self._writer.write(
                    host,
                    port,
                    GossipKind.PING,
                    self._writer.new_nonce(),
                    now_s,
                )
            return
        self._next_contact_s = now_s + self.settings.reconnect_interval_s
        dead = [
            peer
            for peer in self._table
            if peer.update.state == MemberState.DEAD
        ]
        for chosen in self._sample([*seeds, *dead], 1):
            if isinstance(chosen, Peer):
                yield self._writer.ping(chosen, now_s)
            else:
                yield self._writer.write(
                    *chosen, GossipKind.PING, self._writer.new_nonce(), now_s
                )

    def _cleanup(self, now_s: float) -> None:
        self._next_cleanup_s = now_s + 60
        lifetimes_s = {
            MemberState.DEAD: self.settings.dead_retention_s,
            MemberState.LEFT: self.settings.left_retention_s,
        }
        for peer in list(self._table):
            lifetime_s = lifetimes_s.get(peer.update.state, math.inf)
            if now_s - peer.changed_s > lifetime_s:
                self._table.remove(peer)
        self._notices.expire(now_s)
        self._expire_relays(now_s)

    # Received messages.

    def handle(
        self, gossip: Gossip, host: str, port: int, now_s: float
    ) -> list[OutgoingMessage]:
        """Process a message from a UDP address; return messages to send.

        A message with a field outside its range changes nothing.
        """
        if not is_valid_message(gossip):
            return []
        self._extend_deadlines(now_s)
        if self._table.local_member.state == MemberState.LEFT:
            return []
        sender = gossip.sender
        if sender.incarnation_id == self._table.local_member.incarnation_id:
            return []
        is_new = not self._table.is_known(sender.incarnation_id)
        version = self._table.local_member.version
        self._table.merge(sender, now_s)
        for update in gossip.updates:
            self._table.merge(update, now_s)
        self._notices.merge(gossip, now_s)
        sent: list[OutgoingMessage] = []
        if self._table.local_member.version > version:
            # Spreads the refutation before the suspicion time ends.
            sent.extend(
                self._writer.ping(peer, now_s)
                for peer in self._sample(
                    self._table.alive(), self.settings.indirect_probes
                )
            )
        if sender.state == MemberState.LEFT:
            return sent
        if gossip.kind == GossipKind.PING:
            sent.extend(self._reply_to_ping(gossip, host, port, now_s, is_new))
        elif gossip.kind == GossipKind.PING_REQUEST:
            sent.extend(self._relay_ping(gossip, host, port, now_s))
        else:
            sent.extend(self._accept_ack(gossip, now_s))
        return sent

    def _reply_to_ping(
        self,
        gossip: Gossip,
        host: str,
        port: int,
        now_s: float,
        is_new: bool,
    ) -> Iterator[OutgoingMessage]:
        sender = self._table.get(gossip.sender.incarnation_id)
        first_peers = [] if sender is None else [sender]
        if sender is None:
            # The sender is an older incarnation of a router; the reply
            # informs it of the newer one.
            router_id, _ = split_incarnation_id(gossip.sender.incarnation_id)
            newer = self._table.current(router_id)
            first_peers = [] if newer is None else [newer]
        yield self._writer.ack(
            gossip.nonce, host, port, now_s, first_peers=first_peers
        )
        if not is_new or not self._full_list_limit.allow(now_s):
            return
        rest = [peer for peer in self._table.reachable() if peer is not sender]
        while rest:
            message = self._writer.ack(
                gossip.nonce, host, port, now_s, first_peers=rest
            )
            yield message
            sent = {update.incarnation_id for update in message.gossip.updates}
            unsent = [
                peer for peer in rest if peer.update.incarnation_id not in sent
            ]
            # An alive entry with the receiver's address is never sent, so it
            # would remain in `rest`.
            if len(unsent) == len(rest):
                return
            rest = unsent

    def _relay_ping(
        self, gossip: Gossip, host: str, port: int, now_s: float
    ) -> Iterator[OutgoingMessage]:
        if gossip.target == self._table.local_member.incarnation_id:
            yield self._writer.ack(gossip.nonce, host, port, now_s)
            return
        peer = self._table.get(gossip.target)
        if peer is None:
            return
        self._expire_relays(now_s)
        if len(self._relays) >= self.settings.max_members:
            return
        nonce = self._writer.new_nonce()
        self._relays[nonce] = _Relay(
            host,
            port,
            gossip.nonce,
            gossip.target,
            now_s + self.settings.probe_interval_s,
        )
        yield self._writer.ping(peer, now_s, nonce=nonce)

    def _accept_ack(
        self, gossip: Gossip, now_s: float
    ) -> Iterator[OutgoingMessage]:
        # The target of an ack is the incarnation that was reached: another
        # process may use the address of the probed one by now.
        probe = self._probe
        if (
            probe is not None
            and probe.nonce == gossip.nonce
            and probe.target == gossip.target
        ):
            self._probe = None
        relay = self._relays.pop(gossip.nonce, None)
        if relay is not None and relay.target == gossip.target:
            reached = self._table.get(relay.target)
            yield self._writer.ack(
                relay.nonce,
                relay.host,
                relay.port,
                now_s,
                target=relay.target,
                first_peers=[] if reached is None else [reached],
            )

    def _expire_relays(self, now_s: float) -> None:
        for nonce, relay in list(self._relays.items()):
            if now_s > relay.expires_s:
                del self._relays[nonce]

    def _insert_into_probe_order(self, incarnation_id: str) -> None:
        # A new member is probed at a random position in the current round.
        self._probe_order.insert(
            self._rng.randint(0, len(self._probe_order)), incarnation_id
        )

    def _sample(self, candidates: Iterable, count: int) -> list:
        candidates = list(candidates)
        return self._rng.sample(candidates, min(count, len(candidates)))
