"""Previews of requests at the metrics port, over sockets."""

import asyncio
import collections
import json
import sys
import urllib.error
import urllib.parse
import urllib.request

import pytest

from basilpond.http1 import CallerRequest
from basilpond.node.tests.platform_world import PROMPT
from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import world
from basilpond.routing.capacity import _cold_endpoints

LOOK = {'target': '/look/1', 'host': 'h.example'}
CHAT = {
    'target': '/chat/x',
    'host': 'h.example',
    'prompt_tokens': 300,
    'output_tokens': 60,
    'parts': '1a:100,2b:150,3c:50',
}


def url(system):
    port = system.nodes[0]._settings.metrics_port
    return f'http://127.0.0.1:{port}/preview'


async def ask(system, query, key='key', method='GET'):
    """Return status and answer of a preview."""
    if not isinstance(query, str):
        query = urllib.parse.urlencode(query)
    fields = {} if key is None else {'Authorization': f'Bearer {key}'}
    request = urllib.request.Request(
        f'{url(system)}?{query}', headers=fields, method=method
    )

    def fetch():
        try:
            with urllib.request.urlopen(request, timeout=5.0) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as error:
            return error.code, error.read()

    status, body = await asyncio.to_thread(fetch)
    return status, json.loads(body)


def exclusions(answer):
    return {
        item['endpoint']: [reason['reason'] for reason in item['excluded']]
        for item in answer['endpoints']
    }


@pytest.mark.parametrize('path', ['look', 'chat'])
async def test_next_request_goes_to_the_endpoint_that_was_named(path):
    """Guards against previews by other rules than those of a request."""
    async with world(apps=3, models=3) as system:
        await system.prompt()
        for _ in range(5):
            before = {n: len(s.requests) for n, s in system.servers.items()}
            status, answer = await ask(
                system, LOOK if path == 'look' else CHAT
            )
            assert status == 200
            # The router may have to obtain tokens first.
            reasons = (None, 'tokens of the organisation')
            assert answer['reason'] in reasons[: 1 + (path == 'chat')]
            assert len(answer['compared']) == 3
            costs = [item['cost_s'] for item in answer['compared']]
            assert costs == sorted(costs)
            if path == 'look':
                reply = await system.call('/look/1')
            else:
                reply = await system.prompt()
            assert reply.status == 200
            chosen = answer['chosen']
            for name, server in system.servers.items():
                sent = len(server.requests) - before[name]
                assert sent == (name == chosen), (name, answer)


async def test_prompt_goes_where_its_parts_are_cached():
    """Guards against previews that ignore caches, speeds or budgets."""
    async with world(models=3) as system:
        await system.prompt(headers=PROMPT)
        (used,) = (n for n, s in system.servers.items() if s.requests)
        _, answer = await ask(system, CHAT)
        cached = {
            i['endpoint']: i['cached_tokens'] for i in answer['endpoints']
        }
        assert cached == {
            f'llm-{i}': 250 * (f'llm-{i}' == used) for i in range(3)
        }
        assert answer['budget']['tokens'] == 360
        assert answer['budget']['budget'] == 100_000
        assert answer['budget']['fits'] and answer['organisation'] == 'org'
        assert answer['services'] == [{'service': 'llm', 'weight': 1.0}]
        _, answer = await ask(system, {**CHAT, 'output_tokens': 10**8})
        assert answer['status'] == 402 and answer['chosen'] is None


