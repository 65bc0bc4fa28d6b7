"""Requests of callers: identity, responses, idempotent replay and log."""

from ._caller_request import IDEMPOTENCY_HEADER
from ._caller_request import CallerRequest
from ._caller_request import states_first_attempt
from ._keyed_calls import KeyedCalls
from ._recorded_responses import PeerResponse
from ._recorded_responses import RecordedResponses
from ._refusals import OUTCOME_HEADER
from ._refusals import REQUEST_ID_HEADER
from ._refusals import error_body
from ._refusals import not_run
from ._refusals import refusal_response
from ._refusals import stop_refusal
from ._request_log import RequestEnd
from ._request_log import RequestLog
from ._responses import BufferedResponse
from ._responses import DirectResponse
from ._responses import ResponseHead
from ._responses import ResponseSink
from ._responses import ResponseStore

__all__ = [
    'BufferedResponse',
    'CallerRequest',
    'DirectResponse',
    'IDEMPOTENCY_HEADER',
    'KeyedCalls',
    'OUTCOME_HEADER',
    'PeerResponse',
    'REQUEST_ID_HEADER',
    'RecordedResponses',
    'RequestEnd',
    'RequestLog',
    'ResponseHead',
    'ResponseSink',
    'ResponseStore',
    'error_body',
    'not_run',
    'refusal_response',
    'states_first_attempt',
    'stop_refusal',
]
