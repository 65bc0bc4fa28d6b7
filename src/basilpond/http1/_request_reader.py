"""Parsing of one request after the other, within limits."""

from __future__ import annotations

import asyncio
from typing import Protocol

import httptools

from . import _fields
from ._messages import MIN_BYTES_PER_S
from ._messages import RATE_GRACE_S
from ._messages import CallerRequest
from ._messages import ConnectionLimits
from ._messages import Upload
from ._request_memory import FIELD_BYTES
from ._request_parser import RequestParser

# Bytes passed to the parser at a time. Limits are checked after each piece; a
# piece of a head holds few whole requests, all of which are kept.
_HEAD_PIECE_BYTES = 2_048
_BODY_PIECE_BYTES = 16_384
# Fields of a head. The usual limit of 16 KiB holds 3,276 of the shortest.
MAX_FIELDS = 4_096
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


class RequestListener(Protocol):
    """Notified of the requests on a connection."""

    @property
    def limits(self) -> ConnectionLimits:
        """Limits in force."""

    def on_request_started(self) -> None:
        """Handle the first byte of a request."""

    def on_head_complete(self) -> None:
        """Handle the end of a head."""

    def on_request(self, request: CallerRequest) -> None:
        """Handle a request that was received completely."""


class RequestReader:
    """The request that is being received on a connection.

    Parameters
    ----------
    listener : RequestListener

    Attributes
    ----------
    rejection : (int, str) or None
        Refusal of what follows the requests that were received.
    keep_alive : bool
        Whether further requests may follow.
    is_stopped : bool
        Whether what follows is ignored, after a refusal.
    is_reading, in_body : bool
        Whether a part of a request, and all of its head, has arrived.
    expects_interim : bool
        Whether the caller waits for an interim response before the body.
    started_s : float
        Time of the first byte of the request.
    """

    __slots__ = (
        '_body',
        '_body_started_s',
        '_declared_bytes',
        '_fields_parsed',
        '_header_bytes',
        '_headers',
        '_limits',
        '_listener',
        '_loop',
        '_max_fields',
        '_overhead_bytes',
        '_parser',
        '_progress_s',
        '_small_parts',
        '_target',
        'expects_interim',
        'in_body',
        'is_reading',
        'is_stopped',
        'keep_alive',
        'rejection',
        'started_s',
    )

    def __init__(self, listener: RequestListener) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._limits = listener.limits
        self._parser = RequestParser(self)
        self.rejection: tuple[int, str] | None = None
        self.keep_alive = True
        self.is_stopped = False
        self._small_parts = 0
        # Fields that were parsed at a stretch, and how many may be.
        self._fields_parsed = 0
        self._max_fields = _MAX_FIELDS_IN_READ
        self.reset()

    def reset(self) -> None:
        """Forget the request that is being received."""
        self.in_body = False
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
        self.started_s = 0.0
        self.is_reading = False
        self.expects_interim = False

    @property
    def held_bytes(self) -> int:
        """Memory of the request."""
        return (
            self._header_bytes
            + len(self._headers) * FIELD_BYTES
            + len(self._body)
        )

    @property
    def missing_bytes(self) -> int:
        """Missing part of a body whose length is given in the head."""
        return self._declared_bytes - len(self._body)

    @property
    def upload(self) -> Upload:
        """The request that is being received."""
        return Upload(
            self._target,
            self._headers,
            self.started_s,
            len(self._body),
            self.missing_bytes,
            self._progress_s,
        )

    @property
    def accepts_input(self) -> bool:
        """Whether what arrives may belong to a request."""
        return not self.is_stopped and self.keep_alive

    @property
    def is_costly(self) -> bool:
        """Whether the rest of a read waits for the connection's turn."""
        return (
            self._small_parts > _MAX_SMALL_PARTS
            or self._fields_parsed > self._max_fields
        )

    def start_read(self) -> None:
        """Count what is parsed of a new read."""
        self._start_stretch(_MAX_FIELDS_IN_READ)

    def continue_read(self, paused_s: float) -> None:
        """Continue after a pause that does not count against the caller."""
        self._body_started_s += paused_s
        self._progress_s += paused_s
        self._start_stretch(_MAX_FIELDS_IN_TURN)

    def record_progress(self) -> None:
        """Record that a part of a body has arrived."""
        if self.in_body:
            self._progress_s = self._loop.time()

    def feed(self, view: memoryview) -> memoryview:
        """Parse a piece of what was read; return the rest.

        Afterwards, `rejection` is set if what follows is refused.
        """
        size = _BODY_PIECE_BYTES if self.in_body else _HEAD_PIECE_BYTES
        piece = view[:size]
        self._limits = self._listener.limits
        self._overhead_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            # What follows a CONNECT would be of another protocol.
            self.keep_alive = False
        except httptools.HttpParserError as error:
            # RFC 9112, section 9.6: nothing follows the request with which
            # the caller announced the end.
            if self.keep_alive and self.rejection is None:
                self.rejection = (400, str(error))
        limit_bytes = self._limits.header_bytes + _MAX_OVERHEAD_BYTES
        if self._overhead_bytes > limit_bytes and self.rejection is None:
            # The parser keeps the beginning of an endless field to itself.
            self.rejection = (431, 'header too large')
        return view[size:]

    def body_wait_s(self, now_s: float) -> float:
        """Return how long to wait for the next part of a body; 0 if over."""
        remaining_s = self._progress_s + self._listener.limits.idle_timeout_s
        return 0.0 if self.is_slow(now_s) else max(0.0, remaining_s - now_s)

    def is_slow(self, now_s: float) -> bool:
        """Whether a body arrives below the least rate."""
        if not self.in_body:
            return False
        elapsed_s = now_s - self._body_started_s - RATE_GRACE_S
        return elapsed_s * MIN_BYTES_PER_S > len(self._body)

    def _start_stretch(self, max_fields: int) -> None:
        self._small_parts = 0
        self._fields_parsed = 0
        self._max_fields = max_fields

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits.header_bytes:
            self.rejection = (431, 'header too large')

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a request; empty lines before it are ignored."""
        if self.is_stopped:
            return
        self.is_reading = True
        self._overhead_bytes = 0
        self.started_s = self._loop.time()
        self._listener.on_request_started()

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header field."""
        self._headers.append((name.lower(), value))
        self._fields_parsed += 1
        self._count_header(len(name) + len(value) + 4)
        if len(self._headers) > MAX_FIELDS:
            self.rejection = (431, 'too many fields')

    def on_headers_complete(self) -> None:
        """Check protocol version, framing and declared length."""
        if self.rejection is not None:
            return
        self.in_body = True
        self._overhead_bytes = 0
        self._body_started_s = self._progress_s = self._loop.time()
        if self._parser.get_http_version() not in ('1.1', '1.0'):
            self.rejection = (400, 'unknown protocol version')
        codings = _fields.find_all(self._headers, b'transfer-encoding')
        lengths = _fields.find_all(self._headers, b'content-length')
        if len(_fields.find_all(self._headers, b'host')) != 1:
            self.rejection = (400, 'needs exactly one Host field')
        if len(lengths) > 1 or (lengths and codings):
            self.rejection = (400, 'length given twice')
        if codings and (len(codings) > 1 or codings[0].lower() != b'chunked'):
            self.rejection = (400, 'unknown transfer coding')
        declared = int(lengths[0]) if lengths and lengths[0].isdigit() else 0
        if declared > self._limits.body_bytes:
            self.rejection = (413, 'body too large')
        self._declared_bytes = declared
        self._listener.on_head_complete()
        expected = _fields.find(self._headers, b'expect')
        if self.rejection is None and expected is not None:
            self.expects_interim = True

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        size = len(data)
        if size < _SMALL_PART_BYTES:
            self._small_parts += 1
        self._overhead_bytes = max(
            0, self._overhead_bytes - size - _PART_OVERHEAD_BYTES
        )
        if len(self._body) + size > self._limits.body_bytes:
            self.rejection = (413, 'body too large')
        elif not self._body:
            self._body = data
        else:
            # A list of one-byte parts takes many times their content.
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += data

    def on_message_complete(self) -> None:
        """Pass on the request."""
        if self.rejection is not None or self.is_stopped:
            return
        request = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self.started_s,
            self._loop.time(),
        )
        if not self._parser.should_keep_alive():
            self.keep_alive = False
        self.reset()
        self._listener.on_request(request)
