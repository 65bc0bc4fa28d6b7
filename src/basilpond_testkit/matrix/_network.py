"""Network between routers, log and endpoints, with cuts, and its members.

A place is a router id, a data centre or ``log``. A cut stops what is sent
from one place to another; open connections go silent without an error.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
from typing import Any

from basilpond.core import LogPage
from basilpond.core import LogUnavailableError

from ..fake_log import FakeLogLink
from ..fake_peers import recode
from ..fake_peers import reply_in_time

LOG = 'log'
# SWIM needs some probe periods to declare a member dead.
DETECT_S = 3.0
TICK_S = 0.25
# A notice is passed on with few messages only.
SPREAD_S = 5.0
DELAY_S = 0.001
NEVER_S = 36_000.0


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """Member as another router last heard of it."""

    incarnation_id: str
    router_id: str
    data_centre: str
    manifest_version: int = 0
    ready: bool = False


class Node:
    """Router as the network sees it.

    Parameters
    ----------
    router_id, incarnation_id, data_centre : str
    """

    def __init__(
        self, router_id: str, incarnation_id: str, data_centre: str
    ) -> None:
        self.router_id = router_id
        self.incarnation_id = incarnation_id
        self.data_centre = data_centre
        self.running = asyncio.Event()
        self.running.set()
        self.killed = False
        self.left = False
        self.manifest_version = 0
        self.ready = False

    async def gate(self) -> None:
        """Wait while the router is paused; forever once it is killed."""
        while self.killed or not self.running.is_set():
            if self.killed:
                await asyncio.sleep(NEVER_S)
            await self.running.wait()

    def member(self) -> Member:
        """Return what the router says of itself."""
        return Member(
            self.incarnation_id,
            self.router_id,
            self.data_centre,
            self.manifest_version,
            self.ready,
        )


class Network:
    """Connections between places, and what they carry between routers."""

    def __init__(self) -> None:
        self.cuts: set[tuple[str, str]] = set()
        self.nodes: dict[str, Node] = {}
        self.handlers: dict[str, Any] = {}
        self.views: dict[str, View] = {}

    def cut(self, source: str, target: str, *, both: bool = True) -> None:
        """Stop what is sent from `source` to `target`."""
        self.cuts.add((source, target))
        if both:
            self.cuts.add((target, source))

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def is_open(self, source: Node | str, target: Node | str) -> bool:
        """Return whether a message would arrive."""
        return not any(
            (a, b) in self.cuts
            for a in _places(source)
            for b in _places(target)
        )

    def add(self, node: Node, handler: Any) -> View:
        """Connect a router; return its view of the members."""
        self.nodes[node.incarnation_id] = node
        self.handlers[node.incarnation_id] = handler
        view = self.views[node.incarnation_id] = View(self, node)
        return view

    async def run(self) -> None:
        """Spread membership until cancelled."""
        while True:
            self._spread()
            await asyncio.sleep(TICK_S)

    def _spread(self) -> None:
        now_s = asyncio.get_running_loop().time()
        reachable = self._reachable()
        for name, view in self.views.items():
            if view.node.killed or not view.node.running.is_set():
                continue
            for other in self.nodes.values():
                if other is view.node:
                    continue
                view.hear(other, other.incarnation_id in reachable[name])
            view.expire(now_s)
            for other_name in sorted(reachable[name]):
                view.merge_notices(self.views[other_name])

    def _reachable(self) -> dict[str, set[str]]:
        """Return the routers that each can probe, at least indirectly."""
        alive = [
            node
            for node in self.nodes.values()
            if not node.killed and not node.left and node.running.is_set()
        ]
        direct = {
            a.incarnation_id: [
                b.incarnation_id
                for b in alive
                if a is not b and self.is_open(a, b) and self.is_open(b, a)
            ]
            for a in alive
        }
        found = {name: {name} for name in self.nodes}
        for name in direct:
            pending = [name]
            while pending:
                for other in direct[pending.pop()]:
                    if other not in found[name]:
                        found[name].add(other)
                        pending.append(other)
        return found

    async def call(
        self, sender: Node, target: str, frame: Any, timeout_s: float
    ) -> Any:
        """Deliver a frame to a router and return the reply.

        Raises
        ------
        BasilpondError
            No reply in time, or the peer refused.
        """
        return await reply_in_time(
            self._deliver(sender, target, frame), timeout_s
        )

    async def _deliver(self, sender: Node, target: str, frame: Any) -> Any:
        await sender.gate()
        await asyncio.sleep(DELAY_S)
        # The client of a connection numbers its calls.
        frame.call_id, frame.is_reply = 1, False
        node = self.nodes.get(target)
        if node is None or node.left or not self.is_open(sender, node):
            await asyncio.sleep(NEVER_S)
        await node.gate()
        reply = await self.handlers[target](recode(frame))
        await node.gate()
        if not self.is_open(node, sender):
            await asyncio.sleep(NEVER_S)
        await asyncio.sleep(DELAY_S)
        await sender.gate()
        return recode(reply)


def _places(place: Node | str) -> tuple[str, ...]:
    if isinstance(place, str):
        return (place,)
    return (place.router_id, place.data_centre)


class View:
    """One router's members and notices; the membership's interface.

    Parameters
    ----------
    network : Network
    node : Node
    """

    def __init__(self, network: Network, node: Node) -> None:
        self.network = network
        self.node = node
        self._members: dict[str, Member] = {}
        self._last_seen_s: dict[str, float] = {}
        self._lost: set[str] = set()
        # Times at which the notices were given.
        self.endpoint_notices: dict[tuple[str, int], float] = {}
        self.crash_counts: dict[tuple[str, str], tuple[int, float]] = {}
        self.on_endpoint_notice = lambda endpoint, kind: None
        self.on_crash = lambda peer, key, count, age_s: None

    def live(self) -> tuple[Member, ...]:
        """Return the other routers that are alive."""
        return tuple(
            member
            for name, member in self._members.items()
            if name not in self._lost
        )

    def is_lost(self, incarnation_id: str) -> bool:
        """Return whether an incarnation is dead, left or replaced."""
        return incarnation_id in self._lost

    async def call(self, member: Any, frame: Any, *, timeout_s: float) -> Any:
        """Send a frame to a member and return the reply."""
        return await self.network.call(
            self.node, member.incarnation_id, frame, timeout_s
        )

    def announce(
        self,
        *,
        manifest_version: int | None = None,
        ready: bool | None = None,
    ) -> None:
        """Change what this router says of itself."""
        if manifest_version is not None:
            self.node.manifest_version = manifest_version
        if ready is not None:
            self.node.ready = ready

    def announce_endpoint(self, endpoint: str, kind: int) -> None:
        """Tell the other routers about an endpoint."""
        now_s = asyncio.get_running_loop().time()
        self.endpoint_notices[endpoint, kind] = now_s

    def announce_crash(self, key: str) -> None:
        """Tell the other routers about a crash that this one counted."""
        identity = (self.node.incarnation_id, key)
        count, _ = self.crash_counts.get(identity, (0, 0.0))
        now_s = asyncio.get_running_loop().time()
        self.crash_counts[identity] = (count + 1, now_s)

    def hear(self, other: Node, reachable: bool) -> None:
        """Take the result of a probe."""
        now_s = asyncio.get_running_loop().time()
        name = other.incarnation_id
        if reachable:
            self._last_seen_s[name] = now_s
            self._members[name] = other.member()
            self._lost.discard(name)
            for earlier in self._members.values():
                if (
                    earlier.router_id == other.router_id
                    and earlier.incarnation_id < name
                ):
                    self._lost.add(earlier.incarnation_id)
        elif other.left and name in self._members:
            self._lost.add(name)

    def expire(self, now_s: float) -> None:
        """Declare members dead that were silent for too long."""
        for name, last_seen_s in self._last_seen_s.items():
            if now_s - last_seen_s >= DETECT_S:
                self._lost.add(name)

    def merge_notices(self, other: View) -> None:
        """Take the notices that another router has."""
        now_s = asyncio.get_running_loop().time()
        for notice, at_s in other.endpoint_notices.items():
            if now_s - at_s > SPREAD_S:
                continue
            if at_s > self.endpoint_notices.get(notice, -math.inf):
                self.endpoint_notices[notice] = at_s
                self.on_endpoint_notice(*notice)
        for identity, (count, at_s) in other.crash_counts.items():
            known, _ = self.crash_counts.get(identity, (0, 0.0))
            if count > known:
                self.crash_counts[identity] = (count, at_s)
                self.on_crash(*identity, count, now_s - at_s)


class LogAccess:
    """Log client of one router, behind the network.

    Parameters
    ----------
    network : Network
    node : Node
    link : FakeLogLink
    """

    def __init__(
        self, network: Network, node: Node, link: FakeLogLink
    ) -> None:
        self.network = network
        self.node = node
        self.link = link

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one entry and return its offset."""
        await self._check(self.node, LOG)
        offset = await self.link.append(stream, payload)
        await self._check(LOG, self.node)
        return offset

    async def read(
        self, stream: str, offset: int, *, limit: int, wait_ms: int
    ) -> LogPage:
        """Read entries; wait for the first if there is none."""
        await self._check(self.node, LOG)
        page = await self.link.read(
            stream, offset, limit=limit, wait_ms=wait_ms
        )
        await self._check(LOG, self.node)
        return page

    async def _check(self, source: Node | str, target: Node | str) -> None:
        if not self.network.is_open(source, target):
            await asyncio.sleep(self.link.timeout_s)
            raise LogUnavailableError('no response from the log')
