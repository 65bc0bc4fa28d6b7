"""HTTP server whose owner provides the responses to invalid HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from absl import logging
from aiohttp import web

from ...http1 import DescriptorBudget

HTTP_SERVER_ERROR = 500
# Time for which the rest of a refused upload is read. If the connection were
# closed immediately, a caller that is still sending could miss the refusal;
# aiohttp's default of 10 s lets slow uploads accumulate.
LINGERING_S = 2.0
KEEPALIVE_S = 75.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _Connection(web.RequestHandler):
    """Connection that uses the server's responses to invalid HTTP.

    Parameters
    ----------
    server : HttpServer
    """

    __slots__ = ('_is_counted', '_owner', '_refuse', 'used_s')

    def __init__(self, server: HttpServer, **options) -> None:
        super().__init__(server, **options)
        self._refuse = server.refuse
        self._owner = server
        self._is_counted = False
        # Time of the beginning, or of the last response.
        self.used_s = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, and close another if there are too many."""
        super().connection_made(transport)
        self._owner.descriptors.open += 1
        self._is_counted = True
        self._owner.make_room(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection."""
        self._release()
        super().connection_lost(exc)

    def close_surplus(self) -> None:
        """Close at once, as there are too many connections."""
        self._release()
        self.force_close()

    def _release(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._owner.descriptors.open -= 1

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTP_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that can't be handled.

        The texts of `exc` and `message` are neither logged nor sent, because
        they quote the input, which may contain an API key.
        """
        if request.writer.output_size > 0:
            raise ConnectionError('part of a response was already sent')
        if status >= HTTP_SERVER_ERROR:
            logging.error(
                'internal error in a request: %s', type(exc).__name__
            )
        response = self._refuse(status)
        response.force_close()
        return response


class HttpServer(web.Server):
    """Factory of the connections to one port.

    Parameters
    ----------
    handler : async callable
        Gets an `aiohttp.web.BaseRequest` and returns its response.
    refuse : callable
        Gets an HTTP status and returns the response to a request that can't
        be handled: it is not valid HTTP, or the status is 500 for an internal
        error.
    body_bytes : int
        Maximum size of a request body.
    descriptors : DescriptorBudget or None
        Limit on the connections.
    """

    def __init__(
        self,
        handler: Handler,
        refuse: Callable[[int], web.Response],
        body_bytes: int,
        descriptors: DescriptorBudget | None = None,
    ) -> None:
        self.descriptors = descriptors or DescriptorBudget()
        # Connections with a request in progress.
        self._busy: set[object] = set()

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            connection = request.protocol
            self._busy.add(connection)
            try:
                return await handler(request)
            finally:
                self._busy.discard(connection)
                connection.used_s = self._loop.time()

        super().__init__(
            handle,
            request_factory=self._create_request,
            # A request is cancelled when its caller disconnects, so that the
            # endpoint does not continue to generate unread output.
            handler_cancellation=True,
        )
        self.refuse = refuse
        # Whether each response is the last one of its connection.
        self.stopping = False
        self._body_bytes = body_bytes

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return _Connection(
            self,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=LINGERING_S,
        )

    def make_room(self, new: _Connection) -> None:
        """Close idle connections if there are more than the limit.

        If all others have a request in progress, the new one is closed.
        """
        count = self.descriptors.excess
        if not count:
            return
        idle = [
            connection
            for connection in self.connections
            if connection is not new and connection not in self._busy
        ]
        idle.sort(key=lambda connection: connection.used_s)
        for connection in idle[:count] or [new]:
            connection.close_surplus()
        logging.log_every_n_seconds(
            logging.WARNING,
            'too many connections: closed %d',
            1,
            len(idle[:count]) or 1,
        )

    def _create_request(
        self, message, payload, protocol, writer, task
    ) -> web.BaseRequest:
        if self.stopping:
            message = message._replace(should_close=True)
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            self._loop,
            client_max_size=self._body_bytes,
        )
