"""Passes each read of a response body to a callback, without a task."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp

# Receives bytes of the body and returns False to pause reading. It is called
# from the event loop, not from a task of the request, and may raise.
DataCallback = Callable[[bytes], bool]


# asyncio's transport allocates 256 KiB for each read of a plain protocol,
# which takes four times as long as the read itself. The loop reads one socket
# at a time, so that all readers of a process share one buffer.
_READ_BUFFER = memoryview(bytearray(65_536))


class BodyReader(asyncio.BufferedProtocol):
    """Passes each read of a response body to a callback.

    A task that awaits each read is scheduled once per frame, which costs about
    as much as relaying the frame. This protocol is therefore inserted between
    the transport and aiohttp's own protocol: it forwards all events, and after
    each read takes the bytes that aiohttp's parser has added to the body.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Response whose head has been read and whose body no task reads.
    on_data : callable
        Gets the bytes of each read; returns False to pause reading.
    """

    def __init__(
        self, response: aiohttp.ClientResponse, on_data: DataCallback
    ) -> None:
        self._content = response.content
        self._on_data = on_data
        self._at_end = False
        self._ended = False
        self._error: Exception | None = None
        self._paused = False
        self._read_waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._inner_protocol: asyncio.Protocol | None = None
        connection = response.connection
        # aiohttp releases the connection once the complete body has arrived.
        if connection is not None and connection.transport is not None:
            self._transport = connection.transport
            self._inner_protocol = connection.protocol
            self._transport.set_protocol(self)
        # A callback, because checking for the end after each read costs a call
        # per frame. It runs immediately if the body has already ended.
        response.content.on_eof(self._on_eof)

    def _on_eof(self) -> None:
        self._at_end = True

    async def read(self) -> bool:
        """Read until the body ends or `on_data` requests a pause.

        Returns
        -------
        bool
            False at the end of the body.

        Raises
        ------
        Exception
            The exception that `on_data` raised, or the error with which the
            connection was lost.
        """
        if self._paused:
            self._paused = False
            if self._transport is not None:
                self._transport.resume_reading()
        self._deliver()
        if not self._ended and not self._paused:
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        if self._error is not None:
            raise self._error
        return not self._ended

    def close(self) -> None:
        """Return the transport to aiohttp's protocol."""
        self._ended = True
        if self._transport is not None:
            if self._transport.get_protocol() is self:
                self._transport.set_protocol(self._inner_protocol)
            self._transport = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes of a read and pass the body to the callback."""
        self._inner_protocol.data_received(bytes(_READ_BUFFER[:nbytes]))
        if not self._ended and not self._paused:
            self._deliver()

    def eof_received(self) -> bool | None:
        """Forward the event."""
        return self._inner_protocol.eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        """Forward the event and pass on the rest of the body."""
        self._inner_protocol.connection_lost(error)
        if not self._ended and not self._paused:
            self._deliver()

    def pause_writing(self) -> None:
        """Forward the event."""
        self._inner_protocol.pause_writing()

    def resume_writing(self) -> None:
        """Forward the event."""
        self._inner_protocol.resume_writing()

    def _deliver(self) -> None:
        more = True
        try:
            data = self._content.read_nowait()
            if data:
                more = self._on_data(data)
        except Exception as error:
            self._error = error
            self.close()
        if more and not self._at_end and not self._ended:
            return
        if self._at_end:
            # The connection is back in the pool now; the next request must
            # not get this protocol with it.
            self.close()
        elif not self._ended:
            self._paused = True
            if self._transport is not None:
                self._transport.pause_reading()
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)
