"""Load and failures of one endpoint, as known to a router."""

from __future__ import annotations

import copy
import dataclasses
import math

from .._outlier_detection import OutlierDetector
from .._types import Endpoint
from ._endpoint_speed import BASE_FIRST_TOKEN_S
from ._endpoint_speed import PREFILL_TOKENS_PER_S
from ._endpoint_speed import EndpointSpeeds
from ._prompt_cache import PromptCache

# Cost of attention for each pair of tokens in a prompt: half of 0.33 ms per
# million pairs, in units of a token of a short prompt, 1/65 ms.
PAIR_WEIGHT = 1.1e-5
# Delay of a first token by each other request that the endpoint processes.
_RUNNING_REQUEST_S = 0.0004
# Delay at an endpoint without a free slot; grows with the requests above its
# slots.
_FULL_PENALTY_S = 0.25
# Weight of the newest result in the moving average of an endpoint's failures.
_FAILURE_WEIGHT = 0.1
# Half-life of the share of failures while there are no new results.
_FAILURE_HALF_LIFE_S = 4.0
# Time between two reports of a router up to which they count as they are, and
# from which they count as outdated: a prompt takes about 50 ms, so after 0.4 s
# few of those reported are left, and all routers choose by the same reports.
_FRESH_INTERVAL_S = 0.1
_OUTDATED_INTERVAL_S = 0.4
# Age of outdated reports in intervals: they are sent spread over one interval
# and hold until the next.
_REPORT_AGE_INTERVALS = 1.5
# Time constant of the work that this router sent recently; a few reports.
_RECENT_S = 3.0
# Reports of other routers older than this are ignored.
_REPORT_MAX_AGE_S = 2.0
# Weight of the newest first token in the moving average of the lateness, and
# its largest value.
_LATENESS_WEIGHT = 0.1
_MAX_LATENESS = 6.0
# Weight of the newest value in the average use of an endpoint, which is
# recorded every 0.5 s; an average over half a minute.
_BUSY_WEIGHT = 1 / 60
# An endpoint counts as stalled once the first byte of a response takes longer
# than this multiple of the forecast and longer than this time.
_STALL_FACTOR = 3.0
_STALL_MIN_S = 0.5
# Time for which an endpoint is ejected after a refused or timed-out
# connection; doubles with each further one, up to the maximum.
_FIRST_EJECTION_S = 0.5
_MAX_EJECTION_S = 4.0


def prefill_cost(tokens: int, cached_tokens: int) -> float:
    """Return the cost of the prefill of a prompt.

    Parameters
    ----------
    tokens : int
        Length of the prompt.
    cached_tokens : int
        Length of its prefix that the endpoint has cached. More than the length
        of the prompt counts as all of it.

    Returns
    -------
    float
        In units of one token of a short prompt; not negative.
    """
    cached_tokens = min(cached_tokens, tokens)
    linear = tokens - cached_tokens
    pairs = tokens * tokens - cached_tokens * cached_tokens
    return linear + PAIR_WEIGHT * pairs


