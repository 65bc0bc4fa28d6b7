"""Router on the users' platform, from its settings to its end."""

from __future__ import annotations

import asyncio
import gc
from pathlib import Path
import signal
import sys

from ..node import DecisionLog
from ..node import Node
from ..platform import JsonPlatformCodec
from ..platform import PlatformLog
from ..platform import SettingsError
from ..platform import load_settings

EXIT_INVALID_SETTINGS = 2
# Net allocations of container objects that trigger a collection of the
# youngest generation; a request allocates a few hundred.
GC_THRESHOLD = 20_000


async def _serve(path: Path) -> None:
    settings = load_settings(path)
    decisions = DecisionLog(settings.node_id)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
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
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await node.run_until(stop)


def run(path: Path) -> None:
    """Run a router until SIGTERM.

    Parameters
    ----------
    path : Path
        Settings file.
    """
    try:
        asyncio.run(_serve(path))
    except SettingsError as error:
        sys.stderr.write(f'invalid settings: {error}\n')
        raise SystemExit(EXIT_INVALID_SETTINGS) from None
