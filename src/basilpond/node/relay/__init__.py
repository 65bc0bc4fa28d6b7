"""Ways to the endpoints through other routers."""

from ._endpoint_connections import EndpointConnections
from ._relay_client import RelayClient
from ._relay_server import RelayServer
from ._relayed_connection import RelayedConnection

__all__ = [
    'EndpointConnections',
    'RelayClient',
    'RelayServer',
    'RelayedConnection',
]
