"""Process of a router: its signals and standard streams."""

from __future__ import annotations

import contextlib
import signal
import sys


def ignore_hangup() -> None:
    """Ignore SIGHUP until the router has been imported.

    The default ends the process, and the import takes 0.3 s, or longer on a
    share of a core. No change is lost: the settings are read after it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def write_error(text: str) -> None:
    """Write a line to standard error, unless its reader has closed it."""
    with contextlib.suppress(OSError):
        sys.stderr.write(f'{text}\n')
