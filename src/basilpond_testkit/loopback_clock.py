"""Event loop for tests with loopback sockets whose clock excludes processing.

The clock advances to the next timer only when no callback is ready and no
socket has anything to read, so a busy machine does not make timers fire before
messages that precede them. All sockets have to belong to the test's process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
import selectors
from typing import Any
from typing import ParamSpec
from typing import TypeVar

P = ParamSpec('P')
T = TypeVar('T')

# Real time without an event after which no message is on its way. Loopback
# delivers within the call that sends, unless the kernel defers it to a thread.
_QUIET_S = 0.001


class _LoopbackSelector(selectors.DefaultSelector):
    """Selector that advances the loop's clock once the sockets are quiet."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        events = super().select(_QUIET_S)
        if not events:
            self.now_s += timeout
        return events


class LoopbackClockEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose `time` starts at 0 and stands still during work."""

    def __init__(self) -> None:
        self._loopback_selector = _LoopbackSelector()
        super().__init__(self._loopback_selector)

    def time(self) -> float:
        """Return the seconds that the clock has advanced."""
        return self._loopback_selector.now_s

    def pause(self, duration_s: float) -> None:
        """Advance the clock as a pause of the whole process does."""
        self._loopback_selector.now_s += duration_s


def on_loopback_clock(
    test: Callable[P, Coroutine[Any, Any, T]],
) -> Callable[P, T]:
    """Make an async test run on a loopback-clock loop of its own.

    Fixtures and parameters pass through. Async fixtures run on another loop
    and must not be used with it.
    """

    @functools.wraps(test)
    def run_test(*args: P.args, **kwargs: P.kwargs) -> T:
        with asyncio.Runner(loop_factory=LoopbackClockEventLoop) as runner:
            return runner.run(test(*args, **kwargs))

    return run_test
