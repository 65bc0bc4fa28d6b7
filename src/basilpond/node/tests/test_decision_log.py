import json
import os
import time

import pytest

from basilpond.node import DecisionLog
from basilpond.node import _decision_log


@pytest.fixture
def clock(monkeypatch):
    """Freeze the clock by which lines per second are counted."""
    now = [1000.0]
    monkeypatch.setattr(_decision_log.time, 'time', lambda: now[0])
    return now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            # The test closed it.
            continue


def read_lines(reader):
    data = os.read(reader, 1_000_000)
    return [json.loads(line) for line in data.splitlines()]


def test_routine_lines_do_not_displace_failures(clock, pipe):
    """Guards against a burst of routine lines that displaces a refusal."""
    reader, writer = pipe
    log = DecisionLog('n', fd=writer)
    for _ in range(1_000):
        log.event('answered', routine=True)
    log.event('refused', request=b'7', reason='budget exhausted')
    log.close()
    events = [line['event'] for line in read_lines(reader)]
    assert events.count('answered') == _decision_log._ROUTINE_LINES_PER_S
    assert events[-1] == 'refused'


def test_dropped_lines_are_counted(clock, pipe):
    """Guards against a log with missing lines that looks complete."""
    reader, writer = pipe
    log = DecisionLog('n', fd=writer)
    for _ in range(_decision_log.LINES_PER_S + 7):
        log.event('refused')
    clock[0] += 1.0
    log.event('refused')
    log.close()
    lines = read_lines(reader)
    assert len(lines) == _decision_log.LINES_PER_S + 2
    [dropped] = [x for x in lines if x['event'] == 'log_lines_dropped']
    assert dropped['lines'] == log.dropped_total == 7


def test_slow_reader_does_not_block_the_router(clock, pipe):
    """Guards against requests that wait for a slow reader of the log."""
    _, writer = pipe
    log = DecisionLog('n', fd=writer)
    slowest_s = 0.0
    for second in range(60):
        clock[0] = 1000.0 + second
        started_s = time.perf_counter()
        for _ in range(_decision_log.LINES_PER_S):
            log.event('refused', target='x' * 200)
        slowest_s = max(slowest_s, time.perf_counter() - started_s)
    # A pipe buffers 64 KB; the lines of 60 seconds have 6 MB.
    assert log.dropped_total > 10_000
    assert slowest_s < 0.5


def test_closed_reader_does_not_stop_the_router(clock, pipe):
    """Guards against a router that terminates with its log collector."""
    reader, writer = pipe
    os.close(reader)
    log = DecisionLog('n', fd=writer)
    for _ in range(100):
        log.event('refused')
    log.close()
    assert not log._thread.is_alive()