# Time without any part of a response after which an endpoint with requests
# counts as silent; the events of its streams come every 50 ms or so.
_SILENT_S = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that was sent to an endpoint and has not ended.

    Parameters
    ----------
    prefill_cost : float
        Cost of its prefill; 0 for requests that are not prompts.
    forecast_s : float
        Time to the first byte that was expected.
    started_s : float
        Time at which it was sent.
    limit_s : float
        The same for time limits, see `EndpointLoad.limit_forecast_s`.
    default_s : float
        The same at the default speed.
    before : float
        Unfinished prefill cost that probably lay before it.
    prefilling : bool
        Whether no byte of the response has arrived.
    """

    prefill_cost: float
    forecast_s: float
    started_s: float
    limit_s: float = 0.0
    default_s: float = 0.0
    before: float = 0.0
    prefilling: bool = True


@dataclasses.dataclass(slots=True)
class PeerReport:
    """Load that another router puts on an endpoint.

    Parameters
    ----------
    running : int
        Its requests at the endpoint.
    prefill_cost : float
        Cost of the prefills that are not finished.
    received_s : float
        Time at which this router received the report.
    """

    running: int
    prefill_cost: float
    received_s: float


class EndpointLoad:
    """Load, speed and failures of one endpoint, as known to this router.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds.

    Parameters
    ----------
    endpoint : Endpoint
    cache_retention_s : float
        Time for which a prompt prefix counts as cached after its last use.
    speeds : EndpointSpeeds or None
        Speeds of all endpoints; None for speeds of its own.
    incarnation : int
        Number of the endpoint process, which `speeds` tracks.
    """

    __slots__ = (
        '_ejected_until_s',
        '_ejection_s',
        '_failure_share',
        '_failure_updated_s',
        '_heard_s',
        '_lateness',
        '_peer_prefill_cost',
        '_peer_running',
        '_recent_cost',
        '_recent_s',
        '_reports',
        '_speeds',
        'busy_average',
        'cache',
        'endpoint',
        'for_long_prompts',
        'in_flight',
        'incarnation',
        'outlier',
        'prefill_cost',
        'queued_at_s',
        'queued_s',
        'report_interval_s',
        'reported',
    )

    def __init__(
        self,
        endpoint: Endpoint,
        cache_retention_s: float,
        speeds: EndpointSpeeds | None = None,
        incarnation: int = 0,
    ) -> None:
        self.endpoint = endpoint
        if speeds is None:
            speeds = EndpointSpeeds()
            speeds.track(incarnation, endpoint.service, endpoint.version)
        self._speeds = speeds
        self.incarnation = incarnation
        # Time between two reports of a router.
        self.report_interval_s = 0.0
        # Prefill cost that this router sent recently, decaying.
        self._recent_cost = 0.0
        self._recent_s = 0.0
        # Moving average of the ratio of the time to the first token to the
        # forecast at the default speed.
        self._lateness = 1.0
        # Moving average of the share of its speed that is in use.
        self.busy_average = 0.0
        self.cache = PromptCache(cache_retention_s)
        self.outlier = OutlierDetector()
        # Whether this is one of the endpoints reserved for long prompts.
        self.for_long_prompts = False
        self.in_flight: dict[InFlightRequest, None] = {}
        self._reports: dict[str, PeerReport] = {}
        # Sums of the reports, so that a choice costs the same with any
        # number of routers.
        self._peer_running = 0
        self._peer_prefill_cost = 0.0
        # Whether the last report to other routers included load at this
        # endpoint.
        self.reported = False
        # Cost of the unfinished prefills of this router's requests.
        self.prefill_cost = 0.0
        self._failure_share = 0.0
        self._failure_updated_s = 0.0
        self._ejected_until_s = 0.0
        self._ejection_s = _FIRST_EJECTION_S
        self._heard_s = 0.0
        # By how much the last prompt with a response waited longer than its
        # own prefill takes, and when that response began.
        self.queued_s = 0.0
        self.queued_at_s = float('-inf')

    def snapshot(self, speeds: EndpointSpeeds) -> EndpointLoad:
        """Return a copy that is only read, with other speeds.

        Parameters
        ----------
        speeds : EndpointSpeeds
            From `EndpointSpeeds.snapshot`: a speed that is read may be
            computed anew, which later speeds depend on.
        """
        load = copy.copy(self)
        load._speeds = speeds
        return load

    @property
    def running(self) -> int:
        """Requests at the endpoint, of this router and as reported."""
        return len(self.in_flight) + self._peer_running

    @property
    def pending_prefill_cost(self) -> float:
        """Cost of the unfinished prefills at the endpoint."""
        return self.prefill_cost + self._peer_prefill_cost

    def apply_report(self, router: str, report: PeerReport) -> None:
        """Replace the load that another router puts on the endpoint."""
        self._drop_report(router)
        if report.running or report.prefill_cost:
            self._reports[router] = report
            self._peer_running += report.running
            self._peer_prefill_cost += report.prefill_cost

    def expire_reports(
        self, now_s: float, report_interval_s: float = 0.0
    ) -> None:
        """Drop old reports; to be called about twice a second.

        Parameters
        ----------
        now_s : float
        report_interval_s : float
            Time between two reports of a router.
        """
        self.report_interval_s = report_interval_s
        busy = self._speeds.busy_share(self.incarnation, now_s)
        self.busy_average += _BUSY_WEIGHT * (busy - self.busy_average)
        expired = [
            router
            for router, report in self._reports.items()
            if now_s - report.received_s >= _REPORT_MAX_AGE_S
        ]
        for router in expired:
            self._drop_report(router)

    def _drop_report(self, router: str) -> None:
        report = self._reports.pop(router, None)
        if report is not None:
            self._peer_running -= report.running
            self._peer_prefill_cost -= report.prefill_cost

    @property
    def reported_cost(self) -> float:
        """Cost of the unfinished prefills of other routers, as reported."""
        return self._peer_prefill_cost

    @property
    def outdated(self) -> float:
        """How much the reports of other routers lag, from 0 to 1."""
        late_s = self.report_interval_s - _FRESH_INTERVAL_S
        return min(
            1.0,
            max(0.0, late_s / (_OUTDATED_INTERVAL_S - _FRESH_INTERVAL_S)),
        )

    def tokens_per_s(self, now_s: float) -> float:
        """Return the speed in units of prefill cost a second."""
        return self._speeds.tokens_per_s(self.incarnation, now_s)

    def recent_cost(self, now_s: float) -> float:
        """Return the prefill cost that this router sent recently."""
        age_s = now_s - self._recent_s
        return self._recent_cost * math.exp(-age_s / _RECENT_S)

    def forecast_s(self, prefill_cost: float, now_s: float) -> float:
        """Return the expected time to the first byte of a further request.

        Parameters
        ----------
        prefill_cost : float
            Of the further request; 0 if it is not a prompt.
        now_s : float
        """
        wait_s = self._congestion_s(
            len(self.in_flight) + (1 - self.outdated) * self._peer_running
        )
        cost = self.prefill_cost + prefill_cost
        if cost or self._peer_prefill_cost:
            speed = self.tokens_per_s(now_s)
            wait_s += (cost + self._expected_cost(speed)) / speed
        if prefill_cost:
            wait_s += BASE_FIRST_TOKEN_S
            wait_s += self._speeds.unseen_wait_s(self.endpoint.service)
        return wait_s

    def limit_forecast_s(self, prefill_cost: float, now_s: float) -> float:
        """Return the time to the first byte to base time limits on.

        Not less than at the default speed with all reported work, times how
        late first tokens were: requests are given up no earlier because an
        endpoint is fast or reports count less.

        Parameters
        ----------
        prefill_cost : float
        now_s : float
        """
        return max(
            self._lateness * self._default_s(prefill_cost),
            self.forecast_s(prefill_cost, now_s),
        )

    def _default_s(self, prefill_cost: float) -> float:
        cost = self.pending_prefill_cost + prefill_cost
        wait_s = cost / PREFILL_TOKENS_PER_S + self._congestion_s(self.running)
        return wait_s + (BASE_FIRST_TOKEN_S if prefill_cost else 0.0)

    def _expected_cost(self, tokens_per_s: float) -> float:
        # Unfinished prefill cost of other routers. What an outdated report
        # names is done, unless it was much. A speed that was learnt too low
        # must not make such reports count more, as all routers then avoid and
        # choose the same endpoints.
        speed = max(PREFILL_TOKENS_PER_S, tokens_per_s)
        done = _REPORT_AGE_INTERVALS * self.report_interval_s * speed
        reported = self._peer_prefill_cost
        return reported - self.outdated * min(reported, done)

    def _congestion_s(self, processed: float) -> float:
        # Outdated numbers of requests made all routers choose the same
        # endpoints, so `processed` leaves them out; full endpoints still count
        # as full.
        wait_s = _RUNNING_REQUEST_S * processed
        excess = self.running - self.endpoint.slots
        if excess >= 0:
            wait_s += _FULL_PENALTY_S * (1 + excess / self.endpoint.slots)
        return wait_s

    def failure_share(self, now_s: float) -> float:
        """Return the share of recent requests that failed, from 0 to 1."""
        age_s = now_s - self._failure_updated_s
        return self._failure_share * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S)

    def stalled_s(self, now_s: float) -> float:
        """Return by how much the oldest request without a response is late.

        Returns
        -------
        float
            Seconds beyond the time allowed; 0 if the endpoint is not stalled.
        """
        for in_flight in self.in_flight:
            if in_flight.prefilling:
                late_s = now_s - in_flight.started_s
                allowed_s = max(
                    _STALL_MIN_S, _STALL_FACTOR * in_flight.limit_s
                )
                return max(0.0, late_s - allowed_s)
        return 0.0

    def record_heard(self, now_s: float) -> None:
        """Record that any part of a response arrived."""
        self._heard_s = now_s

    def is_silent(self, now_s: float) -> bool:
        """Whether no request of this router has got anything for a while."""
        for oldest in self.in_flight:
            since_s = max(self._heard_s, oldest.started_s)
            return now_s - since_s >= _SILENT_S
        return False

    def is_ejected(self, now_s: float) -> bool:
        """Whether the endpoint is avoided after a failed connection."""
        return now_s < self._ejected_until_s

    def is_avoided(self, now_s: float) -> bool:
        """Whether the endpoint is avoided after failures of any kind."""
        return self.is_ejected(now_s) or self.outlier.is_ejected(now_s)

    def add_request(
        self, prefill_cost: float, now_s: float
    ) -> InFlightRequest:
        """Add a request that is sent now."""
        in_flight = InFlightRequest(
            prefill_cost,
            self.forecast_s(prefill_cost, now_s),
            now_s,
            self.limit_forecast_s(prefill_cost, now_s),
            self._default_s(prefill_cost),
            self.prefill_cost + self._expected_cost(self.tokens_per_s(now_s)),
        )
        self._recent_cost = self.recent_cost(now_s) + prefill_cost
        self._recent_s = now_s
        self.in_flight[in_flight] = None
        self.prefill_cost += prefill_cost
        self.outlier.record_probe(now_s)
        return in_flight

    def record_first_byte(
        self, in_flight: InFlightRequest, now_s: float
    ) -> None:
        """Record the end of the prefill and learn the speed from it."""
        if not in_flight.prefilling:
            return
        in_flight.prefilling = False
        self.prefill_cost -= in_flight.prefill_cost
        if in_flight.prefill_cost:
            took_s = now_s - in_flight.started_s
            prefill_s = in_flight.prefill_cost / self.tokens_per_s(now_s)
            self.queued_s = max(0.0, took_s - prefill_s)
            self.queued_at_s = now_s
            ratio = took_s / in_flight.default_s
            ratio = min(_MAX_LATENESS, max(1.0, ratio))
            self._lateness += _LATENESS_WEIGHT * (ratio - self._lateness)
            self._speeds.record_forecast(
                self.endpoint.service, in_flight.forecast_s, took_s
            )
            self._speeds.record_prefill(
                self.incarnation,
                in_flight.prefill_cost,
                took_s,
                now_s,
                before=in_flight.before,
            )

    def remove_request(self, in_flight: InFlightRequest) -> None:
        """Remove a request that has ended."""
        if in_flight.prefilling:
            in_flight.prefilling = False
            self.prefill_cost -= in_flight.prefill_cost
        self.in_flight.pop(in_flight, None)

    def record_result(self, *, failed: bool, now_s: float) -> None:
        """Record whether a request failed; a success ends an ejection."""
        share = self.failure_share(now_s)
        self._failure_share = share + _FAILURE_WEIGHT * (failed - share)
        self._failure_updated_s = now_s
        if not failed:
            self._ejection_s = _FIRST_EJECTION_S
            self._ejected_until_s = 0.0
            self.outlier.record_complete(now_s)

    def forget_failures(self) -> None:
        """Take back failures that were not those of the endpoint."""
        self._ejection_s = _FIRST_EJECTION_S
        self._ejected_until_s = 0.0
        self.outlier.forget_own()

    def eject(self, now_s: float) -> float:
        """Avoid the endpoint for a while after a connection failed.

        Returns
        -------
        float
            Duration of the ejection in seconds.
        """
        ejection_s = self._ejection_s
        self._ejected_until_s = now_s + ejection_s
        self._ejection_s = min(_MAX_EJECTION_S, 2 * ejection_s)
        return ejection_s
