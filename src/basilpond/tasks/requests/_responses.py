"""Ways to deliver an answer: directly to one caller, or through a buffer.

A request with an ``Idempotency-Key`` runs into a buffer, so that a retry can
attach to it from the first byte and a finished answer can be given again.
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
    """Status and headers of an answer."""

    status: int
    headers: dict[str, str]


class ResponseSink(Protocol):
    """Receiver of one answer."""

    started: bool

    async def start(self, head: ResponseHead) -> None:
        """Send status and headers; called once, before any byte."""
        ...

    async def write(self, data: bytes) -> None:
        """Send part of the body.

        Raises
        ------
        ConnectionError
            The caller is gone.
        """
        ...

    def write_now(self, data: bytes) -> bool:
        """Send part of the body, but not its first, without waiting.

        Returns
        -------
        bool
            Whether more may be written before `drain`.

        Raises
        ------
        ConnectionError
            The caller is gone.
        """
        ...

    async def drain(self) -> None:
        """Wait until the caller has read enough for more to be written.

        Raises
        ------
        ConnectionError
            The caller is gone.
        """
        ...

    async def finish(self) -> None:
        """End the body properly."""
        ...

    def abort(self) -> None:
        """End without a proper end of the body."""
        ...


class DirectResponse:
    """Answer that goes to one caller and is not kept.

    Parameters
    ----------
    request : aiohttp.web.Request
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
        # A lost connection has no transport. Asking the transport whether it
        # is closing would take two more calls a frame.
        if protocol.transport is None:
            raise ConnectionResetError('the caller closed its connection')
        if self._chunked:
            # The framing of aiohttp's writer without its coroutine.
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._transport.write(data)
        return not protocol.writing_paused

    async def drain(self) -> None:
        """Wait until the transport's buffer is below its limit."""
        await self._writer.drain()

    async def finish(self) -> None:
        """End the body properly."""
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection, so that the caller sees a truncated body."""
        transport = self._request.transport
        if transport is not None:
            transport.close()


class BufferedResponse:
    """Answer that is kept and read by any number of callers.

    Parameters
    ----------
    body_digest : str
        Digest of the request body that it answers.
    end : RequestEnd, optional
        Outcome of the run that writes the answer.
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
        """Keep status and headers."""
        self.head = head
        self.started = True
        self._notify()

    async def write(self, data: bytes) -> None:
        """Keep part of the body."""
        self.write_now(data)

    def write_now(self, data: bytes) -> bool:
        """Keep part of the body."""
        self._parts.append(data)
        self.size_bytes += len(data)
        self._notify()
        return True

    async def drain(self) -> None:
        """Return at once, because the answer is kept whole."""

    async def finish(self) -> None:
        """Mark the body as whole."""
        self.finished = True
        self._notify()

    def abort(self) -> None:
        """Mark the answer as ended without its whole body."""
        self.aborted = True
        self._notify()

    async def wait_head(self) -> ResponseHead | None:
        """Return the head, or `None` when the run ends without one."""
        while self.head is None and not self.aborted:
            await self._changed.wait()
        return self.head

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body from its first byte, joined where it is late."""
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
        """Return all bytes so far."""
        return b''.join(self._parts)


class ResponseStore:
    """Running and finished buffered answers by organisation and request id.

    Parameters
    ----------
    max_bytes : int
        Bound on finished answers; the oldest are dropped beyond it.
    keep_s : float
        Time for which a finished answer can be given again.
    """

    __slots__ = ('_max_bytes', '_keep_s', '_responses', '_finished', '_bytes')

    def __init__(self, max_bytes: int, keep_s: float) -> None:
        self._max_bytes = max_bytes
        self._keep_s = keep_s
        self._responses: dict[tuple[str, str], BufferedResponse] = {}
        self._finished: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def get(
        self, organisation: str, request_id: str
    ) -> BufferedResponse | None:
        """Return a running or finished answer."""
        return self._responses.get((organisation, request_id))

    def add(
        self, organisation: str, request_id: str, response: BufferedResponse
    ) -> None:
        """Register a running answer."""
        self._responses[organisation, request_id] = response

    def remove(self, organisation: str, request_id: str) -> None:
        """Forget an answer that did not become whole."""
        self._responses.pop((organisation, request_id), None)

    def keep(self, organisation: str, request_id: str, now_s: float) -> None:
        """Keep a finished answer for later retries."""
        key = (organisation, request_id)
        self._finished[key] = now_s + self._keep_s
        self._bytes += self._responses[key].size_bytes
        self.expire(now_s)

    def expire(self, now_s: float) -> None:
        """Drop answers that are too old or exceed the bound."""
        while self._finished:
            key, expires_s = next(iter(self._finished.items()))
            if expires_s > now_s and self._bytes <= self._max_bytes:
                return
            del self._finished[key]
            self._bytes -= self._responses.pop(key).size_bytes
