"""Server for callers' connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import fcntl
import select
import socket
import struct
import termios
from typing import Protocol

import httptools

from . import _fields
from ._memory_budget import Account
from ._memory_budget import DescriptorBudget
from ._memory_budget import MemoryBudget
from ._read_throttle import ReadThrottle
from ._received import RECEIVED
from ._request_parser import RequestParser
from ._unsent import unsent_bytes

# A caller's connection is closed before the next write when more unread bytes
# than this are buffered for it. Responses of services are a few kilobytes;
# streams are paused by backpressure long before.
MAX_UNREAD_BYTES = 4 * 1024 * 1024
# Time for a caller to read the refusal before the connection is closed, and
# without further input before it is closed (RFC 9112, section 9.6).
LINGER_S = 0.5
# Limits on what is read and dropped after a refusal, so that a caller which
# sends the whole body first is not reset before it reads the refusal: the
# largest body allowed by default, which takes 6.7 s on a link of 5 Mbit/s.
MAX_LINGER_S = 7.0
MAX_DROPPED_BYTES = 4 * 1024 * 1024
# Smallest missing part of a body that can be refused before it is received.
# Senders have as much on the way before the first acknowledgement, so refusing
# less would save nothing.
MIN_UPLOAD_BYTES = 16_384
# Bytes read in one iteration of the event loop, as from endpoints.
READ_BYTES = 65_536
# Bytes passed to the parser at a time. Limits are checked after each piece; a
# piece of a head holds few whole requests, all of which are kept.
_HEAD_PIECE_BYTES = 2_048
_BODY_PIECE_BYTES = 16_384
# Requests kept behind the one in progress; reading pauses then. Clients that
# send ahead at all send a few requests.
MAX_QUEUED_REQUESTS = 16
# Fields of a head. The usual limit of 16 KiB holds 3,276 of the shortest.
MAX_FIELDS = 4_096
# Memory of a header field beyond its bytes: a tuple and two objects.
_FIELD_BYTES = 160
# Memory of a connection without a request: transport, parser, timer, account.
_CONNECTION_BYTES = 8_192
# Memory of a request beyond its fields and body: task, context, responder.
_REQUEST_BYTES = 4_096
# Copies of a body while its request is in progress: the encoded request, and
# what the endpoint's connection has not taken yet.
_BODY_COPIES = 2
# Bytes outside of heads and bodies: chunk sizes with extensions, and trailers.
# Each part of a body may have so many, its framing takes 5.
_PART_OVERHEAD_BYTES = 256
_MAX_OVERHEAD_BYTES = 8_192
# Parts of a body below this size are expensive to parse for their content;
# after so many in one read, 0.25 ms of a core, a connection waits its turn.
_SMALL_PART_BYTES = 64
_MAX_SMALL_PARTS = 1_024
# So are heads of many fields: 3,200 took 2.5 ms of a busy core, and 143 such
# heads delayed all other requests by 0.34 s. Requests have up to a hundred
# fields; after so many in one read, a connection waits its turn, in which so
# many more are parsed, as many as small parts.
_MAX_FIELDS_IN_READ = 256
_MAX_FIELDS_IN_TURN = 1_024
# Least rates. A link of 9.6 kbit/s carries about 1,000 bytes a second, and
# slower ones are assumed not to be in use. A body has the grace in addition,
# and reading is checked in intervals of it, since slow links may pause.
MIN_BYTES_PER_S = 1_000
RATE_GRACE_S = 30.0
# Connections accepted in one iteration of the event loop, by which the limit
# on descriptors may be exceeded.
_ACCEPT_BATCH = 16
_BACKLOG = 1024
# Another router may have memory; the caller's next attempt reaches it.
_SHORT_RETRY = (b'retry-after', b'0.3')
_MEMORY_SHORT = (503, 'memory short')


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
    progress_s : float
        Event loop time of the last part of the body.
    """

    target: bytes
    headers: list[_fields.Header]
    started_s: float
    received_bytes: int
    missing_bytes: int
    progress_s: float


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


