"""Measurements of the membership, all members in one process."""

from __future__ import annotations

import collections
import random
import time

from basilpond.core import _membership as _swim
from basilpond.protocol import Gossip
from basilpond.protocol import MemberUpdate
from basilpond.protocol import decode_gossip
from basilpond.protocol import encode_gossip

from ._capacity_slopes import Cost

_UDP_HEADER_BYTES = 28
_JOIN_TIMEOUT_S = 120


class _Network:
    """Members in one process, with a message delay and encoded datagrams."""

    def __init__(self, size: int) -> None:
        self.now_s = 0.0
        self.sent_bytes = 0
        self.sent = 0
        self.spent_ns = 0
        self.members = {}
        self.due: collections.deque = collections.deque()
        seeds = [(self._host(0), 1), (self._host(1), 1)]
        for number in range(size):
            local_member = MemberUpdate(
                incarnation_id=f'sicilia-{number % 17:02d}-r{number:03d}'
                '~1764800000000',
                data_centre=f'sicilia-{number % 17:02d}',
                host=self._host(number),
                port=1,
                version=0,
                state=0,
                manifest_version=1,
                ready=True,
                operator_port=2,
            )
            self.members[self._host(number)] = _swim.Membership(
                local_member, seeds, random.Random(number), 0.0
            )

    @staticmethod
    def _host(number: int) -> str:
        return f'10.0.{number // 200}.{number % 200 + 1}'

    def introduce(self) -> None:
        """Tell each member of all others, as a finished join would."""
        entries = [member.local_member for member in self.members.values()]
        hosts = list(self.members)
        for number, (host, member) in enumerate(self.members.items()):
            other = (number + 1) % len(entries)
            gossip = Gossip(
                kind=int(_swim.GossipKind.ACK),
                nonce=0,
                sender=entries[other],
                updates=[entry for entry in entries if entry.host != host],
                endpoints=[],
                crashes=[],
            )
            member.handle(gossip, hosts[other], 1, 0.0)

    def run(self, seconds: float) -> None:
        """Advance in steps of 10 ms, which is also the network delay."""
        for _ in range(int(seconds * 100)):
            self.now_s += 0.01
            start_ns = time.process_time_ns()
            for _ in range(len(self.due)):
                source, target, data = self.due.popleft()
                gossip = decode_gossip(data)
                replies = self.members[target].handle(
                    gossip, source, 1, self.now_s
                )
                self._send(target, replies)
            self.spent_ns += time.process_time_ns() - start_ns
            due = [
                (host, member)
                for host, member in self.members.items()
                if member.next_due_s() <= self.now_s
            ]
            start_ns = time.process_time_ns()
            for host, member in due:
                self._send(host, member.tick(self.now_s))
            self.spent_ns += time.process_time_ns() - start_ns

    def is_joined(self) -> bool:
        """Return whether all members know each other."""
        others = len(self.members) - 1
        return all(
            len(member.members()) == others for member in self.members.values()
        )

    def _send(self, source: str, messages) -> None:
        for message in messages:
            data = encode_gossip(message.gossip)
            self.sent += 1
            self.sent_bytes += len(data) + _UDP_HEADER_BYTES
            self.due.append((source, message.host, data))


def _membership(size: int, *, quiet: bool) -> dict[str, float]:
    """Count the cost of members that know each other."""
    with Cost() as memory:
        network = _Network(size)
        network.introduce()
    if quiet:
        for member in network.members.values():
            # Waiting until each update was sent often enough takes minutes.
            member._table.update_queue.clear()
    network.run(0.5)
    network.sent = network.sent_bytes = network.spent_ns = 0
    seconds = 1
    network.run(seconds)
    share = size * seconds
    return {
        # Sent and received, which are the same in sum.
        'bytes': 2 * network.sent_bytes / share,
        'messages': 2 * network.sent / share,
        'time': network.spent_ns / 1e6 / share,
        'memory': memory.kb / size,
    }


def busy_membership(size: int) -> dict[str, float]:
    """Count members that have an update of each other to send."""
    values = _membership(size, quiet=False)
    return {f'member_busy_{name}': value for name, value in values.items()}


def quiet_membership(size: int) -> dict[str, float]:
    """Count members without news."""
    values = _membership(size, quiet=True)
    return {f'member_quiet_{name}': value for name, value in values.items()}


def joint_start(size: int) -> dict[str, float]:
    """Start all members at once, two of them seeds."""
    network = _Network(size)
    while not network.is_joined() and network.now_s < _JOIN_TIMEOUT_S:
        network.run(0.5)
    return {'member_join': network.now_s}
