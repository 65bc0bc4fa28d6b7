import asyncio
import types

from basilpond.core import CrashCounter
from basilpond.core import RefusalError
from basilpond.core import ResultCode
from basilpond.core import RouteQuery
from basilpond.settings import LimitsSection
from basilpond.tasks.endpoints import _dispatcher
from basilpond_testkit.paused_clock import on_paused_clock


class FullTable:
    """Endpoint table in which all endpoints are at their limit."""

    def can_serve(self, query, now_s):
        return True

    def choose(self, query, now_s):
        return None


def call(organisation):
    return types.SimpleNamespace(
        organisation=types.SimpleNamespace(id=organisation, priority=5),
        deadline_ms=None,
    )


@on_paused_clock
async def test_queued_requests_are_refused_at_their_deadline():
    """Guards against a request that waits forever.

    A queued request that got no endpoint is put back into the queue each time
    the queue is served, and must still be refused at its deadline.
    """
    dispatcher = _dispatcher.Dispatcher(
        LimitsSection(queue_timeout_ms=1_000),
        FullTable(),
        CrashCounter(),
        None,
    )
    query = RouteQuery('org', model='chat')
    waits = [
        asyncio.ensure_future(dispatcher.choose_endpoint(call('org'), query))
        for _ in range(30)
    ]
    for _ in range(15):
        await asyncio.sleep(0.1)
        dispatcher.serve_queue()
    done, pending = await asyncio.wait(waits, timeout=5)
    assert not pending
    for wait in done:
        error = wait.exception()
        assert isinstance(error, RefusalError)
        assert error.code is ResultCode.DEADLINE_UNREACHABLE
