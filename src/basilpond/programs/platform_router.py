"""``basilpond-platform-router``: one router on the users' platform."""

from __future__ import annotations

import os
from pathlib import Path

from ._hangup import ignore_hangup

SETTINGS_VARIABLE = 'BASILPOND_SETTINGS'


def main() -> None:
    """Read the settings and serve until SIGTERM."""
    ignore_hangup()
    from . import _platform_service

    _platform_service.run(Path(os.environ.get(SETTINGS_VARIABLE, '')))


if __name__ == '__main__':
    main()
