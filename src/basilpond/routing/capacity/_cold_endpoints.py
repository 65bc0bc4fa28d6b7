"""Limits on the requests that all routers together send to cold endpoints.

Designed for endpoints that crash if they get more than some requests a second
just after a start, and for fleets of up to 300 routers, of which many may
choose the same idle endpoint at once. The limit is divided into slots. A slot
admits one request in a little over a second, counted over the last sends, so
no second has more requests than slots. As with the limits that endpoints name,
the slots of an endpoint are divided between the live routers by rendezvous
hash; a router of lower rank has no fewer than one of higher rank.

The sum holds without agreement. If a router sees at least the routers of its
own part of a partition, seeing more of them only raises its rank and lowers
its slots; so each part uses no more slots than there are. Two parts use at
most twice as many, which is why there are no more slots than half the bound.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import copy
import math

from .._endpoint_limits import router_rank
from .._types import ColdLimit

# Interval of the sends of a slot, unless the limit is below one request a
# second. The part above 1 s is for requests that take different times to
# arrive.
_SLOT_S = 1.05
# Largest number of slots, which bounds the sends that are remembered.
_MAX_SLOTS = 1024
# Parts into which the routers may fall without exceeding the bound.
_PARTS = 2
# An entry that is read this long after an event was written after it: entries
# are read every 0.25 s, over links that delay them by up to 1 s, and outages
# of less than 2.4 s are not noticed.
_READ_DELAY_S = 3.0
# Endpoints without a sign for this long are forgotten: they are gone.
_EXPIRY_S = 600.0
_MAX_ENDPOINTS = 1024
# A router has no slots for this long after it has read which routers there
# are, so that all that start with it have read of each other.
_SETTLING_S = 2.0
# Time from the same moment in which all registered routers count as live: it
# has had no time to hear of them, and those silent for 5 s are not live.
_FIRST_VIEW_S = 6.0
# A router whose updates are this far apart, of usually 0.5 to 1.5 s, stood
# still: it cannot tell which routers were silent.
_STOOD_STILL_S = 3.0


class RouterView:
    """Routers between which the slots are divided, as one router sees them.

    Parameters
    ----------
    router_id : str
    """

    __slots__ = ('_router_id', '_settled_s', '_updated_s')

    def __init__(self, router_id: str) -> None:
        self._router_id = router_id
        self._updated_s: float | None = None
        # When all registered routers became known.
        self._settled_s: float | None = None

    def update(
        self,
        live: Iterable[str],
        registered: Iterable[str] | None,
        now_s: float,
    ) -> list[str] | None:
        """Return the routers, or None while this router has no slots.

        To be called about every half second.

        Parameters
        ----------
        live : iterable of str
            This router included.
        registered : iterable of str or None
            None while they are unknown.
        now_s : float
        """
        if (
            self._updated_s is not None
            and now_s - self._updated_s >= _STOOD_STILL_S
        ):
            self._settled_s = None
        self._updated_s = now_s
        if registered is None and self._settled_s is None:
            return None
        if self._settled_s is None:
            self._settled_s = now_s
        age_s = now_s - self._settled_s
        if age_s < _SETTLING_S:
            return None
        if age_s < _FIRST_VIEW_S:
            return sorted({self._router_id, *live, *(registered or ())})
        return sorted({self._router_id, *live})


class _Endpoint:
    """What is known of one endpoint process."""

    __slots__ = (
        'cold_s',
        'cold_until_s',
        'is_gone',
        'is_suspect',
        'peer_until_s',
        'reserved_s',
        'seen_s',
        'sent_s',
        'sequence',
        'service',
        'slots',
        'suspected_s',
        'told_s',
    )

    def __init__(self, service: str) -> None:
        self.service = service
        # By its entries and responses, and by reports of other routers.
        self.cold_until_s = float('-inf')
        self.peer_until_s = float('-inf')
        # Number of the newest entry, and the time that it names.
        self.sequence = -1
        self.cold_s = 0.0
        # When something other than an entry said that it is cold.
        self.told_s = float('-inf')
        # Whether no entry has been written since it may have become cold.
        self.is_suspect = False
        self.suspected_s = float('-inf')
        self.is_gone = False
        self.seen_s = float('-inf')
        # Times of the last sends, and of the requests that are recorded and
        # not sent yet, or never.
        self.sent_s: deque[float] = deque(maxlen=_MAX_SLOTS)
        self.reserved_s: deque[float] = deque(maxlen=_MAX_SLOTS)
        # Slots of this router, by the number of the view.
        self.slots: dict[int, int] = {}


class ColdEndpoints:
    """Endpoints that may be cold, and what this router may send to them.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds; endpoints are given by the number of their process.

    Parameters
    ----------
    router_id : str
    over : float
        Multiple of the limit that all routers may send in a second.
    slack : float
        Requests that they may send in a second beyond that.

    Examples
    --------
    >>> cold = ColdEndpoints('r-1')
    >>> cold.set_limits({'s': ColdLimit(3.0, 1.0)})
    >>> cold.set_routers(['r-1'], 0.0)
    >>> cold.record_entry(7, 's', cold_s=2.0, sequence=1, now_s=0.5)
    >>> cold.wait_s(7, 0.5)
    0.0
    >>> cold.record_sent(7, 0.5)
    >>> round(cold.wait_s(7, 0.75), 6)
    0.8
    >>> cold.wait_s(7, 2.5)
    0.0
    """

    __slots__ = (
        '_endpoints',
        '_limits',
        '_over',
        '_router_id',
        '_slack',
        '_updated_s',
        '_views',
        '_views_count',
    )

    def __init__(
        self, router_id: str, *, over: float = 1.5, slack: float = 5.0
    ) -> None:
        self._router_id = router_id
        self._over = over
        self._slack = slack
        self._limits: dict[str, ColdLimit] = {}
        self._endpoints: dict[int, _Endpoint] = {}
        # Number, routers and first time of the present view, and of those
        # that ended within the last interval of a slot.
        self._views: list[tuple[int, list[str], float]] = []
        self._views_count = 0
        # When the routers were last set.
        self._updated_s: float | None = None

    def snapshot(self, incarnations: Iterable[int]) -> ColdEndpoints:
        """Return a copy for reading the state of some endpoints."""
        cold = copy.copy(self)
        cold._views = list(self._views)
        cold._endpoints = {}
        for incarnation in incarnations:
            endpoint = self._endpoints.get(incarnation)
            if endpoint is not None:
                endpoint = copy.copy(endpoint)
                endpoint.slots = dict(endpoint.slots)
                cold._endpoints[incarnation] = endpoint
        return cold

    @property
    def is_empty(self) -> bool:
        """Whether no service limits the requests to cold endpoints."""
        return not self._limits

    def limits(self, service: str) -> bool:
        """Whether a service limits the requests to cold endpoints."""
        return service in self._limits

    def set_limits(self, limits: Mapping[str, ColdLimit]) -> None:
        """Replace the limits of all services; one of 0 is no limit."""
        self._limits = {
            service: limit
            for service, limit in limits.items()
            if limit.per_s > 0 and limit.start_s > 0
        }
        for endpoint in self._endpoints.values():
            endpoint.slots.clear()

    def set_routers(self, routers: Iterable[str] | None, now_s: float) -> None:
        """Divide the slots between routers, this one included.

        Parameters
        ----------
        routers : iterable of str or None
            None: this router has no slots.
        now_s : float
        """
        if self._stood_still(now_s):
            for endpoint in self._endpoints.values():
                endpoint.is_suspect = True
                endpoint.suspected_s = now_s
        self._updated_s = now_s
        view = [] if routers is None else sorted(routers)
        if not self._views or view != self._views[-1][1]:
            self._views_count += 1
            self._views.append((self._views_count, view, now_s))
        self._drop_views(now_s)
        for incarnation, endpoint in list(self._endpoints.items()):
            # Without the store, nothing is read of those in use either.
            if endpoint.is_gone and now_s - endpoint.seen_s >= _EXPIRY_S:
                del self._endpoints[incarnation]

    def _stood_still(self, now_s: float) -> bool:
        # Endpoints may have become cold, and others have got the slots.
        return (
            self._updated_s is not None
            and now_s - self._updated_s >= _STOOD_STILL_S
        )

    def _drop_views(self, now_s: float) -> None:
        # A view ends when the next one begins.
        longest_s = max(
            (
                _interval_s(limit, self._slots(limit))
                for limit in self._limits.values()
            ),
            default=_SLOT_S,
        )
        while len(self._views) > 1 and now_s - self._views[1][2] >= longest_s:
            del self._views[0]

    def record_entry(
        self,
        incarnation: int,
        service: str,
        *,
        cold_s: float,
        sequence: int,
        now_s: float,
        is_first_read: bool = True,
        is_out_of_use: bool = False,
        is_delayed: bool = False,
    ) -> None:
        """Record an entry of an endpoint that was read.

        Parameters
        ----------
        incarnation : int
        service : str
        cold_s : float
            Time that it names as left.
        sequence : int
            Number of the entry, which grows.
        now_s : float
        is_first_read : bool
            Whether the entries are the first ones that this router reads.
            Others that appear are of endpoints that start or return.
        is_out_of_use : bool
            Whether the endpoint is evacuated, ejected or unreachable now.
        is_delayed : bool
            Whether the store has just come back, so that the entry may have
            been written long ago.
        """
        if service not in self._limits:
            self._endpoints.pop(incarnation, None)
            return
        endpoint = self._endpoints.get(incarnation)
        is_new = endpoint is None
        if endpoint is None:
            if not self._make_room():
                return
            endpoint = self._endpoints[incarnation] = _Endpoint(service)
        endpoint.seen_s = now_s
        if is_out_of_use or endpoint.is_gone or (is_new and not is_first_read):
            endpoint.is_gone = False
            endpoint.is_suspect = True
            endpoint.suspected_s = now_s
        is_newer = sequence > endpoint.sequence
        if not is_newer and cold_s == endpoint.cold_s and not is_new:
            # Read again.
            return
        endpoint.sequence = max(sequence, endpoint.sequence)
        endpoint.cold_s = cold_s
        if cold_s > 0:
            endpoint.cold_until_s = now_s + cold_s
        elif now_s - endpoint.told_s >= _READ_DELAY_S:
            endpoint.cold_until_s = endpoint.peer_until_s = float('-inf')
        since_s = now_s - endpoint.suspected_s
        if is_newer and not is_delayed and since_s >= _READ_DELAY_S:
            endpoint.is_suspect = False

    def _make_room(self) -> bool:
        # Endpoints that crash again and again leave many processes behind.
        if len(self._endpoints) < _MAX_ENDPOINTS:
            return True
        gone = [i for i, e in self._endpoints.items() if e.is_gone]
        if not gone:
            return False
        del self._endpoints[min(gone, key=lambda i: self._endpoints[i].seen_s)]
        return True

    def record_told(
        self,
        incarnation: int,
        cold_s: float,
        now_s: float,
        *,
        is_first_hand: bool = True,
    ) -> None:
        """Record that an endpoint or another router says that it is cold.

        Parameters
        ----------
        incarnation : int
        cold_s : float
            Time left.
        now_s : float
        is_first_hand : bool
            Whether the endpoint says so. What a router says is not passed on,
            as two that did so would keep it up by the time of the datagrams.
        """
        endpoint = self._endpoints.get(incarnation)
        if endpoint is None or cold_s <= 0:
            return
        endpoint.told_s = now_s
        until_s = now_s + cold_s
        if is_first_hand:
            endpoint.cold_until_s = max(endpoint.cold_until_s, until_s)
        else:
            endpoint.peer_until_s = max(endpoint.peer_until_s, until_s)

    def reports(self, now_s: float) -> Iterator[tuple[int, float]]:
        """Yield the endpoints that are cold first-hand, and the time left."""
        for incarnation, endpoint in self._endpoints.items():
            left_s = endpoint.cold_until_s - now_s
            if left_s > 0 and not endpoint.is_gone:
                yield incarnation, left_s

    def record_suspect(self, incarnation: int, now_s: float) -> None:
        """Record that an endpoint may have become cold.

        It counts as cold until an entry that was written later says that it
        is not.
        """
        endpoint = self._endpoints.get(incarnation)
        if endpoint is not None:
            endpoint.is_suspect = True
            endpoint.suspected_s = now_s

    def record_gone(self, incarnation: int) -> None:
        """Record that the entry of an endpoint was removed or has lapsed."""
        endpoint = self._endpoints.get(incarnation)
        if endpoint is not None:
            endpoint.is_gone = True

    def is_cold(self, incarnation: int, now_s: float) -> bool:
        """Whether the requests to an endpoint are limited now."""
        endpoint = self._endpoints.get(incarnation)
        return endpoint is not None and self._is_cold(endpoint, now_s)

    def _is_cold(self, endpoint: _Endpoint, now_s: float) -> bool:
        limit = self._limits.get(endpoint.service)
        if limit is None:
            return False
        # The store lists an entry again only if more than its number changes,
        # so that of a warm endpoint may never come.
        suspected_until_s = (
            endpoint.suspected_s + limit.start_s + _READ_DELAY_S
        )
        return (
            (endpoint.is_suspect and now_s < suspected_until_s)
            or endpoint.is_gone
            or self._stood_still(now_s)
            or now_s < max(endpoint.cold_until_s, endpoint.peer_until_s)
        )

    def cold_left_s(self, incarnation: int, now_s: float) -> float:
        """Return the time that an endpoint has named as left."""
        endpoint = self._endpoints.get(incarnation)
        if endpoint is None or endpoint.service not in self._limits:
            return 0.0
        until_s = max(endpoint.cold_until_s, endpoint.peer_until_s)
        return max(0.0, until_s - now_s)

    def count(self, now_s: float) -> int:
        """Return the number of endpoints that count as cold."""
        return sum(
            self._is_cold(endpoint, now_s)
            for endpoint in self._endpoints.values()
            if not endpoint.is_gone
        )

    def share_used(self, now_s: float) -> float:
        """Return the part of this router's slots that it has used lately."""
        slots = used = 0
        for incarnation, endpoint in self._endpoints.items():
            if self._is_cold(endpoint, now_s) and not endpoint.is_gone:
                own = self.slots(incarnation, now_s)
                slots += own
                used += min(own, self._recent(endpoint, now_s))
        return used / slots if slots else 0.0

    def slots(self, incarnation: int, now_s: float) -> int:
        """Return the slots of this router at an endpoint.

        They are the smallest number of all views of the last interval, so
        that a router that loses slots and one that gets them do not both use
        them in one second.
        """
        endpoint = self._endpoints.get(incarnation)
        if endpoint is None or not self._views or self._stood_still(now_s):
            return 0
        limit = self._limits.get(endpoint.service)
        if limit is None:
            return 0
        total = self._slots(limit)
        self._drop_views(now_s)
        numbers = [number for number, _, _ in self._views]
        for number, view, _ in self._views:
            if number not in endpoint.slots:
                endpoint.slots[number] = self._own_slots(
                    incarnation, view, total
                )
        for number in endpoint.slots.keys() - set(numbers):
            del endpoint.slots[number]
        return min(endpoint.slots[number] for number in numbers)

    def _own_slots(self, incarnation: int, view: list[str], total: int) -> int:
        if not view:
            return 0
        rank = router_rank(self._router_id, view, incarnation)
        return max(0, math.ceil((total - rank) / len(view)))

    def _slots(self, limit: ColdLimit) -> int:
        bound = self._over * limit.per_s + self._slack
        return max(1, min(_MAX_SLOTS, int(min(limit.per_s, bound / _PARTS))))

    def wait_s(self, incarnation: int, now_s: float) -> float:
        """Return the time until this router may send a request.

        Returns
        -------
        float
            Seconds; 0 if the endpoint is not cold, infinite if this router
            has no slots there.
        """
        endpoint = self._endpoints.get(incarnation)
        if endpoint is None or not self._is_cold(endpoint, now_s):
            return 0.0
        slots = self.slots(incarnation, now_s)
        if not slots:
            return float('inf')
        if self._recent(endpoint, now_s) < slots:
            return 0.0
        times_s = sorted((*endpoint.sent_s, *endpoint.reserved_s))
        free_s = times_s[-slots] + self._interval_of(endpoint)
        return max(0.0, free_s - now_s)

    def sends_until(
        self, incarnation: int, until_s: float, now_s: float
    ) -> int | None:
        """Return how many requests this router may send until a time.

        Returns
        -------
        int or None
            None if the endpoint is not cold.
        """
        endpoint = self._endpoints.get(incarnation)
        if endpoint is None or not self._is_cold(endpoint, now_s):
            return None
        slots = self.slots(incarnation, now_s)
        if not slots:
            return 0
        interval_s = self._interval_of(endpoint)
        free = slots - min(slots, self._recent(endpoint, now_s))
        # Slots in use are free an interval after their requests.
        times_s = sorted((*endpoint.sent_s, *endpoint.reserved_s))[-slots:]
        starts_s = [now_s] * free + [t + interval_s for t in times_s]
        return sum(
            1 + int((until_s - start_s) / interval_s)
            for start_s in starts_s[:slots]
            if start_s <= until_s
        )

    def record_sent(self, incarnation: int, now_s: float) -> None:
        """Record a request that is sent now, or as soon as it may be.

        Those to endpoints that are not cold count as well: one may become
        cold just after. Each is confirmed before it is sent; one that never
        is counts as sent now.
        """
        endpoint = self._endpoints.get(incarnation)
        if endpoint is not None and endpoint.service in self._limits:
            endpoint.reserved_s.append(now_s)

    def confirm_sent(self, incarnation: int, now_s: float) -> bool:
        """Check a request again that was recorded and is sent only now.

        Connecting takes time, in which the endpoint may become cold. The
        record moves to the present time. If requests overtake each other, it
        is that of an earlier one, whose request counts as recorded later.

        Returns
        -------
        bool
            Whether it may be sent; otherwise it counts as not sent.
        """
        endpoint = self._endpoints.get(incarnation)
        if endpoint is None or endpoint.service not in self._limits:
            return True
        recent = self._recent(endpoint, now_s)
        if endpoint.reserved_s:
            endpoint.reserved_s.popleft()
        else:
            recent += 1
        if self._is_cold(endpoint, now_s) and recent > self.slots(
            incarnation, now_s
        ):
            return False
        endpoint.sent_s.append(now_s)
        return True

    def _recent(self, endpoint: _Endpoint, now_s: float) -> int:
        # Drops the times that no longer count.
        interval_s = self._interval_of(endpoint)
        for times_s in (endpoint.sent_s, endpoint.reserved_s):
            while times_s and now_s - times_s[0] >= interval_s:
                times_s.popleft()
        return len(endpoint.sent_s) + len(endpoint.reserved_s)

    def _interval_of(self, endpoint: _Endpoint) -> float:
        limit = self._limits[endpoint.service]
        return _interval_s(limit, self._slots(limit))


def _interval_s(limit: ColdLimit, slots: int) -> float:
    return max(1.0, slots / limit.per_s) * _SLOT_S
