import asyncio
import os
import signal

import pytest

from basilpond_testkit import _fleet
from basilpond_testkit import demo


class FleetStandIn:
    """A fleet that never gets ready."""

    def __init__(self):
        self.is_starting = asyncio.Event()
        self.is_stopped = False

    async def start(self):
        self.is_starting.set()
        await asyncio.Event().wait()

    async def stop(self):
        self.is_stopped = True


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
async def test_signal_ends_a_demo_and_its_processes(
    monkeypatch, tmp_path, number
):
    """Guards against routers that outlive the terminal of a demo."""
    fleet = FleetStandIn()
    monkeypatch.setattr(_fleet, 'Fleet', lambda folder, session: fleet)
    # A demo without a handler must not end the test run.
    previous = signal.signal(number, signal.SIG_IGN)
    try:
        task = asyncio.create_task(demo._run(tmp_path))
        await fleet.is_starting.wait()
        os.kill(os.getpid(), number)
        done, _ = await asyncio.wait([task], timeout=10)
        assert done and task.cancelled()
        assert fleet.is_stopped
    finally:
        asyncio.get_running_loop().remove_signal_handler(number)
        signal.signal(number, previous)
