"""Sends one attempt to an endpoint and relays or collects its response."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import aiohttp

from ...core import Attempt
from ...core import AttemptKind
from ...core import FullResponseCheck
from ...core import ResultCode
from ...core import StreamCheck
from ...core import StreamSummary
from ...core import length_terminal
from ...settings import LimitsSection
from .._quiet_connector import RequestConnector
from ..requests import ResponseSink
from ._body_reader import BodyReader
from ._body_reader import DataCallback
from ._endpoint_response import EndpointResponse

NOT_STARTED_HEADER = 'X-Not-Started'
ATTEMPT_ID_HEADER = 'X-Request-Id'
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_SERVER_ERROR = 500
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVICE_UNAVAILABLE = 503
MAX_FULL_RESPONSE_BYTES = 16_000_000
MAX_ERROR_BYTES = 2_000
# Minimum time between extensions of the deadline for the next frame:
# rescheduling a timer for each frame costs more than relaying the frame.
DEADLINE_UPDATE_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamRequest:
    """Request as it is sent to an endpoint.

    Parameters
    ----------
    url : str
    method : str
    body : bytes
    headers : dict
    fresh_connection : bool
        Whether to open a new connection for this request. Set for
        non-idempotent calls, because a failure on a reused connection does
        not show whether the endpoint read the request.
    """

    url: str
    method: str
    body: bytes
    headers: dict[str, str]
    fresh_connection: bool = False


class _CallerGoneError(Exception):
    """The caller closed its connection."""


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Middleware that sends a request on one connection only.

    When a connection ends without a response, aiohttp sends requests of
    idempotent methods again. The endpoint may run both, and a refusal of the
    second would hide the first.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(str(error)) from error


class EndpointClient:
    """HTTP client with the connections to the endpoints.

    Parameters
    ----------
    limits : LimitsSection
        Timeouts of the connection and of the first byte.
    """

    def __init__(self, limits: LimitsSection) -> None:
        self.limits = limits
        self._connector: RequestConnector | None = None
        self._session: aiohttp.ClientSession | None = None
        self._fresh_session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the sessions; needs a running event loop."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self.limits.connect_timeout_ms / 1000,
        )
        self._connector = RequestConnector(limit=0, keepalive_timeout=30)
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(_send_once,),
            response_class=EndpointResponse,
        )
        self._fresh_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(_send_once,),
            response_class=EndpointResponse,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
        await self._fresh_session.close()

    async def run(
        self, upstream: UpstreamRequest, exchange: Exchange, result: Attempt
    ) -> None:
        """Send a request and let `exchange` receive its response.

        Failures of the endpoint and disconnects of the caller are recorded
        in `result` and not raised.

        Parameters
        ----------
        upstream : UpstreamRequest
        exchange : Exchange
            Reads the response.
        result : Attempt
            Filled in during the attempt. It must be of kind `FAILED` at
            first, and stays so if the endpoint closes the connection or
            times out.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        first_byte_deadline_s = (
            started_s + self.limits.first_byte_timeout_ms / 1000
        )
        response = None
        session = (
            self._fresh_session
            if upstream.fresh_connection
            else (self._session)
        )
        try:
            async with asyncio.timeout_at(first_byte_deadline_s) as deadline:
                exchange.deadline = deadline
                response = await session.request(
                    upstream.method,
                    upstream.url,
                    data=upstream.body,
                    headers=upstream.headers,
                    allow_redirects=False,
                )
                result.answered = True
                result.first_byte_s = loop.time() - started_s
                result.http_status = response.status
                await exchange.receive(response, result)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            result.kind = AttemptKind.NOT_STARTED
            result.code = ResultCode.ENDPOINT_REFUSED
            result.message = 'the endpoint refused the connection'
        except TimeoutError:
            _set_timeout_result(result, exchange)
        except _CallerGoneError:
            result.kind = AttemptKind.CALLER_GONE
        except (aiohttp.ClientError, ConnectionError) as error:
            result.code = ResultCode.ENDPOINT_FAILED
            cause = error.__cause__ or error
            result.message = f'connection lost: {type(cause).__name__}'
        finally:
            # A response that was read to its end has returned the connection
            # to the pool. In all other cases the connection must be closed,
            # or late bytes would be read as the next response.
            if response is not None:
                response.close()
            # A refusal that the endpoint sends again on the connection would
            # be taken as that of the next request, which runs.
            self._connector.end_request(
                upstream.headers.get(ATTEMPT_ID_HEADER, ''),
                close=result.kind is AttemptKind.NOT_STARTED,
            )


def _set_timeout_result(result: Attempt, exchange: Exchange) -> None:
    if exchange.writing:
        result.kind = AttemptKind.CALLER_GONE
        result.message = 'the caller stopped reading'
        return
    result.code = ResultCode.ENDPOINT_TIMEOUT
    result.message = (
        'no progress between frames' if result.answered else 'no first byte'
    )


