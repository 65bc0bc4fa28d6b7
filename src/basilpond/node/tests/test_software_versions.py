"""Streams while servers of several software versions serve side by side."""

import asyncio
import dataclasses

import pytest

from basilpond.node.tests.platform_world import PROMPT
from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import route
from basilpond.node.tests.platform_world import world

# Events that a broken stream has brought.
BROKEN_AFTER = 3


def unshared_prompt(system):
    """Return fields of a prompt without parts that a server has cached."""
    part = f'{system.ids + 1:x}'
    return (
        *PROMPT[:2],
        ('X-Prompt-Prefix', f'a{part}:100,b{part}:150,c{part}:50'),
    )


def mend(system):
    for server in system.servers.values():
        server.mode = 'ok'


class Take:
    """One caller, over all of its attempts at a stream."""

    def __init__(self, system):
        self.system = system
        self.first_id = None
        self.events = 0
        self.versions = set()
        # Unlike others, as a prompt that breaks several streams is refused.
        self.body = b'{"take": %d}' % system.ids
        self.headers = unshared_prompt(system)

    async def attempt(self, node=0):
        headers = self.headers
        if self.events:
            headers += (
                ('Last-Event-Id', str(self.events)),
                ('Resumes', self.first_id),
            )
        reply = await self.system.prompt(
            node=node, headers=headers, body=self.body
        )
        if self.first_id is None and reply.events:
            self.first_id = f'{self.system.ids:x}'
        self.events += reply.events
        self.versions |= reply.versions
        return reply


async def begin(system, *versions, count=4, node=0):
    """Return streams of versions that broke off after their first events."""
    takes = []
    for version in versions:
        for server in system.servers.values():
            server.mode = 'break' if server.version == version else 'shed'
            server.break_after = BROKEN_AFTER
        async with asyncio.timeout(5.0):
            begun = 0
            while begun < count:
                take = Take(system)
                reply = await take.attempt(node)
                if reply.status == 503:
                    # Three other servers turned it away.
                    await asyncio.sleep(0.02)
                    continue
                assert reply.status == 200 and not reply.complete
                assert take.versions == {version}
                takes.append(take)
                begun += 1
    mend(system)
    return takes


async def take_up(takes, *, node=0):
    """Let callers take up their streams; return those that went on."""
    replies = [await take.attempt(node) for take in takes]
    for take, reply in zip(takes, replies, strict=True):
        assert len(take.versions) == 1, 'joined from two versions'
        if reply.status != 200:
            # The only failure that promises that nothing was run.
            assert reply.status == 503 and 'retry-after' in reply.headers
    return [
        take
        for take, reply in zip(takes, replies, strict=True)
        if reply.status == 200 and reply.complete
    ]


async def serve_all(system):
    """Wait until all routers list all servers, and send to them."""
    count = len(system.servers)
    await system.until(
        lambda: all(len(node.directory) == count for node in system.nodes)
    )
    # Versions are in use after other routers had the time to learn of them.
    await asyncio.sleep(1.2)


@pytest.mark.parametrize('others', [('v2',), ('v2', 'v3'), ('v1', 'v2')])
async def test_broken_answer_goes_on_at_its_version_only(others):
    """Guards against events of two versions in one answer (ORDER)."""
    async with world(models=0) as system:
        for number, version in enumerate(('v1', *others)):
            await system.add_server(f'llm-{number}', version=version)
        await serve_all(system)
        first = system.servers['llm-0']
        first.mode, first.break_after = 'break', BROKEN_AFTER
        first.event_gap_s = 0.05
        for server in system.servers.values():
            if server is not first:
                server.mode = 'shed'
        pending = asyncio.create_task(system.prompt())
        await system.until(lambda: first.requests)
        for server in system.servers.values():
            if server is not first:
                server.mode = 'ok'
        reply = await pending
        assert reply.versions == {'v1'}
        if 'v1' in others:
            assert reply.complete
        else:
            assert reply.events == BROKEN_AFTER and not reply.complete


