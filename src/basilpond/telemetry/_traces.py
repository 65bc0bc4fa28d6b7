"""Tracing with one span per hop and W3C trace context propagation.

Until `start_traces` is called all spans are no-ops, but the context of an
incoming request is still propagated.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import MutableMapping
import contextlib
import sys
from typing import TextIO

from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
_HEADERS = ('traceparent', 'tracestate')


def extract_context(headers: Mapping[str, str]) -> otel_context.Context:
    """Return the trace context of incoming headers.

    The context is empty if the headers are missing or malformed.
    """
    # The propagator looks up lower-case names; header names are
    # case-insensitive.
    carrier = {
        name.lower(): value
        for name, value in headers.items()
        if name.lower() in _HEADERS
    }
    return _PROPAGATOR.extract(carrier, otel_context.Context())


def attempt_headers(caller_headers: Mapping[str, str]) -> dict[str, str]:
    """Return the trace headers of a request to an endpoint.

    Parameters
    ----------
    caller_headers : mapping
        The caller's trace headers; returned unchanged if the current span
        is not recorded.
    """
    if not trace.get_current_span().is_recording():
        return dict(caller_headers)
    headers: dict[str, str] = {}
    inject_context(headers)
    return headers


def inject_context(
    headers: MutableMapping[str, str],
    context: otel_context.Context | None = None,
) -> None:
    """Add a trace context, by default the current one, to the headers."""
    _PROPAGATOR.inject(headers, context)


@contextlib.contextmanager
def hop_span(
    name: str,
    parent: otel_context.Context | None = None,
    **attributes: str | int | float | bool,
) -> Iterator[trace.Span]:
    """Start a span for one hop and make it the current span.

    Parameters
    ----------
    name : str
    parent : Context, optional
        From `extract_context`; default: the current context.
    """
    tracer = trace.get_tracer('basilpond')
    with tracer.start_as_current_span(
        name,
        context=parent,
        attributes=attributes,
        # Exception messages may contain caller input.
        record_exception=False,
        set_status_on_exception=False,
    ) as span:
        try:
            yield span
        except BaseException as error:
            span.set_attribute('error.type', type(error).__name__)
            raise


def start_traces(
    service_name: str, stream: TextIO | None = None
) -> Callable[[], None]:
    """Write the spans of this process to a stream, one JSON object a line.

    Parameters
    ----------
    service_name : str
    stream : file object, optional
        Default: standard error; VMs have no disk.

    Returns
    -------
    callable
        Flushes the pending spans and shuts tracing down.

    Raises
    ------
    ImportError
        The package's extra `traces` is not installed.
    """
    # Imported here so that a router with tracing off does not need the SDK.
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import BatchSpanProcessor
    from opentelemetry.sdk.trace.export import ConsoleSpanExporter

    provider = TracerProvider(
        resource=Resource.create({'service.name': service_name}),
        # The program shuts the provider down; a second shutdown at exit
        # would log a warning.
        shutdown_on_exit=False,
    )
    exporter = ConsoleSpanExporter(
        out=stream or sys.stderr,
        formatter=lambda span: span.to_json(indent=None) + '\n',
    )
    provider.add_span_processor(BatchSpanProcessor(exporter))
    trace.set_tracer_provider(provider)
    return provider.shutdown
