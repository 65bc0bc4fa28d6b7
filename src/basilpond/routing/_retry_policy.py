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
_SAFE_PATIENCE = 1.5
# First event of a stream: multiples of the objective and of the forecast.
_STREAM_PATIENCE = 2.0
_FORECAST_PATIENCE = 3.0
_FORECAST_MARGIN_S = 0.4
# Pause between two events, in multiples of the longest one on time. Callers
# leave after eight of them or two seconds.
_PAUSE_PATIENCE = 3.0
_MIN_PAUSE_PATIENCE_S = 1.0


# Callers take these as a promise that a request has not run and never will.
_PROMISES = frozenset((408, 421, 429, 503))


def promises_not_run(status: int) -> bool:
    """Whether callers take a status as proof that nothing was run."""
    return status in _PROMISES


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
    route: Route, result: SendResult, *, sends: int, runs: int
) -> bool:
    """Return whether the rules of the route allow another send.

    Parameters
    ----------
    route : Route
    result : SendResult
        Of the last send.
    sends : int
        Sends so far.
    runs : int
        Sends so far after which the request may have run.
    """
    if sends >= MAX_SENDS or runs >= route.max_attempts:
        return False
    return route.repeatable or (runs == 0 and result.proves_not_run)


def first_byte_patience_s(route: Route, forecast_s: float) -> float:
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
        return _SAFE_PATIENCE * route.objective_s
    return max(
        _STREAM_PATIENCE * route.objective_s,
        _FORECAST_PATIENCE * forecast_s + _FORECAST_MARGIN_S,
    )


def pause_patience_s(route: Route) -> float:
    """Return how long to wait for the next event of a resumable stream."""
    return max(_MIN_PAUSE_PATIENCE_S, _PAUSE_PATIENCE * route.pause_s)
