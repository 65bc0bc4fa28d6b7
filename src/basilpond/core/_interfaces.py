"""Protocol of the log client that the core uses; tests implement fakes."""

from __future__ import annotations

import dataclasses
from typing import Protocol


@dataclasses.dataclass(slots=True, frozen=True)
class LogEntry:
    """Entry of a stream.

    `time_ms` is the time at which the log appended it, by the log's clock.
    """

    offset: int
    time_ms: int
    payload: str


@dataclasses.dataclass(slots=True, frozen=True)
class LogPage:
    """Part of a stream.

    The log has deleted the entries before `earliest_offset`. The next entry
    that is appended gets `next_offset`.
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
        """Read entries from `offset` on.

        Parameters
        ----------
        stream : str
        offset : int
        limit : int
            Maximum number of entries.
        wait_ms : int
            Time to wait for an entry if there is none.

        Raises
        ------
        LogUnavailableError
            The log did not respond.
        """
        ...
