import io
import json
import logging as standard_logging
import socket
import subprocess
import sys

from absl import logging
import pytest

from basilpond import telemetry

TRACEPARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


@pytest.fixture
def lines():
    """Install JSON logs; yield a function that returns the logged lines."""
    root = standard_logging.getLogger()
    absl_logger = logging.get_absl_logger()
    before = (root.handlers, absl_logger.handlers, absl_logger.propagate)
    verbosity = logging.get_verbosity()
    stream = io.StringIO()
    telemetry.install_json_logs(stream)
    yield lambda: [json.loads(x) for x in stream.getvalue().splitlines()]
    root.handlers, absl_logger.handlers, absl_logger.propagate = before
    logging.set_verbosity(verbosity)


def test_event_is_one_json_line_with_fields(lines):
    telemetry.log_event(
        logging.WARNING,
        '100% refused\nrequest',
        request_id='q1',
        organisation='acme',
        code=2001,
        time='not this',
        cause=ValueError('x'),
    )
    logging.info('plain %s', 1)
    logging.debug('not written')
    first, second = lines()
    assert first.pop('time').endswith('+00:00')
    assert first == {
        'level': 'warning',
        'message': '100% refused\nrequest',
        'request_id': 'q1',
        'organisation': 'acme',
        'code': 2001,
        'cause': 'x',
    }
    assert second['message'] == 'plain 1'


def test_keys_never_reach_the_log(lines):
    """Guards against keys leaking through messages, fields and tracebacks."""
    logging.info('got %s', {'Authorization': 'Bearer s3cret-1'})
    telemetry.log_event(
        logging.INFO,
        'bearer s3cret-2',
        authorization='s3cret-3',
        api_key='s3cret-4',
        headers={'AUTHORIZATION': 's3cret-5', 'x': ['Bearer s3cret-6']},
        raw=b'Bearer s3cret-7',
    )
    try:
        raise ValueError('Bearer s3cret-8')
    except ValueError:
        logging.exception('failed')
    standard_logging.getLogger('aiohttp').warning('Bearer  s3cret-9')
    text = json.dumps(lines())
    assert len(lines()) == 4
    assert 's3cret' not in text


def test_statsd_sink_sends_datagrams():
    with socket.socket(type=socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.settimeout(2)
        metrics = telemetry.open_metrics(*server.getsockname())
        metrics.count('requests.accepted', 2)
        metrics.gauge('members.alive', 7)
        metrics.timing('log.append_ms', 1.5)
        received = [server.recv(200).decode() for _ in range(3)]
    assert received == [
        'basilpond.requests.accepted:2|c',
        'basilpond.members.alive:7|g',
        'basilpond.log.append_ms:1.500000|ms',
    ]


def test_metrics_without_an_address_still_check_names():
    """Guards against misspelt metric names that fail only in production."""
    metrics = telemetry.open_metrics(None)
    metrics.count('requests.accepted')
    with pytest.raises(ValueError, match='METRICS'):
        metrics.count('requests.acepted')
    with pytest.raises(ValueError, match='gauge'):
        metrics.gauge('requests.accepted', 1)


def test_context_passes_through_when_traces_are_off():
    parent = telemetry.extract_context({'Traceparent': TRACEPARENT})
    headers = {}
    with telemetry.hop_span('relay', parent, endpoint='e1'):
        telemetry.inject_context(headers)
    assert headers['traceparent'] == TRACEPARENT
    headers = {}
    malformed = telemetry.extract_context({'traceparent': '00-zz-1'})
    telemetry.inject_context(headers, malformed)
    assert headers == {}


# A process has a single tracer provider, so this runs in a subprocess.
TRACING_SCRIPT = f"""
import io, json, sys
from basilpond import telemetry
assert 'opentelemetry.sdk' not in sys.modules
stream = io.StringIO()
stop = telemetry.start_traces('router', stream)
parent = telemetry.extract_context({{'traceparent': '{TRACEPARENT}'}})
headers = {{}}
with telemetry.hop_span('gateway', parent):
    with telemetry.hop_span('relay', endpoint='e1'):
        telemetry.inject_context(headers)
stop()
spans = [json.loads(line) for line in stream.getvalue().splitlines()]
print(json.dumps([headers, spans]))
"""


def test_spans_are_json_lines_in_the_callers_trace():
    completed = subprocess.run(
        [sys.executable, '-c', TRACING_SCRIPT],
        capture_output=True,
        text=True,
        check=True,
        env={'PYTHONPATH': ':'.join(sys.path)},
    )
    headers, (relay, gateway) = json.loads(completed.stdout)
    assert headers['traceparent'].split('-')[1] == TRACEPARENT.split('-')[1]
    assert gateway['parent_id'] == '0xb7ad6b7169203331'
    assert relay['parent_id'] == gateway['context']['span_id']
    assert relay['attributes'] == {'endpoint': 'e1'}
    assert headers['traceparent'].split('-')[2] in relay['context']['span_id']