async def test_excluded_endpoints_have_true_reasons():
    """Guards against reasons that do not hold, and idle ones left out."""
    async with world(apps=4) as system:
        far = await system.add_server('app-9', 'app')
        system.log.put('keyed.servers', 'app-9', far.entry(zone='far'))
        leaving = system.servers['app-0'].entry(state='draining', seq=2)
        system.log.put('keyed.servers', 'app-0', leaving)
        system.log.put('keyed.op', 'evacuate/far', {})
        node = system.nodes[0]
        directory = node.directory
        await system.until(
            lambda: (
                directory.count_in('far')
                and node._evacuations.is_evacuated('far')
                and directory.find('app-0').endpoint.leaving
            )
        )
        now_s = asyncio.get_running_loop().time()
        number = directory.find('app-1').incarnation_number
        node.dispatcher._quiet.record_refusal(number, 9.0, now_s=now_s)
        number = directory.find('app-2').incarnation_number
        node._limits.record_response(number, 0.2, sent_s=now_s, now_s=now_s)
        # The share of this router has just begun.
        assert node._limits.wait_s(number, now_s)
        _, answer = await ask(system, LOOK)
        assert exclusions(answer) == {
            'app-0': ['leaving'],
            'app-1': ['quiet'],
            'app-2': ['limit'],
            'app-3': [],
            'app-9': ['evacuated'],
        }
        waits = {
            item['endpoint']: item['excluded'][0]['wait_s']
            for item in answer['endpoints']
            if item['excluded']
        }
        assert 8.0 < waits['app-1'] <= 9.0 and 4.0 < waits['app-2'] <= 5.0
        assert answer['chosen'] == 'app-3'
        for i in range(4):
            assert (await system.call(f'/look/{i}')).status == 200
        assert len(system.servers['app-3'].requests) == 4
        directory.find('app-3').load.eject(asyncio.get_running_loop().time())
        _, answer = await ask(system, LOOK)
        assert exclusions(answer)['app-3'] == [
            'ejected after a failed connection'
        ]
        # It is the last resort, as for a request.
        assert answer['chosen'] == 'app-3' and answer['compared'][0]['avoided']
        number = directory.find('app-3').incarnation_number
        now_s = asyncio.get_running_loop().time()
        node.dispatcher._quiet.record_refusal(number, 9.0, now_s=now_s)
        node._limits.record_response(
            directory.find('app-2').incarnation_number,
            None,
            sent_s=now_s,
            now_s=now_s,
        )
        node.dispatcher._quiet.record_refusal(
            directory.find('app-2').incarnation_number, 9.0, now_s=now_s
        )
        _, answer = await ask(system, LOOK)
        assert answer['status'] == 503 and answer['chosen'] is None
        assert answer['reason'] == 'all endpoints ask for quiet'
        assert (await system.call('/look/9')).status == 503


async def test_cold_endpoint_is_named_with_its_wait(monkeypatch):
    """Guards against cold endpoints that are shown as usable."""
    monkeypatch.setattr(_cold_endpoints, '_SETTLING_S', 0.1)
    monkeypatch.setattr(_cold_endpoints, '_FIRST_VIEW_S', 0.2)
    limits = [{'name': 'app', 'cold_start_s': 9.0, 'cold_per_s': 1.0}]
    async with world(configuration(services=limits)) as system:
        cold = system.nodes[0]._cold.state
        number = system.nodes[0].directory.find('app-0').incarnation_number
        await asyncio.sleep(1.2)
        now_s = asyncio.get_running_loop().time()
        cold.record_told(number, 9.0, now_s)
        await system.until(lambda: cold.slots(number, now_s) == 1)
        cold.record_sent(number, asyncio.get_running_loop().time())
        _, answer = await ask(system, LOOK)
        assert exclusions(answer) == {'app-0': ['cold'], 'app-1': []}
        reason = answer['endpoints'][0]['excluded'][0]
        assert 0.0 < reason['wait_s'] <= 1.05
        assert answer['chosen'] == 'app-1'


def contents(value, seen):
    """Return all that an object refers to, in a form to compare."""
    if isinstance(value, int | float | str | bytes | None):
        return value
    if id(value) in seen or callable(value):
        return type(value).__name__
    seen.add(id(value))
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list | tuple | set | collections.deque):
        items = enumerate(value)
    else:
        names = [*getattr(value, '__dict__', ())]
        for base in type(value).__mro__:
            names += getattr(base, '__slots__', ())
        items = [(n, getattr(value, n)) for n in names if hasattr(value, n)]
    return [(contents(k, seen), contents(v, seen)) for k, v in items]


async def test_previews_leave_the_state_unchanged():
    """Guards against previews that count as requests or draw numbers.

    A speed that is read is computed anew, load verdicts record urgency, and
    old time-outs are dropped when the link is asked.
    """
    services = [{'name': 'app', 'cold_start_s': 9.0, 'cold_per_s': 1.0}]
    async with world(configuration(services=services)) as system:
        await asyncio.gather(*(system.prompt() for _ in range(3)))
        node = system.nodes[0]
        dispatcher = node.dispatcher
        speeds = node.directory.speeds
        now_s = asyncio.get_running_loop().time()
        number = node.directory.find('app-0').incarnation_number
        node._limits.record_response(number, 0.5, sent_s=now_s, now_s=now_s)
        dispatcher._quiet.record_refusal(number, 0.1, now_s=now_s)
        number = node.directory.find('app-1').incarnation_number
        node._cold.state.record_told(number, 9.0, now_s)
        await asyncio.sleep(0.3)
        node.load.incoming._timeouts.append((-99.0, 0.4, 'dc', 'app-0'))
        for speed in speeds._speeds.values():
            speed.refreshed_s = float('-inf')

        def state():
            parts = (
                dispatcher._rng.getstate(),
                node.load,
                speeds,
                [entry.load for entry in node.directory],
                node._limits,
                dispatcher._quiet,
                node._cold.state,
                dispatcher._reachability,
                node.budgets.allotments,
                dispatcher._returns._queues,
                dispatcher.admission._services,
                dispatcher._retry_budgets,
            )
            return contents(parts, set())

        queries = [
            CallerRequest(
                b'GET',
                f'/preview?{urllib.parse.urlencode(query)}'.encode(),
                [(b'authorization', b'Bearer key')],
                b'',
                now_s,
                now_s,
            )
            for query in (LOOK, CHAT)
        ]
        before = state()
        # No other task runs in between.
        for i in range(100):
            assert dispatcher.preview.respond(queries[i % 2])[0] == 200
        assert state() == before
        sent = system.runs('app') + system.runs('llm')
        assert (await ask(system, CHAT))[0] == 200
        assert system.runs('app') + system.runs('llm') == sent == 3


