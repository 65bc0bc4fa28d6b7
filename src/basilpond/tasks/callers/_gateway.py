"""HTTP API for callers: authentication, input limits and paths."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol
import uuid

from absl import logging
import aiohttp
from aiohttp import web

from ...core import ManifestIndex
from ...core import Organisation
from ...core import Outcome
from ...core import RefusalError
from ...core import ResultCode
from ...core import key_sha256
from ...http1 import DescriptorBudget
from ...http1 import MemoryBudget
from ...settings import LimitsSection
from ...telemetry import extract_context
from ...telemetry import hop_span
from ..requests import IDEMPOTENCY_HEADER
from ..requests import REQUEST_ID_HEADER
from ..requests import CallerRequest
from ..requests import RequestEnd
from ..requests import RequestLog
from ..requests import not_run
from ..requests import refusal_response
from ..requests import states_first_attempt
from ..requests import stop_refusal
from ._body_account import BodyAccount
from ._body_account import BodyTooLargeError
from ._body_account import MemoryShortError
from ._http_server import HTTP_SERVER_ERROR
from ._http_server import HttpServer

BEARER_SCHEME = 'bearer'
SERVICES_PREFIX = '/v1/services/'
# Time for the handlers of requests that do not end when they are told to, for
# example because their callers do not read.
SHUTDOWN_TIMEOUT_S = 1.0
_BYTES_PER_MB = 1_000_000


class CallHandler(Protocol):
    """Handler of one kind of request."""

    async def serve(self, call: CallerRequest) -> web.StreamResponse:
        """Serve a request.

        Parameters
        ----------
        call : CallerRequest

        Returns
        -------
        aiohttp.web.StreamResponse
            The response, already sent to the caller.

        Raises
        ------
        RefusalError
            The request was refused or failed before any part of the response
            was sent.
        """
        ...


@dataclasses.dataclass(slots=True)
class _RequestState:
    """State of an open request.

    Parameters
    ----------
    request_id : str
    end : RequestEnd
    body : BodyAccount
    organisation : str
        Id of the caller's organisation; empty before authentication.
    call : CallerRequest or None
        None until the request was read completely.
    """

    request_id: str
    end: RequestEnd
    body: BodyAccount
    organisation: str = ''
    call: CallerRequest | None = None


class Gateway:
    """Authenticates callers, limits their input and routes requests by path.

    Parameters
    ----------
    limits : LimitsSection
    index : callable
        Returns the tables of the current manifest, or None before the first
        one is known.
    chat, services : CallHandler
        Handlers of chat completions and of service calls.
    log : RequestLog
    """

    def __init__(
        self,
        limits: LimitsSection,
        index: Callable[[], ManifestIndex | None],
        chat: CallHandler,
        services: CallHandler,
        log: RequestLog,
    ) -> None:
        self.limits = limits
        self.index = index
        self.chat = chat
        self.services = services
        self.log = log
        self.open_requests = 0
        self._memory = MemoryBudget.of_process(
            limits.memory_mb * _BYTES_PER_MB
        )
        self._descriptors = DescriptorBudget.of_process(limits.max_fds)
        self._stopping = False
        # Of the open requests.
        self._time_limits: set[asyncio.Timeout] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._server: HttpServer | None = None
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for connections of callers."""
        self._server = HttpServer(
            self._handle,
            _refuse_invalid,
            self.limits.body_bytes,
            self._descriptors,
        )
        self._runner = web.ServerRunner(
            self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, port, backlog=1024)
        await self._site.start()

    def announce_stop(self) -> None:
        """Close each connection after its next response."""
        self._server.stopping = True

    async def stop_accepting(self) -> None:
        """Close the listening socket; open requests continue.

        New requests on open connections are refused.
        """
        self._stopping = True
        await self._site.stop()

    def end_requests(self) -> None:
        """End all open requests with an answer that tells their state."""
        now_s = asyncio.get_running_loop().time()
        for time_limit in self._time_limits:
            if not time_limit.expired():
                time_limit.reschedule(now_s)

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is open.

        Parameters
        ----------
        timeout_s : float

        Returns
        -------
        bool
            False if requests were still open after `timeout_s`.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Close all connections."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get(IDEMPOTENCY_HEADER) or str(
            uuid.uuid4()
        )
        self.open_requests += 1
        self._idle.clear()
        state = _RequestState(
            request_id,
            RequestEnd(asyncio.get_running_loop().time()),
            BodyAccount(self._memory),
        )
        try:
            with hop_span('accept', extract_context(request.headers)) as span:
                response = await self._respond(request, state)
                end = state.end
                span.set_attribute('basilpond.outcome', end.outcome.value)
                if end.code is not None:
                    span.set_attribute('basilpond.code', int(end.code))
                return response
        finally:
            state.body.close()
            self.log.write_end(
                state.end,
                _safe_header(state.request_id),
                state.organisation,
            )
            self.open_requests -= 1
            if not self.open_requests:
                self._idle.set()

    async def _respond(
        self, request: web.BaseRequest, state: _RequestState
    ) -> web.StreamResponse:
        time_limit = asyncio.timeout(None)
        try:
            async with time_limit:
                self._time_limits.add(time_limit)
                try:
                    return await self._dispatch(request, state)
                finally:
                    self._time_limits.discard(time_limit)
        except RefusalError as refusal:
            error = refusal
            if state.organisation:
                # The history is bounded: refusals of unauthenticated requests
                # would displace the records of organisations.
                self.log.record_refusal(_safe_header(state.request_id), error)
        except Exception:
            if time_limit.expired():
                error = stop_refusal(
                    may_have_run=state.call is not None
                    and state.call.may_have_run
                )
            else:
                logging.exception(
                    'request %s failed', _safe_header(state.request_id)
                )
                error = _internal_error()
        state.end.refuse(error)
        if request.writer.output_size > 0:
            raise ConnectionError('part of a response was already sent')
        return refusal_response(error, _safe_header(state.request_id))

    async def _dispatch(
        self, request: web.BaseRequest, state: _RequestState
    ) -> web.StreamResponse:
        index = self.index()
        if index is None:
            raise _unavailable(
                request, ResultCode.NOT_READY, 'no manifest is known yet'
            )
        organisation = _authenticate(request, index)
        state.organisation = organisation.id
        self._check_stopping(request)
        if self.open_requests > self.limits.open_requests:
            raise _unavailable(
                request, ResultCode.QUEUE_FULL, 'too many open requests'
            )
        path = request.path
        if path == '/v1/models' and request.method == 'GET':
            state.end.complete()
            return _models_response(index, organisation, state.request_id)
        if path == '/v1/chat/completions' and request.method == 'POST':
            handler = self.chat
        elif path.startswith(SERVICES_PREFIX):
            handler = self.services
        else:
            raise not_run(ResultCode.UNKNOWN_PATH, 'no such path', 404)
        self.log.metrics.count('requests.accepted')
        body = await self._read_body(request, state.body)
        self._check_stopping(request)
        state.call = call = CallerRequest.create(
            request, body, organisation, index, state.request_id, state.end
        )
        return await handler.serve(call)

    def _check_stopping(self, request: web.BaseRequest) -> None:
        if self._stopping:
            raise _unavailable(
                request, ResultCode.DRAINING, 'the router stops'
            )

    async def _read_body(
        self, request: web.BaseRequest, account: BodyAccount
    ) -> bytes:
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            # The interim response must not count as output, by which
            # `HttpServer` detects that a response was started.
            request.writer.output_size = 0
        try:
            return await account.read(
                request.content,
                self.limits.body_bytes,
                self.limits.upload_timeout_ms / 1000,
            )
        except TimeoutError:
            raise not_run(
                ResultCode.SLOW_UPLOAD, 'the upload took too long', 408
            ) from None
        except MemoryShortError:
            self.log.metrics.count('requests.memory_short')
            logging.log_every_n_seconds(
                logging.WARNING,
                'memory is short: refused an upload of %s',
                1,
                request.remote,
            )
            raise _unavailable(
                request, ResultCode.QUEUE_FULL, 'the router is short of memory'
            ) from None
        except BodyTooLargeError:
            raise not_run(
                ResultCode.BODY_TOO_LARGE,
                f'the body exceeds {self.limits.body_bytes} bytes',
                413,
            ) from None
        except (web.RequestPayloadError, aiohttp.ClientPayloadError):
            raise not_run(
                ResultCode.MALFORMED_BODY, 'the upload was abandoned', 400
            ) from None


