"""Client connections to endpoints and to the platform."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
import enum
import socket
import struct

import httptools

from . import _fields
from ._early_end import EarlyEnd
from ._early_end import may_be_early
from ._received import RECEIVED
from ._response_head import ResponseHead
from ._response_head import find_problem
from ._socket_bytes import has_failed
from ._socket_bytes import has_unread_input
from ._socket_bytes import unsent_bytes

# Failures of which a connection remembers the request; it is then closed.
_MAX_FAILED_IDS = 64
# Maximum number of responses to earlier requests that one exchange skips.
_MAX_MISMATCHED_RESPONSES = 2
# Largest body that is buffered or skipped. Responses of services are a few
# kilobytes, pages of the log store about 1 MiB; a faulty peer may send an
# endless body.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Limit on the bytes of a response outside its body: heads, including those
# of interim responses, chunk sizes with their extensions, and trailers.
# Equals the limit on the heads of callers' requests.
MAX_OVERHEAD_BYTES = 65_536
# Overhead allowed in addition for each part of a body, so that a long stream
# of small chunks stays within the limit. The framing of a chunk takes 5 bytes,
# that of a signed chunk about 100.
_PART_OVERHEAD_BYTES = 256
# Added to the size of each header field and of each part of a skipped body,
# since even the shortest ones cost time and memory.
_ITEM_OVERHEAD_BYTES = 32
# Bytes read in one iteration of the event loop. Its default of 256 KiB, filled
# with small header fields or chunks, delays all other requests by over 0.1 s.
READ_BYTES = 65_536
# Reading from the socket pauses when more bytes of a body than this are
# buffered for the reader, which makes the peer wait as well.
MAX_BUFFERED_BYTES = 262_144
# Bytes passed to the parser at a time; the overhead is checked after each.
_FEED_BYTES = 16_384
# Time that sent data may stay unacknowledged, or unread by a peer whose buffer
# is full, before the kernel closes the connection. A sound peer may be silent
# for a second or two, and data lost meanwhile is sent again 0.2, 0.6, 1.4 and
# 3.0 s after the first time.
USER_TIMEOUT_MS = 3_500
# Options of IPPROTO_TCP by which the kernel closes a connection whose peer
# does not respond: in use after USER_TIMEOUT_MS, idle ones are probed.
KEEPALIVE_OPTIONS = (
    (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
)
# An idle connection is no longer used this long before the peer's keep-alive
# timeout, so that no request is sent while the peer closes it.
_IDLE_MARGIN_S = 0.5
# Keep-alive timeout assumed for peers that announce none.
DEFAULT_IDLE_S = 3.0
# Value of SO_LINGER, on and 0 s, with which closing resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class ExchangeFailure(enum.Enum):
    """Reason why an exchange ended without a complete response."""

    CONNECT = 'connect'
    BROKEN = 'broken'
    MALFORMED = 'malformed'
    MISMATCHED = 'foreign'
    SLOW = 'slow'
    # The router through which the peer is reached failed.
    RELAY = 'relay'


class ExchangeError(Exception):
    """An exchange ended without a complete response.

    Parameters
    ----------
    failure : ExchangeFailure
    detail : str
    timed_out : bool
        Whether the peer's network did not respond in time.
    relayed : bool
        Whether another router told of the failure.
    """

    def __init__(
        self,
        failure: ExchangeFailure,
        detail: str = '',
        *,
        timed_out: bool = False,
        relayed: bool = False,
    ) -> None:
        super().__init__(f'{failure.value}: {detail}')
        self.failure = failure
        self.detail = detail
        self.timed_out = timed_out
        self.relayed = relayed


class PeerConnection(asyncio.BufferedProtocol):
    """Client connection that carries one exchange at a time."""

    # Shared by all connections: the event loop fills it and calls
    # `buffer_updated` without yielding in between, and the parser copies the
    # data that it keeps.
    _buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[None] | None = None
        self._active = False
        self._echo: _fields.Header | None = None
        self._exchanges = 0
        # Ids of requests of this connection whose responses were failures.
        self._failed_ids: set[bytes] = set()
        self._mismatched_responses = 0
        self._skipping = False
        self._until_close = False
        self._early_end: EarlyEnd | None = None
        self._reusable = True
        self._idle_limit_s = DEFAULT_IDLE_S
        self._idle_since_s = self._loop.time()
        self._overhead_bytes = 0
        self._mismatched_bytes = 0
        self._in_head = False
        self._headers: list[_fields.Header] = []
        self._head: ResponseHead | None = None
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        # Called after a part has been buffered, or None.
        self.on_buffered: Callable[[], None] | None = None
        # Called when the connection is reset, or its peer no longer responds,
        # while it carries no exchange.
        self.on_idle_failure: Callable[[], None] | None = None
        self._complete = False
        self._error: ExchangeError | None = None
        self._closed = False
        # Bytes of the current request, and of all requests.
        self._request_bytes = 0
        self.sent_bytes = 0

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that detect an unresponsive peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info('socket')
        if sock is None:
            return
        for option, value in KEEPALIVE_OPTIONS:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the event loop reads into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes read into the buffer."""
        self.data_received(self._buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Feed the parser until the response is complete or has failed."""
        RECEIVED.total += len(data)
        view = memoryview(data)
        while view and self._active and not self._ended():
            self._feed(view[:_FEED_BYTES])
            view = view[_FEED_BYTES:]
        if view or self._error is not None:
            # Bytes received outside an exchange belong to no request.
            self.abort()

    def _feed(self, data: memoryview) -> None:
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._complete:
                self._fail(ExchangeFailure.MALFORMED, str(error))
            self._reusable = False
        except httptools.HttpParserUpgrade:
            self._fail(ExchangeFailure.MALFORMED, 'protocol switched')
        if not self._complete and self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._fail(
                ExchangeFailure.MALFORMED,
                f'over {MAX_OVERHEAD_BYTES} bytes outside a body',
            )

    def eof_received(self) -> bool:
        """End a response that is delimited by the connection close.

        Returns
        -------
        bool
            Whether the connection stays open for the rest of the request.
        """
        if (
            not self._until_close
            or self._head is None
            or self._skipping
            or self._ended()
        ):
            return False
        assert self._transport is not None
        if has_failed(self._transport):
            self._end_with_connection(is_whole=False)
            return False
        if not may_be_early(self._transport, self._request_bytes):
            self._end_with_connection(is_whole=True)
            return False
        self._early_end = EarlyEnd(
            self._transport,
            lambda is_whole: self._end_with_connection(is_whole=is_whole),
        )
        return True

    def _end_with_connection(self, *, is_whole: bool) -> None:
        if not is_whole:
            self._fail(
                ExchangeFailure.BROKEN, 'reset after the end of the response'
            )
            return
        self._complete = True
        self._notify_waiter()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an exchange that is still in progress."""
        self._stop_end_check()
        self._closed = True
        self._reusable = False
        if (
            not self._active
            and isinstance(exc, OSError)
            and self.on_idle_failure is not None
        ):
            self.on_idle_failure()
        if self._active and not self._complete:
            self._fail(
                ExchangeFailure.BROKEN,
                str(exc or 'closed'),
                timed_out=isinstance(exc, TimeoutError),
            )

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start the head of a response."""
        if self._complete:
            self._reusable = False
        self._headers = []
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header field; trailer fields are ignored."""
        self._overhead_bytes += _ITEM_OVERHEAD_BYTES
        if self._in_head and not self._complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check that the response belongs to the current request."""
        self._in_head = False
        if self._complete:
            return
        head = ResponseHead(self._parser.get_status_code(), self._headers)
        problem = find_problem(head, self._parser.get_http_version())
        if problem is not None:
            self._reusable = False
            self._fail(ExchangeFailure.MALFORMED, problem)
            return
        if head.is_interim:
            self._skipping = True
            return
        until_close = (
            head.find(b'content-length') is None
            and head.find(b'transfer-encoding') is None
            and head.status not in (204, 304)
        )
        if self._echo is not None:
            echoed = head.find(self._echo[0])
            if echoed is None and self._exchanges > 1:
                # It may repeat the response to an earlier request.
                self._reusable = False
                self._fail(ExchangeFailure.MISMATCHED, 'answer without id')
                return
            if echoed not in (None, self._echo[1]):
                self._skip_mismatched(until_close)
                return
        self._skipping = False
        self._until_close = until_close
        self._update_keep_alive(head)
        self._head = head
        self._notify_waiter()

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        if self._complete:
            return
        self._overhead_bytes = max(
            0, self._overhead_bytes - len(data) - _PART_OVERHEAD_BYTES
        )
        if self._skipping:
            self._mismatched_bytes += len(data) + _ITEM_OVERHEAD_BYTES
            if self._mismatched_bytes > MAX_BODY_BYTES:
                self._fail(
                    ExchangeFailure.MISMATCHED,
                    f'over {MAX_BODY_BYTES} bytes for other requests',
                )
            return
        self._parts.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES and self._transport:
            self._transport.pause_reading()
        if self.on_buffered is not None:
            self.on_buffered()
        self._notify_waiter()

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self._skipping:
            self._skipping = False
            return
        self._complete = True
        self._notify_waiter()

    # Exchange.

    def send_request(
        self, data: bytes, echo: _fields.Header | None = None
    ) -> None:
        """Send a request.

        Parameters
        ----------
        data : bytes
            Head and body.
        echo : (bytes, bytes) or None
            Field of the request that the response repeats. A response with
            another value belongs to an earlier request and is skipped. One
            without the field is accepted as the first of its connection only.
        """
        assert self._transport is not None
        self._active = True
        self._exchanges += 1
        self._complete = False
        self._until_close = False
        self._skipping = False
        self._echo = echo
        self._head = None
        self._error = None
        self._mismatched_responses = 0
        self._mismatched_bytes = 0
        self._overhead_bytes = 0
        if self._closed or self._transport.is_closing():
            self._fail(ExchangeFailure.BROKEN, 'closed before the request')
            return
        self._transport.write(data)
        self._request_bytes = len(data)
        self.sent_bytes += len(data)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response.

        Raises
        ------
        ExchangeError
        """
        while self._head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self._head

    async def read_part(self) -> bytes:
        """Wait for the next part of the body.

        Returns
        -------
        bytes
            Empty at the end of the body.

        Raises
        ------
        ExchangeError
            The response was truncated, malformed or cancelled.
        """
        while not self._parts:
            if self._complete:
                return b''
            if self._error is not None:
                raise self._error
            await self._wait()
        data = b''.join(self._parts)
        self._drop_parts()
        return data

    async def read_body(self, limit_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Wait for the complete body.

        Parameters
        ----------
        limit_bytes : int
            Largest body that is accepted.

        Raises
        ------
        ExchangeError
            The response was truncated, malformed or cancelled, or its body
            exceeds the limit.
        """
        parts = []
        size_bytes = 0
        while part := await self.read_part():
            parts.append(part)
            size_bytes += len(part)
            if size_bytes > limit_bytes:
                raise ExchangeError(
                    ExchangeFailure.MALFORMED, 'body too large'
                )
        return b''.join(parts)

    def finish(self) -> bool:
        """End the exchange.

        Returns
        -------
        bool
            Whether the connection can carry another exchange.
        """
        self._active = False
        # Resumes reading, without which an idle connection would not detect
        # that the peer closed it.
        self._drop_parts()
        self._idle_since_s = self._loop.time()
        if self._echo is not None and self._head and self._head.status >= 400:
            self._failed_ids.add(self._echo[1])
            if len(self._failed_ids) > _MAX_FAILED_IDS:
                self._reusable = False
        if not self._complete or not self.is_usable():
            self.abort()
            return False
        return True

    def cancel(self, detail: str) -> None:
        """Fail an exchange whose response takes too long."""
        if not self._complete:
            self._fail(ExchangeFailure.SLOW, detail)

    def is_usable(self) -> bool:
        """Whether an idle connection may carry another exchange."""
        return (
            self._reusable
            and not self._closed
            and not self._until_close
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
            and self.idle_s < self._idle_limit_s
        )

    def may_carry(self, echo: _fields.Header | None) -> bool:
        """Whether only the response to a request can look like one to it.

        A faulty peer may send an earlier response again: before the request,
        where it waits to be read, or after it. Such a copy bears the id of its
        own request.

        Parameters
        ----------
        echo : (bytes, bytes) or None
            Field of the request that the response repeats.
        """
        if echo is not None and echo[1] in self._failed_ids:
            return False
        return not has_unread_input(self._transport)

    @property
    def has_head(self) -> bool:
        """Whether the head of the response has arrived."""
        return self._head is not None

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the body that have not been read."""
        return self._buffered_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of requests that the network has not taken."""
        if self._transport is None or self._closed:
            return 0
        return unsent_bytes(self._transport)

    @property
    def delimited_by_close(self) -> bool:
        """Whether only the end of the connection ends the response."""
        return self._until_close

    @property
    def idle_s(self) -> float:
        """Time in seconds since the last exchange."""
        return self._loop.time() - self._idle_since_s

    def close(self) -> None:
        """Close after the written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, upon which an endpoint drops the request.

        Bytes that the kernel has not delivered are dropped with it. A closed
        socket keeps retransmitting them: a request that could not cross a
        partition reached its endpoint 5 s after its caller was answered 504.
        """
        self._reusable = False
        self._stop_end_check()
        if self._transport is None:
            return
        sock = self._transport.get_extra_info('socket')
        if sock is not None and sock.fileno() != -1:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._transport.abort()

    def _stop_end_check(self) -> None:
        if self._early_end is not None:
            self._early_end.cancel()
            self._early_end = None

    def _skip_mismatched(self, until_close: bool) -> None:
        self._reusable = False
        self._skipping = True
        self._mismatched_responses += 1
        # A response delimited by the connection close is the last one.
        if (
            until_close
            or self._mismatched_responses > _MAX_MISMATCHED_RESPONSES
        ):
            self._fail(ExchangeFailure.MISMATCHED, 'answers to other requests')

    def _update_keep_alive(self, head: ResponseHead) -> None:
        if not self._parser.should_keep_alive() or self._until_close:
            self._reusable = False
        for item in _fields.list_items(head.headers, b'keep-alive'):
            seconds = item.removeprefix(b'timeout=')
            if seconds != item and seconds.isdigit():
                # Longer ones are cut, as int() does not take any length.
                limit_s = int(seconds[:9]) - _IDLE_MARGIN_S
                self._idle_limit_s = max(0.0, limit_s)

    def _fail(
        self,
        failure: ExchangeFailure,
        detail: str,
        *,
        timed_out: bool = False,
    ) -> None:
        if self._error is None:
            self._error = ExchangeError(failure, detail, timed_out=timed_out)
        self._notify_waiter()

    def _drop_parts(self) -> None:
        self._parts.clear()
        if self._buffered_bytes > MAX_BUFFERED_BYTES and self._transport:
            self._transport.resume_reading()
        self._buffered_bytes = 0

    def _ended(self) -> bool:
        return self._complete or self._error is not None

    def _notify_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


class ConnectionPool:
    """Pool of idle connections to one address.

    Parameters
    ----------
    host : str
    port : int
    connect_timeout_s : float
    """

    def __init__(self, host: str, port: int, connect_timeout_s: float) -> None:
        self.host = host
        self.port = port
        self.connect_timeout_s = connect_timeout_s
        self.opened = 0
        self._idle: list[PeerConnection] = []

    def take_idle(
        self,
        max_idle_s: float = float('inf'),
        *,
        echo: _fields.Header | None = None,
    ) -> PeerConnection | None:
        """Return the most recently used connection that is still usable.

        Parameters
        ----------
        max_idle_s : float
        echo : (bytes, bytes) or None
            Field of the request that the response repeats. Connections on
            which the same request failed before are closed.
        """
        while self._idle:
            connection = self._idle.pop()
            if (
                connection.is_usable()
                and connection.idle_s <= max_idle_s
                and connection.may_carry(echo)
            ):
                return connection
            connection.close()
        return None

    async def connect(self) -> PeerConnection:
        """Open a connection.

        Raises
        ------
        ExchangeError
            The connection failed or timed out; no request was sent.
        """
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                _, connection = await loop.create_connection(
                    PeerConnection, self.host, self.port
                )
        except (OSError, ValueError, OverflowError) as error:
            # Impossible hosts and ports raise ValueError and OverflowError.
            raise ExchangeError(
                ExchangeFailure.CONNECT,
                str(error) or 'timed out',
                timed_out=isinstance(error, TimeoutError),
            ) from error
        return connection

    def add_idle(self, connection: PeerConnection) -> None:
        """Add a connection that has carried no request."""
        self._idle.append(connection)

    def release(self, connection: PeerConnection) -> None:
        """Return a connection to the pool if it can be used again."""
        if connection.finish():
            self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
