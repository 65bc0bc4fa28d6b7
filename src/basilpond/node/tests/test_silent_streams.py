"""Endpoints that fall silent for a while and go on, over loopback sockets."""

import asyncio
import dataclasses

import pytest

from basilpond.node._endpoint_returns import _ServiceQueue
from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import route
from basilpond.node.tests.platform_world import world
from basilpond.routing import CrashingParts
from basilpond.routing import Quarantine
from basilpond.routing.placement._endpoint_speed import PREFILL_TOKENS_PER_S
from basilpond_testkit.loopback_clock import on_loopback_clock

# Pause of the endpoints, which callers put up with: they leave after 2.4 s.
SILENCE_S = 2.0


def models(system):
    return [s for s in system.servers.values() if s.service == 'llm']


def separate_prompt(number):
    """Return the fields of a prompt that shares no part with others."""
    return (
        ('X-Model', 'm'),
        ('X-Token-Count', '300,60'),
        ('X-Prompt-Prefix', f'{number}a:100,{number}b:150,{number}c:50'),
    )


async def start_streams(system, count):
    """Start streams at one endpoint and return their tasks."""
    (first, second) = models(system)
    for server in (first, second):
        server.event_gap_s = 0.5
    (node,) = system.nodes
    system.log.put('keyed.servers', second.server_id, None)
    await system.until(lambda: node.directory.find(second.server_id) is None)
    streams = [
        asyncio.create_task(system.prompt('/chat/x')) for _ in range(count)
    ]
    await system.until(lambda: len(first.requests) == count)
    system.log.put('keyed.servers', second.server_id, second.entry())
    await system.until(
        lambda: node.directory.find(second.server_id) is not None
    )
    second.event_gap_s = 0.002
    return first, second, streams


@on_loopback_clock
async def test_late_streams_are_cancelled_only_if_all_may_be_retried():
    """Guards against streams that are cut as the retry budget runs out.

    Each late stream asked whether the budget had room for one retry, was
    cancelled, and was then denied the retry that another one had taken.
    """
    async with world() as system:
        silent, _, streams = await start_streams(system, 12)
        (node,) = system.nodes
        # Four retries.
        settings = dataclasses.replace(
            node._settings, retry_share=0.0, retry_slack=5.0
        )
        node.dispatcher.apply_settings(settings)
        silent.event_gap_s = SILENCE_S
        await asyncio.sleep(SILENCE_S)
        silent.event_gap_s = 0.002
        responses = await asyncio.gather(*streams)
        assert [r.complete for r in responses] == [True] * 12
        assert [r.events for r in responses] == [6] * 12
        assert system.runs('llm') <= 16


@pytest.mark.parametrize('mode', ['refuses', 'limited'])
@on_loopback_clock
async def test_late_stream_is_not_cancelled_without_another_endpoint(mode):
    """Guards against streams that are cancelled for no other endpoint.

    The other endpoint counted as one although connections to it had just
    failed, or its limit left no room. The streams were sent to the same
    endpoint again.
    """
    async with world() as system:
        silent, other, streams = await start_streams(system, 2)
        (node,) = system.nodes
        loop = asyncio.get_running_loop()
        entry = node.directory.find(other.server_id)
        if mode == 'refuses':
            other.stop()
            entry.load.eject(loop.time() + 60.0)
        else:
            node._limits.record_response(
                entry.incarnation_number,
                0.1,
                sent_s=loop.time(),
                now_s=loop.time(),
            )
            node._limits.record_sent(entry.incarnation_number, loop.time())
        silent.event_gap_s = SILENCE_S
        await asyncio.sleep(SILENCE_S)
        silent.event_gap_s = 0.002
        responses = await asyncio.gather(*streams)
        assert [r.complete for r in responses] == [True] * 2
        assert not other.requests
        assert len(silent.requests) == 2


@on_loopback_clock
async def test_endpoint_that_is_silent_for_a_second_keeps_its_streams():
    """Guards against streams that leave an endpoint which goes on at once.

    Servers that fall silent for a second or so and go on are sound.
    """
    async with world() as system:
        silent, _, streams = await start_streams(system, 4)
        silent.event_gap_s = 1.3
        await asyncio.sleep(1.4)
        silent.event_gap_s = 0.002
        responses = await asyncio.gather(*streams)
        assert [r.complete for r in responses] == [True] * 4
        assert system.runs('llm') == 4


