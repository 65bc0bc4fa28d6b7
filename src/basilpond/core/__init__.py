"""Router decisions, made without I/O, sockets, files, timers or clocks."""

from ..routing import CrashCounter
from ._accounts import Accounts
from ._accounts import Allotment
from ._accounts import BillDraft
from ._accounts import Demand
from ._accounts import Hold
from ._attempt import Attempt
from ._attempt import AttemptKind
from ._chat_request import ChatRequest
from ._chat_request import parse_chat_request
from ._codes import BasilpondError
from ._codes import LogRateLimitedError
from ._codes import LogUnavailableError
from ._codes import Outcome
from ._codes import RefusalError
from ._codes import ResultCode
from ._config_state import ConfigState
from ._config_state import PublishDecided
from ._decision_history import Decision
from ._decision_history import DecisionHistory
from ._frames import StreamCheck
from ._frames import StreamSummary
from ._full_response_check import FullResponseCheck
from ._idempotency import DEDUPLICATION_WINDOW_S
from ._idempotency import body_digest
from ._idempotency import parse_issued_key
from ._idempotency import parse_key
from ._interfaces import Log
from ._interfaces import LogEntry
from ._interfaces import LogPage
from ._journal import Journal
from ._journal import JournalFullError
from ._journal import JournalMessageError
from ._ledger import HOUR_MS
from ._ledger import Ledger
from ._ledger_results import AllotmentClosed
from ._ledger_results import BudgetApplied
from ._ledger_results import ClaimAbandoned
from ._ledger_results import ClaimDecided
from ._ledger_results import CloseRejected
from ._ledger_results import EntryApplied
from ._ledger_results import GrantDecided
from ._ledger_results import LedgerResult
from ._manifest import Endpoint
from ._manifest import Manifest
from ._manifest import Model
from ._manifest import Organisation
from ._manifest import Route
from ._manifest import Service
from ._manifest import budget_tokens
from ._manifest import check_manifest
from ._manifest import decode_manifest
from ._manifest import diff_manifests
from ._manifest import manifest_schema
from ._manifest_index import ManifestIndex
from ._manifest_index import key_sha256
from ._membership import Membership
from ._membership_types import GossipKind
from ._membership_types import Member
from ._membership_types import MembershipSettings
from ._membership_types import MemberState
from ._membership_types import OutgoingMessage
from ._membership_types import split_incarnation_id
from ._prefix_affinity import prefix_digests
from ._pricing import ChatBound
from ._pricing import Usage
from ._pricing import chat_bound
from ._pricing import prompt_bound_tokens
from ._pricing import response_cost
from ._records import AllotmentEntry
from ._records import Batch
from ._records import Bill
from ._records import BudgetSet
from ._records import Claim
from ._records import ClaimAbandon
from ._records import Close
from ._records import Grant
from ._records import LedgerRecord
from ._records import LedgerSnapshot
from ._records import ManifestPublish
from ._records import ManifestSnapshot
from ._records import Return
from ._records import Transfer
from ._records import decode_batch
from ._records import decode_config
from ._records import encode_record
from ._request_queue import QueuedRequest
from ._request_queue import RequestQueue
from ._retry_budget import RetryBudget
from ._routing import AttemptResult
from ._routing import EndpointLoad
from ._routing import EndpointTable
from ._routing import LeavingSource
from ._routing import RouteQuery
from ._terminal import build_terminal
from ._terminal import failure_terminal
from ._terminal import length_terminal
from ._validation import IP_ADDRESS
from ._validation import PATTERN_END
from ._validation import SOCKET_ADDRESS
from ._validation import InvalidFieldError
from ._validation import JsonDecoder
from ._validation import convert_fields

__all__ = [
    'Accounts',
    'Allotment',
    'AllotmentClosed',
    'AllotmentEntry',
    'Attempt',
    'AttemptKind',
    'AttemptResult',
    'BasilpondError',
    'Batch',
    'Bill',
    'BillDraft',
    'BudgetApplied',
    'BudgetSet',
    'ChatBound',
    'ChatRequest',
    'Claim',
    'ClaimAbandon',
    'ClaimAbandoned',
    'ClaimDecided',
    'Close',
    'CloseRejected',
    'ConfigState',
    'CrashCounter',
    'DEDUPLICATION_WINDOW_S',
    'Decision',
    'DecisionHistory',
    'Demand',
    'Endpoint',
    'EndpointLoad',
    'EndpointTable',
    'EntryApplied',
    'FullResponseCheck',
    'GossipKind',
    'Grant',
    'GrantDecided',
    'HOUR_MS',
    'Hold',
    'InvalidFieldError',
    'IP_ADDRESS',
    'Journal',
    'JournalFullError',
    'JournalMessageError',
    'JsonDecoder',
    'LeavingSource',
    'Ledger',
    'LedgerRecord',
    'LedgerResult',
    'LedgerSnapshot',
    'Log',
    'LogEntry',
    'LogPage',
    'LogRateLimitedError',
    'LogUnavailableError',
    'Manifest',
    'ManifestIndex',
    'ManifestPublish',
    'ManifestSnapshot',
    'Member',
    'MemberState',
    'Membership',
    'MembershipSettings',
    'Model',
    'Organisation',
    'Outcome',
    'OutgoingMessage',
    'PublishDecided',
    'QueuedRequest',
    'RefusalError',
    'RequestQueue',
    'ResultCode',
    'RetryBudget',
    'Return',
    'Route',
    'RouteQuery',
    'Service',
    'PATTERN_END',
    'SOCKET_ADDRESS',
    'StreamCheck',
    'StreamSummary',
    'Transfer',
    'Usage',
    'body_digest',
    'budget_tokens',
    'build_terminal',
    'chat_bound',
    'check_manifest',
    'convert_fields',
    'decode_batch',
    'decode_config',
    'decode_manifest',
    'diff_manifests',
    'encode_record',
    'failure_terminal',
    'key_sha256',
    'length_terminal',
    'manifest_schema',
    'parse_chat_request',
    'parse_issued_key',
    'parse_key',
    'prefix_digests',
    'prompt_bound_tokens',
    'response_cost',
    'split_incarnation_id',
]
