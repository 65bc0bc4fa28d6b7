"""Messages of the membership protocol, with pending updates and notices."""

from __future__ import annotations

from collections.abc import Iterable
import itertools
import math
import random

from ..protocol import MAX_DATAGRAM_BYTES
from ..protocol import Gossip
from ..protocol import MemberUpdate
from ..protocol import encoded_size
from ._gossip_notices import GossipNotices
from ._member_table import MemberTable
from ._member_table import Peer
from ._membership_types import GossipKind
from ._membership_types import MembershipSettings
from ._membership_types import MemberState
from ._membership_types import OutgoingMessage

# Field headers, kind, nonce and three list headers of a `Gossip`.
_GOSSIP_OVERHEAD_BYTES = 36


class MessageWriter:
    """Writer of messages that carry updates and notices.

    Parameters
    ----------
    table : MemberTable
    notices : GossipNotices
    rng : random.Random
    settings : MembershipSettings
    """

    def __init__(
        self,
        table: MemberTable,
        notices: GossipNotices,
        rng: random.Random,
        settings: MembershipSettings,
    ) -> None:
        self._table = table
        self._notices = notices
        self._rng = rng
        self._settings = settings

    def new_nonce(self) -> int:
        """Return a random number that identifies a ping and its ack."""
        return self._rng.getrandbits(62)

    def ping(
        self, peer: Peer, now_s: float, nonce: int | None = None
    ) -> OutgoingMessage:
        """Return a ping to a member."""
        return self.write(
            peer.update.host,
            peer.update.port,
            GossipKind.PING,
            self.new_nonce() if nonce is None else nonce,
            now_s,
            target=peer.update.incarnation_id,
            first_peers=(peer,),
        )

    def ack(
        self,
        nonce: int,
        host: str,
        port: int,
        now_s: float,
        *,
        target: str | None = None,
        first_peers: Iterable[Peer] = (),
    ) -> OutgoingMessage:
        """Return an ack to an address.

        `target` is the incarnation that the ping reached; by default this
        router.
        """
        return self.write(
            host,
            port,
            GossipKind.ACK,
            nonce,
            now_s,
            target=target or self._table.local_member.incarnation_id,
            first_peers=first_peers,
        )

    def write(
        self,
        host: str,
        port: int,
        kind: GossipKind,
        nonce: int,
        now_s: float,
        *,
        target: str | None = None,
        first_peers: Iterable[Peer] = (),
    ) -> OutgoingMessage:
        """Return a message with as many updates and notices as fit.

        Notices come first, then the entries of `first_peers`, which the
        receiver needs, queued updates and random members. The receiver's own
        entry is left out while it is alive: it needs only an entry that it has
        to refute.
        """
        budget_bytes = (
            MAX_DATAGRAM_BYTES
            - _GOSSIP_OVERHEAD_BYTES
            - encoded_size(self._table.local_member)
            - len(target or '')
        )
        max_transmissions = self._max_transmissions()
        endpoints, crashes, used_bytes = self._notices.select(
            budget_bytes, max_transmissions, now_s
        )
        budget_bytes -= used_bytes
        updates: dict[str, MemberUpdate] = {}
        for peer in itertools.chain(
            first_peers, self._queued_peers(), self._random_peers()
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
            if self._table.update_queue.get(incarnation_id) is peer:
                peer.transmissions += 1
                if peer.transmissions >= max_transmissions:
                    del self._table.update_queue[incarnation_id]
        return OutgoingMessage(
            host,
            port,
            Gossip(
                kind=int(kind),
                nonce=nonce,
                sender=self._table.local_member,
                target=target,
                updates=list(updates.values()),
                endpoints=endpoints,
                crashes=crashes,
            ),
        )

    def _max_transmissions(self) -> int:
        return self._settings.retransmit_factor * math.ceil(
            math.log2(len(self._table) + 2)
        )

    def _queued_peers(self) -> list[Peer]:
        return sorted(
            self._table.update_queue.values(),
            key=lambda peer: peer.transmissions,
        )

    def _random_peers(self) -> list[Peer]:
        candidates = self._table.reachable()
        count = min(self._settings.random_updates, len(candidates))
        return self._rng.sample(candidates, count)
