"""Choice of an endpoint by the time that a request would wait there.

Answers the load pattern of prompts with a heavy tail on few engines: a prompt
of 50,000 tokens occupies an engine for most of a second, so counting requests
misjudges the wait. The wait is computed from the prompt tokens that are not
read yet, on this router and as other routers report theirs.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import random

from ._long_prompts import LONG_PROMPT_TOKENS
from ._prompt_cache import PromptCache
from ._types import Endpoint

# Speed at which an engine reads prompts, from the sheets of both sites. Only
# its ratio to the other terms matters; differences between endpoints are
# learnt.
PREFILL_TOKENS_PER_S = 65_000.0
# Attention makes a token of a long prompt dearer: half of 0.33 ms for each
# million pairs, in tokens of 1/65 ms.
PAIR_WEIGHT = 1.1e-5
# Time to the first token of a short prompt at an idle engine.
_BASE_FIRST_TOKEN_S = 0.03
# Reading a shared part again delays the other requests of its endpoint, too,
# so it costs this much more than the request's own wait.
_REPEATED_PREFILL_WEIGHT = 2.0
# Cost of reading a long prompt, by the streams that pause beside it, and of
# starting a stream at an endpoint for long prompts.
_PAUSED_STREAM_PENALTY_S = 0.06
_LONG_PROMPT_INTERFERENCE_S = 0.15
# Time that a running request adds to the first token of another.
_RUNNING_REQUEST_S = 0.0004
# Time by which a full endpoint is worse than one with a free slot.
_FULL_PENALTY_S = 0.25
# Cost of leaving the data centre, where bytes are priced.
_REMOTE_PENALTY_S = 0.004
# A failed request costs its caller about this much time.
_FAILURE_PENALTY_S = 2.0
# Weight of the newest result in an endpoint's share of failures.
_FAILURE_WEIGHT = 0.1
# Time after which the share of failures has halved without new results.
_FAILURE_HALF_LIFE_S = 4.0
# Weight of the newest first token in an endpoint's speed.
_SPEED_WEIGHT = 0.1
_MIN_SLOWNESS = 0.5
_MAX_SLOWNESS = 6.0
# Endpoints compared for one request, besides those that keep its prompt.
_MAX_COMPARED = 16
# Reports of other routers older than this are ignored.
_REPORT_MAX_AGE_S = 2.0
# An answer that is late by this multiple of the forecast and this time marks
# its endpoint as stalled.
_STALL_FACTOR = 3.0
_STALL_MIN_S = 0.5
# Pause after a refused or timed-out connection; doubles up to the maximum.
_FIRST_EJECTION_S = 0.5
_MAX_EJECTION_S = 4.0


def prefill_cost(tokens: int, cached_tokens: int) -> float:
    """Return the work of reading a prompt, in tokens of a short one."""
    linear = tokens - cached_tokens
    pairs = tokens * tokens - cached_tokens * cached_tokens
    return linear + PAIR_WEIGHT * pairs


@dataclasses.dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request at an endpoint.

    Parameters
    ----------
    prefill_cost : float
        Prompt tokens to read; 0 for requests that are no prompts.
    forecast_s : float
        Time to the first byte that was expected.
    """

    prefill_cost: float
    forecast_s: float
    started_s: float
    prefilling: bool = True


@dataclasses.dataclass(slots=True)
class PeerReport:
    """Load that another router puts on an endpoint."""

    running: int
    prefill_cost: float
    received_s: float


