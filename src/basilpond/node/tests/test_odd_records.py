"""Odd records of other writers among those that routers follow."""

import asyncio
import json

import pytest

from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import world

DEEP = b'[' * 2_000 + b']' * 2_000
MEMBERS = [
    b'"extra": ' + DEEP,
    b'"slots": 1e400',
    b'"slots": %d' % 2**70,
    b'"cold_left_ms": 1e300',
    b'"cold_left_ms": -1',
    b'"born": %d' % 2**90,
    b'"address": "127.0.0.1:99999"',
    b'"address": ":1"',
    b'"address": "a\\u0000b:1"',
    b'"service": "\\ud800"',
]


def odd_entry(server, member):
    return json.dumps(server.entry()).encode()[:-1] + b', ' + member + b'}'


@pytest.mark.parametrize('member', MEMBERS)
async def test_router_serves_and_starts_beside_an_odd_entry(member):
    """Guards against one entry that ends each router, at each start (LOST)."""
    async with world(apps=1, models=1) as system:
        entry = odd_entry(system.servers['app-0'], member)
        for endpoint_id in ('odd', 'odd \u4e00\r\nX-Tenant: b'):
            system.log.put('keyed.servers', endpoint_id, entry)
        # Read after the odd ones.
        server = system.servers['app-0']
        system.log.put('keyed.servers', 'last', server.entry())
        first = system.nodes[0]
        await system.until(lambda: first.directory.find('last') is not None)
        second = await system.add_node('node-1')
        await system.until(second.is_ready)
        for number, node in enumerate(system.nodes):
            assert node.directory.find('odd') is None
            reply = await system.call('/look/1', node=number)
            assert reply.status == 200
            assert not any(task.done() for task in node._tasks)


@pytest.mark.parametrize(
    'data',
    [
        DEEP,
        json.dumps(configuration(version=2**70)).encode(),
        json.dumps(configuration(version=2)).encode()[:-1]
        + b', "extra": '
        + DEEP
        + b'}',
    ],
)
async def test_router_keeps_its_configuration_beside_an_odd_one(data):
    """Guards against a version that ends each router that reads it."""
    async with world(apps=1, models=1, nodes=2) as system:
        for record in (data, configuration(version=3), data):
            system.log.put('keyed.op', 'config', record)
            end = len(system.log.topics['keyed.op'])
            await system.until(
                lambda end=end: all(
                    node._followers[0]._offset == end for node in system.nodes
                )
            )
            # Reports to other routers name the version.
            await asyncio.sleep(0.1)
            for node in system.nodes:
                assert not any(task.done() for task in node._tasks)
        for node in system.nodes:
            assert node.configuration.catalogue.version == 3
        assert (await system.call('/look/1')).status == 200
