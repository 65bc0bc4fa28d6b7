import asyncio
import time

from basilpond_testkit.loopback_clock import on_loopback_clock

HOST = '127.0.0.1'


@on_loopback_clock
async def test_messages_precede_later_timers_on_a_busy_machine():
    """Guards against timers that fire because the test's process is slow."""

    async def echo(reader, writer):
        for _ in range(5):
            data = await reader.readexactly(1)
            # The real clock passes the timer's time.
            time.sleep(0.02)  # noqa: ASYNC251
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, HOST, 0)
    loop = asyncio.get_running_loop()
    fired = []
    loop.call_later(0.01, fired.append, True)
    reader, writer = await asyncio.open_connection(
        *server.sockets[0].getsockname()
    )
    for _ in range(5):
        writer.write(b'x')
        await reader.readexactly(1)
    assert not fired
    assert loop.time() < 0.01
    writer.close()
    server.close()
    await asyncio.sleep(0.01)
    assert fired


@on_loopback_clock
async def test_clock_does_not_wait_for_timers():
    """Guards against a clock that stands still or waits for real."""
    started_s = time.monotonic()
    loop = asyncio.get_running_loop()
    await asyncio.gather(asyncio.sleep(60.0), asyncio.sleep(30.0))
    assert 60.0 <= loop.time() < 60.1
    assert time.monotonic() - started_s < 5
