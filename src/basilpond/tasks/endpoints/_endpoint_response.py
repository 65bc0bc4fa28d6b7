"""Response of an endpoint that knows how its connection ended."""

from __future__ import annotations

from typing import Any

import aiohttp

from ...http1 import ResponseHead
from ...http1 import find_problem
from ._end_watch import EndWatch


class EndpointResponse(aiohttp.ClientResponse):
    """Response that distinguishes a close from a reset.

    A body without a length or chunks ends with its connection. aiohttp takes
    it as whole, also if the connection was reset within it. It also passes on
    bodies with transfer codings that no request asked for.
    """

    _peer: Any = None

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Receive the head, and record the protocol of the connection.

        Raises
        ------
        aiohttp.ClientPayloadError
            HTTP/1.1 does not allow the head.
        """
        self._peer = connection.protocol
        await super().start(connection)
        headers = [(name.lower(), value) for name, value in self.raw_headers]
        problem = find_problem(
            ResponseHead(self.status, headers),
            f'{self.version.major}.{self.version.minor}',
        )
        if problem is not None:
            raise aiohttp.ClientPayloadError(problem)
        # The transport is None if the connection has ended already.
        if self._ends_with_connection and connection.transport is not None:
            size = self.request_info.headers.get('Content-Length', '0')
            EndWatch(connection.transport, connection.protocol, int(size))
        return self

    @property
    def was_reset(self) -> bool:
        """Whether an error of the connection ended the body."""
        return (
            self._ends_with_connection
            and self._peer is not None
            and isinstance(self._peer.exception(), OSError)
        )

    @property
    def _ends_with_connection(self) -> bool:
        return (
            'Content-Length' not in self.headers
            and 'Transfer-Encoding' not in self.headers
        )
