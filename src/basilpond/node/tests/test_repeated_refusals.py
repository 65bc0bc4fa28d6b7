"""Endpoints that send an earlier refusal again on a kept connection."""

import asyncio
import contextlib

import pytest

from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import route
from basilpond.node.tests.platform_world import world
from basilpond_testkit.platform_stand_in import HOST


class RepeatingServer:
    """Refuses the first request, and sends the refusal again for the next.

    Parameters
    ----------
    with_id : bool
        Whether the refusal bears the id of its request.
    """

    def __init__(self, *, with_id):
        self.with_id = with_id
        self.arrived = []
        self.runs = []
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        refusal = b''
        with (
            contextlib.closing(writer),
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = dict(
                    line.lower().split(b': ', 1)
                    for line in head.split(b'\r\n')[1:-2]
                )
                await reader.readexactly(int(fields.get(b'content-length', 0)))
                request_id = fields[b'x-request-id']
                self.arrived.append(request_id)
                echo = b'X-Request-Id: %s\r\n' % request_id
                if len(self.arrived) == 1:
                    refusal = (
                        b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n%s'
                        b'Content-Length: 0\r\n\r\n'
                        % (echo if self.with_id else b'')
                    )
                    writer.write(refusal)
                    continue
                self.runs.append(request_id)
                writer.write(refusal)
                writer.write(
                    b'HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\n%s'
                    b'Content-Length: 2\r\n\r\nok' % echo
                )


@contextlib.asynccontextmanager
async def repeating_world(*, with_id, max_attempts):
    server = RepeatingServer(with_id=with_id)
    port = await server.start()
    config = configuration(
        routes=[route('claim', 'unsafe', 'app', max_attempts=max_attempts)]
    )
    try:
        async with world(config, apps=1) as system:
            entry = system.servers['app-0'].entry(
                address=f'{HOST}:{port}', seq=2
            )
            system.log.put('keyed.servers', 'app-0', entry)
            directory = system.nodes[0].directory
            await system.until(
                lambda: directory.find('app-0').pool.port == port
            )
            yield system, server
    finally:
        await server.stop()


@pytest.mark.parametrize('with_id', [False, True])
async def test_repeated_refusal_is_not_taken_for_the_systems_second_send(
    with_id,
):
    """Guards against 'not run' (REFUSED) for a request that was run."""
    async with repeating_world(with_id=with_id, max_attempts=2) as (
        system,
        server,
    ):
        reply = await system.call('/claim/1', method='POST', body=b'x')
        assert len(server.runs) == 1
        assert reply.status == 200


@pytest.mark.parametrize('with_id', [False, True])
async def test_repeated_refusal_is_not_taken_for_the_next_request(with_id):
    """Guards against 'not run' (REFUSED) for the request of another caller."""
    async with repeating_world(with_id=with_id, max_attempts=1) as (
        system,
        server,
    ):
        # Refuses the request of the first caller, who gets 503 or a success.
        await system.call('/claim/1', method='POST', body=b'x')
        await system.call('/claim/2', method='POST', body=b'x')
        reply = await system.call('/claim/3', method='POST', body=b'x')
        assert reply.status in (200, 502)
        assert len(server.runs) == len(set(server.runs))
