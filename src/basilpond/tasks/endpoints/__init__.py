"""Tasks that serve endpoints: choice, attempts, relay, status checks."""

from ._attempts import RequestAttempts
from ._dispatcher import Dispatcher
from ._endpoint_task import EndpointTask
from ._relay import ATTEMPT_ID_HEADER
from ._relay import EndpointClient
from ._relay import FullResponseExchange
from ._relay import ServiceExchange
from ._relay import StreamExchange
from ._relay import UpstreamRequest

__all__ = [
    'ATTEMPT_ID_HEADER',
    'Dispatcher',
    'EndpointClient',
    'EndpointTask',
    'FullResponseExchange',
    'RequestAttempts',
    'ServiceExchange',
    'StreamExchange',
    'UpstreamRequest',
]
