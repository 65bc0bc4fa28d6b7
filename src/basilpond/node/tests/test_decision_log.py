import json
import os
import time

import pytest

from basilpond.node import DecisionLog
from basilpond.node import _decision_log


@pytest.fixture
def clock(monkeypatch):
    """Stop the second in which lines are counted."""
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


def test_failures_outlast_successes(clock, pipe):
    """Guards against a burst of answers that hides a refusal."""
    reader, writer = pipe
    log = DecisionLog('n', fd=writer)
    for _ in range(1_000):
        log.event('answered', routine=True)
    log.event('refused', request=b'7', reason='budget exhausted')
    log.close()
    events = [line['event'] for line in read_lines(reader)]
    assert events.count('answered') == _decision_log._ROUTINE_LINES_PER_S
    assert events[-1] == 'refused'


def test_lines_left_out_are_counted(clock, pipe):
    """Guards against a log that looks complete and is not."""
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


def test_slow_reader_delays_nothing(clock, pipe):
    """Guards against requests that wait for whoever reads the log."""
    _, writer = pipe
    log = DecisionLog('n', fd=writer)
    slowest_s = 0.0
    for second in range(60):
        clock[0] = 1000.0 + second
        started_s = time.perf_counter()
        for _ in range(_decision_log.LINES_PER_S):
            log.event('refused', target='x' * 200)
        slowest_s = max(slowest_s, time.perf_counter() - started_s)
    # A pipe takes 64 KB; 60 seconds of lines have 6 MB.
    assert log.dropped_total > 10_000
    assert slowest_s < 0.5


def test_closed_reader_ends_nothing(clock, pipe):
    """Guards against a router that dies with its log collector."""
    reader, writer = pipe
    os.close(reader)
    log = DecisionLog('n', fd=writer)
    for _ in range(100):
        log.event('refused')
    log.close()
    assert not log._thread.is_alive()
