"""Versions of streams in the log, in partitions by the id of the stream.

A record is stored after the first event of its stream was forwarded, so it
delays nothing. It says what has happened, so it may be repeated or come late.
Records expire with the history of the log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import xxhash

from ._decision_log import DecisionLog
from ._interfaces import Log
from ._interfaces import LogUnavailableError
from ._interfaces import Record
from ._partition_reader import PartitionReader
from ._shared_call import SharedCall

STREAMS_TOPIC = 'streams'
# Partitions in use. Each read transfers the records of one partition, and
# streams that begin together need one append for each partition.
_MAX_PARTITIONS = 4
# Part of the writes that the store allows which all routers use for streams.
_WRITE_SHARE = 0.25
# Longest time between two appends; a stream that begins meanwhile is unknown
# to other routers until then.
_MAX_INTERVAL_S = 0.5
_RETRY_S = 0.25
# Records that wait for the log, and records that were read; 100 bytes each.
_MAX_WAITING = 10_000
_MAX_KNOWN = 50_000


class StreamRecords:
    """Stores and finds the versions of streams.

    Parameters
    ----------
    log : Log
    decisions : DecisionLog
    partitions : int
        Partitions of each topic of the log.
    writes_per_s : float
        Calls that the store allows, for all routers together.
    live_routers : callable
        Returns the number of live routers, this one included.
    """

    def __init__(
        self,
        log: Log,
        decisions: DecisionLog,
        *,
        partitions: int,
        writes_per_s: float,
        live_routers: Callable[[], int],
    ) -> None:
        self._log = log
        self._decisions = decisions
        self._partitions = min(partitions, _MAX_PARTITIONS)
        self._writes_per_s = _WRITE_SHARE * writes_per_s
        self._live_routers = live_routers
        # Versions, and the time after which they are not needed any more.
        self._waiting: dict[str, tuple[str, float]] = {}
        # Number of those whose appends have not been acknowledged.
        self._appending = 0
        self._requested = asyncio.Event()
        # Versions that were read, by stream.
        self._known: dict[str, str] = {}
        self._reads = [
            SharedCall(
                PartitionReader(
                    log, STREAMS_TOPIC, partition, self._learn
                ).read
            )
            for partition in range(self._partitions)
        ]

    @property
    def waiting(self) -> int:
        """Number of streams whose versions are not in the log yet."""
        return len(self._waiting) + self._appending

    def store(self, stream_id: str, version: str, until_s: float) -> None:
        """Store the version of a stream.

        Parameters
        ----------
        stream_id : str
        version : str
        until_s : float
            Time of the event loop after which it is not needed any more.
        """
        if len(self._waiting) < _MAX_WAITING:
            self._waiting[stream_id] = version, until_s
        self._requested.set()

    async def find(self, stream_id: str) -> str | None:
        """Return the version of a stream that was stored before the call.

        Raises
        ------
        LogUnavailableError, LogEraChangedError
        """
        version = self._known.get(stream_id)
        if version is None:
            await self._reads[self._partition(stream_id)]()
            version = self._known.get(stream_id)
        return version

    async def run(self) -> None:
        """Append records until cancelled."""
        while True:
            await self._requested.wait()
            self._requested.clear()
            waiting, self._waiting = self._waiting, {}
            now_s = asyncio.get_running_loop().time()
            batches: dict[int, dict[str, tuple[str, float]]] = {}
            for stream_id, item in waiting.items():
                if item[1] >= now_s:
                    partition = self._partition(stream_id)
                    batches.setdefault(partition, {})[stream_id] = item
            stored = await asyncio.gather(
                *(self._append(*batch) for batch in batches.items())
            )
            interval_s = len(batches) * self._live_routers()
            interval_s = min(_MAX_INTERVAL_S, interval_s / self._writes_per_s)
            if not all(stored):
                interval_s = max(_RETRY_S, interval_s)
            await asyncio.sleep(interval_s)

    async def _append(
        self, partition: int, batch: dict[str, tuple[str, float]]
    ) -> bool:
        started_s = asyncio.get_running_loop().time()
        self._appending += len(batch)
        error = None
        try:
            await self._log.add(
                STREAMS_TOPIC,
                partition,
                [
                    (key, version.encode())
                    for key, (version, _) in batch.items()
                ],
            )
        except LogUnavailableError as reason:
            error = reason
            for stream_id, item in batch.items():
                self.store(stream_id, *item)
        finally:
            self._appending -= len(batch)
        self._decisions.event(
            'streams_stored' if error is None else 'streams_not_stored',
            routine=True,
            streams=len(batch),
            partition=partition,
            took_s=round(asyncio.get_running_loop().time() - started_s, 4),
            reason=error and str(error),
        )
        return error is None

    def _learn(self, records: list[Record]) -> None:
        for record in records:
            if not record.value:
                continue
            self._known[record.key] = record.value.decode('utf-8', 'replace')
            while len(self._known) > _MAX_KNOWN:
                del self._known[next(iter(self._known))]

    def _partition(self, stream_id: str) -> int:
        return xxhash.xxh3_64_intdigest(stream_id.encode()) % self._partitions
