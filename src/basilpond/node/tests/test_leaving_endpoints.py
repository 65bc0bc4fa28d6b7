"""Endpoints that say in their answers that they leave, over sockets."""

import asyncio

import pytest

from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import world

# Time after which other routers know what one of them was told.
REPORTED_S = 0.6


def prompt(number):
    """Return the fields of a prompt that no endpoint has cached."""
    return (
        ('X-Model', 'm'),
        ('X-Token-Count', '300,60'),
        ('X-Prompt-Prefix', f'{number:x}:300'),
    )


async def send(system, path, count, *, node=0):
    """Send requests one after another."""
    replies = []
    for i in range(count):
        if path == 'chat':
            reply = await system.prompt(node=node, headers=prompt(i))
        else:
            reply = await system.call(f'/{path}/{i}', node=node)
        replies.append(reply)
    return replies


async def send_until_reached(system, path, server, *, node=0):
    """Send requests until some have reached a server."""
    before = len(server.arrived_s)
    for _ in range(20):
        # Together they need all endpoints.
        await asyncio.gather(
            *(send(system, path, 1, node=node) for _ in range(40))
        )
        if len(server.arrived_s) > before:
            return
    raise AssertionError('no request reached the server')


@pytest.mark.parametrize('path', ['look', 'chat'])
async def test_endpoint_that_says_it_leaves_gets_no_new_requests(path):
    """Guards against requests to an endpoint whose answers say it leaves."""
    async with world(nodes=2, apps=3, models=3) as system:
        server = system.servers['app-0' if path == 'look' else 'llm-0']
        server.leaving = True
        await send_until_reached(system, path, server)
        arrivals = len(server.arrived_s)
        replies = await send(system, path, 30)
        assert len(server.arrived_s) == arrivals
        # The other router learns of it.
        await asyncio.sleep(REPORTED_S)
        replies += await send(system, path, 30, node=1)
        assert len(server.arrived_s) == arrivals
        assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize('mode', ['ok', 'fail', 'shed'])
@pytest.mark.parametrize('path', ['look', 'chat'])
async def test_requests_are_refused_when_the_last_endpoint_leaves(path, mode):
    """Guards against a field that is read from some answers only.

    The request that was answered is not sent to the endpoint again, either.
    """
    async with world(nodes=2, apps=1, models=1) as system:
        server = system.servers['app-0' if path == 'look' else 'llm-0']
        server.leaving = True
        server.mode = mode
        first = (await send(system, path, 1))[0]
        assert first.status == {'ok': 200, 'fail': 500, 'shed': 503}[mode]
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        replies = await send(system, path, 5)
        assert loop.time() - started_s < 0.5
        await asyncio.sleep(REPORTED_S)
        replies += await send(system, path, 5, node=1)
        assert len(server.arrived_s) == 1
        for reply in replies:
            assert reply.status == 503
            assert float(reply.headers['retry-after']) > 0


async def test_stream_at_a_leaving_endpoint_goes_on_to_its_end():
    """Guards against streams that break where an endpoint only leaves."""
    async with world(models=1) as system:
        server = system.servers['llm-0']
        server.events = 30
        server.event_gap_s = 0.03
        streams = [
            asyncio.create_task(system.prompt(headers=prompt(i)))
            for i in range(3)
        ]
        await system.until(lambda: len(server.requests) == 3)
        server.leaving = True
        assert (await system.prompt(headers=prompt(9))).status == 200
        assert (await system.prompt(headers=prompt(10))).status == 503
        for reply in await asyncio.gather(*streams):
            assert (reply.status, reply.events) == (200, 30)
            assert reply.complete
        assert len(server.arrived_s) == 4


async def test_broken_stream_is_not_resumed_at_a_leaving_endpoint():
    """Guards against a resumption that counts as no new request."""
    async with world(models=1) as system:
        server = system.servers['llm-0']
        server.mode = 'break'
        server.break_after = 3
        server.leaving = True
        reply = await system.prompt()
        assert reply.events == 3 and not reply.complete
        assert len(server.arrived_s) == 1


