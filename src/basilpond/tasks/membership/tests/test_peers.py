import asyncio
import contextlib
import dataclasses
import random
import socket

import pytest

from basilpond import protocol
from basilpond.core import Member
from basilpond.core import MemberState
from basilpond.tasks.membership import _gossip_task
from basilpond.tasks.membership import _peer_client
from basilpond.tasks.membership import _peer_server


def member(port):
    return Member(
        'r1~1', 'r1', 'dc', '127.0.0.1', port, 1, 0, True, MemberState.ALIVE
    )


def fetch(version=1):
    return protocol.Frame(
        fetch_manifest=protocol.FetchManifest(newer_than_version=version)
    )


async def echo(frame):
    """Reply with the requested version, after a delay if it is even."""
    version = frame.fetch_manifest.newer_than_version
    if version == 99:
        raise RuntimeError
    await asyncio.sleep(0.1 if version % 2 == 0 else 0)
    return protocol.Frame(
        fetch_manifest_reply=protocol.FetchManifestReply(
            version=version, document=bytes(100)
        )
    )


@contextlib.asynccontextmanager
async def serving(handler=echo, client=None, **options):
    server = _peer_server.PeerServer('127.0.0.1', 0, handler, **options)
    await server.start()
    client = client or _peer_client.PeerClient(rng=random.Random(1))
    try:
        yield client, member(server.port), server
    finally:
        await client.close()
        await server.close()


