"""Room at endpoints that fail when they reject too many requests a second.

Designed for endpoints that name, in all their responses, the rejections for
want of room that they survive in one second, those of all routers together.
Rejections are avoided by not sending: an endpoint takes as many requests as it
has slots, and routers learn from each other's reports how many it has.

A router may send a request for each place that it holds at an endpoint. In
each round, a few times a second, the free places are divided between the
routers in an order that changes with the round, so that their sum does not
exceed the places. A place is kept, so that the next request replaces the
previous one at once, unless it is unused, old, or a request was rejected.

In a large fleet, reports are rarer than requests. There, time is divided into
ticks in which an endpoint should get one request. A tick belongs to as many
routers as have one request on average.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import xxhash

_MIN_WAIT_S = 0.001
# Shortest round: two reports, by which routers learn of each other's requests.
_MIN_ROUND_S = 0.1
_REPORTS_PER_ROUND = 2
# Part of a round in which free places are taken. The rest of it lets others
# know of the requests that were sent.
_TAKING_SHARE = 0.5
# Longest interval of reports by which places are divided; above it, ticks are.
_MAX_REPORT_INTERVAL_S = 0.1
# Part of its speed at which an endpoint gets requests in ticks. Arrivals are
# random, and the fewer rejections it survives, the more room they need.
_MIN_PACE = 0.4
_PACE_PER_REJECTION = 0.1
_MAX_PACE = 0.8
# Factor of the requests in a tick while an endpoint is little used.
_MAX_BOOST = 3.0
# Time that a request takes, until one has ended, and weight of each further.
_DEFAULT_RUN_S = 0.5
_RUN_WEIGHT = 0.2
# Weight of a tick in the part of ticks in which this router has a request.
_DEMAND_WEIGHT = 0.02
_FIRST_DEMAND = 0.3
# Time for which a place is kept; routers without one get a chance then. Spread
# by the share to either side, as places that end together leave slots empty.
_PLACE_S = 2.0
_PLACE_SPREAD = 0.25
# The interval in which endpoints count rejections.
_WINDOW_S = 1.0
# Time after a rejection for which free places are divided, even if the
# endpoint seems to be little used.
_REJECTED_S = 5.0
# Part of the slots below which requests are not limited, and time since one of
# this router waited: all that wait would be sent at once.
_LOW_SHARE = 0.5
_WAITED_S = 1.0
# Successive responses without a bound after which there is none.
_ENDING_RESPONSES = 3
# Interval in which a bound that is named again is announced again.
_REANNOUNCE_S = 2.0
# The end of a bound is announced for this long.
_ENDED_S = 10.0
# Endpoints without a sign for this long are dropped.
_EXPIRY_S = 60.0
_MAX_ENDPOINTS = 1024
# Rejections that are kept and passed on; more than endpoints survive.
_MAX_REJECTIONS = 64


@dataclasses.dataclass(slots=True, frozen=True)
class BrittleReport:
    """Bound on the rejections of an endpoint, as it was named.

    Parameters
    ----------
    incarnation : int
        Number of the endpoint process.
    rejections : int or None
        Rejections in one second that it survives; None without a bound.
    since_s, named_s : float
        When it named a bound first, and when it spoke last, by this router's
        clock.
    """

    incarnation: int
    rejections: int | None
    since_s: float
    named_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class RejectionReport:
    """A request that an endpoint rejected for want of room.

    Parameters
    ----------
    incarnation : int
    number : int
        Of the rejection, by which copies of a report are recognised.
    rejected_s : float
        When the router learned of it, by this router's clock.
    """

    incarnation: int
    number: int
    rejected_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointRoom:
    """Load of an endpoint.

    Parameters
    ----------
    slots : int
        Requests that it processes concurrently.
    own, running : int
        Requests of this router, and of all routers, as reported.
    report_interval_s : float
        Interval of the reports.
    """

    slots: int
    own: int
    running: int
    report_interval_s: float


class _Endpoint:
    """Bound, rejections and places of one endpoint."""

    __slots__ = (
        'announced_s',
        'asked_tick',
        'bound',
        'demand',
        'idle_s',
        'named_s',
        'places',
        'rejected_s',
        'rejections',
        'run_s',
        'since_s',
        'taken',
        'taken_round',
        'tick_sent',
        'unnamed',
    )

    def __init__(self, since_s: float) -> None:
        self.bound: int | None = None
        self.since_s = since_s
        self.named_s = float('-inf')
        self.announced_s = float('-inf')
        # Successive responses without a bound.
        self.unnamed = 0
        # Times of the rejections in the last second, by number.
        self.rejections: dict[int, float] = {}
        self.rejected_s = float('-inf')
        # Times until which this router keeps its places.
        self.places: list[float] = []
        # Since when a place is unused.
        self.idle_s = float('-inf')
        # Places that this router has taken in a round.
        self.taken_round = -1
        self.taken = 0
        self.run_s = _DEFAULT_RUN_S
        # Part of the ticks in which this router has a request, until a tick.
        self.demand = _FIRST_DEMAND
        self.asked_tick = -1
        # Tick of the last send.
        self.tick_sent = -1

    def recent_rejections(self, now_s: float) -> list[float]:
        """Return the times of the rejections of the last second."""
        return [
            rejected_s
            for rejected_s in self.rejections.values()
            if now_s - rejected_s < _WINDOW_S
        ]

    def places_left(self, room: EndpointRoom, now_s: float) -> int:
        """Return the places for further requests of this router."""
        places = sum(now_s < until_s for until_s in self.places)
        if now_s - self.idle_s > _TAKING_SHARE * _round_s(room):
            # Other routers know from reports that it is free.
            return 0
        return max(0, places - room.own)


class BrittleEndpoints:
    """Endpoints that name a bound on rejections, and this router's places.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds; endpoints are given by the number of their process.

    Parameters
    ----------
    router_id : str

    Examples
    --------
    >>> brittle = BrittleEndpoints('r-1')
    >>> brittle.record_response(7, 2, sent_s=0.9, now_s=1.0)
    >>> room = EndpointRoom(slots=1, own=0, running=0, report_interval_s=0.05)
    >>> brittle.wait_s(7, room, 1.0)
    0.0
    """

    __slots__ = (
        '_endpoints',
        '_index',
        '_new',
        '_new_rejections',
        '_numbers',
        '_router_id',
        '_routers',
        '_waited_s',
    )

    def __init__(self, router_id: str) -> None:
        self._router_id = router_id
        self._routers = 1
        # Position of this router among the live ones.
        self._index = 0
        self._endpoints: dict[int, _Endpoint] = {}
        self._new: dict[int, BrittleReport] = {}
        self._new_rejections: list[RejectionReport] = []
        self._numbers = 0
        # When a request of this router last waited for room.
        self._waited_s = float('-inf')

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint has named a bound lately."""
        return not self._endpoints

    @property
    def has_news(self) -> bool:
        """Whether other routers have to learn something."""
        return bool(self._new or self._new_rejections)

    def pop_news(self) -> tuple[list[BrittleReport], list[RejectionReport]]:
        """Return and forget what other routers have to learn."""
        news = list(self._new.values()), self._new_rejections
        self._new = {}
        self._new_rejections = []
        return news

    def set_routers(self, routers: Iterable[str], now_s: float) -> None:
        """Divide places between live routers, this one included."""
        ids = sorted({self._router_id, *routers})
        self._routers = len(ids)
        self._index = ids.index(self._router_id)
        for incarnation, item in list(self._endpoints.items()):
            if now_s - item.named_s >= (
                _EXPIRY_S if item.bound is not None else _ENDED_S
            ):
                del self._endpoints[incarnation]

    def bound(self, incarnation: int) -> int | None:
        """Return the rejections a second that an endpoint survives."""
        item = self._endpoints.get(incarnation)
        return None if item is None else item.bound

    def recent_rejections(self, incarnation: int, now_s: float) -> int:
        """Return the known rejections of the last second."""
        item = self._endpoints.get(incarnation)
        return 0 if item is None else len(item.recent_rejections(now_s))

    def record_response(
        self,
        incarnation: int,
        rejections: int | None,
        *,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record the bound that a response names.

        Parameters
        ----------
        incarnation : int
        rejections : int or None
            None if the response names no bound.
        sent_s : float
            When the request was sent.
        now_s : float
        """
        item = self._endpoints.get(incarnation)
        if rejections is None:
            if item is None or item.bound is None or sent_s <= item.named_s:
                # Composed before the bound was named.
                return
            item.unnamed += 1
            if item.unnamed < _ENDING_RESPONSES:
                return
        elif item is not None:
            item.unnamed = 0
        since_s = now_s
        if item is not None and item.bound is not None:
            since_s = item.since_s
        self.apply_report(
            BrittleReport(incarnation, rejections, since_s, now_s), now_s
        )

    def apply_report(self, report: BrittleReport, now_s: float) -> None:
        """Apply what this or another router was told."""
        item = self._endpoints.get(report.incarnation)
        if item is None:
            if (
                len(self._endpoints) >= _MAX_ENDPOINTS
                or report.rejections is None
                or now_s - report.named_s >= _EXPIRY_S
            ):
                return
            item = self._endpoints[report.incarnation] = _Endpoint(
                report.since_s
            )
        if report.rejections is not None:
            # Routers agree on the rounds by the earliest time.
            item.since_s = (
                report.since_s
                if item.bound is None
                else min(item.since_s, report.since_s)
            )
        if report.named_s <= item.named_s:
            return
        item.named_s = report.named_s
        changed = report.rejections != item.bound
        if changed:
            item.bound = report.rejections
            item.unnamed = 0
        if changed or report.named_s - item.announced_s >= _REANNOUNCE_S:
            item.announced_s = report.named_s
            self._new[report.incarnation] = report

    def record_rejection(
        self, incarnation: int, own: int, now_s: float
    ) -> None:
        """Record that an endpoint rejected a request of this router.

        Parameters
        ----------
        incarnation : int
        own : int
            Requests of this router there, not counting the rejected one.
        now_s : float
        """
        item = self._endpoints.get(incarnation)
        if item is None or item.bound is None:
            return
        # Only requests that run show that there is room for the next one.
        del item.places[max(0, own) :]
        self._numbers += 1
        number = xxhash.xxh32_intdigest(
            f'{self._router_id} {self._numbers}'.encode()
        )
        self.apply_rejection(
            RejectionReport(incarnation, number, now_s), now_s
        )

    def apply_rejection(self, report: RejectionReport, now_s: float) -> None:
        """Apply a rejection that this or another router met."""
        item = self._endpoints.get(report.incarnation)
        if (
            item is None
            or report.number in item.rejections
            or now_s - report.rejected_s >= _WINDOW_S
        ):
            return
        if len(item.rejections) >= _MAX_REJECTIONS:
            item.rejections = {
                number: rejected_s
                for number, rejected_s in item.rejections.items()
                if now_s - rejected_s < _WINDOW_S
            }
            if len(item.rejections) >= _MAX_REJECTIONS:
                return
        item.rejections[report.number] = report.rejected_s
        item.rejected_s = max(item.rejected_s, report.rejected_s)
        self._new_rejections.append(report)

    def wait_s(
        self, incarnation: int, room: EndpointRoom, now_s: float
    ) -> float:
        """Return the time until this router may send a request, or may know.

        Returns
        -------
        float
            Seconds; a request of this router that ends may let another be
            sent before.
        """
        item = self._endpoints.get(incarnation)
        if item is None or item.bound is None:
            return 0.0
        recent = item.recent_rejections(now_s)
        if len(recent) >= max(1, item.bound):
            return max(_MIN_WAIT_S, min(recent) + _WINDOW_S - now_s)
        if room.report_interval_s > _MAX_REPORT_INTERVAL_S:
            return self._tick_wait_s(incarnation, item, room, now_s)
        if item.places_left(room, now_s) or self._is_low(item, room, now_s):
            return 0.0
        if recent:
            return max(_MIN_WAIT_S, max(recent) + _WINDOW_S - now_s)
        number, into_s, round_s = self._round(item, room, now_s)
        if into_s < _TAKING_SHARE * round_s and self._may_take(
            incarnation, item, room, number
        ):
            return 0.0
        return max(_MIN_WAIT_S, round_s - into_s)

    def record_sent(
        self, incarnation: int, room: EndpointRoom, now_s: float
    ) -> None:
        """Record a request that is sent now; `room` is from before it."""
        item = self._endpoints.get(incarnation)
        if item is None or item.bound is None:
            return
        item.tick_sent = _tick(item, room, now_s)[0]
        if item.places_left(room, now_s):
            return
        item.places = [until_s for until_s in item.places if now_s < until_s]
        del item.places[room.own :]
        number, _, _ = self._round(item, room, now_s)
        draw = xxhash.xxh32_intdigest(
            f'{self._router_id} {number} {len(item.places)}'.encode(),
            incarnation,
        )
        spread = _PLACE_SPREAD * (2 * draw / 2**32 - 1)
        item.places.append(now_s + _PLACE_S * (1 + spread))
        item.taken = item.taken + 1 if number == item.taken_round else 1
        item.taken_round = number

    def record_waited(self, now_s: float) -> None:
        """Record that a request of this router waits for room."""
        self._waited_s = now_s

    def record_asked(
        self, incarnation: int, room: EndpointRoom, now_s: float
    ) -> None:
        """Record that this router has a request for an endpoint."""
        item = self._endpoints.get(incarnation)
        if item is None or item.bound is None:
            return
        tick, _, _ = _tick(item, room, now_s)
        if tick != item.asked_tick:
            item.demand = _demand(item, tick) + _DEMAND_WEIGHT
            item.asked_tick = tick

    def record_end(
        self, incarnation: int, run_s: float | None, now_s: float
    ) -> None:
        """Record that a request of this router has ended.

        Parameters
        ----------
        incarnation : int
        run_s : float or None
            How long it took; None if it did not run to its end.
        now_s : float
        """
        item = self._endpoints.get(incarnation)
        if item is None:
            return
        item.idle_s = now_s
        if run_s is not None:
            item.run_s += _RUN_WEIGHT * (run_s - item.run_s)

    def reports(self, now_s: float) -> Iterator[BrittleReport]:
        """Yield the bounds to tell routers that may not know them."""
        for incarnation, item in self._endpoints.items():
            if item.bound is not None or now_s - item.named_s < _ENDED_S:
                yield BrittleReport(
                    incarnation, item.bound, item.since_s, item.named_s
                )

    def _is_rejecting(self, item: _Endpoint, now_s: float) -> bool:
        return now_s - item.rejected_s < _REJECTED_S

    def _is_low(
        self, item: _Endpoint, room: EndpointRoom, now_s: float
    ) -> bool:
        return (
            not self._is_rejecting(item, now_s)
            and now_s - self._waited_s >= _WAITED_S
            and room.running < _LOW_SHARE * room.slots
        )

    def _tick_wait_s(
        self,
        incarnation: int,
        item: _Endpoint,
        room: EndpointRoom,
        now_s: float,
    ) -> float:
        tick, into_s, tick_s = _tick(item, room, now_s)
        if tick != item.tick_sent:
            # The demand includes this tick, without which a router that had
            # no request lately would send too many.
            owners = 1 / min(1.0, max(_DEMAND_WEIGHT, _demand(item, tick)))
            if not self._is_rejecting(item, now_s):
                low = _LOW_SHARE * room.slots / max(1, room.running)
                owners *= min(_MAX_BOOST, max(1.0, low))
            # After rejections, some ticks have no owner.
            pause = 2 ** len(item.recent_rejections(now_s))
            if not tick % pause and self._rank(incarnation, tick) < owners:
                return 0.0
        return max(_MIN_WAIT_S, tick_s - into_s)

    def _round(
        self, item: _Endpoint, room: EndpointRoom, now_s: float
    ) -> tuple[int, float, float]:
        # Number of the round, time since it began and its length.
        round_s = _round_s(room)
        number, into_s = divmod(max(0.0, now_s - item.since_s), round_s)
        return int(number), into_s, round_s

    def _may_take(
        self,
        incarnation: int,
        item: _Endpoint,
        room: EndpointRoom,
        number: int,
    ) -> bool:
        taken = item.taken if number == item.taken_round else 0
        free = room.slots - room.running + taken
        rank = self._rank(incarnation, number)
        return rank + taken * self._routers < free

    def _rank(self, incarnation: int, number: int) -> int:
        # The order turns by a number that all routers compute alike, at a cost
        # that is independent of their number.
        turn = xxhash.xxh32_intdigest(number.to_bytes(8, 'big'), incarnation)
        return (self._index + turn) % self._routers


def _tick(
    item: _Endpoint, room: EndpointRoom, now_s: float
) -> tuple[int, float, float]:
    # Number of the tick, time since it began and its length. Routers that
    # measured different times differ in the owners, not in the rate.
    assert item.bound is not None
    pace = min(_MAX_PACE, _MIN_PACE + _PACE_PER_REJECTION * item.bound)
    tick_s = max(_MIN_WAIT_S, item.run_s / max(1, room.slots) / pace)
    number, into_s = divmod(max(0.0, now_s - item.since_s), tick_s)
    return int(number), into_s, tick_s


def _demand(item: _Endpoint, tick: int) -> float:
    # Without the present tick.
    passed = max(0, tick - item.asked_tick)
    if item.asked_tick < 0:
        return item.demand
    return item.demand * (1 - _DEMAND_WEIGHT) ** passed


def _round_s(room: EndpointRoom) -> float:
    return max(_MIN_ROUND_S, _REPORTS_PER_ROUND * room.report_interval_s)