async def test_request_that_connects_is_not_sent_to_a_leaving_endpoint():
    """Guards against requests that begin to connect before the answer."""
    async with world(apps=2) as system:
        server = system.servers['app-0']
        entry = system.nodes[0].directory.find('app-0')
        connect = entry.pool.connect

        async def connect_slowly():
            connection = await connect()
            await asyncio.sleep(0.2)
            return connection

        entry.pool.connect = connect_slowly
        calls = [
            asyncio.create_task(system.call(f'/look/{i}')) for i in range(20)
        ]
        await asyncio.sleep(0.1)
        system.nodes[0].directory.mark_told_leaving(entry)
        replies = await asyncio.gather(*calls)
        assert {reply.status for reply in replies} == {200}
        assert server.arrived_s == []
        # It has not failed, so the next start at its address is not avoided.
        assert not entry.load.is_avoided(asyncio.get_running_loop().time())


async def test_misdirected_answer_marks_no_endpoint_as_leaving():
    """Guards against what another server at the same address says."""
    async with world(apps=2) as system:
        server = system.servers['app-0']
        server.mode = 'moved'
        server.leaving = True
        await send_until_reached(system, 'look', server)
        system.log.put('keyed.servers', 'app-0', server.entry(seq=2))
        server.mode = 'ok'
        server.leaving = False
        await asyncio.sleep(REPORTED_S)
        await send_until_reached(system, 'look', server)


@pytest.mark.parametrize(
    'values', [['soon'], [''], ['1', '0'], ['2'], ['1, 1'], ['\xff' * 900]]
)
async def test_field_without_a_defined_value_is_ignored_and_logged(values):
    """Guards against a sound endpoint that is out of use for good."""
    async with world(apps=1) as system:
        node = system.nodes[0]
        lines = []
        node._decisions.event = lambda name, **fields: lines.append(
            (name, fields)
        )
        server = system.servers['app-0']
        server.extra_fields = [
            (b'server-leaving', value.encode('latin-1')) for value in values
        ]
        replies = await send(system, 'look', 10)
        assert {reply.status for reply in replies} == {200}
        ignored = [f for name, f in lines if name == 'endpoint_field_ignored']
        assert len(ignored) == 1
        assert len(ignored[0]['reason']) < 200
        # Given twice with the same value, it says the same.
        server.extra_fields = [(b'server-leaving', b'1')] * 2
        await send(system, 'look', 1)
        assert (await send(system, 'look', 1))[0].status == 503


async def test_endpoint_that_leaves_and_resets_is_not_asked_again():
    """Guards against an answer that counts only if it is complete."""
    async with world(apps=1) as system:
        server = system.servers['app-0']
        server.leaving = True
        server.mode = 'truncate'
        await send(system, 'look', 3)
        assert len(server.arrived_s) == 1


async def test_requests_that_wait_for_a_limit_do_not_reach_a_leaving_one():
    """Guards against requests that were admitted before the answer."""
    config = configuration()
    for item in config['routes']:
        item['latency_target_ms'] = 3000
    async with world(config, apps=1) as system:
        server = system.servers['app-0']
        server.limit_per_s = 4.0
        assert (await send(system, 'look', 1))[0].status == 200
        server.leaving = True
        replies = await asyncio.gather(
            *(system.call(f'/look/{i}') for i in range(4))
        )
        assert sorted(reply.status for reply in replies) == [
            200,
            503,
            503,
            503,
        ]
        assert len(server.arrived_s) == 2
        # Nor does one that would tell whether the limit still holds.
        await asyncio.sleep(1.2)
        assert (await send(system, 'look', 1))[0].status == 503
        assert len(server.arrived_s) == 2


async def test_leaving_endpoint_is_not_tried_after_an_ejection():
    """Guards against a trial because all other endpoints are worse."""
    async with world(apps=2) as system:
        server, other = system.servers['app-0'], system.servers['app-1']
        directory = system.nodes[0].directory
        directory.mark_told_leaving(directory.find('app-0'))
        now_s = asyncio.get_running_loop().time()
        directory.find('app-1').load.eject(now_s)
        other.stop()
        replies = await send(system, 'look', 3)
        assert {reply.status for reply in replies} == {503}
        assert server.arrived_s == []
