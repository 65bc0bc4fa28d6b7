"""HTTP server whose own refusals look like those of the gateway."""

from __future__ import annotations

import uuid

from absl import logging
from aiohttp import web

from ..core import Outcome
from ..core import RefusalError
from ..core import ResultCode
from ._refusals import not_run
from ._refusals import refusal_response

HTTP_SERVER_ERROR = 500
# Time for the rest of a refused upload. Closed at once, a caller that still
# sends could lose the refusal; the library's 10 s let slow uploads pile up.
LINGERING_S = 2.0


class _Connection(web.RequestHandler):
    """Connection that refuses input which is not valid HTTP."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTP_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that can't be handled.

        The text of `exc` is neither logged nor sent, because it quotes the
        input, which may hold a key.
        """
        if request.writer.output_size > 0:
            raise ConnectionError('part of a response was already sent')
        if status >= HTTP_SERVER_ERROR:
            logging.error('caller request failed: %s', type(exc).__name__)
            error = RefusalError(
                ResultCode.INTERNAL_ERROR,
                'internal error',
                outcome=Outcome.UNKNOWN,
                http_status=HTTP_SERVER_ERROR,
            )
        else:
            error = not_run(
                ResultCode.MALFORMED_BODY,
                'the request is not valid HTTP, or its headers are too large',
                status,
            )
        response = refusal_response(error, str(uuid.uuid4()))
        response.force_close()
        return response


class CallerServer(web.Server):
    """Server of the callers' connections.

    Parameters
    ----------
    handler : async callable
    body_bytes : int
        Largest body.
    """

    def __init__(self, handler, body_bytes: int) -> None:
        super().__init__(
            handler,
            request_factory=self._create_request,
            # A caller that leaves ends its request at once, and the endpoint
            # stops generating for nobody.
            handler_cancellation=True,
        )
        self._body_bytes = body_bytes

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return _Connection(
            self,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=75,
            lingering_time=LINGERING_S,
        )

    def _create_request(
        self, message, payload, protocol, writer, task
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            self._loop,
            client_max_size=self._body_bytes,
        )
