"""Conversion of refusals to HTTP responses."""

from __future__ import annotations

from aiohttp import web
import msgspec

from ...core import Outcome
from ...core import RefusalError
from ...core import ResultCode

REQUEST_ID_HEADER = 'X-Request-Id'
OUTCOME_HEADER = 'Basilpond-Outcome'

# Error types by thousands of the result code.
_ERROR_TYPES = {
    1: 'invalid_request_error',
    2: 'insufficient_quota',
    3: 'conflict_error',
    4: 'upstream_error',
    5: 'service_unavailable',
}


def error_body(error: RefusalError, request_id: str) -> bytes:
    """Return the JSON body of the response to a refused request."""
    return msgspec.json.encode(
        {
            'error': {
                'code': int(error.code),
                'name': error.code.name.lower(),
                'message': error.message,
                'type': _ERROR_TYPES.get(error.code // 1000, 'error'),
                'outcome': error.outcome.value,
                'request_id': request_id,
            }
        }
    )


def refusal_headers(error: RefusalError, request_id: str) -> dict[str, str]:
    """Return the headers of the response to a refused request."""
    headers = {
        'Content-Type': 'application/json',
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: error.outcome.value,
    }
    if error.retry_after_s is not None:
        headers['Retry-After'] = str(error.retry_after_s)
    return headers


def refusal_response(error: RefusalError, request_id: str) -> web.Response:
    """Return the response to a refused request."""
    return web.Response(
        status=error.http_status,
        body=error_body(error, request_id),
        headers=refusal_headers(error, request_id),
    )


def stop_refusal(*, may_have_run: bool) -> RefusalError:
    """Return the error for a request that a stop of the router ends.

    Parameters
    ----------
    may_have_run : bool
        Whether the request may have run at an endpoint.

    Returns
    -------
    RefusalError
    """
    if not may_have_run:
        return not_run(ResultCode.DRAINING, 'the router stops', 503, 1)
    return RefusalError(
        ResultCode.DRAINING,
        'the router stopped before the response was complete',
        outcome=Outcome.UNKNOWN,
        http_status=504,
    )


def not_run(
    code: ResultCode,
    message: str,
    http_status: int,
    retry_after_s: int | None = None,
) -> RefusalError:
    """Return the error for a request that was refused before it ran.

    Parameters
    ----------
    code : ResultCode
    message : str
        One line for the caller.
    http_status : int
    retry_after_s : int, optional
        Value of the ``Retry-After`` header, in seconds.

    Returns
    -------
    RefusalError
    """
    return RefusalError(
        code,
        message,
        outcome=Outcome.NOT_RUN,
        http_status=http_status,
        retry_after_s=retry_after_s,
    )