class Exchange:
    """Receives the response of one attempt.

    Parameters
    ----------
    limits : LimitsSection
        Timeouts between frames and of a complete response.

    Attributes
    ----------
    deadline : asyncio.Timeout or None
        Timeout of the attempt. It first covers the time to the first byte
        and is rescheduled as the response proceeds.
    writing : bool
        Whether the attempt waits for the caller; a timeout is then a fault
        of the caller and not of the endpoint.
    """

    def __init__(self, limits: LimitsSection) -> None:
        self.limits = limits
        self.deadline: asyncio.Timeout | None = None
        self.writing = False

    async def receive(
        self, response: aiohttp.ClientResponse, result: Attempt
    ) -> None:
        """Read a response and record it in `result`."""
        if response.status >= HTTP_BAD_REQUEST:
            await self._receive_error(response, result)
        elif response.headers.get('Content-Encoding', 'identity') != (
            'identity'
        ):
            result.code = ResultCode.ANSWER_INVALID
            result.message = 'the answer is compressed'
        else:
            await self._receive_response(response, result)

    async def _receive_response(
        self, response: aiohttp.ClientResponse, result: Attempt
    ) -> None:
        raise NotImplementedError

    async def _receive_error(
        self, response: aiohttp.ClientResponse, result: Attempt
    ) -> None:
        status = response.status
        self._set_timeout(self.limits.frame_timeout_ms)
        body = await response.content.read(MAX_ERROR_BYTES)
        result.message = f'the endpoint answered {status}'
        if status in (HTTP_TOO_MANY_REQUESTS, HTTP_SERVICE_UNAVAILABLE) and (
            response.headers.get(NOT_STARTED_HEADER) == '1'
        ):
            result.kind = AttemptKind.NOT_STARTED
            result.code = ResultCode.ENDPOINT_REFUSED
        elif status < HTTP_SERVER_ERROR and status != HTTP_TOO_MANY_REQUESTS:
            result.kind = AttemptKind.REJECTED
            result.code = ResultCode.ENDPOINT_REJECTED_REQUEST
            result.terminal = body
            result.content_type = response.content_type
        else:
            result.code = ResultCode.ENDPOINT_FAILED

    def _set_timeout(self, timeout_ms: int) -> None:
        loop = asyncio.get_running_loop()
        self.deadline.reschedule(loop.time() + timeout_ms / 1000)

    async def _read_body(self, response: EndpointResponse) -> bytes:
        parts = []
        size = 0
        while part := await response.content.readany():
            parts.append(part)
            size += len(part)
            if size > MAX_FULL_RESPONSE_BYTES:
                raise aiohttp.ClientPayloadError('the response is too large')
        if response.was_reset:
            raise aiohttp.ClientPayloadError('reset within the response')
        return b''.join(parts)


class FullResponseExchange(Exchange):
    """Receives a JSON response that is checked before any of it is relayed.

    Parameters
    ----------
    limits : LimitsSection
    check : FullResponseCheck
    """

    def __init__(
        self, limits: LimitsSection, check: FullResponseCheck
    ) -> None:
        super().__init__(limits)
        self._check = check

    async def _receive_response(
        self, response: aiohttp.ClientResponse, result: Attempt
    ) -> None:
        self._set_timeout(self.limits.total_timeout_ms)
        body = await self._read_body(response)
        summary = self._check.check(body)
        if not summary.complete:
            result.code = summary.problem
            result.message = 'the answer failed its checks'
            return
        result.kind = AttemptKind.COMPLETE
        result.terminal = body
        result.content_type = 'application/json'
        result.content_bytes = summary.content_bytes
        if summary.usage is not None:
            result.prompt_tokens = summary.usage.prompt_tokens
            result.completion_tokens = summary.usage.completion_tokens


class ServiceExchange(Exchange):
    """Receives the response of an application service.

    Any status below 500 is a complete response that goes to the caller,
    unless the service states that the call did not start.
    """

    async def receive(
        self, response: aiohttp.ClientResponse, result: Attempt
    ) -> None:
        """Read a response and record it in `result`."""
        if response.headers.get(NOT_STARTED_HEADER) == '1':
            await self._receive_error(response, result)
            return
        if response.status < HTTP_OK:
            result.code = ResultCode.ANSWER_INVALID
            result.message = f'the service answered {response.status}'
            return
        self._set_timeout(self.limits.total_timeout_ms)
        result.terminal = await self._read_body(response)
        result.content_type = response.headers.get(
            'Content-Type', 'application/octet-stream'
        )
        if response.status >= HTTP_SERVER_ERROR:
            result.code = ResultCode.ENDPOINT_FAILED
            result.message = f'the service answered {response.status}'
        else:
            result.kind = AttemptKind.COMPLETE


