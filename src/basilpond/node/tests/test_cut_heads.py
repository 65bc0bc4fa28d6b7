"""Endpoints that stop within the head of a response, or right after it."""

import pytest

from basilpond.node.tests.cutting_endpoints import cutting_world
from basilpond.node.tests.platform_world import PROMPT
from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import route

SIGNED = b'X-Request-Id: %s\r\nX-Response-Stamp: s\r\n'
OK = b'HTTP/1.1 200 OK\r\n' + SIGNED
EVENTS = OK + b'Content-Type: text/event-stream\r\n'
WHOLE = OK + b'Content-Length: 2\r\n\r\nok'
BEGUN = EVENTS + (
    b'Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: e1\n\n\r\n'
)
GENERATED = BEGUN + b'0\r\n\r\n'
# Bodies of successes without an event, by what ends them.
EMPTY_BODIES = {
    'no length': b'\r\n',
    'blank lines and no length': b'\r\n\n\n',
    'length 0': b'Content-Length: 0\r\n\r\n',
    'no chunk': b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
}
ENDS = ('close', 'reset')
REFUSED = b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: %s\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
CUT_HEADS = {
    'nothing': b'',
    'status line': b'HTTP/1.1 20',
    'fields': OK,
    'digits of the length': OK + b'Content-Length: 1',
    'last line feed': OK + b'Content-Length: 0\r\n\r',
    'refusal': REFUSED,
    'lone line feeds': WHOLE.replace(b'\r\n', b'\n'),
    'folded field': OK + b'A: b\r\n c\r\n\r\nok',
    'folded refusal': REFUSED + b'A: b\r\n c\r\n\r\n',
    'interim response': INTERIM,
    'head after an interim response': INTERIM + OK + b'Content-Le',
    'refusal after an interim response': INTERIM + REFUSED,
    'switch of protocols': b'HTTP/1.1 101 Switching\r\n\r\n' + WHOLE,
}


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', EMPTY_BODIES)
@pytest.mark.parametrize('path', ['/chat/x', '/digest/x'])
async def test_generation_without_an_event_is_not_complete(path, name, end):
    """Guards against a generation of nothing that looks complete (ORDER)."""
    plan = [(EVENTS + EMPTY_BODIES[name], end)]
    async with cutting_world('llm', plan) as (system, (endpoint,)):
        reply = await system.prompt(path)
    if reply.status == 200:
        # The blank lines were forwarded.
        assert name == 'blank lines and no length'
        assert not reply.complete
    else:
        assert (reply.status, reply.body) == (502, b'')
    assert endpoint.requests == 1 or path == '/chat/x'


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', EMPTY_BODIES)
async def test_generation_without_an_event_is_sent_again(name, end):
    """Guards against a stream that one faulty endpoint of two prevents."""
    plan = [(EVENTS + EMPTY_BODIES[name], end), (GENERATED, None)]
    async with cutting_world('llm', plan, plan) as (system, endpoints):
        reply = await system.prompt('/chat/x')
        assert [endpoint.requests for endpoint in endpoints] == [1, 1]
    assert (reply.status, reply.complete, reply.events) == (200, True, 1)


