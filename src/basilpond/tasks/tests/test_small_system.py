import time

from basilpond.tasks.tests.small_system import chat
from basilpond.tasks.tests.small_system import running_system


async def test_small_system_serves_a_chat():
    """Guards against a slow start, which slows all tests that use it."""
    start_s = time.process_time()
    async with running_system(2) as system:
        for router in range(2):
            status, headers, body = await system.call(
                'POST', '/v1/chat/completions', json=chat(), router=router
            )
            assert (status, headers['Basilpond-Outcome']) == (200, 'complete')
            assert b'choices' in body
    # Processor time, because the machines that run the tests may be busy.
    assert time.process_time() - start_s < 2
