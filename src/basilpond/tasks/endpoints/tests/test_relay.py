import contextlib
import json
import time

import aiohttp
import pytest

from basilpond.core import Attempt
from basilpond.core import AttemptKind
from basilpond.core import FullResponseCheck
from basilpond.core import ResultCode
from basilpond.core import StreamCheck
from basilpond.settings import LimitsSection
from basilpond.tasks.endpoints import _relay
from basilpond.tasks.requests import _responses
from basilpond_testkit import _program
from basilpond_testkit import engine

LIMITS = LimitsSection(
    first_byte_timeout_ms=400, frame_timeout_ms=50, total_timeout_ms=5_000
)


@contextlib.asynccontextmanager
async def running_engine():
    stand_in = engine.Engine(
        engine.EngineSettings(first_token_ms=5, token_interval_ms=1.0)
    )
    server = _program.Server(stand_in.app(), _program.HttpSettings())
    stand_in.server = server
    await server.start()
    client = _relay.EndpointClient(LIMITS)
    await client.open()
    yield server.url, client
    await client.close()
    await server.stop()


async def set_fault(url, **fields):
    async with (
        aiohttp.ClientSession() as session,
        session.post(f'{url}/control/faults', json=fields) as response,
    ):
        assert response.status < 300


def upstream(url, *, stream, attempt_id='attempt-1', max_tokens=20):
    body = {
        'model': 'model-a',
        'messages': [{'role': 'user', 'content': 'hello [12 tokens]'}],
        'max_tokens': max_tokens,
        'stream': stream,
    }
    if stream:
        body['stream_options'] = {'include_usage': True}
    return _relay.UpstreamRequest(
        url=f'{url}/v1/chat/completions',
        method='POST',
        body=json.dumps(body).encode(),
        headers={'X-Request-Id': attempt_id},
    )


async def run_stream(client, call, *, max_tokens=20):
    sink = _responses.BufferedResponse('digest')
    check = StreamCheck(
        attempt_id='attempt-1',
        model='model-a',
        max_output_tokens=max_tokens,
        prompt_bound_tokens=1_000,
    )

    async def start():
        await sink.start(_responses.ResponseHead(200, {}))

    exchange = _relay.StreamExchange(
        LIMITS, check, sink, start, 'model-a', time.time
    )
    result = Attempt(AttemptKind.FAILED, 'engine-1')
    await client.run(call, exchange, result)
    return result, sink


@pytest.mark.parametrize(
    ('fault', 'kind', 'code'),
    [
        (None, AttemptKind.COMPLETE, None),
        ('refuse', AttemptKind.NOT_STARTED, ResultCode.ENDPOINT_REFUSED),
        ('other_frame_form', AttemptKind.FAILED, ResultCode.ANSWER_INVALID),
        ('no_usage', AttemptKind.COMPLETE, None),
        ('truncate_clean', AttemptKind.FAILED, ResultCode.ANSWER_TRUNCATED),
        ('other_id', AttemptKind.FAILED, ResultCode.ANSWER_INVALID),
        ('duplicate_frames', AttemptKind.FAILED, ResultCode.ANSWER_INVALID),
        (
            'silent_after_frames',
            AttemptKind.FAILED,
            ResultCode.ENDPOINT_TIMEOUT,
        ),
        ('crash_on_text', AttemptKind.FAILED, ResultCode.ENDPOINT_FAILED),
    ],
)
async def test_endpoint_faults_are_classified(fault, kind, code):
    """Guards against a damaged stream that counts as a complete response."""
    async with running_engine() as (url, client):
        if fault:
            await set_fault(url, mode=fault, text='hello')
        result, sink = await run_stream(client, upstream(url, stream=True))
    assert (result.kind, result.code) == (kind, code)
    assert b'[DONE]' not in sink.body()
    if fault == 'no_usage':
        assert result.prompt_tokens is None
        assert result.content_frames == 12


async def test_stream_is_cut_at_the_output_limit():
    """Guards against overspending.

    The endpoint ignores the output limit of the request.
    """
    async with running_engine() as (url, client):
        await set_fault(url, mode='ignore_max_tokens')
        call = upstream(url, stream=True, max_tokens=5)
        result, sink = await run_stream(client, call, max_tokens=5)
    assert result.kind is AttemptKind.COMPLETE
    assert result.cut
    assert result.content_frames == 5
    assert b'"length"' in result.terminal


async def test_refused_connection_did_not_start():
    """Guards against outcome "unknown" for a request that was never sent."""
    async with running_engine() as (_, client):
        result, _ = await run_stream(
            client, upstream('http://127.0.0.1:1', stream=True)
        )
    assert result.kind is AttemptKind.NOT_STARTED
    assert not result.answered


async def test_silent_connection_times_out():
    """Guards against a request that hangs on a connection that went silent."""
    async with running_engine() as (url, client):
        await run_stream(client, upstream(url, stream=True))
        await set_fault(url, mode='silent')
        result, _ = await run_stream(client, upstream(url, stream=True))
        assert result.code is ResultCode.ENDPOINT_TIMEOUT
        assert result.kind is AttemptKind.FAILED
        second_result, _ = await run_stream(client, upstream(url, stream=True))
    assert second_result.kind is AttemptKind.COMPLETE


async def test_full_response_is_checked():
    """Guards against a full response that belongs to another request."""
    async with running_engine() as (url, client):
        for attempt_id, kind in (
            ('attempt-1', AttemptKind.COMPLETE),
            ('attempt-2', AttemptKind.FAILED),
        ):
            check = FullResponseCheck(
                attempt_id='attempt-1',
                model='model-a',
                max_output_tokens=20,
                prompt_bound_tokens=1_000,
            )
            result = Attempt(AttemptKind.FAILED, 'engine-1')
            call = upstream(url, stream=False, attempt_id=attempt_id)
            exchange = _relay.FullResponseExchange(LIMITS, check)
            await client.run(call, exchange, result)
            assert result.kind is kind
