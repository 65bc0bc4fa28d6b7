"""Reader and group-commit writer of the ``ledger`` stream."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Collection

from absl import logging
import msgspec
from reactivex.subject import Subject

from ..core._codes import LogRateLimitedError
from ..core._codes import LogUnavailableError
from ..core._interfaces import Log
from ..core._interfaces import LogEntry
from ..core._interfaces import LogPage
from ..core._ledger import HOUR_MS
from ..core._ledger import Ledger
from ..core._ledger_results import Result
from ..core._records import Batch
from ..core._records import LedgerRecord
from ..core._records import LedgerSnapshot
from ..core._records import decode_batch
from ..core._records import encode
from ._backoff import Backoff
from ._ledger_waiters import Waiter
from ._ledger_waiters import Waiters
from ._snapshot_parts import SnapshotParts
from ._snapshot_parts import is_last_part
from ._snapshot_parts import split_snapshot

STREAM = 'ledger'
MAX_BATCH_RECORDS = 512
MAX_BATCH_BYTES = 256 * 1024
MIN_INTERVAL_MS = 20
READ_LIMIT = 256
READ_WAIT_MS = 1000

# Folding this many records takes a few milliseconds; streams are relayed in
# between.
RECORDS_PER_TURN = 256

# Longer than a snapshot takes to be appended and read, so that the routers in
# the order of their ids rarely append two; the rank is bounded because a late
# snapshot is worse than two.
SNAPSHOT_RANK_WAIT_S = 2.0
MAX_SNAPSHOT_RANK = 10

# Room for the batch's own fields around its records.
_BATCH_FIELDS_BYTES = 512


class _RawBatch(msgspec.Struct):
    """Batch of records that are encoded already."""

    writer: str
    seq: int
    records: list[msgspec.Raw]


class LedgerTask:
    """Owner of the folded ledger and the only writer of its stream.

    Parameters
    ----------
    log : Log
    writer : str
        Incarnation id of this router.
    live_routers : callable
        Returns the incarnation ids of the live routers, with or without this
        one.
    append_budget_per_s : int
        Appends that all routers together may make.
    retention_ms : int
        Time that the log keeps entries; snapshots are taken at a quarter.
    snapshot_every_records : int
        Records after which a snapshot is taken earlier.
    deduplication_window_ms : int

    Attributes
    ----------
    ledger : Ledger
        Folded state, read only for others. Replaced when the task resumes
        from a snapshot, so don't keep a reference.
    results : reactivex.subject.Subject
        Every `Result` of the fold in log order. Results that a snapshot skips
        are not published.
    synced : bool
        Whether the task has caught up with the stream once.
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
        self.results: Subject[Result] = Subject()
        self.synced = False

        # Reader
        self._read_ok = False
        self._positioned = False
        self._caught_up = False
        self._next_offset = 0
        self._log_time_ms = 0
        self._log_time_read_s = 0.0
        self._records_since_snapshot = 0
        self._snapshot_time_ms: int | None = None
        self._snapshot_due_s: float | None = None
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
        self._seen: asyncio.Future[None] | None = None
        self._progress = asyncio.Event()
        self._appends: set[asyncio.Task[int]] = set()

    @property
    def log_reachable(self) -> bool:
        """False before the first read and after a failed append or read."""
        return self._read_ok and self._append_ok

    def append_interval_s(self) -> float:
        """Return the least time between two appends of this router."""
        live = len({self.writer, *self.live_routers()})
        interval_ms = max(
            MIN_INTERVAL_MS, 1000 * live / self.append_budget_per_s
        )
        return interval_ms / 1000

    def submit(self, record: LedgerRecord) -> asyncio.Future[Result]:
        """Append a record with the next batch.

        Returns
        -------
        asyncio.Future
            Done when the own reader has folded the record; never times out.
            An entry on an allotment whose transfer is not in the log waits
            for the transfer. Cancelling the future does not stop the append.

        Raises
        ------
        ValueError
            If the record is larger than a batch.
        """
        encoded = encode(record)
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
        """Wait until every submitted record is in the log and folded.

        Returns
        -------
        bool
            False when the time ran out.
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
                group.create_task(self._read_forever())
                group.create_task(self._write_forever())
        finally:
            for append in self._appends:
                append.cancel()

    # Reader

    async def _read_forever(self) -> None:
        backoff = Backoff(f'{self.writer} read')
        while True:
            try:
                if not self._positioned:
                    await self._find_position()
                page = await self.log.read(
                    STREAM,
                    self._next_offset,
                    limit=READ_LIMIT,
                    wait_ms=READ_WAIT_MS if self._caught_up else 0,
                )
            except LogUnavailableError as error:
                if self._read_ok:
                    logging.warning('log read failed: %s', error.message)
                self._read_ok = False
                await asyncio.sleep(backoff.next_s())
                continue
            backoff.reset()
            self._read_ok = True
            if page.earliest_offset > self._next_offset:
                logging.warning(
                    'log dropped entries %d to %d before they were read',
                    self._next_offset,
                    page.earliest_offset - 1,
                )
                self._positioned = False
                continue
            await self._fold_page(page)
            self._caught_up = self._next_offset >= page.next_offset
            self.synced = self.synced or self._caught_up
            self._take_snapshot_if_due()

    async def _find_position(self) -> None:
        """Continue at the own state, the newest snapshot or the beginning.

        Raises
        ------
        LogUnavailableError
            Also when the log holds neither; another router may append a
            snapshot later.
        """
        page = await self.log.read(STREAM, 0, limit=1, wait_ms=0)
        state = await self._find_snapshot(page)
        if state is not None:
            self._load_snapshot(state)
        elif page.earliest_offset > self._next_offset:
            raise LogUnavailableError(
                f'entries before {page.earliest_offset} are gone and no '
                'snapshot is left'
            )
        self._positioned = True
        self._caught_up = False

    async def _find_snapshot(self, bounds: LogPage) -> bytes | None:
        """Return the newest usable snapshot that is newer than the state."""
        parts = SnapshotParts()
        end = bounds.next_offset
        oldest = max(bounds.earliest_offset, self._next_offset)
        while end > oldest:
            start = max(oldest, end - READ_LIMIT)
            page = await self.log.read(
                STREAM, start, limit=end - start, wait_ms=0
            )
            for entry in reversed(page.entries):
                for writer, record in _snapshots_in(entry):
                    usable = record.offset >= max(
                        page.earliest_offset - 1, self._next_offset
                    )
                    state = parts.add(writer, record) if usable else None
                    if state is not None:
                        return state
            # A log may return fewer entries than asked for.
            got = len(page.entries)
            end = start if got in (0, end - start) else end - got
        return None

    def _load_snapshot(self, state: bytes) -> None:
        try:
            ledger = Ledger.from_snapshot(
                state, deduplication_window_ms=self.deduplication_window_ms
            )
        except msgspec.MsgspecError as error:
            raise LogUnavailableError(
                f'snapshot cannot be decoded: {error}'
            ) from error
        before, self.ledger = self.ledger, ledger
        self._next_offset = ledger.offset + 1
        self._set_log_time(ledger.time_ms)
        self._records_since_snapshot = 0
        self._snapshot_time_ms = ledger.time_ms
        logging.info('resumed from a snapshot at offset %d', ledger.offset)
        seq = ledger.writer_seq(self.writer)
        self._waiters.settle_skipped(before, ledger, seq)
        self._notice_own_batch(seq)

    async def _fold_page(self, page: LogPage) -> None:
        since_turn = 0
        for entry in page.entries:
            if entry.offset < self._next_offset:
                continue
            self._next_offset = entry.offset + 1
            self._set_log_time(entry.time_ms)
            try:
                batch = decode_batch(entry.payload)
            except msgspec.MsgspecError as error:
                # Every router skips it, so the states stay equal.
                logging.error(
                    'ledger entry %d is not a batch: %s', entry.offset, error
                )
                continue
            self._fold_batch(batch, entry)
            since_turn += len(batch.records)
            if since_turn >= RECORDS_PER_TURN:
                since_turn = 0
                await asyncio.sleep(0)

    def _fold_batch(self, batch: Batch, entry: LogEntry) -> None:
        for result in self.ledger.apply(batch, entry.offset, entry.time_ms):
            self._waiters.resolve(result)
            self._publish(result)
        self._records_since_snapshot += len(batch.records)
        if self._snapshot_time_ms is None:
            self._snapshot_time_ms = entry.time_ms
        for record in batch.records:
            if isinstance(record, LedgerSnapshot) and is_last_part(record):
                self._records_since_snapshot = 0
                self._snapshot_time_ms = entry.time_ms
                if batch.writer == self.writer:
                    self._snapshot_pending = False
        if batch.writer == self.writer:
            self._notice_own_batch(batch.seq)

    def _publish(self, result: Result) -> None:
        try:
            self.results.on_next(result)
        except Exception:
            # A subscriber's fault must not stop the fold.
            logging.exception('a subscriber to ledger results failed')

    def _notice_own_batch(self, seq: int) -> None:
        if seq == self._last_seq and self._seen and not self._seen.done():
            self._seen.set_result(None)
        self._progress.set()

    def _set_log_time(self, time_ms: int) -> None:
        self._log_time_ms = max(self._log_time_ms, time_ms)
        self._log_time_read_s = asyncio.get_running_loop().time()

    # Snapshots

    def _take_snapshot_if_due(self) -> None:
        if not self._caught_up or not self._is_snapshot_due():
            self._snapshot_due_s = None
            return
        now_s = asyncio.get_running_loop().time()
        if self._snapshot_due_s is None:
            self._snapshot_due_s = now_s
        # Normally the first router has appended one before the next would.
        rank = sum(1 for other in self.live_routers() if other < self.writer)
        wait_s = SNAPSHOT_RANK_WAIT_S * min(rank, MAX_SNAPSHOT_RANK)
        if now_s < self._snapshot_due_s + wait_s:
            return
        self._snapshot_pending = True
        offset = self._next_offset - 1
        state = self.ledger.to_snapshot()
        self._snapshot_queue.extend(
            encode(record) for record in split_snapshot(offset, state)
        )
        self._queued.set()
        logging.info(
            'appending a snapshot at offset %d in %d parts',
            offset,
            len(self._snapshot_queue),
        )

    def _is_snapshot_due(self) -> bool:
        if self._snapshot_pending or self._snapshot_time_ms is None:
            return False
        now_s = asyncio.get_running_loop().time()
        age_ms = (
            self._log_time_ms
            + (now_s - self._log_time_read_s) * 1000
            - self._snapshot_time_ms
        )
        return (
            age_ms >= self.retention_ms / 4
            or self._records_since_snapshot >= self.snapshot_every_records
        )

    # Writer

    async def _write_forever(self) -> None:
        backoff = Backoff(f'{self.writer} append')
        loop = asyncio.get_running_loop()
        next_append_s = loop.time()
        while True:
            await self._queued.wait()
            # Collect what is submitted meanwhile.
            await asyncio.sleep(max(0.0, next_append_s - loop.time()))
            payload = self._next_batch()
            next_append_s = loop.time() + self.append_interval_s()
            await self._append_until_logged(payload, backoff)

    def _next_batch(self) -> bytes:
        self._last_seq += 1
        self._seen = asyncio.get_running_loop().create_future()
        records: list[msgspec.Raw] = []
        room_bytes = MAX_BATCH_BYTES - _BATCH_FIELDS_BYTES
        # Every other batch starts with a part of a waiting snapshot, so that
        # neither holds up the other under load.
        if self._snapshot_queue and (
            self._last_seq % 2 == 0 or not self._queue
        ):
            part = self._snapshot_queue.popleft()
            room_bytes -= len(part) + 1
            records.append(msgspec.Raw(part))
        while self._queue and len(records) < MAX_BATCH_RECORDS:
            waiter, encoded = self._queue[0]
            # One byte more for the comma.
            room_bytes -= len(encoded) + 1
            if room_bytes < 0 and records:
                break
            self._queue.popleft()
            waiter.batch_seq = self._last_seq
            records.append(msgspec.Raw(encoded))
        if not self._queue and not self._snapshot_queue:
            self._queued.clear()
        return encode(_RawBatch(self.writer, self._last_seq, records))

    async def _append_until_logged(
        self, payload: bytes, backoff: Backoff
    ) -> None:
        """Append a batch until it is acknowledged or the reader has seen it.

        An append that got no clear response may have taken effect, so the
        reader gets some time to see it. Appending it again is harmless,
        because the fold applies the batch once.
        """
        seen = self._seen
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
                await asyncio.wait({seen}, timeout=backoff.next_s())
            except LogUnavailableError as error:
                if self._append_ok:
                    logging.warning('log append failed: %s', error.message)
                self._append_ok = False
                await asyncio.wait({seen}, timeout=backoff.next_s())
                await self._wait_while_reader_catches_up(seen)
            else:
                break
        self._append_ok = True
        backoff.reset()

    def _end_append(self, append: asyncio.Task[int]) -> None:
        self._appends.discard(append)
        if not append.cancelled():
            # Marks an error as retrieved when the reader saw the batch first.
            append.exception()

    async def _wait_while_reader_catches_up(
        self, seen: asyncio.Future[None]
    ) -> None:
        while self._read_ok and not self._caught_up and not seen.done():
            await asyncio.wait({seen}, timeout=0.05)

    def _is_flushed(self) -> bool:
        return not self._queue and (self._seen is None or self._seen.done())


def _snapshots_in(entry: LogEntry) -> list[tuple[str, LedgerSnapshot]]:
    # A cheap test first: most entries hold no snapshot.
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
