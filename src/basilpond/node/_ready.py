"""Listener that tells the load balancer whether a router takes callers."""

from __future__ import annotations

from collections.abc import Callable

from ..http1 import CallerRequest
from ..http1 import CallerServer
from ..http1 import ConnectionLimits
from ..http1 import Responder


class ReadyServer:
    """Answers 200 while the router is ready, else 503.

    Parameters
    ----------
    path : bytes
    is_ready : callable
    """

    def __init__(self, path: bytes, is_ready: Callable[[], bool]) -> None:
        self._path = path
        self._is_ready = is_ready
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
        if request.target.partition(b'?')[0] != self._path:
            responder.respond(404)
        else:
            responder.respond(200 if self._is_ready() else 503)