class EndpointLoad:
    """What this router knows about the load of one endpoint.

    Parameters
    ----------
    endpoint : Endpoint
    cache_retention_s : float
        Time for which prompt parts count as kept.
    """

    __slots__ = (
        '_ejected_until_s',
        '_ejection_s',
        '_failure_share',
        '_failure_updated_s',
        '_peer_prefill_cost',
        '_peer_running',
        '_reports',
        'cache',
        'endpoint',
        'for_long_prompts',
        'in_flight',
        'prefill_cost',
        'reported',
        'slowness',
    )

    def __init__(self, endpoint: Endpoint, cache_retention_s: float) -> None:
        self.endpoint = endpoint
        self.cache = PromptCache(cache_retention_s)
        # Whether long prompts are kept to this endpoint.
        self.for_long_prompts = False
        self.in_flight: dict[InFlightRequest, None] = {}
        self._reports: dict[str, PeerReport] = {}
        # Sums of the reports, so that a choice costs the same with any
        # number of routers.
        self._peer_running = 0
        self._peer_prefill_cost = 0.0
        # Whether the last report to other routers named load here.
        self.reported = False
        # Prompt tokens of own requests that are not read yet.
        self.prefill_cost = 0.0
        # Ratio of the time to the first token to its forecast.
        self.slowness = 1.0
        self._failure_share = 0.0
        self._failure_updated_s = 0.0
        self._ejected_until_s = 0.0
        self._ejection_s = _FIRST_EJECTION_S

    @property
    def running(self) -> int:
        """Requests at the endpoint, as far as known."""
        return len(self.in_flight) + self._peer_running

    @property
    def pending_prefill_cost(self) -> float:
        """Prompt tokens at the endpoint that are not read."""
        return self.prefill_cost + self._peer_prefill_cost

    def apply_report(self, router: str, report: PeerReport) -> None:
        """Take the load that another router puts on the endpoint."""
        self._drop_report(router)
        if report.running or report.prefill_cost:
            self._reports[router] = report
            self._peer_running += report.running
            self._peer_prefill_cost += report.prefill_cost

    def expire_reports(self, now_s: float) -> None:
        """Forget old reports; called about once a second."""
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

    def forecast_s(self, prefill_cost: float) -> float:
        """Return the time to the first byte of another request."""
        running = self.running
        wait_s = (
            self.pending_prefill_cost + prefill_cost
        ) / PREFILL_TOKENS_PER_S
        wait_s += _RUNNING_REQUEST_S * running
        excess = running - self.endpoint.slots
        if excess >= 0:
            wait_s += _FULL_PENALTY_S * (1 + excess / self.endpoint.slots)
        return (
            wait_s + (_BASE_FIRST_TOKEN_S if prefill_cost else 0.0)
        ) * self.slowness

    def failure_share(self, now_s: float) -> float:
        """Return the share of recent requests that failed here."""
        age_s = now_s - self._failure_updated_s
        return self._failure_share * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S)

    def stalled_s(self, now_s: float) -> float:
        """Return how far the oldest unanswered request is behind."""
        for in_flight in self.in_flight:
            if in_flight.prefilling:
                late_s = now_s - in_flight.started_s
                allowed_s = max(
                    _STALL_MIN_S, _STALL_FACTOR * in_flight.forecast_s
                )
                return max(0.0, late_s - allowed_s)
        return 0.0

    def is_ejected(self, now_s: float) -> bool:
        """Whether connections failed a moment ago."""
        return now_s < self._ejected_until_s

    def add_request(
        self, prefill_cost: float, now_s: float
    ) -> InFlightRequest:
        """Count a request that is sent now."""
        in_flight = InFlightRequest(
            prefill_cost, self.forecast_s(prefill_cost), now_s
        )
        self.in_flight[in_flight] = None
        self.prefill_cost += prefill_cost
        return in_flight

    def record_first_byte(
        self, in_flight: InFlightRequest, now_s: float
    ) -> None:
        """Count the prompt as read and learn the endpoint's speed."""
        if not in_flight.prefilling:
            return
        in_flight.prefilling = False
        self.prefill_cost -= in_flight.prefill_cost
        if in_flight.prefill_cost:
            observed_s = now_s - in_flight.started_s
            ratio = observed_s * self.slowness / in_flight.forecast_s
            ratio = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, ratio))
            self.slowness += _SPEED_WEIGHT * (ratio - self.slowness)

    def remove_request(self, in_flight: InFlightRequest) -> None:
        """Count a request as ended."""
        if in_flight.prefilling:
            in_flight.prefilling = False
            self.prefill_cost -= in_flight.prefill_cost
        self.in_flight.pop(in_flight, None)

    def record_result(self, *, failed: bool, now_s: float) -> None:
        """Count how a request ended."""
        share = self.failure_share(now_s)
        self._failure_share = share + _FAILURE_WEIGHT * (failed - share)
        self._failure_updated_s = now_s
        if not failed:
            self._ejection_s = _FIRST_EJECTION_S
            self._ejected_until_s = 0.0

    def eject(self, now_s: float) -> float:
        """Avoid the endpoint after a connection failed.

        Returns
        -------
        float
            Seconds.
        """
        ejection_s = self._ejection_s
        self._ejected_until_s = now_s + ejection_s
        self._ejection_s = min(_MAX_EJECTION_S, 2 * ejection_s)
        return ejection_s


