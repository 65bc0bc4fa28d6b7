"""Metrics, reported to a statsd server."""

from __future__ import annotations

from typing import Protocol

import statsd

# Name, kind and description of each metric.
METRICS: dict[str, tuple[str, str]] = {
    'requests.accepted': ('counter', 'requests with a valid key and path'),
    'requests.complete': ('counter', 'requests with a complete response'),
    'requests.not_run': ('counter', 'refusals of requests that did not run'),
    'requests.failed': ('counter', 'requests that ran and failed'),
    'requests.unknown': ('counter', 'requests with an unknown outcome'),
    'requests.memory_short': (
        'counter',
        'uploads refused because the memory budget was short',
    ),
    'requests.in_progress': ('gauge', 'requests being served'),
    'requests.first_token_ms': ('timing', 'time to the first token'),
    'requests.retries': ('counter', 'attempts after the first one'),
    'tokens.billed': ('counter', 'budget tokens on committed bills'),
    'tokens.overspend': ('gauge', 'budget tokens spent above budgets'),
    'endpoints.ejected': ('gauge', 'endpoints out of selection'),
    'endpoints.quarantined': (
        'gauge',
        'endpoints with reduced traffic',
    ),
    'log.append_ms': ('timing', 'time until an append was acknowledged'),
    'log.append_failures': ('counter', 'appends without acknowledgement'),
    'log.offset': ('gauge', 'last folded offset of the ledger'),
    'manifest.version': ('gauge', 'manifest version in force'),
    'members.alive': ('gauge', 'other routers that are alive'),
    'members.lost': ('counter', 'other routers that died'),
    'peers.calls': ('counter', 'calls to other routers'),
    'peers.call_failures': ('counter', 'calls without a usable reply'),
    'peers.malformed': ('counter', 'malformed datagrams and frames'),
}


class Metrics(Protocol):
    """Sink for the metrics listed in `METRICS`."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        ...


class NullMetrics:
    """Sink that discards all values but validates metric names."""

    def count(self, name: str, value: int = 1) -> None:
        """Check the name."""
        _check_metric(name, 'counter')

    def gauge(self, name: str, value: float) -> None:
        """Check the name."""
        _check_metric(name, 'gauge')

    def timing(self, name: str, value_ms: float) -> None:
        """Check the name."""
        _check_metric(name, 'timing')


class StatsdMetrics:
    """Sink that sends UDP datagrams to a statsd server.

    Parameters
    ----------
    host : str
    port : int
    prefix : str
    """

    def __init__(
        self, host: str, port: int, prefix: str = 'basilpond'
    ) -> None:
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        _check_metric(name, 'counter')
        self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        _check_metric(name, 'gauge')
        self._client.gauge(name, value)

    def timing(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        _check_metric(name, 'timing')
        self._client.timing(name, value_ms)


def open_metrics(
    host: str | None, port: int = 8125, prefix: str = 'basilpond'
) -> Metrics:
    """Return a statsd sink, or a no-op sink if no host is configured."""
    if not host:
        return NullMetrics()
    return StatsdMetrics(host, port, prefix)


def _check_metric(name: str, kind: str) -> None:
    known = METRICS.get(name)
    if known is None or known[0] != kind:
        raise ValueError(f'name must be a {kind} in METRICS; got {name!r}')
