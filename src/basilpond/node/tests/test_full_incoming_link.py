"""Sends and readiness of a router whose incoming link is full."""

import asyncio
import functools
import random
import types

import pytest

from basilpond.http1 import RECEIVED
from basilpond.http1 import ExchangeError
from basilpond.http1 import ExchangeFailure
from basilpond.node import NodeSettings
from basilpond.node._directory import EndpointEntry
from basilpond.node._request_context import RefusedError
from basilpond.node._sending import Sender
from basilpond.node.relay import EndpointConnections
from basilpond.node.relay import RelayClient
from basilpond.node.tests import platform_world
from basilpond.node.tests.platform_world import world
from basilpond.node.tests.test_peer_reports import add_peers
from basilpond.node.tests.test_peer_reports import make_task
from basilpond.node.tests.test_router_overload_replay import LINK_BYTES_PER_S
from basilpond.node.tests.test_router_overload_replay import Router
from basilpond.routing import Endpoint
from basilpond.routing import Reachability
from basilpond.routing.capacity import SAMPLE_INTERVAL_S
from basilpond.routing.capacity import IncomingLink
from basilpond_testkit.paused_clock import on_paused_clock

CONNECT_TIMEOUT_S = 0.4


class Pool:
    """Connections that take a time, or time out."""

    connect_timeout_s = CONNECT_TIMEOUT_S

    def __init__(self, connect_s):
        self.connect_s = connect_s

    def take_idle(self, **kwargs):
        return None

    async def connect(self):
        if self.connect_s < CONNECT_TIMEOUT_S:
            await asyncio.sleep(self.connect_s)
            return types.SimpleNamespace()
        await asyncio.sleep(CONNECT_TIMEOUT_S)
        raise ExchangeError(
            ExchangeFailure.CONNECT, 'timed out', timed_out=True
        )


class FullRouter:
    """Sender of a router that receives a share of its bandwidth."""

    def __init__(self, share):
        self.share = share
        self.router = Router(limited=True)
        self.decisions = self.router.decisions
        self.overload = self.router.overload
        self.link = IncomingLink(LINK_BYTES_PER_S, 'dc')
        self.overload.load.incoming = self.link
        self.router.watch.received_bytes = lambda: int(
            self.share * LINK_BYTES_PER_S * asyncio.get_running_loop().time()
        )
        nothing = types.SimpleNamespace(announce_news=None)
        self.sender = Sender(
            None,
            None,
            nothing,
            None,
            None,
            None,
            None,
            None,
            Reachability(),
            None,
            self.overload,
            types.SimpleNamespace(
                suspect=lambda entry, reason: None,
                suspect_data_centre=lambda data_centre, reason: None,
            ),
            self.connections(),
            self.decisions,
        )
        self.sender._codec = types.SimpleNamespace(
            echo_field=lambda metadata: (b'x', b'1')
        )
        self.watching = asyncio.create_task(self.router.watch.run())

    def connections(self):
        client = RelayClient(list, 'dc', self.decisions, random.Random(1))
        connections = EndpointConnections(
            [], client, self.decisions, random.Random(1)
        )
        connections.is_link_full = lambda: self.link.is_busy(
            asyncio.get_running_loop().time()
        )
        return connections

    def context(self):
        now_s = asyncio.get_running_loop().time()
        return types.SimpleNamespace(
            metadata=types.SimpleNamespace(request_id='1'),
            tried_endpoints=[],
            events=types.SimpleNamespace(count=0),
            part_keys=[],
            shared_parts=[],
            possible_runs=0,
            failed_connects=0,
            sends=0,
            record_send_failed=lambda: None,
            responder=types.SimpleNamespace(started=False),
            effective_priority=0,
            route=types.SimpleNamespace(objective_s=0.4),
            started_s=now_s,
            patience_left_s=lambda now_s: 4.0,
            respond_by_s=now_s + 4.0,
            request=types.SimpleNamespace(body=b'', headers=[], target=b'/'),
        )

    async def send(self, data_centre, number, connect_s=CONNECT_TIMEOUT_S):
        endpoint = Endpoint(
            f'{data_centre}-{number}',
            None,
            's',
            '10.0.0.1',
            80,
            data_centre,
            12,
            False,
            0.0,
        )
        entry = EndpointEntry(endpoint, 10.0)
        entry.pool = Pool(connect_s)
        context = self.context()
        choice = types.SimpleNamespace(
            prefill_cost=0, forecast_s=0.1, limit_forecast_s=0.1
        )
        if connect_s < CONNECT_TIMEOUT_S:
            await self.sender._connect(entry)
            return context
        await self.sender.send(context, entry, choice, lambda: False)
        return context

    def names(self):
        return [name for name, _ in self.decisions.events]


