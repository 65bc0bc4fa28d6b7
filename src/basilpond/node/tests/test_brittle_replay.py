"""Replays overloaded endpoints that bound their rejections, by fleet size."""

import asyncio
import collections
import random

import pytest

from basilpond.node._brittle_records import decode_brittle
from basilpond.node._brittle_records import encode_brittle
from basilpond.node._peers import MAX_DATAGRAMS_PER_S
from basilpond.node._peers import REPORT_INTERVAL_S
from basilpond.routing import BrittleEndpoints
from basilpond.routing import EndpointRoom
from basilpond_testkit import paused_clock

SLOTS = 6
WORK_S = 0.3
OBJECTIVE_S = 1.0
FALL_S = 2.0
DELAY_S = 0.002
HOP_S = 0.008
HOP_ROUTERS = 6
SETTLED_S = 3.0
END_S = 13.0


class Server:
    """A brittle endpoint."""

    def __init__(self, number, survived, queue_room):
        self.incarnation = number
        self.survived = survived
        self.room = SLOTS + queue_room
        self.slots = asyncio.Semaphore(SLOTS)
        self.present = 0
        self.rejected_s = []
        self.fallen_s = []

    def is_down(self, now_s):
        return bool(self.fallen_s) and now_s < self.fallen_s[-1] + FALL_S

    async def run(self):
        """Return 'ok', 'rejected' or 'down'."""
        now_s = asyncio.get_running_loop().time()
        if self.is_down(now_s):
            return 'down'
        falls = len(self.fallen_s)
        if self.present >= self.room:
            self.rejected_s.append(now_s)
            recent = sum(now_s - at_s < 1.0 for at_s in self.rejected_s)
            if recent > self.survived and now_s >= SETTLED_S:
                self.fallen_s.append(now_s)
                self.rejected_s.clear()
            return 'rejected'
        self.present += 1
        try:
            async with self.slots:
                await asyncio.sleep(WORK_S)
        finally:
            self.present -= 1
        return 'ok' if falls == len(self.fallen_s) else 'down'


class Router:
    """One router, with requests of its callers."""

    def __init__(self, number, fleet):
        self.fleet = fleet
        self.brittle = BrittleEndpoints(f'r-{number}')
        self.own = collections.Counter()
        # What it last reported.
        self.reported = collections.Counter()
        self.spreading = False

    def room(self, server):
        others = self.fleet.reported[server] - self.reported[server]
        return EndpointRoom(
            SLOTS,
            self.own[server],
            self.own[server] + others,
            self.fleet.report_interval_s,
        )

    def report(self):
        for server in self.fleet.servers:
            self.fleet.reported[server] += (
                self.own[server] - self.reported[server]
            )
            self.reported[server] = self.own[server]

    def spread(self):
        if self.brittle.has_news and not self.spreading:
            self.spreading = True
            loop = asyncio.get_running_loop()
            loop.call_later(HOP_S, self.send_news)

    def send_news(self):
        self.spreading = False
        now_s = asyncio.get_running_loop().time()
        data = encode_brittle(*self.brittle.pop_news(), now_s)
        others = self.fleet.routers
        for router in self.fleet.rng.sample(
            others, min(HOP_ROUTERS, len(others))
        ):
            bounds, rejections = decode_brittle(data, now_s)
            for bound in bounds:
                router.brittle.apply_report(bound, now_s)
            for rejection in rejections:
                router.brittle.apply_rejection(rejection, now_s)
            router.spread()

    async def serve(self):
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + OBJECTIVE_S / 2
        while (server := self.choose()) is None:
            if loop.time() >= give_up_s:
                return 'refused'
            self.brittle.record_waited(loop.time())
            await asyncio.sleep(0.01)
        sent_s = loop.time()
        if self.fleet.is_limited:
            self.brittle.record_sent(
                server.incarnation, self.room(server), sent_s
            )
        self.own[server] += 1
        await asyncio.sleep(DELAY_S)
        result = await server.run()
        await asyncio.sleep(DELAY_S)
        now_s = loop.time()
        self.own[server] -= 1
        if result != 'down':
            self.brittle.record_response(
                server.incarnation, server.survived, sent_s=sent_s, now_s=now_s
            )
        if result == 'rejected':
            self.brittle.record_rejection(
                server.incarnation, self.own[server], now_s
            )
        run_s = now_s - sent_s if result == 'ok' else None
        self.brittle.record_end(server.incarnation, run_s, now_s)
        self.spread()
        return result

    def choose(self):
        now_s = asyncio.get_running_loop().time()
        for server in self.fleet.servers:
            if self.fleet.is_limited:
                self.brittle.record_asked(
                    server.incarnation, self.room(server), now_s
                )
        servers = [
            server
            for server in self.fleet.servers
            if not server.is_down(now_s)
            and not (
                self.fleet.is_limited
                and self.brittle.wait_s(
                    server.incarnation, self.room(server), now_s
                )
            )
        ]
        # As for endpoints whose reported loads are old.
        return min(
            self.fleet.rng.sample(servers, min(2, len(servers))),
            key=lambda server: self.room(server).running,
            default=None,
        )


