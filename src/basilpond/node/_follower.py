"""Reading of a topic of the log, starting at its newest records."""

from __future__ import annotations

import asyncio
import traceback
from typing import Protocol

from ._decision_log import DecisionLog
from ._interfaces import Log
from ._interfaces import LogEraChangedError
from ._interfaces import LogReaderBehindError
from ._interfaces import LogTrimmedError
from ._interfaces import LogUnavailableError
from ._interfaces import ReadProgress
from ._interfaces import Record
from ._metrics import NodeMetrics

# Longest wait of one read. An unresponsive connection is detected 1 s after
# the end of the wait, within the limit of 2 s for applying a configuration.
WAIT_S = 0.8
_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.25
# Shortest time between two log lines on failed reads, so that an outage does
# not flood the decision log.
_FAILURE_LOG_INTERVAL_S = 1.0


class TopicState(Protocol):
    """State that the records of a topic are applied to.

    Attributes
    ----------
    only_newest : bool
        Whether only the newest record of a key matters. If several records
        are new, as after an outage, only the newest one is read.
    """

    only_newest: bool

    def begin_era(self, era: int) -> None:
        """Note that the next newest records are of another era of the log.

        Called before the first records, too. The log may lack records that
        were applied before, and their offsets are given out again.
        """

    def apply_newest(
        self, records: list[Record], end: int, *, snapshot: bool
    ) -> None:
        """Apply the newest record of each key; other keys were removed.

        Unless the records are a snapshot, they are consistent only once the
        records before `end` have been applied.
        """

    def apply(self, records: list[Record], end: int) -> None:
        """Apply records in order; `end` is the offset after them."""

    def update_reachability(self, *, reachable: bool) -> None:
        """Record whether the last call succeeded, after its records."""


