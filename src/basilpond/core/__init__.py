"""Decisions of the router, without I/O, sockets, files, timers or clocks."""

from ._codes import BasilpondError
from ._codes import LogRateLimitedError
from ._codes import LogUnavailableError
from ._codes import Outcome
from ._codes import RefusalError
from ._codes import ResultCode
from ._interfaces import Log
from ._interfaces import LogEntry
from ._interfaces import LogPage
from ._manifest import Manifest
from ._manifest import budget_tokens
from ._manifest import check_manifest
from ._manifest import decode_manifest
from ._manifest import diff_manifests
from ._manifest import manifest_schema
from ._manifest_index import ManifestIndex
from ._manifest_index import key_sha256
from ._validation import InvalidFieldError
from ._validation import convert_fields

__all__ = [
    'BasilpondError',
    'InvalidFieldError',
    'Log',
    'LogEntry',
    'LogPage',
    'LogRateLimitedError',
    'LogUnavailableError',
    'Manifest',
    'ManifestIndex',
    'Outcome',
    'RefusalError',
    'ResultCode',
    'budget_tokens',
    'check_manifest',
    'convert_fields',
    'decode_manifest',
    'diff_manifests',
    'key_sha256',
    'manifest_schema',
]
