"""Memory that requests hold."""

from __future__ import annotations

from ._messages import CallerRequest

# Memory of a header field beyond its bytes: a tuple and two objects.
FIELD_BYTES = 160
# Memory of a connection without a request: transport, parser, timer, account.
CONNECTION_BYTES = 8_192
# Memory of a request beyond its fields and body: task, context, responder.
_REQUEST_BYTES = 4_096
# Copies of a body while its request is in progress: the encoded request, and
# what the endpoint's connection has not taken yet.
_BODY_COPIES = 2


def waiting_bytes(request: CallerRequest) -> int:
    """Return the memory of a request that was received."""
    # Fields cost more than their bytes, see FIELD_BYTES.
    fields_bytes = sum(len(n) + len(v) for n, v in request.headers)
    return (
        _REQUEST_BYTES
        + fields_bytes
        + len(request.headers) * FIELD_BYTES
        + len(request.body)
    )


def running_bytes(request: CallerRequest) -> int:
    """Return the memory of a request that is in progress."""
    return waiting_bytes(request) + _BODY_COPIES * len(request.body)
