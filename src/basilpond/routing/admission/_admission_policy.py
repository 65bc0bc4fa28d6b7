"""Whether a less urgent prompt is sent, waits at the router or is refused.

Designed for many routers that share a few engines and hear of each other's
load only 0.5 to 1 s later, while an engine works on a prompt for 0.1 to 0.2 s.
A router that answered to reports alone would answer to a load that is over:
all routers would send at once, and then none. What a router knows without a
delay is its own unfinished work at the endpoints. So each router bounds that,
by its part of the work that all routers together may leave unfinished there;
reports only tell how large its part is, which changes slowly. The bound
follows how long this router's own prompts wait at the endpoints, as speeds and
parts are estimates.
"""

from __future__ import annotations

import dataclasses
import math

# Time over which a router's part of the unfinished work is averaged: several
# prompts of a router that sends two a second, and two reports.
_AVERAGE_S = 2.0
# Weight of an equal part for each router beside the part of the last work, so
# that a router which has just got its first prompts is not left behind.
_EQUAL_WEIGHT = 0.3
# Average cost below which there is no part: what sums of floats leave behind.
_LEAST_COST = 1.0
# Time without a sign of contention after which prompts are sent at once.
_CONTENDED_S = 1.0
# Longest time by which a router uses its part in advance or saves it up.
_MAX_AHEAD_S = 0.75
# Part of the slots above which less urgent prompts wait: an urgent one needs
# a free slot at once.
_BUSY_SLOTS_SHARE = 0.9
# Part of the endpoints' speed that less urgent prompts get whatever else is
# pending: no kind of request may be served less than a quarter as often as
# all.
_GUARANTEED_SHARE = 0.25
# Shortest retry time, and shortest time over which callers return.
_MIN_RETRY_S = 0.1
_MIN_SPREAD_S = 0.5
# Callers honour a retry time up to this share of the time that they have left.
_HONOURED_SHARE = 1 / 3
# Wait at the endpoints that the bound aims at, as a part of the work that may
# be pending: a prompt that is prefilled counts as pending, but others wait for
# half of it on average.
_WAIT_SHARE = 0.6
# Change per second of the factor by which the bound grows while prompts wait
# less than intended, and shrinks while they wait longer. First bytes tell of
# the wait 0.2 to 1 s later; at 2 the load of three routers swung.
_SCALE_RATE_PER_S = 1.0
# Longest time for which one observation counts.
_MAX_STEP_S = 0.1
# Bounds of the factor: real speeds are 0.9 to 1.9 times the assumed one, and
# parts differ between routers. Below the lower one, a router with few
# observations kept its callers waiting while others had room.
_MIN_SCALE = 0.5
_MAX_SCALE = 5.0
# The bound grows with the part of its longest wait that the oldest prompt has
# waited, so that routers with a longer backlog get more of the same endpoints.
_FRESH_FACTOR = 0.3
_OLD_FACTOR = 3.3


@dataclasses.dataclass(slots=True)
class ServiceLoad:
    """Load of the endpoints of one service that accept prompts.

    Parameters
    ----------
    own_cost, peer_cost : float
        Cost of unfinished prefills of this router, and as reported.
    tokens_per_s : float
        Prefill speed of all endpoints together.
    running, slots : int
        Requests at the endpoints, and how many they process concurrently.
    late_s : float
        Mean time by which this router's prompts at the endpoints have waited
        longer than their own prefill takes.
    observed_s : float or None
        The same for its prompts whose responses have begun lately; None if
        there are none.
    """

    own_cost: float = 0.0
    peer_cost: float = 0.0
    tokens_per_s: float = 0.0
    running: int = 0
    slots: int = 0
    late_s: float = 0.0
    observed_s: float | None = None

    @property
    def wait_s(self) -> float:
        """Expected wait of a prompt that is sent now."""
        if not self.tokens_per_s:
            return 0.0
        pending_s = (self.own_cost + self.peer_cost) / self.tokens_per_s
        return max(pending_s, self.late_s, self.observed_s or 0.0)

    @property
    def is_busy(self) -> bool:
        """Whether nearly all slots are taken."""
        return self.running >= _BUSY_SLOTS_SHARE * self.slots > 0


class _Window:
    """Bound on the work that a router leaves unfinished at some endpoints.

    The bound is usually less than one prompt if there are many routers, so it
    applies to the average over time.
    """

    __slots__ = ('_ahead', 'cost', 'own_cost')

    def __init__(self) -> None:
        self.cost = 0.0
        self.own_cost = 0.0
        # Unfinished work, times seconds, by which the bound was not used.
        self._ahead = 0.0

    def update(self, cost: float, own_cost: float, elapsed_s: float) -> None:
        self.cost = cost
        self.own_cost = own_cost
        most = _MAX_AHEAD_S * cost
        ahead = self._ahead + (cost - own_cost) * elapsed_s
        self._ahead = min(most, max(-most, ahead))

    @property
    def is_open(self) -> bool:
        return self._ahead >= 0 and self.own_cost <= self.cost


