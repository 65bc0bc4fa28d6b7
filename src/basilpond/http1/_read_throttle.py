"""Limit on the time spent on input that is expensive to parse."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

# Interval between two pieces of expensive input of all connections together.
# Parsing 16 KiB in chunks of one byte takes 0.7 ms of a core, which
# is 1.7 ms with 0.39 cores, a third of the interval.
INTERVAL_S = 0.005


class ReadThrottle:
    """Lets connections with expensive input continue one after the other."""

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def wait(self, resume: Callable[[], None]) -> None:
        """Call a function when it is the turn of its connection."""
        self._waiting.append(resume)
        if self._timer is None:
            self._start_timer()

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(INTERVAL_S, self._resume_next)

    def _resume_next(self) -> None:
        self._timer = None
        resume = self._waiting.popleft()
        if self._waiting:
            self._start_timer()
        resume()
