"""A log that one router reaches over a slow link, without sockets."""

from __future__ import annotations

import asyncio

from basilpond.node import LogPage
from basilpond.node import LogReaderBehindError
from basilpond.node import LogTimeoutError
from basilpond.node import NewestPage
from basilpond.node import ReadProgress
from basilpond.node import Record

# Bytes of one answer that wait in the network at a time.
_WINDOW_BYTES = 192 * 1024
_ANSWER_S = 0.004
_CALL_TIMEOUT_S = 1.0
_SMALL_RESPONSE_BYTES = 200


class SlowLinkLog:
    """Log whose answers share a link, in the order in which they are sent.

    An answer that nobody waits for any more still takes its time on the link.

    Parameters
    ----------
    link_bytes_per_s : float
    """

    def __init__(self, link_bytes_per_s: float) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.sent_bytes = 0
        self.era = 0
        self.on_new_era = lambda: None
        self._link_bytes_per_s = link_bytes_per_s
        self._link_free_s = 0.0
        self._is_cut = False
        # Reads that were sent before this time get no answer.
        self._silent_before_s = float('-inf')

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as an operator does, whom no cut concerns."""
        self.topics.setdefault(topic, []).append((key, value))

    def cut(self) -> None:
        """Leave calls unanswered from now on."""
        self._is_cut = True

    def restore(self) -> None:
        """Answer calls that are sent from now on."""
        self._is_cut = False
        self._silent_before_s = asyncio.get_running_loop().time()

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        *,
        producer: str,
        epoch: int,
        sequence: int,
    ) -> int:
        """Append records."""
        await self._answer(_CALL_TIMEOUT_S)
        log = self.topics.setdefault(topic, [])
        log.extend(records)
        await self._transfer(_SMALL_RESPONSE_BYTES, ReadProgress())
        return len(log) - len(records)

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        progress: ReadProgress,
        *,
        max_records: int | None = None,
    ) -> LogPage:
        """Read from an offset."""
        sent_s = asyncio.get_running_loop().time()
        await self._answer(_CALL_TIMEOUT_S + wait_s)
        log = self.topics.setdefault(topic, [])
        until_s = sent_s + wait_s
        while len(log) <= offset:
            if asyncio.get_running_loop().time() >= until_s:
                break
            await asyncio.sleep(0.01)
        if self._is_cut or sent_s < self._silent_before_s:
            limit_s = sent_s + wait_s + _CALL_TIMEOUT_S
            await asyncio.sleep(limit_s - asyncio.get_running_loop().time())
            raise LogTimeoutError('timed out')
        progress.log_end = len(log)
        if max_records is not None and len(log) > offset + max_records:
            raise LogReaderBehindError('records follow')
        records = [
            Record(offset + i, key, value)
            for i, (key, value) in enumerate(log[offset:])
        ]
        await self._transfer(_size_bytes(records), progress)
        return LogPage(records, len(log))

    async def read_newest(
        self, topic: str, after: str | None, progress: ReadProgress
    ) -> NewestPage:
        """Read the newest record of each key."""
        await self._answer(_CALL_TIMEOUT_S)
        log = self.topics.setdefault(topic, [])
        newest = {
            key: Record(i, key, value) for i, (key, value) in enumerate(log)
        }
        end = len(log)
        await self._transfer(_size_bytes([*newest.values()]), progress)
        return NewestPage([*newest.values()], end, False)

    async def _answer(self, timeout_s: float) -> None:
        if self._is_cut:
            await asyncio.sleep(timeout_s)
            raise LogTimeoutError('timed out')
        await asyncio.sleep(_ANSWER_S)

    async def _transfer(self, size_bytes: int, progress: ReadProgress) -> None:
        loop = asyncio.get_running_loop()
        while size_bytes > 0:
            part_bytes = min(size_bytes, _WINDOW_BYTES)
            start_s = max(loop.time(), self._link_free_s)
            self._link_free_s = start_s + part_bytes / self._link_bytes_per_s
            self.sent_bytes += part_bytes
            await asyncio.sleep(self._link_free_s - loop.time())
            progress.received_bytes += part_bytes
            size_bytes -= part_bytes


def _size_bytes(records: list[Record]) -> int:
    return _SMALL_RESPONSE_BYTES + sum(len(r.value or b'') for r in records)
