"""Common parts of test worlds in which several routers share one process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from basilpond import protocol
from basilpond.core import BasilpondError
from basilpond.core import Log
from basilpond.core import LogPage
from basilpond.core import ResultCode


def recode(frame: Any) -> Any:
    """Return a frame as its receiver decodes it."""
    data = protocol.encode_frame(frame)[protocol.LENGTH_BYTES :]
    return protocol.decode_frame(data)


async def reply_in_time(reply: Awaitable[Any], timeout_s: float) -> Any:
    """Await the reply of a peer, as a peer client does.

    Raises
    ------
    BasilpondError
        With `PEER_UNAVAILABLE` when there is none in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await reply
    except TimeoutError:
        raise BasilpondError(
            ResultCode.PEER_UNAVAILABLE, 'no reply in time'
        ) from None


class PausableLink:
    """Log client whose calls stand still while its router is paused.

    Parameters
    ----------
    link : Log
    gate : callable
        Waits while the router is paused.
    """

    def __init__(self, link: Log, gate: Callable[[], Awaitable[Any]]) -> None:
        self._link = link
        self._gate = gate

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one entry and return its offset."""
        await self._gate()
        try:
            return await self._link.append(stream, payload)
        finally:
            await self._gate()

    async def read(
        self, stream: str, offset: int, *, limit: int, wait_ms: int
    ) -> LogPage:
        """Read entries; wait for the first if there is none."""
        await self._gate()
        try:
            return await self._link.read(
                stream, offset, limit=limit, wait_ms=wait_ms
            )
        finally:
            await self._gate()
