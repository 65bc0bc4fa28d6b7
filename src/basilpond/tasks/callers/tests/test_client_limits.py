import asyncio

from aiohttp import web
from aiohttp.base_protocol import BaseProtocol
from aiohttp.streams import StreamReader
import pytest

from basilpond.http1 import DescriptorBudget
from basilpond.http1 import MemoryBudget
from basilpond.http1.tests.memory_transport import MemoryTransport
from basilpond.tasks.callers._body_account import BodyAccount
from basilpond.tasks.callers._body_account import BodyTooLargeError
from basilpond.tasks.callers._body_account import MemoryShortError
from basilpond.tasks.callers._http_server import HttpServer
from basilpond_testkit.paused_clock import on_paused_clock

BUDGET_BYTES = 2_000_000
LIMIT_BYTES = 500_000


class Upload:
    """Body of which parts arrive one after the other."""

    def __init__(self, memory):
        loop = asyncio.get_running_loop()
        self.account = BodyAccount(memory)
        protocol = BaseProtocol(loop)
        MemoryTransport(protocol)
        self.content = StreamReader(protocol, 2**24, loop=loop)
        self.task = asyncio.create_task(
            self.account.read(self.content, LIMIT_BYTES, 60.0)
        )

    async def send(self, size):
        self.content.feed_data(b'a' * size)
        await asyncio.sleep(0.01)


@on_paused_clock
async def test_stalled_uploads_make_room_for_others():
    """Guards against uploads that stop short and use up the memory."""
    memory = MemoryBudget(BUDGET_BYTES)
    stalled = [Upload(memory) for _ in range(10)]
    for upload in stalled:
        await upload.send(400_000)
        assert memory.held_bytes <= BUDGET_BYTES
    refused = [upload for upload in stalled if upload.task.done()]
    assert refused
    for upload in refused:
        assert isinstance(upload.task.exception(), MemoryShortError)
    ordinary = Upload(memory)
    await ordinary.send(2_000)
    ordinary.content.feed_eof()
    assert len(await ordinary.task) == 2_000
    for upload in (*stalled, ordinary):
        upload.account.close()
        upload.task.cancel()
    assert memory.held_bytes == 0


@on_paused_clock
async def test_upload_is_limited_alone():
    """Guards against a budget in place of the limit on one body."""
    upload = Upload(MemoryBudget(BUDGET_BYTES))
    await upload.send(LIMIT_BYTES + 1)
    with pytest.raises(BodyTooLargeError):
        await upload.task


async def test_oldest_idle_connection_makes_room():
    """Guards against a process without descriptors."""

    async def handle(request):
        await request.read()
        return web.Response(text='done')

    server = HttpServer(
        handle, lambda status: web.Response(), 1_000, DescriptorBudget(4)
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0][:2]
    opened = []
    try:
        busy = await asyncio.open_connection(host, port)
        opened.append(busy)
        busy[1].write(
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n'
        )
        await asyncio.sleep(0.05)
        for _ in range(4):
            opened.append(await asyncio.open_connection(host, port))
            await asyncio.sleep(0.05)
        # The oldest idle one was closed, and the busy one is answered.
        assert await asyncio.wait_for(opened[1][0].read(), 5.0) == b''
        busy[1].write(b'ok')
        line = await asyncio.wait_for(busy[0].readline(), 5.0)
        assert line.startswith(b'HTTP/1.1 200 ')
        assert server.descriptors.open == 4
    finally:
        for _, writer in opened:
            writer.close()
        await runner.cleanup()
