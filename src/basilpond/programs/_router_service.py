"""Router of its own manifest, from its settings to its end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
from pathlib import Path

from absl import logging

from ..settings import EXIT_INVALID_SETTINGS
from ..settings import RouterSettings
from ..settings import load_settings_or_exit
from ..tasks import Router
from ..telemetry import install_json_logs
from ..telemetry import start_traces
from . import _process

LOG_LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


def _start_traces(router_id: str) -> Callable[[], None]:
    try:
        return start_traces(router_id)
    except ImportError:
        _process.write_error(
            '6003 settings_invalid: telemetry.traces: value True; allowed: '
            'false, unless the extra basilpond[traces] is installed'
        )
        raise SystemExit(EXIT_INVALID_SETTINGS) from None


async def _serve(settings: RouterSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _process.STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    router = Router(settings)
    await router.start()
    _process.tune_garbage_collector()
    await router.run_until(stop)


def run(*, settings: Path) -> None:
    """Run a router until SIGTERM, then stop gracefully.

    Parameters
    ----------
    settings : Path
        TOML settings file.
    """
    _process.open_standard_streams()
    loaded = load_settings_or_exit(settings, RouterSettings)
    install_json_logs(level=LOG_LEVELS[loaded.telemetry.log_level])
    with contextlib.ExitStack() as stack:
        if loaded.telemetry.traces:
            stack.callback(_start_traces(loaded.router.id))
        _process.run(_serve(loaded))
