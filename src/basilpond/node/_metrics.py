"""Counters, histograms and gauges in the Prometheus text format."""

from __future__ import annotations

import prometheus_client

CONTENT_TYPE = b'text/plain; version=0.0.4; charset=utf-8'
# Buckets around the latency objectives of the sites: 0.125 s to 0.8 s for the
# first byte, 0.3 s for a pause.
_LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.125,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.2,
    2.0,
    4.0,
    8.0,
    15.0,
)


class NodeMetrics:
    """Metrics of one router."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = self._counter(
            'basilpond_requests',
            'Requests by route and status',
            'route',
            'status',
        )
        self._sends = self._counter(
            'basilpond_sends',
            'Sends to endpoints by service and result',
            'service',
            'result',
        )
        self._refusals = self._counter(
            'basilpond_refusals',
            'Refusals by status and reason',
            'status',
            'reason',
        )
        self._unanswered = self._counter(
            'basilpond_connections_unanswered',
            'Connections that ended before all of their requests were'
            ' answered, by what ended them',
            'reason',
        )
        self._limited_clients = self._counter(
            'basilpond_limited_clients',
            'Clients that met a limit on memory, connections, size or time',
            'way',
        )
        self._grants = self._counter(
            'basilpond_grants', 'Requests for tokens by result', 'result'
        )
        self._reads = self._counter(
            'basilpond_log_reads',
            'Reads of the log by topic and result',
            'topic',
            'result',
        )
        self._read_bytes = self._counter(
            'basilpond_log_read_bytes',
            'Bytes of answers to reads of the log by topic and result',
            'topic',
            'result',
        )
        self._take_ups = self._counter(
            'basilpond_take_ups',
            'Streams that callers took up again, by how the software version'
            ' that began them was found',
            'source',
        )
        self._first_byte = self._histogram(
            'basilpond_first_byte_seconds', 'Time to the first byte', 'route'
        )
        self._pause = self._histogram(
            'basilpond_longest_pause_seconds',
            'Longest pause within a stream',
            'route',
        )
        self._duration = self._histogram(
            'basilpond_request_seconds', 'Time to the last byte', 'route'
        )
        self._admission_wait = self._histogram(
            'basilpond_admission_wait_seconds',
            'Time for which less urgent prompts waited for room',
            'priority',
        )
        self._admission_refusals = self._counter(
            'basilpond_admission_refusals',
            'Prompts refused for lack of room by reason and priority',
            'reason',
            'priority',
        )
        self._gauges = {
            name: prometheus_client.Gauge(
                f'basilpond_{name}', text, registry=self._registry
            )
            for name, text in (
                ('active_requests', 'Requests in progress'),
                ('live_routers', 'Live routers, this one included'),
                ('configuration_version', 'Version in force'),
                ('endpoints', 'Endpoints that the platform lists'),
                ('leaving_endpoints', 'Listed endpoints that are leaving'),
                (
                    'evacuated_data_centres',
                    'Data centres whose endpoints get no requests',
                ),
                (
                    'cold_endpoints',
                    'Endpoints that are cold, or may be, with a limit',
                ),
                (
                    'cold_share_used',
                    'Part of what this router may send to cold endpoints that'
                    ' it has sent in the last second',
                ),
                (
                    'quiet_endpoints',
                    'Endpoints that want no requests from this router now',
                ),
                (
                    'waiting_requests',
                    'Requests that wait for the end of a quiet time',
                ),
                (
                    'admission_waiting',
                    'Prompts that wait for room at the endpoints',
                ),
                ('store_read_age_seconds', 'Age of the last read'),
                ('store_era', 'Rises when the store comes back from a copy'),
                (
                    'accounts_complete',
                    'Whether all escrow accounts of the era are known',
                ),
                (
                    'suspect_prompt_parts',
                    'Prompt parts that may have crashed endpoints',
                ),
                (
                    'unstored_streams',
                    'Streams whose versions the log does not contain yet',
                ),
                (
                    'client_memory_bytes',
                    'Accounted memory that clients make the router hold',
                ),
                ('client_memory_limit_bytes', 'Limit on it'),
                ('client_connections', 'Open connections of callers'),
                ('client_connections_limit', 'Limit on them'),
                ('limited_endpoints', 'Endpoints that name a request limit'),
                (
                    'brittle_endpoints',
                    'Endpoints that bound the requests they may reject',
                ),
                ('log_lines_dropped', 'Log lines that were not written'),
                (
                    'peer_report_interval_seconds',
                    'Time between two reports to other routers',
                ),
                (
                    'peer_sent_bytes',
                    'Bytes of datagrams sent to other routers',
                ),
                (
                    'router_lag_seconds',
                    'Time by which the event loop runs timers late',
                ),
                (
                    'link_wait_seconds',
                    'Time in which the link sends what waits on it',
                ),
                (
                    'router_delay_seconds',
                    'Expected time until the least urgent request is sent',
                ),
                ('router_full', 'Whether the router refuses for its load'),
                ('held_requests', 'Requests that wait for the link'),
                (
                    'accurate_forecast_share',
                    'Share of recent first tokens that took half to twice'
                    ' their forecast',
                ),
                (
                    'busiest_endpoint_ratio',
                    'Work of the busiest endpoint of a service by the mean,'
                    ' weighted by speed; 0 without load',
                ),
                (
                    'incoming_link_share',
                    'Share of the link that received bytes use',
                ),
                (
                    'relayed_requests',
                    'Requests to endpoints through other routers',
                ),
                (
                    'relay_connections',
                    'Connections to endpoints open for other routers',
                ),
                (
                    'router_isolated',
                    'Whether other routers reach endpoints and this one none',
                ),
                (
                    'router_out_of_rotation',
                    'Whether the ready path answers 503 for the load',
                ),
            )
        }

    def count_request(
        self,
        route: str,
        status: int,
        *,
        took_s: float,
        first_byte_s: float | None,
        pause_s: float,
    ) -> None:
        """Count a request and observe its times."""
        self._requests.labels(route, status).inc()
        self._duration.labels(route).observe(took_s)
        if first_byte_s is not None:
            self._first_byte.labels(route).observe(first_byte_s)
        if pause_s:
            self._pause.labels(route).observe(pause_s)

    def count_refusal(self, status: int, reason: str) -> None:
        """Count a refusal by the router."""
        self._refusals.labels(status, reason).inc()

    def observe_admission_wait(self, priority: int, waited_s: float) -> None:
        """Observe the wait of a prompt, whether or not it was sent then."""
        self._admission_wait.labels(priority).observe(waited_s)

    def count_admission_refusal(self, reason: str, priority: int) -> None:
        """Count a prompt that was refused for lack of room."""
        self._admission_refusals.labels(reason, priority).inc()

    def count_take_up(self, source: str) -> None:
        """Count a stream that a caller took up again."""
        self._take_ups.labels(source).inc()

    def count_unanswered(self, reason: str) -> None:
        """Count a connection that ended with unanswered requests."""
        self._unanswered.labels(reason).inc()

    def count_limited_client(self, way: str) -> None:
        """Count a client that met a limit."""
        self._limited_clients.labels(way).inc()

    def count_send(self, service: str, result: str) -> None:
        """Count a send to an endpoint."""
        self._sends.labels(service, result).inc()

    def count_grant(self, result: str) -> None:
        """Count a request for tokens."""
        self._grants.labels(result).inc()

    def count_read(self, topic: str, result: str, size_bytes: int) -> None:
        """Count a read of the log, complete or not."""
        self._reads.labels(topic, result).inc()
        self._read_bytes.labels(topic, result).inc(size_bytes)

    def set_gauge(self, name: str, value: float) -> None:
        """Set one of the gauges."""
        self._gauges[name].set(value)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return prometheus_client.generate_latest(self._registry)

    def _counter(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            name, text, labels, registry=self._registry
        )

    def _histogram(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            name,
            text,
            labels,
            registry=self._registry,
            buckets=_LATENCY_BUCKETS_S,
        )
