"""Signals while a router ends."""

import asyncio
import contextlib
import os
import signal

import pytest

from . import router_process
from .router_process import RouterProcess

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


@pytest.fixture
async def router(tmp_path):
    router = RouterProcess(tmp_path)
    router.place_settings(router.settings(grace_s=2))
    yield router
    await router.end()


@pytest.mark.parametrize('number', SIGNALS)
async def test_signals_after_the_end_of_serving_do_not_change_the_exit_code(
    router, number
):
    """Guards against planned stops that look like crashes."""
    router.hold_exit('msgspec')
    await router.start(router_process.deploy_command())
    await router.wait_event('started')
    router.process.send_signal(signal.SIGTERM)
    await router.wait_held()
    router.process.send_signal(number)
    router.release()
    assert await router.wait_exit() == 0


async def test_signals_in_series_during_a_stop_end_it_with_code_0(router):
    """Guards against moments of a stop in which a second signal kills."""
    await router.start(router_process.deploy_command())
    await router.wait_event('started')
    assert await send_signals_until_the_end(router) == 0


async def test_log_that_nobody_reads_does_not_change_the_exit_code(router):
    """Guards against signals that the thread of the log receives."""
    reader, writer = os.pipe()
    try:
        os.set_blocking(writer, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writer, bytes(65_536))
        os.set_blocking(writer, True)
        await router.start(router_process.deploy_command(), stdout=writer)
        await router.wait_for(router.accepts_callers)
        assert await send_signals_until_the_end(router) == 0
    finally:
        os.close(reader)
        os.close(writer)


async def send_signals_until_the_end(router):
    """Stop a router with signals in series; return the exit code."""
    router.process.send_signal(signal.SIGTERM)
    exited = asyncio.create_task(router.wait_exit())
    while not exited.done():
        for number in SIGNALS:
            if router.process.returncode is None:
                router.process.send_signal(number)
        await asyncio.sleep(0.001)
    return exited.result()
