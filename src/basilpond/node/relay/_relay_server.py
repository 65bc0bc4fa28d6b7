"""Server through which other routers reach endpoints that they cannot."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import http
from urllib.parse import unquote

from ...http1 import ProtocolFactory
from .._directory import CONNECT_TIMEOUT_S
from .._directory import EndpointDirectory
from .._directory import EndpointEntry
from ._endpoint_connections import EndpointConnections
from ._frames import PATH_PREFIX
from ._frames import PROTOCOL
from ._tunnel import Tunnel
from ._tunnel import set_keepalive

# Start of a request that opens a relayed connection. Other requests to the
# port are those of an HTTP server.
_REQUEST_START = b'GET ' + PATH_PREFIX
_HEAD_END = b'\r\n\r\n'
_MAX_HEAD_BYTES = 4_096
# Time in which the head of a request has to arrive.
_HEAD_TIMEOUT_S = 1.0
# Relayed connections at a time; each takes two descriptors of at least 4,100.
MAX_TUNNELS = 256
_SWITCHING = b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: %s\r\n' % PROTOCOL
# Size of the buffer of either direction from which on its sender waits.
_HIGH_WATER_BYTES = 65_536


class RelayServer:
    """Opens connections to listed endpoints for routers of the fleet.

    Parameters
    ----------
    directory : EndpointDirectory
    connections : EndpointConnections
        Tell which endpoints this router itself reaches, and learn from the
        connections that it opens for others.
    is_router : callable
        Returns whether an IP address is that of a router of the fleet.
    is_full : callable
        Returns whether this router refuses requests for its own load.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        connections: EndpointConnections,
        is_router: Callable[[str], bool],
        is_full: Callable[[], bool],
    ) -> None:
        self._directory = directory
        self._connections = connections
        self._is_router = is_router
        self._is_full = is_full
        self.tunnels: set[Tunnel] = set()
        self._checks: set[asyncio.Task[None]] = set()
        self._stopping = False

    @property
    def active(self) -> int:
        """Number of relayed connections while the router stops.

        The routers that use them end them after their responses.
        """
        return len(self.tunnels) if self._stopping else 0

    def announce_stop(self) -> None:
        """Open no further connections, and have the others end soon."""
        self._stopping = True
        for tunnel in list(self.tunnels):
            tunnel.announce_stop()

    def close(self) -> None:
        """End all connections at once."""
        self._stopping = True
        for tunnel in list(self.tunnels):
            tunnel.close()

    def wrap(self, http_factory: ProtocolFactory) -> ProtocolFactory:
        """Return a factory of protocols for a port shared with HTTP.

        Connections with other requests are handed over to `http_factory`.
        """
        return lambda: RouterSide(self, http_factory)

    def _check_broken(self, entry: EndpointEntry, tunnel: Tunnel) -> None:
        # This router may be cut off by now, which is no fault of the endpoint.
        self._connections.record_failed(entry, timed_out=False, connected=True)
        task = asyncio.create_task(self._end_broken(entry, tunnel))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _end_broken(self, entry: EndpointEntry, tunnel: Tunnel) -> None:
        tunnel.end_broken(
            by_endpoint=await self._connections.reaches_another(entry)
        )

    async def open(
        self, address: str, target: bytes, router: asyncio.Transport
    ) -> tuple[http.HTTPStatus, Tunnel | None]:
        """Connect to an endpoint.

        Parameters
        ----------
        address : str
            IP address of the router that asks.
        target : bytes
            Path of its request.
        router : asyncio.Transport
            Its connection.

        Returns
        -------
        (http.HTTPStatus, Tunnel or None)
            502 and 504 if the endpoint refuses or does not respond; other
            errors say nothing about it.
        """
        if not self._is_router(address):
            return http.HTTPStatus.FORBIDDEN, None
        name = unquote(target.removeprefix(PATH_PREFIX).decode('latin-1'))
        entry = self._directory.find(name)
        if entry is None or entry.endpoint.leaving:
            return http.HTTPStatus.NOT_FOUND, None
        if (
            self._stopping
            or self._is_full()
            or len(self.tunnels) >= MAX_TUNNELS
            or not self._connections.reaches(entry)
        ):
            return http.HTTPStatus.SERVICE_UNAVAILABLE, None
        tunnel = Tunnel(
            router,
            self.tunnels.discard,
            lambda: self._check_broken(entry, tunnel),
        )
        self.tunnels.add(tunnel)
        endpoint = entry.endpoint
        try:
            await tunnel.connect(
                endpoint.host, endpoint.port, CONNECT_TIMEOUT_S
            )
        except (OSError, ValueError, OverflowError) as error:
            self.tunnels.discard(tunnel)
            timed_out = isinstance(error, TimeoutError)
            self._connections.record_failed(entry, timed_out=timed_out)
            if timed_out:
                return http.HTTPStatus.GATEWAY_TIMEOUT, None
            return http.HTTPStatus.BAD_GATEWAY, None
        except asyncio.CancelledError:
            tunnel.close()
            raise
        return http.HTTPStatus.SWITCHING_PROTOCOLS, tunnel


