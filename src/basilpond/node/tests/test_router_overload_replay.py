"""Replays a router that gets more than its link carries."""

import asyncio
import dataclasses
import json
import math
import random
import types

import pytest

from basilpond.http1 import CallerRequest
from basilpond.http1 import Upload
from basilpond.node._request_context import RefusedError
from basilpond.node._request_context import RequestContext
from basilpond.node._router_overload import RouterOverload
from basilpond.node._router_overload import _progress
from basilpond.node._router_overload import find_route
from basilpond.node._router_watch import LinkMeter
from basilpond.node._router_watch import RouterWatch
from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import route
from basilpond.platform import JsonPlatformCodec
from basilpond.routing import Catalogue
from basilpond.routing.capacity import RouterLoad
from basilpond_testkit.paused_clock import on_paused_clock

LINK_BYTES_PER_S = 625_000.0
# Bytes that a sender has on the way before the first acknowledgement.
FIRST_BYTES = 14_600
STEP_S = 0.005
BURST_BEGINS_S = 1.0
BURST_ENDS_S = 10.0
END_S = 14.0
# Time that an endpoint needs for a response in time.
ENDPOINT_S = 0.1
ROUTES = {'fast': (0, 0.4, 8_000), 'bulk': (2, 1.5, 72_000)}
# Requests a second: a fifth of the link, and three times the link.
USUAL_PER_S = {'fast': 5, 'bulk': 1}
BURST_PER_S = {'fast': 20, 'bulk': 24}


class Decisions:
    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append((name, fields))


class Connection:
    """Connection to an endpoint over a link that sends in order."""

    def __init__(self, link, size_bytes):
        now_s = asyncio.get_running_loop().time()
        self.sent_bytes = size_bytes
        self.starts_s = max(now_s, link.free_s)
        self.ends_s = self.starts_s + size_bytes / LINK_BYTES_PER_S
        link.free_s = self.ends_s

    @property
    def unsent_bytes(self):
        now_s = asyncio.get_running_loop().time()
        left_s = self.ends_s - max(now_s, self.starts_s)
        return max(0, int(left_s * LINK_BYTES_PER_S))


@dataclasses.dataclass(eq=False)
class Request:
    route: str
    started_s: float
    missing_bytes: int
    received: asyncio.Event
    ended_s: float = math.inf
    refused: str | None = None
    retry_after_s: float = 0.0