class AdmissionPolicy:
    """Decides on the less urgent prompts of one service at one router.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds.
    """

    __slots__ = (
        '_contended_until_s',
        '_guaranteed_cost',
        '_own_average',
        '_routers',
        '_scale',
        '_shared',
        '_shared_load',
        '_tokens_per_s',
        '_total_average',
        '_updated_s',
        'busy_share',
    )

    def __init__(self) -> None:
        # Part of the slots that are taken, averaged.
        self.busy_share = 0.0
        self._shared_load = ServiceLoad()
        self._shared = _Window()
        self._tokens_per_s = 0.0
        self._routers = 1
        self._own_average = 0.0
        self._total_average = 0.0
        self._updated_s = float('-inf')
        self._contended_until_s = float('-inf')
        # Factor of the window by what prompts wait at the endpoints.
        self._scale = 1.0
        self._guaranteed_cost = 0.0

    def update(
        self,
        shared: ServiceLoad,
        reserved: ServiceLoad,
        *,
        routers: int,
        shared_limit_s: float,
        waiting_cost: float,
        oldest_share: float,
        now_s: float,
    ) -> None:
        """Take in the present load.

        Parameters
        ----------
        shared, reserved : ServiceLoad
            Of the endpoints that are not reserved for more urgent prompts,
            and of those that are.
        routers : int
            Number of live routers, this one included.
        shared_limit_s : float
            Work that may be pending at an endpoint that is not reserved.
        waiting_cost : float
            Cost of the prompt that is sent next.
        oldest_share : float
            From `AdmissionQueue.oldest_share`.
        now_s : float
        """
        elapsed_s = min(_AVERAGE_S, max(0.0, now_s - self._updated_s))
        self._updated_s = now_s
        self._routers = max(1, routers)
        self._shared_load = shared
        self._tokens_per_s = shared.tokens_per_s + reserved.tokens_per_s
        weight = 1 - math.exp(-elapsed_s / _AVERAGE_S)
        total = shared.own_cost + shared.peer_cost
        self._own_average += weight * (shared.own_cost - self._own_average)
        self._total_average += weight * (total - self._total_average)
        if slots := shared.slots + reserved.slots:
            taken = (shared.running + reserved.running) / slots
            self.busy_share += weight * (taken - self.busy_share)
        if not self.is_contended(now_s):
            self._scale = 1.0
        elif shared.observed_s is not None:
            waited_s = max(shared.observed_s, shared.late_s)
            error = max(-1.0, 1 - waited_s / (_WAIT_SHARE * shared_limit_s))
            self._scale *= math.exp(
                _SCALE_RATE_PER_S * error * min(elapsed_s, _MAX_STEP_S)
            )
            self._scale = min(_MAX_SCALE, max(_MIN_SCALE, self._scale))
        self._shared.update(
            self.share
            * shared.tokens_per_s
            * shared_limit_s
            * self._scale
            * (
                _FRESH_FACTOR
                + (_OLD_FACTOR - _FRESH_FACTOR) * min(1.0, oldest_share)
            ),
            shared.own_cost,
            elapsed_s,
        )
        self._guaranteed_cost = min(
            waiting_cost,
            self._guaranteed_cost
            + elapsed_s
            * _GUARANTEED_SHARE
            * self._tokens_per_s
            / self._routers,
        )

    def record_load(
        self, load: ServiceLoad, limit_s: float, now_s: float
    ) -> None:
        """Note whether prompts have to wait at the endpoints.

        Parameters
        ----------
        load : ServiceLoad
            Of all endpoints.
        limit_s : float
            Work that may be pending at an endpoint.
        now_s : float
        """
        if load.wait_s > limit_s or load.is_busy:
            self._contended_until_s = now_s + _CONTENDED_S

    @property
    def share(self) -> float:
        """Part of this router in the unfinished work."""
        equal = 1 / self._routers
        if self._total_average < _LEAST_COST:
            return equal
        part = min(1.0, self._own_average / self._total_average)
        return _EQUAL_WEIGHT * equal + (1 - _EQUAL_WEIGHT) * part

    @property
    def shared_wait_s(self) -> float:
        """Expected wait at the endpoints that are not reserved."""
        return self._shared_load.wait_s

    def is_contended(self, now_s: float) -> bool:
        """Whether prompts do not all find room."""
        return now_s < self._contended_until_s

    def admits(self, cost: float, *, is_last_chance: bool = False) -> bool:
        """Whether a prompt may be sent while there is contention.

        Parameters
        ----------
        cost : float
            Of its prefill.
        is_last_chance : bool
            Whether it may not wait much longer; then one at a time is sent.
        """
        load = self._shared_load
        return (
            not load.tokens_per_s
            or self._guaranteed_cost >= cost
            or (is_last_chance and self._shared.own_cost < cost)
            or (self._shared.is_open and not load.is_busy)
        )

    def record_sent(self, cost: float) -> None:
        """Record that a less urgent prompt is sent."""
        self._guaranteed_cost = max(0.0, self._guaranteed_cost - cost)

    def wait_s(self, cost: float) -> float:
        """Return the time until the prompts of a backlog have been sent.

        Parameters
        ----------
        cost : float
            Of the prompts.
        """
        share = max(self.share, 1 / self._routers)
        speed = share * self._shared_load.tokens_per_s
        return cost / speed if speed else 0.0

    def retry_s(self, cost: float, remaining_s: float, jitter: float) -> float:
        """Return the retry time of a prompt that is refused.

        Callers return after the backlog, over a time as long as that.

        Parameters
        ----------
        cost : float
            Of the prompts that are sent before.
        remaining_s : float
            Time that the caller has left.
        jitter : float
            Random number from 0 to 1.
        """
        first_s = max(_MIN_RETRY_S, self.wait_s(cost))
        spread_s = max(_MIN_SPREAD_S, first_s)
        honoured_s = _HONOURED_SHARE * remaining_s
        if first_s + spread_s > honoured_s:
            # As late as the caller honours, and over half of that time.
            first_s = max(_MIN_RETRY_S, min(first_s, honoured_s / 2))
            spread_s = max(0.0, honoured_s - first_s)
        return first_s + jitter * spread_s
