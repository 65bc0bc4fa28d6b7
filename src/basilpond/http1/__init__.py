"""HTTP/1.1 server and client connections that forward messages."""

from ._client import ConnectionPool
from ._client import ExchangeError
from ._client import ExchangeFailure
from ._client import PeerConnection
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
from ._socket_bytes import has_failed

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
    'MemoryBudget',
    'PeerConnection',
    'Responder',
    'UnansweredClose',
    'Upload',
    'encode_fields',
    'end_to_end_fields',
    'find',
    'find_all',
    'find_problem',
    'has_failed',
    'may_be_early',
]