@pytest.mark.parametrize('servers', [2, 4])
async def test_stream_that_is_taken_up_goes_on_at_its_version(servers):
    """Guards against events of two versions over a caller's attempts."""
    async with world(nodes=2, models=0) as system:
        for number in range(servers):
            version = 'v1' if number % 2 else 'v2'
            await system.add_server(f'llm-{number}', version=version)
        await serve_all(system)
        takes = await begin(system, 'v1', 'v2')
        for node in (0, 1):
            went_on = await take_up(takes[node::2], node=node)
            assert len(went_on) == len(takes[node::2])


async def test_stream_goes_on_at_its_version_after_all_routers_were_killed():
    """Guards against a join when no router remembers a stream (ORDER)."""
    async with world(nodes=2, models=0) as system:
        for number in range(4):
            version = 'v1' if number % 2 else 'v2'
            await system.add_server(f'llm-{number}', version=version)
        await serve_all(system)
        takes = await begin(system, 'v1', 'v2')
        await asyncio.sleep(0.5)
        for node in list(system.nodes):
            system.kill(node)
        await system.add_node('node-0')
        await system.until(system.nodes[0].is_ready)
        went_on = await take_up(takes)
        assert len(went_on) == len(takes)


@pytest.mark.parametrize('killed', [False, True])
async def test_stream_of_the_only_version_goes_on_in_a_release(killed):
    """Guards against a join with the first server of a newer version."""
    async with world(nodes=2, models=2) as system:
        takes = await begin(system, 'v1')
        await system.add_server('llm-2', version='v2')
        await serve_all(system)
        if killed:
            for node in list(system.nodes):
                system.kill(node)
            await system.add_node('node-1')
            await system.until(system.nodes[0].is_ready)
        went_on = await take_up(takes, node=len(system.nodes) - 1)
        assert len(went_on) == len(takes)


async def test_stream_of_a_version_that_has_left_is_refused():
    """Guards against a join, or a wait, when no server can go on."""
    async with world(nodes=2, models=0) as system:
        await system.add_server('llm-0', version='v1')
        await system.add_server('llm-1', version='v2')
        await serve_all(system)
        takes = await begin(system, 'v1')
        system.remove_server('llm-0')
        await asyncio.sleep(0.6)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        assert not await take_up(takes, node=1)
        assert loop.time() - started_s < 2.0
        # The same callers begin anew.
        assert (await system.prompt(node=1)).complete


async def test_streams_of_three_versions_go_on():
    """Guards against a join where three versions serve at once."""
    async with world(nodes=2, models=0) as system:
        for number in range(6):
            await system.add_server(
                f'llm-{number}', version=f'v{1 + number % 3}'
            )
        await serve_all(system)
        takes = await begin(system, 'v1', 'v2', 'v3')
        assert len(await take_up(takes, node=1)) == len(takes)


async def test_streams_go_on_after_a_roll_back():
    """Guards against a join when the old version returns."""
    async with world(nodes=2, models=2) as system:
        await system.add_server('llm-2', version='v2')
        await system.add_server('llm-3', version='v2')
        await serve_all(system)
        for name in ('llm-0', 'llm-1'):
            system.remove_server(name)
        await asyncio.sleep(0.6)
        newer = await begin(system, 'v2')
        await system.add_server('llm-4', version='v1')
        await system.add_server('llm-5', version='v1')
        await serve_all(system)
        older = await begin(system, 'v1')
        assert len(await take_up(newer + older, node=1)) == 8


async def test_router_that_is_cut_off_does_not_take_a_newer_stream_for_old():
    """Guards against a join by a router with an old list of versions."""
    async with world(nodes=2, models=2) as system:
        old = await begin(system, 'v1', node=1)
        system.logs['node-1'].is_cut = True
        await asyncio.sleep(1.2)
        await system.add_server('llm-2', version='v2')
        await asyncio.sleep(1.5)
        takes = await begin(system, 'v2')
        assert not await take_up(takes, node=1)
        # What it relayed itself, it knows.
        assert len(await take_up(old, node=1)) == len(old)


