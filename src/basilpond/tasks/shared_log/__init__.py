"""Client and readers of the shared log."""

from ._backoff import Backoff
from ._log_client import LogClient
from ._snapshot_parts import SnapshotParts
from ._snapshot_parts import is_last_part
from ._snapshot_parts import pack_snapshot
from ._snapshot_parts import split_snapshot
from ._snapshot_parts import unpack_snapshot
from ._snapshot_schedule import SnapshotSchedule
from ._stream_reader import StreamReader
from ._stream_reader import read_backwards

__all__ = [
    'Backoff',
    'LogClient',
    'SnapshotParts',
    'SnapshotSchedule',
    'StreamReader',
    'is_last_part',
    'pack_snapshot',
    'read_backwards',
    'split_snapshot',
    'unpack_snapshot',
]
