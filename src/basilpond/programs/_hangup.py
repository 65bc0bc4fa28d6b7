"""SIGHUP at the start of a router. Imports as little as possible."""

from __future__ import annotations

import signal


def ignore_hangup() -> None:
    """Ignore SIGHUP until the router has been imported.

    The default ends the process, and the import takes 0.3 s, or longer on a
    share of a core. No change is lost: the settings are read after it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