async def test_restored_log_does_not_make_a_newer_stream_an_old_one():
    """Guards against a join when the log lost the records of versions."""
    async with world(nodes=2, models=2) as system:
        await asyncio.sleep(0.5)
        began_s = asyncio.get_running_loop().time()
        await asyncio.sleep(0.5)
        await system.add_server('llm-2', version='v2')
        await serve_all(system)
        takes = await begin(system, 'v2')
        for node in list(system.nodes):
            system.kill(node)
        system.log.restore(asyncio.get_running_loop().time() - began_s)
        system.log.put('keyed.op', 'config', configuration())
        for server in system.servers.values():
            system.log.put('keyed.servers', server.server_id, server.entry())
        await system.add_node('node-0')
        await system.until(system.nodes[0].is_ready, 10.0)
        await take_up(takes)


async def test_live_routers_keep_the_versions_that_the_log_lost():
    """Guards against refusals, and joins, after a restore of the log."""
    async with world(nodes=3, models=2) as system:
        await asyncio.sleep(0.5)
        began_s = asyncio.get_running_loop().time()
        await asyncio.sleep(0.5)
        await system.add_server('llm-2', version='v2')
        await system.add_server('llm-3', version='v2')
        await serve_all(system)
        system.log.restore(asyncio.get_running_loop().time() - began_s)
        system.log.put('keyed.op', 'config', configuration())
        for server in system.servers.values():
            system.log.put('keyed.servers', server.server_id, server.entry())
        nodes = system.nodes
        await system.until(
            lambda: all(node.budgets.knows_accounts for node in nodes)
        )
        takes = await begin(system, 'v1', 'v2')
        went_on = await take_up(takes, node=1)
        assert len(went_on) == len(takes)


async def test_server_that_starts_again_in_another_version_does_not_go_on():
    """Guards against a join at an id that had the version before."""
    async with world(nodes=2, models=1) as system:
        takes = await begin(system, 'v1')
        server = system.servers['llm-0']
        server.stop()
        await server.start()
        server.version = 'v2'
        entry = server.entry(born=1_781_071_599_999)
        system.log.put('keyed.servers', 'llm-0', entry)
        await system.until(
            lambda: all(
                node.directory.find('llm-0').endpoint.version == 'v2'
                for node in system.nodes
            )
        )
        assert not await take_up(takes, node=1)


async def test_router_that_stood_still_does_not_go_on_at_a_restarted_server():
    """Guards against a join by a router with an old list of endpoints (ORDER).

    The server starts again under its id in another version while this router
    stands still; the answer that names it is processed after the take-up.
    """
    async with world(nodes=2, models=1) as system:
        takes = await begin(system, 'v1')
        await asyncio.sleep(0.5)
        log = system.logs['node-1']
        read = log.read
        awake = asyncio.Event()

        async def read_late(topic, offset, wait_s, progress, **options):
            page = await read(topic, offset, wait_s, progress, **options)
            if topic == 'keyed.servers' and wait_s:
                await awake.wait()
            return page

        log.read = read_late
        # The read that has begun is the last one of before.
        system.log.put('keyed.servers', 'x', None)
        await asyncio.sleep(0.5)
        server = system.servers['llm-0']
        server.stop()
        await server.start()
        server.version = 'v2'
        entry = server.entry(born=1_781_071_599_999)
        system.log.put('keyed.servers', 'llm-0', entry)
        known = system.nodes[1].directory.find('llm-0').endpoint
        assert known.version == 'v1'
        for take in takes:
            reply = await take.attempt(node=1)
            # The server may have run it: 502 promises nothing.
            assert reply.status in (502, 503)
            assert take.versions == {'v1'}
        awake.set()