class Router:
    """A router between two directions of a link."""

    def __init__(self, *, limited):
        link_bytes_per_s = LINK_BYTES_PER_S if limited else math.inf
        config = configuration(
            routes=[
                route(
                    name,
                    'safe',
                    'app',
                    latency_target_ms=objective_s * 1000,
                    priority=priority,
                )
                for name, (priority, objective_s, _) in ROUTES.items()
            ]
        )
        codec = JsonPlatformCodec()
        self.catalogue = Catalogue(
            codec.decode_configuration(json.dumps(config).encode())
        )
        self.decisions = Decisions()
        self.load = RouterLoad()
        self.overload = RouterOverload(
            self.load,
            codec,
            types.SimpleNamespace(serving=self.catalogue),
            types.SimpleNamespace(count_refusal=lambda *args: None),
            self.decisions,
            random.Random(1),
            link_bytes_per_s,
        )
        self.limited = limited
        self.free_s = 0.0
        self.connections = []
        self.receiving = []
        self.uploading = []
        self.overload.uploads = lambda: [
            self.upload(r) for r in self.uploading
        ]
        self.watch = RouterWatch(
            self.load,
            LinkMeter(lambda: self.connections),
            link_bytes_per_s,
            self.decisions,
        )
        self.overload.confirm_link = self.watch.confirm_link
        self.requests = []

    def headers(self, request):
        return [
            (b'host', b'h.example'),
            (b'x-request-id', b'%d' % id(request)),
            (b'x-deadline-ms', b'4000'),
        ]

    def upload(self, request):
        received = ROUTES[request.route][2] - request.missing_bytes
        return Upload(
            b'/%s/x' % request.route.encode(),
            self.headers(request),
            request.started_s,
            received,
            request.missing_bytes,
            asyncio.get_running_loop().time(),
        )

    async def receive(self):
        """Divide the incoming link evenly between the senders."""
        while True:
            await asyncio.sleep(STEP_S)
            rest = LINK_BYTES_PER_S * STEP_S
            for i, request in enumerate(
                sorted(self.receiving, key=lambda r: r.missing_bytes)
            ):
                part = min(
                    request.missing_bytes, rest / (len(self.receiving) - i)
                )
                request.missing_bytes -= part
                rest -= part
                if request.missing_bytes <= 0.5:
                    request.received.set()
            self.receiving = [
                r for r in self.receiving if r.missing_bytes > 0.5
            ]

    async def handle(self, name):
        loop = asyncio.get_running_loop()
        body_bytes = ROUTES[name][2]
        request = Request(name, loop.time(), body_bytes, asyncio.Event())
        self.requests.append(request)
        self.receiving.append(request)
        try:
            if self.limited and body_bytes > FIRST_BYTES:
                self.check_upload(request)
            await request.received.wait()
            await self.send(request, body_bytes)
        except RefusedError as refusal:
            request.refused = refusal.reason
            request.retry_after_s = refusal.retry_after_s
        finally:
            request.ended_s = loop.time()
            if request in self.uploading:
                self.uploading.remove(request)

    def check_upload(self, request):
        if self.overload.check_upload(self.upload(request)) is not None:
            self.receiving.remove(request)
            raise RefusedError(503, 'router full, uploads', 0.0)
        self.uploading.append(request)

    async def send(self, request, body_bytes):
        loop = asyncio.get_running_loop()
        metadata = JsonPlatformCodec().decode_request_metadata(
            self.headers(request)
        )
        target = b'/%s/x' % request.route.encode()
        context = RequestContext(
            CallerRequest(
                b'POST',
                target,
                self.headers(request),
                bytes(body_bytes),
                request.started_s,
                loop.time(),
            ),
            types.SimpleNamespace(started=False),
            metadata,
            find_route(self.catalogue, target, self.headers(request)),
            None,
            'app',
            1,
        )
        self.overload.admit(context)
        try:
            await self.overload.wait_to_send(context)
            assert await self.overload.settle(context)
            connection = Connection(self, body_bytes)
            self.connections.append(connection)
            await asyncio.sleep(connection.ends_s - loop.time())
            self.connections.remove(connection)
        finally:
            self.overload.record_end(context)


