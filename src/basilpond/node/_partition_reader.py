"""Reads of a partition of the log from where the last read stopped."""

from __future__ import annotations

from collections.abc import Callable

from ._interfaces import Log
from ._interfaces import LogEraChangedError
from ._interfaces import LogTrimmedError
from ._interfaces import LogUnavailableError
from ._interfaces import ReadProgress
from ._interfaces import Record

# Pages and restarts of one read.
_MAX_READS = 20


class PartitionReader:
    """Reader of one partition of a topic whose records expire.

    Parameters
    ----------
    log : Log
    topic : str
    partition : int
    apply : callable
        Called with the records of each page, in order.
    """

    __slots__ = ('_apply', '_era', '_log', '_offset', '_partition', '_topic')

    def __init__(
        self,
        log: Log,
        topic: str,
        partition: int,
        apply: Callable[[list[Record]], None],
    ) -> None:
        self._log = log
        self._topic = topic
        self._partition = partition
        self._apply = apply
        self._offset = 0
        # Era of the log that the offset belongs to.
        self._era: int | None = None

    async def read(self) -> None:
        """Read up to the end of the partition.

        Raises
        ------
        LogUnavailableError, LogEraChangedError
        """
        for _ in range(_MAX_READS):
            try:
                page = await self._log.read(
                    self._topic,
                    self._offset,
                    0.0,
                    ReadProgress(),
                    partition=self._partition,
                )
            except LogTrimmedError as error:
                if error.first_offset in (None, self._offset):
                    raise LogUnavailableError(str(error)) from error
                self._offset = error.first_offset
                continue
            if page.era != self._era:
                # Offsets may have been given out again.
                is_first = self._era is None
                self._era = page.era
                if not is_first:
                    self._offset = 0
                    continue
            self._apply(page.records)
            if page.records:
                self._offset = page.records[-1].offset + 1
            if not page.records or self._offset >= page.end:
                return
        raise LogEraChangedError(f'{self._topic}: changes during the read')