class RouterSide(asyncio.Protocol):
    """Connection from another router, to the relay or to the HTTP server.

    Parameters
    ----------
    server : RelayServer
    http_factory : callable
    """

    def __init__(
        self,
        server: RelayServer,
        http_factory: ProtocolFactory,
    ) -> None:
        self._server = server
        self._http_factory = http_factory
        self._transport: asyncio.Transport | None = None
        self._head = b''
        self._timer: asyncio.TimerHandle | None = None
        self._opening: asyncio.Task[None] | None = None
        self._tunnel: Tunnel | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the head of the request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_HEAD_TIMEOUT_S, transport.abort)

    def data_received(self, data: bytes) -> None:
        """Read the head, or pass bytes on to the endpoint."""
        if self._tunnel is not None:
            self._tunnel.send(data)
            return
        self._head += data
        if self._opening is not None:
            return
        start = self._head[: len(_REQUEST_START)]
        if start != _REQUEST_START[: len(start)]:
            self._hand_over()
        elif _HEAD_END in self._head:
            self._stop_timer()
            assert self._transport is not None
            self._transport.pause_reading()
            self._opening = asyncio.create_task(self._open())
        elif len(self._head) > _MAX_HEAD_BYTES and self._transport:
            self._transport.abort()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Have the endpoint stop work on the request in progress."""
        self._stop_timer()
        if self._opening is not None:
            self._opening.cancel()
        if self._tunnel is not None:
            self._tunnel.close()

    def pause_writing(self) -> None:
        """Have the endpoint wait while the router does not read."""
        if self._tunnel is not None:
            self._tunnel.pause_endpoint()

    def resume_writing(self) -> None:
        """Let the endpoint send again."""
        if self._tunnel is not None:
            self._tunnel.resume_endpoint()

    def _hand_over(self) -> None:
        self._stop_timer()
        assert self._transport is not None
        protocol = self._http_factory()
        self._transport.set_protocol(protocol)
        protocol.connection_made(self._transport)
        protocol.data_received(self._head)

    async def _open(self) -> None:
        transport = self._transport
        assert transport is not None
        head, _, rest = self._head.partition(_HEAD_END)
        peer = transport.get_extra_info('peername')
        status, tunnel = await self._server.open(
            str(peer[0]) if peer else '', head.split(b' ', 2)[1], transport
        )
        if transport.is_closing():
            if tunnel is not None:
                tunnel.close()
            return
        if tunnel is None:
            transport.write(
                b'HTTP/1.1 %d %s\r\nUpgrade: %s\r\nContent-Length: 0\r\n'
                b'Connection: close\r\n\r\n'
                % (status, status.phrase.encode(), PROTOCOL)
            )
            transport.close()
            return
        self._tunnel = tunnel
        set_keepalive(transport)
        transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)
        transport.write(_SWITCHING + b'Connection: Upgrade\r\n\r\n')
        if rest:
            tunnel.send(rest)
        transport.resume_reading()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