async def test_resumed_stream_with_nothing_left_is_complete():
    """Guards against a stream that its caller takes up without end."""
    plan = [(EVENTS + EMPTY_BODIES['no chunk'], None)]
    async with cutting_world('llm', plan) as (system, _):
        headers = (*PROMPT, ('Last-Event-Id', '6'))
        reply = await system.prompt('/chat/x', headers=headers)
    assert (reply.status, reply.complete, reply.events) == (200, True, 0)


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', EMPTY_BODIES)
async def test_continuation_without_an_event_needs_a_length_or_chunks(
    name, end
):
    """Guards against a stream that a cut response ends early (ORDER)."""
    plan = [(BEGUN, 'reset'), (EVENTS + EMPTY_BODIES[name], end)]
    async with cutting_world('llm', plan, plan) as (system, endpoints):
        reply = await system.prompt('/chat/x')
        assert [endpoint.requests for endpoint in endpoints] == [1, 1]
    assert (reply.status, reply.events) == (200, 1)
    # The endpoint before may have broken off after its last event.
    assert reply.complete is ('no length' not in name)


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', EMPTY_BODIES)
async def test_resumed_stream_without_an_event_needs_a_length_or_chunks(
    name, end
):
    """Guards against the early end of a stream that a caller resumes."""
    plan = [(EVENTS + EMPTY_BODIES[name], end)]
    async with cutting_world('llm', plan) as (system, _):
        headers = (*PROMPT, ('Last-Event-Id', '6'))
        reply = await system.prompt('/chat/x', headers=headers)
    if 'no length' not in name:
        assert (reply.status, reply.complete) == (200, True)
    else:
        assert reply.status == 502 or not reply.complete


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', EMPTY_BODIES)
async def test_stream_without_an_event_needs_a_length_or_chunks(name, end):
    """Guards against other streams than generations that end early."""
    routes = [route('feed', 'streaming', 'app')]
    plan = [(EVENTS + EMPTY_BODIES[name], end)]
    config = configuration(routes=routes)
    async with cutting_world('app', plan, config=config) as (system, _):
        reply = await system.call('/feed/x')
    if 'no length' not in name:
        assert (reply.status, reply.complete) == (200, True)
    else:
        assert reply.status == 502 or not reply.complete


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', CUT_HEADS)
@pytest.mark.parametrize('kept', [False, True])
async def test_unsafe_request_gets_502_after_a_cut_head(kept, name, end):
    """Guards against 'not run' (REFUSED), or a success, after a cut head."""
    plan = [(WHOLE, None)] * kept + [(CUT_HEADS[name], end)]
    async with cutting_world('app', plan) as (system, (endpoint,)):
        if kept:
            reply = await system.call('/claim/1', method='POST', body=b'x')
            assert (reply.status, reply.body) == (200, b'ok')
        reply = await system.call('/claim/2', method='POST', body=b'x')
        assert (reply.status, reply.body) == (502, b'')
        assert endpoint.requests == 1 + kept


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', CUT_HEADS)
async def test_safe_request_is_sent_again_after_a_cut_head(name, end):
    """Guards against a response that mixes two endpoints' bytes (MIXED)."""
    plan = [(CUT_HEADS[name], end), (WHOLE, None)]
    async with cutting_world('app', plan, plan) as (system, endpoints):
        reply = await system.call('/look/1')
        assert [endpoint.requests for endpoint in endpoints] == [1, 1]
    assert (reply.status, reply.body) == (200, b'ok')


@pytest.mark.parametrize('end', ENDS)
async def test_body_without_length_is_whole_only_after_a_close(end):
    """Guards against an empty body that looks whole because of a reset."""
    async with cutting_world('app', [(OK + b'\r\n', end)]) as (system, _):
        reply = await system.call('/claim/1', method='POST', body=b'x')
    assert (reply.status, reply.body) == (200 if end == 'close' else 502, b'')


@pytest.mark.parametrize('end', ENDS)
async def test_refusal_without_length_is_taken_only_after_a_close(end):
    """Guards against 'not run' (REFUSED) that a reset interrupted."""
    plan = [(REFUSED + b'\r\n', end)]
    async with cutting_world('app', plan) as (system, _):
        reply = await system.call('/claim/1', method='POST', body=b'x')
    assert reply.status == (503 if end == 'close' else 502)


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', CUT_HEADS)
@pytest.mark.parametrize('path', ['/chat/x', '/digest/x'])
async def test_stream_without_a_whole_head_gets_502(path, name, end):
    """Guards against a stream that ends as complete after a cut head."""
    plan = [(CUT_HEADS[name], end)]
    async with cutting_world('llm', plan) as (system, _):
        reply = await system.prompt(path)
    assert (reply.status, reply.body) == (502, b'')


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('name', CUT_HEADS)
async def test_stream_is_not_ended_by_a_cut_head(name, end):
    """Guards against a stream that ends early at its next endpoint (ORDER)."""
    plan = [(BEGUN, 'reset'), (CUT_HEADS[name], end)]
    async with cutting_world('llm', plan, plan) as (system, endpoints):
        reply = await system.prompt('/chat/x')
        assert [endpoint.requests for endpoint in endpoints] == [1, 1]
    assert (reply.status, reply.events) == (200, 1)
    assert not reply.complete


@pytest.mark.parametrize('status', [b'400', b'421', b'429', b'503'])
@pytest.mark.parametrize('path', ['/look/1', '/chat/x'])
async def test_refusal_after_a_cut_head_is_not_passed_on(path, status):
    """Guards against 'not run' for a request whose first send may have run."""
    refused = REFUSED.replace(b'503', status) + b'Content-Length: 0\r\n\r\n'
    plan = [(OK, 'close'), (refused, None)]
    service = 'app' if path == '/look/1' else 'llm'
    async with cutting_world(service, plan, plan) as (system, endpoints):
        reply = await system.prompt(path)
        targets = [t for endpoint in endpoints for t in endpoint.targets]
        # The first response was for this request and not for another one.
        assert set(targets) == {path}
        assert len(targets) >= 2
    assert (reply.status, reply.body) == (502, b'')
