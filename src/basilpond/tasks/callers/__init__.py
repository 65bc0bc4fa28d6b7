"""Tasks that serve callers: gateway, chat completions, service calls."""

from ._chat_run import ChatRunner
from ._chat_service import ChatService
from ._gateway import Gateway
from ._http_server import HTTP_SERVER_ERROR
from ._http_server import HttpServer
from ._peer_responses import PeerResponses
from ._service_calls import ServiceCalls

__all__ = [
    'ChatRunner',
    'ChatService',
    'Gateway',
    'HTTP_SERVER_ERROR',
    'HttpServer',
    'PeerResponses',
    'ServiceCalls',
]