@on_loopback_clock
async def test_streams_stay_where_they_are_if_all_endpoints_are_silent():
    """Replays a network cut of 1.3 s between a router and most endpoints.

    Late streams were cancelled and sent to endpoints that were silent as
    well, where they got nothing before their callers left; the endpoints that
    they had been taken from went on in time.
    """
    async with world() as system:
        servers = models(system)
        for server in servers:
            server.event_gap_s = 0.5
        # Prompts that share a prefix may all go where it is cached.
        streams = [
            asyncio.create_task(
                system.prompt('/chat/x', headers=separate_prompt(i))
            )
            for i in range(6)
        ]
        await system.until(lambda: system.runs('llm') == 6)
        assert all(server.requests for server in servers)
        for server in servers:
            server.event_gap_s = SILENCE_S
        await asyncio.sleep(SILENCE_S)
        for server in servers:
            server.event_gap_s = 0.002
        responses = await asyncio.gather(*streams)
        assert [r.complete for r in responses] == [True] * 6
        assert system.runs('llm') == 6


@on_loopback_clock
async def test_late_stream_does_not_join_a_queue_beyond_its_callers_patience():
    """Replays streams of many routers that moved to the same endpoint.

    Its forecast was 1.9 s while callers would leave after 1.4 s.
    """
    async with world() as system:
        silent, other, streams = await start_streams(system, 2)
        (node,) = system.nodes
        entry = node.directory.find(other.server_id)
        # The prefills of others take two seconds.
        entry.load.prefill_cost += 2.0 * PREFILL_TOKENS_PER_S
        silent.event_gap_s = SILENCE_S
        await asyncio.sleep(SILENCE_S)
        silent.event_gap_s = 0.002
        responses = await asyncio.gather(*streams)
        assert [r.complete for r in responses] == [True] * 2
        assert not other.requests


@on_loopback_clock
async def test_late_streams_do_not_all_take_the_same_place():
    """Guards against streams that are given up for one place.

    All that were late at once saw the room that a limit left for one request;
    the others went back to the silent endpoint or were cut.
    """
    async with world() as system:
        silent, other, streams = await start_streams(system, 4)
        (node,) = system.nodes
        loop = asyncio.get_running_loop()
        entry = node.directory.find(other.server_id)
        node._limits.record_response(
            entry.incarnation_number,
            1.0,
            sent_s=loop.time(),
            now_s=loop.time(),
        )
        # A response without the limit would end it.
        other.limit_per_s = 1.0
        silent.event_gap_s = SILENCE_S
        await asyncio.sleep(SILENCE_S)
        silent.event_gap_s = 0.002
        responses = await asyncio.gather(*streams)
        assert [r.complete for r in responses] == [True] * 4
        assert len(other.requests) == 1
        assert len(silent.requests) == 4


@on_loopback_clock
async def test_late_stream_does_not_wait_behind_other_requests():
    """Guards against streams that are given up and then refused.

    Its retry waited behind requests for endpoints that had asked for quiet;
    the time that a late stream may wait was over.
    """
    async with world() as system:
        silent, other, streams = await start_streams(system, 2)
        (node,) = system.nodes
        loop = asyncio.get_running_loop()
        queue = _ServiceQueue()
        queue.requests.add(0, latest_s=loop.time() + 60.0, capacity=10)
        node.dispatcher._returns._queues['llm', 'v1'] = queue
        silent.event_gap_s = SILENCE_S
        await asyncio.sleep(SILENCE_S)
        silent.event_gap_s = 0.002
        responses = await asyncio.gather(*streams)
        assert [r.complete for r in responses] == [True] * 2
        assert len(other.requests) == 2


