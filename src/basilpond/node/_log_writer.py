"""Appends to one topic, each executed once."""

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
# Weight of the newest append in the usual time of one.
_USUAL_APPEND_WEIGHT = 0.3


class LogWriter:
    """Producer of one topic, with one append outstanding.

    An append without an answer may have been executed, or may be later. It
    is repeated with its sequence number until its outcome is known, so that
    it is executed once and before any later one.

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
        # Time that answered tries took lately.
        self.usual_append_s = 0.0
        # When the try of the last append that was answered was sent, if an
        # earlier try got no answer. One that was refused or reset proves that
        # the log can be reached.
        self.recovered_at_s: float | None = None

    @property
    def waiting_s(self) -> float:
        """Time for which the present append has had no answer."""
        if self._append_started_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._append_started_s

    async def append(
        self, collect: Callable[[], list[tuple[str, bytes]]]
    ) -> bool:
        """Append what `collect` returns when it is this append's turn.

        Returns
        -------
        bool
            Whether there was anything to append.
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
            # The log has gone on to the next number: an earlier try that got
            # no answer was executed.
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
