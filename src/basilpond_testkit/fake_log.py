"""In-process log with faults, behind the `Log` protocol.

A `FakeLog` holds the streams; each router gets its own `FakeLogLink`, so that
one router can lose the log while others reach it. Faults can be set on the
log (for all links) or on one link.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses

from basilpond.core._codes import LogRateLimitedError
from basilpond.core._codes import LogUnavailableError
from basilpond.core._interfaces import LogEntry
from basilpond.core._interfaces import LogPage

# Any fixed wall-clock time works; folds only compare log times.
START_TIME_MS = 1_700_000_000_000


@dataclasses.dataclass(slots=True)
class Faults:
    """Switches of a log or a link; the next call reads them.

    Parameters
    ----------
    down : bool
        Calls fail after `error_delay_s`; nothing is written.
    silent : bool
        Calls get no response until the client's timeout, also those in
        progress. Only an append that is on its way still takes effect.
    append_delay_s, read_delay_s : float
        An append takes effect after half its delay and is acknowledged after
        the rest. A delay above the client's timeout therefore also gives
        appends that take effect after their caller has given up.
    lose_acknowledgements : int
        That many next appends take effect and then fail.
    lose_appends : int
        That many next appends fail without effect.
    """

    down: bool = False
    silent: bool = False
    append_delay_s: float = 0.0
    read_delay_s: float = 0.0
    error_delay_s: float = 0.001
    lose_acknowledgements: int = 0
    lose_appends: int = 0


@dataclasses.dataclass(slots=True)
class _Stream:
    entries: collections.deque[LogEntry] = dataclasses.field(
        default_factory=collections.deque
    )
    earliest_offset: int = 0
    next_offset: int = 0
    waiters: list[asyncio.Future[None]] = dataclasses.field(
        default_factory=list
    )


class FakeLog:
    """Streams of a log, with retention, a rate limit and faults.

    Parameters
    ----------
    append_delay_s, read_delay_s : float
        Delays without faults, on the event loop's clock.
    rate_limit_per_s : int, optional
        Appends in any one second, over all streams.
    retention_entries : int, optional
        Entries that each stream keeps.

    Attributes
    ----------
    faults : Faults
    appends, refused_appends, reads : int
        Calls that took effect or were refused over the rate limit.
    """

    def __init__(
        self,
        *,
        append_delay_s: float = 0.004,
        read_delay_s: float = 0.002,
        rate_limit_per_s: int | None = None,
        retention_entries: int | None = None,
    ) -> None:
        self.append_delay_s = append_delay_s
        self.read_delay_s = read_delay_s
        self.rate_limit_per_s = rate_limit_per_s
        self.retention_entries = retention_entries
        self.faults = Faults()
        self.appends = 0
        self.refused_appends = 0
        self.reads = 0
        self._streams: dict[str, _Stream] = collections.defaultdict(_Stream)
        self._append_times_s: collections.deque[float] = collections.deque()

    def connect(self, *, timeout_s: float = 5.0) -> FakeLogLink:
        """Return a client; `timeout_s` is the client's own timeout."""
        return FakeLogLink(self, timeout_s=timeout_s)

    def time_ms(self) -> int:
        """Return the log's clock in milliseconds."""
        now_s = asyncio.get_running_loop().time()
        return START_TIME_MS + int(now_s * 1000)

    def write(self, stream: str, payload: bytes | str) -> int:
        """Append at once, without delays, faults or rate limit."""
        state = self._streams[stream]
        text = payload if isinstance(payload, str) else payload.decode()
        offset = state.next_offset
        state.entries.append(LogEntry(offset, self.time_ms(), text))
        state.next_offset += 1
        self.appends += 1
        if self.retention_entries is not None:
            self.drop_before(
                stream, state.next_offset - self.retention_entries
            )
        for waiter in state.waiters:
            if not waiter.done():
                waiter.set_result(None)
        state.waiters.clear()
        return offset

    def drop_before(self, stream: str, offset: int) -> None:
        """Drop the entries before `offset`, as retention does."""
        state = self._streams[stream]
        while state.entries and state.entries[0].offset < offset:
            state.entries.popleft()
        state.earliest_offset = min(
            max(state.earliest_offset, offset), state.next_offset
        )

    def entries(self, stream: str) -> list[LogEntry]:
        """Return the entries that the stream still holds."""
        return list(self._streams[stream].entries)

    def next_offset(self, stream: str) -> int:
        """Return the offset that the next entry gets."""
        return self._streams[stream].next_offset

    def _take_append_slot(self) -> None:
        if self.rate_limit_per_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        times_s = self._append_times_s
        while times_s and times_s[0] <= now_s - 1:
            times_s.popleft()
        if len(times_s) >= self.rate_limit_per_s:
            self.refused_appends += 1
            raise LogRateLimitedError('fake log is over its rate limit')
        times_s.append(now_s)

    def _page(self, stream: str, offset: int, limit: int) -> LogPage:
        state = self._streams[stream]
        first = max(offset, state.earliest_offset) - state.earliest_offset
        entries = [
            state.entries[i]
            for i in range(first, min(first + limit, len(state.entries)))
        ]
        return LogPage(state.earliest_offset, state.next_offset, entries)

    async def _wait_for_entry(self, stream: str, offset: int) -> None:
        state = self._streams[stream]
        while state.next_offset <= offset:
            waiter = asyncio.get_running_loop().create_future()
            state.waiters.append(waiter)
            try:
                await waiter
            finally:
                if waiter in state.waiters:
                    state.waiters.remove(waiter)


