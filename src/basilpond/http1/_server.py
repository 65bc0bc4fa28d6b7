"""Server for callers' connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import socket

from . import _fields
from ._connection import CallerConnection
from ._messages import ConnectionLimits
from ._messages import UnansweredClose
from ._messages import Upload
from ._resources import ClientResources
from ._responder import Handler

# Connections accepted in one iteration of the event loop, by which the limit
# on descriptors may be exceeded.
_ACCEPT_BATCH = 16
_BACKLOG = 1024

ProtocolFactory = Callable[[], asyncio.BaseProtocol]
# Takes the factory of a server's protocols and returns the one to listen with,
# whose protocols may hand connections over to those of the server.
ProtocolWrapper = Callable[[ProtocolFactory], ProtocolFactory]


def keep_factory(factory: ProtocolFactory) -> ProtocolFactory:
    """Wrap no factory."""
    return factory


def _ignore_close(close: UnansweredClose) -> None:
    pass


def _accept_upload(upload: Upload) -> list[_fields.Header] | None:
    return None


class CallerServer:
    """HTTP server with one listener and its connections.

    Parameters
    ----------
    handler : callable
        Called with each complete request. It is cancelled when the caller
        closes the connection.
    limits : ConnectionLimits
        Shared; replaced by assignment when the configuration changes.
    on_reject : callable
        Called with status and reason of each request that is refused while
        it is read.
    on_unanswered : callable
        Called with an UnansweredClose.
    resources : ClientResources or None
        Shared by the servers of a process.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ConnectionLimits,
        on_reject: Callable[[int, str], None],
        on_unanswered: Callable[[UnansweredClose], None] = _ignore_close,
        resources: ClientResources | None = None,
    ) -> None:
        self.resources = resources or ClientResources()
        self.handler = handler
        self.limits = limits
        self.on_reject = on_reject
        self.on_unanswered = on_unanswered
        self.stopping = False
        # Whether each connection ends with its next response, so that its
        # caller is led to another router.
        self.closes_after_response = False
        # Whether connections without a request are closed.
        self.closing_idle = False
        self.connections: set[CallerConnection] = set()
        # Connections with an upload.
        self.uploading: set[CallerConnection] = set()
        # Returns the fields of a refusal with status 503, or None to receive
        # the rest of the body.
        self.check_upload: Callable[[Upload], list[_fields.Header] | None] = (
            _accept_upload
        )
        self._server: asyncio.Server | None = None

    async def listen(
        self,
        host: str,
        port: int,
        wrap: ProtocolWrapper = keep_factory,
    ) -> None:
        """Start to accept connections.

        Parameters
        ----------
        host : str
        port : int
        wrap : ProtocolWrapper, optional
        """
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        sock = socket.create_server((host, port), family=family)
        self._server = await loop.create_server(
            wrap(lambda: CallerConnection(self)),
            sock=sock,
            backlog=_ACCEPT_BATCH,
        )
        # The event loop uses one number for both.
        sock.listen(_BACKLOG)

    @property
    def active(self) -> int:
        """Number of connections with a request or response in progress."""
        return sum(c.busy or c.is_sending for c in self.connections)

    def announce_stop(self) -> None:
        """Close each connection after its next response."""
        self.stopping = True

    def close_listener(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Close the listener and all connections at once."""
        self.close_listener()
        for connection in list(self.connections):
            connection.abort('router ends')

    def close_idle(self) -> None:
        """Close connections as soon as they have no request in progress."""
        self.closing_idle = True
        for connection in list(self.connections):
            if not connection.busy and not connection.is_refusing:
                connection.close_unless_read('router stops')

    def make_room(self, new: CallerConnection) -> None:
        """Close connections if there are more than the limit.

        First those that have been idle for the longest, then those that have
        been refused the longest ago, then those that have been sending a
        request for the longest. If all others have a request in progress, the
        new one is closed.
        """
        count = self.resources.descriptors.excess
        if not count:
            return
        others = [c for c in self.connections if c is not new]
        idle = [c for c in others if c.is_idle]
        idle.sort(key=lambda c: c.idle_since_s)
        # Of 174 connections, 135 that a crowd had been refused on waited for
        # it to read the refusals, and an ordinary caller was reset.
        refused = [c for c in others if c.is_refused]
        refused.sort(key=lambda c: c.refused_since_s)
        # A request that has arrived is not dropped, and a close with unread
        # bytes resets the connection before its caller has read the refusal.
        if _close_unless_unread(idle, count):
            return
        if _close_unless_unread(refused, count):
            return
        sending = [c for c in others if c.is_incomplete]
        sending.sort(key=lambda c: c.request_since_s)
        (*refused, *sending, new)[0].close_surplus()

    def refuse_partial(self) -> None:
        """Refuse the requests of which only a part has arrived."""
        for connection in list(self.connections):
            connection.refuse_partial()


def _close_unless_unread(
    connections: list[CallerConnection], count: int
) -> int:
    # Closes the first ones without unread input; returns how many.
    closed = 0
    for connection in connections:
        if closed == count:
            break
        if not connection.has_unread_input():
            connection.close_surplus()
            closed += 1
    return closed
