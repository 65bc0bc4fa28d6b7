"""Decisions on requests of known cost, without I/O or clocks."""

from ._allotment_rows import AllotmentRows
from ._allotment_rows import Row
from ._allotment_rows import Stamp
from ._catalogue import Catalogue
from ._catalogue import choose_service
from ._crash_counter import CrashCounter
from ._donors import Donors
from ._event_tokens import EventTokens
from ._fleet_clock import FleetClock
from ._long_prompts import long_prompt_endpoints
from ._placement import Choice
from ._placement import EndpointLoad
from ._placement import PeerReport
from ._placement import Placed
from ._placement import choose_endpoint
from ._placement import prefill_work
from ._placement import sample_loads
from ._prepaid import Allotments
from ._prepaid import Hold
from ._prepaid import tokens_retry_s
from ._prompt_cache import PromptCache
from ._prompt_cache import prefix_runs
from ._retry_policy import MAX_CONNECTS
from ._retry_policy import SendResult
from ._retry_policy import first_byte_patience_s
from ._retry_policy import may_send_again
from ._retry_policy import pause_patience_s
from ._retry_policy import promises_not_run
from ._retry_share import RetryShare
from ._types import CallerLimits
from ._types import CallFacts
from ._types import Configuration
from ._types import Endpoint
from ._types import Organisation
from ._types import PromptPart
from ._types import Route
from ._types import RouteKind

__all__ = [
    'AllotmentRows',
    'Allotments',
    'CallFacts',
    'CallerLimits',
    'Catalogue',
    'Choice',
    'Configuration',
    'Endpoint',
    'CrashCounter',
    'Donors',
    'EndpointLoad',
    'EventTokens',
    'FleetClock',
    'Hold',
    'MAX_CONNECTS',
    'Organisation',
    'PeerReport',
    'Placed',
    'PromptCache',
    'PromptPart',
    'RetryShare',
    'Route',
    'RouteKind',
    'Row',
    'SendResult',
    'Stamp',
    'choose_endpoint',
    'choose_service',
    'first_byte_patience_s',
    'long_prompt_endpoints',
    'may_send_again',
    'pause_patience_s',
    'prefill_work',
    'prefix_runs',
    'promises_not_run',
    'sample_loads',
    'tokens_retry_s',
]
