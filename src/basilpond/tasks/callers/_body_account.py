"""Reading of request bodies within the memory budget of the process."""

from __future__ import annotations

import asyncio

import aiohttp

from ...http1 import Account
from ...http1 import MemoryBudget

# Memory of a request beyond its body: head, handler task and read buffer.
_REQUEST_BYTES = 32_768
# The parsed request, and its encoded form for an endpoint.
_BODY_COPIES = 2


class BodyTooLargeError(Exception):
    """A body exceeds the limit on one request."""


class MemoryShortError(Exception):
    """The memory budget does not allow the body."""


def _ignore() -> None:
    pass


class BodyAccount:
    """What one request holds of the memory budget, until it is closed.

    Parameters
    ----------
    memory : MemoryBudget
    """

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._account = Account(self._shed)
        self._reading: asyncio.Timeout | None = None
        self._is_shed = False
        memory.open(self._account)

    async def read(
        self,
        content: aiohttp.StreamReader,
        limit_bytes: int,
        timeout_s: float,
    ) -> bytes:
        """Read a body.

        Raises
        ------
        TimeoutError
        BodyTooLargeError
        MemoryShortError
            The request is refused, or was while it was read.
        """
        loop = asyncio.get_running_loop()
        account = self._account
        account.since_s = loop.time()
        account.is_sheddable = True
        body = bytearray()
        self._reading = asyncio.timeout(timeout_s)
        try:
            async with self._reading:
                while part := await content.readany():
                    body += part
                    if len(body) > limit_bytes:
                        raise BodyTooLargeError
                    self._hold(len(body))
        except TimeoutError:
            if self._is_shed:
                raise MemoryShortError from None
            raise
        finally:
            account.is_sheddable = False
            self._reading = None
        self._hold((1 + _BODY_COPIES) * len(body))
        return bytes(body)

    def close(self) -> None:
        """Return what the request holds."""
        self._memory.close(self._account)
        # Without a reference cycle, no garbage collection is needed.
        self._account.shed = _ignore

    def _hold(self, body_bytes: int) -> None:
        now_s = asyncio.get_running_loop().time()
        held_bytes = _REQUEST_BYTES + body_bytes
        if not self._memory.update(self._account, held_bytes, now_s):
            raise MemoryShortError

    def _shed(self) -> None:
        if self._reading is not None and not self._reading.expired():
            self._is_shed = True
            self._reading.reschedule(asyncio.get_running_loop().time())
        self._account.is_sheddable = False
        # The body is freed in this iteration of the event loop.
        self._memory.update(self._account, 0, 0.0)
