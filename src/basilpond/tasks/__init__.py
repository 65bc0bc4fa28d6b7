"""Asyncio tasks; each owns its sockets and its state."""

from ._ledger_report import read_entries
from ._ledger_report import read_ledger
from ._log_client import LogClient
from ._manifest_publisher import ManifestInForce
from ._manifest_publisher import ManifestPublisher

__all__ = [
    'LogClient',
    'ManifestInForce',
    'ManifestPublisher',
    'read_entries',
    'read_ledger',
]
