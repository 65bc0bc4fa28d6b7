"""Whether a request may go to another endpoint after a send."""

from __future__ import annotations

import enum

from ._types import Route
from ._types import RouteKind

# A request that several endpoints turned away unread is better refused, with
# a time to come back, than sent around.
MAX_SENDS = 3
# Connections that failed, after which a request is refused instead.
MAX_CONNECTS = 4
# An answer that may be fetched elsewhere is waited for this many times its
# objective; one in a hundred takes five times the mean.
_SAFE_TIMEOUT_FACTOR = 1.5
# First event of a stream: multiples of the objective and of the forecast.
_STREAM_TIMEOUT_FACTOR = 2.0
_FORECAST_TIMEOUT_FACTOR = 3.0
_FORECAST_MARGIN_S = 0.4
# Pause between two events, in multiples of the longest one on time. Callers
# leave after eight of them or two seconds.
_EVENT_GAP_TIMEOUT_FACTOR = 3.0
_MIN_EVENT_GAP_TIMEOUT_S = 1.0


# Callers take these as a promise that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def guarantees_not_run(status: int) -> bool:
    """Whether callers take a status as proof that nothing was run."""
    return status in _NOT_RUN_STATUSES


class SendResult(enum.Enum):
    """What is known of a request after one send."""

    # No byte left the router.
    NOT_SENT = 'not_sent'
    # The endpoint proved that it did not start.
    NOT_RUN = 'not_run'
    # The endpoint answered with a failure of its own.
    FAILED = 'failed'
    # No whole answer; the request may have run.
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
        Of the last send.
    sends : int
        Sends so far.
    possible_runs : int
        Sends so far after which the request may have run.
    """
    if sends >= MAX_SENDS or possible_runs >= route.max_attempts:
        return False
    return route.retriable or (possible_runs == 0 and result.proves_not_run)


def first_byte_timeout_s(route: Route, forecast_s: float) -> float:
    """Return how long to wait for an answer before another endpoint is tried.

    Answers the load pattern of single endpoints that hang while their status
    is good. Applies to routes whose requests may be repeated.

    Parameters
    ----------
    route : Route
    forecast_s : float
        Time to the first byte that was expected at the endpoint.
    """
    if route.kind is RouteKind.SAFE:
        return _SAFE_TIMEOUT_FACTOR * route.objective_s
    return max(
        _STREAM_TIMEOUT_FACTOR * route.objective_s,
        _FORECAST_TIMEOUT_FACTOR * forecast_s + _FORECAST_MARGIN_S,
    )


def event_gap_timeout_s(route: Route) -> float:
    """Return how long to wait for the next event of a resumable stream."""
    return max(
        _MIN_EVENT_GAP_TIMEOUT_S, _EVENT_GAP_TIMEOUT_FACTOR * route.pause_s
    )