async def send_to_all(share, **connect_s):
    """Send to endpoints of three data centres, 50 ms apart."""
    router = FullRouter(share)
    await asyncio.sleep(1.0)
    sends = []
    for i in range(12):
        zone = ('dc', 'far', 'other')[i % 3]
        wait_s = connect_s.get(zone, CONNECT_TIMEOUT_S)
        sends.append(asyncio.create_task(router.send(zone, i, wait_s)))
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    contexts = await asyncio.gather(*sends)
    return router, contexts


@on_paused_clock
async def test_full_link_ejects_no_endpoints():
    """Guards against a full router that loses its sound endpoints.

    On one day, one router ejected 778 endpoints and marked data centres as
    unreachable 22 times, as its incoming link was full of bodies.
    """
    router, contexts = await send_to_all(0.95)
    # The first time-out alone shows nothing.
    assert router.names().count('endpoint_ejected') == 1
    assert 'data_centre_unreachable' not in router.names()
    with pytest.raises(RefusedError) as caught:
        await router.overload.wait_to_send(contexts[-1])
    assert caught.value.reason == 'router full, incoming link'
    assert caught.value.status == 503
    assert caught.value.retry_after_s <= 0.1
    router.watching.cancel()


@on_paused_clock
async def test_stopped_load_no_longer_refuses():
    """Guards against refusals after the end of a load."""
    router, contexts = await send_to_all(0.95)
    await asyncio.sleep(1.0)
    await router.overload.wait_to_send(contexts[-1])
    router.watching.cancel()


@on_paused_clock
async def test_outdated_list_of_endpoints_is_not_used_by_a_full_router():
    """Guards against requests to endpoints that left long ago.

    On one day a router whose reads of the list waited behind the bodies of
    callers sent requests 3.6 s after the departure of their endpoint.
    """
    router, contexts = await send_to_all(0.95)
    router.overload.max_list_age_s = 2.25
    router.overload.list_age_s = lambda: 3.0
    context = contexts[-1]
    context.failed_connects = 0
    with pytest.raises(RefusedError) as caught:
        await router.overload.wait_to_send(context)
    assert caught.value.status == 503
    assert caught.value.reason == 'router full, list of endpoints outdated'
    # A request that may run already waits for the list.
    context.possible_runs = 1
    began_s = asyncio.get_running_loop().time()
    context.wait_until_s = began_s + 4.0
    router.overload.list_age_s = lambda: (
        3.0 if asyncio.get_running_loop().time() < began_s + 0.2 else 0.1
    )
    await router.overload.wait_to_send(context)
    assert asyncio.get_running_loop().time() - began_s >= 0.2
    router.watching.cancel()


@on_paused_clock
async def test_outdated_list_is_not_used_without_new_time_outs():
    """Guards against a rule that ends as nothing connects any more.

    Time-outs of connections tell that the link is full for a second only.
    """
    router, contexts = await send_to_all(0.95)
    router.overload.max_list_age_s = 2.25
    router.overload.list_age_s = lambda: 3.0
    assert router.overload.has_outdated_list()
    await asyncio.sleep(2.0)
    assert not router.overload.load.incoming.is_full(
        asyncio.get_running_loop().time()
    )
    with pytest.raises(RefusedError):
        await router.overload.wait_to_send(contexts[-1])
    # The store is away for longer than the link explains.
    router.overload.list_age_s = lambda: 20.0
    assert not router.overload.has_outdated_list()
    router.watching.cancel()


@on_paused_clock
async def test_list_of_endpoints_stays_in_use_in_an_outage_of_the_store():
    """Guards against refusals by routers that are not full."""
    router, contexts = await send_to_all(0.5)
    router.overload.max_list_age_s = 2.25
    router.overload.list_age_s = lambda: 30.0
    await router.overload.wait_to_send(contexts[-1])
    router.watching.cancel()


