"""Stand-ins for the users' platform: its log and its servers.

They speak the published forms over loopback sockets and misbehave on
request, so that failures found on the users' bench become tests without it.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
import json
import struct
from typing import Any
from urllib.parse import parse_qs

from basilpond.http1 import CallerRequest
from basilpond.http1 import CallerServer
from basilpond.http1 import ConnectionLimits
from basilpond.http1 import Responder
from basilpond.http1 import find
from basilpond.platform import encode_keyed_record

from .log_contents import FencedError
from .log_contents import LogContents
from .log_contents import SequenceError

HOST = '127.0.0.1'
SLOW_S = 0.1
FALL_S = 2.0


class _Listener:
    def __init__(self) -> None:
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port, or on the previous one after a stop."""
        self._server = CallerServer(
            self.handle, ConnectionLimits(), lambda status, reason: None
        )
        self._server._server = await asyncio.get_running_loop().create_server(
            lambda: _connection(self._server), HOST, self.port
        )
        self.port = self._server._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close_listener()
        for connection in list(self._server.connections):
            connection.abort()

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Answer a request."""
        raise NotImplementedError


def _connection(server: CallerServer) -> asyncio.Protocol:
    from basilpond.http1._connection import CallerConnection

    return CallerConnection(server)


class LogStandIn(_Listener):
    """The platform's log; appends of producers go to partition 0.

    `mode` is `ok`, `silent` (no answer), `busy` (503), `lost` (executes and
    does not answer) or `late` (executes when it is `ok` again). Responses with
    records of `stalled_topics` stop after the end of the topic that they name.
    """

    def __init__(self) -> None:
        super().__init__()
        self.mode = 'ok'
        self.stalled_topics: set[str] = set()
        self.contents = LogContents()
        self.topics = self.contents.topics
        self.first: dict[str, int] = {}
        self.calls = 0
        self._late: list[tuple[dict[str, str], bytes]] = []
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a record as the operator or a server does."""
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self._extend(topic, [(key, None if value is None else data)])

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest record of each key."""
        return {k: v for k, (_, v) in self.contents.newest(topic).items()}

    def trim(self, topic: str) -> None:
        """Forget all records but the newest of each key."""
        self.first[topic] = len(self.topics.get(topic, []))

    def resume(self, topic: str) -> None:
        """Send the records of a stalled topic."""
        self.stalled_topics.discard(topic)
        self._notify_readers()

    def recover(self) -> None:
        """Answer again, and execute what was late."""
        self.mode = 'ok'
        for query, body in self._late:
            self._append(query, body)
        self._late.clear()

    def restore(self, age_s: float) -> None:
        """Come back from a copy that is some seconds old.

        What was written since is lost, and offsets and sequence numbers are
        given out again. `put` writes again what operators and servers wrote.
        """
        self.contents.restore(asyncio.get_running_loop().time() - age_s)
        for topic, first in self.first.items():
            self.first[topic] = min(first, len(self.topics.get(topic, [])))
        self.mode = 'ok'

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Answer a call."""
        self.calls += 1
        path, _, text = request.target.decode().partition('?')
        query = {k: v[0] for k, v in parse_qs(text).items()}
        if self.mode == 'busy':
            self._respond(responder, 503, {})
            return
        name = path.rpartition('/')[2]
        if self.mode in ('silent', 'lost', 'late'):
            if name == 'log-append' and self.mode == 'lost':
                self._append(query, request.body)
            if name == 'log-append' and self.mode == 'late':
                self._late.append((query, request.body))
            await asyncio.sleep(3600)
        if name == 'log-append':
            self._respond(responder, *self._append(query, request.body))
        elif name == 'log-newest':
            while query['topic'] in self.stalled_topics:
                await self._changed.wait()
            self._respond(responder, 200, self._newest_page(query))
        else:
            await self._read(query, responder)

    def _extend(
        self, topic: str, records: list[tuple[str, bytes | None]]
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self.contents.extend(topic, records, now_s)
        self._notify_readers()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _append(self, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        if 'producer' not in query:
            topic = _partition_name(query)
            self._extend(topic, list(_parse_keyed(body)))
            return 200, {'end': len(self.topics[topic])}
        try:
            offset = self.contents.append(
                query['topic'],
                list(_parse_keyed(body)),
                producer=query['producer'],
                epoch=int(query['epoch']),
                sequence=int(query['seq']),
                now_s=asyncio.get_running_loop().time(),
            )
        except FencedError:
            return 409, {'reason': 'fenced'}
        except SequenceError as error:
            return 409, {'reason': 'seq', 'seq': error.expected}
        self._notify_readers()
        return 200, {'offset': offset}

    def _newest_page(self, query: dict[str, str]) -> Any:
        log = self.topics.get(query['topic'], [])
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in self.contents.newest(
                query['topic']
            ).items()
        ]
        return {'items': items, 'has_more': False, 'end': len(log)}

    async def _read(self, query: dict[str, str], responder: Responder) -> None:
        topic = _partition_name(query)
        start = int(query['from'])
        if start < self.first.get(topic, 0):
            self._respond(responder, 410, {'first': self.first[topic]})
            return
        log = self.topics.setdefault(topic, [])
        if start > len(log):
            self._respond(responder, 410, {'first': self.first.get(topic, 0)})
            return
        if len(log) <= start:
            wait_s = int(query.get('wait_ms', '0')) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    while len(log) <= start:
                        await self._changed.wait()
            except TimeoutError:
                pass
        if self.mode != 'ok':
            await asyncio.sleep(3600)
        records = b''.join(
            encode_keyed_record(key, value or b'')
            for key, value in log[start:]
        )
        head = struct.pack('>QQ', len(log), 0)
        if not records or topic not in self.stalled_topics:
            responder.respond(200, [self._era_field()], head + records)
            return
        responder.start_stream(200, [self._era_field()])
        responder.send(head)
        while topic in self.stalled_topics:
            await self._changed.wait()
        responder.send(records)
        responder.end_stream()

    def _respond(self, responder: Responder, status: int, body: Any) -> None:
        fields = [(b'content-type', b'application/json'), self._era_field()]
        responder.respond(status, fields, json.dumps(body).encode())

    def _era_field(self) -> tuple[bytes, bytes]:
        return b'store-era', b'%d' % self.contents.era


def _partition_name(query: dict[str, str]) -> str:
    # Partition 0 is found under the name of its topic.
    part = int(query.get('part', '0'))
    return f'{query["topic"]}/{part}' if part else query['topic']


def _parse_keyed(body: bytes):
    while body:
        (size,) = struct.unpack_from('>I', body)
        content, body = body[4 : 4 + size], body[4 + size :]
        end = 1 + content[0]
        yield content[1:end].decode(), content[end:] or None


class ServerStandIn(_Listener):
    """A model or application server.

    `mode` is `ok`, `break` (resets after `break_after` events, or at once),
    `drip` (stalls after `break_after` events, but sends a byte of the next one
    now and then), `unframed` (a response without length or chunks, which ends
    with its connection, within the event after `break_after` if there is
    one), `hang`, `fail` (500), `busy` (503 that does not say whether
    it was run), `shed` (refuses unread), `moved` (421), `unsigned`, `twice`
    (sends its answer again), `truncate` (resets within its answer) or `slow`
    (answers after SLOW_S).

    A request with one of `crashing_parts` in its prompt, not counting the last
    part, ends the server as its answer begins; `on_crash` is called then.
    With `limit_per_s`, its answers name the requests a second that it takes
    from all callers. With `leaving`, all of them say that it leaves, and with
    `retry_after`, those of status 503 say for how many seconds, or until when,
    it wants no requests. `extra_fields` are added to all answers.

    With `queue_room`, at most `slots` requests run at a time and as many wait;
    further ones are rejected unread. With `brittle`, all answers say that it
    survives as many rejections in a second; at one more it ends, and starts
    again FALL_S later.
    """

    def __init__(self, server_id: str, service: str, *, events: int = 6):
        super().__init__()
        self.server_id = server_id
        self.service = service
        self.events = events
        self.slots = 6
        # None for an endpoint that runs all requests at once.
        self.queue_room: int | None = None
        self.brittle: int | None = None
        self.falls = 0
        # Times of the event loop at which requests were rejected.
        self.rejected_s: list[float] = []
        self.born = 1_781_071_529_128
        # Called when it has started again after a fall.
        self.on_return: Callable[[ServerStandIn], None] = lambda server: None
        self._present = 0
        self._down = False
        self._free_slots = asyncio.Semaphore(self.slots)
        self._fall_task: asyncio.Task[None] | None = None
        # Of its software; its streams show it.
        self.version = 'v1'
        self.mode = 'ok'
        self.break_after = 0
        self.event_gap_s = 0.002
        # Time from the arrival of a prompt to its first event.
        self.prefill_s = 0.0
        # Time from the arrival of any other request to its answer.
        self.work_s = 0.0
        self.limit_per_s: float | None = None
        self.leaving = False
        self.retry_after: str | None = None
        self.extra_fields: list[tuple[bytes, bytes]] = []
        # Times of the event loop at which requests arrived.
        self.arrived_s: list[float] = []
        self.crashing_parts: set[int] = set()
        self.crashes = 0
        self.on_crash: Callable[[ServerStandIn], None] = lambda server: None
        self.requests: list[CallerRequest] = []
        self.ended: list[str] = []

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the server's entry in the log."""
        return {
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': 'dc',
            'version': self.version,
            'slots': self.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
            'born': self.born,
            **changes,
        }

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Run a request."""
        self.arrived_s.append(asyncio.get_running_loop().time())
        request_id = find(request.headers, b'x-request-id') or b''
        fields = [(b'x-request-id', request_id)]
        if self.mode == 'shed':
            fields += [(b'x-not-executed', b'1'), *self._own_fields(503)]
            responder.respond(503, fields)
            return
        if (
            self.queue_room is not None
            and self._present >= self.slots + self.queue_room
        ):
            fields += [(b'x-not-executed', b'1'), *self._own_fields(503)]
            responder.respond(503, fields)
            self._count_rejection()
            return
        if self.mode == 'moved':
            fields += [(b'x-instance-id', b'other'), *self._own_fields(421)]
            responder.respond(421, fields)
            return
        self.requests.append(request)
        self._present += 1
        try:
            if self.queue_room is None:
                await self._run(request, responder)
            else:
                async with self._free_slots:
                    await self._run(request, responder)
            self.ended.append('whole')
        except asyncio.CancelledError:
            self.ended.append('cancelled')
            raise
        finally:
            self._present -= 1

    def _count_rejection(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self.rejected_s.append(now_s)
        recent = sum(now_s - at_s < 1.0 for at_s in self.rejected_s)
        if (
            self.brittle is not None
            and recent > self.brittle
            and not self._down
        ):
            self._down = True
            self.falls += 1
            self.stop()
            self._fall_task = asyncio.create_task(self._return())

    async def _return(self) -> None:
        await asyncio.sleep(FALL_S)
        await self.start()
        self._down = False
        self.rejected_s.clear()
        self.born += 1
        self.on_return(self)

    def _own_fields(self, status: int) -> list[tuple[bytes, bytes]]:
        fields = list(self.extra_fields)
        if self.limit_per_s is not None:
            fields.append((b'server-limit', b'%.1f' % self.limit_per_s))
        if self.brittle is not None:
            fields.append((b'server-brittle', b'%d' % self.brittle))
        if self.leaving:
            fields.append((b'server-leaving', b'1'))
        if status == 503 and self.retry_after is not None:
            fields.append((b'retry-after', self.retry_after.encode()))
        return fields

    async def _run(self, request: CallerRequest, responder: Responder) -> None:
        request_id = find(request.headers, b'x-request-id') or b''
        status = {'fail': 500, 'busy': 503}.get(self.mode, 200)
        fields = [(b'x-request-id', request_id), *self._own_fields(status)]
        if self.mode != 'unsigned':
            fields.append((b'x-response-stamp', b'stamp-%s' % request_id))
        if self.mode == 'hang':
            await asyncio.sleep(3600)
        if status != 200:
            responder.respond(status, fields, b'failed')
            return
        if find(request.headers, b'x-token-count') is None:
            if self.mode == 'break':
                responder.abort()
                return
            if self.mode == 'slow':
                await asyncio.sleep(SLOW_S)
            if self.mode == 'truncate':
                responder.start_stream(200, fields)
                responder.send(b'answer')
                await asyncio.sleep(0.01)
                responder.abort()
                return
            await asyncio.sleep(self.work_s)
            responder.respond(200, fields, b'answer ' + request_id)
            if self.mode == 'twice':
                Responder(responder._connection).respond(
                    200, fields, b'answer ' + request_id
                )
            return
        await self._stream(request, responder, fields)

    async def _stream(
        self,
        request: CallerRequest,
        responder: Responder,
        fields: list[tuple[bytes, bytes]],
    ) -> None:
        first = int(find(request.headers, b'last-event-id') or b'0') + 1
        await asyncio.sleep(self.prefill_s)
        if not self.crashing_parts.isdisjoint(_shared_parts(request)):
            self.crashes += 1
            self.stop()
            self.on_crash(self)
            return
        fields.append((b'content-type', b'text/event-stream'))
        if self.mode == 'unframed':
            await self._stream_unframed(responder, fields, first)
            return
        responder.start_stream(200, fields)
        for i in range(first, self.events + 1):
            if self.mode == 'break' and i > self.break_after:
                responder.send(b'id: %d\nda' % i)
                await asyncio.sleep(0.01)
                responder.abort()
                return
            if self.mode == 'drip' and i > self.break_after:
                responder.send(b'id: %d\ndata: ' % i)
                while True:
                    await asyncio.sleep(0.2)
                    responder.send(b'e')
            responder.send(self._event(i))
            await asyncio.sleep(self.event_gap_s)
        responder.end_stream()

    def _event(self, number: int) -> bytes:
        # Clients ignore the second field.
        version = self.version.encode()
        return b'id: %d\nversion: %s\ndata: e%d\n\n' % (
            number,
            version,
            number,
        )

    async def _stream_unframed(
        self,
        responder: Responder,
        fields: list[tuple[bytes, bytes]],
        first: int,
    ) -> None:
        connection = responder._connection
        lines = b''.join(b'%s: %s\r\n' % field for field in fields)
        connection.write(b'HTTP/1.1 200 OK\r\n' + lines + b'\r\n')
        for i in range(first, self.events + 1):
            if self.break_after and i > self.break_after:
                connection.write(b'id: %d\nda' % i)
                break
            connection.write(self._event(i))
            await asyncio.sleep(self.event_gap_s)
        responder.ended = True
        connection.close()


def _shared_parts(request: CallerRequest) -> list[int]:
    prefix = find(request.headers, b'x-prompt-prefix') or b''
    parts = [item.partition(b':')[0] for item in prefix.split(b',') if item]
    return [int(part, 16) for part in parts[:-1]]
