import asyncio

import aiohttp

from basilpond_testkit import _bench_client
from basilpond_testkit import _program
from basilpond_testkit import bench
from basilpond_testkit import bench_passthrough
from basilpond_testkit import engine
from basilpond_testkit.tests.test_engine import read_stream
from basilpond_testkit.tests.test_engine import running_engine
from basilpond_testkit.tests.test_engine import stream_body


async def start_passthrough(url):
    settings = bench_passthrough.PassthroughSettings([url])
    app = bench_passthrough.Passthrough(settings).app()
    server = _program.Server(app, _program.HttpSettings())
    await server.start()
    return server


def load(server_url, **fields):
    host, _, port = server_url.rpartition('/')[2].partition(':')
    return _bench_client.Load(
        **{
            'addresses': [(host, int(port))],
            'authorization': 'Bearer none',
            'model': 'model-a',
            'requests_per_s': 50,
            'max_streams': 100,
            'tokens': 30,
            'warm_up_s': 0.0,
            'measure_s': 1.0,
            'name': 'test',
            **fields,
        }
    )


async def test_passthrough_relays_the_same_stream():
    """Guards against a yardstick that does other work than the relay."""
    body = stream_body()
    async with running_engine() as session:
        server = await start_passthrough(str(session._base_url).rstrip('/'))
        headers = {'X-Request-Id': 'a'}
        async with aiohttp.ClientSession(server.url) as through:
            relayed = await read_stream(through, body, **headers)
        assert len(relayed) == len(await read_stream(session, body))
        await server.stop()


async def test_load_client_counts_every_token():
    """Guards against figures with lost or doubled tokens."""
    async with running_engine(batch_size=100) as session:
        url = str(session._base_url).rstrip('/')
        result = await _bench_client._run(load(url))
        await asyncio.sleep(0.1)
        async with session.get('/control/runs') as answer:
            runs = (await answer.json())['runs']
    sent = sum(run['tokens_sent'] for run in runs)
    assert result.errors == 0
    assert 45 <= result.started <= 51
    # Streams that are open at the end count in part.
    assert 0.8 * sent <= result.tokens <= sent
    assert result.tokens == len(result.gaps_s) + len(result.first_token_s)


async def test_load_client_reports_failures_and_limits_streams():
    """Guards against a benchmark that hides refused requests."""
    async with running_engine() as session:
        url = str(session._base_url).rstrip('/')
        result = await _bench_client._run(load(url, model='other'))
        assert result.errors > 40
        assert result.tokens == 0
        result = await _bench_client._run(
            load(url, max_streams=1, tokens=2000)
        )
        assert result.started == 1


def test_percentile_is_in_milliseconds():
    """Guards against a wrong unit or percentile in the figures."""
    measured = bench.Measurement(_bench_client.Result(), 0, 0, 0, 0, 0)
    assert 94 < measured.p95_ms([n / 1000 for n in range(101)]) < 97


def test_module_exports_answer_helpers():
    """Guards against a checker that cannot reach the expected answer."""
    assert engine.expected_answer(stream_body('[1 tokens]')).startswith(' ')
