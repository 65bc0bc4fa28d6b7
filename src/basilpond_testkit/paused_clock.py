"""Event loop for tests whose clock advances only when nothing is ready.

Timers fire in order and without real waiting, so a test of minutes takes
milliseconds and gives the same schedule on every run. The loop does not wait
for other threads or sockets: code that uses them needs a real event loop.
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


# asyncio runs timers up to a clock resolution early. Code that then waits
# again until its deadline would do so without end, as the clock stands still:
# after so many rounds it advances, as a real one does.
_MAX_ROUNDS = 1_000
_ROUNDS_STEP_S = 1e-9


class NothingScheduledError(RuntimeError):
    """Every task waits and no timer is set, so the test cannot proceed."""


class _AdvancingSelector(selectors.DefaultSelector):
    """Selector that advances the loop's clock instead of blocking."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        # Since the clock last advanced.
        self._rounds = 0

    def select(self, timeout: float | None = None) -> list:
        events = super().select(0)
        if events or (timeout is not None and timeout <= 0):
            self._rounds += 1
            if self._rounds >= _MAX_ROUNDS:
                self._rounds = 0
                self.now_s += _ROUNDS_STEP_S
            return events
        self._rounds = 0
        if timeout is None:
            raise NothingScheduledError('every task waits and no timer is set')
        self.now_s += timeout
        return events


class PausedClockEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose `time` starts at 0 and jumps to the next timer."""

    def __init__(self) -> None:
        self._advancing_selector = _AdvancingSelector()
        super().__init__(self._advancing_selector)

    def time(self) -> float:
        """Return the seconds that the clock has advanced."""
        return self._advancing_selector.now_s


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new paused-clock loop and return its result.

    Raises
    ------
    NothingScheduledError
        If every task waits and no timer is set.
    """
    with asyncio.Runner(loop_factory=PausedClockEventLoop) as runner:
        return runner.run(coroutine)


def on_paused_clock(
    test: Callable[P, Coroutine[Any, Any, T]],
) -> Callable[P, T]:
    """Make an async test run on a paused-clock loop of its own.

    Fixtures and Hypothesis arguments pass through. Async fixtures run on
    another loop and must not be used with it.
    """

    @functools.wraps(test)
    def run_test(*args: P.args, **kwargs: P.kwargs) -> T:
        return run(test(*args, **kwargs))

    return run_test


async def wait_until(
    condition: Callable[[], bool],
    *,
    timeout_s: float = 60.0,
    poll_s: float = 0.005,
) -> None:
    """Wait on the loop's clock until `condition` holds.

    Raises
    ------
    TimeoutError
    """
    async with asyncio.timeout(timeout_s):
        # Conditions read state that has no event of its own.
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(poll_s)
