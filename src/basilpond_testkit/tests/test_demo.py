import asyncio
import os
import signal

import pytest

from basilpond_testkit import _fleet
from basilpond_testkit import demo


class FleetStandIn:
    """A fleet that never gets ready."""

    def __init__(self, folder, session):
        self.starting = asyncio.Event()
        self.is_stopped = False
        fleets.append(self)

    async def start(self):
        self.starting.set()
        await asyncio.sleep(60)

    async def stop(self):
        self.is_stopped = True


fleets = []


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
async def test_signal_ends_a_demo_and_its_processes(
    monkeypatch, tmp_path, number
):
    """Guards against routers that outlive the terminal of a demo."""
    monkeypatch.setattr(_fleet, 'Fleet', FleetStandIn)
    fleets.clear()
    # A demo without a handler must not end the test run.
    previous = signal.signal(number, signal.SIG_IGN)
    try:
        task = asyncio.create_task(demo._run(tmp_path))
        while not fleets:
            await asyncio.sleep(0)
        await fleets[0].starting.wait()
        os.kill(os.getpid(), number)
        done, _ = await asyncio.wait([task], timeout=10)
        assert done and task.cancelled()
        assert fleets[0].is_stopped
    finally:
        asyncio.get_running_loop().remove_signal_handler(number)
        signal.signal(number, previous)
