"""The two connections over which a router relays bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import socket
import struct

from ...http1 import KEEPALIVE_OPTIONS
from ...http1 import EarlyEnd
from ...http1 import has_failed
from ...http1 import may_be_early
from ...http1 import unsent_bytes
from ._frames import FrameKind
from ._frames import encode_frame

# Interval in which a router's connection that is not read is checked; its
# caller may have left, which the endpoint learns within 0.5 s.
_PAUSE_CHECK_S = 0.1
# Value of SO_LINGER, on and 0 s, with which closing resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class EndpointSide(asyncio.Protocol):
    """Connection to the endpoint."""

    def __init__(self, tunnel: Tunnel) -> None:
        self._tunnel = tunnel
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that detect an unresponsive endpoint."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the router."""
        self._tunnel.pass_on(data)

    def pause_writing(self) -> None:
        """Have the router wait while the endpoint does not read."""
        self._tunnel.pause_router()

    def resume_writing(self) -> None:
        """Let the router send again."""
        self._tunnel.resume_router()

    def eof_received(self) -> bool:
        """Tell the router of the end, once it is known to be one."""
        return self._tunnel.end_response()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the router of a break."""
        self._tunnel.break_response()


class Tunnel:
    """Relays between a router and an endpoint.

    Parameters
    ----------
    router : asyncio.Transport
        Connection to the router that asked for it.
    on_close : callable
        Called once with the tunnel when it has ended.
    on_broken : callable
        Called when the endpoint's connection breaks before a response has
        begun; `end_broken` is to be called then.
    """

    __slots__ = (
        '_answered',
        '_early_end',
        '_ended',
        '_endpoint',
        '_on_broken',
        '_on_close',
        '_pause_timer',
        '_request_bytes',
        '_router',
        'sent_bytes',
    )

    def __init__(
        self,
        router: asyncio.Transport,
        on_close: Callable[[Tunnel], None],
        on_broken: Callable[[], None],
    ) -> None:
        self._on_broken = on_broken
        self._pause_timer: asyncio.TimerHandle | None = None
        self._router = router
        self._on_close = on_close
        self._endpoint = EndpointSide(self)
        self._early_end: EarlyEnd | None = None
        self._ended = False
        # Bytes passed to the endpoint since it last sent any, and whether it
        # has sent any since.
        self._request_bytes = 0
        self._answered = False
        # Bytes written in both directions.
        self.sent_bytes = 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the network has not taken."""
        endpoint = self._endpoint.transport
        return unsent_bytes(self._router) + (
            0 if endpoint is None else unsent_bytes(endpoint)
        )

    async def connect(self, host: str, port: int, timeout_s: float) -> None:
        """Connect to the endpoint.

        Raises
        ------
        OSError, ValueError, OverflowError
            The last two for hosts and ports that cannot be.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: self._endpoint, host, port)

    # From the router.

    def send(self, data: bytes) -> None:
        """Pass bytes on to the endpoint."""
        endpoint = self._endpoint.transport
        if endpoint is None or endpoint.is_closing():
            return
        if self._answered:
            self._answered = False
            self._request_bytes = 0
        self._request_bytes += len(data)
        self.sent_bytes += len(data)
        endpoint.write(data)

    def pause_endpoint(self) -> None:
        """Have the endpoint wait while the router does not read."""
        if self._endpoint.transport is not None:
            self._endpoint.transport.pause_reading()

    def resume_endpoint(self) -> None:
        """Let the endpoint send again."""
        endpoint = self._endpoint.transport
        if endpoint is not None and not endpoint.is_closing():
            endpoint.resume_reading()

    def close(self) -> None:
        """End the endpoint's connection by a reset, so that it stops work."""
        if self._early_end is not None:
            self._early_end.cancel()
        self._stop_pause_check()
        self._ended = True
        if self._endpoint.transport is not None:
            reset(self._endpoint.transport)
        self._on_close(self)

    # From the endpoint.

    def pass_on(self, data: bytes) -> None:
        """Pass bytes on to the router."""
        self._answered = True
        self._write(FrameKind.DATA, data)

    def pause_router(self) -> None:
        """Leave what the router sends in the kernel."""
        self._router.pause_reading()
        self._check_paused()

    def _check_paused(self) -> None:
        # The event loop does not read, and so does not see that the router
        # has reset the connection.
        if has_failed(self._router):
            self._router.abort()
            return
        loop = asyncio.get_running_loop()
        self._pause_timer = loop.call_later(_PAUSE_CHECK_S, self._check_paused)

    def _stop_pause_check(self) -> None:
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None

    def resume_router(self) -> None:
        """Read from the router again."""
        self._stop_pause_check()
        if not self._router.is_closing():
            self._router.resume_reading()

    def end_response(self) -> bool:
        """Tell the router that the endpoint closed its sending side.

        Returns
        -------
        bool
            Whether the endpoint's connection stays open until that is sure.
        """
        endpoint = self._endpoint.transport
        assert endpoint is not None
        if has_failed(endpoint):
            self._finish(FrameKind.BROKEN)
            return False
        if not may_be_early(endpoint, self._request_bytes):
            self._finish(FrameKind.END)
            return False
        # No further request fits on this connection.
        self._write(FrameKind.LEAVING)
        self._early_end = EarlyEnd(
            endpoint,
            lambda is_whole: self._finish(
                FrameKind.END if is_whole else FrameKind.BROKEN
            ),
        )
        return True

    def break_response(self) -> None:
        """Tell the router that the endpoint's connection broke."""
        if self._ended or self._answered or not self._request_bytes:
            self._finish(FrameKind.BROKEN)
        else:
            self._on_broken()

    def end_broken(self, *, by_endpoint: bool) -> None:
        """End after a break before the response.

        Parameters
        ----------
        by_endpoint : bool
            Whether it was the endpoint's fault. The router gets no frame
            otherwise, as if this process had ended.
        """
        if by_endpoint:
            self._finish(FrameKind.BROKEN)
        elif not self._ended:
            self._router.abort()

    def announce_stop(self) -> None:
        """Tell the router to send no further request."""
        if not self._ended:
            self._write(FrameKind.LEAVING)

    def _finish(self, kind: FrameKind) -> None:
        if self._ended:
            return
        self._ended = True
        self._write(kind)
        self._router.close()

    def _write(self, kind: FrameKind, data: bytes = b'') -> None:
        if self._router.is_closing():
            return
        head = encode_frame(kind, len(data))
        self.sent_bytes += len(head) + len(data)
        self._router.write(head + data)


def set_keepalive(transport: asyncio.Transport) -> None:
    """Have the kernel close a connection whose peer does not respond."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    for option, value in KEEPALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection; what the kernel has not delivered is dropped."""
    sock = transport.get_extra_info('socket')
    if sock is not None and sock.fileno() != -1:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
