"""Fake endpoints behind the client session of a router."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any

import aiohttp
import msgspec
import multidict

from .. import _answers
from .. import _frames
from .. import engine
from .. import service
from ._network import NEVER_S
from ._network import Network
from ._network import Node
from ._steps import Steps

FIRST_TOKEN_S = 0.05
TOKEN_S = 0.02
SERVICE_S = 0.01
CONNECT_TIMEOUT_S = 1.0
DOWN_S = 1.0
MID_STREAM_FRAME = 3


class NoConnections:
    """Connector of a session without connections."""

    def end_request(self, request_id: str, *, close: bool) -> None:
        """End a request, which has no connection to close."""


class Connection:
    """One request on its way; a fault can cut or silence it."""

    def __init__(self) -> None:
        self.lost = False
        self.silent = False

    async def wait(self, delay_s: float) -> None:
        """Wait for the endpoint's next bytes.

        Raises
        ------
        aiohttp.ServerDisconnectedError
        """
        await asyncio.sleep(delay_s)
        if self.silent:
            await asyncio.sleep(NEVER_S)
        if self.lost:
            raise aiohttp.ServerDisconnectedError


class Endpoint:
    """Model engine or application server that records every run.

    Parameters
    ----------
    name, data_centre, url : str
    is_model : bool
    now_ms : callable
        Wall-clock time in milliseconds.

    Attributes
    ----------
    version : int
        Software version, which the text of the answers depends on.
    patch : str or None
        Change of the responses' form, as in `engine.Patch`.
    refuses, down : bool
    leaving, leaving_in_list : bool
        What load reports and the platform's list of VMs say.
    crash_text : str
        A prompt that contains it crashes the endpoint.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        url: str,
        *,
        is_model: bool,
        now_ms: Any,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.url = url
        self.is_model = is_model
        self.now_ms = now_ms
        self.version = 1
        self.patch: str | None = None
        self.refuses = False
        self.down = False
        self.leaving = False
        self.leaving_in_list = False
        self.crash_text = ''
        self.engine_runs: list[engine.RunRecord] = []
        self.service_runs: list[service.RunRecord] = []
        self.connections: set[Connection] = set()
        self._orders = 0

    def crash(self) -> None:
        """Lose all connections and refuse new ones for a while."""
        self._lose_connections()
        self.down = True
        asyncio.get_running_loop().call_later(DOWN_S, self._restart)

    def _restart(self) -> None:
        self.down = False

    def restart(self, version: int) -> None:
        """Start again at once, in another software version.

        Without downtime, a router that tries again meets the new version.
        """
        self._lose_connections()
        self.version = version

    def _lose_connections(self) -> None:
        for connection in self.connections:
            connection.lost = True
        self.connections.clear()

    def silence(self) -> None:
        """Send nothing more on the open connections; new ones work."""
        for connection in self.connections:
            connection.silent = True

    def answer(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, str, list[bytes]]:
        """Run a request; return status, content type and chunks."""
        if self.is_model:
            return self._chat(body, headers)
        return self._call(method, path, body, headers)

    def _chat(
        self, body: bytes, headers: dict[str, str]
    ) -> tuple[int, str, list[bytes]]:
        request = _answers.decode_request(body)
        limit = request.output_limit_tokens()
        allowed = 10 * limit if self.patch == 'ignore_max_tokens' else limit
        words, cut = _answers.answer_words(request, allowed, self.version)
        attempt_id = headers['X-Request-Id']
        probe = attempt_id.startswith('probe-')
        if not probe:
            self.engine_runs.append(
                engine.RunRecord(
                    attempt_id=attempt_id,
                    content_digest=_answers.content_digest(request),
                    body_digest='',
                    model=request.model,
                    stream=request.stream,
                    priority=0,
                    prompt_tokens=_answers.prompt_tokens(request),
                    received_ms=self.now_ms(),
                    leaving=self.leaving,
                    version=self.version,
                )
            )
        answer = _frames.Answer(
            id=f'chatcmpl-{attempt_id}',
            model=request.model,
            created_s=self.now_ms() // 1000,
            words=words,
            finish_reason='length' if cut else 'stop',
            usage=_frames.Usage(_answers.prompt_tokens(request), len(words)),
            include_usage=True,
        )
        if not request.stream:
            whole = _frames.whole(answer, self.patch)
            return 200, 'application/json', [whole]
        frames = list(_frames.frames(answer, self.patch))
        return 200, 'text/event-stream', frames

    def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, str, list[bytes]]:
        parts = path.strip('/').split('/')
        if method == 'GET':
            answer = {'order': parts[-1], 'state': 'booked'}
            return 200, 'application/json', [msgspec.json.encode(answer)]
        self._orders += 1
        order = f'{self.name}-{self._orders}'
        call, status = 'booking', 201
        answer = {'order': order, 'state': 'booked'}
        if parts[0] == 'spots':
            call, status = 'release', 200
            answer = {'spot': parts[1], 'state': 'free'}
        fields = msgspec.json.decode(body, type=dict[str, Any])
        self.service_runs.append(
            service.RunRecord(
                idempotency_key=headers.get('Idempotency-Key', ''),
                request_id=headers['X-Request-Id'],
                call=call,
                target=answer.get('spot', order),
                body_digest=service.body_digest(body),
                time_ms=self.now_ms(),
                status=status,
            )
        )
        answer.update(fields)
        return status, 'application/json', [msgspec.json.encode(answer)]