@pytest.mark.parametrize('mode', ['attempts', 'crashing part', 'cut'])
@on_loopback_clock
async def test_late_stream_stays_if_no_retry_can_follow(mode, monkeypatch):
    """Guards against streams that are given up and may not be sent again.

    Its attempts are used up, one of its prompt parts crashes endpoints, or
    the data centre of the other endpoint is not reached.
    """
    chat = route(
        'chat',
        'streaming',
        'llm',
        resumable=True,
        sticky=True,
        max_attempts=1 if mode == 'attempts' else 2,
    )
    async with world(configuration(routes=[chat])) as system:
        silent, other, streams = await start_streams(system, 2)
        (node,) = system.nodes
        silent.event_gap_s = SILENCE_S
        if mode == 'crashing part':
            quarantine = Quarantine(0x1A, 3, 0.0, 9.0)
            monkeypatch.setattr(
                CrashingParts,
                'find_quarantine',
                lambda *args, **kwargs: quarantine,
            )
        for _ in range(20):
            if mode == 'cut':
                now_s = asyncio.get_running_loop().time()
                for name in ('a', 'b'):
                    node.dispatcher._reachability.record_timeout(
                        'dc', name, now_s
                    )
            await asyncio.sleep(SILENCE_S / 20)
        silent.event_gap_s = 0.002
        responses = await asyncio.gather(*streams)
        assert [r.complete for r in responses] == [True] * 2
        assert not other.requests


# A sound endpoint may say nothing for a second or so.
SOUND_SILENCE_S = 1.2


def assert_none_avoided(system):
    now_s = asyncio.get_running_loop().time()
    for node in system.nodes:
        for entry in node.directory:
            assert not entry.load.is_avoided(now_s), entry.endpoint.id
            assert not node.dispatcher._reachability.is_avoided(
                entry.endpoint.data_centre, now_s
            )


@pytest.mark.parametrize('path', ['/chat/x', '/digest/x'])
@pytest.mark.parametrize('servers', [1, 2])
@on_loopback_clock
async def test_silence_before_the_first_event_cuts_no_stream(path, servers):
    """Guards against prompts of a sound endpoint that are cut or run twice."""
    async with world(models=servers, nodes=2) as system:
        for server in models(system):
            server.prefill_s = SOUND_SILENCE_S
        replies = await asyncio.gather(
            *(
                system.prompt(path, node=i % 2, headers=separate_prompt(i))
                for i in range(8)
            )
        )
        assert [(r.status, r.complete) for r in replies] == [(200, True)] * 8
        assert system.runs('llm') == 8
        assert_none_avoided(system)


@pytest.mark.parametrize('path', ['/chat/x', '/digest/x'])
@on_loopback_clock
async def test_silence_within_streams_ejects_no_endpoint(path):
    """Guards against a sound endpoint that is avoided after a silence."""
    async with world(nodes=2) as system:
        for server in models(system):
            server.event_gap_s = 0.1
        streams = [
            asyncio.create_task(
                system.prompt(path, node=i % 2, headers=separate_prompt(i))
            )
            for i in range(8)
        ]
        await system.until(lambda: system.runs('llm') == 8)
        silent = max(models(system), key=lambda server: len(server.requests))
        silent.event_gap_s = SOUND_SILENCE_S
        await asyncio.sleep(SOUND_SILENCE_S)
        silent.event_gap_s = 0.1
        replies = await asyncio.gather(*streams)
        assert [(r.status, r.complete) for r in replies] == [(200, True)] * 8
        assert system.runs('llm') == 8
        assert_none_avoided(system)


@pytest.mark.parametrize('servers', [1, 2])
@on_loopback_clock
async def test_unsafe_request_at_a_silent_endpoint_runs_once(servers):
    """Guards against a second run while a sound endpoint says nothing."""
    config = configuration(
        routes=[route('claim', 'unsafe', 'app', max_attempts=3)]
    )
    async with world(config, apps=servers, models=0, nodes=2) as system:
        for server in system.servers.values():
            server.work_s = SOUND_SILENCE_S
        replies = await asyncio.gather(
            *(
                system.call(f'/claim/{i}', method='POST', node=i % 2)
                for i in range(6)
            )
        )
        assert [(r.status, r.complete) for r in replies] == [(200, True)] * 6
        assert system.runs('app') == 6
        assert_none_avoided(system)
