import asyncio
import time

import pytest

from basilpond_testkit import paused_clock


@paused_clock.on_paused_clock
async def test_timers_fire_in_order_without_waiting():
    """Guards against a clock that stands still or waits for real."""
    started_s = time.monotonic()
    loop = asyncio.get_running_loop()
    fired = []

    async def sleeper(delay_s):
        await asyncio.sleep(delay_s)
        fired.append((delay_s, loop.time()))

    await asyncio.gather(*(sleeper(d) for d in (3600.0, 0.25, 86400.0)))
    assert [d for d, _ in fired] == [0.25, 3600.0, 86400.0]
    for delay_s, now_s in fired:
        assert now_s == pytest.approx(delay_s, abs=1e-6)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(asyncio.Event().wait(), 1000)
    assert time.monotonic() - started_s < 5


def test_wait_without_timer_is_an_error():
    """Guards against a test that hangs forever on a lost wake-up."""

    async def stuck():
        await asyncio.Event().wait()

    with pytest.raises(paused_clock.NothingScheduledError):
        paused_clock.run(stuck())
