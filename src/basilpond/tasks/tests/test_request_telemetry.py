"""Log lines, metrics and traces of requests to a small system."""

import asyncio
import contextlib
import dataclasses
import io
import json
import logging as std_logging
import pathlib
import re
import socket
import subprocess
import sys

from absl import logging
import pytest

from basilpond import telemetry
from basilpond.core import MemberState
from basilpond.tasks._metrics_task import MetricsTask
from basilpond.tasks.tests.small_system import KEYS
from basilpond.tasks.tests.small_system import OPERATOR_KEY
from basilpond.tasks.tests.small_system import chat
from basilpond.tasks.tests.small_system import running_system
from basilpond.tasks.tests.small_system import wait_until

CHAT = '/v1/chat/completions'
TRACEPARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
DOCS = pathlib.Path(__file__).parents[4] / 'docs'


@pytest.fixture
def lines():
    """Return a function that returns the lines of ended requests so far."""
    root = std_logging.getLogger()
    absl_logger = logging.get_absl_logger()
    before = (root.handlers, absl_logger.handlers, absl_logger.propagate)
    verbosity = logging.get_verbosity()
    stream = io.StringIO()
    telemetry.install_json_logs(stream)

    def ended():
        found = map(json.loads, stream.getvalue().splitlines())
        return [x for x in found if x['message'] == 'request ended']

    yield ended
    root.handlers, absl_logger.handlers, absl_logger.propagate = before
    logging.set_verbosity(verbosity)


