"""Requests whose endpoint was chosen before a wait, over sockets."""

import asyncio
import functools
import time

from basilpond.node import NodeSettings
from basilpond.node.tests import platform_world
from basilpond.node.tests.platform_world import PROMPT
from basilpond.node.tests.platform_world import world

WAIT_S = 0.2


def hold_sends(system, *, blocking=False):
    """Let the full link hold each send for a while."""
    (node,) = system.nodes

    async def settle(context):
        if blocking:
            time.sleep(WAIT_S)  # noqa: ASYNC251
        else:
            await asyncio.sleep(WAIT_S)
        return True

    node.dispatcher.sender._overload.settle = settle
    return node


async def open_connections(system, count):
    """Let the router keep connections to its endpoints."""
    await asyncio.gather(*(system.call(f'/look/{i}') for i in range(count)))


async def test_held_request_is_not_sent_to_an_endpoint_that_leaves():
    """Guards against late sends on connections that are kept open.

    On one day, requests reached an endpoint 40 to 77 ms after the bound: they
    had been decided before the router knew that it leaves.
    """
    async with world() as system:
        await open_connections(system, 40)
        node = hold_sends(system)
        server = system.servers['app-0']
        entry = node.directory.find('app-0')
        opened = entry.pool.opened
        arrivals = len(server.arrived_s)
        assert arrivals
        calls = [
            asyncio.create_task(system.call(f'/look/{i}')) for i in range(8)
        ]
        await asyncio.sleep(WAIT_S / 2)
        node.directory.mark_told_leaving(entry)
        replies = await asyncio.gather(*calls)
        assert {reply.status for reply in replies} == {200}
        assert len(server.arrived_s) == arrivals
        assert entry.pool.opened == opened


async def test_held_request_is_not_sent_after_its_time_limit():
    """Guards against requests that run for callers who have left.

    The timer of the limit runs after what delays the event loop.
    """
    async with world(apps=1) as system:
        await open_connections(system, 1)
        hold_sends(system, blocking=True)
        runs = system.runs('app')
        headers = (('X-Deadline-Ms', '150'),)
        reply = await system.call('/claim/x', headers=headers)
        assert reply.status == 503
        assert system.runs('app') == runs


async def test_held_request_is_not_sent_after_its_caller_left():
    """Guards against requests that run for callers who have left."""
    async with world(apps=1) as system:
        await open_connections(system, 1)
        hold_sends(system)
        runs = system.runs('app')
        _, writer = await system.open('/claim/x')
        await asyncio.sleep(WAIT_S / 2)
        writer.close()
        await asyncio.sleep(WAIT_S)
        assert system.runs('app') == runs


async def test_request_without_time_is_refused_at_once():
    """Guards against requests that are sent although their time is used up."""
    async with world() as system:
        headers = (*PROMPT, ('X-Deadline-Ms', '0'))
        reply = await system.prompt(headers=headers)
        assert reply.status == 503
        assert system.runs('llm') == 0


async def test_full_link_refuses_and_is_counted():
    """Guards against refusals that no metric or response shows."""
    async with world() as system:
        (node,) = system.nodes
        now_s = asyncio.get_running_loop().time()
        for i in range(8):
            node.load.record_started(0)
            node.load.record_lag(0.3, now_s + 0.001 * i)
        reply = await system.call('/look/x')
        assert reply.status == 503
        assert 0 < float(reply.headers['retry-after']) <= 0.05
        metrics = node._respond_metrics(b'/')[2].decode()
        assert 'reason="router full, processor"' in metrics
        assert 'basilpond_router_full 1.0' in metrics
        await asyncio.sleep(0.4)
        assert (await system.call('/look/x')).status == 200


async def test_router_with_known_limits_serves_what_fits(monkeypatch):
    """Guards against a small VM that refuses usual requests."""
    limits = {'link_bytes_per_s': 625e3, 'memory_bytes': 16e7}
    settings = functools.partial(NodeSettings, cpu_share=0.39, **limits)
    monkeypatch.setattr(platform_world, 'NodeSettings', settings)
    async with world() as system:
        for _ in range(3):
            calls = [system.call(f'/look/{i}') for i in range(10)]
            calls.append(system.prompt(body=b'x' * 40_000))
            replies = await asyncio.gather(*calls)
            assert {reply.status for reply in replies} == {200}
        assert not system.nodes[0].load.held
        assert not system.nodes[0].dispatcher.sender.connections
