"""HTTP/1.1 server and client connections that forward messages."""

from ._client import KEEPALIVE_OPTIONS
from ._client import ConnectionPool
from ._client import ExchangeError
from ._client import ExchangeFailure
from ._client import PeerConnection
from ._early_end import LARGE_REQUEST_BYTES
from ._early_end import EarlyEnd
from ._early_end import may_be_early
from ._events import EventSplitter
from ._fields import Header
from ._fields import encode_fields
from ._fields import end_to_end_fields
from ._fields import find
from ._fields import find_all
from ._memory_budget import Account
from ._memory_budget import DescriptorBudget
from ._memory_budget import MemoryBudget
from ._messages import CallerRequest
from ._messages import ConnectionLimits
from ._messages import UnansweredClose
from ._messages import Upload
from ._received import RECEIVED
from ._resources import ClientResources
from ._responder import Handler
from ._responder import Responder
from ._response_head import ResponseHead
from ._response_head import find_problem
from ._server import CallerServer
from ._server import ProtocolFactory
from ._server import ProtocolWrapper
from ._server import keep_factory
from ._socket_bytes import has_failed
from ._socket_bytes import unsent_bytes

__all__ = [
    'Account',
    'RECEIVED',
    'ResponseHead',
    'CallerRequest',
    'CallerServer',
    'ClientResources',
    'ConnectionLimits',
    'ConnectionPool',
    'DescriptorBudget',
    'EarlyEnd',
    'EventSplitter',
    'ExchangeError',
    'ExchangeFailure',
    'Handler',
    'Header',
    'KEEPALIVE_OPTIONS',
    'LARGE_REQUEST_BYTES',
    'MemoryBudget',
    'PeerConnection',
    'ProtocolFactory',
    'ProtocolWrapper',
    'Responder',
    'UnansweredClose',
    'Upload',
    'encode_fields',
    'end_to_end_fields',
    'find',
    'find_all',
    'find_problem',
    'has_failed',
    'keep_factory',
    'may_be_early',
    'unsent_bytes',
]
