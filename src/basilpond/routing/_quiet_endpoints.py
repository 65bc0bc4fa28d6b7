"""Endpoints that want no requests from this router for a while.

Designed for an endpoint under load that turns a request away and names a time
in which it wants nothing more from the router that sent it. What it grants to
other routers is between it and them, so nothing is reported. At the end of
that time one request tries the endpoint, and the others follow its response:
if all that had gathered were sent at once, they could overload the endpoint
again.
"""

from __future__ import annotations

import dataclasses

# Longest time for which one response keeps an endpoint out of use. A sound
# endpoint that names hours, or a date of another clock, is tried again then;
# one that means it gets two requests a minute.
MAX_QUIET_S = 30.0
# Time in which the first request after a quiet time keeps others away, unless
# its response arrives earlier.
_TRIAL_S = 0.5
# A longer quiet time is logged again if it ends this much later.
_NOTABLE_S = 0.5
# Quiet times that ended this long ago without any request are dropped.
_EXPIRY_S = 60.0
# Shortest time over which refused callers are asked to return.
_MIN_SPREAD_S = 0.5
_MIN_RETRY_S = 0.1
# Callers honour a retry time up to this share of the time that they have left.
_HONOURED_SHARE = 1 / 3


@dataclasses.dataclass(slots=True)
class _QuietTime:
    since_s: float
    until_s: float
    trial_until_s: float = float('-inf')


class QuietEndpoints:
    """Quiet times of endpoints towards this router.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds; endpoints are given by the number of their process.

    Examples
    --------
    >>> quiet = QuietEndpoints()
    >>> quiet.record_refusal(7, 2.0, now_s=10.0)
    True
    >>> quiet.is_quiet(7, 11.5), quiet.is_open(7, 12.0)
    (True, True)
    >>> quiet.record_sent(7, 12.0)
    >>> quiet.is_open(7, 12.1)
    False
    >>> quiet.record_response(7, sent_s=12.0)
    True
    >>> quiet.is_open(7, 12.1)
    True
    """

    __slots__ = ('_times',)

    def __init__(self) -> None:
        self._times: dict[int, _QuietTime] = {}

    @property
    def is_empty(self) -> bool:
        """Whether all endpoints are open."""
        return not self._times

    def count(self, now_s: float) -> int:
        """Return the number of endpoints that are quiet."""
        return sum(now_s < time.until_s for time in self._times.values())

    def record_refusal(
        self, incarnation: int, asked_s: float, *, now_s: float
    ) -> bool:
        """Record a response that turned a request away and asks for quiet.

        Parameters
        ----------
        incarnation : int
        asked_s : float
            Time named, from now on.
        now_s : float

        Returns
        -------
        bool
            Whether the endpoint is out of use notably longer by this.
        """
        if asked_s <= 0:
            return False
        until_s = now_s + min(asked_s, MAX_QUIET_S)
        time = self._times.get(incarnation)
        if time is None or now_s >= time.until_s:
            self._expire(now_s)
            # Callers gather from the first of several quiet times on, if no
            # request is served in between.
            time = self._times.get(incarnation)
            since_s = now_s if time is None else time.since_s
            self._times[incarnation] = _QuietTime(since_s, until_s)
            return True
        notable = until_s - time.until_s >= _NOTABLE_S
        time.until_s = max(time.until_s, until_s)
        return notable

    def record_sent(self, incarnation: int, now_s: float) -> None:
        """Record that a request is about to be sent, maybe as a trial."""
        time = self._times.get(incarnation)
        if time is not None and now_s >= time.until_s:
            time.trial_until_s = now_s + _TRIAL_S

    def record_response(self, incarnation: int, *, sent_s: float) -> bool:
        """Record a response that asks for no quiet.

        Returns
        -------
        bool
            Whether it opens the endpoint; a response to a request that was
            sent before the end of the quiet time does not.
        """
        time = self._times.get(incarnation)
        if time is None or sent_s < time.until_s:
            return False
        del self._times[incarnation]
        return True

    def is_quiet(self, incarnation: int, now_s: float) -> bool:
        """Whether the endpoint wants no request at all."""
        return self.quiet_left_s(incarnation, now_s) > 0

    def is_open(self, incarnation: int, now_s: float) -> bool:
        """Whether a request may be sent that may be a trial."""
        time = self._times.get(incarnation)
        return time is None or now_s >= max(time.until_s, time.trial_until_s)

    def quiet_left_s(self, incarnation: int, now_s: float) -> float:
        """Return the time until the endpoint may be tried."""
        time = self._times.get(incarnation)
        return 0.0 if time is None else max(0.0, time.until_s - now_s)

    def quiet_s(self, incarnation: int) -> float:
        """Return the time from the first refusal to the end of quiet.

        Includes earlier quiet times if no request was served in between.
        """
        time = self._times.get(incarnation)
        return 0.0 if time is None else time.until_s - time.since_s

    def _expire(self, now_s: float) -> None:
        self._times = {
            incarnation: time
            for incarnation, time in self._times.items()
            if now_s - time.until_s < _EXPIRY_S
        }


def return_retry_s(
    wait_s: float, quiet_s: float, remaining_s: float, jitter: float
) -> float:
    """Return the retry time of a request that no endpoint may get now.

    Callers that were refused during quiet times return over a time as long as
    these, so that together they add no more than the usual rate. A caller
    that has little time left returns earlier, but not before the endpoint.

    Parameters
    ----------
    wait_s : float
        Time until the first endpoint returns.
    quiet_s : float
        From `QuietEndpoints.quiet_s`.
    remaining_s : float
        Time that the caller has left.
    jitter : float
        Random number from 0 to 1.
    """
    first_s = max(_MIN_RETRY_S, wait_s)
    last_s = first_s + max(_MIN_SPREAD_S, quiet_s)
    honoured_s = _HONOURED_SHARE * remaining_s
    if honoured_s > first_s:
        last_s = min(last_s, honoured_s)
    return first_s + jitter * (last_s - first_s)
