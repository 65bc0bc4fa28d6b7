"""Services that end a response while they are being sent the request.

Real sockets, as the end depends on what the service has acknowledged.
"""

import asyncio

import pytest

from basilpond.core import Attempt
from basilpond.core import AttemptKind
from basilpond.http1 import _early_end
from basilpond.http1.tests.early_servers import HEADS
from basilpond.http1.tests.early_servers import HOST
from basilpond.http1.tests.early_servers import SIZES
from basilpond.http1.tests.early_servers import TIMEOUT_S
from basilpond.http1.tests.early_servers import CloseAfterRead
from basilpond.http1.tests.early_servers import ReadBeforeEnd
from basilpond.http1.tests.early_servers import ResetAfterEnd
from basilpond.http1.tests.early_servers import ResetAfterRead
from basilpond.settings import LimitsSection
from basilpond.tasks.endpoints import ATTEMPT_ID_HEADER
from basilpond.tasks.endpoints import EndpointClient
from basilpond.tasks.endpoints import ServiceExchange
from basilpond.tasks.endpoints import UpstreamRequest

LIMITS = LimitsSection()


async def call(server, size):
    """Return the result of an upload to a server."""
    listener = await asyncio.start_server(server.serve, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    client = EndpointClient(LIMITS)
    await client.open()
    try:
        result = Attempt(AttemptKind.FAILED, 'e')
        request = UpstreamRequest(
            f'http://{HOST}:{port}/',
            'POST',
            bytes(size),
            {ATTEMPT_ID_HEADER: '7'},
        )
        async with asyncio.timeout(TIMEOUT_S):
            await client.run(request, ServiceExchange(LIMITS), result)
    finally:
        await client.close()
        listener.close()
    return result


@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
@pytest.mark.parametrize('server_type', [ResetAfterEnd, ResetAfterRead])
@pytest.mark.parametrize('size', SIZES)
async def test_reset_before_the_request_was_read_is_no_end(
    size, server_type, head
):
    """Guards against parts of a body that look complete."""
    server = server_type(head, size)
    calling = asyncio.create_task(call(server, size))
    await server.answered.wait()
    # Long enough for the end of the sending side to be read.
    await asyncio.wait([calling], timeout=0.1)
    server.may_end.set()
    result = await calling
    assert result.kind is AttemptKind.FAILED
    assert result.terminal == b''


@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
@pytest.mark.parametrize('server_type', [CloseAfterRead, ReadBeforeEnd])
@pytest.mark.parametrize('size', SIZES)
async def test_end_of_a_request_that_is_read_completes(
    size, server_type, head
):
    """Guards against sound services that answer before they have read."""
    server = server_type(head, size)
    result = await call(server, size)
    assert (result.kind, result.terminal) == (AttemptKind.COMPLETE, b'part')
    assert server.received_bytes == size


@pytest.mark.parametrize('size', [0, 50_000])
async def test_end_of_an_ordinary_request_is_not_held_back(monkeypatch, size):
    """Guards against a delay of ordinary services that send no length."""
    monkeypatch.setattr(_early_end, 'RESET_WAIT_S', float('inf'))
    result = await call(ReadBeforeEnd(HEADS['no length'], size), size)
    assert (result.kind, result.terminal) == (AttemptKind.COMPLETE, b'part')
