"""Asyncio tasks of the router; each owns its sockets and its state."""

from ._router import Router
from .budgets import read_entries
from .budgets import read_ledger
from .configuration import ManifestInForce
from .configuration import ManifestPublisher
from .membership import GossipTask
from .membership import PeerClient
from .membership import PeerServer
from .membership import PeerUnavailableError
from .shared_log import LogClient

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
