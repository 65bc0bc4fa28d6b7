"""One request in the router: its identity, its answers and their records."""

from ._answers import AnswerHead
from ._answers import AnswerSink
from ._answers import AnswerStore
from ._answers import BufferedAnswer
from ._answers import DirectAnswer
from ._caller_request import IDEMPOTENCY_HEADER
from ._caller_request import CallerRequest
from ._caller_request import states_first_attempt
from ._keyed_calls import KeyedCalls
from ._recorded_answers import PeerAnswer
from ._recorded_answers import RecordedAnswers
from ._refusals import OUTCOME_HEADER
from ._refusals import REQUEST_ID_HEADER
from ._refusals import error_body
from ._refusals import not_run
from ._refusals import refusal_response
from ._request_log import RequestEnd
from ._request_log import RequestLog

__all__ = [
    'AnswerHead',
    'AnswerSink',
    'AnswerStore',
    'BufferedAnswer',
    'CallerRequest',
    'DirectAnswer',
    'IDEMPOTENCY_HEADER',
    'KeyedCalls',
    'OUTCOME_HEADER',
    'PeerAnswer',
    'REQUEST_ID_HEADER',
    'RecordedAnswers',
    'RequestEnd',
    'RequestLog',
    'error_body',
    'not_run',
    'refusal_response',
    'states_first_attempt',
]
