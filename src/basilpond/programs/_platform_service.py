"""Router on the users' platform, from its settings to its end."""

from __future__ import annotations

import asyncio
from pathlib import Path
import signal

from ..node import DecisionLog
from ..node import Node
from ..node import NodeSettings
from ..platform import JsonPlatformCodec
from ..platform import PlatformLog
from ..platform import SettingsError
from ..platform import load_settings
from . import _process

EXIT_INVALID_SETTINGS = 2
# Time for which a start waits for settings that are missing or invalid, since
# the platform may be placing them. It places a small file.
SETTINGS_WAIT_S = 2.0
_SETTINGS_POLL_INTERVAL_S = 0.05


async def _wait_for_settings(path: Path) -> NodeSettings:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + SETTINGS_WAIT_S
    reason = ''
    while True:
        try:
            return load_settings(path)
        except SettingsError as error:
            if loop.time() >= end_s:
                raise
            if reason != str(error):
                reason = str(error)
                _process.write_error(f'settings are not usable yet: {reason}')
        await asyncio.sleep(_SETTINGS_POLL_INTERVAL_S)


async def _serve(path: Path) -> None:
    settings = await _wait_for_settings(path)
    decisions = DecisionLog(settings.node_id)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in _process.STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    node = Node(
        settings,
        JsonPlatformCodec(),
        PlatformLog(settings.store_address),
        decisions,
    )
    loop.add_signal_handler(signal.SIGHUP, node.request_reload)
    await node.start()
    node.watch_settings(path, load_settings)
    _process.tune_garbage_collector()
    await node.run_until(stop)


def run(path: Path) -> None:
    """Run a router until SIGTERM.

    Parameters
    ----------
    path : Path
        Settings file.
    """
    _process.open_standard_streams()
    try:
        _process.run(_serve(path))
    except SettingsError as error:
        _process.write_error(f'invalid settings: {error}')
        raise SystemExit(EXIT_INVALID_SETTINGS) from None
