"""Header fields of requests and responses on the platform."""

from __future__ import annotations

from collections.abc import Iterable
import math

from ..http1 import CallerRequest
from ..http1 import Header
from ..http1 import ResponseHead
from ..http1 import encode_fields
from ..http1 import end_to_end_fields
from ..http1 import find
from ..http1 import find_all
from ..node import RequestMetadataError
from ..node import ResponseResult
from ..routing import Endpoint
from ..routing import PromptPart
from ..routing import RequestMetadata

READY_PATH = b'/basilpond/ready'

_REQUEST_ID = b'x-request-id'
# Set by routers only; values sent by callers are dropped.
_ROUTER_FIELDS = frozenset(
    (
        b'authorization',
        b'content-length',
        b'expect',
        b'kv-fetch',
        b'kv-from',
        b'x-deadline-ms',
        b'x-expect-instance',
        b'x-expect-version',
        b'x-hold',
        b'x-kv-backup',
        b'x-pin-ms',
        b'x-request-priority',
        b'x-tenant',
    )
)
# Bounds of what callers and servers name. Squares of token counts are added
# up as floats; part ids are 64-bit integers in reports between routers.
_MAX_TOKENS = 10**8
_MAX_PART_ID = 2**64 - 1
_MAX_DEADLINE_MS = 2.0**53
_MAX_LIMIT_PER_S = 1e6
_NOT_EXECUTED_STATUSES = frozenset((400, 421, 429, 503))


def decode_request_metadata(headers: list[Header]) -> RequestMetadata:
    """Decode the header fields used for routing and budgets.

    Raises
    ------
    RequestMetadataError
    """
    ids = find_all(headers, _REQUEST_ID)
    if len(ids) != 1 or not ids[0]:
        raise RequestMetadataError('needs exactly one request id')
    try:
        deadline = find(headers, b'x-deadline-ms')
        hint = find(headers, b'x-length-hint')
        counts = find(headers, b'x-token-count')
        prompt, output = _decode_token_count(counts)
        parts = tuple(_decode_parts(find(headers, b'x-prompt-prefix')))
        part_tokens = sum(part.tokens for part in parts)
        if counts is not None and part_tokens > prompt:
            raise ValueError(
                f'X-Prompt-Prefix has {part_tokens} tokens, more than the'
                f' {prompt} of X-Token-Count'
            )
        return RequestMetadata(
            request_id=ids[0],
            deadline_s=None if deadline is None else _decode_ms(deadline),
            key=_decode_api_key(find(headers, b'authorization')),
            prompt_tokens=prompt,
            max_output_tokens=output,
            parts=parts,
            expected_output_tokens=None
            if hint is None
            else _decode_whole(hint, _MAX_TOKENS),
            last_event_id=find(headers, b'last-event-id'),
            resumes=find(headers, b'resumes'),
        )
    except ValueError as error:
        raise RequestMetadataError(str(error)) from error


def _decode_api_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.partition(b' ')
    if scheme.lower() != b'bearer':
        return None
    return key.strip().decode('latin-1')


def _decode_token_count(value: bytes | None) -> tuple[int, int]:
    if value is None:
        return 0, 0
    prompt, _, output = value.partition(b',')
    return (
        _decode_whole(prompt, _MAX_TOKENS),
        _decode_whole(output, _MAX_TOKENS),
    )


def _decode_parts(value: bytes | None) -> Iterable[PromptPart]:
    for item in (value or b'').split(b','):
        part, separator, tokens = item.strip().partition(b':')
        if separator:
            yield PromptPart(
                _decode_whole(part, _MAX_PART_ID, base=16),
                _decode_whole(tokens, _MAX_TOKENS),
            )


def _decode_whole(value: bytes, maximum: int, *, base: int = 10) -> int:
    number = int(value, base)
    if not 0 <= number <= maximum:
        raise ValueError(f'{value[:20]!r} is not from 0 to {maximum}')
    return number


def _decode_ms(value: bytes) -> float:
    # Returns seconds. A time that has passed leaves none.
    number = float(value)
    if math.isnan(number):
        raise ValueError(f'{value!r} is no time')
    return min(max(0.0, number), _MAX_DEADLINE_MS) / 1000


def encode_request(
    request: CallerRequest,
    *,
    endpoint: Endpoint,
    remaining_s: float,
    organisation: str | None,
    priority: int | None,
    last_event_id: bytes | None,
) -> bytes:
    """Encode a request for a server.

    Parameters
    ----------
    request : CallerRequest
    endpoint : Endpoint
    remaining_s : float
        Time in seconds after which the server stops processing.
    organisation : str or None
    priority : int or None
        From 0, the highest, to 9.
    last_event_id : bytes or None
        Event after which a stream resumes; replaces the caller's value.

    Returns
    -------
    bytes
        Head and body.
    """
    fields = [
        field
        for field in end_to_end_fields(request.headers)
        if field[0] not in _ROUTER_FIELDS
        and not (field[0] == b'last-event-id' and last_event_id is not None)
    ]
    fields.append((b'x-deadline-ms', b'%d' % max(1, int(remaining_s * 1000))))
    fields.append((b'x-expect-instance', endpoint.id.encode('latin-1')))
    if organisation is not None:
        fields.append((b'x-tenant', organisation.encode()))
    if priority is not None:
        fields.append((b'x-request-priority', b'%d' % priority))
    if last_event_id is not None:
        fields.append((b'last-event-id', last_event_id))
    if request.body or request.method not in (b'GET', b'HEAD', b'DELETE'):
        fields.append((b'content-length', b'%d' % len(request.body)))
    return (
        b'%s %s HTTP/1.1\r\n' % (request.method, request.target)
        + encode_fields(fields)
        + request.body
    )


def echo_field(metadata: RequestMetadata) -> Header:
    """Return the field that a response to the request repeats."""
    return _REQUEST_ID, metadata.request_id


def classify_response(head: ResponseHead) -> ResponseResult:
    """Classify a response by its head."""
    if 200 <= head.status < 300:
        proven = (
            head.find(b'x-response-stamp') is not None
            and head.find(_REQUEST_ID) is not None
            and head.find(b'content-encoding') is None
        )
        return ResponseResult.SUCCESS if proven else ResponseResult.UNPROVEN
    if head.status == 421:
        return ResponseResult.MISDIRECTED
    if (
        head.status in _NOT_EXECUTED_STATUSES
        and head.find(b'x-not-executed') is not None
    ):
        return ResponseResult.NOT_RUN
    return ResponseResult.FAILED


def request_limit_per_s(head: ResponseHead) -> float | None:
    """Return the requests a second that the server takes from all routers.

    Returns
    -------
    float or None
        None if it names no limit, or one that is no number or no limit.
    """
    try:
        per_s = float(head.find(b'server-limit') or b'nan')
    except ValueError:
        return None
    return per_s if 0 <= per_s <= _MAX_LIMIT_PER_S else None


def response_fields(head: ResponseHead) -> list[Header]:
    """Return the fields of a response that are forwarded to the caller."""
    return [
        field
        for field in end_to_end_fields(head.headers)
        if field[0] != b'content-length'
    ]


def refusal_fields(
    metadata: RequestMetadata | None, retry_after_s: float | None
) -> list[Header]:
    """Return the header fields of a response created by the router."""
    fields: list[Header] = []
    if metadata is not None:
        fields.append((_REQUEST_ID, metadata.request_id))
    if retry_after_s is not None:
        fields.append((b'retry-after', b'%.3f' % retry_after_s))
    return fields