class StreamExchange(Exchange):
    """Relays server-sent events as they arrive.

    The terminal events are not relayed but stored in the result, so that the
    caller only gets them after the request has been charged.

    Parameters
    ----------
    limits : LimitsSection
    check : StreamCheck
        Validates the frames and returns the bytes to relay.
    sink : ResponseSink
        Response to the caller.
    start : callable
        Sends status and headers to the caller; called before the first byte.
    model : str
        Model named in the frame that ends a cut stream.
    now_s : callable
        Wall-clock time in seconds, for the frame that ends a cut stream.
    """

    def __init__(
        self,
        limits: LimitsSection,
        check: StreamCheck,
        sink: ResponseSink,
        start: Callable[[], Awaitable[None]],
        model: str,
        now_s: Callable[[], float],
    ) -> None:
        super().__init__(limits)
        self._check = check
        self._sink = sink
        self._start = start
        self._model = model
        self._now_s = now_s
        self._total_deadline_s = 0.0
        self._next_extension_s = 0.0
        self._stopped = False

    async def _receive_response(
        self, response: aiohttp.ClientResponse, result: Attempt
    ) -> None:
        if response.content_type != 'text/event-stream':
            result.code = ResultCode.ANSWER_INVALID
            result.message = f'content type {response.content_type!r}'
            return
        # The deadline of the first byte stays in force until the first frame,
        # because an endpoint may send headers and then nothing.
        try:
            await self._relay_frames(response, result)
        finally:
            self._apply_summary(self._check.finish(), result)

    async def _relay_frames(
        self, response: aiohttp.ClientResponse, result: Attempt
    ) -> None:
        loop = asyncio.get_running_loop()
        self._total_deadline_s = (
            loop.time() + self.limits.total_timeout_ms / 1000
        )
        while not result.relayed:
            chunk = await response.content.readany()
            if not chunk:
                return
            self._extend_deadline(loop.time())
            step = self._check.feed(chunk)
            if step.relay:
                await self._start_relay(step.relay, result)
            if step.problem is not None or step.cut:
                return
        reader = BodyReader(response, self._relay_callback(loop))
        try:
            while await reader.read():
                if self._stopped:
                    return
                await self._drain()
                self._extend_deadline(loop.time())
        finally:
            reader.close()

    def _relay_callback(self, loop: asyncio.AbstractEventLoop) -> DataCallback:
        """Return a callback that checks and relays the bytes of one read."""
        feed = self._check.feed
        write_now = self._sink.write_now
        time_s = loop.time

        def relay_data(chunk: bytes) -> bool:
            now_s = time_s()
            if now_s >= self._next_extension_s:
                self._extend_deadline(now_s)
            step = feed(chunk)
            more = True
            if step.relay:
                try:
                    more = write_now(step.relay)
                except ConnectionError as error:
                    raise _CallerGoneError from error
            if step.problem is not None or step.cut:
                self._stopped = True
                return False
            return more

        return relay_data

    def _extend_deadline(self, now_s: float) -> None:
        if self.deadline.expired():
            # The attempt is being cancelled; an expired timeout cannot be
            # rescheduled.
            return
        self._next_extension_s = now_s + DEADLINE_UPDATE_INTERVAL_S
        frame_timeout_s = self.limits.frame_timeout_ms / 1000
        self.deadline.reschedule(
            min(
                self._next_extension_s + frame_timeout_s,
                self._total_deadline_s,
            )
        )

    async def _start_relay(self, data: bytes, result: Attempt) -> None:
        self.writing = True
        try:
            result.relayed = True
            await self._start()
            await self._sink.write(data)
        except ConnectionError as error:
            raise _CallerGoneError from error
        self.writing = False

    async def _drain(self) -> None:
        self.writing = True
        try:
            await self._sink.drain()
        except ConnectionError as error:
            raise _CallerGoneError from error
        self.writing = False

    def _apply_summary(self, summary: StreamSummary, result: Attempt) -> None:
        result.content_frames = summary.frames
        result.content_bytes = summary.content_bytes
        result.cut = summary.cut
        if summary.usage is not None:
            result.prompt_tokens = summary.usage.prompt_tokens
            result.completion_tokens = summary.usage.completion_tokens
        if summary.cut:
            result.kind = AttemptKind.COMPLETE
            result.code = ResultCode.ANSWER_INVALID
            result.terminal = length_terminal(
                self._check.stream_id, self._model, int(self._now_s())
            )
        elif summary.complete:
            result.kind = AttemptKind.COMPLETE
            result.terminal = summary.terminal_bytes
        elif summary.problem is not None:
            result.code = summary.problem
            result.message = 'the stream failed its checks'
