import asyncio
import random

import pytest

from basilpond.node._crash_records import decode_cleared
from basilpond.node._crash_records import decode_crash_evidence
from basilpond.node._crash_records import encode_cleared
from basilpond.node._crash_records import encode_crash_evidence
from basilpond.node.tests.test_peer_reports import make_task
from basilpond.routing import CrashEvidence
from basilpond.routing import part_key
from basilpond_testkit.paused_clock import on_paused_clock

KEYS = part_key(9, 2**64 - 1), part_key(9, 3)
PORT = 1000


class Socket:
    """Datagram socket whose datagrams arrive at once."""

    def __init__(self, port, receivers):
        self.port = port
        self.receivers = receivers
        self.sent = 0

    def sendto(self, data, address):
        self.sent += 1
        receiver = self.receivers[address[1]]
        receiver.datagram_received(data, ('127.0.0.1', self.port))


def connect(count):
    """Return routers that know each other."""
    tasks = [make_task(f'm{i:03}', 0)[0] for i in range(count)]
    receivers = {PORT + i: task for i, task in enumerate(tasks)}
    for port, task in receivers.items():
        task._transport = Socket(port, receivers)
        task._rng = random.Random(port)
        for i in range(count):
            task.update_address(f'm{i:03}', b'127.0.0.1:%d' % (PORT + i))
        for peer in task._peers.values():
            peer.last_seen_s = asyncio.get_running_loop().time() + 3600
    return tasks


def refusing(tasks):
    now_s = asyncio.get_running_loop().time()
    return sum(
        task._parts.find_quarantine(KEYS, routers=len(tasks), now_s=now_s)
        is not None
        for task in tasks
    )


@pytest.mark.parametrize('routers', [9, 30, 85, 195])
def test_all_routers_learn_of_crashes_at_a_constant_cost_each(routers):
    """Guards against crashes that only the router that saw them knows of."""

    @on_paused_clock
    async def play():
        loop = asyncio.get_running_loop()
        tasks = connect(routers)
        for incarnation in (1, 2):
            await asyncio.sleep(1.0)
            now_s = loop.time()
            evidence = CrashEvidence(incarnation, KEYS, now_s - 0.2, now_s)
            tasks[incarnation]._parts.add(evidence, now_s)
            tasks[incarnation].announce_news()
        await asyncio.sleep(0.05)
        assert refusing(tasks) >= 0.95 * routers
        assert max(task._transport.sent for task in tasks) <= 12
        for _ in range(3):
            for task in tasks:
                task._synchronise(loop.time())
            await asyncio.sleep(0.05)
        assert refusing(tasks) == routers
        tasks[0]._parts.record_begun(KEYS, loop.time())
        tasks[0].announce_news()
        await asyncio.sleep(0.05)
        assert refusing(tasks) <= 0.05 * routers

    play()


@on_paused_clock
async def test_router_that_starts_learns_of_earlier_crashes():
    """Guards against a new router that lets a crashing part pass."""
    loop = asyncio.get_running_loop()
    tasks = connect(5)
    await asyncio.sleep(10.0)
    for incarnation, broken_s in ((1, 8.0), (2, 9.0)):
        evidence = CrashEvidence(incarnation, KEYS, broken_s - 0.2, broken_s)
        for task in tasks[1:]:
            task._parts.add(evidence, loop.time())
            task._parts.pop_news()
    for _ in range(3):
        for task in tasks[1:]:
            task._synchronise(loop.time())
    assert refusing(tasks[:1]) == 1


def test_crash_records_are_encoded_and_checked():
    """Guards against malformed records of a peer that raise elsewhere."""
    items = [CrashEvidence(2**32 - 1, KEYS, 1.0, 2.5)]
    data = encode_crash_evidence(items, 3.0)
    assert decode_crash_evidence(data, 3.0) == items
    for malformed in (data[:-1], data[:5], data[:16] + b'\0', data + b'1'):
        with pytest.raises(ValueError):
            decode_crash_evidence(malformed, 3.0)
    cleared = [(KEYS[0], 1.5)]
    data = encode_cleared(cleared, 3.0)
    assert decode_cleared(data, 3.0) == cleared
    with pytest.raises(ValueError):
        decode_cleared(data[1:], 3.0)
