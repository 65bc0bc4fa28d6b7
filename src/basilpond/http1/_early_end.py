"""End of a response that its server may have sent before reading a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._socket_bytes import has_failed
from ._socket_bytes import unsent_bytes

# Time without a reset after the peer's kernel has taken the whole request. A
# peer in trouble closes its sending side and resets the connection a little
# later, and its kernel may hold what it has not read.
RESET_WAIT_S = 0.5
# Requests of this size may be unread when the kernel of the peer has taken
# them. The ends of responses to smaller ones are not held back.
LARGE_REQUEST_BYTES = 65_536
_POLL_INTERVAL_S = 0.01


def may_be_early(transport: asyncio.Transport, request_bytes: int) -> bool:
    """Whether the peer may have ended a response before it read the request.

    Parameters
    ----------
    transport : asyncio.Transport
    request_bytes : int
        Size of the request.
    """
    return request_bytes >= LARGE_REQUEST_BYTES or bool(
        unsent_bytes(transport)
    )


class EarlyEnd:
    """Watches a connection whose peer has closed its sending side.

    A server may end its response with the connection, read the rest of the
    request and close only then (RFC 9112, section 9.6). If it resets the
    connection instead, its response may have been cut.

    Parameters
    ----------
    transport : asyncio.Transport
        Its event loop no longer reads, and notices a reset only by writing.
    on_end : callable
        Called once with whether the response is whole.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        on_end: Callable[[bool], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._on_end = on_end
        self._taken_s: float | None = None
        self._timer = self._loop.call_soon(self._check)

    def cancel(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _check(self) -> None:
        now_s = self._loop.time()
        if has_failed(self._transport):
            self._on_end(False)
            return
        if unsent_bytes(self._transport):
            self._taken_s = None
        elif self._taken_s is None:
            self._taken_s = now_s
        elif now_s - self._taken_s >= RESET_WAIT_S:
            self._on_end(True)
            return
        self._timer = self._loop.call_later(_POLL_INTERVAL_S, self._check)
