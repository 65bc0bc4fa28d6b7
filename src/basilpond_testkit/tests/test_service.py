import asyncio
import contextlib

import aiohttp
import pytest

from basilpond_testkit import _program
from basilpond_testkit import service


@contextlib.asynccontextmanager
async def running_service():
    stand_in = service.Service(service.ServiceSettings())
    server = _program.Server(stand_in.app(), _program.HttpSettings())
    stand_in.server = server
    await server.start()
    async with aiohttp.ClientSession(server.url) as session:
        yield session
    await server.stop()


async def call(session, path, body=None, key=''):
    async with session.request(
        'GET' if body is None else 'POST',
        path,
        json=body,
        headers={'Idempotency-Key': key},
    ) as answer:
        return answer.status, await answer.json()


async def runs(session):
    return (await call(session, '/control/runs'))[1]['runs']


async def test_spots_and_bookings():
    """Guards against calls without the effect that they report."""
    async with running_service() as session:
        claim = {'tag': 'pram-1'}
        await call(session, '/spots/7/claim', claim)
        status, _ = await call(session, '/spots/7/claim', {'tag': 'pram-2'})
        assert status == 409
        _, spot = await call(session, '/spots/7')
        assert spot == {'spot': '7', 'state': 'claimed', 'tag': 'pram-1'}
        await call(session, '/spots/7/release', claim)
        _, spot = await call(session, '/spots/7')
        assert spot['state'] == 'free'
        _, order = await call(session, '/bookings', {'festival': 'Etna'})
        _, found = await call(session, f'/orders/{order["order"]}')
        assert found['state'] == 'booked'


async def test_repeated_calls_are_recorded_each_time():
    """Guards against a stand-in that hides a router's duplicates."""
    async with running_service() as session:
        for _ in range(2):
            await call(session, '/bookings', {'festival': 'Etna'}, 'k1')
        first, second = await runs(session)
    assert first['idempotency_key'] == second['idempotency_key'] == 'k1'
    assert first['body_digest'] == second['body_digest']
    assert first['target'] != second['target']


async def test_crash_after_effect():
    """Guards against a crash that loses the record of the effect."""
    async with running_service() as session:
        await call(
            session,
            '/control/faults',
            {'mode': 'crash_after_effect', 'down_ms': 200},
        )
        with pytest.raises(aiohttp.ClientError):
            await call(session, '/bookings', {'festival': 'Etna'}, 'k1')
        with pytest.raises(aiohttp.ClientConnectorError):
            await call(session, '/spots/7')
        await asyncio.sleep(0.3)
        assert len(await runs(session)) == 1


async def test_silence_and_refusal():
    """Guards against faults that answer, or refuse after the effect."""
    async with running_service() as session:
        await call(session, '/control/faults', {'mode': 'silent_after_effect'})
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await call(session, '/bookings', {'festival': 'Etna'})
        await call(session, '/control/faults', {'mode': 'up'})
        await call(session, '/control/faults', {'mode': 'refuse'})
        status, _ = await call(session, '/bookings', {'festival': 'Etna'})
        assert status == 503
        assert len(await runs(session)) == 1
