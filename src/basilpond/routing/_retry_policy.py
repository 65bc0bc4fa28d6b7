"""Whether a request may go to another endpoint after a send."""

from __future__ import annotations

import enum

from ._types import Route

# A request that several endpoints turned away unread is better refused, with
# a time to come back, than sent around.
MAX_SENDS = 3


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
