"""Routers that are cut off from all endpoints, over loopback sockets.

Callers, the log and the other routers still reach them.
"""

import asyncio
import contextlib
import ctypes
import dataclasses
import json
import os
import socket
import struct

from basilpond.node.tests.cutting_endpoints import HOST
from basilpond.node.tests.platform_world import PROMPT
from basilpond.node.tests.platform_world import CuttableLog
from basilpond.node.tests.platform_world import Reply
from basilpond.node.tests.platform_world import World
from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import world

# Kinds of cut. Open connections and new ones are
# - refuse: reset, and refused;
# - reset: reset, and reset as soon as they are accepted;
# - silent: without any segment, acknowledgements included, and without a
#   response to the first segment;
# - refuse new: usable, and refused.
CUTS = ('refuse', 'reset', 'silent', 'refuse new')
# Routes of `configuration`: safe, unsafe, resumable stream, other stream.
PATHS = ('/look/', '/claim/', '/chat/', '/digest/')
DATA_CENTRES = ('dc-a', 'dc-a', 'dc-b', 'dc-b')
_SERVERS_TOPIC = 'keyed.servers'
# Of <asm-generic/socket.h>, on x86-64 and arm64.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
# A packet filter of one instruction, "return 0": the kernel drops each segment
# before TCP sees it.
_DROP_ALL = ctypes.create_string_buffer(struct.pack('HBBI', 6, 0, 0, 0))
_DROP_ALL_PROGRAM = struct.pack('@HP', 1, ctypes.addressof(_DROP_ALL))


def _drop_incoming(sock):
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, _DROP_ALL_PROGRAM)


def _take_incoming(sock):
    sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)


def _reset(writer):
    with contextlib.suppress(OSError):
        # Closed already if it fails.
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class Gate:
    """Forwards the connections of one router to one endpoint, unless cut.

    A silent cut differs from one in a network in that the endpoint's side of
    a connection stays open and acknowledges, so that an endpoint that sends
    into the cut sees no error. What was held up is delivered after the cut.

    Parameters
    ----------
    target : (str, int)
        Address of the endpoint.
    """

    def __init__(self, target):
        self.target = target
        self.cut = None
        # Connections that the router opened, requests that it sent.
        self.connects = 0
        self.requests = 0
        self._server = None
        self._listener = None
        # Pairs of writers, to the router and to the endpoint.
        self._pairs = set()
        self._tasks = set()
        self._passing = asyncio.Event()
        self._passing.set()
        # Keeps the port while nothing listens.
        self._reservation = self._bind(0)
        self.port = self._reservation.getsockname()[1]

    def _bind(self, port):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, port))
        return sock

    async def start(self):
        if self._server is None:
            self._listener = self._bind(self.port)
            self._server = await asyncio.start_server(
                self._serve, sock=self._listener
            )

    def _stop_listening(self):
        if self._server is not None:
            self._server.close()
            self._server = None

    async def set_cut(self, kind):
        """Begin a cut of one of the kinds, or end it with None."""
        previous, self.cut = self.cut, kind
        if previous == 'silent':
            _take_incoming(self._listener)
            for sock in self._router_sockets():
                _take_incoming(sock)
            self._passing.set()
        if kind in ('refuse', 'refuse new'):
            self._stop_listening()
        else:
            await self.start()
        if kind in ('refuse', 'reset'):
            self._reset_connections()
        if kind == 'silent':
            self._passing.clear()
            for sock in (self._listener, *self._router_sockets()):
                _drop_incoming(sock)

    async def stop(self):
        self._stop_listening()
        self._reservation.close()
        # Both ends of each connection end, and its task with them.
        self._passing.set()
        self._reset_connections()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _router_sockets(self):
        sockets = (w.get_extra_info('socket') for w, _ in self._pairs)
        return [sock for sock in sockets if sock.fileno() >= 0]

    def _reset_connections(self):
        for pair in self._pairs:
            for writer in pair:
                _reset(writer)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.connects += 1
        if self.cut is not None and self.cut != 'refuse new':
            # Accepted as the cut began.
            _reset(writer)
            return
        try:
            from_endpoint, to_endpoint = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            _reset(writer)
            return
        pair = (writer, to_endpoint)
        self._pairs.add(pair)
        if self.cut is not None and self.cut != 'refuse new':
            for end in pair:
                _reset(end)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(
                    self._forward(reader, to_endpoint, is_request=True)
                )
                tasks.create_task(self._forward(from_endpoint, writer))
        except* ConnectionError:
            for end in pair:
                _reset(end)
        finally:
            self._pairs.discard(pair)
            for end in pair:
                end.close()

    async def _forward(self, reader, writer, *, is_request=False):
        while data := await reader.read(65_536):
            await self._passing.wait()
            if is_request:
                self.requests += data.lower().count(b'\r\nx-request-id: ')
            writer.write(data)
            await writer.drain()
        await self._passing.wait()
        if not writer.is_closing():
            writer.write_eof()


