"""Server for callers' connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import httptools

from . import _fields
from ._received import RECEIVED
from ._request_parser import RequestParser
from ._unsent import unsent_bytes

# A caller's connection is closed before the next write when more unread bytes
# than this are buffered for it. Responses of services are a few kilobytes;
# streams are paused by backpressure long before.
MAX_UNREAD_BYTES = 4 * 1024 * 1024
# Time for a caller to read the refusal before the connection is closed.
LINGER_S = 0.5
# Smallest missing part of a body that can be refused before it is received.
# Senders have as much on the way before the first acknowledgement, so refusing
# less would save nothing.
MIN_UPLOAD_BYTES = 16_384


@dataclasses.dataclass(slots=True)
class ConnectionLimits:
    """Limits on the size and timing of callers' requests.

    Parameters
    ----------
    header_bytes, body_bytes : int
    header_timeout_s : float
        From the first byte of a request to the end of its head.
    idle_timeout_s : float
        Between two requests on a connection, and between parts of a body.
    """

    header_bytes: int = 65_536
    body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request that was received completely.

    Parameters
    ----------
    method, target : bytes
        As received; the target consists of path and query.
    headers : list of (bytes, bytes)
        Names in lower case.
    body : bytes
    started_s, received_s : float
        Event loop time of the first and of the last byte.
    """

    method: bytes
    target: bytes
    headers: list[_fields.Header]
    body: bytes
    started_s: float
    received_s: float


@dataclasses.dataclass(slots=True)
class Upload:
    """A request of which a large part of the body is missing.

    Parameters
    ----------
    target : bytes
    headers : list of (bytes, bytes)
        Names in lower case.
    started_s : float
        Event loop time of the first byte.
    received_bytes, missing_bytes : int
        Of the body.
    """

    target: bytes
    headers: list[_fields.Header]
    started_s: float
    received_bytes: int
    missing_bytes: int


@dataclasses.dataclass(slots=True)
class UnansweredClose:
    """A connection that ended before all of its requests were answered.

    Parameters
    ----------
    reason : str
        What ended the connection; 'caller' if the caller did.
    whole_requests : int
        Requests that were received completely and have no complete response.
    is_partial : bool
        Whether another request was received in part.
    connection_age_s, request_age_s : float
        Time since the connection was accepted, and since the first byte of
        the oldest of these requests.
    idle_timeout_s : float
        Limit in force.
    """

    reason: str
    whole_requests: int
    is_partial: bool
    connection_age_s: float
    request_age_s: float
    idle_timeout_s: float


class Responder:
    """Response to one request; each method writes immediately."""

    __slots__ = (
        '_chunked',
        '_connection',
        'cut',
        'ended',
        'started',
        'status',
    )

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._chunked = False
        self.started = False
        self.ended = False
        # Whether the response ended before it was complete.
        self.cut = False
        self.status = 0

    def respond(
        self,
        status: int,
        headers: Iterable[_fields.Header] = (),
        body: bytes = b'',
    ) -> None:
        """Send a complete response."""
        self._start(status)
        fields = [*headers, (b'content-length', b'%d' % len(body))]
        self._connection.write(self._head(status, fields) + body)
        self.ended = True

    def start_stream(
        self, status: int, headers: Iterable[_fields.Header]
    ) -> None:
        """Send the head of a chunked response."""
        self._start(status)
        self._chunked = True
        fields = [*headers, (b'transfer-encoding', b'chunked')]
        self._connection.write(self._head(status, fields))

    def send(self, data: bytes) -> None:
        """Send a part of a stream."""
        if data:
            self._connection.write(b'%x\r\n%s\r\n' % (len(data), data))

    async def drain(self) -> None:
        """Wait until the caller has read most of the sent data."""
        await self._connection.drain()

    @property
    def is_congested(self) -> bool:
        """Whether the caller reads more slowly than data is sent."""
        return self._connection.is_congested

    @property
    def is_open(self) -> bool:
        """Whether a response can still reach the caller."""
        return self._connection.is_open

    @property
    def caller_left(self) -> bool:
        """Whether the caller closed the connection before the end."""
        return not self.ended and self._connection.close_reason == 'caller'

    def end_stream(self) -> None:
        """Send the last chunk."""
        self._connection.write(b'0\r\n\r\n')
        self.ended = True

    def abort(self) -> None:
        """Close the connection, which marks the response as truncated."""
        self._connection.abort('response cut')
        self.ended = True
        self.cut = True

    def _start(self, status: int) -> None:
        assert not self.started, 'response started twice'
        self.started = True
        self.status = status

    def _head(self, status: int, fields: list[_fields.Header]) -> bytes:
        if not self._connection.keeps_open():
            fields.append((b'connection', b'close'))
            self._connection.end_announced = True
        return _fields.status_line(status) + _fields.encode_fields(fields)


