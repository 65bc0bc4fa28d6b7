"""Connections from callers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import httptools

from . import _fields

# A caller that has not read this much of its answers is cut off before the
# next one; answers of the sites are a few kilobytes. Streams wait for their
# callers long before.
MAX_UNREAD_BYTES = 4 * 1024 * 1024
# Time to let a refused caller read the refusal before the connection closes.
LINGER_S = 0.5


@dataclasses.dataclass(slots=True)
class ConnectionLimits:
    """Bounds on what a caller may send.

    Parameters
    ----------
    header_bytes, body_bytes : int
    header_timeout_s : float
        From the first byte of a request to the last of its head.
    idle_timeout_s : float
        Between two requests of a connection, and between parts of a body.
    """

    header_bytes: int = 65_536
    body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request that was read whole.

    Parameters
    ----------
    method, target : bytes
        As sent; the target is path and query.
    headers : list of (bytes, bytes)
        Names in lower case.
    body : bytes
    started_s, received_s : float
        Loop time of the first and of the last byte.
    """

    method: bytes
    target: bytes
    headers: list[_fields.Header]
    body: bytes
    started_s: float
    received_s: float


class Responder:
    """Answer to one request; each method writes at once."""

    __slots__ = ('_chunked', '_connection', 'ended', 'started', 'status')

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._chunked = False
        self.started = False
        self.ended = False
        self.status = 0

    def respond(
        self,
        status: int,
        headers: Iterable[_fields.Header] = (),
        body: bytes = b'',
    ) -> None:
        """Send a whole answer."""
        self._start(status)
        fields = [*headers, (b'content-length', b'%d' % len(body))]
        self._connection.write(self._head(status, fields) + body)
        self.ended = True

    def start_stream(
        self, status: int, headers: Iterable[_fields.Header]
    ) -> None:
        """Send the head of an answer of unknown length."""
        self._start(status)
        self._chunked = True
        fields = [*headers, (b'transfer-encoding', b'chunked')]
        self._connection.write(self._head(status, fields))

    def send(self, data: bytes) -> None:
        """Send a part of a stream."""
        if data:
            self._connection.write(b'%x\r\n%s\r\n' % (len(data), data))

    async def drain(self) -> None:
        """Wait until the caller has read most of what was sent."""
        await self._connection.drain()

    @property
    def is_congested(self) -> bool:
        """Whether the caller reads more slowly than it is sent to."""
        return self._connection.is_congested

    def end_stream(self) -> None:
        """Mark the stream as complete."""
        self._connection.write(b'0\r\n\r\n')
        self.ended = True

    def abort(self) -> None:
        """Close without the end of the answer, so that it looks cut."""
        self._connection.abort()
        self.ended = True

    def _start(self, status: int) -> None:
        assert not self.started, 'answer started twice'
        self.started = True
        self.status = status

    def _head(self, status: int, fields: list[_fields.Header]) -> bytes:
        if not self._connection.keeps_open():
            fields.append((b'connection', b'close'))
        return _fields.status_line(status) + _fields.encode_fields(fields)


Handler = Callable[[CallerRequest, Responder], Awaitable[None]]


class CallerServer:
    """Owner of all connections of one listener.

    Parameters
    ----------
    handler : callable
        Called with each whole request. It is cancelled when the caller
        closes its connection.
    limits : ConnectionLimits
        Shared and replaced by assignment when the configuration changes.
    on_reject : callable
        Called with status and reason of a request refused while it was read.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ConnectionLimits,
        on_reject: Callable[[int, str], None],
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.on_reject = on_reject
        self.stopping = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024
        )

    @property
    def active(self) -> int:
        """Number of requests that are being answered."""
        return sum(c.busy for c in self.connections)

    def announce_stop(self) -> None:
        """Ask callers to close after their next answer."""
        self.stopping = True

    def close_listener(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Close the listener and all connections at once."""
        self.close_listener()
        for connection in list(self.connections):
            connection.abort()

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in list(self.connections):
            if not connection.busy:
                connection.close()


