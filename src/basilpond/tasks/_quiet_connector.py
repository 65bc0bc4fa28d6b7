"""Connector that does not use a connection with bytes of no request."""

from __future__ import annotations

import select
from typing import Any

import aiohttp

REQUEST_ID_HEADER = 'X-Request-Id'


class QuietConnector(aiohttp.TCPConnector):
    """Connector whose kept connections are silent until they are used again.

    A faulty server may send a response without a request on a kept
    connection. aiohttp takes it as the response to the next request.
    """

    async def connect(
        self, req: aiohttp.ClientRequest, *args: Any, **kwargs: Any
    ) -> Any:
        """Return a connection on which nothing has arrived."""
        while True:
            connection = await super().connect(req, *args, **kwargs)
            if not _has_input(connection):
                return connection
            connection.close()


class RequestConnector(QuietConnector):
    """Connector that knows the connection of each request with an id.

    Each request has to be ended by `end_request`.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # Protocols of the connections by the id of their request, and the
        # request that used each of them last.
        self._protocols: dict[str, Any] = {}
        self._request_ids: dict[Any, str] = {}

    async def connect(
        self, req: aiohttp.ClientRequest, *args: Any, **kwargs: Any
    ) -> Any:
        """Return a connection on which nothing has arrived, and record it."""
        connection = await super().connect(req, *args, **kwargs)
        request_id = req.headers.get(REQUEST_ID_HEADER)
        if request_id is not None:
            self.add_request(request_id, connection.protocol)
        return connection

    def add_request(self, request_id: str, protocol: Any) -> None:
        """Record the connection of a request, its last one if it had others.

        Parameters
        ----------
        request_id : str
        protocol : object
            aiohttp's protocol of the connection.
        """
        self.end_request(request_id, close=False)
        self._protocols[request_id] = protocol
        self._request_ids[protocol] = request_id

    def end_request(self, request_id: str, *, close: bool) -> None:
        """Forget the connection of a request, which ended.

        Parameters
        ----------
        request_id : str
        close : bool
            Whether to close it, also if it was kept for other requests. One
            that another request uses already stays open.
        """
        protocol = self._protocols.pop(request_id, None)
        if self._request_ids.get(protocol) != request_id:
            return
        del self._request_ids[protocol]
        if close:
            protocol.close()


def _has_input(connection: Any) -> bool:
    # Whether a response was parsed, or bytes or a close wait in the kernel.
    protocol = connection.protocol
    if protocol is None or protocol.should_close:
        return True
    sock = protocol.transport and protocol.transport.get_extra_info('socket')
    if sock is None or sock.fileno() == -1:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