@contextlib.asynccontextmanager
async def raw_server(serve):
    """Serve raw bytes, to simulate faulty peers."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        yield member(server.sockets[0].getsockname()[1])


async def test_pipelined_calls_get_their_own_replies():
    """Guards against replies that are matched to calls by their order."""
    async with serving() as (client, peer, server):
        replies = await asyncio.gather(
            *(client.call(peer, fetch(n), timeout_s=2) for n in range(40))
        )
        versions = [reply.fetch_manifest_reply.version for reply in replies]
        assert versions == list(range(40))
        assert len(server._connections) == 1


async def test_failing_handler_and_late_reply_leave_the_connection_usable():
    async with serving() as (client, peer, server):
        with pytest.raises(_peer_client.PeerUnavailableError, match='error'):
            await client.call(peer, fetch(99), timeout_s=1)
        with pytest.raises(_peer_client.PeerUnavailableError, match='0.02 s'):
            await client.call(peer, fetch(2), timeout_s=0.02)
        await asyncio.sleep(0.15)
        reply = await client.call(peer, fetch(3), timeout_s=1)
        assert reply.fetch_manifest_reply.version == 3
        assert len(server._connections) == 1


async def test_open_calls_are_limited_on_both_sides():
    """Guards against unbounded memory use when a peer replies slowly."""
    client = _peer_client.PeerClient(max_open_calls=3)
    async with serving(client=client, max_open_calls=2) as (_, peer, _):
        results = await asyncio.gather(
            *(client.call(peer, fetch(2), timeout_s=1) for _ in range(4)),
            return_exceptions=True,
        )
        errors = [str(r) for r in results if isinstance(r, Exception)]
        assert len(errors) == 2
        assert 'has 3 open calls' in errors[-1]
        assert 'too many open calls' in errors[0]


async def test_slow_handler_is_not_taken_for_a_silent_connection():
    """Guards against aborting calls that outlast the silence timeout."""

    async def slow(frame):
        await asyncio.sleep(0.9)
        return await echo(frame)

    client = _peer_client.PeerClient(heartbeat_s=0.1, silence_s=0.3)
    async with serving(slow, client) as (_, peer, _):
        reply = await client.call(peer, fetch(1), timeout_s=3)
        assert reply.fetch_manifest_reply.version == 1


async def test_silent_connection_is_abandoned_and_a_new_one_works():
    """Guards against waiting on a silent connection while a new one works."""
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                size = protocol.frame_size(await reader.readexactly(4))
                call = protocol.decode_frame(await reader.readexactly(size))
                if len(connections) == 1:
                    continue
                reply = await echo(call)
                reply.call_id, reply.is_reply = call.call_id, True
                writer.write(protocol.encode_frame(reply))

    client = _peer_client.PeerClient(heartbeat_s=0.1, silence_s=0.4)
    async with raw_server(serve) as peer:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with pytest.raises(_peer_client.PeerUnavailableError, match='bytes'):
            await client.call(peer, fetch(1), timeout_s=5)
        assert 0.4 <= loop.time() - started_s < 1.5
        await asyncio.sleep(0.15)
        reply = await client.call(peer, fetch(1), timeout_s=1)
        assert reply.fetch_manifest_reply.version == 1
        await client.close()


async def test_refused_connections_are_retried_with_growing_delays():
    """Guards against a flood of connections to a restarting peer."""
    client = _peer_client.PeerClient(rng=random.Random(1))
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        peer = member(unused.getsockname()[1])
    attempts = 0
    for _ in range(60):
        with pytest.raises(_peer_client.PeerUnavailableError) as caught:
            await client.call(peer, fetch(1), timeout_s=1)
        attempts += 'no connection' in str(caught.value)
        await asyncio.sleep(0.01)
    assert 2 <= attempts <= 4


@pytest.mark.parametrize(
    'reply', [b'\xff\xff\xff\xff', b'\x00\x00\x00\x02\x00\x00', b'']
)
async def test_malformed_reply_fails_the_call_only(reply):
    async def serve(reader, writer):
        await reader.readexactly(4)
        writer.write(reply)
        writer.close()

    client = _peer_client.PeerClient()
    async with raw_server(serve) as peer:
        with pytest.raises(_peer_client.PeerUnavailableError):
            await client.call(peer, fetch(1), timeout_s=1)
        await client.close()


@pytest.mark.parametrize(
    'data', [b'\xff\xff\xff\xff', b'\x00\x00\x00\x01x', b'GET / HTTP/1.1\r\n']
)
async def test_malformed_call_closes_that_connection_only(data):
    async with serving() as (client, peer, _):
        await client.call(peer, fetch(1), timeout_s=1)
        reader, writer = await asyncio.open_connection(peer.host, peer.port)
        writer.write(data)
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.wait_for(reader.read(), 1) == b''
        writer.close()
        await client.call(peer, fetch(1), timeout_s=1)


async def test_partial_frame_does_not_keep_a_connection_open():
    """Guards against connections left open by peers that stop sending."""
    async with serving(idle_s=0.2) as (_, peer, server):
        reader, writer = await asyncio.open_connection(peer.host, peer.port)
        writer.write(b'\x00\x00\x01')
        with contextlib.suppress(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 2)
        writer.close()
        assert not server._connections


def free_ports(count):
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            for _ in range(count)
        ]
        for each in sockets:
            each.bind(('127.0.0.1', 0))
        return [each.getsockname()[1] for each in sockets]


async def until(condition, limit_s=8):
    for _ in range(int(limit_s / 0.02)):
        if condition():
            return
        await asyncio.sleep(0.02)
    pytest.fail('condition was not met in time')


async def test_gossip_over_sockets():
    """Covers joining, notices, malformed datagrams and leaving."""
    ports = free_ports(3)
    tasks = [
        _gossip_task.GossipTask(
            incarnation_id=f'r{index}~1',
            data_centre='dc',
            host='127.0.0.1',
            port=port,
            operator_port=0,
            seeds=[('127.0.0.1', ports[0])],
            rng=random.Random(index),
        )
        for index, port in enumerate(ports)
    ]
    running = [asyncio.create_task(task.run()) for task in tasks]
    await until(lambda: all(len(task.live()) == 2 for task in tasks))
    notices = []
    tasks[2].endpoint_notices.subscribe(notices.append)
    tasks[0].announce_endpoint('e1', 0)
    tasks[0].announce(manifest_version=4, ready=True)
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        sender.sendto(b'\x00nonsense', ('127.0.0.1', ports[1]))
    await until(
        lambda: (
            notices
            and any(m.ready for m in tasks[2].live())
            and tasks[1].malformed_datagrams == 1
        )
    )
    assert [notice.endpoint for notice in notices] == ['e1']
    assert {m.manifest_version for m in tasks[2].live()} == {0, 4}
    await tasks[1].leave()
    await until(lambda: tasks[0].is_lost('r1~1'))
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


async def test_live_members_follow_changes():
    """Guards against a stale cached result that includes a lost member."""
    task = _gossip_task.GossipTask(
        incarnation_id='r0~1',
        data_centre='dc',
        host='127.0.0.1',
        port=1,
        operator_port=0,
        seeds=[],
    )
    member = Member(
        'r1~1', 'r1', 'dc', '127.0.0.1', 2, 0, 1, True, MemberState.ALIVE
    )
    dead = dataclasses.replace(member, state=MemberState.DEAD)
    assert task.live() == ()
    task.members.on_next((member,))
    assert task.live() == task.live() == (member,)
    task.members.on_next((dead,))
    assert task.live() == ()