class StreamSource(Protocol):
    """Connection that buffers a stream while its caller does not read.

    Attributes
    ----------
    buffered_bytes : int
    on_buffered : callable or None
        Called after more has been buffered.
    """

    on_buffered: Callable[[], None] | None

    @property
    def buffered_bytes(self) -> int:
        """Bytes that have not been read."""


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

    async def drain(self, source: StreamSource | None = None) -> None:
        """Wait until the caller has read most of the sent data.

        Parameters
        ----------
        source : StreamSource or None
            Where the stream comes from; what it buffers is accounted.
        """
        await self._connection.drain(source)

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


def _request_bytes(request: CallerRequest) -> int:
    # Fields cost more than their bytes, see _FIELD_BYTES.
    fields_bytes = sum(len(n) + len(v) for n, v in request.headers)
    return (
        _REQUEST_BYTES
        + fields_bytes
        + len(request.headers) * _FIELD_BYTES
        + len(request.body)
    )


Handler = Callable[[CallerRequest, Responder], Awaitable[None]]


def _ignore_close(close: UnansweredClose) -> None:
    pass


def _accept_upload(upload: Upload) -> list[_fields.Header] | None:
    return None


def _ignore_limited(way: str, address: str) -> None:
    pass


@dataclasses.dataclass(slots=True)
class ClientResources:
    """What the clients of all servers of a process share.

    Parameters
    ----------
    memory : MemoryBudget
    descriptors : DescriptorBudget
    throttle : ReadThrottle
    on_limited : callable
        Called with the limit that a client met and the client's address.
    """

    memory: MemoryBudget = dataclasses.field(default_factory=MemoryBudget)
    descriptors: DescriptorBudget = dataclasses.field(
        default_factory=DescriptorBudget
    )
    throttle: ReadThrottle = dataclasses.field(default_factory=ReadThrottle)
    on_limited: Callable[[str, str], None] = _ignore_limited


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
    resources : ClientResources or None
        Shared by the servers of a process.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ConnectionLimits,
        on_reject: Callable[[int, str], None],
        on_unanswered: Callable[[UnansweredClose], None] = _ignore_close,
        resources: ClientResources | None = None,
    ) -> None:
        self.resources = resources or ClientResources()
        self.handler = handler
        self.limits = limits
        self.on_reject = on_reject
        self.on_unanswered = on_unanswered
        self.stopping = False
        # Whether each connection ends with its next response, so that its
        # caller is led to another router.
        self.closes_after_response = False
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
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        sock = socket.create_server((host, port), family=family)
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock, backlog=_ACCEPT_BATCH
        )
        # The event loop uses one number for both.
        sock.listen(_BACKLOG)

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
            if not connection.busy and not connection.is_refusing:
                connection.close_unless_read('router stops')

    def make_room(self, new: CallerConnection) -> None:
        """Close connections if there are more than the limit.

        First those that have been idle for the longest, then those that have
        been refused the longest ago, then those that have been sending a
        request for the longest. If all others have a request in progress, the
        new one is closed.
        """
        count = self.resources.descriptors.excess
        if not count:
            return
        others = [c for c in self.connections if c is not new]
        idle = [c for c in others if c.is_idle]
        idle.sort(key=lambda c: c.idle_since_s)
        # Of 174 connections, 135 that a crowd had been refused on waited for
        # it to read the refusals, and an ordinary caller was reset.
        refused = [c for c in others if c.is_refused]
        refused.sort(key=lambda c: c.refused_since_s)
        # A request that has arrived is not dropped, and a close with unread
        # bytes resets the connection before its caller has read the refusal.
        if _close_unless_unread(idle, count):
            return
        if _close_unless_unread(refused, count):
            return
        sending = [c for c in others if c.is_incomplete]
        sending.sort(key=lambda c: c.request_since_s)
        (*refused, *sending, new)[0].close_surplus()

    def refuse_partial(self) -> None:
        """Refuse the requests of which only a part has arrived."""
        for connection in list(self.connections):
            connection.refuse_partial()


