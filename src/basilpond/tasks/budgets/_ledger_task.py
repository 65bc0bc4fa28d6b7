"""Reader and group-commit writer of the log's ``ledger`` stream."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Collection
import zlib

from absl import logging
import msgspec
from reactivex.subject import Subject

from ...core import HOUR_MS
from ...core import Ledger
from ...core import LedgerRecord
from ...core import LedgerResult
from ...core import LedgerSnapshot
from ...core import Log
from ...core import LogEntry
from ...core import LogPage
from ...core import LogRateLimitedError
from ...core import LogUnavailableError
from ...core import decode_batch
from ...core import encode_record
from ..shared_log import Backoff
from ..shared_log import SnapshotParts
from ..shared_log import SnapshotSchedule
from ..shared_log import StreamReader
from ..shared_log import is_last_part
from ..shared_log import pack_snapshot
from ..shared_log import read_backwards
from ..shared_log import split_snapshot
from ..shared_log import unpack_snapshot
from ._ledger_waiters import Waiter
from ._ledger_waiters import Waiters

STREAM = 'ledger'
MAX_BATCH_RECORDS = 512
MAX_BATCH_BYTES = 256 * 1024
MIN_INTERVAL_MS = 20
READ_LIMIT = 256

# Bytes kept for the fields of a batch other than its records.
_BATCH_FIELDS_BYTES = 512


class _RawBatch(msgspec.Struct):
    """Batch of encoded records."""

    writer: str
    seq: int
    records: list[msgspec.Raw]


class LedgerTask:
    """Owner of this router's ledger, and its only writer to the stream.

    The ledger is the state that results from applying all entries of the
    stream in order, so it is the same on all routers at the same offset.

    Parameters
    ----------
    log : Log
    writer : str
        Incarnation id of this router.
    live_routers : callable
        Returns the incarnation ids of the live routers, with or without this
        one.
    append_budget_per_s : int
        Appends per second that all routers together may make.
    retention_ms : int
        Time for which the log keeps entries; a snapshot is taken after a
        quarter of it.
    snapshot_every_records : int
        Number of records after which a snapshot is taken earlier.
    deduplication_window_ms : int
        Passed to `Ledger`.

    Attributes
    ----------
    ledger : Ledger
        Current state, read only for other tasks. Replaced when the task
        resumes from a snapshot, so don't keep a reference.
    results : reactivex.subject.Subject
        Every `LedgerResult` in log order. Results that a snapshot skips are
        not published.
    """

    def __init__(
        self,
        log: Log,
        writer: str,
        *,
        live_routers: Callable[[], Collection[str]],
        append_budget_per_s: int = 200,
        retention_ms: int = 48 * HOUR_MS,
        snapshot_every_records: int = 50_000,
        deduplication_window_ms: int = 24 * HOUR_MS,
    ) -> None:
        self.log = log
        self.writer = writer
        self.live_routers = live_routers
        self.append_budget_per_s = append_budget_per_s
        self.retention_ms = retention_ms
        self.snapshot_every_records = snapshot_every_records
        self.deduplication_window_ms = deduplication_window_ms
        self.ledger = Ledger(deduplication_window_ms=deduplication_window_ms)
        self.results: Subject[LedgerResult] = Subject()

        # Reader
        self._reader = StreamReader(
            log, STREAM, self, seed=f'{writer} read', limit=READ_LIMIT
        )
        self._schedule = SnapshotSchedule(
            retention_ms=retention_ms, every_records=snapshot_every_records
        )
        self._snapshot_pending = False

        # Writer
        self._append_ok = True
        self._queue: collections.deque[tuple[Waiter, bytes]] = (
            collections.deque()
        )
        self._snapshot_queue: collections.deque[bytes] = collections.deque()
        self._queued = asyncio.Event()
        self._waiters = Waiters()
        self._last_seq = 0
        self._batch_seen: asyncio.Future[None] | None = None
        self._progress = asyncio.Event()
        self._appends: set[asyncio.Task[int]] = set()

    @property
    def log_reachable(self) -> bool:
        """False before the first read and after a failed append or read."""
        return self._reader.reachable and self._append_ok

    @property
    def synced(self) -> bool:
        """Whether the reader has reached the end of the stream once."""
        return self._reader.synced

    def append_interval_s(self) -> float:
        """Return the minimum time between two appends of this router.

        The live routers share `append_budget_per_s` equally.
        """
        live = len({self.writer, *self.live_routers()})
        interval_ms = max(
            MIN_INTERVAL_MS, 1000 * live / self.append_budget_per_s
        )
        return interval_ms / 1000

    def submit(self, record: LedgerRecord) -> asyncio.Future[LedgerResult]:
        """Append a record with the next batch.

        Returns
        -------
        asyncio.Future
            Done with the result when this router's reader has applied the
            record; never times out. An entry on an allotment whose transfer
            is not in the log waits for the transfer. Cancelling the future
            does not stop the append.

        Raises
        ------
        ValueError
            If the record is larger than a batch.
        """
        encoded = encode_record(record)
        if len(encoded) > MAX_BATCH_BYTES - _BATCH_FIELDS_BYTES:
            raise ValueError(
                f'record has {len(encoded)} bytes, more than a batch of '
                f'{MAX_BATCH_BYTES} bytes can hold'
            )
        waiter = Waiter(record, asyncio.get_running_loop().create_future())
        self._waiters.add(waiter)
        self._queue.append((waiter, encoded))
        self._queued.set()
        return waiter.future

    async def flush(self, timeout_s: float) -> bool:
        """Wait until every submitted record is in the log and applied.

        Parameters
        ----------
        timeout_s : float

        Returns
        -------
        bool
            False after the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not self._is_flushed():
                    self._progress.clear()
                    await self._progress.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Read and write until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._reader.run())
                group.create_task(self._write_forever())
        finally:
            for append in self._appends:
                append.cancel()

    # Reader

    async def find_position(self, bounds: LogPage, next_offset: int) -> int:
        """Return the offset from which to read on.

        Loads the newest snapshot if it is newer than the current state.
        Otherwise the reader continues after its last entry, or at the
        beginning.

        Parameters
        ----------
        bounds : LogPage
            Bounds of the retained entries.
        next_offset : int
            Offset after the last applied entry.

        Returns
        -------
        int

        Raises
        ------
        LogUnavailableError
            Also if the log has dropped the next entry and holds no usable
            snapshot; another router may append one later.
        """
        ledger = await self._find_snapshot(bounds, next_offset)
        if ledger is not None:
            return self._resume_from(ledger)
        if bounds.earliest_offset > next_offset:
            raise LogUnavailableError(
                f'log has dropped the entries before {bounds.earliest_offset} '
                'and holds no usable snapshot'
            )
        return next_offset

    async def _find_snapshot(
        self, bounds: LogPage, next_offset: int
    ) -> Ledger | None:
        """Return the newest usable snapshot that is newer than the state.

        Returns None without one.
        """
        parts = SnapshotParts()
        async for entry in read_backwards(
            self.log, STREAM, bounds, next_offset, READ_LIMIT
        ):
            for writer, record in _snapshots_in(entry):
                if record.offset < max(
                    bounds.earliest_offset - 1, next_offset
                ):
                    continue
                packed = parts.add(writer, record)
                if packed is None:
                    continue
                ledger = await self._decode_snapshot(packed)
                if ledger is not None:
                    return ledger
        return None

    async def _decode_snapshot(self, packed: bytes) -> Ledger | None:
        """Return the ledger of a snapshot; None if it is damaged.

        Raises
        ------
        LogUnavailableError
            If the snapshot can be decompressed, but not decoded.
        """
        ledger = Ledger(deduplication_window_ms=self.deduplication_window_ms)
        try:
            async for chunk in unpack_snapshot(packed):
                ledger.load_chunk(chunk)
        except zlib.error as error:
            logging.error('snapshot cannot be decompressed: %s', error)
            return None
        except msgspec.MsgspecError as error:
            raise LogUnavailableError(
                f'snapshot cannot be decoded: {error}'
            ) from error
        return ledger

    def _resume_from(self, ledger: Ledger) -> int:
        before, self.ledger = self.ledger, ledger
        self._schedule.start_from(ledger.time_ms, self._now_s())
        logging.info('resumed from a snapshot at offset %d', ledger.offset)
        seq = ledger.writer_seq(self.writer)
        self._waiters.resolve_skipped(before, ledger, seq)
        self._on_local_batch(seq)
        return ledger.offset + 1

    def apply_entry(self, entry: LogEntry) -> int:
        """Apply an entry, publish its results and resolve their waiters.

        An entry that cannot be decoded is skipped.

        Returns
        -------
        int
            Number of records in the entry.
        """
        try:
            batch = decode_batch(entry.payload)
        except msgspec.MsgspecError as error:
            # Every router skips it, so their ledgers stay equal.
            logging.error(
                'ledger entry %d is not a batch: %s', entry.offset, error
            )
            return 0
        for result in self.ledger.apply(batch, entry.offset, entry.time_ms):
            self._waiters.resolve(result)
            self._publish(result)
        self._schedule.add_entry(
            entry.time_ms, len(batch.records), self._now_s()
        )
        for record in batch.records:
            if isinstance(record, LedgerSnapshot) and is_last_part(record):
                self._schedule.add_snapshot(entry.time_ms)
                if batch.writer == self.writer:
                    self._snapshot_pending = False
        if batch.writer == self.writer:
            self._on_local_batch(batch.seq)
        return len(batch.records)

    async def end_page(self) -> None:
        """Append a snapshot if it is due and this router's turn."""
        if (
            not self._reader.caught_up
            or self._snapshot_pending
            or not self._schedule.should_append(
                self._now_s(), self.writer, self.live_routers()
            )
        ):
            return
        self._snapshot_pending = True
        offset = self._reader.next_offset - 1
        # The reader waits for this method, so no entry changes the state
        # between two chunks.
        packed = await pack_snapshot(self.ledger.snapshot_chunks())
        for record in split_snapshot(offset, packed):
            self._snapshot_queue.append(encode_record(record))
            await asyncio.sleep(0)
        self._queued.set()
        logging.info(
            'appending a snapshot at offset %d in %d parts',
            offset,
            len(self._snapshot_queue),
        )

    def _publish(self, result: LedgerResult) -> None:
        try:
            self.results.on_next(result)
        except Exception:
            # A fault of a subscriber must not stop the reader.
            logging.exception('a subscriber to ledger results failed')

    def _on_local_batch(self, seq: int) -> None:
        """Record that the ledger contains this router's batch `seq`."""
        if (
            seq == self._last_seq
            and self._batch_seen
            and not self._batch_seen.done()
        ):
            self._batch_seen.set_result(None)
        self._progress.set()

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()

    # Writer

    async def _write_forever(self) -> None:
        backoff = Backoff(f'{self.writer} append')
        loop = asyncio.get_running_loop()
        next_append_s = loop.time()
        while True:
            await self._queued.wait()
            # Records that are submitted meanwhile join the batch.
            await asyncio.sleep(max(0.0, next_append_s - loop.time()))
            payload = self._next_batch()
            next_append_s = loop.time() + self.append_interval_s()
            await self._append_until_logged(payload, backoff)

    def _next_batch(self) -> bytes:
        self._last_seq += 1
        self._batch_seen = asyncio.get_running_loop().create_future()
        records: list[msgspec.Raw] = []
        remaining_bytes = MAX_BATCH_BYTES - _BATCH_FIELDS_BYTES
        # Every other batch starts with a part of a pending snapshot, so that
        # neither snapshots nor records delay the other under load.
        if self._snapshot_queue and (
            self._last_seq % 2 == 0 or not self._queue
        ):
            part = self._snapshot_queue.popleft()
            remaining_bytes -= len(part) + 1
            records.append(msgspec.Raw(part))
        while self._queue and len(records) < MAX_BATCH_RECORDS:
            waiter, encoded = self._queue[0]
            # Plus one byte for the comma.
            remaining_bytes -= len(encoded) + 1
            if remaining_bytes < 0 and records:
                break
            self._queue.popleft()
            waiter.batch_seq = self._last_seq
            records.append(msgspec.Raw(encoded))
        if not self._queue and not self._snapshot_queue:
            self._queued.clear()
        return encode_record(_RawBatch(self.writer, self._last_seq, records))

    async def _append_until_logged(
        self, payload: bytes, backoff: Backoff
    ) -> None:
        """Append a batch until it is acknowledged or the reader has seen it.

        An append without a clear response may have taken effect, so the
        reader gets some time to see the batch. Appending it again is harmless,
        because the ledger applies each batch only once.
        """
        seen = self._batch_seen
        while not seen.done():
            append = asyncio.ensure_future(self.log.append(STREAM, payload))
            self._appends.add(append)
            append.add_done_callback(self._end_append)
            await asyncio.wait(
                {append, seen}, return_when=asyncio.FIRST_COMPLETED
            )
            if seen.done():
                break
            try:
                append.result()
            except LogRateLimitedError:
                await asyncio.wait({seen}, timeout=backoff.next_delay_s())
            except LogUnavailableError as error:
                if self._append_ok:
                    logging.warning('log append failed: %s', error.message)
                self._append_ok = False
                await asyncio.wait({seen}, timeout=backoff.next_delay_s())
                await self._wait_while_reader_catches_up(seen)
            else:
                break
        self._append_ok = True
        backoff.reset()

    def _end_append(self, append: asyncio.Task[int]) -> None:
        self._appends.discard(append)
        if not append.cancelled():
            # Marks an error as retrieved if the reader saw the batch first.
            append.exception()

    async def _wait_while_reader_catches_up(
        self, seen: asyncio.Future[None]
    ) -> None:
        while (
            self._reader.reachable
            and not self._reader.caught_up
            and not seen.done()
        ):
            await asyncio.wait({seen}, timeout=0.05)

    def _is_flushed(self) -> bool:
        return not self._queue and (
            self._batch_seen is None or self._batch_seen.done()
        )


def _snapshots_in(entry: LogEntry) -> list[tuple[str, LedgerSnapshot]]:
    # Most entries hold no snapshot, so search the text before decoding it.
    if '"ledger_snapshot"' not in entry.payload:
        return []
    try:
        batch = decode_batch(entry.payload)
    except msgspec.MsgspecError:
        return []
    return [
        (batch.writer, record)
        for record in batch.records
        if isinstance(record, LedgerSnapshot)
    ]
