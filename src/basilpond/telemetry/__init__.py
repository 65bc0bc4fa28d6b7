"""Logs, metrics and traces."""

from ._logs import JsonLinesFormatter
from ._logs import install_json_logs
from ._logs import log_event
from ._logs import redact
from ._metrics import METRICS
from ._metrics import Metrics
from ._metrics import NullMetrics
from ._metrics import StatsdMetrics
from ._metrics import open_metrics
from ._traces import attempt_headers
from ._traces import extract_context
from ._traces import hop_span
from ._traces import inject_context
from ._traces import start_traces

__all__ = [
    'JsonLinesFormatter',
    'METRICS',
    'Metrics',
    'NullMetrics',
    'StatsdMetrics',
    'attempt_headers',
    'extract_context',
    'hop_span',
    'inject_context',
    'install_json_logs',
    'log_event',
    'open_metrics',
    'redact',
    'start_traces',
]
