"""Table of the members, with the last update received about each."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from ..protocol import MemberUpdate
from ..protocol import encoded_size
from ._membership_types import INCARNATION_ID
from ._membership_types import MAX_VERSION
from ._membership_types import Member
from ._membership_types import MembershipSettings
from ._membership_types import MemberState
from ._membership_types import member_from_update
from ._membership_types import replace_fields
from ._membership_types import split_incarnation_id

# Shares of the suspicion time after which a suspect is probed again.
_CONFIRMATION_SHARES = (1 / 3, 0.6)


@dataclasses.dataclass(slots=True)
class Peer:
    """Member with its last update and how often that was sent."""

    update: MemberUpdate
    size_bytes: int
    changed_s: float
    # Times of the remaining confirmation probes; empty unless suspected.
    confirmation_times_s: list[float] = dataclasses.field(default_factory=list)
    transmissions: int = 0


class MemberTable:
    """Members in all states, and the queue of updates to send.

    Parameters
    ----------
    local_member : MemberUpdate
    settings : MembershipSettings
    on_added : callable
        Called with the incarnation id of each new member.

    Attributes
    ----------
    local_member : MemberUpdate
        Entry of this router, with its current version.
    changes : int
        Counter that increases whenever `members` changes.
    replaced : bool
        Whether a newer incarnation of this router has been seen.
    suspects : set of str
        Incarnation ids of suspected members.
    update_queue : dict
        By incarnation id, members whose update has to be sent further times.
    """

    def __init__(
        self,
        local_member: MemberUpdate,
        settings: MembershipSettings,
        on_added: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.local_member = replace_fields(
            local_member, state=MemberState.ALIVE, version=0
        )
        self.changes = 0
        self.replaced = False
        self.suspects: set[str] = set()
        self.update_queue: dict[str, Peer] = {}
        self._on_added = on_added
        self._router_id, self._started_ms = split_incarnation_id(
            local_member.incarnation_id
        )
        self._peers: dict[str, Peer] = {}
        self._by_router: dict[str, str] = {}
        # Incarnation ids that are dead, left or replaced, with the version
        # up to which updates about them are ignored.
        self._lost_versions: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._peers)

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._peers.values())

    def __getitem__(self, incarnation_id: str) -> Peer:
        return self._peers[incarnation_id]

    def get(self, incarnation_id: str) -> Peer | None:
        """Return a member by its incarnation id."""
        return self._peers.get(incarnation_id)

    def current(self, router_id: str) -> Peer | None:
        """Return the newest known incarnation of a router."""
        return self._peers.get(self._by_router.get(router_id, ''))

    def is_known(self, incarnation_id: str) -> bool:
        """Return whether an incarnation was seen, including lost ones."""
        return (
            incarnation_id in self._peers
            or incarnation_id in self._lost_versions
        )

    def members(self) -> tuple[Member, ...]:
        """Return the other routers in all states, sorted by incarnation."""
        return tuple(
            member_from_update(self._peers[incarnation_id].update)
            for incarnation_id in sorted(self._peers)
        )

    def is_lost(self, incarnation_id: str) -> bool:
        """Return whether an incarnation is dead, left or replaced."""
        peer = self._peers.get(incarnation_id)
        if peer is not None:
            return peer.update.state >= MemberState.DEAD
        if incarnation_id in self._lost_versions:
            return True
        if not INCARNATION_ID.fullmatch(incarnation_id):
            return False
        router_id, started_ms = split_incarnation_id(incarnation_id)
        current = self._by_router.get(router_id)
        if router_id == self._router_id:
            current = self.local_member.incarnation_id
        return (
            current is not None
            and split_incarnation_id(current)[1] > started_ms
        )

    def alive(self) -> Iterator[Peer]:
        """Return the members that are not suspected, dead or left."""
        return (
            peer
            for peer in self._peers.values()
            if peer.update.state == MemberState.ALIVE
        )

    def reachable(self) -> list[Peer]:
        """Return the alive and the suspected members."""
        return [
            peer
            for peer in self._peers.values()
            if peer.update.state <= MemberState.SUSPECT
        ]

    def merge(self, update: MemberUpdate, now_s: float) -> None:
        """Apply an update from a peer unless it is out of date.

        A report that a known, live member is dead only makes it a suspect.
        """
        router_id, started_ms = split_incarnation_id(update.incarnation_id)
        if router_id == self._router_id:
            if started_ms == self._started_ms:
                self._merge_local(update)
                return
            if started_ms < self._started_ms:
                self._record_lost(update.incarnation_id, MAX_VERSION)
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
            self.set_update(peer, update, now_s)
        elif update.state == MemberState.ALIVE:
            if update.version > known.version:
                self.set_update(peer, update, now_s)
        elif known.state == MemberState.ALIVE:
            self.suspect(peer, update, now_s)
        elif update.version > known.version:
            if update.state == MemberState.DEAD == known.state:
                self.set_update(peer, update, now_s)
            else:
                self.suspect(peer, update, now_s)

    def _merge_local(self, update: MemberUpdate) -> None:
        # Reports that this router is suspected or dead are refuted with a
        # higher version. Only the router itself can announce that it leaves.
        if (
            update.state in (MemberState.SUSPECT, MemberState.DEAD)
            and update.version >= self.local_member.version
            and update.version + 1 < MAX_VERSION
        ):
            self.local_member = replace_fields(
                self.local_member, version=update.version + 1
            )

    def _add(
        self,
        update: MemberUpdate,
        router_id: str,
        started_ms: int,
        now_s: float,
    ) -> None:
        lost_version = self._lost_versions.get(update.incarnation_id)
        if lost_version is not None and update.version <= lost_version:
            return
        old_id = self._by_router.get(router_id)
        if old_id is not None:
            if split_incarnation_id(old_id)[1] > started_ms:
                self._record_lost(update.incarnation_id, MAX_VERSION)
                return
            self.remove(self._peers[old_id])
            self._record_lost(old_id, MAX_VERSION)
        elif len(self._peers) >= self.settings.max_members:
            return
        peer = Peer(update, 0, now_s)
        self._peers[update.incarnation_id] = peer
        self._by_router[router_id] = update.incarnation_id
        self._on_added(update.incarnation_id)
        if update.state == MemberState.SUSPECT:
            self.suspect(peer, update, now_s)
        else:
            self.set_update(peer, update, now_s)

    def suspect(self, peer: Peer, update: MemberUpdate, now_s: float) -> None:
        """Mark a member as suspected; schedule its confirmation probes."""
        self.set_update(
            peer, replace_fields(update, state=MemberState.SUSPECT), now_s
        )
        peer.confirmation_times_s = [
            now_s + self.settings.suspicion_s * share
            for share in _CONFIRMATION_SHARES
        ]

    def set_update(
        self, peer: Peer, update: MemberUpdate, now_s: float
    ) -> None:
        """Replace a member's update and queue it for sending."""
        known = peer.update
        # New manifest versions are not queued: each message carries its
        # sender's entry, and updates of all members at each manifest change
        # would fill the datagrams.
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
            self.update_queue[incarnation_id] = peer
        if update.state == MemberState.SUSPECT:
            self.suspects.add(incarnation_id)
        else:
            self.suspects.discard(incarnation_id)
            peer.confirmation_times_s = []
        if update.state >= MemberState.DEAD:
            self._record_lost(incarnation_id, update.version)
        else:
            self._lost_versions.pop(incarnation_id, None)
        self.changes += 1

    def _record_lost(self, incarnation_id: str, version: int) -> None:
        self._lost_versions[incarnation_id] = version
        self._lost_versions.move_to_end(incarnation_id)
        if len(self._lost_versions) > self.settings.max_lost:
            self._lost_versions.popitem(last=False)

    def remove(self, peer: Peer) -> None:
        """Remove a member; if it was lost, `is_lost` still says so."""
        incarnation_id = peer.update.incarnation_id
        del self._peers[incarnation_id]
        del self._by_router[split_incarnation_id(incarnation_id)[0]]
        self.update_queue.pop(incarnation_id, None)
        self.suspects.discard(incarnation_id)
        self.changes += 1
