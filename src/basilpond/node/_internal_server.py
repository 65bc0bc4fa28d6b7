"""HTTP server for load balancers, operators' tools and other routers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from types import MappingProxyType

from ..http1 import CallerRequest
from ..http1 import CallerServer
from ..http1 import ClientResources
from ..http1 import ConnectionLimits
from ..http1 import Header
from ..http1 import ProtocolWrapper
from ..http1 import Responder
from ..http1 import keep_factory

# Requests to these servers have a few short fields and no body.
_LIMITS = ConnectionLimits(header_bytes=16_384, body_bytes=4_096)
# Connections to one of these servers: load balancers, scrapers and the
# routers that fetch a configuration at once.
MAX_CONNECTIONS = 64

InternalResponse = tuple[int, list[Header], bytes]


class InternalServer:
    """Responds to each request with the result of a function.

    Parameters
    ----------
    get_response : callable
        Called with the path; returns status, header fields and body.
    resources : ClientResources or None
        Shared with the other servers of the process, but for the connections.
    handlers : mapping of bytes to callable, optional
        Functions by path that are called with the whole request instead.
    """

    def __init__(
        self,
        get_response: Callable[[bytes], InternalResponse],
        resources: ClientResources | None = None,
        handlers: Mapping[
            bytes, Callable[[CallerRequest], InternalResponse]
        ] = MappingProxyType({}),
    ) -> None:
        self._handlers = handlers
        self._get_response = get_response
        resources = resources or ClientResources()
        self._server = CallerServer(
            self._handle,
            _LIMITS,
            lambda status, reason: None,
            resources=dataclasses.replace(
                resources,
                descriptors=resources.descriptors.part(MAX_CONNECTIONS),
            ),
        )

    async def listen(
        self, host: str, port: int, wrap: ProtocolWrapper = keep_factory
    ) -> None:
        """Accept connections; `wrap` as in `CallerServer.listen`."""
        await self._server.listen(host, port, wrap)

    def close(self) -> None:
        """Close the listener and all connections."""
        self._server.close()

    async def _handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        path = request.target.partition(b'?')[0]
        handler = self._handlers.get(path)
        if handler is not None:
            responder.respond(*handler(request))
        else:
            responder.respond(*self._get_response(path))
