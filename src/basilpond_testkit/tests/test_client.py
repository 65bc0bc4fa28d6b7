import contextlib
import json
import time
import tomllib
import uuid

import aiohttp
from aiohttp import web
import msgspec
import pytest

from basilpond.core._manifest import Manifest
from basilpond_testkit import _client
from basilpond_testkit import _fleet
from basilpond_testkit import _program
from basilpond_testkit import workload

CHAT = workload.Request(
    'w1', 0, 'org', 'chat', text='hi', stream=True, max_tokens=9, key='k'
)
BOOKING = workload.Request('w2', 0, 'org', 'booking', text='Etna', key='k')
FRAME = 'data: {"choices":[{"delta":{"content":" ban"}}]}\n\n'
END = ': basilpond-outcome complete\n\ndata: [DONE]\n\n'


def stream(*parts):
    async def answer(request):
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Basilpond-Outcome': 'unknown',
                'X-Request-Id': 'q1',
            }
        )
        await response.prepare(request)
        for part in parts:
            await response.write(part.encode())
        return response

    return answer


async def broken(request):
    await stream(FRAME)(request)
    request.transport.abort()


def refusal(code, **headers):
    async def answer(request):
        return web.json_response(
            {'error': {'code': code}},
            status=503,
            headers={'Basilpond-Outcome': 'not-run', **headers},
        )

    return answer


@contextlib.asynccontextmanager
async def played(*answers, request=CHAT):
    """Play one request against a router with prepared answers."""
    answers = list(answers)
    keys = []

    async def handle(received):
        keys.append(received.headers.get('Idempotency-Key'))
        assert received.headers['Authorization'] == 'Bearer bp-1'
        return await answers.pop(0)(received)

    async def ready(received):
        return web.Response()

    app = web.Application()
    app.router.add_get('/readyz', ready)
    app.router.add_post('/v1/{path:.*}', handle)
    server = _program.Server(app, _program.HttpSettings())
    await server.start()
    async with aiohttp.ClientSession() as session:
        balancer = _client.Balancer(session)
        balancer.routers = [_client.Router('r1', server.url, server.url)]
        await balancer.check()
        player = _client.Player(session, balancer, {'org': 'bp-1'})
        await player.play([request])
        (observation,) = player.observations
        yield observation, keys
    await server.stop()


async def test_whole_stream_is_observed():
    """Guards against a client that misses outcome, text or end."""
    async with played(stream(FRAME, FRAME, END)) as (observation, keys):
        (attempt,) = observation.attempts
        assert attempt.complete
        assert attempt.outcome == 'complete'
        assert attempt.text == ' ban ban'
        assert attempt.request_id == 'q1'
        assert keys == [observation.key]


async def test_broken_stream_is_sent_again_with_its_key():
    """Guards against retries that a router cannot recognise."""
    answers = (broken, stream(FRAME, END))
    async with played(*answers) as (observation, keys):
        first, second = observation.attempts
        assert not first.done
        assert first.text == ' ban'
        assert second.complete
        assert keys == [observation.key] * 2


async def test_stream_that_ends_as_failed_is_not_complete():
    """Guards against audits that take a failed stream for whole."""
    failed = stream(FRAME, END.replace('complete', 'failed'))
    unkeyed = msgspec.structs.replace(CHAT, key='')
    async with played(failed, request=unkeyed) as (observation, _):
        (attempt,) = observation.attempts
        assert not attempt.complete
        assert attempt.outcome == 'failed'


async def test_refusals_are_retried_unless_final():
    """Guards against clients that give up or hammer a spent budget."""
    log_down = refusal(3005, **{'Retry-After': '1'})
    start_s = time.monotonic()
    async with played(log_down, refusal(2001), request=BOOKING) as (
        observation,
        _,
    ):
        codes = [attempt.code for attempt in observation.attempts]
        assert codes == [3005, 2001]
        assert time.monotonic() - start_s > 1


async def test_caller_hangs_up_after_tokens():
    """Guards against abandonments that read the whole answer."""
    hasty = msgspec.structs.replace(CHAT, abandon_after_tokens=2)
    async with played(stream(FRAME, FRAME, FRAME, END), request=hasty) as (
        observation,
        _,
    ):
        (attempt,) = observation.attempts
        assert attempt.abandoned
        assert attempt.text == ' ban ban'


def test_uuid7_has_version_variant_and_time():
    """Guards against keys that routers refuse as too old."""
    value = uuid.UUID(_client.uuid7(1_700_000_000_123))
    assert value.version == 7
    assert value.variant == uuid.RFC_4122
    assert value.int >> 80 == 1_700_000_000_123


async def test_fleet_manifest_and_settings(tmp_path):
    """Guards against a demo manifest that the product's types refuse."""
    async with aiohttp.ClientSession() as session:
        fleet = _fleet.Fleet(tmp_path, session)
        text = json.dumps(fleet.manifest())
    manifest = msgspec.json.decode(text, type=Manifest)
    assert len(manifest.organisations) == 10
    tables = {'a': {'seeds': ['x:1'], 'n': 3}}
    assert tomllib.loads(_fleet.toml(tables)) == tables


async def test_program_that_ends_early_is_reported(tmp_path):
    """Guards against a demo that waits for a program that has ended."""
    async with aiohttp.ClientSession() as session:
        fleet = _fleet.Fleet(tmp_path, session)
        fleet._spawn_stand_in('log', 'log', {'log': {'appends_per_s': 0}})
        with pytest.raises(_fleet.StartError, match='appends_per_s: value 0'):
            await fleet._wait_for([fleet.log_url])
        await fleet.stop()
