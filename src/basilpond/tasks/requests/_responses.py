"""Responses to callers, either sent directly or stored in a buffer.

The response to a request with an ``Idempotency-Key`` is written to a buffer,
so that a retry can read it from the first byte while the request is running,
and a finished response can be replayed.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import AsyncIterator
import dataclasses
from typing import Protocol

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from ._request_log import RequestEnd


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: dict[str, str]


class ResponseSink(Protocol):
    """Receiver of one response.

    Attributes
    ----------
    started : bool
        Whether `start` was called, so that no other response can be sent.
    """

    started: bool

    async def start(self, head: ResponseHead) -> None:
        """Send status and headers; called once, before any `write`."""
        ...

    async def write(self, data: bytes) -> None:
        """Send part of the body.

        Raises
        ------
        ConnectionError
            The caller closed its connection.
        """
        ...

    def write_now(self, data: bytes) -> bool:
        """Send part of the body without waiting.

        The first part has to be sent by `write`.

        Returns
        -------
        bool
            False if `drain` should be awaited before more is written.

        Raises
        ------
        ConnectionError
            The caller closed its connection.
        """
        ...

    async def drain(self) -> None:
        """Wait until the caller has read enough to write more.

        Raises
        ------
        ConnectionError
            The caller closed its connection.
        """
        ...

    async def finish(self) -> None:
        """Mark the end of a complete body."""
        ...

    def abort(self) -> None:
        """End the response without the end of its body."""
        ...


class DirectResponse:
    """Response that is sent to one caller and not stored.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
    """

    __slots__ = (
        '_chunked',
        '_protocol',
        '_request',
        '_transport',
        '_writer',
        'response',
        'started',
    )

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request
        self._writer: AbstractStreamWriter | None = None
        self._chunked = False
        self._protocol = request.protocol
        # Set by the first write, which sends the headers.
        self._transport: asyncio.Transport | None = None
        self.response: web.StreamResponse | None = None
        self.started = False

    async def start(self, head: ResponseHead) -> None:
        """Send status and headers."""
        self.started = True
        self.response = web.StreamResponse(
            status=head.status, headers=head.headers
        )
        self._writer = await self.response.prepare(self._request)
        self._chunked = (
            self.response.headers.get('Transfer-Encoding') == 'chunked'
        )

    async def write(self, data: bytes) -> None:
        """Send part of the body."""
        await self.response.write(data)
        self._transport = self._request.transport

    def write_now(self, data: bytes) -> bool:
        """Send part of the body without waiting."""
        protocol = self._protocol
        # aiohttp sets the transport of a lost connection to None. Checking
        # whether the transport is closing would cost two more calls per frame.
        if protocol.transport is None:
            raise ConnectionResetError('the caller closed its connection')
        if self._chunked:
            # The chunk format of aiohttp's writer, without its coroutine.
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._transport.write(data)
        return not protocol.writing_paused

    async def drain(self) -> None:
        """Wait until the transport's write buffer is below its limit."""
        await self._writer.drain()

    async def finish(self) -> None:
        """Send the end of the body."""
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection, so that the caller detects truncation."""
        transport = self._request.transport
        if transport is not None:
            transport.close()


class BufferedResponse:
    """Response that is stored and can be read by any number of callers.

    Parameters
    ----------
    body_digest : str
        Digest of the request, `CallerRequest.body_digest`.
    end : RequestEnd, optional
        Outcome of the run that writes the response.
    """

    __slots__ = (
        'body_digest',
        'end',
        'head',
        'started',
        'finished',
        'aborted',
        'size_bytes',
        '_parts',
        '_changed',
    )

    def __init__(
        self, body_digest: str, end: RequestEnd | None = None
    ) -> None:
        self.body_digest = body_digest
        self.end = end
        self.head: ResponseHead | None = None
        self.started = False
        self.finished = False
        self.aborted = False
        self.size_bytes = 0
        self._parts: list[bytes] = []
        self._changed = asyncio.Event()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self, head: ResponseHead) -> None:
        """Store status and headers."""
        self.head = head
        self.started = True
        self._notify()

    async def write(self, data: bytes) -> None:
        """Store part of the body."""
        self.write_now(data)

    def write_now(self, data: bytes) -> bool:
        """Store part of the body."""
        self._parts.append(data)
        self.size_bytes += len(data)
        self._notify()
        return True

    async def drain(self) -> None:
        """Return immediately: the buffer accepts any amount of data."""

    async def finish(self) -> None:
        """Mark the body as complete."""
        self.finished = True
        self._notify()

    def abort(self) -> None:
        """Mark the response as ended with an incomplete body."""
        self.aborted = True
        self._notify()

    async def wait_head(self) -> ResponseHead | None:
        """Wait for the head; return None if the run ends without one."""
        while self.head is None and not self.aborted:
            await self._changed.wait()
        return self.head

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body from its first byte until the response ends.

        Parts that were written since the last one was yielded are joined.
        """
        position = 0
        while True:
            if position < len(self._parts):
                data = b''.join(self._parts[position:])
                position = len(self._parts)
                yield data
            elif self.finished or self.aborted:
                return
            else:
                await self._changed.wait()

    def body(self) -> bytes:
        """Return the body as far as it has been written."""
        return b''.join(self._parts)


class ResponseStore:
    """Buffered responses by organisation and request id.

    Parameters
    ----------
    max_bytes : int
        Maximum total size of the finished responses; beyond it the oldest
        are evicted.
    retention_s : float
        Time in seconds for which a finished response can be replayed.
    """

    __slots__ = (
        '_max_bytes',
        '_retention_s',
        '_responses',
        '_finished',
        '_size_bytes',
    )

    def __init__(self, max_bytes: int, retention_s: float) -> None:
        self._max_bytes = max_bytes
        self._retention_s = retention_s
        self._responses: dict[tuple[str, str], BufferedResponse] = {}
        self._finished: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )
        self._size_bytes = 0

    def get(
        self, organisation: str, request_id: str
    ) -> BufferedResponse | None:
        """Return a running or finished response, or None."""
        return self._responses.get((organisation, request_id))

    def add(
        self, organisation: str, request_id: str, response: BufferedResponse
    ) -> None:
        """Add the response of a request that starts to run."""
        self._responses[organisation, request_id] = response

    def remove(self, organisation: str, request_id: str) -> None:
        """Remove the response of a run that was not completed."""
        self._responses.pop((organisation, request_id), None)

    def keep(self, organisation: str, request_id: str, now_s: float) -> None:
        """Retain a finished response for later retries.

        Parameters
        ----------
        organisation, request_id : str
        now_s : float
            Time on the event loop's clock, from which retention counts.
        """
        key = (organisation, request_id)
        self._finished[key] = now_s + self._retention_s
        self._size_bytes += self._responses[key].size_bytes
        self.expire(now_s)

    def expire(self, now_s: float) -> None:
        """Evict finished responses that are too old or exceed `max_bytes`."""
        while self._finished:
            key, expires_s = next(iter(self._finished.items()))
            if expires_s > now_s and self._size_bytes <= self._max_bytes:
                return
            del self._finished[key]
            self._size_bytes -= self._responses.pop(key).size_bytes
