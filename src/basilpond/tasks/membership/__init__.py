"""Gossip between routers and the connections between them."""

from ._gossip_task import GossipTask
from ._peer_client import PeerClient
from ._peer_client import PeerUnavailableError
from ._peer_server import PeerServer

__all__ = [
    'GossipTask',
    'PeerClient',
    'PeerServer',
    'PeerUnavailableError',
]
