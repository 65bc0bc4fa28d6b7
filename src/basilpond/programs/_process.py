"""Process of a router: its signals and standard streams."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import contextlib
import gc
import os
import signal
import sys
from typing import Any

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_ALL_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
# Net allocations of container objects that trigger a collection of the
# youngest generation. A request allocates a few hundred; stream frames leave
# none behind.
_GC_THRESHOLD = 20_000


def open_standard_streams() -> None:
    """Open standard streams that are closed.

    A socket would take the place of descriptor 1, which log lines go to.
    """
    for descriptor in range(3):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free descriptor is used, which is this one.
            os.open(os.devnull, os.O_RDWR)


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run the event loop of a router until `main` ends.

    Signals that arrive later no longer change the exit code.
    """
    with asyncio.Runner() as runner:
        try:
            runner.run(main)
        finally:
            # Closing the event loop restores the defaults of its signals.
            signal.pthread_sigmask(signal.SIG_BLOCK, _ALL_SIGNALS)
    for number in _ALL_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def tune_garbage_collector() -> None:
    """Reduce the time spent on cyclic garbage collection."""
    gc.collect()
    # Modules and the router's tasks live as long as the process does.
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)


def write_error(text: str) -> None:
    """Write a line to standard error, unless its reader has closed it."""
    # The stream is None if its descriptor was closed at the start.
    with contextlib.suppress(OSError, AttributeError):
        sys.stderr.write(f'{text}\n')
