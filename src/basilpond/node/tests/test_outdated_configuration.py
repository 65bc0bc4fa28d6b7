"""Refusals by a version that is known to be superseded, over sockets."""

import asyncio

import pytest

from basilpond.http1 import find
from basilpond.node import LogTimeoutError
from basilpond.node.tests.platform_world import route
from basilpond.node.tests.platform_world import world
from basilpond_testkit.platform_configuration import configuration

TOPIC = 'keyed.op'
# Time after which a version is in force, by the settings of these routers.
CONFIG_APPLY_S = 2.0


def next_version(version=2):
    """Return a version with another route, key and budget."""
    added = route('added', 'safe', 'app')
    tenants = [
        {'name': 'org', 'api_keys': ['key'], 'prepaid': 100_000},
        {'name': 'new', 'api_keys': ['new-key'], 'prepaid': 100_000},
    ]
    config = configuration(version)
    return {**config, 'routes': [*config['routes'], added], 'tenants': tenants}


REQUESTS = [
    pytest.param('/added/x', 'key', id='route'),
    pytest.param('/look/x', 'new-key', id='key'),
]


@pytest.mark.parametrize(('path', 'key'), REQUESTS)
async def test_what_an_unread_version_adds_is_not_refused_as_unknown(
    path, key
):
    """Guards against 404 while a version is on its way over a slow link."""
    async with world() as system:
        system.log.stalled_topics.add(TOPIC)
        system.log.put(TOPIC, 'config', next_version())
        await asyncio.sleep(0.2)
        refused = await system.call(path, key=key)
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 0
        system.log.resume(TOPIC)
        await system.until(
            lambda: system.nodes[0].configuration.catalogue.version == 2
        )
        assert (await system.call(path, key=key)).status == 200


@pytest.mark.parametrize(('path', 'key'), REQUESTS)
async def test_what_several_unread_versions_add_is_not_refused_as_unknown(
    path, key
):
    """Guards against 404 after an outage in which several versions came."""
    async with world() as system:
        system.log.stalled_topics.add(TOPIC)
        system.log.put(TOPIC, 'config', configuration(2))
        system.log.put(TOPIC, 'config', next_version(3))
        await asyncio.sleep(0.4)
        assert (await system.call(path, key=key)).status == 503
        system.log.resume(TOPIC)
        await system.until(
            lambda: system.nodes[0].configuration.catalogue.version == 3
        )
        assert (await system.call(path, key=key)).status == 200


@pytest.mark.parametrize(('path', 'key'), REQUESTS)
async def test_what_a_peer_has_is_not_refused_as_unknown(path, key):
    """Guards against 404 at a router whose peer reports a newer version."""
    async with world(nodes=2) as system:
        behind, ahead = system.nodes
        system.logs['node-0'].is_cut = True
        # The peer cannot hand the version over.
        ahead._configuration_fetcher.close()
        system.log.put(TOPIC, 'config', next_version())
        await system.until(lambda: ahead.configuration.catalogue.version == 2)
        await asyncio.sleep(0.1)
        assert behind.configuration.catalogue.version == 1
        assert (await system.call(path, key=key, node=0)).status == 503
        assert (await system.call(path, key=key, node=1)).status == 200


@pytest.mark.parametrize(('path', 'key'), REQUESTS)
async def test_router_without_the_log_does_not_refuse_as_unknown(path, key):
    """Guards against 404 by a version that may be long superseded."""
    async with world() as system:
        system.logs['node-0'].is_cut = True
        await asyncio.sleep(CONFIG_APPLY_S + 0.1)
        refused = await system.call(path, key=key)
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 0
        # What the version in force allows is served.
        assert (await system.call('/look/x')).status == 200


async def test_request_waits_for_a_version_that_arrives_soon():
    """Guards against refusals in the moment in which a version is read."""
    async with world() as system:
        system.log.stalled_topics.add(TOPIC)
        system.log.put(TOPIC, 'config', next_version())
        await asyncio.sleep(0.1)
        asyncio.get_running_loop().call_later(0.1, system.log.resume, TOPIC)
        assert (await system.call('/added/x')).status == 200


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/none/x', 'key', 404), ('/look/x', 'wrong', 401)],
)
async def test_what_no_version_has_is_refused_once_all_is_read(
    path, key, status
):
    """Guards against requests that are asked to retry without end."""
    async with world() as system:
        assert (await system.call(path, key=key)).status == status
        system.log.put(TOPIC, 'config', next_version())
        await system.until(
            lambda: system.nodes[0].configuration.catalogue.version == 2
        )
        assert (await system.call(path, key=key)).status == status


async def test_key_of_an_unread_version_is_charged_on_a_public_route():
    """Guards against requests that run without their organisation."""
    public = configuration(1)
    public['routes'][0]['public'] = True
    added = {'name': 'new', 'api_keys': ['new-key'], 'prepaid': 100_000}
    async with world(public) as system:
        system.log.stalled_topics.add(TOPIC)
        tenants = [*public['tenants'], added]
        system.log.put(
            TOPIC, 'config', {**public, 'version': 2, 'tenants': tenants}
        )
        await asyncio.sleep(0.2)
        assert (await system.call('/look/x', key=None)).status == 200
        assert (await system.call('/look/x', key='new-key')).status == 503
        system.log.resume(TOPIC)
        await system.until(
            lambda: system.nodes[0].configuration.catalogue.version == 2
        )
        assert (await system.call('/look/x', key='new-key')).status == 200
        server = next(
            s
            for s in system.servers.values()
            if s.requests
            and s.service == 'app'
            and find(s.requests[-1].headers, b'x-tenant') == b'new'
        )
        assert server.requests


@pytest.mark.parametrize('is_cut', [False, True])
async def test_budget_of_a_late_configuration_is_not_taken_as_exhausted(
    is_cut, monkeypatch
):
    """Guards against 402 by a late budget beside accounts that are current."""
    small = {'name': 'org', 'api_keys': ['key'], 'prepaid': 100}
    async with world(configuration(1, tenants=[small])) as system:
        log = system.logs['node-0']
        read = log.read

        async def fail_some(topic, *args, **kwargs):
            if topic == TOPIC:
                await asyncio.sleep(0.05)
                raise LogTimeoutError('cut off')
            return await read(topic, *args, **kwargs)

        monkeypatch.setattr(log, 'read', fail_some)
        log.is_cut = is_cut
        # A read that was sent before waits up to 0.8 s.
        await asyncio.sleep(CONFIG_APPLY_S + 1.0)
        assert (await system.prompt()).status == 503


async def test_raised_budget_that_is_unread_is_not_refused_as_exhausted():
    """Guards against 402 for a budget that an unread version raises."""
    small = {'name': 'org', 'api_keys': ['key'], 'prepaid': 100}
    async with world(configuration(1, tenants=[small])) as system:
        assert (await system.prompt()).status == 402
        system.log.stalled_topics.add(TOPIC)
        system.log.put(TOPIC, 'config', configuration(2))
        await asyncio.sleep(0.2)
        assert (await system.prompt()).status == 503
        system.log.resume(TOPIC)
        await system.until(
            lambda: system.nodes[0].configuration.catalogue.version == 2
        )
        assert (await system.prompt()).status == 200
