"""HTTP access to the routers' operator interface."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import dataclasses
import os
from typing import Any

import aiohttp

OPERATOR_KEY_VARIABLE = 'BASILPOND_OPERATOR_KEY'
REQUEST_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class RouterReply:
    """Reply of one router; `error` is set if no valid reply arrived."""

    address: str
    status: int = 0
    body: Any = None
    error: str = ''


class OperatorClient:
    """Client of the operator interface.

    Parameters
    ----------
    operator_key : str
        No key is sent if it is empty.
    """

    def __init__(self, operator_key: str) -> None:
        self.operator_key = operator_key

    async def request_all(
        self, addresses: Iterable[str], method: str, path: str
    ) -> list[RouterReply]:
        """Send the same request to several routers concurrently."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        headers = {}
        if self.operator_key:
            headers['Authorization'] = f'Bearer {self.operator_key}'
        async with aiohttp.ClientSession(
            timeout=timeout, headers=headers
        ) as session:
            return await asyncio.gather(
                *(
                    _request(session, address, method, path)
                    for address in addresses
                )
            )


async def _request(
    session: aiohttp.ClientSession, address: str, method: str, path: str
) -> RouterReply:
    try:
        async with session.request(
            method, f'http://{address}{path}'
        ) as response:
            body = await response.json(content_type=None)
            return RouterReply(address, response.status, body)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return RouterReply(address, error=type(error).__name__)


def operator_key() -> str:
    """Return the operator key from the environment.

    A key on the command line would be visible in the process list.
    """
    return os.environ.get(OPERATOR_KEY_VARIABLE, '')
