"""Call of a caller after authentication."""

from __future__ import annotations

import dataclasses
import re
import uuid

from aiohttp import web

from ...core import ManifestIndex
from ...core import Organisation
from ...core import ResultCode
from ...core import body_digest
from ...core import parse_key
from ._refusals import not_run
from ._request_log import RequestEnd

IDEMPOTENCY_HEADER = 'Idempotency-Key'
ATTEMPT_HEADER = 'Basilpond-Attempt'
DEADLINE_HEADER = 'Basilpond-Deadline-Ms'
MAX_DEADLINE_MS = 3_600_000
MAX_TRACE_STATE_CHARS = 512
_TRACE_PARENT = re.compile(
    r'[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}'
)


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One call with everything that its handlers need.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
    body : bytes
    organisation : Organisation
    index : ManifestIndex
        Tables of the manifest version that decides this call.
    request_id : str
        The caller's key, or one that the router made.
    keyed : bool
        Whether the caller chose the id.
    body_digest : str
    deadline_ms : int or None
        Time that the caller is ready to wait for the first byte.
    first_attempt : bool
        Whether the caller states that it sends this key for the first time.
    end : RequestEnd
    """

    request: web.BaseRequest
    body: bytes
    organisation: Organisation
    index: ManifestIndex
    request_id: str
    keyed: bool
    body_digest: str
    deadline_ms: int | None
    first_attempt: bool
    end: RequestEnd

    @classmethod
    def create(
        cls,
        request: web.BaseRequest,
        body: bytes,
        organisation: Organisation,
        index: ManifestIndex,
        request_id: str,
        end: RequestEnd,
    ) -> CallerRequest:
        """Check the headers of a call.

        Raises
        ------
        RefusalError
        """
        key = request.headers.get(IDEMPOTENCY_HEADER)
        if key is not None:
            request_id = parse_key(key).value
        return cls(
            request=request,
            body=body,
            organisation=organisation,
            index=index,
            request_id=request_id,
            keyed=key is not None,
            body_digest=body_digest(
                request.method, request.rel_url.path_qs, body
            ),
            deadline_ms=_deadline_ms(request),
            first_attempt=states_first_attempt(request),
            end=end,
        )

    def trace_headers(self) -> dict[str, str]:
        """Return the caller's W3C trace context, if it is well formed."""
        parent = self.request.headers.get('traceparent', '')
        if not _TRACE_PARENT.fullmatch(parent):
            return {}
        headers = {'traceparent': parent}
        state = self.request.headers.get('tracestate', '')
        if state and len(state) <= MAX_TRACE_STATE_CHARS:
            headers['tracestate'] = state
        return headers

    def attempt_id(self) -> str:
        """Return a new id for one attempt at one endpoint.

        Late bytes of an earlier attempt carry another id, so they can't be
        taken for this attempt's answer.
        """
        return uuid.uuid4().hex


def states_first_attempt(request: web.BaseRequest) -> bool:
    """Return whether the caller states that no earlier call had this key."""
    return request.headers.get(ATTEMPT_HEADER) == '1'


def _deadline_ms(request: web.BaseRequest) -> int | None:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 10) or not (
        1 <= int(text) <= MAX_DEADLINE_MS
    ):
        raise not_run(
            ResultCode.INVALID_FIELD,
            f'{DEADLINE_HEADER}={text[:20]!r}; allowed 1 to {MAX_DEADLINE_MS}',
            400,
        )
    return int(text)
