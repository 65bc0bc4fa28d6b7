"""Process of a router: its signals and standard streams."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import contextlib
import signal
import sys
from typing import Any

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_ALL_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


def ignore_hangup() -> None:
    """Ignore SIGHUP until the router has been imported.

    The default ends the process, and the import takes 0.3 s, or longer on a
    share of a core. No change is lost: the settings are read after it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


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


def write_error(text: str) -> None:
    """Write a line to standard error, unless its reader has closed it."""
    with contextlib.suppress(OSError):
        sys.stderr.write(f'{text}\n')
