import asyncio
import contextlib

import aiohttp
import pytest

from basilpond_testkit import _program
from basilpond_testkit import log

RECORDS = '/v1/streams/ledger/records'


@contextlib.asynccontextmanager
async def running_log(**settings):
    server = _program.Server(
        log.Log(log.LogSettings(**settings)).app(), _program.HttpSettings()
    )
    await server.start()
    async with aiohttp.ClientSession(server.url) as session:
        yield session
    await server.stop()


async def append(session, payload='{}', **headers):
    async with session.post(RECORDS, data=payload, headers=headers) as answer:
        return answer.status, await answer.json()


async def read(session, offset=0, wait_ms=0, **headers):
    query = {'offset': offset, 'wait_ms': wait_ms}
    async with session.get(RECORDS, params=query, headers=headers) as answer:
        return answer.status, await answer.json()


async def fault(session, **order):
    async with session.post('/control/faults', json=order) as answer:
        assert answer.status == 200, await answer.text()


async def test_appends_are_read_in_order():
    """Guards against lost or reordered records and wrong offsets."""
    async with running_log() as session:
        for number in range(3):
            assert await append(session, f'{{"n":{number}}}') == (
                201,
                {'offset': number},
            )
        _, page = await read(session, 1)
    assert [r['payload'] for r in page['records']] == ['{"n":1}', '{"n":2}']
    assert [r['offset'] for r in page['records']] == [1, 2]
    assert (page['earliest_offset'], page['next_offset']) == (0, 3)


async def test_long_poll_wakes_on_append_and_ends_after_wait():
    """Guards against readers that miss an append or wait forever."""
    async with running_log() as session:
        waiting = asyncio.create_task(read(session, 0, 5000))
        await asyncio.sleep(0.05)
        await append(session)
        _, page = await asyncio.wait_for(waiting, 1)
        assert len(page['records']) == 1
        _, page = await asyncio.wait_for(read(session, 1, 50), 1)
        assert page['records'] == []


async def test_rate_limit_and_retention():
    """Guards against a log that is kinder than the platform's."""
    async with running_log(
        append_burst=5, appends_per_s=1, retention_records=2
    ) as session:
        statuses = [(await append(session))[0] for _ in range(7)]
        _, page = await read(session)
    assert statuses == [201] * 5 + [429] * 2
    assert page['earliest_offset'] == 3
    assert [r['offset'] for r in page['records']] == [3, 4]


async def test_outage_refuses_and_ends():
    """Guards against an outage that still writes or never ends."""
    async with running_log() as session:
        waiting = asyncio.create_task(read(session, 0, 5000))
        await asyncio.sleep(0.05)
        await fault(session, mode='down', for_ms=200)
        assert (await asyncio.wait_for(waiting, 1))[0] == 503
        assert (await append(session))[0] == 503
        await asyncio.sleep(0.25)
        assert await append(session) == (201, {'offset': 0})


async def test_lost_acknowledgement_is_written():
    """Guards against a lost acknowledgement that loses the record too."""
    async with running_log() as session:
        await fault(session, mode='lose_acks')
        with pytest.raises(aiohttp.ClientError):
            await append(session)
        await fault(session, mode='up')
        _, page = await read(session)
        assert page['next_offset'] == 1


async def test_one_way_takes_effect_without_answer():
    """Guards against a one-way partition that answers."""
    async with running_log() as session:
        await fault(session, mode='one_way')
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(append(session), 0.2)
        await fault(session, mode='up')
        _, page = await read(session)
        assert page['next_offset'] == 1


async def test_fault_is_limited_to_clients():
    """Guards against a partition that cuts off other data centres."""
    async with running_log() as session:
        await fault(session, mode='down', clients=['r1'])
        assert (await append(session, **{'X-Client': 'r1~17'}))[0] == 503
        assert (await append(session, **{'X-Client': 'r2~17'}))[0] == 201


@pytest.mark.parametrize(
    ('text', 'wanted'),
    [
        ('[log]\nappend_burst = 0', ['log.append_burst: value 0', '>= 1']),
        ('[http]\nport = 70000', ['http.port: value 70000', '65535']),
        ('[http]\nports = 1', ['http.ports: value 1', 'no such field']),
        ('[http', ['log.toml', 'a readable TOML file']),
    ],
)
def test_wrong_setting_exits_with_code_2(tmp_path, capsys, text, wanted):
    """Guards against a start with wrong settings, or without their range."""
    path = tmp_path / 'log.toml'
    path.write_text(text)
    with pytest.raises(SystemExit) as exit_info:
        log.run(settings=path)
    assert exit_info.value.code == 2
    line = capsys.readouterr().err
    assert line.count('\n') == 1
    assert all(part in line for part in wanted)
