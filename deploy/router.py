"""Starts a router from a checkout."""

from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from basilpond.programs.platform_router import main  # noqa: E402

main()
