"""Endpoints that turn requests away and ask for quiet, over sockets."""

import asyncio

import pytest

from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import world
from basilpond.routing import _quiet_endpoints
from basilpond_testkit.platform_stand_in import SLOW_S
from basilpond_testkit.platform_stand_in import ServerStandIn

# Time after a 503 in which requests that are on their way may arrive.
SETTLED_S = 0.5
# Requests of one router that may arrive in the rest of the time named.
ALLOWED = 2


def prompt(number):
    """Return the fields of a prompt that no endpoint has cached."""
    return (
        ('X-Model', 'm'),
        ('X-Token-Count', '300,60'),
        ('X-Prompt-Prefix', f'{number:x}:300'),
    )


async def send(system, path, *, per_s, for_s, node=0):
    """Send requests at a constant rate to one router."""
    replies = []
    for i in range(round(per_s * for_s)):
        call = (
            system.prompt(node=node, headers=prompt(i))
            if path == 'chat'
            else system.call(f'/{path}/{i}', node=node)
        )
        replies.append(asyncio.create_task(call))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*replies)


@pytest.mark.parametrize('mode', ['shed', 'busy'])
@pytest.mark.parametrize('path', ['look', 'chat'])
async def test_endpoint_that_asks_for_quiet_gets_no_requests(path, mode):
    """Guards against requests to endpoints that turned some away for a time.

    All endpoints of a service got every request, and rejected each.
    """
    async with world(apps=2, models=2) as system:
        service = 'app' if path == 'look' else 'llm'
        servers = [system.servers[f'{service}-{i}'] for i in range(2)]
        for server in servers:
            server.mode = mode
            server.retry_after = '2.0'
        # No request may wait for the end of the time, within its objective.
        replies = await send(system, path, per_s=40, for_s=1.7)
        assert {reply.status for reply in replies} <= {502, 503}
        for server in servers:
            first_s = server.arrived_s[0]
            late = [
                at_s
                for at_s in server.arrived_s
                if first_s + SETTLED_S < at_s < first_s + 2.0
            ]
            assert len(late) <= ALLOWED
            server.mode = 'ok'
        # They are used again afterwards. A request that was late on a busy
        # machine may have waited for the end, and been turned away again.
        last_s = max(server.arrived_s[-1] for server in servers)
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(last_s + 2.2 - now_s)
        replies = await send(system, path, per_s=20, for_s=1.0)
        assert {reply.status for reply in replies} == {200}


async def test_other_routers_still_send_to_a_quiet_endpoint():
    """Guards against a quiet time that all routers take as theirs."""
    async with world(nodes=2, apps=1) as system:
        server = system.servers['app-0']
        server.mode = 'shed'
        server.retry_after = '3'
        assert (await system.call('/look/1')).status == 503
        server.mode = 'ok'
        await asyncio.sleep(0.3)
        assert (await system.call('/look/2')).status == 503
        assert (await system.call('/look/3', node=1)).status == 200


async def test_request_waits_for_an_endpoint_that_returns_in_time():
    """Guards against refusals that a short wait avoids."""
    async with world(apps=1) as system:
        server = system.servers['app-0']
        server.mode = 'shed'
        server.retry_after = '0.15'
        # The request that was turned away waits as well, and is sent again.
        rejected = asyncio.create_task(system.call('/look/1'))
        await system.until(lambda: len(server.arrived_s) == 1)
        server.mode = 'ok'
        reply = await system.call('/look/2')
        assert (reply.status, (await rejected).status) == (200, 200)
        assert server.arrived_s[1] - server.arrived_s[0] >= 0.15


async def test_request_that_cannot_wait_is_refused_at_once():
    """Guards against requests that wait in vain, or callers in step."""
    async with world(apps=2) as system:
        for i in range(2):
            system.servers[f'app-{i}'].mode = 'shed'
            system.servers[f'app-{i}'].retry_after = str(2 + i)
        await asyncio.gather(*(system.call(f'/look/{i}') for i in range(8)))
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        replies = [await system.call(f'/look/{i}') for i in range(10)]
        took_s = loop.time() - started_s
        assert took_s < 0.5
        assert {reply.status for reply in replies} == {503}
        times = [float(reply.headers['retry-after']) for reply in replies]
        assert min(times) >= 2.0 - took_s - 0.5
        assert len(set(times)) == len(times)


async def test_requests_follow_the_first_one_after_a_quiet_time():
    """Guards against all that waited arriving at once, or out of order."""
    config = configuration()
    for priority, item in enumerate(config['routes']):
        item.update(priority=priority, latency_target_ms=1000)
    async with world(config, apps=1) as system:
        server = system.servers['app-0']
        server.mode = 'shed'
        server.retry_after = '0.6'
        calls = [asyncio.create_task(system.call('/claim/0', method='POST'))]
        await system.until(lambda: len(server.arrived_s) == 1)
        server.mode = 'slow'
        for path in ('/claim/1', '/look/2', '/claim/3', '/look/4'):
            calls.append(asyncio.create_task(system.call(path, method='POST')))
            await asyncio.sleep(0.02)
        replies = await asyncio.gather(*calls)
        assert {reply.status for reply in replies} == {200}
        order = [request.target.decode() for request in server.requests]
        assert [path.split('/')[1] for path in order] == [
            'look',
            'look',
            'claim',
            'claim',
            'claim',
        ]
        first_s, second_s = server.arrived_s[1:3]
        assert second_s - first_s >= SLOW_S


