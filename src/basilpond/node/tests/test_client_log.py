import asyncio

from basilpond.node._client_log import LINE_INTERVAL_S
from basilpond.node._client_log import ClientLog
from basilpond.node._metrics import NodeMetrics
from basilpond_testkit.paused_clock import on_paused_clock


class Lines:
    """Stands in for the decision log."""

    def __init__(self):
        self.written = []

    def event(self, name, **fields):
        self.written.append((name, fields))


@on_paused_clock
async def test_crowd_writes_one_line_a_second_and_limit():
    """Guards against a crowd whose lines displace all others."""
    lines = Lines()
    metrics = NodeMetrics()
    log = ClientLog(metrics, lines)
    for _ in range(100):
        log.record_limited('memory short', '10.0.0.1')
        log.record_limited('too many connections', '10.0.0.2')
        log.record_malformed(431, 'header too large')
    assert len(lines.written) == 3
    await asyncio.sleep(LINE_INTERVAL_S)
    log.record_limited('memory short', '10.0.0.3')
    assert lines.written[-1] == (
        'client_limited',
        {'address': '10.0.0.3', 'way': 'memory short', 'not_written': 99},
    )
    total = b'basilpond_limited_clients_total{way="memory short"} 101.0'
    assert total in metrics.render()
