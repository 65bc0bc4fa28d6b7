"""Idempotent appends to one topic of the log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._decision_log import DecisionLog
from ._interfaces import Log
from ._interfaces import LogAppendError
from ._interfaces import LogTimeoutError
from ._interfaces import LogUnavailableError

_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.25
# Weight of the newest append in the moving average of append times.
_USUAL_APPEND_WEIGHT = 0.3


class LogWriter:
    """Producer of one topic, with one outstanding append.

    An append without a response may have been executed, or may be executed
    later. It is retried with its sequence number until its outcome is known,
    so that it is executed exactly once and before any later append.

    A log that was restored from a copy does not know the sequence numbers of
    its last seconds. The producer then starts a new epoch, in which no append
    of an earlier one is executed any more, and collects its records anew.

    Parameters
    ----------
    log : Log
    topic, producer : str
    decisions : DecisionLog
    """

    def __init__(
        self, log: Log, topic: str, producer: str, decisions: DecisionLog
    ) -> None:
        self._log = log
        self._topic = topic
        self._producer = producer
        self._decisions = decisions
        self._epoch = 1
        # Era of the log in which the epoch began.
        self._era: int | None = None
        self._sequence = 0
        self._lock = asyncio.Lock()
        self._append_started_s: float | None = None
        self._sent_s = 0.0
        # Moving average of the time of attempts that got a response.
        self.usual_append_s = 0.0
        # Send time of the successful attempt of the last append, if an earlier
        # attempt timed out. An attempt that was refused or reset does not
        # count, as it proves that the log can be reached.
        self.recovered_at_s: float | None = None

    @property
    def era(self) -> int:
        """Era of the log; see `Log`."""
        return self._log.era

    @property
    def waiting_s(self) -> float:
        """Time since the start of the current append, or 0."""
        if self._append_started_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._append_started_s

    async def append(
        self, collect: Callable[[], list[tuple[str, bytes]]]
    ) -> bool:
        """Append the records that `collect` returns.

        Appends run one at a time; `collect` is called when this one starts,
        and again if the log starts a new era before it is acknowledged.

        Returns
        -------
        bool
            Whether there were records to append.
        """
        async with self._lock:
            self._start_epoch_in_new_era()
            records = collect()
            if not records:
                return False
            self._append_started_s = asyncio.get_running_loop().time()
            backoff_s = _FIRST_BACKOFF_S
            timed_out = False
            while True:
                failure = await self._try_append(records)
                if self._start_epoch_in_new_era():
                    # Also after a success, which may be that of an append
                    # that the log has lost since.
                    records = collect()
                    backoff_s = _FIRST_BACKOFF_S
                    continue
                if failure is None:
                    break
                timed_out = timed_out or isinstance(failure, LogTimeoutError)
                await asyncio.sleep(backoff_s)
                backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)
            self.recovered_at_s = self._sent_s if timed_out else None
            self._append_started_s = None
            self._sequence += 1
            return True

    def _start_epoch_in_new_era(self) -> bool:
        if self._era is None:
            self._era = self._log.era
        if self._log.era <= self._era:
            return False
        self._decisions.event(
            'append_epoch_started',
            topic=self._topic,
            era=self._log.era,
            era_before=self._era,
            epoch=self._epoch + 1,
            sequence_before=self._sequence,
        )
        self._era = self._log.era
        self._start_epoch()
        return True

    def _start_epoch(self) -> None:
        self._epoch += 1
        self._sequence = 0

    async def _try_append(
        self, records: list[tuple[str, bytes]]
    ) -> Exception | None:
        self._sent_s = asyncio.get_running_loop().time()
        try:
            offset = await self._log.append(
                self._topic,
                records,
                producer=self._producer,
                epoch=self._epoch,
                sequence=self._sequence,
            )
        except LogAppendError as error:
            executed = error.expected_sequence == self._sequence + 1
            self._decisions.event(
                'append_was_executed' if executed else 'append_rejected',
                topic=self._topic,
                epoch=self._epoch,
                sequence=self._sequence,
                expected_sequence=error.expected_sequence,
                era=self._log.era,
                reason=str(error),
            )
            if executed:
                # An earlier attempt without a response was executed.
                return None
            # The log does not know the appends of this epoch, so nothing is
            # proved about this one.
            if self._log.era == self._era:
                self._start_epoch()
            return error
        except LogUnavailableError as error:
            self._decisions.event(
                'append_unknown',
                routine=True,
                topic=self._topic,
                sequence=self._sequence,
                reason=str(error),
            )
            return error
        took_s = asyncio.get_running_loop().time() - self._sent_s
        self.usual_append_s += _USUAL_APPEND_WEIGHT * (
            took_s - self.usual_append_s
        )
        self._decisions.event(
            'appended',
            routine=True,
            topic=self._topic,
            sequence=self._sequence,
            log_offset=offset,
            records=len(records),
            took_s=round(took_s, 4),
        )
        return None
