import asyncio
import types

import pytest

from basilpond.core import Attempt
from basilpond.core import AttemptKind
from basilpond.settings import LimitsSection
from basilpond.tasks.callers import _chat_run


class Budget:
    """Stand-in that records released holds and bills."""

    def __init__(self):
        self.released = []
        self.bills = []

    async def hold(self, organisation, tokens, *, timeout_s):
        return object()

    def release(self, hold):
        self.released.append(hold)

    async def charge(self, hold, draft, *, timeout_s):
        self.bills.append((hold, draft))


class Runner(_chat_run.ChatRunner):
    """Runner with a fixed cost, for attempts whose caller disconnects."""

    def _query(self, run):
        return None

    def _cost(self, run, result):
        return 7


@pytest.mark.parametrize('cancelled', [False, True])
async def test_abandoned_response_is_billed(monkeypatch, cancelled):
    """Guards against output that is relayed but not billed.

    The caller disconnects during the response, which either ends the attempt
    or cancels the task that serves the request.
    """
    started = asyncio.Event()

    class Attempts:
        def __init__(self, *args, **options):
            self.result = Attempt(AttemptKind.CALLER_GONE, 'e1')
            self.result.relayed = True

        async def run(self, query, attempt):
            started.set()
            if cancelled:
                await asyncio.get_running_loop().create_future()
            return self.result

    monkeypatch.setattr(_chat_run, 'RequestAttempts', Attempts)
    budget = Budget()
    log = types.SimpleNamespace(record=lambda *args: None)
    runner = Runner(LimitsSection(), budget, None, None, log, lambda: 0.0)
    call = types.SimpleNamespace(
        organisation=types.SimpleNamespace(id='o1'),
        request_id='r1',
        body_digest='d',
        keyed=False,
    )
    bound = types.SimpleNamespace(cost_tokens=100)
    run = _chat_run.ChatRun(call, None, None, bound, None)
    task = asyncio.ensure_future(runner.run(run))
    await started.wait()
    if cancelled:
        task.cancel()
    await asyncio.wait([task])
    await runner.wait_bills()
    assert [draft.tokens for _, draft in budget.bills] == [7]
    assert budget.released == []