class TopicFollower:
    """Task that reads one topic.

    Parameters
    ----------
    log : Log
    topic : str
    state : TopicState
    decisions : DecisionLog
    interval_s : float
        Pause between two reads, so that records are read in batches.
    metrics : NodeMetrics
    """

    def __init__(
        self,
        log: Log,
        topic: str,
        state: TopicState,
        decisions: DecisionLog,
        interval_s: float,
        metrics: NodeMetrics,
    ) -> None:
        self._log = log
        self._topic = topic
        self._state = state
        self._decisions = decisions
        self._interval_s = interval_s
        self._metrics = metrics
        self._wake_requested = asyncio.Event()
        self._offset: int | None = None
        # Era of the records applied so far, to which the offset belongs.
        self._era: int | None = None
        self._reachable: bool | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._progress = ReadProgress()
        # Offset after the last record of the era, as far as known.
        self._log_end: int | None = None
        self._started_s = 0.0
        # Whether the current read replaces a cancelled one.
        self._restarted = False
        # Reads that failed since the last log line on them.
        self._unlogged_failures = 0
        self._last_failure_log_s = float('-inf')
        self.synced = asyncio.Event()
        # Event loop time as of which all records have been read.
        self.current_as_of_s = float('-inf')

    @property
    def has_unread(self) -> bool:
        """Whether the log is known to hold records that are not applied."""
        end = self._progress.log_end
        if end is None:
            end = self._log_end
        return end is not None and (self._offset is None or self._offset < end)

    def restart(self, sent_before_s: float) -> None:
        """Restart a read that was sent while the log was unavailable.

        A read whose response has started continues: a restart would transfer
        the same bytes again, over a link that they may saturate. The read
        that replaces a cancelled one is not restarted, so that restarts
        cannot starve reads.
        """
        if (
            self._read_task is None
            or self._read_task.done()
            or self._restarted
        ):
            return
        if (
            self._started_s <= sent_before_s
            and not self._progress.received_bytes
        ):
            self._restarted = True
            self._read_task.cancel()

    def resync(self) -> None:
        """Replace a read that was sent in an earlier era of the log.

        A read that has not applied anything yet, or that got the response
        that named the new era, checks the era itself.
        """
        self.wake_up()
        task = self._read_task
        if (
            task is not None
            and not task.done()
            and self._era not in (None, self._log.era)
            and task is not asyncio.current_task()
        ):
            task.cancel()

    def wake_up(self) -> None:
        """End the pause between two reads."""
        self._wake_requested.set()

    async def read_ahead(self) -> list[Record]:
        """Return the records that follow those applied, without applying them.

        With them, the state is that of the log at some time after the call.

        Raises
        ------
        LogUnavailableError, LogTrimmedError, LogEraChangedError
        """
        offset, era = self._offset, self._era
        if offset is None or era != self._log.era:
            raise LogUnavailableError(f'{self._topic}: not read yet')
        records: list[Record] = []
        while True:
            page = await self._log.read(
                self._topic, offset, 0.0, ReadProgress()
            )
            if page.era != era or self._era != era:
                raise LogEraChangedError(f'{self._topic}: era {page.era}')
            records += page.records
            if not page.records or page.records[-1].offset + 1 >= page.end:
                return records
            offset = page.records[-1].offset + 1

    async def run(self) -> None:
        """Read until cancelled."""
        backoff_s = _FIRST_BACKOFF_S
        this_task = asyncio.current_task()
        assert this_task is not None
        loop = asyncio.get_running_loop()
        while True:
            if self._progress.log_end is not None:
                self._log_end = self._progress.log_end
            self._progress = ReadProgress()
            self._started_s = loop.time()
            self._read_task = asyncio.create_task(self._read())
            try:
                await self._read_task
            except asyncio.CancelledError:
                self._read_task.cancel()
                if this_task.cancelling():
                    raise
                self._log_failure('restarted')
                backoff_s = _FIRST_BACKOFF_S
                continue
            except LogUnavailableError as error:
                self._restarted = False
                self._update_reachability(False, str(error))
                self._log_failure(str(error))
                await asyncio.sleep(backoff_s)
                backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)
                continue
            except LogEraChangedError as error:
                # Records of two eras must not be combined.
                self._log_failure(str(error))
                await asyncio.sleep(backoff_s)
                backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)
                continue
            except (LogReaderBehindError, LogTrimmedError) as error:
                self._decisions.event(
                    'topic_resync', topic=self._topic, reason=str(error)
                )
                self._offset = None
                continue
            except Exception as error:
                # Records of another writer must end neither this task nor,
                # with it, the router.
                self._decisions.event(
                    'read_defect',
                    topic=self._topic,
                    offset=self._offset,
                    reason=repr(error),
                    trace=traceback.format_exc(limit=-4),
                )
                await asyncio.sleep(_MAX_BACKOFF_S)
                continue
            self._restarted = False
            self._update_reachability(True, '')
            self._metrics.count_read(
                self._topic, 'ok', self._progress.received_bytes
            )
            backoff_s = _FIRST_BACKOFF_S
            await self._pause()

    async def _read(self) -> None:
        if self._offset is None or self._era != self._log.era:
            await self._read_newest()
            return
        era = self._era
        page = await self._log.read(
            self._topic,
            self._offset,
            WAIT_S,
            self._progress,
            max_records=1 if self._state.only_newest else None,
        )
        if page.era != era:
            raise LogEraChangedError(f'{self._topic}: era {page.era}')
        if page.records:
            # A record that cannot be applied is not read again.
            self._offset = page.records[-1].offset + 1
            self._state.apply(page.records, self._offset)
        if self._offset >= page.end:
            self.current_as_of_s = self._started_s

    async def _read_newest(self) -> None:
        records: list[Record] = []
        after: str | None = None
        first_end: int | None = None
        first_era: int | None = None
        while True:
            page = await self._log.read_newest(
                self._topic, after, self._progress
            )
            if first_end is None:
                first_end = page.end
                first_era = page.era
            if page.era != first_era or page.era != self._log.era:
                raise LogEraChangedError(f'{self._topic}: era {page.era}')
            records.extend(page.records)
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        if self._era != page.era:
            if self._era is not None:
                self._decisions.event(
                    'store_restored',
                    topic=self._topic,
                    era=page.era,
                    era_before=self._era,
                    end=page.end,
                    offset_before=self._offset,
                    keys=len(records),
                )
            self._state.begin_era(page.era)
            self._era = page.era
            self._log_end = None
        self._state.apply_newest(
            records, page.end, snapshot=page.end == first_end
        )
        self._offset = first_end
        self._progress.log_end = page.end
        if page.end == first_end:
            self.current_as_of_s = self._started_s
        self.synced.set()

    def _log_failure(self, reason: str) -> None:
        received_bytes = self._progress.received_bytes
        self._metrics.count_read(self._topic, 'failed', received_bytes)
        self._unlogged_failures += 1
        now_s = asyncio.get_running_loop().time()
        if now_s - self._last_failure_log_s < _FAILURE_LOG_INTERVAL_S:
            return
        self._decisions.event(
            'read_failed',
            topic=self._topic,
            offset=self._offset,
            reason=reason,
            received_bytes=received_bytes,
            took_s=round(now_s - self._started_s, 3),
            failures=self._unlogged_failures,
        )
        self._unlogged_failures = 0
        self._last_failure_log_s = now_s

    def _update_reachability(self, reachable: bool, reason: str) -> None:
        self._state.update_reachability(reachable=reachable)
        if reachable == self._reachable:
            return
        self._decisions.event(
            'store_regained' if reachable else 'store_lost',
            topic=self._topic,
            offset=self._offset,
            reason=reason or None,
        )
        self._reachable = reachable

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(self._interval_s):
                await self._wake_requested.wait()
        except TimeoutError:
            pass
        self._wake_requested.clear()
