"""Membership protocol between routers over UDP."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import random

from absl import logging
from reactivex.subject import BehaviorSubject
from reactivex.subject import Subject

from ...core import Member
from ...core import Membership
from ...core import MembershipSettings
from ...core import MemberState
from ...core import OutgoingMessage
from ...protocol import MemberUpdate
from ...protocol import ProtocolError
from ...protocol import decode_gossip
from ...protocol import encode_gossip

# The leave message is sent several times, because datagrams can be lost.
_LEAVE_ROUNDS = 3
_LEAVE_INTERVAL_S = 0.1


class GossipTask:
    """Owner of the UDP socket and of the membership state.

    Parameters
    ----------
    incarnation_id : str
        ``<router_id>~<start time ms>``
    data_centre : str
    host : str
        IP address to bind, and to announce.
    port : int
        UDP port; the TCP port of the peer server is the same.
    operator_port : int
        Port of the operator API, announced to the other routers.
    seeds : iterable of (str, int)
        Addresses and UDP ports of routers through which this one joins.
    rng : random.Random, optional
    settings : MembershipSettings, optional
        Intervals and limits of the protocol.

    Attributes
    ----------
    members : BehaviorSubject of tuple of Member
        The other routers, in all states.
    endpoint_notices, crash_notices : Subject
        Notices received from peers.
    malformed_datagrams : int
        Number of datagrams dropped because they could not be decoded.
    """

    def __init__(
        self,
        *,
        incarnation_id: str,
        data_centre: str,
        host: str,
        port: int,
        operator_port: int,
        seeds: Iterable[tuple[str, int]],
        rng: random.Random | None = None,
        settings: MembershipSettings | None = None,
    ) -> None:
        self.members: BehaviorSubject[tuple[Member, ...]] = BehaviorSubject(())
        self.endpoint_notices: Subject = Subject()
        self.crash_notices: Subject = Subject()
        self.malformed_datagrams = 0
        self._live_source: tuple[Member, ...] = ()
        self._live: tuple[Member, ...] = ()
        self._local_member = MemberUpdate(
            incarnation_id=incarnation_id,
            data_centre=data_centre,
            host=host,
            port=port,
            version=0,
            state=int(MemberState.ALIVE),
            manifest_version=0,
            ready=False,
            operator_port=operator_port,
        )
        self._seeds = list(seeds)
        self._rng = rng or random.Random()
        self._settings = settings
        self._membership: Membership | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._wake_event = asyncio.Event()
        self._published_changes = 0
        self._reported_replaced = False

    def live(self) -> tuple[Member, ...]:
        """Return the other routers that are alive."""
        members = self.members.value
        # Cached, because this is called for each request and, in a refill
        # check, for each organisation; filtering 349 members takes 0.1 ms.
        if members is not self._live_source:
            self._live_source = members
            self._live = tuple(
                member
                for member in members
                if member.state == MemberState.ALIVE
            )
        return self._live

    def is_lost(self, incarnation_id: str) -> bool:
        """Return whether an incarnation is dead, left or replaced.

        False for all of them until `run` has started.
        """
        if self._membership is None:
            return False
        return self._membership.is_lost(incarnation_id)

    def announce(
        self,
        *,
        manifest_version: int | None = None,
        ready: bool | None = None,
    ) -> None:
        """Update this router's entry in the member list.

        May be called before `run`. Arguments that are None leave the value
        unchanged.
        """
        if self._membership is not None:
            self._membership.announce(
                manifest_version=manifest_version, ready=ready
            )
            return
        if manifest_version is not None:
            self._local_member.manifest_version = manifest_version
        if ready is not None:
            self._local_member.ready = ready

    def announce_endpoint(self, endpoint: str, kind: int) -> None:
        """Announce to the fleet that an endpoint leaves or is quarantined.

        Has no effect before `run`.

        Parameters
        ----------
        endpoint : str
        kind : int
            0 when it leaves, 1 when it is quarantined.
        """
        if self._membership is not None:
            self._membership.announce_endpoint(endpoint, kind, _now_s())

    def announce_crash(self, digest: str) -> None:
        """Announce to the fleet that a request body crashed its endpoint.

        Has no effect before `run`.

        Parameters
        ----------
        digest : str
            Digest of the request body.
        """
        if self._membership is not None:
            self._membership.announce_crash(digest, _now_s())

    async def run(self) -> None:
        """Run the membership protocol until cancelled."""
        loop = asyncio.get_running_loop()
        self._membership = Membership(
            self._local_member,
            self._seeds,
            self._rng,
            loop.time(),
            self._settings,
        )
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self),
            local_addr=(self._local_member.host, self._local_member.port),
        )
        try:
            while True:
                self._send(self._membership.tick(loop.time()))
                self._publish()
                self._wake_event.clear()
                delay_s = self._membership.next_due_s() - loop.time()
                try:
                    async with asyncio.timeout(max(0.0, delay_s)):
                        await self._wake_event.wait()
                except TimeoutError:
                    pass
        finally:
            self._transport.close()
            self._transport = None

    async def leave(self) -> None:
        """Announce that this router leaves; call before `run` is cancelled."""
        for _ in range(_LEAVE_ROUNDS):
            if self._membership is not None:
                self._send(self._membership.leave())
            await asyncio.sleep(_LEAVE_INTERVAL_S)

    def receive(self, data: bytes, address: tuple) -> None:
        """Process one datagram; a malformed one is logged and dropped."""
        try:
            gossip = decode_gossip(data)
        except ProtocolError as error:
            self.malformed_datagrams += 1
            logging.log_every_n_seconds(
                logging.WARNING,
                'dropped a datagram from %s: %s',
                10,
                address[0],
                error,
            )
            return
        if self._membership is None:
            return
        self._send(
            self._membership.handle(gossip, address[0], address[1], _now_s())
        )
        self._publish()
        # A new suspicion can become due before the current wait ends.
        self._wake_event.set()

    def _send(self, messages: Iterable[OutgoingMessage]) -> None:
        for message in messages:
            if self._transport is None:
                return
            self._transport.sendto(
                encode_gossip(message.gossip), (message.host, message.port)
            )

    def _publish(self) -> None:
        membership = self._membership
        if membership.replaced and not self._reported_replaced:
            self._reported_replaced = True
            logging.error(
                'a newer incarnation of this router is running; '
                'peers ignore this one'
            )
        if membership.changes != self._published_changes:
            self._published_changes = membership.changes
            self.members.on_next(membership.members())
        endpoints, crashes = membership.pop_notices()
        for notice in endpoints:
            self.endpoint_notices.on_next(notice)
        for notice in crashes:
            self.crash_notices.on_next(notice)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, task: GossipTask) -> None:
        self._task = task

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._task.receive(data, addr)

    def error_received(self, exc: OSError) -> None:
        # Reported for example for a closed port of a peer. No action is
        # needed, because the probes of the protocol detect the failure.
        logging.log_every_n_seconds(
            logging.INFO, 'datagram could not be delivered: %s', 60, exc
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
