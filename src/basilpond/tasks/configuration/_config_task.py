"""Reader of the ``config`` stream and owner of the current manifest."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection

from absl import logging
import msgspec
from reactivex.subject import BehaviorSubject
from reactivex.subject import Subject

from ...core import HOUR_MS
from ...core import BasilpondError
from ...core import ConfigState
from ...core import Log
from ...core import LogEntry
from ...core import LogPage
from ...core import LogRateLimitedError
from ...core import LogUnavailableError
from ...core import Manifest
from ...core import ManifestSnapshot
from ...core import PublishDecided
from ...core import decode_config
from ...core import decode_manifest
from ...core import encode_record
from ..shared_log import SnapshotSchedule
from ..shared_log import StreamReader
from ..shared_log import read_backwards

STREAM = 'config'

# Manifests are large, so a page holds few of them.
READ_LIMIT = 16

# A starting router reads backwards to the newest snapshot; this limits the
# number of manifests that it reads.
SNAPSHOT_EVERY_RECORDS = 64


class ConfigTask:
    """Holds the manifest in force, received from the log or from a peer.

    Parameters
    ----------
    log : Log
    incarnation : str
        Incarnation id of this router.
    live_routers : callable
        Returns the incarnation ids of the live routers, with or without this
        one.
    retention_ms : int
        Time for which the log keeps entries. A snapshot is appended when the
        newest one is a quarter of this time old.

    Attributes
    ----------
    version : int
        Version in force, 0 before the first one; it never decreases.
    manifest : Manifest or None
        Decoded manifest in force.
    document : bytes or None
        JSON text of the manifest in force.
    versions : reactivex.subject.BehaviorSubject
        The current version in force, and then each later one.
    decisions : reactivex.subject.Subject
        A `PublishDecided` for each publish that is read from the log.
    """

    def __init__(
        self,
        log: Log,
        incarnation: str,
        *,
        live_routers: Callable[[], Collection[str]],
        retention_ms: int = 48 * HOUR_MS,
    ) -> None:
        self.log = log
        self.incarnation = incarnation
        self.live_routers = live_routers
        self.retention_ms = retention_ms
        self.version = 0
        self.manifest: Manifest | None = None
        self.document: bytes | None = None
        self.versions: BehaviorSubject[int] = BehaviorSubject(0)
        self.decisions: Subject[PublishDecided] = Subject()

        # Publishes are accepted or rejected by the state of the log alone: a
        # version from a peer may be ahead of what this reader has applied.
        self._state = ConfigState()
        self._reader = StreamReader(
            log, STREAM, self, seed=f'{incarnation} config', limit=READ_LIMIT
        )
        self._schedule = SnapshotSchedule(
            retention_ms=retention_ms, every_records=SNAPSHOT_EVERY_RECORDS
        )
        self._snapshot_pending = False
        self._snapshot_requested = asyncio.Event()

    @property
    def log_reachable(self) -> bool:
        """Whether the last read succeeded; False before the first read."""
        return self._reader.reachable

    @property
    def synced(self) -> bool:
        """Whether the task has caught up with the stream once."""
        return self._reader.synced

    def apply_peer_manifest(self, version: int, document: bytes) -> bool:
        """Apply a manifest that a peer has sent.

        Parameters
        ----------
        version : int
        document : bytes
            JSON text of the manifest, accepted by the log as this version.

        Returns
        -------
        bool
            Whether it is now in force; False if it is not newer than the
            current version or is invalid.
        """
        if version <= self.version:
            return False
        try:
            manifest = decode_manifest(document)
        except BasilpondError as error:
            logging.error(
                'manifest version %d from a peer is invalid: %s',
                version,
                error,
            )
            return False
        self._set_manifest(version, manifest, document)
        return True

    async def run(self) -> None:
        """Read the stream and append snapshots until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._reader.run())
            group.create_task(self._append_snapshots())

    async def find_position(self, bounds: LogPage, next_offset: int) -> int:
        """Return the offset to read from, after loading the newest snapshot.

        Without a snapshot, reading continues from the present state, or from
        the beginning of the stream.

        Version v is in force after the entry at offset v - 1. If the log
        still has the entries from offset v on, reading continues there. If
        not, the highest version among the retained snapshots was in force at
        the earliest retained entry, because every version gets a snapshot
        before the log drops its publish.

        Raises
        ------
        LogUnavailableError
            The log did not respond, or it has dropped entries that were not
            read and holds no usable snapshot; another router may append one
            later.
        """
        newest: ManifestSnapshot | None = None
        async for entry in read_backwards(
            self.log, STREAM, bounds, next_offset, READ_LIMIT
        ):
            snapshot = _snapshot_in(entry)
            if snapshot is None:
                continue
            if newest is None or snapshot.version > newest.version:
                newest = snapshot
            if snapshot.version >= bounds.earliest_offset:
                break
        if newest is None and bounds.earliest_offset > next_offset:
            raise LogUnavailableError(
                f'log has dropped the entries before {bounds.earliest_offset} '
                'and holds no usable snapshot'
            )
        position = max(next_offset, bounds.earliest_offset)
        if newest is not None and self._state.load_snapshot(newest):
            self._adopt_state()
            position = max(newest.version, bounds.earliest_offset)
            logging.info('resumed from manifest version %d', newest.version)
        return position

    def apply_entry(self, entry: LogEntry) -> int:
        """Apply an entry; put a newly accepted version in force."""
        now_s = asyncio.get_running_loop().time()
        self._schedule.add_entry(entry.time_ms, 1, now_s)
        decided = self._state.apply(entry)
        if decided is not None:
            self._publish(self.decisions, decided)
        else:
            snapshot = _snapshot_in(entry)
            if snapshot is None:
                logging.error(
                    'config entry %d cannot be decoded', entry.offset
                )
            elif snapshot.version == self._state.version:
                self._schedule.add_snapshot(entry.time_ms)
                self._snapshot_pending = False
            else:
                # A publish was appended before this snapshot, which makes it
                # outdated. A router that starts after the publish has been
                # dropped must not load it as the version in force.
                self._schedule.request()
                self._snapshot_pending = False
        self._adopt_state()
        return 1

    async def end_page(self) -> None:
        """Request a snapshot if one is due and it is this router's turn."""
        if (
            self._reader.caught_up
            and not self._snapshot_pending
            and self._state.version > 0
            and self._schedule.should_append(
                asyncio.get_running_loop().time(),
                self.incarnation,
                self.live_routers(),
            )
        ):
            self._snapshot_pending = True
            self._snapshot_requested.set()

    async def _append_snapshots(self) -> None:
        while True:
            await self._snapshot_requested.wait()
            self._snapshot_requested.clear()
            payload = encode_record(self._state.to_snapshot())
            try:
                await self.log.append(STREAM, payload)
            except (LogUnavailableError, LogRateLimitedError) as error:
                logging.warning(
                    'append of a manifest snapshot failed: %s', error.message
                )
                # The snapshot becomes due again. It may have been written
                # nevertheless, but a second one is harmless.
                self._snapshot_pending = False

    def _adopt_state(self) -> None:
        if self._state.version > self.version:
            self._set_manifest(
                self._state.version, self._state.manifest, self._state.document
            )

    def _set_manifest(
        self, version: int, manifest: Manifest, document: bytes
    ) -> None:
        self.version = version
        self.manifest = manifest
        self.document = document
        logging.info('manifest version %d is in force', version)
        self._publish(self.versions, version)

    def _publish(self, subject: Subject, value: object) -> None:
        try:
            subject.on_next(value)
        except Exception:
            # An error in a subscriber must not stop the reader.
            logging.exception('a subscriber to configuration updates failed')


def _snapshot_in(entry: LogEntry) -> ManifestSnapshot | None:
    # Avoids decoding most entries, because few of them are snapshots.
    if '"manifest_snapshot"' not in entry.payload:
        return None
    try:
        record = decode_config(entry.payload)
    except msgspec.MsgspecError:
        return None
    return record if isinstance(record, ManifestSnapshot) else None
