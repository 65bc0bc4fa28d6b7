"""Asyncio tasks; each owns its sockets and its state."""

from ._gossip_task import GossipTask
from ._ledger_report import read_entries
from ._ledger_report import read_ledger
from ._log_client import LogClient
from ._manifest_publisher import ManifestInForce
from ._manifest_publisher import ManifestPublisher
from ._peer_client import PeerClient
from ._peer_client import PeerUnavailableError
from ._peer_server import PeerServer
from ._router import Router

__all__ = [
    'GossipTask',
    'LogClient',
    'ManifestInForce',
    'ManifestPublisher',
    'PeerClient',
    'PeerServer',
    'PeerUnavailableError',
    'Router',
    'read_entries',
    'read_ledger',
]
