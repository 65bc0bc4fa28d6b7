"""Reads a log stream in order.

The reader retries during outages of the log, and repositions when the log has
dropped entries that were not read.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Protocol

from absl import logging

from ...core import Log
from ...core import LogEntry
from ...core import LogPage
from ...core import LogUnavailableError
from ._backoff import Backoff

READ_WAIT_MS = 1000

# Applying this many records takes a few milliseconds. The reader then yields
# to the event loop, which relays responses to callers.
RECORDS_PER_YIELD = 256


class StreamState(Protocol):
    """State that is built from the entries of a stream."""

    async def find_position(self, bounds: LogPage, next_offset: int) -> int:
        """Load a snapshot if needed, and return the offset to read from.

        Parameters
        ----------
        bounds : LogPage
            Earliest and next offset of the stream.
        next_offset : int
            First offset that the state does not contain yet.

        Raises
        ------
        LogUnavailableError
            The state cannot be continued from the entries in the log.
        """
        ...

    def apply_entry(self, entry: LogEntry) -> int:
        """Apply an entry and return the number of its records."""
        ...

    async def end_page(self) -> None:
        """Finish a read, which may have returned no entries.

        The next entry is applied after this method has returned.
        """
        ...


class StreamReader:
    """Passes the entries of a stream to a state, each once and in order.

    Parameters
    ----------
    log : Log
    stream : str
    state : StreamState
    seed : str
        Seed of the back-off's jitter.
    limit : int
        Maximum number of entries in one read.

    Attributes
    ----------
    next_offset : int
        Offset of the first entry that was not applied yet.
    reachable : bool
        False before the first read and after a failed one.
    caught_up : bool
        Whether the last read reached the end of the stream.
    synced : bool
        Whether the end of the stream was ever reached.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        state: StreamState,
        *,
        seed: str,
        limit: int,
    ) -> None:
        self.log = log
        self.stream = stream
        self.state = state
        self.limit = limit
        self.next_offset = 0
        self.reachable = False
        self.caught_up = False
        self.synced = False
        self._backoff = Backoff(seed)
        self._positioned = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                page = await self._read_page()
            except LogUnavailableError as error:
                if self.reachable:
                    logging.warning(
                        'read of stream %s failed: %s',
                        self.stream,
                        error.message,
                    )
                self.reachable = False
                await asyncio.sleep(self._backoff.next_delay_s())
                continue
            self._backoff.reset()
            self.reachable = True
            if page.earliest_offset > self.next_offset:
                logging.warning(
                    'stream %s dropped entries %d to %d before they were read',
                    self.stream,
                    self.next_offset,
                    page.earliest_offset - 1,
                )
                self._positioned = False
                continue
            await self._apply_page(page)
            self.caught_up = self.next_offset >= page.next_offset
            self.synced = self.synced or self.caught_up
            await self.state.end_page()

    async def _read_page(self) -> LogPage:
        if not self._positioned:
            bounds = await self.log.read(self.stream, 0, limit=1, wait_ms=0)
            self.next_offset = await self.state.find_position(
                bounds, self.next_offset
            )
            self._positioned = True
            self.caught_up = False
        return await self.log.read(
            self.stream,
            self.next_offset,
            limit=self.limit,
            wait_ms=READ_WAIT_MS if self.caught_up else 0,
        )

    async def _apply_page(self, page: LogPage) -> None:
        records_since_yield = 0
        for entry in page.entries:
            if entry.offset < self.next_offset:
                continue
            self.next_offset = entry.offset + 1
            records_since_yield += self.state.apply_entry(entry)
            if records_since_yield >= RECORDS_PER_YIELD:
                records_since_yield = 0
                await asyncio.sleep(0)


async def read_backwards(
    log: Log, stream: str, bounds: LogPage, first_offset: int, limit: int
) -> AsyncIterator[LogEntry]:
    """Yield the entries from the end of a stream down to `first_offset`.

    Entries that the log drops meanwhile are left out.

    Parameters
    ----------
    log : Log
    stream : str
    bounds : LogPage
        Earliest and next offset of the stream.
    first_offset : int
    limit : int
        Maximum number of entries in one read.

    Raises
    ------
    LogUnavailableError
    """
    end = bounds.next_offset
    oldest = max(bounds.earliest_offset, first_offset)
    while end > oldest:
        start = max(oldest, end - limit)
        entries: list[LogEntry] = []
        # The log may return fewer entries than requested.
        while start < end:
            page = await log.read(stream, start, limit=end - start, wait_ms=0)
            if not page.entries:
                break
            entries += page.entries
            start = page.entries[-1].offset + 1
        for entry in reversed(entries):
            yield entry
        end = max(oldest, end - limit)
