"""Routing decisions on requests of known cost, without I/O or clocks."""

from ._begun_streams import BegunStreams
from ._catalogue import Catalogue
from ._catalogue import choose_service
from ._crash_counter import CrashCounter
from ._crashing_parts import CrashEvidence
from ._crashing_parts import CrashingParts
from ._crashing_parts import Quarantine
from ._crashing_parts import part_key
from ._donors import Donors
from ._endpoint_limits import EndpointLimits
from ._endpoint_limits import LimitReport
from ._era_recovery import Completion
from ._era_recovery import EraRecovery
from ._era_recovery import EraStatement
from ._escrow_accounts import ClockReading
from ._escrow_accounts import EscrowAccount
from ._escrow_accounts import EscrowAccounts
from ._event_tokens import EventTokens
from ._fleet_clock import FleetClock
from ._fleet_retry_budget import FleetRetryBudget
from ._leaving_incarnations import LeavingIncarnations
from ._long_prompts import LONG_PROMPT_TOKENS
from ._long_prompts import long_prompt_endpoints
from ._outlier_detection import SendEvidence
from ._prepaid import Allotments
from ._prepaid import Hold
from ._prepaid import Reservation
from ._prepaid import tokens_retry_s
from ._quiet_endpoints import MAX_QUIET_S
from ._quiet_endpoints import QuietEndpoints
from ._quiet_endpoints import return_retry_s
from ._reachability import Reachability
from ._retry_policy import MAX_CONNECTS
from ._retry_policy import SendResult
from ._retry_policy import event_gap_timeout_s
from ._retry_policy import first_byte_timeout_s
from ._retry_policy import guarantees_not_run
from ._retry_policy import may_send_again
from ._return_queue import ReturnQueue
from ._return_queue import WaitingRequest
from ._software_versions import UNKNOWN_VERSION
from ._software_versions import ServiceVersion
from ._software_versions import SoftwareVersions
from ._types import CallerLimits
from ._types import ColdLimit
from ._types import Configuration
from ._types import Endpoint
from ._types import Organisation
from ._types import PromptPart
from ._types import RequestMetadata
from ._types import Route
from ._types import RouteKind
from ._version_check import CheckState
from ._version_check import VersionCheck
from ._version_currency import VersionCurrency
from ._version_currency import judge_currency
from .capacity import BrittleEndpoints
from .capacity import BrittleReport
from .capacity import ClosedEndpoints
from .capacity import ColdEndpoints
from .capacity import EndpointRoom
from .capacity import EvacuationRecord
from .capacity import EvacuationReport
from .capacity import Evacuations
from .capacity import RejectionReport
from .capacity import RouterView
from .placement import Choice
from .placement import EndpointHistory
from .placement import EndpointLoad
from .placement import EndpointSpeeds
from .placement import EntryVerdict
from .placement import InFlightRequest
from .placement import PeerReport
from .placement import PromptCache
from .placement import SpeedReport
from .placement import choose_endpoint
from .placement import order_endpoints
from .placement import prefill_cost
from .placement import prompt_prefixes
from .placement import sample_loads

__all__ = [
    'Allotments',
    'BegunStreams',
    'BrittleEndpoints',
    'BrittleReport',
    'CallerLimits',
    'Catalogue',
    'CheckState',
    'Choice',
    'ClockReading',
    'ClosedEndpoints',
    'ColdEndpoints',
    'ColdLimit',
    'Completion',
    'Configuration',
    'CrashCounter',
    'CrashEvidence',
    'CrashingParts',
    'Donors',
    'Endpoint',
    'EndpointHistory',
    'EndpointLimits',
    'EndpointLoad',
    'EndpointRoom',
    'EndpointSpeeds',
    'EntryVerdict',
    'EraRecovery',
    'EraStatement',
    'EscrowAccount',
    'EscrowAccounts',
    'EvacuationRecord',
    'EvacuationReport',
    'Evacuations',
    'EventTokens',
    'FleetClock',
    'FleetRetryBudget',
    'Hold',
    'InFlightRequest',
    'LONG_PROMPT_TOKENS',
    'LeavingIncarnations',
    'LimitReport',
    'MAX_CONNECTS',
    'MAX_QUIET_S',
    'Organisation',
    'PeerReport',
    'PromptCache',
    'PromptPart',
    'Quarantine',
    'QuietEndpoints',
    'Reachability',
    'RejectionReport',
    'RequestMetadata',
    'Reservation',
    'ReturnQueue',
    'Route',
    'RouteKind',
    'RouterView',
    'SendEvidence',
    'SendResult',
    'ServiceVersion',
    'SoftwareVersions',
    'SpeedReport',
    'UNKNOWN_VERSION',
    'VersionCheck',
    'VersionCurrency',
    'WaitingRequest',
    'choose_endpoint',
    'choose_service',
    'event_gap_timeout_s',
    'first_byte_timeout_s',
    'guarantees_not_run',
    'judge_currency',
    'long_prompt_endpoints',
    'may_send_again',
    'order_endpoints',
    'part_key',
    'prefill_cost',
    'prompt_prefixes',
    'return_retry_s',
    'sample_loads',
    'tokens_retry_s',
]