class _Content:
    """Body of a response, chunk by chunk."""

    def __init__(
        self,
        chunks: list[bytes],
        connection: Connection,
        session: Session,
        endpoint: Endpoint,
        *,
        watched: bool,
    ) -> None:
        self._chunks = list(enumerate(chunks))
        self._connection = connection
        self._session = session
        self._endpoint = endpoint
        self._last = len(chunks) - 1
        self._watched = watched
        self._ready = b''
        self._error: Exception | None = None
        self._on_eof: Callable[[], None] = lambda: None

    async def readany(self) -> bytes:
        """Return the next chunk, empty at the end."""
        if not self._chunks:
            return b''
        number, chunk = self._chunks.pop(0)
        reach = self._session.steps.reach
        if self._watched:
            if number == 0:
                await reach('first_token')
            if number == MID_STREAM_FRAME:
                await reach('mid_stream')
            if number == self._last:
                await reach('terminal')
        await self._connection.wait(TOKEN_S if number else 0)
        await self._session.check_open(self._endpoint)
        await self._session.node.gate()
        return chunk

    async def read(self, _: int) -> bytes:
        """Return all of a short body."""
        return await self.readany()

    async def receive(self) -> None:
        """Wait for the next chunk and keep it for `read_nowait`."""
        try:
            self._ready = await self.readany()
        except Exception as error:
            self._error = error
        if self._error is None and not self._ready:
            self._on_eof()

    def read_nowait(self) -> bytes:
        """Return what has arrived."""
        if self._error is not None:
            raise self._error
        ready, self._ready = self._ready, b''
        return ready

    def on_eof(self, callback: Callable[[], None]) -> None:
        """Call back when the body has ended."""
        self._on_eof = callback

    async def iter_any(self) -> Iterator[bytes]:
        """Yield the chunks."""
        while chunk := await self.readany():
            yield chunk


class _Transport:
    """Transport and connection of a response, as a body reader uses them."""

    def __init__(self, content: _Content) -> None:
        self.transport = self
        self.protocol = _IdleProtocol()
        self._content = content
        self._reader: Any = self.protocol
        self._running = asyncio.Event()
        self._running.set()
        self._task: asyncio.Task | None = None

    def get_protocol(self) -> Any:
        """Return the protocol that gets the events."""
        return self._reader

    def set_protocol(self, protocol: Any) -> None:
        """Pass the events on to another protocol."""
        self._reader = protocol
        if protocol is not self.protocol:
            self._task = asyncio.ensure_future(self._deliver())

    def pause_reading(self) -> None:
        """Hold back what arrives."""
        self._running.clear()

    def resume_reading(self) -> None:
        """Go on."""
        self._running.set()

    async def _deliver(self) -> None:
        while self._reader is not self.protocol:
            await self._content.receive()
            await self._running.wait()
            if self._reader is not self.protocol:
                self._reader.buffer_updated(0)


class _IdleProtocol(asyncio.Protocol):
    """Protocol whose body is filled by the fake itself."""


class Response:
    """Response with the attributes of `EndpointResponse` in use."""

    was_reset = False

    def __init__(
        self,
        status: int,
        content_type: str,
        content: _Content,
        closed: Any,
        headers: dict[str, str] | None = None,
    ) -> None:
        self.status = status
        self.content_type = content_type
        self.content = content
        self.connection = _Transport(content)
        self.headers = multidict.CIMultiDict(headers or {})
        self.headers['Content-Type'] = content_type
        self.close = closed


