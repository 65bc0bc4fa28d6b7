"""Log, servers and routers in one process, and a client for callers."""

import asyncio
import contextlib
import os

from basilpond.node import DecisionLog
from basilpond.node import LogTimeoutError
from basilpond.node import Node
from basilpond.node import NodeSettings
from basilpond.platform import JsonPlatformCodec
from basilpond.platform import PlatformLog
from basilpond_testkit._fleet import free_ports
from basilpond_testkit.platform_configuration import PROMPT
from basilpond_testkit.platform_configuration import configuration
from basilpond_testkit.platform_configuration import route as route
from basilpond_testkit.platform_stand_in import HOST
from basilpond_testkit.platform_stand_in import LogStandIn
from basilpond_testkit.platform_stand_in import ServerStandIn


class Reply:
    """Response that a caller received."""

    def __init__(self, data):
        head, _, self.body = data.partition(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        self.status = int(lines[0].split()[1]) if lines[0] else None
        self.headers = {
            name.lower(): value
            for name, _, value in (line.partition(': ') for line in lines[1:])
        }
        self.events = self.body.count(b'data: ')
        # Software versions that the events show.
        self.versions = {
            line.removeprefix(b'version: ').decode()
            for line in self.body.split(b'\n')
            if line.startswith(b'version: ')
        }
        self.complete = self.body.endswith(b'0\r\n\r\n') or (
            len(self.body) == int(self.headers.get('content-length', -1))
        )


class CuttableLog(PlatformLog):
    """Log client of a router that can be cut off from the log."""

    is_cut = False

    async def _request(self, *args, **kwargs):
        if self.is_cut:
            await asyncio.sleep(0.05)
            raise LogTimeoutError('cut off')
        response = await super()._request(*args, **kwargs)
        if self.is_cut:
            raise LogTimeoutError('cut off')
        return response


class World:
    """Log, servers and routers of one test."""

    def __init__(self):
        self.log = LogStandIn()
        self.servers = {}
        self.nodes = []
        # Log clients of the routers by name.
        self.logs = {}
        # Ports by name of the router.
        self.peer_ports = {}
        self.ids = 0
        # Time in which evacuations must be in force, if there are any.
        self.evacuate_s = None
        self.admission_control = False
        # Log lines are discarded.
        self.sink = os.open(os.devnull, os.O_WRONLY)

    async def start(
        self,
        config=None,
        *,
        nodes=1,
        apps=2,
        models=2,
        evacuate_s=None,
        admission_control=False,
        data_centres=('dc',),
    ):
        self.evacuate_s = evacuate_s
        self.admission_control = admission_control
        await self.log.start()
        for service, count in (('app', apps), ('llm', models)):
            for i in range(count):
                server = ServerStandIn(f'{service}-{i}', service)
                await server.start()
                self.servers[server.server_id] = server
                self.log.put('keyed.servers', server.server_id, server.entry())
        self.log.put('keyed.op', 'config', config or configuration())
        for i in range(nodes):
            data_centre = data_centres[i % len(data_centres)]
            await self.add_node(f'node-{i}', data_centre)
        await self.until(lambda: all(node.is_ready() for node in self.nodes))

    def make_log(self, address):
        """Return the log client of a further router."""
        return CuttableLog(address)

    async def add_node(self, name, data_centre='dc'):
        # Separate calls may return the same port twice.
        callers, ready, peer, metrics = free_ports(4)
        settings = NodeSettings(
            node_id=name,
            host=HOST,
            data_centre=data_centre,
            caller_address=(HOST, callers),
            ready_address=(HOST, ready),
            store_address=(HOST, self.log.port),
            peer_port=peer,
            metrics_port=metrics,
            store_writes_per_s=800,
            store_reads_per_s=2000,
            store_partitions=24,
            stop_grace_s=8.0,
            drain_s=2.0,
            retry_share=0.2,
            retry_slack=56.0,
            retry_window_s=10.0,
            prompt_reuse_s=10.0,
            is_first_start=not self.logs,
            evacuate_s=self.evacuate_s,
            admission_control=self.admission_control,
            preview=True,
        )
        decisions = DecisionLog(name, fd=self.sink)
        self.peer_ports[name] = peer
        log = self.logs[name] = self.make_log(settings.store_address)
        node = Node(settings, JsonPlatformCodec(), log, decisions)
        await node.start()
        self.nodes.append(node)
        return node

    async def add_server(self, server_id, service='llm', **attributes):
        server = ServerStandIn(server_id, service)
        for name, value in attributes.items():
            setattr(server, name, value)
        await server.start()
        self.servers[server_id] = server
        self.log.put('keyed.servers', server_id, server.entry())
        return server

    def remove_server(self, server_id):
        """End a server, and its entry with it."""
        self.servers.pop(server_id).stop()
        self.log.put('keyed.servers', server_id, None)

    def kill(self, node):
        """Stop a router without cleanup, as SIGKILL does."""
        self.nodes.remove(node)
        node.stop_immediately()

    async def call(
        self, path, *, method='GET', key='key', node=0, headers=(), body=b''
    ):
        """Send one request on a separate connection."""
        reader, writer = await self.open(
            path, method=method, key=key, node=node, headers=headers, body=body
        )
        data = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
        return Reply(data)

    async def open(
        self, path, *, method='GET', key='key', node=0, headers=(), body=b''
    ):
        self.ids += 1
        fields = [
            ('Host', 'h.example'),
            ('X-Request-Id', f'{self.ids:x}'),
            ('Connection', 'close'),
            *headers,
        ]
        if 'X-Deadline-Ms' not in dict(headers):
            fields.append(('X-Deadline-Ms', '4000'))
        if key is not None:
            fields.append(('Authorization', f'Bearer {key}'))
        if body:
            fields.append(('Content-Length', str(len(body))))
        address = self.nodes[node].caller_address
        reader, writer = await asyncio.open_connection(*address)
        lines = ''.join(f'{name}: {value}\r\n' for name, value in fields)
        head = f'{method} {path} HTTP/1.1\r\n{lines}\r\n'
        writer.write(head.encode() + body)
        return reader, writer

    async def prompt(self, path='/chat/x', **kwargs):
        return await self.call(
            path,
            method='POST',
            headers=kwargs.pop('headers', PROMPT),
            body=kwargs.pop('body', b'{}'),
            **kwargs,
        )

    async def until(self, condition, timeout_s=5.0):
        async with asyncio.timeout(timeout_s):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def runs(self, service):
        return sum(
            len(server.requests)
            for server in self.servers.values()
            if server.service == service
        )


@contextlib.asynccontextmanager
async def world(config=None, *, world_type=World, **kwargs):
    system = world_type()
    try:
        await system.start(config, **kwargs)
        yield system
    finally:
        for node in list(system.nodes):
            system.kill(node)
        for server in system.servers.values():
            server.stop()
        system.log.stop()
        os.close(system.sink)
