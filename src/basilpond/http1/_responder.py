"""Responses to callers."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

from . import _fields
from ._messages import CallerRequest
from ._response_output import StreamSource


class ResponseConnection(Protocol):
    """Connection that responses are written to.

    Attributes
    ----------
    close_reason : str
        What ended the connection.
    end_announced : bool
        Whether a response has told the caller that it is the last one.
    """

    close_reason: str
    end_announced: bool

    @property
    def is_congested(self) -> bool:
        """Whether the write buffer is above the high-water mark."""

    @property
    def is_open(self) -> bool:
        """Whether the connection has not ended on either side."""

    def keeps_open(self) -> bool:
        """Whether the connection stays open after the current response."""

    def write(self, data: bytes) -> None:
        """Write data, or close if the caller has too much unread data."""

    async def drain(self, source: StreamSource | None = None) -> None:
        """Wait while the connection is congested."""

    def abort(self, reason: str) -> None:
        """Close at once."""


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

    def __init__(self, connection: ResponseConnection) -> None:
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


Handler = Callable[[CallerRequest, Responder], Awaitable[None]]