@contextlib.contextmanager
def statsd_server():
    """Yield the address, and a function that returns all datagrams so far."""
    with socket.socket(type=socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.setblocking(False)
        received = []

        def read():
            with contextlib.suppress(BlockingIOError):
                while True:
                    received.append(server.recv(500).decode())
            return received

        yield f'127.0.0.1:{server.getsockname()[1]}', read


async def test_one_line_for_each_request_and_refusal(lines):
    """Guards against refusals without a line, and duplicate lines."""
    async with running_system() as system:
        key = {'Idempotency-Key': 'k1'}
        expected = []
        for body, headers, code, outcome, organisation in (
            (chat(), {}, None, 'complete', 'acme'),
            (chat(stream=True), {}, None, 'complete', 'acme'),
            (chat(stream=True), key, None, 'complete', 'acme'),
            (chat(stream=True), key, None, 'complete', 'acme'),
            (chat(), key, 3001, 'not-run', 'acme'),
            (chat(model='x'), {}, 1005, 'not-run', 'acme'),
            (chat(), {'Authorization': 'Bearer x'}, 1002, 'not-run', ''),
            (
                chat(
                    max_tokens=4000,
                    messages=[{'role': 'user', 'content': 'x' * 200_000}],
                ),
                {},
                2001,
                'not-run',
                'acme',
            ),
        ):
            _, response_headers, _ = await system.call(
                'POST', CHAT, json=body, headers=headers
            )
            expected.append(
                (response_headers['X-Request-Id'], organisation, code, outcome)
            )
        await system.set_fault(system.engine_server, mode='truncate_clean')
        _, response_headers, body = await system.call(
            'POST',
            CHAT,
            json=chat(stream=True),
            headers={'Idempotency-Key': 'k2'},
        )
        assert b'basilpond-outcome failed' in body
        expected.append(
            (response_headers['X-Request-Id'], 'acme', 4006, 'failed')
        )
    fields = ('request_id', 'organisation', 'code', 'outcome')
    assert [tuple(x[f] for f in fields) for x in lines()] == expected
    assert all(x['duration_ms'] >= 0 for x in lines())


async def test_metrics_of_requests():
    """Guards against undocumented metrics, and metrics that are not sent."""
    with statsd_server() as (address, read):
        async with running_system(
            2, telemetry={'statsd_address': address}
        ) as system:
            await system.call('POST', CHAT, json=chat(stream=True))
            await system.call('POST', CHAT, json=chat(model='x'))
            spent = system.spent_tokens()
            peer_port = system.routers[0].settings.router.peer_port
            await system.raw(b'\xff' * 8, port=peer_port)
            with socket.socket(type=socket.SOCK_DGRAM) as sender:
                sender.sendto(b'\xff', ('127.0.0.1', peer_port))
            gossip = system.routers[0].gossip
            await wait_until(lambda: gossip.malformed_datagrams)
            MetricsTask(system.routers[0], system.routers[0].metrics).send()
        text = '\n'.join(read())
    names = set(re.findall(r'^basilpond\.([a-z_.]+):', text, re.M))
    assert names <= set(telemetry.METRICS)
    assert 'basilpond.requests.accepted:1|c' in text
    assert text.count('basilpond.requests.complete:1|c') == 1
    assert text.count('basilpond.requests.not_run:1|c') == 1
    assert f'basilpond.tokens.billed:{spent}|c' in text
    assert 'basilpond.members.alive:1|g' in text
    assert 'basilpond.peers.malformed:2|c' in text
    assert text.count('basilpond.requests.first_token_ms:') == 1
    assert {'log.append_ms', 'manifest.version', 'log.offset'} <= names


@pytest.mark.parametrize('keyed', [False, True])
async def test_nothing_is_measured_per_frame(lines, keyed):
    """Guards against metrics or log lines for each streamed frame."""
    with statsd_server() as (address, read):
        async with running_system(
            telemetry={'statsd_address': address}
        ) as system:
            counts = []
            for words in (3, 150):
                before = len(read()), len(lines())
                headers = {'Idempotency-Key': f'k{words}'} if keyed else {}
                _, _, body = await system.call(
                    'POST',
                    CHAT,
                    headers=headers,
                    json=chat(
                        stream=True,
                        max_tokens=words,
                        messages=[
                            {
                                'role': 'user',
                                'content': f'hello [{words} tokens]',
                            }
                        ],
                    ),
                )
                assert body.count(b'data: ') > words
                sent = [
                    x.partition(':')[0]
                    for x in read()[before[0] :]
                    if '.requests.' in x and '|g' not in x
                ]
                counts.append((sorted(sent), len(lines()) - before[1]))
    assert counts[0] == counts[1]
    assert counts[0][1] == 1


def test_docs_list_every_metric():
    text = (DOCS / 'metrics.md').read_text(encoding='utf-8')
    rows = re.findall(r'^\| `(\S+)` \| (\w+) \| (.+) \|$', text, re.M)
    assert {n: (k, t) for n, k, t in rows} == telemetry.METRICS
    assert len(rows) == len(telemetry.METRICS)


def test_every_metric_is_sent_somewhere():
    """Guards against a metric in the table that no code sends."""
    package = pathlib.Path(telemetry.__file__).parents[1] / 'tasks'
    text = ''.join(
        path.read_text()
        for path in package.rglob('*.py')
        if 'tests' not in path.parts
    )
    outcomes = {'complete', 'not_run', 'failed', 'unknown'}
    for name in telemetry.METRICS:
        assert f"'{name}'" in text or name.partition('.')[2] in outcomes, name


async def test_trace_context_passes_unchanged_when_traces_are_off():
    """Guards against a changed parent, and the cost of loading the SDK."""
    headers = {'traceparent': TRACEPARENT, 'tracestate': 'a=1,b=2'}
    async with running_system() as system:
        await system.call('POST', CHAT, json=chat(), headers=headers)
        await system.call('POST', CHAT, json=chat())
        await system.call(
            'POST', CHAT, json=chat(), headers={'traceparent': '00-zz-1'}
        )
        assert system.engine_traces == [headers, {}, {}]
    assert 'opentelemetry.sdk' not in sys.modules


# A process has only one tracer provider, so this runs in a subprocess.
TRACED = f"""
import asyncio, io, json, time
from basilpond import telemetry
from basilpond.tasks.tests.small_system import *

logs, traces = io.StringIO(), io.StringIO()
telemetry.install_json_logs(logs, 1)
stop = telemetry.start_traces('r1', traces)
headers = {{'traceparent': '{TRACEPARENT}'}}
output = []

async def main():
    async with running_system(2) as system:
        chat_path = '{CHAT}'
        call, raw = system.call, system.raw
        output.append(await call(
            'POST', chat_path, json=chat(), headers=headers))
        output.append(await call(
            'POST', '/v1/services/desk/spots/p1/claim', json={{'tag': 't'}},
            headers={{'Idempotency-Key': uuid7(int(time.time() * 1000)),
                     'traceparent': '{TRACEPARENT[:-1]}0'}}))
        key = KEYS['acme']
        output.append(await call('POST', chat_path, data=b'x' + key.encode()))
        for head in (
            f'GET /v1/models HTTP/1.1\\r\\nAuthorization: bearer {{key}}x',
            f'GET /v1/models HTTP/1.1\\r\\nAuthorization: Basic {{key}}',
            f'GET /{{key}} HTTP/1.1\\r\\nAuthorization {{key}}',
            f'{{key}} / HTTP/1.1\\r\\nHost: x',
            f'GET /v1/models HTTP/1.1\\r\\nAuthorization: Bearer {{key}}\\x01',
            f'GET /v1/models HTTP/1.1\\r\\nX: {{key * 2000}}',
        ):
            data = f'{{head}}\\r\\nConnection: close\\r\\n\\r\\n'.encode()
            output.append(await raw(data))
            port = system.routers[0].settings.router
            output.append(await raw(data.replace(
                key.encode(), OPERATOR_KEY.encode()), port=port.operator_port))
            output.append(await raw(data, port=port.peer_port))
        request_id = output[0][1]['X-Request-Id']
        for path in ('/', '/state', f'/explain/{{request_id}}'):
            output.append(await system.operator('GET', path))
            output.append(await system.operator('GET', path, key='wrong'))
        output.append(system.engine_traces)

asyncio.run(main())
stop()
print(json.dumps([
    [json.loads(line) for line in traces.getvalue().splitlines()],
    logs.getvalue(), output], default=repr))
"""


@pytest.fixture(scope='module')
def traced():
    done = subprocess.run(
        [sys.executable, '-c', TRACED],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
        env={'PYTHONPATH': ':'.join(sys.path)},
    )
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout), done.stdout + done.stderr