Handler = Callable[[CallerRequest, Responder], Awaitable[None]]


def _ignore_close(close: UnansweredClose) -> None:
    pass


def _accept_upload(upload: Upload) -> list[_fields.Header] | None:
    return None


class CallerServer:
    """HTTP server with one listener and its connections.

    Parameters
    ----------
    handler : callable
        Called with each complete request. It is cancelled when the caller
        closes the connection.
    limits : ConnectionLimits
        Shared; replaced by assignment when the configuration changes.
    on_reject : callable
        Called with status and reason of each request that is refused while
        it is read.
    on_unanswered : callable
        Called with an UnansweredClose.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ConnectionLimits,
        on_reject: Callable[[int, str], None],
        on_unanswered: Callable[[UnansweredClose], None] = _ignore_close,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.on_reject = on_reject
        self.on_unanswered = on_unanswered
        self.stopping = False
        # Whether connections without a request are closed.
        self.closing_idle = False
        self.connections: set[CallerConnection] = set()
        # Connections with an upload.
        self.uploading: set[CallerConnection] = set()
        # Returns the fields of a refusal with status 503, or None to receive
        # the rest of the body.
        self.check_upload: Callable[[Upload], list[_fields.Header] | None] = (
            _accept_upload
        )
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024
        )

    @property
    def active(self) -> int:
        """Number of connections with a request or response in progress."""
        return sum(c.busy or c.is_sending for c in self.connections)

    def announce_stop(self) -> None:
        """Close each connection after its next response."""
        self.stopping = True

    def close_listener(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Close the listener and all connections at once."""
        self.close_listener()
        for connection in list(self.connections):
            connection.abort('router ends')

    def close_idle(self) -> None:
        """Close connections as soon as they have no request in progress."""
        self.closing_idle = True
        for connection in list(self.connections):
            if not connection.busy:
                connection.close_unless_read('router stops')

    def refuse_partial(self) -> None:
        """Refuse the requests of which only a part has arrived."""
        for connection in list(self.connections):
            connection.refuse_partial()


