"""Endpoints that send given bytes as responses and end their connections."""

import asyncio
import contextlib
import ipaddress
import os
import socket
import struct

from basilpond.node.tests.platform_world import world

# Loopback address of this process. Other processes on the machine send to
# ports of 127.0.0.1 that were closed meanwhile; where an endpoint had such a
# port, their request would take a response of its plan.
HOST = str(ipaddress.IPv4Address('127.64.0.0') + os.getpid())


class CuttingEndpoint:
    """Sends the responses of `plan` in turn and ends each connection.

    Parameters
    ----------
    plan : list of (bytes, str or None)
        Response, `%s` is the id of the request, and end of the connection; no
        end keeps the connection. An 'early reset' comes after an end of the
        sending side, and neither waits for the body of the request. The last
        one is for all further requests. Endpoints may share a plan.
    """

    def __init__(self, plan):
        self._plan = plan
        self._server = None
        self._tasks = set()
        # Targets of the requests.
        self.targets = []

    @property
    def requests(self):
        return len(self.targets)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with (
            contextlib.closing(writer),
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = dict(
                    line.lower().split(b': ', 1)
                    for line in head.split(b'\r\n')[1:-2]
                )
                response, end = self._plan[0]
                del self._plan[: len(self._plan) > 1]
                if end != 'early reset':
                    size = int(fields.get(b'content-length', 0))
                    await reader.readexactly(size)
                self.targets.append(head.split(b' ', 2)[1].decode())
                request_id = fields[b'x-request-id']
                await self._send(writer, response.replace(b'%s', request_id))
                if end is not None:
                    await self._end(writer, end)
                    return

    async def _send(self, writer, response):
        # The router receives the response in several segments.
        for start in range(0, len(response), 41):
            writer.write(response[start : start + 41])
            await asyncio.sleep(0.001)

    async def _end(self, writer, end):
        # The router reads what was sent before the end arrives.
        await asyncio.sleep(0.02)
        if end == 'early reset':
            writer.write_eof()
            await asyncio.sleep(0.1)
        if end.endswith('reset'):
            linger = struct.pack('ii', 1, 0)
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


@contextlib.asynccontextmanager
async def cutting_world(service, *plans, config=None):
    """Start a router whose endpoints of a service follow plans."""
    endpoints = [CuttingEndpoint(plan) for plan in plans]
    counts = {'apps': 1, 'models': 1}
    counts['apps' if service == 'app' else 'models'] = len(plans)
    async with world(config, **counts) as system:
        try:
            ports = {}
            for number, endpoint in enumerate(endpoints):
                name = f'{service}-{number}'
                ports[name] = await endpoint.start()
                entry = system.servers[name].entry(
                    address=f'{HOST}:{ports[name]}', seq=2
                )
                system.log.put('keyed.servers', name, entry)
            directory = system.nodes[0].directory
            await system.until(
                lambda: all(
                    directory.find(name).pool.port == port
                    for name, port in ports.items()
                )
            )
            yield system, endpoints
        finally:
            for endpoint in endpoints:
                await endpoint.stop()
