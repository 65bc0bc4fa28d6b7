"""Fake callers: requests to the gateways, retries, and what they saw."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from unittest import mock
import uuid

from aiohttp import base_protocol
from aiohttp import streams
from aiohttp import test_utils
from aiohttp.abc import AbstractStreamWriter

from .. import _client
from .. import workload
from .._observations import Attempt
from .._observations import Observation
from ._router import Router

API_KEY = 'matrix-key'
MAX_ATTEMPTS = 30
RETRY_S = 2.0
TIMEOUT_S = 60.0


def issued_key(now_ms: int, number: int) -> str:
    """Return a UUID version 7."""
    value = (now_ms << 80) | (7 << 76) | (2 << 62) | number
    return str(uuid.UUID(int=value))


class _Transport:
    """Connection of one caller; either side can close it."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.closed = asyncio.Event()
        self.data = bytearray()

    def write(self, frame: bytes) -> None:
        """Take one chunk with the framing of chunked encoding."""
        _, _, rest = frame.partition(b'\r\n')
        if not self.router.node.killed:
            self.data += rest.removesuffix(b'\r\n')

    def close(self) -> None:
        """Close the connection."""
        self.closed.set()

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return self.closed.is_set()

    def get_extra_info(self, _: str, default: Any = None) -> Any:
        """Return nothing, like a transport without the item."""
        return default


class _Writer(AbstractStreamWriter):
    """Writer of a response, which the caller reads."""

    def __init__(self, router: Router, transport: _Transport) -> None:
        self.router = router
        self.connection = transport
        self.status = 0
        self.headers: dict[str, str] = {}
        self.data = transport.data
        self.done = False
        self.output_size = 0

    async def _check(self) -> None:
        await self.router.node.gate()
        if self.connection.is_closing():
            raise ConnectionResetError('the caller is gone')

    async def write_headers(self, status_line: str, headers: Any) -> None:
        await self._check()
        self.status = int(status_line.split()[1])
        self.headers = dict(headers)

    async def write(self, chunk: bytes = b'') -> None:
        await self._check()
        self.data += chunk

    async def write_eof(self, chunk: bytes = b'') -> None:
        await self._check()
        self.data += chunk
        self.done = True

    async def drain(self) -> None:
        """Wait for room, which there always is."""

    def enable_compression(self, *_: Any, **__: Any) -> None:
        """Do nothing; no test compresses."""

    def enable_chunking(self) -> None:
        """Do nothing; a fake connection has no framing."""

    def send_headers(self) -> None:
        """Do nothing; the headers are sent."""


