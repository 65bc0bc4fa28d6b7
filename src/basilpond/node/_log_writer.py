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
    def waiting_s(self) -> float:
        """Time since the start of the current append, or 0."""
        if self._append_started_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._append_started_s

    async def append(
        self, collect: Callable[[], list[tuple[str, bytes]]]
    ) -> bool:
        """Append the records that `collect` returns.

        Appends run one at a time; `collect` is called when this one starts.

        Returns
        -------
        bool
            Whether there were records to append.
        """
        async with self._lock:
            records = collect()
            if not records:
                return False
            self._append_started_s = asyncio.get_running_loop().time()
            backoff_s = _FIRST_BACKOFF_S
            timed_out = False
            while (failure := await self._try_append(records)) is not None:
                timed_out = timed_out or isinstance(failure, LogTimeoutError)
                await asyncio.sleep(backoff_s)
                backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)
            self.recovered_at_s = self._sent_s if timed_out else None
            self._append_started_s = None
            self._sequence += 1
            return True

    async def _try_append(
        self, records: list[tuple[str, bytes]]
    ) -> LogUnavailableError | None:
        self._sent_s = asyncio.get_running_loop().time()
        try:
            offset = await self._log.append(
                self._topic,
                records,
                producer=self._producer,
                sequence=self._sequence,
            )
        except LogAppendError as error:
            # The log expects the next sequence number, so an earlier attempt
            # without a response was executed.
            self._decisions.event(
                'append_was_executed',
                topic=self._topic,
                sequence=self._sequence,
                reason=str(error),
            )
            return None
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
