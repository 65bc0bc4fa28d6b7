"""Rules for sending a request to another endpoint, and the timeouts."""

from __future__ import annotations

import enum

from ._types import Route
from ._types import RouteKind

# Largest number of sends of a request. One that several endpoints rejected
# unread is better refused, with a retry time, than sent to further endpoints.
MAX_SENDS = 3
# Number of failed connections after which a request is refused.
MAX_CONNECTS = 4
# Timeout of the response to a request of a safe route, as a multiple of the
# objective; one response in a hundred takes five times the mean.
_SAFE_TIMEOUT_FACTOR = 1.5
# Timeout of the first event of a stream: the larger of a multiple of the
# objective, and a multiple of the forecast plus a margin.
_STREAM_TIMEOUT_FACTOR = 2.0
_FORECAST_TIMEOUT_FACTOR = 3.0
_FORECAST_MARGIN_S = 0.4
# Timeout between two events of a stream, as a multiple of the maximum
# interval that counts as on time. Callers disconnect after eight of these
# intervals or two seconds. Sound endpoints may be silent for a second or so.
_EVENT_GAP_TIMEOUT_FACTOR = 3.0
_MIN_EVENT_GAP_TIMEOUT_S = 1.5


# Callers take these as a guarantee that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def guarantees_not_run(status: int) -> bool:
    """Whether callers take a status as proof that the request did not run."""
    return status in _NOT_RUN_STATUSES


class SendResult(enum.Enum):
    """What is known about a request after one send."""

    # No byte of the request left the router.
    NOT_SENT = 'not_sent'
    # The endpoint proved that it did not start the request.
    NOT_RUN = 'not_run'
    # The endpoint itself responded with an error.
    FAILED = 'failed'
    # No complete response; the request may have run.
    UNKNOWN = 'unknown'

    @property
    def proves_not_run(self) -> bool:
        """Whether the request cannot have run."""
        return self in (SendResult.NOT_SENT, SendResult.NOT_RUN)


def may_send_again(
    route: Route, result: SendResult, *, sends: int, possible_runs: int
) -> bool:
    """Return whether the rules of the route allow another send.

    Parameters
    ----------
    route : Route
    result : SendResult
        Result of the last send.
    sends : int
        Number of sends so far.
    possible_runs : int
        Number of sends so far after which the request may have run.
    """
    if sends >= MAX_SENDS or possible_runs >= route.max_attempts:
        return False
    return route.retriable or (possible_runs == 0 and result.proves_not_run)


def first_byte_timeout_s(route: Route, forecast_s: float) -> float:
    """Return the timeout after which another endpoint is tried.

    Guards against single endpoints that hang while their status is good.
    Applies to routes whose requests may be retried.

    Parameters
    ----------
    route : Route
    forecast_s : float
        Expected time to the first byte at the endpoint.

    Returns
    -------
    float
        Seconds from the send to the first byte of the response.
    """
    if route.kind is RouteKind.SAFE:
        return _SAFE_TIMEOUT_FACTOR * route.objective_s
    return max(
        _STREAM_TIMEOUT_FACTOR * route.objective_s,
        _FORECAST_TIMEOUT_FACTOR * forecast_s + _FORECAST_MARGIN_S,
    )


def event_gap_timeout_s(route: Route) -> float:
    """Return the timeout in seconds between events of a resumable stream."""
    return max(
        _MIN_EVENT_GAP_TIMEOUT_S, _EVENT_GAP_TIMEOUT_FACTOR * route.pause_s
    )