class FakeLogLink:
    """Client of a `FakeLog`; implements the `Log` protocol.

    Parameters
    ----------
    log : FakeLog
    timeout_s : float
        A call without a response fails after this time, plus `wait_ms` for a
        read.

    Attributes
    ----------
    faults : Faults
        Faults of this link only.
    """

    def __init__(self, log: FakeLog, *, timeout_s: float) -> None:
        self.log = log
        self.timeout_s = timeout_s
        self.faults = Faults()
        self._late_appends: set[asyncio.Task[int]] = set()

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one entry and return its offset.

        Raises
        ------
        LogUnavailableError, LogRateLimitedError
        """
        await self._fail_if_down(self.timeout_s)
        if self._take_one('lose_appends'):
            await asyncio.sleep(self._delay_s('append_delay_s') / 2)
            raise LogUnavailableError('fake log lost the append')
        self.log._take_append_slot()
        # The request is on its way: it takes effect even when its caller is
        # cancelled or gives up.
        task = asyncio.ensure_future(self._write_later(stream, payload))
        self._late_appends.add(task)
        task.add_done_callback(self._late_appends.discard)
        try:
            async with asyncio.timeout(self.timeout_s):
                offset = await asyncio.shield(task)
                await asyncio.sleep(self._delay_s('append_delay_s') / 2)
        except TimeoutError:
            raise LogUnavailableError(
                'fake log did not acknowledge the append in time'
            ) from None
        await self._hang_if_silent(self.timeout_s)
        if self._take_one('lose_acknowledgements') or self._is_down():
            raise LogUnavailableError('fake log lost the acknowledgement')
        return offset

    async def read(
        self, stream: str, offset: int, *, limit: int, wait_ms: int
    ) -> LogPage:
        """Read entries from `offset` on; wait up to `wait_ms` for the first.

        Raises
        ------
        LogUnavailableError
        """
        timeout_s = self.timeout_s + wait_ms / 1000
        await self._fail_if_down(timeout_s)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await self.log._wait_for_entry(stream, offset)
        except TimeoutError:
            pass
        await self._hang_if_silent(self.timeout_s)
        delay_s = self._delay_s('read_delay_s')
        await asyncio.sleep(min(delay_s, self.timeout_s))
        if delay_s > self.timeout_s or self._is_down():
            raise LogUnavailableError('fake log did not respond in time')
        self.log.reads += 1
        return self.log._page(stream, offset, limit)

    async def _write_later(self, stream: str, payload: bytes) -> int:
        await asyncio.sleep(self._delay_s('append_delay_s') / 2)
        return self.log.write(stream, payload)

    async def _fail_if_down(self, timeout_s: float) -> None:
        await self._hang_if_silent(timeout_s)
        if self._is_down():
            await asyncio.sleep(
                max(self.faults.error_delay_s, self.log.faults.error_delay_s)
            )
            raise LogUnavailableError('fake log is down')

    async def _hang_if_silent(self, timeout_s: float) -> None:
        if self.faults.silent or self.log.faults.silent:
            await asyncio.sleep(timeout_s)
            raise LogUnavailableError('fake log did not respond in time')

    def _is_down(self) -> bool:
        return self.faults.down or self.log.faults.down

    def _delay_s(self, name: str) -> float:
        return (
            getattr(self.log, name)
            + getattr(self.log.faults, name)
            + getattr(self.faults, name)
        )

    def _take_one(self, name: str) -> bool:
        for faults in (self.faults, self.log.faults):
            left = getattr(faults, name)
            if left > 0:
                setattr(faults, name, left - 1)
                return True
        return False
