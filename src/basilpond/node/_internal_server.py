"""HTTP server for load balancers, operators' tools and other routers."""

from __future__ import annotations

from collections.abc import Callable

from ..http1 import CallerRequest
from ..http1 import CallerServer
from ..http1 import ConnectionLimits
from ..http1 import Header
from ..http1 import Responder

InternalResponse = tuple[int, list[Header], bytes]


class InternalServer:
    """Responds to each request with the result of a function.

    Parameters
    ----------
    get_response : callable
        Called with the path; returns status, header fields and body.
    """

    def __init__(
        self, get_response: Callable[[bytes], InternalResponse]
    ) -> None:
        self._get_response = get_response
        self._server = CallerServer(
            self._handle, ConnectionLimits(), lambda status, reason: None
        )

    async def listen(self, host: str, port: int) -> None:
        """Accept connections."""
        await self._server.listen(host, port)

    def close(self) -> None:
        """Close the listener and all connections."""
        self._server.close()

    async def _handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        path = request.target.partition(b'?')[0]
        responder.respond(*self._get_response(path))