class Exchange:
    """One HTTP exchange; the caller can hang up.

    Parameters
    ----------
    router : Router
    request : workload.Request
    headers : dict
    """

    def __init__(
        self,
        router: Router,
        request: workload.Request,
        headers: dict[str, str],
    ) -> None:
        self.router = router
        self.transport = _Transport(router)
        self.writer = _Writer(router, self.transport)
        method, path, self._body = request.http()
        loop = asyncio.get_running_loop()
        protocol = base_protocol.BaseProtocol(loop)
        self._payload = streams.StreamReader(protocol, 2**20, loop=loop)
        transport_protocol = mock.Mock(writing_paused=False)
        self._request = test_utils.make_mocked_request(
            method,
            path,
            headers,
            payload=self._payload,
            transport=self.transport,
            writer=self.writer,
            protocol=transport_protocol,
        )

    async def run(self) -> None:
        """Send the request and wait for the end of the exchange."""
        router = self.router
        await router.steps.reach('accept')
        if not router.accepting:
            self.transport.close()
            return
        handler = asyncio.ensure_future(self._handle())
        closed = asyncio.ensure_future(self.transport.closed.wait())
        await router.steps.reach('admit')
        self._payload.feed_data(self._body)
        self._payload.feed_eof()
        await asyncio.wait(
            [handler, closed],
            timeout=TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        closed.cancel()
        if not handler.done():
            # The server cancels the handler of a closed connection; a killed
            # process does nothing more.
            self.transport.close()
            if not router.node.killed:
                handler.cancel()
        if self.writer.done:
            await router.steps.reach('settle')

    async def _handle(self) -> None:
        await self.router.node.gate()
        response = await self.router.gateway._handle(self._request)
        try:
            if not response.prepared:
                await response.prepare(self._request)
            await response.write_eof()
        except ConnectionError:
            pass


class Caller:
    """Caller that sends one request until it has an answer.

    Parameters
    ----------
    world : World
    request : workload.Request
    via : list of str
        Router ids that it tries in turn.
    key : str
        Idempotency-Key, empty without one.
    max_attempts : int
    """

    def __init__(
        self,
        world: Any,
        request: workload.Request,
        via: list[str],
        key: str,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> None:
        self.world = world
        self.request = request
        self.via = via
        self.max_attempts = max_attempts
        self.observation = Observation(request, key, [])
        self.exchange: Exchange | None = None
        self.hung_up = False
        # An idempotent request must be answered when all faults are over.
        self.must_complete = False
        self.is_repeat = False
        self.task: asyncio.Task | None = None

    @property
    def complete(self) -> bool:
        """Whether the caller has its whole answer."""
        return any(attempt.complete for attempt in self.observation.attempts)

    def hang_up(self) -> None:
        """Close the connection and send nothing more."""
        self.hung_up = True
        if self.exchange is not None:
            self.exchange.transport.close()

    async def run(self) -> None:
        """Send the request, again where that is allowed."""
        for number in range(self.max_attempts):
            router_id = self.via[number % len(self.via)]
            attempt = await self._attempt(router_id, number)
            if self.hung_up or not _client._try_again(
                self.observation, attempt
            ):
                return
            await asyncio.sleep(max(RETRY_S, attempt.retry_after_s))

    async def _attempt(self, router_id: str, number: int) -> Attempt:
        attempt = Attempt(router_id, self.world.now_ms())
        self.observation.attempts.append(attempt)
        router = self.world.routers.get(router_id)
        if router is None or not router.accepting:
            attempt.refused = True
            attempt.ended_ms = self.world.now_ms()
            return attempt
        headers = {'Authorization': f'Bearer {API_KEY}'}
        if self.observation.key:
            headers['Idempotency-Key'] = self.observation.key
            if number == 0 and not (self.is_repeat or self.request.other_body):
                headers['Basilpond-Attempt'] = '1'
        self.exchange = Exchange(router, self.request, headers)
        self.world.exchanges.add(self.exchange)
        await self.exchange.run()
        self.world.exchanges.discard(self.exchange)
        attempt.ended_ms = self.world.now_ms()
        attempt.abandoned = self.hung_up
        self._read(self.exchange.writer, attempt)
        return attempt

    def _read(self, writer: _Writer, attempt: Attempt) -> None:
        attempt.status = writer.status
        headers = {name.lower(): text for name, text in writer.headers.items()}
        attempt.request_id = headers.get('x-request-id', '')
        attempt.outcome = headers.get('basilpond-outcome', '')
        attempt.retry_after_s = int(headers.get('retry-after', 0))
        body = bytes(writer.data)
        if headers.get('content-type', '').startswith('text/event-stream'):
            _read_stream(body, attempt)
            return
        attempt.done = writer.done
        attempt.text = body.decode()
        if attempt.status >= 400:
            attempt.code = _client._code(attempt.text)
        elif attempt.done and self.request.is_chat:
            whole = json.loads(body)
            attempt.text = whole['choices'][0]['message']['content']


def _read_stream(body: bytes, attempt: Attempt) -> None:
    attempt.outcome = ''
    for line in body.split(b'\n'):
        if line.startswith(b': basilpond-outcome '):
            attempt.outcome = line.split()[-1].decode()
        elif line == b'data: [DONE]':
            attempt.done = True
        elif line.startswith(b'data: '):
            try:
                chunk = json.loads(line[6:])
            except ValueError:
                continue
            if 'error' in chunk:
                attempt.code = int(chunk['error'].get('code') or 0)
                continue
            for choice in chunk['choices']:
                attempt.text += choice['delta'].get('content') or ''
    if attempt.outcome not in ('', 'complete'):
        attempt.done = False
