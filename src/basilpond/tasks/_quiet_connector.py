"""Connector that does not use a connection with bytes of no request."""

from __future__ import annotations

import select
from typing import Any

import aiohttp


class QuietConnector(aiohttp.TCPConnector):
    """Connector whose kept connections are silent until they are used again.

    A faulty server may send a response without a request on a kept
    connection. aiohttp takes it as the response to the next request.
    """

    async def connect(self, *args: Any, **kwargs: Any) -> Any:
        """Return a connection on which nothing has arrived."""
        while True:
            connection = await super().connect(*args, **kwargs)
            if not _has_input(connection):
                return connection
            connection.close()


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