def _internal_error() -> RefusalError:
    return RefusalError(
        ResultCode.INTERNAL_ERROR,
        'internal error',
        outcome=Outcome.UNKNOWN,
        http_status=HTTP_SERVER_ERROR,
    )


def _refuse_invalid(status: int) -> web.Response:
    """Return the response to a request that is not valid HTTP."""
    if status >= HTTP_SERVER_ERROR:
        error = _internal_error()
    else:
        error = not_run(
            ResultCode.MALFORMED_BODY,
            'the request is not valid HTTP, or its headers are too large',
            status,
        )
    return refusal_response(error, str(uuid.uuid4()))


def _unavailable(
    request: web.BaseRequest, code: ResultCode, message: str
) -> RefusalError:
    """Return the refusal of a request before its body was read."""
    error = not_run(code, message, 503, 1)
    if (
        request.path.startswith(SERVICES_PREFIX)
        and IDEMPOTENCY_HEADER in request.headers
        and not states_first_attempt(request)
    ):
        # An earlier call with this key may have run through another router.
        error.outcome = Outcome.UNKNOWN
    return error


def _authenticate(
    request: web.BaseRequest, index: ManifestIndex
) -> Organisation:
    header = request.headers.get('Authorization', '')
    scheme, _, key = header.partition(' ')
    if scheme.lower() != BEARER_SCHEME:
        raise not_run(ResultCode.MISSING_KEY, 'a bearer key is required', 401)
    organisation = index.organisation_of_key(key.strip())
    if organisation is None:
        raise not_run(ResultCode.WRONG_KEY, 'the key is not known', 401)
    return organisation


def _models_response(
    index: ManifestIndex, organisation: Organisation, request_id: str
) -> web.Response:
    models = sorted(index.reachable_models(organisation))
    return web.json_response(
        {
            'object': 'list',
            'data': [
                {
                    'id': model,
                    'object': 'model',
                    'created': 0,
                    'owned_by': 'basilpond',
                }
                for model in models
            ],
        },
        headers={
            REQUEST_ID_HEADER: _safe_header(request_id),
            'Basilpond-Outcome': Outcome.COMPLETE.value,
        },
    )


def _safe_header(request_id: str) -> str:
    """Return a request id in a form that is safe in headers and log lines."""
    if request_id.isascii() and request_id.isprintable():
        return request_id[:128]
    return 'invalid-' + key_sha256(request_id)[:16]
