"""Crash counts of requests in the log, for routers that start.

Live routers tell each other their counts in datagrams. A router writes what it
has counted to the log as well, and reads the counts of all when it starts, as
all routers may be killed at the same time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time

from ..routing import CrashCounter
from ._decision_log import DecisionLog
from ._interfaces import Log
from ._interfaces import LogEraChangedError
from ._interfaces import LogUnavailableError
from ._interfaces import Record
from ._partition_reader import PartitionReader

CRASHES_TOPIC = 'crashes'
_PARTITION = 0
# Part of the writes that the store allows which all routers use for crashes.
_WRITE_SHARE = 0.05
# Requests that wait for the next append. An endpoint that crashes breaks all
# that it runs, and a cut of the network may break thousands.
_MAX_WAITING = 1_000
_RETRY_S = 0.25
# Time in which a request that was completed is not written again. Reports of
# other routers bring its count back each time.
_CLEAR_INTERVAL_S = 30.0
# Holder, count and time of a record, and the limit on numbers from others.
_MAX_VALUE_BYTES = 400
_MAX_NUMBER = 2**53


class CrashLog:
    """Counts crashes of requests and keeps the counts in the log.

    Parameters
    ----------
    holder : str
        Unique to this incarnation of the router.
    counter : CrashCounter
    log : Log
    decisions : DecisionLog
    writes_per_s : float
        Calls that the store allows, for all routers together.
    live_routers : callable
        Returns the number of live routers, this one included.
    wall_s : callable
        Returns the Unix time, by which counts lapse after a restart.
    """

    def __init__(
        self,
        holder: str,
        counter: CrashCounter,
        log: Log,
        decisions: DecisionLog,
        *,
        writes_per_s: float,
        live_routers: Callable[[], int],
        wall_s: Callable[[], float] = time.time,
    ) -> None:
        self._holder = holder
        self._counter = counter
        self._log = log
        self._decisions = decisions
        self._writes_per_s = _WRITE_SHARE * writes_per_s
        self._live_routers = live_routers
        self._wall_s = wall_s
        self._reader = PartitionReader(
            log, CRASHES_TOPIC, _PARTITION, self._apply
        )
        # Whether the counts of earlier processes are known.
        self.is_read = False
        # Count and Unix time in milliseconds by digest; 0 for a request that
        # was completed.
        self._waiting: dict[str, tuple[int, int]] = {}
        # Counts by digest and holder, until the read is complete.
        self._found: dict[str, dict[str, tuple[int, int]]] = {}
        # When a request that was completed was last written, by digest.
        self._cleared_s: dict[str, float] = {}
        self._requested = asyncio.Event()

    def record(self, digest: str, now_s: float) -> None:
        """Count a crash of an endpoint that ran a request.

        Parameters
        ----------
        digest : str
            Of the request.
        now_s : float
            Time of the event loop.
        """
        self._counter.record(digest, digest, now_s)
        self._cleared_s.pop(digest, None)
        self._store(digest, self._counter.local_count(digest))

    def retract(self, since_s: float) -> None:
        """Take back what was counted since a time, by the event loop.

        The requests broke because this router was cut off.
        """
        for digest in self._counter.retract(since_s):
            self._store(digest, self._counter.local_count(digest))

    def clear(self, digest: str, now_s: float) -> None:
        """Remove the count of a request that was completed.

        Parameters
        ----------
        digest : str
            Of the request.
        now_s : float
            Time of the event loop.
        """
        if not self._counter.clear(digest):
            return
        cleared_s = self._cleared_s.pop(digest, float('-inf'))
        if now_s - cleared_s < _CLEAR_INTERVAL_S:
            self._cleared_s[digest] = cleared_s
            return
        self._cleared_s[digest] = now_s
        while len(self._cleared_s) > _MAX_WAITING:
            del self._cleared_s[next(iter(self._cleared_s))]
        self._store(digest, 0)

    def _store(self, digest: str, count: int) -> None:
        if len(self._waiting) < _MAX_WAITING or digest in self._waiting:
            self._waiting[digest] = count, int(self._wall_s() * 1000)
        self._requested.set()

    async def run(self) -> None:
        """Read the counts of earlier processes and append until cancelled."""
        while not self.is_read:
            try:
                await self._reader.read()
            except (LogUnavailableError, LogEraChangedError) as error:
                self._decisions.event(
                    'crashes_not_read', routine=True, reason=str(error)
                )
                await asyncio.sleep(_RETRY_S)
            else:
                self._merge_found()
        while True:
            await self._requested.wait()
            self._requested.clear()
            stored = await self._append()
            pause_s = self._live_routers() / self._writes_per_s
            await asyncio.sleep(pause_s if stored else max(_RETRY_S, pause_s))

    async def _append(self) -> bool:
        batch, self._waiting = self._waiting, {}
        try:
            await self._log.add(
                CRASHES_TOPIC,
                _PARTITION,
                [
                    (digest, f'{count} {wall_ms} {self._holder}'.encode())
                    for digest, (count, wall_ms) in batch.items()
                ],
            )
        except LogUnavailableError as error:
            self._waiting = batch | self._waiting
            self._requested.set()
            self._decisions.event(
                'crashes_not_stored',
                routine=True,
                requests=len(batch),
                reason=str(error),
            )
            return False
        return True

    def _apply(self, records: list[Record]) -> None:
        for record in records:
            try:
                count, wall_ms, holder = _parse(record.value)
            except ValueError as error:
                self._decisions.event(
                    'crash_record_unreadable',
                    log_offset=record.offset,
                    reason=str(error),
                )
                continue
            if count:
                counts = self._found.setdefault(record.key, {})
                counts[holder] = count, wall_ms
            else:
                self._found.pop(record.key, None)

    def _merge_found(self) -> None:
        now_s = asyncio.get_running_loop().time()
        wall_ms = self._wall_s() * 1000
        for digest, counts in self._found.items():
            for holder, (count, crashed_ms) in counts.items():
                self._counter.merge(
                    holder,
                    digest,
                    count,
                    age_s=(wall_ms - crashed_ms) / 1000,
                    now_s=now_s,
                )
        if self._found:
            self._decisions.event('crashes_read', requests=len(self._found))
        self._found = {}
        self.is_read = True


def _parse(value: bytes | None) -> tuple[int, int, str]:
    if value is None or len(value) > _MAX_VALUE_BYTES:
        raise ValueError('no value, or too long')
    count, wall_ms, holder = value.split(b' ', 2)
    numbers = int(count), int(wall_ms)
    if not all(0 <= number <= _MAX_NUMBER for number in numbers):
        raise ValueError(f'{value!r}: number out of range')
    return *numbers, holder.decode()