async def test_routes_without_continuation_use_new_versions_at_once():
    """Guards against a delay of requests that nobody takes up."""
    routes = [route('digest', 'streaming', 'llm', sticky=True)]
    async with world(configuration(routes=routes), models=0) as system:
        await system.add_server('llm-0', version='v1')
        await system.until(lambda: len(system.nodes[0].directory) == 3)
        assert (await system.prompt('/digest/x')).complete
        system.remove_server('llm-0')
        await system.add_server('llm-1', version='v2')
        await system.until(
            lambda: system.nodes[0].directory.find('llm-1') is not None
        )
        assert (await system.prompt('/digest/x')).complete


async def test_stream_does_not_begin_at_a_version_that_is_not_registered():
    """Guards against a stream that other routers take for an older one."""
    async with world(nodes=2, models=1) as system:
        system.logs['node-0'].is_cut = system.logs['node-1'].is_cut = True
        await asyncio.sleep(1.2)
        for node in system.nodes:
            entry = node.directory.find('llm-0').endpoint
            node.directory._remove('llm-0', 'test')
            node.directory._update(
                dataclasses.replace(entry, id='llm-1', version='v2')
            )
        assert (await system.prompt()).status == 503
        for log in system.logs.values():
            log.is_cut = False
        # The list is the store's again.
        await system.add_server('llm-2', version='v2')
        await serve_all(system)
        assert (await system.prompt()).complete


async def test_stream_does_not_begin_at_a_server_that_was_replaced():
    """Guards against a stream whose recorded version did not begin it."""
    async with world(nodes=1, models=1) as system:
        await system.add_server('llm-1', version='v2')
        await serve_all(system)
        directory = system.nodes[0].directory
        server, other = system.servers['llm-0'], system.servers['llm-1']
        server.version = 'v2'
        server.prefill_s, server.mode = 0.5, 'break'
        server.break_after = BROKEN_AFTER
        other.mode = 'shed'
        take = Take(system)
        pending = asyncio.create_task(take.attempt())
        await system.until(lambda: server.requests)
        # Its entry comes before its first event.
        entry = server.entry(born=1_781_071_599_999)
        system.log.put('keyed.servers', 'llm-0', entry)
        await system.until(
            lambda: directory.find('llm-0').endpoint.version == 'v2'
        )
        await pending
        if not take.events:
            return
        # What began is not what the router knew then.
        mend(system)
        server.prefill_s, server.version = 0.0, 'v1'
        system.log.put(
            'keyed.servers', 'llm-0', server.entry(born=1_781_071_600_999)
        )
        await system.until(
            lambda: directory.find('llm-0').endpoint.version == 'v1'
        )
        other.mode = 'shed'
        await take.attempt()
        assert len(take.versions) == 1, 'joined from two versions'


async def test_stream_keeps_the_versions_of_two_services_apart():
    """Guards against a version that is known from another service."""

    def chat(version, service):
        routes = [route('chat', 'streaming', service, resumable=True)]
        return configuration(version, routes=routes)

    async def configure(version, service):
        system.log.put('keyed.op', 'config', chat(version, service))
        await asyncio.sleep(0.5)

    async with world(chat(1, 'llm'), nodes=2, models=0) as system:
        await system.add_server('llm-0', version='v1')
        await system.add_server('llm-1', version='v2')
        await system.add_server('other-0', service='other', version='v2')
        await serve_all(system)
        takes = await begin(system, 'v1', count=1, node=1)
        await asyncio.sleep(0.6)
        # The stream goes on at another service, and breaks there, too.
        await configure(2, 'other')
        other = system.servers['other-0']
        other.mode, other.break_after = 'break', BROKEN_AFTER + 1
        reply = await takes[0].attempt(0)
        assert reply.events == 1 and not reply.complete
        # Unlike a prompt that breaks all streams.
        takes[0].body += b' '
        await configure(3, 'llm')
        mend(system)
        reply = await takes[0].attempt(0)
        assert reply.complete and reply.versions == {'v1'}