class Fleet:
    """Routers and brittle endpoints."""

    def __init__(self, routers, servers, survived, *, is_limited, queue_room):
        self.rng = random.Random(routers)
        self.is_limited = is_limited
        self.report_interval_s = max(
            REPORT_INTERVAL_S, routers / MAX_DATAGRAMS_PER_S
        )
        self.servers = [
            Server(i, survived, queue_room) for i in range(servers)
        ]
        self.reported = collections.Counter()
        self.routers = [Router(i, self) for i in range(routers)]
        for router in self.routers:
            router.brittle.set_routers([f'r-{i}' for i in range(routers)], 0.0)

    async def report(self, router):
        await asyncio.sleep(self.rng.random() * self.report_interval_s)
        while True:
            router.report()
            await asyncio.sleep(self.report_interval_s)

    async def run(self, load):
        """Return falls, rejections and requests that were served."""
        loop = asyncio.get_running_loop()
        per_s = load * len(self.servers) * SLOTS / WORK_S
        reports = [asyncio.create_task(self.report(r)) for r in self.routers]
        calls = []
        while loop.time() < END_S:
            router = self.rng.choice(self.routers)
            call = asyncio.create_task(router.serve())
            if loop.time() >= SETTLED_S:
                calls.append(call)
            await asyncio.sleep(self.rng.expovariate(per_s))
        results = await asyncio.gather(*calls)
        for report in reports:
            report.cancel()
        falls = sum(len(server.fallen_s) for server in self.servers)
        return falls, collections.Counter(results)


def replay(*arguments, load, **options):
    """Return falls and results of a run."""

    async def run():
        return await Fleet(*arguments, **options).run(load)

    return paused_clock.run(run())


@pytest.mark.parametrize('queue_room', [1, 3])
@pytest.mark.parametrize(
    ('routers', 'servers', 'survived', 'load'),
    [
        (3, 4, 2, 1.5),
        (9, 4, 1, 3.0),
        (9, 4, 2, 0.6),
        (40, 4, 1, 1.5),
        (195, 4, 5, 1.5),
    ],
)
def test_overloaded_brittle_endpoints_stay_up(
    routers, servers, survived, load, queue_room
):
    """Guards against endpoints that fall as routers learn of them too late."""
    sizes = routers, servers, survived
    falls, results = replay(
        *sizes, load=load, is_limited=True, queue_room=queue_room
    )
    falls_before, before = replay(
        *sizes, load=load, is_limited=False, queue_room=queue_room
    )
    assert falls <= 2 + servers / 10
    if load > 1:
        assert falls_before > 2 + servers / 10
        assert results['ok'] >= before['ok']
    else:
        assert results['ok'] >= 0.9 * before['ok']
