"""Starts a router from a checkout."""

# The default of SIGHUP ends the process. The settings are read later, so a
# change that it announces is not lost. `signal` takes as long to import as the
# interpreter takes to start; `_signal`, on which it is based, is built in.
import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

from pathlib import Path  # noqa: E402
import sys  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from basilpond.programs.platform_router import main  # noqa: E402

main()