async def test_waiting_requests_use_an_endpoint_that_is_added():
    """Guards against requests that wait although one can serve them."""
    config = configuration()
    for item in config['routes']:
        item['latency_target_ms'] = 2500
    async with world(config, apps=1) as system:
        server = system.servers['app-0']
        server.mode = 'shed'
        server.retry_after = '2'
        call = asyncio.create_task(system.call('/look/1'))
        await system.until(lambda: len(server.arrived_s) == 1)
        other = ServerStandIn('app-9', 'app')
        await other.start()
        system.servers['app-9'] = other
        system.log.put('keyed.servers', 'app-9', other.entry())
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        assert (await call).status == 200
        assert loop.time() - started_s < 1.0
        assert len(other.requests) == 1


async def test_request_that_waits_is_refused_when_the_last_endpoint_leaves():
    """Guards against a wait for an endpoint that will not return."""
    config = configuration()
    for item in config['routes']:
        item['latency_target_ms'] = 3000
    async with world(config, apps=1) as system:
        server = system.servers['app-0']
        server.mode = 'shed'
        server.retry_after = '2.5'
        call = asyncio.create_task(system.call('/look/1'))
        await system.until(lambda: len(server.arrived_s) == 1)
        entry = system.nodes[0].directory.find('app-0')
        system.nodes[0].directory.mark_told_leaving(entry)
        async with asyncio.timeout(1.0):
            assert (await call).status == 503


async def test_request_that_connects_is_not_sent_to_a_quiet_endpoint():
    """Guards against requests that begin to connect before the rejection."""
    async with world(apps=1) as system:
        server = system.servers['app-0']
        pool = system.nodes[0].directory.find('app-0').pool
        connect = pool.connect
        calls = 0

        async def connect_slowly():
            nonlocal calls
            calls += 1
            delay_s = 0.3 if calls > 1 else 0.0
            connection = await connect()
            await asyncio.sleep(delay_s)
            return connection

        pool.connect = connect_slowly
        server.mode = 'shed'
        server.retry_after = '1'
        replies = await asyncio.gather(
            *(system.call(f'/look/{i}') for i in range(10))
        )
        assert {reply.status for reply in replies} == {503}
        assert len(server.arrived_s) == 1


@pytest.mark.parametrize('value', ['0', '-3', 'soon', '', 'nan', '99999999'])
async def test_endpoint_is_out_of_use_for_no_longer_than_the_bound(
    value, monkeypatch
):
    """Guards against a crash, or a sound endpoint that is never used again."""
    monkeypatch.setattr(_quiet_endpoints, 'MAX_QUIET_S', 0.8)
    async with world(apps=1) as system:
        lines = []
        system.nodes[0]._decisions.event = lambda name, **fields: lines.append(
            (name, fields)
        )
        server = system.servers['app-0']
        server.mode = 'shed'
        server.retry_after = value
        for i in range(3):
            assert (await system.call(f'/look/{i}')).status == 503
        server.mode = 'ok'
        await asyncio.sleep(0.8)
        assert (await system.call('/look/9')).status == 200
        names = [name for name, _ in lines]
        assert 'defect' not in names
        assert names.count('endpoint_quiet') == (value == '99999999')
        assert names.count('endpoint_field_ignored') == (
            value not in ('0', '99999999')
        )


async def test_quiet_endpoint_that_names_a_limit_is_not_probed():
    """Guards against a probe of the limit within the quiet time."""
    async with world(apps=2) as system:
        server = system.servers['app-0']
        server.limit_per_s = 3.0
        server.mode = 'shed'
        server.retry_after = '2.5'
        replies = await send(system, 'look', per_s=40, for_s=2.2)
        assert len(server.arrived_s) == 1
        assert {reply.status for reply in replies} == {200}


async def test_rejections_that_cannot_be_retried_use_no_retry_budget():
    """Guards against a budget that is spent on retries that are not sent."""
    async with world(apps=1) as system:
        server = system.servers['app-0']
        server.mode = 'shed'
        server.retry_after = '0.3'
        budget = system.nodes[0].dispatcher._retry_budget('app')
        for i in range(3):
            reply = await system.call(f'/look/{i}')
            assert reply.status == 503
            assert 0 < float(reply.headers['retry-after']) < 2.0
            await asyncio.sleep(0.4)
        assert len(server.arrived_s) == 3
        assert not budget._retries


async def test_request_of_a_caller_who_left_waits_no_longer():
    """Guards against a queue that is full of callers who left."""
    config = configuration()
    for item in config['routes']:
        item['latency_target_ms'] = 3000
    async with world(config, apps=1) as system:
        node = system.nodes[0]
        server = system.servers['app-0']
        server.mode = 'shed'
        server.retry_after = '2'
        _, writer = await system.open('/look/1')
        await system.until(lambda: node.dispatcher.waiting == 1)
        _, _, text = node._respond_metrics(b'/')
        assert b'basilpond_quiet_endpoints 1.0' in text
        assert b'basilpond_waiting_requests 1.0' in text
        writer.transport.abort()
        await system.until(lambda: node.dispatcher.waiting == 0, 1.0)
        assert len(server.arrived_s) == 1
