import asyncio

import pytest

from basilpond.core._codes import LogRateLimitedError
from basilpond.core._codes import LogUnavailableError
from basilpond_testkit import fake_log
from basilpond_testkit.paused_clock import on_paused_clock


@on_paused_clock
async def test_read_waits_for_the_first_entry():
    """Guards against readers that poll or miss an entry while they wait."""
    log = fake_log.FakeLog()
    link = log.connect()
    page = await link.read('s', 0, limit=10, wait_ms=100)
    assert page.entries == []
    read = asyncio.create_task(link.read('s', 0, limit=1, wait_ms=1000))
    await asyncio.sleep(0.5)
    assert await link.append('s', b'a') == 0
    assert await link.append('s', b'b') == 1
    page = await read
    assert [(e.offset, e.payload) for e in page.entries] == [(0, 'a')]
    assert page.entries[0].time_ms == fake_log.START_TIME_MS + 604


@on_paused_clock
async def test_unclear_appends_may_have_taken_effect():
    """Guards against a fake that is kinder than a log whose replies vanish."""
    log = fake_log.FakeLog()
    link, other = log.connect(timeout_s=1), log.connect()
    link.faults.lose_acknowledgements = 1
    with pytest.raises(LogUnavailableError):
        await link.append('s', b'written')
    link.faults.lose_appends = 1
    with pytest.raises(LogUnavailableError):
        await link.append('s', b'lost')
    link.faults.append_delay_s = 10
    with pytest.raises(LogUnavailableError):
        await link.append('s', b'late')
    assert [e.payload for e in log.entries('s')] == ['written']
    await asyncio.sleep(10)
    assert [e.payload for e in log.entries('s')] == ['written', 'late']
    link.faults.down = True
    with pytest.raises(LogUnavailableError):
        await link.read('s', 0, limit=1, wait_ms=10)
    assert await other.append('s', b'other') == 2


@on_paused_clock
async def test_rate_limit_and_retention():
    """Guards against tests that never meet a refused append or a gap."""
    log = fake_log.FakeLog(rate_limit_per_s=3, retention_entries=2)
    link = log.connect()
    for _ in range(3):
        await link.append('s', b'x')
    with pytest.raises(LogRateLimitedError):
        await link.append('s', b'x')
    page = await link.read('s', 0, limit=10, wait_ms=0)
    assert (page.earliest_offset, page.next_offset) == (1, 3)
    assert [e.offset for e in page.entries] == [1, 2]
    await asyncio.sleep(1)
    assert await link.append('s', b'x') == 3
