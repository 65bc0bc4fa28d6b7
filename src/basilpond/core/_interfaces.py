"""Protocols at the edges of the core; tests put fakes behind them."""

from __future__ import annotations

import dataclasses
from typing import Protocol


@dataclasses.dataclass(slots=True, frozen=True)
class LogEntry:
    """Entry of a stream; `time_ms` is the log's append time."""

    offset: int
    time_ms: int
    payload: str


@dataclasses.dataclass(slots=True, frozen=True)
class LogPage:
    """Part of a stream.

    Entries before `earliest_offset` are gone; the next append gets
    `next_offset`.
    """

    earliest_offset: int
    next_offset: int
    entries: list[LogEntry]


class Log(Protocol):
    """Client of the platform's append-only log."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one entry and return its offset.

        Raises
        ------
        LogUnavailableError
            The entry may or may not have been written.
        LogRateLimitedError
            The entry was not written.
        """
        ...

    async def read(
        self, stream: str, offset: int, *, limit: int, wait_ms: int
    ) -> LogPage:
        """Read entries from `offset` on; wait for the first if there is none.

        Raises
        ------
        LogUnavailableError
        """
        ...