def _close_unless_unread(
    connections: list[CallerConnection], count: int
) -> int:
    # Closes the first ones without unread input; returns how many.
    closed = 0
    for connection in connections:
        if closed == count:
            break
        if not connection.has_unread_input():
            connection.close_surplus()
            closed += 1
    return closed


class CallerConnection(asyncio.BufferedProtocol):
    """A caller's connection, which handles one request at a time."""

    # Shared by all connections: the event loop fills it and calls
    # `buffer_updated` without yielding in between, and what is kept is copied.
    _buffer = memoryview(bytearray(READ_BYTES))

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
        # When the refusal was sent.
        self.refused_since_s = 0.0
        # Bytes that were dropped after the refusal, now and when the timer was
        # set.
        self._dropped_bytes = 0
        self._dropped_before_bytes = 0
        # Whether the rest of a body is left unread for now.
        self._upload_refused = False
        # Whether a request is about to be passed to the handler.
        self._starting = False
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
        self.idle_since_s = self._accepted_s
        self._address = ''
        self._is_counted = False
        self._account = Account(self.shed, self._refresh_account)
        # Input that is parsed later, while reading is paused.
        self._pending = b''
        self._is_throttled = False
        self._paused_s = 0.0
        self._small_parts = 0
        # Fields that were parsed at a stretch, and how many may be.
        self._fields = 0
        self._max_fields = _MAX_FIELDS_IN_READ
        # Memory of queued requests, of the one in progress and of responses
        # that the kernel has not taken.
        self._queued_bytes = 0
        self._running_bytes = 0
        self._unread_bytes = 0
        # Endpoint's side of a stream while the caller does not read.
        self._source: StreamSource | None = None
        self._written_bytes = 0
        # Checks whether the caller reads, while it has much to read.
        self._read_check: asyncio.TimerHandle | None = None
        self._reset()

    def _reset(self) -> None:
        self._in_body = False
        self._overhead_bytes = 0
        self._body_started_s = 0.0
        # When the caller last sent a part of a body.
        self._progress_s = 0.0
        self._target = b''
        self._headers: list[_fields.Header] = []
        self._header_bytes = 0
        self._body: bytes | bytearray = b''
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
        peer = transport.get_extra_info('peername')
        self._address = str(peer[0]) if peer else ''
        self._resources.memory.open(self._account)
        self._resources.descriptors.open += 1
        self._is_counted = True
        self._start_idle()
        self._update_account()
        self._server.make_room(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._server.connections.discard(self)
        self._server.uploading.discard(self)
        self._set_timer(None)
        self._pending = b''
        self._resources.memory.close(self._account)
        self._release_descriptor()
        self.resume_writing()
        self._report_unanswered()
        # The parser refers to the connection, so that its memory is freed
        # only by the next garbage collection.
        self._queued_requests.clear()
        self._reset()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Mark the connection as congested."""
        self.is_congested = True
        self._start_read_check()

    def resume_writing(self) -> None:
        """Mark the connection as no longer congested."""
        self.is_congested = False
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        if self._read_check is not None:
            self._read_check.cancel()
            self._read_check = None
        self._record_unread()
        self._resume()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the event loop reads into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes read into the buffer."""
        self.data_received(self._buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Feed the parser, or keep the data while requests are queued."""
        RECEIVED.total += len(data)
        if self._lingering:
            self._drop(len(data))
            return
        if self._pending:
            self._pending += data
            self._update_account()
            return
        self._small_parts = 0
        self._fields = 0
        self._max_fields = _MAX_FIELDS_IN_READ
        self._feed(memoryview(data))

    def _feed(self, view: memoryview) -> None:
        if self._in_body:
            self._progress_s = self._loop.time()
        while view and not self._lingering and self._keep_alive:
            is_costly = (
                self._small_parts > _MAX_SMALL_PARTS
                or self._fields > self._max_fields
            )
            if is_costly or self._is_full():
                self._suspend(bytes(view), is_costly)
                break
            size = _BODY_PIECE_BYTES if self._in_body else _HEAD_PIECE_BYTES
            self._feed_piece(view[:size])
            view = view[size:]
        if not self._lingering:
            self._check_upload()
        if not self._update_account():
            self.shed()
        if self._task is None:
            # What can be refused by its head has been.
            self._send_interim()

    def _feed_piece(self, piece: memoryview) -> None:
        self._overhead_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            # What follows a CONNECT would be of another protocol.
            self._keep_alive = False
        except httptools.HttpParserError as error:
            # RFC 9112, section 9.6: nothing follows the request with which
            # the caller announced the end.
            if self._keep_alive and self._rejection is None:
                self._rejection = (400, str(error))
        limit_bytes = self._server.limits.header_bytes + _MAX_OVERHEAD_BYTES
        if self._overhead_bytes > limit_bytes and self._rejection is None:
            # The parser keeps the beginning of an endless field to itself.
            self._rejection = (431, 'header too large')
        if self._rejection is not None:
            self._reject()

    def _is_full(self) -> bool:
        # Responses that the caller does not read come before new requests.
        return len(self._queued_requests) >= MAX_QUEUED_REQUESTS or (
            self.is_congested and self._task is None
        )

    def _suspend(self, rest: bytes, is_costly: bool) -> None:
        self._pending = rest
        self._paused_s = self._loop.time()
        if self._transport is not None:
            self._transport.pause_reading()
        if self._reading:
            # The caller cannot send meanwhile.
            self._set_timer(None)
        if is_costly:
            self._is_throttled = True
            self._resources.throttle.wait(self._end_throttle)

    def _end_throttle(self) -> None:
        self._is_throttled = False
        self._resume()

    def _resume(self) -> None:
        if not self._pending or self._is_throttled or self._is_full():
            return
        rest, self._pending = self._pending, b''
        if self._transport is None or self._transport.is_closing():
            return
        paused_s = self._loop.time() - self._paused_s
        self._body_started_s += paused_s
        self._progress_s += paused_s
        self._small_parts = 0
        self._fields = 0
        self._max_fields = _MAX_FIELDS_IN_TURN
        if self._reading:
            limits = self._server.limits
            self._set_timer(
                limits.idle_timeout_s
                if self._in_body
                else limits.header_timeout_s
            )
        self._feed(memoryview(rest))
        if (
            not self._pending
            and not self._upload_refused
            and not self._transport.is_closing()
        ):
            self._transport.resume_reading()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a request; empty lines before it are ignored."""
        if self._lingering:
            return
        self._reading = True
        self._overhead_bytes = 0
        self._started_s = self._loop.time()
        self._set_timer(self._server.limits.header_timeout_s)

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header field."""
        self._headers.append((name.lower(), value))
        self._fields += 1
        self._count_header(len(name) + len(value) + 4)
        if len(self._headers) > MAX_FIELDS:
            self._rejection = (431, 'too many fields')

    def on_headers_complete(self) -> None:
        """Check protocol version, framing and declared length."""
        if self._rejection is not None:
            return
        self._in_body = True
        self._overhead_bytes = 0
        self._body_started_s = self._progress_s = self._loop.time()
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

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        size = len(data)
        if size < _SMALL_PART_BYTES:
            self._small_parts += 1
        self._overhead_bytes = max(
            0, self._overhead_bytes - size - _PART_OVERHEAD_BYTES
        )
        if len(self._body) + size > self._server.limits.body_bytes:
            self._rejection = (413, 'body too large')
        elif not self._body:
            self._body = data
        else:
            # A list of one-byte parts takes many times their content.
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += data

    def on_message_complete(self) -> None:
        """Handle the request, or queue it behind the current one."""
        if self._rejection is not None or self._lingering:
            return
        request = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
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
            self._queued_bytes += _request_bytes(request)

    # Uploads.

    @property
    def upload(self) -> Upload:
        """The request that is being received."""
        return Upload(
            self._target,
            self._headers,
            self._started_s,
            len(self._body),
            self._declared_bytes - len(self._body),
            self._progress_s,
        )

    def _check_upload(self) -> None:
        # Behind a request in progress, the response would come out of order.
        missing_bytes = self._declared_bytes - len(self._body)
        if missing_bytes < MIN_UPLOAD_BYTES:
            self._server.uploading.discard(self)
        elif self._task is None and self not in self._server.uploading:
            fields = self._server.check_upload(self.upload)
            if fields is None:
                self._server.uploading.add(self)
            else:
                self._refuse_upload(fields)

    def _refuse_upload(self, fields: list[_fields.Header]) -> None:
        # What is not read stays with the caller instead of using the link, if
        # the caller reads the refusal while it sends.
        assert self._transport is not None
        self._transport.pause_reading()
        self._upload_refused = True
        self._lingering = True
        self._keep_alive = False
        self._pending = b''
        self._reset()
        self._update_account()
        Responder(self).respond(503, fields)
        self._start_linger()

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
        return self._task is not None or self._reading or bool(self._pending)

    @property
    def is_sending(self) -> bool:
        """Whether the kernel has not taken all of a response yet."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    @property
    def is_refusing(self) -> bool:
        """Whether the caller still has time to read a refusal."""
        return self._lingering

    def keeps_open(self) -> bool:
        """Whether the connection stays open after the current response."""
        return (
            bool(self._queued_requests)
            or bool(self._pending)
            or self._rejection is not None
            or (
                self._keep_alive
                and not self._server.stopping
                and not self._server.closes_after_response
            )
        )

    def write(self, data: bytes) -> None:
        """Write data, or close if the caller has too much unread data."""
        if self._transport is None or self._transport.is_closing():
            return
        unread_bytes = self._transport.get_write_buffer_size()
        if unread_bytes > MAX_UNREAD_BYTES:
            self._abort_unread()
            return
        self._written_bytes += len(data)
        self._transport.write(data)
        self.sent_bytes += len(data)
        # The kernel usually takes a small response at once.
        if unread_bytes or self._unread_bytes or len(data) > READ_BYTES:
            if self._record_unread():
                return
            self._abort_unread()

    async def drain(self, source: StreamSource | None = None) -> None:
        """Wait while the connection is congested."""
        if not self.is_congested:
            return
        self._drained = self._loop.create_future()
        self._source = source
        if source is not None:
            source.on_buffered = self._record_buffered
        self._record_buffered()
        try:
            await self._drained
        finally:
            self._source = None
            if source is not None:
                source.on_buffered = None
                self._update_account()

    def _record_buffered(self) -> None:
        if not self._record_unread():
            self._abort_unread()

    def close(self, reason: str = 'closed') -> None:
        """Close after the written data has been sent."""
        if self._transport is not None and not self._transport.is_closing():
            self.close_reason = reason
            self._transport.close()
            if self.is_sending:
                self._start_read_check()
            else:
                # The event loop closes the socket in its next iteration.
                self._release_descriptor()

    @property
    def is_idle(self) -> bool:
        """Whether the connection can be closed without losing anything."""
        return (
            not self.busy
            and not self._lingering
            and not self.is_sending
            and not self._is_closing()
        )

    @property
    def is_refused(self) -> bool:
        """Whether the kernel has taken a refusal that ends the connection."""
        return (
            self._lingering
            and self._task is None
            and self._rejection is None
            and not self.is_sending
            and not self._is_closing()
        )

    @property
    def is_incomplete(self) -> bool:
        """Whether only a part of a request has arrived, and no other."""
        return self._reading and self._task is None and not self._is_closing()

    @property
    def request_since_s(self) -> float:
        """Time of the first byte of the request that is being read."""
        return self._started_s

    def close_surplus(self) -> None:
        """Close at once, as there are too many connections."""
        self._resources.on_limited('too many connections', self._address)
        self._release_descriptor()
        self.abort('too many connections')

    def shed(self) -> None:
        """Free memory: refuse what has not been handled, or stop sending."""
        if self._is_closing() or self._starting:
            return
        if self._reading or self._queued_requests or self._pending:
            self._refuse_rest()
            return
        self._record_unread()
        if self._unread_bytes:
            self._abort_unread()

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

    @property
    def _resources(self) -> ClientResources:
        return self._server.resources

    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _release_descriptor(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._resources.descriptors.open -= 1

    def has_unread_input(self) -> bool:
        """Whether bytes have arrived that the event loop has not read."""
        sock = self._transport and self._transport.get_extra_info('socket')
        if sock is None or sock.fileno() == -1:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _abort_unread(self) -> None:
        if self.close_reason == 'responses not read':
            return
        self._resources.on_limited('responses not read', self._address)
        self.abort('responses not read')
        # The next iteration frees the buffers. Until then they would make the
        # budget shed more streams than needed.
        self._resources.memory.close(self._account)

    def _record_unread(self) -> bool:
        if self._is_closing():
            return True
        assert self._transport is not None
        self._unread_bytes = self._transport.get_write_buffer_size()
        return self._update_account()

    def _refresh_account(self) -> None:
        if self._unread_bytes:
            self._record_unread()

    def _update_account(self) -> bool:
        # Returns whether the memory budget allows what is held now.
        if self._is_closing():
            return True
        account = self._account
        now_s = self._loop.time()
        is_sheddable = bool(
            self._reading
            or self._queued_requests
            or self._pending
            or self._unread_bytes
        )
        if is_sheddable and not account.is_sheddable:
            account.since_s = now_s
        account.is_sheddable = is_sheddable
        held_bytes = (
            _CONNECTION_BYTES
            + self._header_bytes
            + len(self._headers) * _FIELD_BYTES
            + len(self._body)
            + len(self._pending)
            + self._queued_bytes
            + self._running_bytes
            + self._unread_bytes
        )
        if self._source is not None:
            held_bytes += self._source.buffered_bytes
        return self._resources.memory.update(account, held_bytes, now_s)

    def _taken_bytes(self) -> int:
        # What the caller has acknowledged of all that was written.
        assert self._transport is not None
        unsent_bytes = self._transport.get_write_buffer_size()
        sock = self._transport.get_extra_info('socket')
        if sock is not None and sock.fileno() != -1:
            queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
            unsent_bytes += struct.unpack('i', queued)[0]
        return self._written_bytes - unsent_bytes

    def _start_read_check(self) -> None:
        if self._read_check is None and self._transport is not None:
            self._read_check = self._loop.call_later(
                RATE_GRACE_S, self._check_read, self._taken_bytes()
            )

    def _check_read(self, taken_before_bytes: int) -> None:
        self._read_check = None
        if self._transport is None or not self.is_sending:
            return
        taken_bytes = self._taken_bytes() - taken_before_bytes
        if taken_bytes < MIN_BYTES_PER_S * RATE_GRACE_S:
            self._abort_unread()
        else:
            self._start_read_check()

    def _refuse_rest(self) -> None:
        # All of these requests were not passed on to the handler.
        self._queued_requests.clear()
        self._queued_bytes = 0
        self._rejection = _MEMORY_SHORT
        self._reject()

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._rejection = (431, 'header too large')

    def _handle(self, request: CallerRequest) -> None:
        body_bytes = len(request.body)
        self._running_bytes = (
            _request_bytes(request) + _BODY_COPIES * body_bytes
        )
        # The account may choose this connection to free memory, whose
        # refusal would take the place of the response to this request.
        self._starting = True
        allowed = self._update_account()
        self._starting = False
        if not allowed:
            # It was not passed on to the handler.
            self._running_bytes = 0
            self._rejection = _MEMORY_SHORT
            return
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
        self._running_bytes = 0
        if self._transport is None or self._transport.is_closing():
            return
        self._record_unread()
        if self.end_announced:
            self.close('end announced')
            return
        if self._queued_requests:
            queued = self._queued_requests.pop(0)
            self._queued_bytes -= _request_bytes(queued)
            self._handle(queued)
            if self._task is None:
                self._refuse_rest()
                return
        self._resume()
        if self._task is not None or self._is_closing():
            return
        if self._lingering and self._rejection is None:
            # Refused by now.
            return
        if self._rejection is not None:
            self._respond_rejection()
        elif self._reading:
            self._check_upload()
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
        self.idle_since_s = self._loop.time()
        self._set_timer(self._idle_timeout_s)

    def _reject(self) -> None:
        assert self._rejection is not None
        self._lingering = True
        self._reset()
        if self._pending:
            # What follows is read and ignored, until the caller has read the
            # refusal.
            self._pending = b''
            if self._transport is not None and not self._is_closing():
                self._transport.resume_reading()
        self._set_timer(None)
        self._update_account()
        status, reason = self._rejection
        self._server.on_reject(status, reason)
        self._resources.on_limited(
            'malformed' if status == 400 else reason, self._address
        )
        # Requests that were received before are answered first.
        if self._task is None:
            self._respond_rejection()

    def _respond_rejection(self) -> None:
        assert self._rejection is not None
        status, _ = self._rejection
        fields = [_SHORT_RETRY] if self._rejection is _MEMORY_SHORT else []
        self._rejection = None
        self._keep_alive = False
        Responder(self).respond(status, fields)
        self._start_linger()

    def _start_linger(self) -> None:
        self.refused_since_s = self._loop.time()
        self._dropped_before_bytes = self._dropped_bytes
        self._set_timer(LINGER_S)

    def _drop(self, size: int) -> None:
        self._dropped_bytes += size
        if self._dropped_bytes > MAX_DROPPED_BYTES and self.is_open:
            assert self._transport is not None
            self._transport.pause_reading()

    def _end_linger(self) -> None:
        still_sends = self._dropped_bytes > self._dropped_before_bytes
        if self._upload_refused and self.is_open:
            # The caller may send all of its body before it reads.
            assert self._transport is not None
            self._upload_refused = False
            still_sends = self.has_unread_input()
            self._transport.resume_reading()
        remaining_s = self.refused_since_s + MAX_LINGER_S - self._loop.time()
        if (
            still_sends
            and remaining_s > 0
            and self._dropped_bytes <= MAX_DROPPED_BYTES
        ):
            self._dropped_before_bytes = self._dropped_bytes
            self._set_timer(min(LINGER_S, remaining_s))
        else:
            self.close('refused')

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
            self._end_linger()
            return
        if not self._reading:
            self._end_idle()
            return
        reason = 'request was not sent in time'
        if self._in_body:
            now_s = self._loop.time()
            elapsed_s = now_s - self._body_started_s - RATE_GRACE_S
            is_slow = elapsed_s * MIN_BYTES_PER_S > len(self._body)
            limit_s = self._server.limits.idle_timeout_s
            remaining_s = self._progress_s + limit_s - now_s
            if remaining_s > 0 and not is_slow:
                self._set_timer(remaining_s)
                return
            if is_slow:
                reason = 'body sent too slowly'
        self._rejection = (408, reason)
        self._reject()

    def _end_idle(self) -> None:
        if self._pending:
            # The next requests wait until the caller has read responses.
            self._start_idle()
            return
        # Callers go by the newest limit, so a longer one applies at once. A
        # shorter one does not, as callers may not have it yet.
        limit_s = self._server.limits.idle_timeout_s
        remaining_s = limit_s - self._idle_timeout_s
        if remaining_s > 0:
            self._idle_timeout_s = limit_s
            self._set_timer(remaining_s)
        else:
            self.close_unless_read('idle')
