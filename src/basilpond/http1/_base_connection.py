"""Transport of a caller's connection, and what it holds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from typing import Protocol

from ._fields import Header
from ._memory_budget import Account
from ._messages import ConnectionLimits
from ._messages import UnansweredClose
from ._messages import Upload
from ._resources import ClientResources
from ._responder import Handler
from ._response_output import ResponseOutput
from ._response_output import StreamSource
from ._socket_bytes import has_unread_input

# Bytes read in one iteration of the event loop, as from endpoints.
READ_BYTES = 65_536


class ConnectionServer(Protocol):
    """Server that connections belong to, see CallerServer."""

    resources: ClientResources
    limits: ConnectionLimits
    handler: Handler
    on_reject: Callable[[int, str], None]
    on_unanswered: Callable[[UnansweredClose], None]
    check_upload: Callable[[Upload], list[Header] | None]
    stopping: bool
    closes_after_response: bool
    closing_idle: bool
    connections: set[Any]
    uploading: set[Any]

    def make_room(self, new: Any) -> None:
        """Close connections if there are more than the limit."""


class BaseConnection(asyncio.BufferedProtocol):
    """Writes responses, closes the connection and gives its resources back."""

    # Shared by all connections: the event loop fills it and calls
    # `buffer_updated` without yielding in between, and what is kept is copied.
    _buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self, server: ConnectionServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._output = ResponseOutput(self.update_account, self._abort_unread)
        self._account = Account(self.shed, self._output.refresh)
        self._timer: asyncio.TimerHandle | None = None
        # Whether a response has told the caller that it is the last one.
        self.end_announced = False
        # What ended the connection; the caller, unless this side does.
        self.close_reason = 'caller'
        self._accepted_s = self._loop.time()
        self._address = ''
        self._is_counted = False

    # Implemented by the connection that has the requests.

    def data_received(self, data: bytes | memoryview) -> None:
        """Handle what was read."""
        raise NotImplementedError

    def update_account(self) -> bool:
        """Record what is held; return whether it may be."""
        raise NotImplementedError

    def shed(self) -> None:
        """Free memory."""
        raise NotImplementedError

    def _on_timer(self) -> None:
        raise NotImplementedError

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._output.open(transport)
        peer = transport.get_extra_info('peername')
        self._address = str(peer[0]) if peer else ''
        self._resources.memory.open(self._account)
        self._resources.descriptors.open += 1
        self._is_counted = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back what the connection held."""
        self._resources.memory.close(self._account)
        self._release_descriptor()

    def pause_writing(self) -> None:
        """Mark the connection as congested."""
        self._output.pause()

    def resume_writing(self) -> None:
        """Mark the connection as no longer congested."""
        self._output.resume()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the event loop reads into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes read into the buffer."""
        self.data_received(self._buffer[:nbytes])

    # State.

    @property
    def limits(self) -> ConnectionLimits:
        """Limits in force."""
        return self._server.limits

    @property
    def is_open(self) -> bool:
        """Whether the connection has not ended on either side."""
        return self._output.is_open

    @property
    def is_congested(self) -> bool:
        """Whether the write buffer is above the high-water mark."""
        return self._output.is_congested

    @property
    def sent_bytes(self) -> int:
        """Bytes of all responses."""
        return self._output.sent_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the network has not taken."""
        return self._output.unsent_bytes

    @property
    def is_sending(self) -> bool:
        """Whether the kernel has not taken all of a response yet."""
        return self._output.is_sending

    # Responses.

    def write(self, data: bytes) -> None:
        """Write data, or close if the caller has too much unread data."""
        self._output.write(data)

    async def drain(self, source: StreamSource | None = None) -> None:
        """Wait while the connection is congested."""
        await self._output.drain(source)

    def _abort_unread(self) -> None:
        if self.close_reason == 'responses not read':
            return
        self._resources.on_limited('responses not read', self._address)
        self.abort('responses not read')
        # The next iteration frees the buffers. Until then they would make the
        # budget shed more streams than needed.
        self._resources.memory.close(self._account)

    # Input.

    def pause_reading(self) -> None:
        """Leave what arrives in the kernel."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if self._transport is not None and self.is_open:
            self._transport.resume_reading()

    def has_unread_input(self) -> bool:
        """Whether bytes have arrived that the event loop has not read."""
        return has_unread_input(self._transport)

    # Close.

    def close(self, reason: str = 'closed') -> None:
        """Close after the written data has been sent."""
        if self._transport is not None and not self._transport.is_closing():
            self.close_reason = reason
            self._transport.close()
            if self.is_sending:
                self._output.start_read_check()
            else:
                # The event loop closes the socket in its next iteration.
                self._release_descriptor()

    def close_surplus(self) -> None:
        """Close at once, as there are too many connections."""
        self._resources.on_limited('too many connections', self._address)
        self._release_descriptor()
        self.abort('too many connections')

    def close_unless_read(self, reason: str) -> None:
        """Close an idle connection unless a request has arrived on it.

        A close with unread bytes resets the connection, and the request in
        them is lost. The event loop reads what has arrived before it runs the
        timers of its next iteration, and a request stops the timer.
        """
        self._set_timer(0.0, lambda: self.close(reason))

    def abort(self, reason: str = 'closed') -> None:
        """Close at once."""
        if self._transport is not None:
            if not self._transport.is_closing():
                self.close_reason = reason
            self._transport.abort()

    @property
    def _resources(self) -> ClientResources:
        return self._server.resources

    def _release_descriptor(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._resources.descriptors.open -= 1

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