async def test_router_that_refuses_requests_says_so():
    """Guards against previews that promise what a request does not get."""
    async with world() as system:
        system.nodes[0].load.record_link(
            10**6, 10**5, asyncio.get_running_loop().time()
        )
        _, answer = await ask(system, LOOK)
        assert not answer['load']['admitted'] and answer['chosen'] is None
        assert answer['reason'] == 'router full, link'
        assert answer['load']['wait_s'] > 5.0
        assert not system.nodes[0].load._is_full


async def test_key_is_shown_nowhere():
    """Guards against keys in answers, errors and logs."""
    lines = []
    async with world() as system:
        decisions = system.nodes[0]._decisions
        event = decisions.event
        decisions.event = lambda *args, **fields: (
            lines.append(repr((args, fields))),
            event(*args, **fields),
        )
        status, answer = await ask(system, LOOK, key='secret-0')
        assert (status, answer['key'], answer['status']) == (
            200,
            'unknown',
            401,
        )
        assert answer['organisation'] is None and answer['chosen'] is None
        _, missing = await ask(system, LOOK, key=None)
        assert missing['key'] == 'missing' and missing['status'] == 401
        status, error = await ask(system, {**LOOK, 'key': 'secret-0'})
        assert status == 400
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'basilpond.programs.fleet',
            'preview',
            urllib.parse.urlsplit(url(system)).netloc,
            *('--target', '/look/1', '--host', 'h.example'),
            *('--key', 'secret-0'),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={'PYTHONPATH': ':'.join(sys.path)},
        )
        output, errors = await process.communicate()
        assert process.returncode == 1, errors
        assert b'unknown key' in output and b'app-1' in output
        texts = [json.dumps([answer, error]), *lines]
        texts += [output.decode(), errors.decode()]
        assert not any('secret' in text for text in texts)


@pytest.mark.parametrize(
    ('query', 'reason'),
    [
        ('', 'target is missing'),
        ('target=/look/1', 'host is missing'),
        ('target=look&host=h.example', 'target does not begin with /'),
        ('target=/a%0d%0ab&host=h.example', 'target has characters'),
        ('target=/look/1&host=%C3%A9', 'host has characters'),
        ('target=/look/1&host=' + 300 * 'h', 'host is too long'),
        ('target=/look/1&host=%FF', 'query is malformed'),
        ('target', 'query is malformed'),
        ('target=/&target=/&host=h', 'a parameter is repeated'),
        ('target=/look/1&host=other', 'no route'),
        ('target=/none/1&host=h.example', 'no route'),
        *(
            (f'target=/look/1&host=h.example&{name}={value}', name)
            for name in ('prompt_tokens', 'output_tokens', 'body_bytes')
            for value in ('-1', '1.5', '', 'x', '%D9%A1', 5000 * '9', 10**10)
        ),
        ('target=/look/1&host=h.example&parts=zz:1', 'parts'),
        ('target=/look/1&host=h.example&parts=1:5', 'parts'),
    ],
)
async def test_bad_query_is_refused(shared_system, query, reason):
    """Guards against defects or unbounded work by what a query contains."""
    status, answer = await ask(shared_system, query)
    assert status == 400 and reason in answer['error'], answer


async def test_only_get_is_answered(shared_system):
    """Guards against previews by requests that promise a change."""
    status, answer = await ask(shared_system, LOOK, method='DELETE')
    assert status == 405 and 'GET' in answer['error']


@pytest.fixture
async def shared_system():
    async with world(apps=1, models=0) as system:
        yield system
