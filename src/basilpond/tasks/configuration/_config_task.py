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

# Documents are large, so a page holds few of them.
READ_LIMIT = 16

# A starting router reads back to the newest snapshot; this bounds the
# documents that it reads.
SNAPSHOT_EVERY_RECORDS = 64


class ConfigTask:
    """Owner of the current manifest, from the log or from a peer.

    Parameters
    ----------
    log : Log
    incarnation : str
        Incarnation id of this router.
    live_routers : callable
        Returns the incarnation ids of the live routers, with or without this
        one.
    retention_ms : int
        Time that the log keeps entries; snapshots are taken at a quarter.

    Attributes
    ----------
    version : int
        Version in force, 0 without one; only rises.
    manifest : Manifest or None
    document : bytes or None
    versions : reactivex.subject.BehaviorSubject
        The version in force and every later one.
    decisions : reactivex.subject.Subject
        `PublishDecided` of every publish that is read.
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

        # Publishes are judged by the log alone: a version from a peer may be
        # ahead of what this reader has folded.
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
        """False before the first read and after a failed one."""
        return self._reader.reachable

    @property
    def synced(self) -> bool:
        """Whether the task has caught up with the stream once."""
        return self._reader.synced

    def apply_peer_manifest(self, version: int, document: bytes) -> bool:
        """Take over an accepted manifest that a peer has sent.

        Returns
        -------
        bool
            False when it is not newer or fails the check.
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
        """Continue at the newest snapshot, the own state or the beginning.

        Version v is in force after the entry at offset v - 1. When the
        entries from offset v on are retained, the fold continues there. When
        they are not, the highest version among the retained snapshots was in
        force at the earliest retained entry, because every version gets a
        snapshot before the log drops its publish.

        Raises
        ------
        LogUnavailableError
            Also when the log holds none of them; another router may append a
            snapshot later.
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
                f'entries before {bounds.earliest_offset} are gone and no '
                'snapshot is left'
            )
        position = max(next_offset, bounds.earliest_offset)
        if newest is not None and self._state.load_snapshot(newest):
            self._adopt_state()
            position = max(newest.version, bounds.earliest_offset)
            logging.info('resumed from manifest version %d', newest.version)
        return position

    def apply_entry(self, entry: LogEntry) -> int:
        """Fold an entry and take over a new version."""
        now_s = asyncio.get_running_loop().time()
        self._schedule.add_entry(entry.time_ms, 1, now_s)
        decided = self._state.apply(entry)
        if decided is not None:
            self._publish(self.decisions, decided)
        else:
            snapshot = _snapshot_in(entry)
            if snapshot is None:
                logging.error('config entry %d is not a record', entry.offset)
            elif snapshot.version == self._state.version:
                self._schedule.add_snapshot(entry.time_ms)
                self._snapshot_pending = False
            else:
                # It was overtaken by a publish. A router that starts after
                # retention must not take it for the version in force.
                self._schedule.request()
                self._snapshot_pending = False
        self._adopt_state()
        return 1

    async def end_page(self) -> None:
        """Append a snapshot when it is due and this router's turn."""
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
                # A second snapshot is harmless, so it is simply due again.
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
            # A subscriber's fault must not stop the reader.
            logging.exception('a subscriber to the configuration failed')


def _snapshot_in(entry: LogEntry) -> ManifestSnapshot | None:
    # A cheap test first: most entries hold no snapshot.
    if '"manifest_snapshot"' not in entry.payload:
        return None
    try:
        record = decode_config(entry.payload)
    except msgspec.MsgspecError:
        return None
    return record if isinstance(record, ManifestSnapshot) else None