async def replay(*, limited):
    loop = asyncio.get_running_loop()
    rng = random.Random(7)
    router = Router(limited=limited)
    tasks = [loop.create_task(router.watch.run())]
    tasks.append(loop.create_task(router.receive()))

    async def call(name):
        while loop.time() < END_S:
            in_burst = BURST_BEGINS_S <= loop.time() < BURST_ENDS_S
            rate = (BURST_PER_S if in_burst else USUAL_PER_S)[name]
            await asyncio.sleep((0.5 + rng.random()) / rate)
            tasks.append(loop.create_task(router.handle(name)))

    await asyncio.gather(*(call(name) for name in ROUTES))
    await asyncio.sleep(30.0 if not limited else 3.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return router


def in_burst(router, name):
    return [
        r
        for r in router.requests
        if r.route == name and BURST_BEGINS_S <= r.started_s < BURST_ENDS_S
    ]


def in_time_share(requests):
    in_time = [
        r
        for r in requests
        if r.refused is None
        and r.ended_s - r.started_s + ENDPOINT_S <= ROUTES[r.route][1]
    ]
    return len(in_time) / len(requests)


@on_paused_clock
async def test_urgent_requests_are_served_while_the_link_is_full():
    """Guards against callers that wait for a full link until they leave.

    On one day, 3,558 attempts ended by the caller's time limit; more than half
    of the requests entered at one of four data centres.
    """
    router = await replay(limited=True)
    fast, bulk = in_burst(router, 'fast'), in_burst(router, 'bulk')
    assert in_time_share(fast) >= 0.95
    refused = [r for r in bulk if r.refused]
    assert len(refused) >= 0.5 * len(bulk)
    # Within milliseconds; those that are pushed back by urgent ones, early.
    delays_s = sorted(r.ended_s - r.started_s for r in refused)
    assert delays_s[int(0.9 * len(refused))] <= 0.005
    assert all(r.retry_after_s <= 0.1 for r in refused)
    # What the link carries is served, and in time.
    served = [r for r in fast + bulk if not r.refused]
    carried_bytes = sum(ROUTES[r.route][2] for r in served)
    burst_s = BURST_ENDS_S - BURST_BEGINS_S
    assert carried_bytes >= 0.8 * LINK_BYTES_PER_S * burst_s
    assert in_time_share([r for r in bulk if not r.refused]) >= 0.95
    # Before the load, and a second after it.
    others = [
        r
        for r in router.requests
        if r.started_s < BURST_BEGINS_S or r.started_s >= BURST_ENDS_S + 1.0
    ]
    assert not [r for r in others if r.refused]
    assert in_time_share(others) == 1.0
    states = [name for name, _ in router.decisions.events if 'full' in name]
    assert states[0] == 'router_full'
    assert states[-1] == 'router_not_full'
    assert len(states) <= 8


@on_paused_clock
async def test_replay_exceeds_a_router_that_admits_everything():
    """Guards against a replay whose load is too light to show anything."""
    router = await replay(limited=False)
    assert in_time_share(in_burst(router, 'fast')) <= 0.5
    assert in_time_share(in_burst(router, 'bulk')) <= 0.2
    assert not [
        r for r in router.requests if r.refused and 'full' in r.refused
    ]


@on_paused_clock
async def test_pause_of_a_router_is_over_with_the_next_samples():
    """Guards against refusals after a pause of the process."""
    loop = asyncio.get_running_loop()
    load, decisions = RouterLoad(), Decisions()
    for _ in range(8):
        load.record_started(0)
    watch = RouterWatch(load, LinkMeter(list), math.inf, decisions)
    task = loop.create_task(watch.run())
    await asyncio.sleep(1.0)
    loop._advancing_selector.now_s += 5.0
    delays_s = []
    for _ in range(10):
        await asyncio.sleep(0.02)
        delays_s.append(load.delay_s(loop.time()))
    task.cancel()
    assert max(delays_s) == pytest.approx(0.0)
    assert not decisions.events


@on_paused_clock
async def test_lag_of_the_event_loop_is_seen_and_logged():
    """Guards against a full processor that refuses nothing."""
    loop = asyncio.get_running_loop()
    load, decisions = RouterLoad(), Decisions()
    for _ in range(8):
        load.record_started(0)
    watch = RouterWatch(load, LinkMeter(list), math.inf, decisions)
    task = loop.create_task(watch.run())
    await asyncio.sleep(0.2)
    for _ in range(10):
        loop._advancing_selector.now_s += 0.2
        await asyncio.sleep(0.01)
    assert load.lag_s(loop.time()) >= 0.1
    await asyncio.sleep(1.0)
    task.cancel()
    names = [name for name, _ in decisions.events]
    assert names == ['router_full', 'router_not_full']


class Stalled:
    """Connection whose peer reads a part, or nothing."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.sent_bytes = 4_000_000

    @property
    def unsent_bytes(self):
        now_s = asyncio.get_running_loop().time()
        return self.sent_bytes - int(self.bytes_per_s * now_s)


@on_paused_clock
async def test_peers_that_do_not_read_do_not_fill_the_link():
    """Guards against crowds of slow readers that let a router refuse all."""
    loop = asyncio.get_running_loop()
    crowd = [Stalled(0), Stalled(100), Stalled(300_000)]
    meter = LinkMeter(lambda: crowd)
    assert meter.waiting_bytes(loop.time()) == 3 * 150_000
    for _ in range(20):
        await asyncio.sleep(0.05)
        waiting_bytes = meter.waiting_bytes(loop.time())
    assert waiting_bytes == pytest.approx(300_100, rel=0.01)


@on_paused_clock
async def test_stalled_upload_does_not_count():
    """Guards against one silent sender that has uploads of others refused."""
    now_s = asyncio.get_running_loop().time() + 5.0
    for silent_s, rate in ((0.1, 2_500_000 / 5), (0.5, 0.0)):
        stalled = Upload(
            b'/x', [], now_s - 5.0, 2_500_000, 1_500_000, now_s - silent_s
        )
        assert _progress(stalled, now_s).bytes_per_s == pytest.approx(rate)