class GatedLog(CuttableLog):
    """Log client of a router that sees gates as addresses of the endpoints."""

    def __init__(self, address):
        super().__init__(address)
        self.gates = {}
        self._cut = None

    async def read(self, topic, *args, **kwargs):
        page = await super().read(topic, *args, **kwargs)
        return await self._rewrite(topic, page)

    async def read_newest(self, topic, *args, **kwargs):
        page = await super().read_newest(topic, *args, **kwargs)
        return await self._rewrite(topic, page)

    async def set_cut(self, kind):
        """Begin a cut from all endpoints, or end it with None."""
        self._cut = kind
        for gate in list(self.gates.values()):
            await gate.set_cut(kind)

    def count_requests(self):
        """Return the number of requests that passed the gates."""
        return sum(gate.requests for gate in self.gates.values())

    def count_connects(self):
        """Return the number of connections that the router opened."""
        return sum(gate.connects for gate in self.gates.values())

    async def _rewrite(self, topic, page):
        if topic != _SERVERS_TOPIC:
            return page
        records = [await self._rewrite_record(r) for r in page.records]
        return dataclasses.replace(page, records=records)

    async def _rewrite_record(self, record):
        if not record.value:
            return record
        entry = json.loads(record.value)
        host, _, port = entry['address'].rpartition(':')
        target = (host, int(port))
        gate = self.gates.get(record.key)
        if gate is None:
            gate = self.gates[record.key] = Gate(target)
            await gate.set_cut(self._cut)
        gate.target = target
        entry['address'] = f'{HOST}:{gate.port}'
        value = json.dumps(entry).encode()
        return dataclasses.replace(record, value=value)


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request at first attempt, and what its caller got."""

    router: int
    path: str
    request_id: str
    sent_s: float
    took_s: float = 0.0
    # None if the caller got no response.
    reply: Reply | None = None

    @property
    def status(self):
        return self.reply and self.reply.status

    @property
    def is_served(self):
        return self.status == 200 and self.reply.complete

    @property
    def retry_after_s(self):
        value = self.reply and self.reply.headers.get('retry-after')
        return float(value) if value else None


def served_share(attempts):
    """Return the share of the attempts that were served."""
    return sum(attempt.is_served for attempt in attempts) / len(attempts)


class CutOffWorld(World):
    """Routers of which each can be cut off from all endpoints."""

    def __init__(self):
        super().__init__()
        os.close(self.sink)
        self.sink = os.memfd_create('decisions')

    def make_log(self, address):
        return GatedLog(address)

    async def cut(self, routers, kind):
        """Begin a cut of some routers, or end it with None."""
        for router in routers:
            await self.logs[f'node-{router}'].set_cut(kind)

    def log_of(self, router):
        return self.logs[f'node-{router}']

    def decisions(self):
        """Return the log lines of all routers."""
        return os.pread(self.sink, os.fstat(self.sink).st_size, 0)

    def used_tokens(self):
        """Return the tokens that the routers billed."""
        return sum(
            used
            for node in self.nodes
            for _, used, _ in node.budgets.allotments.balances().values()
        )

    def counted_runs(self):
        """Return how often each request was run, by its id."""
        counts = {}
        for server in self.servers.values():
            for request in server.requests:
                name = dict(request.headers)[b'x-request-id'].decode()
                counts[name] = counts.get(name, 0) + 1
        return counts

    async def attempt(self, router, path, deadline_ms=4000, *, leaf='x'):
        """Send a request once and return what its caller got.

        Parameters
        ----------
        router : int
        path, leaf : str
            One of PATHS, and the rest of the path.
        deadline_ms : int
        """
        loop = asyncio.get_running_loop()
        result = Attempt(router, path, f'{self.ids + 1:x}', loop.time())
        target = path + leaf
        fields = (('X-Deadline-Ms', str(deadline_ms)),)
        with contextlib.suppress(OSError, TimeoutError):
            if path in ('/chat/', '/digest/'):
                result.reply = await self.prompt(
                    target, node=router, headers=PROMPT + fields
                )
            else:
                result.reply = await self.call(
                    target, node=router, headers=fields
                )
        result.took_s = loop.time() - result.sent_s
        return result

    async def attempts(self, routers, duration_s, interval_s, deadline_ms):
        """Send requests to the routers, on all routes in turn.

        Half of the requests of a route are the same, the others differ.

        Returns
        -------
        list of Attempt
            As soon as all of them have ended.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        tasks = []
        number = 0
        while loop.time() < end_s:
            leaf = 'x' if number // 4 % 2 else f'{number}'
            tasks += [
                asyncio.create_task(
                    self.attempt(
                        router,
                        PATHS[(number + router) % 4],
                        deadline_ms,
                        leaf=leaf,
                    )
                )
                for router in routers
            ]
            number += 1
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*tasks)

    def end_connections(self, port):
        """End the connections at a port, as the kernel does at a SIGKILL."""
        for name in os.listdir('/proc/self/fd'):
            with contextlib.suppress(OSError):
                sock = socket.socket(fileno=os.dup(int(name)))
                with sock:
                    if (
                        sock.type == socket.SOCK_STREAM
                        and sock.family == socket.AF_INET
                        and sock.getsockname()[1] == port
                        and sock.getpeername()
                    ):
                        sock.shutdown(socket.SHUT_RDWR)


@contextlib.asynccontextmanager
async def cut_off_world(config=None, *, nodes=4, **kwargs):
    """Start routers and endpoints in two data centres."""
    tenant = {'name': 'org', 'api_keys': ['key'], 'prepaid': 10_000_000}
    async with world(
        config or configuration(tenants=[tenant]),
        world_type=CutOffWorld,
        nodes=nodes,
        data_centres=DATA_CENTRES,
        **kwargs,
    ) as system:
        try:
            for server_id, server in system.servers.items():
                # Endpoints of each service are in both data centres.
                zone = 'dc-a' if server_id.endswith('0') else 'dc-b'
                entry = server.entry(zone=zone, seq=2)
                system.log.put(_SERVERS_TOPIC, server_id, entry)
            await system.until(
                lambda: all(
                    node.directory.find(name).endpoint.data_centre != 'dc'
                    for node in system.nodes
                    for name in system.servers
                )
            )
            yield system
        finally:
            for log in system.logs.values():
                for gate in log.gates.values():
                    await gate.stop()