class CallerConnection(asyncio.Protocol):
    """A caller's connection, which handles one request at a time."""

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        # Idle timeout with which the timer was set.
        self._idle_timeout_s = 0.0
        self._queued_requests: list[CallerRequest] = []
        # Whether bytes that arrive are ignored, after a refusal.
        self._lingering = False
        self._keep_alive = True
        # Refusal of what follows the requests that were received.
        self._rejection: tuple[int, str] | None = None
        # Whether a response has told the caller that it is the last one.
        self.end_announced = False
        # Whether the write buffer is above the high-water mark.
        self.is_congested = False
        self._drained: asyncio.Future[None] | None = None
        self._accepted_s = self._loop.time()
        # Bytes of all responses.
        self.sent_bytes = 0
        # Of the request in progress.
        self._request: CallerRequest | None = None
        # What ended the connection; the caller, unless this side does.
        self.close_reason = 'caller'
        self._reset()

    def _reset(self) -> None:
        self._target = b''
        self._headers: list[_fields.Header] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        # Length of the body if it is given in the head.
        self._declared_bytes = 0
        self._started_s = 0.0
        self._reading = False
        self._server.uploading.discard(self)
        # Whether the caller waits for an interim response before the body.
        self._expects_interim = False

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._start_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._server.connections.discard(self)
        self._server.uploading.discard(self)
        self._set_timer(None)
        self.resume_writing()
        self._report_unanswered()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Mark the connection as congested."""
        self.is_congested = True

    def resume_writing(self) -> None:
        """Mark the connection as no longer congested."""
        self.is_congested = False
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        RECEIVED.total += len(data)
        if self._lingering or not self._keep_alive:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # What follows a CONNECT would be of another protocol.
            self._keep_alive = False
        except httptools.HttpParserError as error:
            if not self._keep_alive:
                # RFC 9112, section 9.6: nothing follows the request with
                # which the caller announced the end.
                return
            if self._rejection is None:
                self._rejection = (400, str(error))
        if self._rejection is not None:
            self._reject()
        else:
            self._check_upload()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a request; empty lines before it are ignored."""
        self._reading = True
        self._started_s = self._loop.time()
        self._set_timer(self._server.limits.header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header field."""
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Check protocol version, framing and declared length."""
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
        self._declared_bytes = declared
        self._set_timer(self._server.limits.idle_timeout_s)
        expected = _fields.find(self._headers, b'expect')
        if self._rejection is None and expected is not None:
            self._expects_interim = True
            if self._task is None:
                self._send_interim()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits.body_bytes:
            self._rejection = (413, 'body too large')
            return
        self._body.append(data)
        self._set_timer(self._server.limits.idle_timeout_s)

    def on_message_complete(self) -> None:
        """Handle the request, or queue it behind the current one."""
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

    # Uploads.

    @property
    def upload(self) -> Upload:
        """The request that is being received."""
        return Upload(
            self._target,
            self._headers,
            self._started_s,
            self._body_bytes,
            self._declared_bytes - self._body_bytes,
        )

    def _check_upload(self) -> None:
        # Behind a request in progress, the response would come out of order.
        missing_bytes = self._declared_bytes - self._body_bytes
        if missing_bytes < MIN_UPLOAD_BYTES:
            self._server.uploading.discard(self)
        elif self._task is None and self not in self._server.uploading:
            fields = self._server.check_upload(self.upload)
            if fields is None:
                self._server.uploading.add(self)
            else:
                self._refuse_upload(fields)

    def _refuse_upload(self, fields: list[_fields.Header]) -> None:
        # What is not read stays with the caller instead of using the link.
        assert self._transport is not None
        self._transport.pause_reading()
        self._lingering = True
        self._reading = False
        self._keep_alive = False
        Responder(self).respond(503, fields)
        self._set_timer(LINGER_S)

    # Responses.

    @property
    def is_open(self) -> bool:
        """Whether the connection has not ended on either side."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the network has not taken."""
        return unsent_bytes(self._transport) if self.is_open else 0

    @property
    def busy(self) -> bool:
        """Whether a request is being read or handled."""
        return self._task is not None or self._reading

    @property
    def is_sending(self) -> bool:
        """Whether the kernel has not taken all of a response yet."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    def keeps_open(self) -> bool:
        """Whether the connection stays open after the current response."""
        return (
            bool(self._queued_requests)
            or self._rejection is not None
            or (self._keep_alive and not self._server.stopping)
        )

    def write(self, data: bytes) -> None:
        """Write data, or close if the caller has too much unread data."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.abort('responses not read')
            return
        self._transport.write(data)
        self.sent_bytes += len(data)

    async def drain(self) -> None:
        """Wait while the connection is congested."""
        if self.is_congested:
            self._drained = self._loop.create_future()
            await self._drained

    def close(self, reason: str = 'closed') -> None:
        """Close after the written data has been sent."""
        if self._transport is not None and not self._transport.is_closing():
            self.close_reason = reason
            self._transport.close()

    def close_unless_read(self, reason: str) -> None:
        """Close an idle connection unless a request has arrived on it.

        A close with unread bytes resets the connection, and the request in
        them is lost. The event loop reads what has arrived before it runs the
        timers of its next iteration, and a request stops the timer.
        """
        self._set_timer(0.0, lambda: self.close(reason))

    def refuse_partial(self) -> None:
        """Refuse a request of which only a part has arrived.

        Behind a request in progress, whose response announces the end of the
        connection, it needs no answer.
        """
        if self._reading and self._task is None:
            self._rejection = (503, 'router stops')
            self._reject()

    def abort(self, reason: str = 'closed') -> None:
        """Close at once."""
        if self._transport is not None:
            if not self._transport.is_closing():
                self.close_reason = reason
            self._transport.abort()

    def _report_unanswered(self) -> None:
        requests = list(self._queued_requests)
        if self._request is not None:
            requests.insert(0, self._request)
        if not requests and not self._reading:
            return
        now_s = self._loop.time()
        started_s = requests[0].started_s if requests else self._started_s
        self._server.on_unanswered(
            UnansweredClose(
                self.close_reason,
                len(requests),
                self._reading,
                now_s - self._accepted_s,
                now_s - started_s,
                self._server.limits.idle_timeout_s,
            )
        )

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._rejection = (431, 'header too large')

    def _handle(self, request: CallerRequest) -> None:
        responder = Responder(self)
        self._request = request
        self._task = self._loop.create_task(self._run(request, responder))

    async def _run(self, request: CallerRequest, responder: Responder) -> None:
        try:
            await self._server.handler(request, responder)
        finally:
            self._task = None
            if not responder.ended:
                self.abort('handler ended without a response')
            elif not responder.cut:
                self._request = None
        if self._transport is None or self._transport.is_closing():
            return
        if self.end_announced:
            self.close('end announced')
        elif self._queued_requests:
            self._handle(self._queued_requests.pop(0))
        elif self._rejection is not None:
            self._respond_rejection()
        elif self._reading:
            self._send_interim()
        elif self._server.closing_idle:
            self.close_unless_read('router stops')
        else:
            self._start_idle()

    def _send_interim(self) -> None:
        if self._expects_interim:
            self._expects_interim = False
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _start_idle(self) -> None:
        self._idle_timeout_s = self._server.limits.idle_timeout_s
        self._set_timer(self._idle_timeout_s)

    def _reject(self) -> None:
        assert self._rejection is not None
        self._lingering = True
        self._reading = False
        self._set_timer(None)
        self._server.on_reject(*self._rejection)
        # Requests that were received before are answered first.
        if self._task is None:
            self._respond_rejection()

    def _respond_rejection(self) -> None:
        assert self._rejection is not None
        status, _ = self._rejection
        self._rejection = None
        self._keep_alive = False
        Responder(self).respond(status)
        self._set_timer(LINGER_S)

    def _set_timer(
        self,
        delay_s: float | None,
        callback: Callable[[], None] | None = None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_s is not None:
            self._timer = self._loop.call_later(
                delay_s, callback or self._on_timer
            )

    def _on_timer(self) -> None:
        self._timer = None
        if self._lingering:
            self.close('refused')
            return
        if not self._reading:
            self._end_idle()
            return
        self._rejection = (408, 'request was not sent in time')
        self._reject()

    def _end_idle(self) -> None:
        # Callers go by the newest limit, so a longer one applies at once. A
        # shorter one does not, as callers may not have it yet.
        limit_s = self._server.limits.idle_timeout_s
        remaining_s = limit_s - self._idle_timeout_s
        if remaining_s > 0:
            self._idle_timeout_s = limit_s
            self._set_timer(remaining_s)
        else:
            self.close_unless_read('idle')