@on_paused_clock
async def test_cut_data_centre_beside_a_busy_link_is_unreachable():
    """Guards against cuts that a busy router takes for its own load."""
    router, _ = await send_to_all(0.95, dc=0.002, other=0.02)
    assert router.names().count('endpoint_ejected') == 4
    assert router.names().count('data_centre_unreachable') == 1
    router.watching.cancel()


@on_paused_clock
async def test_time_outs_at_a_router_with_room_are_failures():
    """Guards against a router that is cut off and ejects nothing."""
    router, _ = await send_to_all(0.5)
    assert router.names().count('endpoint_ejected') == 12
    assert router.names().count('data_centre_unreachable') == 3
    router.watching.cancel()


@on_paused_clock
async def test_reports_tell_which_routers_of_a_data_centre_are_full():
    """Guards against routers that leave beside others that are full."""
    sender, _ = make_task('n', 1)
    receiver, _ = make_task('m00', 1)
    sender._data_centre = receiver._data_centre = 'dc'
    add_peers(sender, 1)
    sender._transport.receivers[1000] = receiver
    full = False
    running = asyncio.create_task(sender.run())
    await asyncio.sleep(1.0)
    # Without limits of the link, reports name no data centre.
    assert receiver.count_data_centre() == (0, 0)
    sender.states_full = lambda: full
    await asyncio.sleep(1.0)
    assert receiver.count_data_centre() == (1, 0)
    full = True
    await asyncio.sleep(1.0)
    assert receiver.count_data_centre() == (1, 1)
    full = False
    await asyncio.sleep(1.0)
    assert receiver.count_data_centre() == (1, 0)
    receiver._data_centre = 'far'
    assert receiver.count_data_centre() == (0, 0)
    receiver._data_centre = 'dc'
    running.cancel()
    # A silent router may be full; later it is not live.
    await asyncio.sleep(2.5)
    assert receiver.count_data_centre() == (1, 1)
    await asyncio.sleep(3.0)
    assert receiver.count_data_centre() == (0, 0)


class FullLoad:
    full_reason = 'router full, incoming link'
    incoming = IncomingLink()

    def is_full(self, now_s):
        return True


async def test_full_router_is_not_ready_and_serves(monkeypatch):
    """Guards against a state that the ready path does not show, over sockets.

    Requests that arrive meanwhile are served.
    """
    settings = functools.partial(NodeSettings, link_bytes_per_s=625e3)
    monkeypatch.setattr(platform_world, 'NodeSettings', settings)
    async with world(nodes=2, apps=1) as system:
        first, second = system.nodes
        path = first._ready_path

        def status():
            return first._respond_ready(path)[0]

        await system.until(
            lambda: (
                first.peers.count_data_centre() == (1, 0)
                and second.peers.count_data_centre() == (1, 0)
            )
        )
        assert status() == 200
        first._load_readiness._load = FullLoad()
        await system.until(lambda: status() == 503)
        assert first.is_ready()
        assert (await system.call('/look/x')).status == 200
        # The load balancer needs 3 s to lead new connections elsewhere.
        assert not first._callers.closes_after_response
        await system.until(lambda: first._callers.closes_after_response, 4.0)
        text = first._respond_metrics(b'/')[2].decode()
        assert 'basilpond_router_out_of_rotation 1.0' in text
        second._load_readiness._load = FullLoad()
        await system.until(lambda: status() == 200, 1.4)
        assert second._respond_ready(path)[0] == 200


async def test_received_bytes_are_compared_with_the_link(monkeypatch):
    """Guards against a signal that nothing feeds, over sockets."""
    settings = functools.partial(NodeSettings, link_bytes_per_s=625e3)
    monkeypatch.setattr(platform_world, 'NodeSettings', settings)
    async with world(apps=1) as system:
        (node,) = system.nodes
        before = RECEIVED.total
        assert (await system.prompt(body=b'x' * 40_000)).status == 200
        assert RECEIVED.total - before >= 40_000
        await system.until(
            lambda: (
                node.load.incoming.used_share(
                    asyncio.get_running_loop().time()
                )
                >= 0.1
            )
        )
