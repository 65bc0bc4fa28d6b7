"""Slow and stalled streams, over loopback sockets."""

import asyncio

import pytest

from basilpond.node.tests.platform_world import world


def models(system):
    return [s for s in system.servers.values() if s.service == 'llm']


async def test_stalled_stream_that_sends_bytes_resumes_elsewhere():
    """Guards against stalled streams that last until the time limit.

    Each byte of an incomplete event restarted the timeout between events.
    """
    async with world() as system:
        for server in models(system):
            server.mode = 'drip'
            server.break_after = 2
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        running = asyncio.create_task(system.prompt('/chat/x'))
        await system.until(lambda: system.runs('llm') == 1)
        for server in models(system):
            if not server.requests:
                server.mode = 'ok'
        response = await running
        took_s = loop.time() - started_s
    assert response.complete
    assert [b'data: e%d\n' % i in response.body for i in range(1, 7)] == (
        [True] * 6
    )
    # The time limit of the request is 4 s; events pause for 0.3 s at most.
    assert took_s <= 2.0
    assert system.runs('llm') == 2


async def test_stalled_stream_that_cannot_resume_ends_at_its_time_limit():
    """Guards against stalled streams that never end."""
    async with world(models=1) as system:
        (server,) = models(system)
        server.mode = 'drip'
        server.break_after = 2
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        response = await system.prompt('/digest/x')
        took_s = loop.time() - started_s
        await system.until(lambda: server.ended)
    assert not response.complete
    assert took_s <= 4.5
    assert server.ended == ['cancelled']


@pytest.mark.parametrize('path', ['/chat/x', '/digest/x'])
async def test_slow_but_sound_stream_is_not_cut(path):
    """Guards against streams that are cut for pauses of their endpoint."""
    async with world() as system:
        for server in models(system):
            server.event_gap_s = 0.45
        response = await system.prompt(path)
        assert response.complete
        assert response.events == 6
        assert system.runs('llm') == 1
