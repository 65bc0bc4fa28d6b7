"""Streams whose responses have neither a length nor chunks."""

import pytest

from basilpond.node.tests.platform_world import world


@pytest.mark.parametrize('path', ['/chat/x', '/digest/x'])
async def test_stream_that_ends_with_its_connection_is_complete(path):
    """Guards against responses that are retried although they are whole."""
    async with world(models=1) as system:
        system.servers['llm-0'].mode = 'unframed'
        reply = await system.prompt(path)
        assert reply.complete
        assert reply.events == 6
        assert system.runs('llm') == 1


async def test_unframed_stream_that_ends_within_an_event_looks_incomplete():
    """Guards against a crash whose truncated response looks complete."""
    async with world(models=1) as system:
        system.servers['llm-0'].mode = 'unframed'
        system.servers['llm-0'].break_after = 3
        reply = await system.prompt('/digest/x')
        assert reply.status == 200
        assert not reply.complete
        assert system.runs('llm') == 1


async def test_unframed_stream_that_ends_within_an_event_resumes():
    """Guards against events that are lost or repeated after a crash."""
    async with world(models=2) as system:
        system.servers['llm-0'].mode = 'unframed'
        system.servers['llm-0'].break_after = 3
        for _ in range(4):
            reply = await system.prompt('/chat/x')
            assert reply.complete
            assert reply.events == 6
