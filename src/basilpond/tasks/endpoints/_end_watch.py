"""End of a connection whose response has neither length nor chunks."""

from __future__ import annotations

import asyncio

from ...http1 import EarlyEnd
from ...http1 import has_failed
from ...http1 import may_be_early


class EndWatch(asyncio.Protocol):
    """Passes an end on once the endpoint has taken the whole request.

    Inserted between the transport and aiohttp's protocol, which takes each end
    as that of the body. An end that a reset follows is passed on as a reset.

    Parameters
    ----------
    transport : asyncio.Transport
    inner : asyncio.Protocol
    request_bytes : int
        Size of the request's body.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        inner: asyncio.Protocol,
        request_bytes: int,
    ) -> None:
        self._request_bytes = request_bytes
        self._transport = transport
        self._inner = inner
        self._early_end: EarlyEnd | None = None
        self._is_reset = False
        transport.set_protocol(self)

    def data_received(self, data: bytes) -> None:
        """Pass data on."""
        self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        """Hold the end back while the request is being sent."""
        if has_failed(self._transport):
            self._is_reset = True
        elif may_be_early(self._transport, self._request_bytes):
            self._early_end = EarlyEnd(self._transport, self._end)
            return True
        return self._inner.eof_received()

    def _end(self, is_whole: bool) -> None:
        self._is_reset = not is_whole
        self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the end on."""
        if self._early_end is not None:
            self._early_end.cancel()
        if self._is_reset and exc is None:
            exc = ConnectionResetError('reset after the end of the response')
        self._inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass the state of the transport on."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass the state of the transport on."""
        self._inner.resume_writing()
