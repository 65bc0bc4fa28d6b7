"""Writing of responses, and what callers have not read of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from ._messages import MIN_BYTES_PER_S
from ._messages import RATE_GRACE_S
from ._socket_bytes import unsent_bytes

# A caller's connection is closed before the next write when more unread bytes
# than this are buffered for it. Responses of services are a few kilobytes;
# streams are paused by backpressure long before.
MAX_UNREAD_BYTES = 4 * 1024 * 1024
# Responses of this size are checked for unread bytes. The kernel usually takes
# a smaller one at once.
_LARGE_WRITE_BYTES = 65_536


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


class ResponseOutput:
    """Responses on one connection, which its caller may read slowly.

    Parameters
    ----------
    update_account : callable
        Records what the connection holds; returns whether it may.
    abort_unread : callable
        Closes the connection of a caller that does not read.
    """

    __slots__ = (
        '_abort_unread',
        '_drained',
        '_loop',
        '_read_check',
        '_source',
        '_transport',
        '_update_account',
        'is_congested',
        'sent_bytes',
        'unread_bytes',
    )

    def __init__(
        self,
        update_account: Callable[[], bool],
        abort_unread: Callable[[], None],
    ) -> None:
        self._update_account = update_account
        self._abort_unread = abort_unread
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        # Whether the write buffer is above the high-water mark.
        self.is_congested = False
        self._drained: asyncio.Future[None] | None = None
        # Bytes of all responses.
        self.sent_bytes = 0
        # Of these, what the kernel had not taken when it was last checked.
        self.unread_bytes = 0
        # Endpoint's side of a stream while the caller does not read.
        self._source: StreamSource | None = None
        # Checks whether the caller reads, while it has much to read.
        self._read_check: asyncio.TimerHandle | None = None

    def open(self, transport: asyncio.Transport) -> None:
        """Write to a transport from now on."""
        self._transport = transport

    @property
    def is_open(self) -> bool:
        """Whether the connection has not ended on either side."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_sending(self) -> bool:
        """Whether the kernel has not taken all of a response yet."""
        return (
            self._transport is not None
            and self._transport.get_write_buffer_size() > 0
        )

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the network has not taken."""
        if self._transport is None or not self.is_open:
            return 0
        return unsent_bytes(self._transport)

    @property
    def held_bytes(self) -> int:
        """Memory of unread responses and of the endpoint's side."""
        if self._source is None:
            return self.unread_bytes
        return self.unread_bytes + self._source.buffered_bytes

    def write(self, data: bytes) -> None:
        """Write data, or close if the caller has too much unread data."""
        if self._transport is None or self._transport.is_closing():
            return
        unread_bytes = self._transport.get_write_buffer_size()
        if unread_bytes > MAX_UNREAD_BYTES:
            self._abort_unread()
            return
        self._transport.write(data)
        self.sent_bytes += len(data)
        if unread_bytes or self.unread_bytes or len(data) > _LARGE_WRITE_BYTES:
            self._record_buffered()

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

    def pause(self) -> None:
        """Mark the connection as congested."""
        self.is_congested = True
        self.start_read_check()

    def resume(self) -> None:
        """Mark the connection as no longer congested."""
        self.is_congested = False
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        if self._read_check is not None:
            self._read_check.cancel()
            self._read_check = None
        self.record_unread()

    def record_unread(self) -> bool:
        """Account what is unread; return whether it may be held."""
        if self._transport is None or self._transport.is_closing():
            return True
        self.unread_bytes = self._transport.get_write_buffer_size()
        return self._update_account()

    def refresh(self) -> None:
        """Bring the account of unread responses up to date."""
        if self.unread_bytes:
            self.record_unread()

    def start_read_check(self) -> None:
        """Check from now on that the caller reads."""
        if self._read_check is None and self._transport is not None:
            self._read_check = self._loop.call_later(
                RATE_GRACE_S, self._check_read, self._taken_bytes()
            )

    def _record_buffered(self) -> None:
        if not self.record_unread():
            self._abort_unread()

    def _taken_bytes(self) -> int:
        # What the caller has acknowledged of all that was written.
        assert self._transport is not None
        return self.sent_bytes - unsent_bytes(self._transport)

    def _check_read(self, taken_before_bytes: int) -> None:
        self._read_check = None
        if not self.is_sending:
            return
        taken_bytes = self._taken_bytes() - taken_before_bytes
        if taken_bytes < MIN_BYTES_PER_S * RATE_GRACE_S:
            self._abort_unread()
        else:
            self.start_read_check()