class CallerConnection(asyncio.Protocol):
    """One connection; requests are answered one after the other."""

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._queued_requests: list[CallerRequest] = []
        self._lingering = False
        self._keep_alive = True
        self._rejection: tuple[int, str] | None = None
        # Whether much waits to be written.
        self.is_congested = False
        self._drained: asyncio.Future[None] | None = None
        self._reset()

    def _reset(self) -> None:
        self._target = b''
        self._headers: list[_fields.Header] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._started_s = 0.0
        self._reading = False

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the wait for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._set_timer(self._server.limits.idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._server.connections.discard(self)
        self._set_timer(None)
        self.resume_writing()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller reads slowly."""
        self.is_congested = True

    def resume_writing(self) -> None:
        """Note that the caller has read most of what was sent."""
        self.is_congested = False
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._lingering:
            return
        if not self._reading:
            self._start_request()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._rejection = (400, 'upgrade requested')
        except httptools.HttpParserError as error:
            if self._rejection is None:
                self._rejection = (400, str(error))
        if self._rejection is not None:
            self._reject()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a request."""
        if not self._reading:
            self._start_request()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field."""
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Check the framing."""
        if self._parser.get_http_version() not in ('1.1', '1.0'):
            self._rejection = (400, 'unknown protocol version')
        codings = _fields.find_all(self._headers, b'transfer-encoding')
        lengths = _fields.find_all(self._headers, b'content-length')
        if len(_fields.find_all(self._headers, b'host')) != 1:
            self._rejection = (400, 'needs exactly one Host field')
        if len(lengths) > 1 or (lengths and codings):
            self._rejection = (400, 'length given twice')
        if codings and (len(codings) > 1 or codings[0].lower() != b'chunked'):
            self._rejection = (400, 'unknown transfer coding')
        declared = int(lengths[0]) if lengths and lengths[0].isdigit() else 0
        if declared > self._server.limits.body_bytes:
            self._rejection = (413, 'body too large')
        self._set_timer(self._server.limits.idle_timeout_s)
        expected = _fields.find(self._headers, b'expect')
        if self._rejection is None and expected is not None:
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits.body_bytes:
            self._rejection = (413, 'body too large')
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Hand over the request."""
        if self._rejection is not None:
            return
        request = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._body),
            self._started_s,
            self._loop.time(),
        )
        if not self._parser.should_keep_alive():
            self._keep_alive = False
        self._reset()
        self._set_timer(None)
        if self._task is None:
            self._handle(request)
        else:
            self._queued_requests.append(request)

    # Answers.

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._task is not None or self._reading

    def keeps_open(self) -> bool:
        """Whether the connection stays open after the current answer."""
        return self._keep_alive and not self._server.stopping

    def write(self, data: bytes) -> None:
        """Write without waiting for the caller to read."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self._transport.abort()
            return
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until little waits to be written."""
        if self.is_congested:
            self._drained = self._loop.create_future()
            await self._drained

    def close(self) -> None:
        """Close after what was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def _start_request(self) -> None:
        self._reading = True
        self._started_s = self._loop.time()
        self._set_timer(self._server.limits.header_timeout_s)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._rejection = (431, 'header too large')

    def _handle(self, request: CallerRequest) -> None:
        responder = Responder(self)
        self._task = self._loop.create_task(self._run(request, responder))

    async def _run(self, request: CallerRequest, responder: Responder) -> None:
        try:
            await self._server.handler(request, responder)
        finally:
            self._task = None
            if not responder.ended:
                self.abort()
        if not self.keeps_open():
            self.close()
        elif self._queued_requests:
            self._handle(self._queued_requests.pop(0))
        elif not self._reading:
            self._set_timer(self._server.limits.idle_timeout_s)

    def _reject(self) -> None:
        assert self._rejection is not None
        status, reason = self._rejection
        self._lingering = True
        self._server.on_reject(status, reason)
        if self._task is None:
            self._keep_alive = False
            Responder(self).respond(status)
        self._set_timer(LINGER_S)

    def _set_timer(self, delay_s: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_s is not None:
            self._timer = self._loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._lingering or not self._reading:
            self.close()
            return
        self._rejection = (408, 'request was not sent in time')
        self._reject()