@dataclasses.dataclass(slots=True)
class Choice:
    """An endpoint and why it was chosen.

    Parameters
    ----------
    load : EndpointLoad
    forecast_s : float
        Time to the first byte there.
    cached_tokens : int
    prefill_cost : float
    candidates : int
    """

    load: EndpointLoad
    forecast_s: float
    cached_tokens: int
    prefill_cost: float
    candidates: int


def sample_loads(
    loads: list[EndpointLoad],
    prefixes: list[tuple[int, int]],
    rng: random.Random,
) -> list[EndpointLoad]:
    """Return the endpoints that are compared for a request.

    Answers the load pattern of many routers with the same, late reports: if
    all compared all endpoints, they would choose the same few. A sample also
    bounds the cost of a choice.

    Parameters
    ----------
    loads : list of EndpointLoad
    prefixes : list of (int, int)
        From `prompt_prefixes`; endpoints that keep the longest shared run are
        always compared.
    rng : random.Random
    """
    if len(loads) <= _MAX_COMPARED:
        return loads
    sample = rng.sample(loads, _MAX_COMPARED)
    if len(prefixes) > 1:
        key = prefixes[-2][0]
        sample += [load for load in loads if load.cache.has(key)]
    return list(dict.fromkeys(sample))


def choose_endpoint(
    loads: Iterable[EndpointLoad],
    *,
    prompt_tokens: int,
    prefixes: list[tuple[int, int]],
    data_centre: str,
    now_s: float,
    rng: random.Random,
) -> Choice | None:
    """Return the endpoint at which a request waits least.

    Parameters
    ----------
    loads : iterable of EndpointLoad
        Candidates.
    prompt_tokens : int
    prefixes : list of (int, int)
        From `prompt_prefixes`.
    data_centre : str
        Of this router.
    now_s : float
    rng : random.Random
        Separates equal candidates, so that routers do not all choose one.
    """
    best: Choice | None = None
    best_cost_s = 0.0
    best_ejected = True
    candidates = 0
    is_long = prompt_tokens >= LONG_PROMPT_TOKENS
    # The last part belongs to the request itself.
    shared_tokens = prefixes[-2][1] if len(prefixes) > 1 else 0
    for load in loads:
        candidates += 1
        cached = load.cache.cached_tokens(prefixes[:-1], now_s)
        added_cost = (
            prefill_cost(prompt_tokens, cached) if prompt_tokens else 0.0
        )
        forecast_s = load.forecast_s(added_cost)
        if is_long:
            interference_s = _PAUSED_STREAM_PENALTY_S * load.running
        else:
            interference_s = (
                _LONG_PROMPT_INTERFERENCE_S * load.for_long_prompts
            )
        cost_s = (
            forecast_s
            + _REPEATED_PREFILL_WEIGHT
            * (shared_tokens - cached)
            / PREFILL_TOKENS_PER_S
            + load.stalled_s(now_s)
            + _FAILURE_PENALTY_S * load.failure_share(now_s)
            + load.endpoint.slow_start_s * 0.1
            + interference_s
            + (load.endpoint.data_centre != data_centre) * _REMOTE_PENALTY_S
            + 0.001 * rng.random()
        )
        ejected = load.is_ejected(now_s)
        if best is None or (ejected, cost_s) < (best_ejected, best_cost_s):
            best = Choice(load, forecast_s, cached, added_cost, 0)
            best_cost_s = cost_s
            best_ejected = ejected
    if best is not None:
        best.candidates = candidates
    return best