def test_span_for_each_hop(traced):
    """Guards against spans outside the caller's trace."""
    (spans, _, output), _ = traced
    ours = [
        span
        for span in spans
        if span['context']['trace_id'] == '0x' + TRACEPARENT.split('-')[1]
    ]
    by_name = {span['name']: span for span in ours}
    assert set(by_name) == {'accept', 'hold', 'attempt', 'bill'}
    accept = by_name['accept']
    assert accept['parent_id'] == '0x' + TRACEPARENT.split('-')[2]
    assert accept['attributes'] == {'basilpond.outcome': 'complete'}
    for name in ('hold', 'attempt', 'bill'):
        assert by_name[name]['parent_id'] == accept['context']['span_id']
    assert by_name['attempt']['attributes']['endpoint'] == 'engine-1'
    # The endpoint's parent is the span of the attempt.
    span_id = by_name['attempt']['context']['span_id'].removeprefix('0x')
    trace_id = TRACEPARENT.split('-')[1]
    assert output[-1][0]['traceparent'] == f'00-{trace_id}-{span_id}-01'


def test_keys_appear_in_no_output(traced):
    """Guards against keys in logs, traces, errors and the state page."""
    (spans, logs, _), text = traced
    assert len(spans) > 4 and 'request ended' in logs
    for key in (*KEYS.values(), OPERATOR_KEY):
        assert key not in text


class Counter(telemetry.NullMetrics):
    """Metrics sink that adds up the counters."""

    def __init__(self):
        self.counts = {}

    def count(self, name, value=1):
        super().count(name, value)
        self.counts[name] = self.counts.get(name, 0) + value


async def test_a_lost_router_counts_once():
    """Guards against counting a dead member again at each member change."""
    async with running_system(2) as system:
        router, other = system.routers
        counter = Counter()
        task = asyncio.ensure_future(MetricsTask(router, counter).run())
        await asyncio.sleep(0)
        (member,) = router.gossip.live()
        dead = dataclasses.replace(member, state=MemberState.DEAD)
        for members in ((member,), (dead,), (dead,)):
            router.gossip.members.on_next(members)
        task.cancel()
        assert counter.counts == {'members.lost': 1}
