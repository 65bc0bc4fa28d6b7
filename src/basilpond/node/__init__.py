"""Router for requests of known cost, coordinated through a log."""

from ._decision_log import DecisionLog
from ._interfaces import ColdTimeError
from ._interfaces import EndpointSignals
from ._interfaces import Log
from ._interfaces import LogAppendError
from ._interfaces import LogEraChangedError
from ._interfaces import LogPage
from ._interfaces import LogReaderBehindError
from ._interfaces import LogTimeoutError
from ._interfaces import LogTrimmedError
from ._interfaces import LogUnavailableError
from ._interfaces import NewestPage
from ._interfaces import NodeSettings
from ._interfaces import PlatformCodec
from ._interfaces import ReadProgress
from ._interfaces import Record
from ._interfaces import RequestMetadataError
from ._interfaces import ResponseResult
from ._node import Node
from ._settings_watch import settings_digest

__all__ = [
    'ColdTimeError',
    'DecisionLog',
    'EndpointSignals',
    'Log',
    'LogAppendError',
    'LogEraChangedError',
    'LogPage',
    'LogReaderBehindError',
    'LogTimeoutError',
    'LogTrimmedError',
    'LogUnavailableError',
    'NewestPage',
    'Node',
    'NodeSettings',
    'PlatformCodec',
    'ReadProgress',
    'Record',
    'RequestMetadataError',
    'ResponseResult',
    'settings_digest',
]
