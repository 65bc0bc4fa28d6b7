"""One call for all that ask for its result at the same time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Generic
from typing import TypeVar

_Result = TypeVar('_Result')


class SharedCall(Generic[_Result]):
    """Calls a function once for all callers that wait.

    Each caller gets the result of a call that began after its own, so that a
    read of the log shows all that was written before.

    Parameters
    ----------
    function : callable
        Async function without parameters.
    """

    __slots__ = ('_function', '_lock', '_next')

    def __init__(self, function: Callable[[], Awaitable[_Result]]) -> None:
        self._function = function
        self._lock = asyncio.Lock()
        # Call that has not begun.
        self._next: asyncio.Task[_Result] | None = None

    async def __call__(self) -> _Result:
        """Return the result of the next call."""
        if self._next is None:
            self._next = asyncio.create_task(self._run())
            # All callers may have been cancelled when it fails.
            self._next.add_done_callback(_retrieve_exception)
        return await asyncio.shield(self._next)

    async def _run(self) -> _Result:
        async with self._lock:
            self._next = None
            return await self._function()


def _retrieve_exception(task: asyncio.Task[Any]) -> None:
    if not task.cancelled():
        task.exception()
