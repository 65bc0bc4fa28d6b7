"""Prefill speeds of endpoints, learnt from the prompts of all routers.

Many routers share few endpoints, so each of them sees few prompts of each
endpoint. Each reports its newest observation of an endpoint to the others.

The first token of a prompt also waits for prompts that other routers sent
unseen, so most observations are too low. The speed is therefore a high
quantile of the newest observations, which is also robust against routers that
stood still or have a slow link. At an endpoint with a backlog all observations
are too low, but then the prefills that it completes in a second give its
speed, so the speed is not less than those. In both, the router with the
highest value is left out once three of them report.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
import copy
import dataclasses
import itertools
import math
import statistics

# Prefill speed before anything was observed, from the data sheets of two
# sites, in units of prefill cost a second.
PREFILL_TOKENS_PER_S = 65_000.0
# Time to the first token of a short prompt at an idle endpoint.
BASE_FIRST_TOKEN_S = 0.03
# Speeds beyond this factor of the default are cut: engines differ less, and a
# false report then has a bounded effect.
_MAX_FACTOR = 8.0
# Cost of a prompt from which an observation has its full weight: the base time
# of shorter ones, which varies, hides the speed.
_FULL_WEIGHT_COST = 4_000.0
# Weight of an observation relative to the next newer one. In the first, which
# finds changes, ten observations have four fifths of the weight of all; the
# second is more exact.
_NEXT_WEIGHT_CHANGE = 0.85
_NEXT_WEIGHT = 0.98
# Time constant of the prefills that an endpoint completes in a second; some
# 50 prompts under load.
_DONE_S = 3.0
# Half-life of the weight of an observation, after which a slow second of an
# endpoint that gets no further prompts is forgotten.
_HALF_LIFE_S = 10.0
_EXPIRY_S = 60.0
# Weight of what was known before the observations: of the median of the
# service, and of the endpoint's own speed over a longer time.
_SERVICE_WEIGHT = 0.05
_LEVEL_WEIGHT = 0.5
# Share of the weight of the observations that lie below the speed: at four
# fifths of the load, about one prompt in five finds an idle endpoint.
_QUANTILE_CHANGE = 0.75
_QUANTILE = 0.92
# Time constant of the endpoint's speed over a longer time, which holds while
# the newest observations differ from it by less than this ratio. All
# routers learn the same, so a faster reaction made all of them move work to
# the same endpoints, which then seemed slow.
_LEVEL_S = 10.0
_SAME_LEVEL = math.log2(1.7)
# Routers beyond which the one with the highest speed is left out.
_MIN_ROUTERS = 3
# Observations of this router that are kept for each endpoint.
_MAX_OWN = 8
# Routers whose observations are kept for each endpoint; more than deployments
# have, as ids in datagrams are not checked.
_MAX_ROUTERS = 128
# Routers whose observations are used; the older ones have little weight.
_NEWEST = 48
# Interval in which a speed and the median of a service are computed anew.
_REFRESH_S = 0.25
_MEDIAN_REFRESH_S = 1.0
# Interval in which an observation is reported again, for routers that have
# just started or missed a datagram, and for how long.
_REPEAT_S = 5.0
_REPEAT_FOR_S = 30.0
# Reports in a datagram; a router starts some 15 prompts a second.
MAX_REPORTS = 16
# Change of the learnt unseen wait with each prompt; it tracks a median.
_WAIT_STEP_S = 0.002
_MAX_UNSEEN_WAIT_S = 0.5
# Weight of the newest forecast in the share of accurate ones.
_ACCURACY_WEIGHT = 0.01
# Ratio of forecast and observation up to which a forecast is accurate.
_ACCURATE_RATIO = 2.0

_DEFAULT = math.log2(PREFILL_TOKENS_PER_S)
_LOWEST = _DEFAULT - math.log2(_MAX_FACTOR)
_HIGHEST = _DEFAULT + math.log2(_MAX_FACTOR)


@dataclasses.dataclass(slots=True, frozen=True)
class SpeedReport:
    """Newest observation of an endpoint by one router.

    Parameters
    ----------
    incarnation : int
        Number of the endpoint process.
    tokens_per_s : float
    weight : float
        From 0 to 1; low if the prompt was short or other work lay before it.
    cost : float
        Prefill cost that the endpoint completed for the router since its last
        report.
    """

    incarnation: int
    tokens_per_s: float
    weight: float
    cost: float = 0.0


@dataclasses.dataclass(slots=True)
class _Observation:
    # Logarithm of the speed to the base of 2.
    level: float
    weight: float
    at_s: float
    # Decaying sum of completed prefill cost.
    done: float = 0.0

    def done_per_s(self, now_s: float) -> float:
        """Return the prefill cost completed per second, recently."""
        return self.done * math.exp((self.at_s - now_s) / _DONE_S) / _DONE_S


class EndpointSpeed:
    """Speed of one endpoint process.

    Parameters
    ----------
    group : tuple of (str, str)
        Service and software version.
    """

    __slots__ = (
        '_level',
        '_level_s',
        'group',
        'own',
        'peers',
        'refreshed_s',
        'reported_s',
        'speed',
        'unreported',
        'unreported_cost',
    )

    def __init__(self, group: tuple[str, str]) -> None:
        self.group = group
        self.own: deque[_Observation] = deque(maxlen=_MAX_OWN)
        self.peers: dict[str, _Observation] = {}
        self.speed = _DEFAULT
        self.refreshed_s = float('-inf')
        self.reported_s = float('-inf')
        self.unreported = False
        # Prefill cost completed since the last report.
        self.unreported_cost = 0.0
        # Speed over a longer time; None until something was observed.
        self._level: float | None = None
        self._level_s = 0.0

    @property
    def is_observed(self) -> bool:
        """Whether any router has observed the endpoint."""
        return self._level is not None

    def refresh(self, service_level: float, now_s: float) -> None:
        """Compute the speed anew."""
        self.refreshed_s = now_s
        known = service_level, _SERVICE_WEIGHT
        if self._level is not None:
            known = self._level, _LEVEL_WEIGHT
        newest = self._newest(now_s)
        if not newest:
            self.speed = known[0]
            return
        done = _clamp(math.log2(max(1.0, self.done_per_s(now_s))))
        level = max(
            done,
            _quantile(newest, known, now_s, _NEXT_WEIGHT, _QUANTILE),
        )
        if self._level is None:
            self._level = level
        else:
            step = 1 - math.exp(-min(1.0, now_s - self._level_s) / _LEVEL_S)
            self._level += step * (level - self._level)
        self._level_s = now_s
        changed = max(
            done,
            _quantile(
                newest, known, now_s, _NEXT_WEIGHT_CHANGE, _QUANTILE_CHANGE
            ),
        )
        # The newest observations are few, so their quantile is noisy.
        has_changed = abs(changed - self._level) > _SAME_LEVEL
        self.speed = changed if has_changed else self._level

    def done_per_s(self, now_s: float) -> float:
        """Return the prefill cost completed per second, of all routers."""
        rates = [item.done_per_s(now_s) for item in self.peers.values()]
        if len(rates) >= _MIN_ROUTERS:
            rates.remove(max(rates))
        own = self.own[-1].done_per_s(now_s) if self.own else 0.0
        return sum(rates) + own

    def _newest(self, now_s: float) -> list[_Observation]:
        newest = list(itertools.islice(reversed(self.peers.values()), _NEWEST))
        if len(newest) >= _MIN_ROUTERS:
            newest.remove(max(newest, key=lambda item: item.level))
        newest += self.own
        newest.sort(key=lambda item: -item.at_s)
        return [item for item in newest if now_s - item.at_s <= _EXPIRY_S]


def _quantile(
    newest: list[_Observation],
    known: tuple[float, float],
    now_s: float,
    next_weight: float,
    share: float,
) -> float:
    items = [known]
    weight = 1.0
    for item in newest:
        age_s = now_s - item.at_s
        items.append(
            (
                item.level,
                item.weight * weight * 0.5 ** (age_s / _HALF_LIFE_S),
            )
        )
        weight *= next_weight**item.weight
    items.sort()
    remaining = share * sum(weight for _, weight in items)
    for value, weight in items:
        remaining -= weight
        if remaining <= 0:
            return value
    return items[-1][0]


class EndpointSpeeds:
    """Speeds of all endpoints, and accuracy of the forecasts.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds; endpoints are given by the number of their process.

    Examples
    --------
    >>> speeds = EndpointSpeeds()
    >>> speeds.track(7, 'chat', 'v1')
    >>> round(speeds.tokens_per_s(7, 0.0))
    65000
    >>> for second in range(10):
    ...     speeds.record_prefill(7, 8000.0, 0.11, float(second))
    >>> round(speeds.tokens_per_s(7, 10.0))
    100000
    """

    __slots__ = (
        '_medians',
        '_pending',
        '_speeds',
        '_unseen_wait_s',
        'accurate_share',
    )

    def __init__(self) -> None:
        self._speeds: dict[int, EndpointSpeed] = {}
        # Logarithm of the median of a service or a version, and its time.
        self._medians: dict[object, tuple[float, float]] = {}
        self._unseen_wait_s: dict[str, float] = {}
        # Endpoints with observations that are not reported yet, in order.
        self._pending: dict[int, None] = {}
        # Moving average of the share of forecasts within a factor of two.
        self.accurate_share = 1.0

    def __len__(self) -> int:
        return len(self._speeds)

    def snapshot(self, service: str) -> EndpointSpeeds:
        """Return a copy for reading the speeds of one service."""
        speeds = copy.copy(self)
        speeds._speeds = {
            incarnation: copy.copy(speed)
            for incarnation, speed in self._speeds.items()
            if speed.group[0] == service
        }
        speeds._medians = dict(self._medians)
        return speeds

    def track(self, incarnation: int, service: str, version: str) -> None:
        """Begin with an endpoint process of which nothing is known."""
        self._speeds[incarnation] = EndpointSpeed((service, version))

    def forget(self, incarnation: int) -> None:
        """Drop an endpoint process that is gone."""
        self._speeds.pop(incarnation, None)
        self._medians.clear()
        self._pending.pop(incarnation, None)

    def record_prefill(
        self,
        incarnation: int,
        cost: float,
        took_s: float,
        now_s: float,
        *,
        before: float = 0.0,
    ) -> None:
        """Record the first token of a prompt of this router.

        Parameters
        ----------
        incarnation : int
        cost : float
            Prefill cost of the prompt.
        took_s : float
            Time from its send to the first event.
        now_s : float
        before : float
            Unfinished prefill cost that probably lay before it.
        """
        speed = self._speeds.get(incarnation)
        if speed is None or cost <= 0 or took_s <= 0:
            return
        if cost + before <= 0:
            # Sums of very large costs round small ones away.
            return
        # The base time may be shorter than assumed.
        prefill_s = max(took_s - BASE_FIRST_TOKEN_S, took_s / 2)
        level = math.log2((cost + before) / prefill_s)
        weight = min(1.0, cost / _FULL_WEIGHT_COST)
        weight *= cost / (cost + before)
        done = cost
        if speed.own:
            done += _DONE_S * speed.own[-1].done_per_s(now_s)
        speed.own.append(_Observation(_clamp(level), weight, now_s, done))
        speed.unreported = True
        speed.unreported_cost += cost
        self._pending[incarnation] = None

    def record_forecast(
        self, service: str, forecast_s: float, took_s: float
    ) -> None:
        """Record the time to a first token and its forecast."""
        ratio = took_s / forecast_s if forecast_s > 0 else math.inf
        accurate = 1 / _ACCURATE_RATIO <= ratio <= _ACCURATE_RATIO
        self.accurate_share += _ACCURACY_WEIGHT * (
            accurate - self.accurate_share
        )
        step_s = _WAIT_STEP_S if took_s > forecast_s else -_WAIT_STEP_S
        wait_s = self._unseen_wait_s.get(service, 0.0) + step_s
        self._unseen_wait_s[service] = min(
            _MAX_UNSEEN_WAIT_S, max(0.0, wait_s)
        )

    def unseen_wait_s(self, service: str) -> float:
        """Return the typical wait for prompts that no report contains yet."""
        return self._unseen_wait_s.get(service, 0.0)

    def tokens_per_s(self, incarnation: int, now_s: float) -> float:
        """Return the speed in units of prefill cost a second."""
        speed = self._speeds.get(incarnation)
        if speed is None:
            return PREFILL_TOKENS_PER_S
        if now_s - speed.refreshed_s >= _REFRESH_S:
            speed.refresh(self._service_level(speed.group, now_s), now_s)
        return 2.0**speed.speed

    def busy_share(self, incarnation: int, now_s: float) -> float:
        """Return the prefills completed per second by the speed."""
        speed = self._speeds.get(incarnation)
        if speed is None:
            return 0.0
        return speed.done_per_s(now_s) / self.tokens_per_s(incarnation, now_s)

    def reports(
        self, now_s: float, limit: int = MAX_REPORTS
    ) -> list[SpeedReport]:
        """Return observations to report now: new ones, and old ones again."""
        due = list(self._pending)[:limit]
        for incarnation, speed in self._speeds.items():
            if len(due) >= limit:
                break
            if (
                speed.own
                and not speed.unreported
                and now_s - speed.reported_s >= _REPEAT_S
                and now_s - speed.own[-1].at_s < _REPEAT_FOR_S
            ):
                due.append(incarnation)
        reports = []
        for incarnation in due:
            self._pending.pop(incarnation, None)
            speed = self._speeds[incarnation]
            speed.unreported = False
            speed.reported_s = now_s
            newest = speed.own[-1]
            age_s = now_s - newest.at_s
            reports.append(
                SpeedReport(
                    incarnation,
                    2.0**newest.level,
                    newest.weight * 0.5 ** (age_s / _HALF_LIFE_S),
                    speed.unreported_cost,
                )
            )
            speed.unreported_cost = 0.0
        return reports

    def apply_report(
        self, router: str, report: SpeedReport, now_s: float
    ) -> None:
        """Apply an observation of another router."""
        speed = self._speeds.get(report.incarnation)
        if speed is None or report.tokens_per_s <= 0:
            return
        if router not in speed.peers and len(speed.peers) >= _MAX_ROUTERS:
            del speed.peers[next(iter(speed.peers))]
        # In the order in which they were received.
        known = speed.peers.pop(router, None)
        done = max(0.0, report.cost)
        if known is not None:
            done += _DONE_S * known.done_per_s(now_s)
        speed.peers[router] = _Observation(
            _clamp(math.log2(report.tokens_per_s)),
            min(1.0, max(0.0, report.weight)),
            now_s,
            done,
        )

    def _service_level(self, group: tuple[str, str], now_s: float) -> float:
        service, _ = group
        for key in (group, service):
            median = self._median(key, now_s)
            if median is not None:
                return median
        return _DEFAULT

    def _median(self, key: object, now_s: float) -> float | None:
        known = self._medians.get(key)
        if known is None or now_s - known[1] >= _MEDIAN_REFRESH_S:
            levels = _observed_levels(self._speeds.values(), key)
            level = statistics.median(levels) if levels else math.nan
            known = self._medians[key] = level, now_s
        return None if math.isnan(known[0]) else known[0]


def _observed_levels(
    speeds: Iterable[EndpointSpeed], key: object
) -> list[float]:
    return [
        speed.speed
        for speed in speeds
        if speed.is_observed and key in (speed.group, speed.group[0])
    ]


def _clamp(level: float) -> float:
    return min(_HIGHEST, max(_LOWEST, level))