class Session:
    """Client session of one router to all endpoints.

    Parameters
    ----------
    network : Network
    node : Node
    endpoints : dict
        Endpoints by their URL.
    steps : Steps
    vms : callable
        Returns the platform's list of VMs.
    """

    def __init__(
        self,
        network: Network,
        node: Node,
        endpoints: dict[str, Endpoint],
        steps: Steps,
        vms: Any,
    ) -> None:
        self.network = network
        self.node = node
        self.endpoints = endpoints
        self.steps = steps
        self.vms = vms
        # Endpoint of the attempt that was started last, for faults.
        self.endpoint: Endpoint | None = None

    async def close(self) -> None:
        """Close all connections."""

    async def check_open(self, endpoint: Endpoint) -> None:
        """Hang when a cut lies between router and endpoint."""
        if not (
            self.network.is_open(self.node, endpoint.data_centre)
            and self.network.is_open(endpoint.data_centre, self.node)
        ):
            await asyncio.sleep(NEVER_S)

    async def request(
        self,
        method: str,
        url: str,
        *,
        data: bytes,
        headers: dict[str, str],
        allow_redirects: bool,
    ) -> Response:
        """Send a caller's request to an endpoint."""
        await self.node.gate()
        base, path = _split(url)
        self.endpoint = endpoint = self.endpoints[base]
        await self.steps.reach('connect')
        await self.node.gate()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.check_open(endpoint)
        except TimeoutError:
            raise aiohttp.ConnectionTimeoutError from None
        if endpoint.down:
            raise _refused(endpoint)
        connection = Connection()
        endpoint.connections.add(connection)
        await self.steps.reach('send')
        await self.node.gate()
        await connection.wait(SERVICE_S)
        await self.check_open(endpoint)
        closed = lambda: endpoint.connections.discard(connection)  # noqa: E731
        if endpoint.refuses:
            content = _Content(
                [b'{}'], connection, self, endpoint, watched=False
            )
            return Response(
                503,
                'application/json',
                content,
                closed,
                {'X-Not-Started': '1'},
            )
        status, content_type, chunks = endpoint.answer(
            method, path, data, headers
        )
        if endpoint.crash_text and endpoint.crash_text.encode() in data:
            endpoint.crash()
        await connection.wait(FIRST_TOKEN_S)
        await self.check_open(endpoint)
        await self.node.gate()
        content = _Content(chunks, connection, self, endpoint, watched=True)
        return Response(status, content_type, content, closed)

    @contextlib.asynccontextmanager
    async def get(self, url: str, **_: Any) -> Iterator[Response]:
        """Answer a poll of the router's own."""
        await self.node.gate()
        base, path = _split(url)
        if path == '/vms':
            body = msgspec.json.encode(self.vms())
        else:
            endpoint = self.endpoints[base]
            await self._poll_open(endpoint)
            load = {
                'running': len(endpoint.connections),
                'waiting': 0,
                'leaving': endpoint.leaving,
            }
            body = msgspec.json.encode(load)
        await self.node.gate()
        yield self._own_response(200, 'application/json', [body])

    @contextlib.asynccontextmanager
    async def post(
        self, url: str, *, data: bytes, headers: dict[str, str], **_: Any
    ) -> Iterator[Response]:
        """Answer a probe of the router's own."""
        await self.node.gate()
        base, path = _split(url)
        endpoint = self.endpoints[base]
        await self._poll_open(endpoint)
        yield self._own_response(*endpoint.answer('POST', path, data, headers))

    async def _poll_open(self, endpoint: Endpoint) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.check_open(endpoint)
        except TimeoutError:
            raise aiohttp.ConnectionTimeoutError from None
        if endpoint.down:
            raise _refused(endpoint)
        await asyncio.sleep(SERVICE_S)

    def _own_response(
        self, status: int, content_type: str, chunks: list[bytes]
    ) -> Response:
        return Response(
            status,
            content_type,
            _OwnContent(chunks),
            lambda: None,
        )


class _OwnContent:
    def __init__(self, chunks: list[bytes]) -> None:
        self._chunks = chunks

    async def iter_any(self) -> Iterator[bytes]:
        for chunk in self._chunks:
            yield chunk


def _split(url: str) -> tuple[str, str]:
    base, slash, path = url.removeprefix('http://').partition('/')
    return f'http://{base}', slash + path


def _refused(endpoint: Endpoint) -> aiohttp.ClientConnectorError:
    key = aiohttp.client_reqrep.ConnectionKey(
        endpoint.url, 80, False, True, None, None, None
    )
    return aiohttp.ClientConnectorError(
        key, ConnectionRefusedError(111, 'connection refused')
    )
