"""HTTP client of the platform's append-only log."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from ...core import BasilpondError
from ...core import JsonDecoder
from ...core import LogEntry
from ...core import LogPage
from ...core import LogRateLimitedError
from ...core import LogUnavailableError
from ...telemetry import Metrics
from ...telemetry import NullMetrics
from .._quiet_connector import QuietConnector


class _Appended(msgspec.Struct):
    offset: int


class _Page(msgspec.Struct):
    earliest_offset: int
    next_offset: int
    records: list[LogEntry]


_appended_decoder = JsonDecoder(_Appended)
_page_decoder = JsonDecoder(_Page)


class LogClient:
    """Client of the log protocol; implements `Log`.

    A response that is not clearly a success or a rate limit raises
    `LogUnavailableError`, because the entry may have been written.

    Parameters
    ----------
    base_url : str
        For example ``http://10.0.0.1:8080``.
    timeout_s : float
        Timeout of a request; a read adds its `wait_ms`. It is short, because
        a connection can stop delivering data without being closed; a retry
        uses a new one.
    connect_timeout_s : float
    client : str
        Router id, sent as ``X-Client`` so that the log server can attribute
        requests.
    metrics : Metrics, optional
    """

    def __init__(
        self,
        base_url: str,
        *,
        timeout_s: float = 2.0,
        connect_timeout_s: float = 1.0,
        client: str = '',
        metrics: Metrics | None = None,
    ) -> None:
        self.base_url = base_url
        self.timeout_s = timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.client = client
        self.metrics = metrics or NullMetrics()
        self._session: aiohttp.ClientSession | None = None

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one entry and return its offset.

        Raises
        ------
        LogUnavailableError
            The entry may or may not have been written.
        LogRateLimitedError
            The entry was not written.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            offset = await self._append(stream, payload)
        except BasilpondError:
            self.metrics.count('log.append_failures')
            raise
        self.metrics.timing('log.append_ms', (loop.time() - started_s) * 1000)
        return offset

    async def _append(self, stream: str, payload: bytes) -> int:
        status, body = await self._request(
            'POST',
            stream,
            self.timeout_s,
            data=payload,
            headers={'Content-Type': 'application/json'},
        )
        if status == 429:
            raise LogRateLimitedError('append is over the rate limit')
        if status != 201:
            raise LogUnavailableError(f'append got HTTP status {status}')
        return _decode(_appended_decoder, body).offset

    async def read(
        self, stream: str, offset: int, *, limit: int, wait_ms: int
    ) -> LogPage:
        """Read entries from `offset` on; wait for the first if there is none.

        Parameters
        ----------
        stream : str
        offset : int
        limit : int
            Maximum number of entries.
        wait_ms : int
            Longest time that the log waits for an entry.

        Raises
        ------
        LogUnavailableError
            The log did not respond, or not with a valid page.
        """
        status, body = await self._request(
            'GET',
            stream,
            self.timeout_s + wait_ms / 1000,
            params={'offset': offset, 'limit': limit, 'wait_ms': wait_ms},
        )
        if status != 200:
            raise LogUnavailableError(f'read got HTTP status {status}')
        page = _decode(_page_decoder, body)
        return LogPage(page.earliest_offset, page.next_offset, page.records)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _request(
        self, method: str, stream: str, timeout_s: float, **options
    ) -> tuple[int, bytes]:
        if self._session is None:
            # Created here, because it needs the running event loop.
            self._session = aiohttp.ClientSession(
                connector=QuietConnector(), headers={'X-Client': self.client}
            )
        url = f'{self.base_url}/v1/streams/{stream}/records'
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=self.connect_timeout_s
        )
        try:
            async with self._session.request(
                method, url, timeout=timeout, **options
            ) as response:
                return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise LogUnavailableError(
                f'no response from the log: {type(error).__name__}'
            ) from error


def _decode(decoder: JsonDecoder, body: bytes):
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise LogUnavailableError(
            f'malformed response from the log: {error}'
        ) from error
