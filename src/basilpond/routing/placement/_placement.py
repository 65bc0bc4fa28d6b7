"""Choice of an endpoint by the time that a request would wait there.

Designed for prompts of heavy-tailed length on few engines: a prompt of 50,000
tokens occupies an engine for most of a second, so the number of requests is a
poor estimate of the wait. Instead, it is computed from the prompt tokens that
are not prefilled yet, of this router and as reported by other routers.
"""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import random

from .._long_prompts import LONG_PROMPT_TOKENS
from .._outlier_detection import MAX_EJECTED_SHARE
from .._reachability import Reachability
from ._endpoint_load import EndpointLoad
from ._endpoint_load import prefill_cost
from ._part_affinity import find_preferred
from ._part_affinity import is_worth_ranking
from ._part_affinity import rank_endpoints

# Weight of the prefill of shared prompt parts that are not cached, on top of
# the wait of the request itself, as it delays the other requests of the
# endpoint, too.
_REPEATED_PREFILL_WEIGHT = 2.0
# Cost of the prefill of a long prompt, for each request that it interrupts at
# the endpoint, and cost of any other request at an endpoint for long prompts.
_PAUSED_STREAM_PENALTY_S = 0.06
_LONG_PROMPT_INTERFERENCE_S = 0.15
# Cost of an endpoint in another data centre, as traffic to it is charged.
_REMOTE_PENALTY_S = 0.004
# Cost of beginning a stream at the only endpoint of its software version: if
# that breaks, no other can continue the stream.
_LONE_VERSION_PENALTY_S = 0.02
# Time that a failed request costs its caller, approximately.
_FAILURE_PENALTY_S = 2.0
# Endpoints compared for one request, besides those that cache its prompt.
_MAX_COMPARED = 16
# The same with outdated reports, by which they cannot all be the same few.
_MAX_COMPARED_OUTDATED = 32
# Weight of the mean wait at endpoints to which this router sent its share of
# recent work, where reports are outdated. In trials with exact speeds, the
# busiest endpoint got 1.3 times the mean with 1, and waits grew with 10.
_SPREAD_WEIGHT = 3.0


@dataclasses.dataclass(slots=True)
class Choice:
    """An endpoint that was chosen, with values of the decision.

    Parameters
    ----------
    load : EndpointLoad
    forecast_s : float
        Expected time to the first byte.
    limit_forecast_s : float
        The same for time limits, see `EndpointLoad.limit_forecast_s`.
    cached_tokens : int
        Prompt tokens that the endpoint has probably cached.
    prefill_cost : float
        Cost of the prefill of the other tokens.
    candidates : int
        Number of endpoints compared.
    """

    load: EndpointLoad
    forecast_s: float
    limit_forecast_s: float
    cached_tokens: int
    prefill_cost: float
    candidates: int


@dataclasses.dataclass(slots=True, frozen=True)
class RatedEndpoint:
    """An endpoint in the order of preference.

    Parameters
    ----------
    load : EndpointLoad
    cost_s : float
        Expected wait plus penalties.
    forecast_s : float
        Expected time to the first byte.
    ejected : bool
        Whether all others are preferred.
    """

    load: EndpointLoad
    cost_s: float
    forecast_s: float
    ejected: bool


def sample_loads(
    loads: list[EndpointLoad],
    prefixes: list[tuple[int, int]],
    rng: random.Random,
    now_s: float,
) -> list[EndpointLoad]:
    """Return the endpoints that are compared for a request.

    All routers receive the same reports, with a delay: if all of them
    compared all endpoints, they would choose the same few. A sample also
    bounds the cost of a choice.

    Parameters
    ----------
    loads : list of EndpointLoad
        Candidates.
    prefixes : list of (int, int)
        From `prompt_prefixes`; endpoints that have read the longest shared
        prefix are always included. If there is none and reports are outdated,
        those that all routers prefer are included.
    rng : random.Random
    now_s : float
    """
    compared = _MAX_COMPARED
    outdated = bool(loads and loads[0].outdated)
    if outdated:
        compared = _MAX_COMPARED_OUTDATED
    if len(loads) <= compared:
        return loads
    sample = rng.sample(loads, compared)
    if len(prefixes) > 1:
        key = prefixes[-2][0]
        known = [load for load in loads if load.cache.has(key)]
        if outdated and is_worth_ranking(prefixes):
            fresh = [x for x in known if x.cache.is_cached(key, now_s)]
            known = fresh or rank_endpoints(key, loads, now_s)
        sample += known
    return list(dict.fromkeys(sample))


def _spread_waits_s(
    loads: list[EndpointLoad], now_s: float
) -> dict[EndpointLoad, float]:
    # Outdated reports tell how much work lies at all endpoints together, but
    # no longer where: if all routers chose by them, they would choose the same
    # endpoints, or the same data centre, until the next reports. The other
    # routers spread their work as this one does, so it counts where this one
    # sent its own.
    if not loads or not loads[0].outdated:
        return {}
    speeds = [load.tokens_per_s(now_s) for load in loads]
    recent_s = [
        load.recent_cost(now_s) / speed
        for load, speed in zip(loads, speeds, strict=True)
    ]
    mean_s = sum(recent_s) / len(loads)
    if not mean_s:
        return {}
    wait_s = sum(load.reported_cost for load in loads) / sum(speeds)
    # While most endpoints are idle, prompts need not wait.
    busy = sum(load.reported_cost > 0 for load in loads) / len(loads)
    weight = _SPREAD_WEIGHT * loads[0].outdated * busy * wait_s / mean_s
    return {
        load: weight * own_s
        for load, own_s in zip(loads, recent_s, strict=True)
    }


def choose_endpoint(
    loads: Iterable[EndpointLoad],
    *,
    prompt_tokens: int,
    prefixes: list[tuple[int, int]],
    data_centre: str,
    reachability: Reachability,
    now_s: float,
    rng: random.Random,
    lone_versions: Container[str] = (),
) -> Choice | None:
    """Return the endpoint with the lowest cost for a request.

    The cost is the expected wait plus penalties in seconds. An ejected
    endpoint is chosen only if all candidates are ejected. Ejections for
    broken requests are ignored if they concern most of the candidates.

    Parameters
    ----------
    loads : iterable of EndpointLoad
        Candidates.
    prompt_tokens : int
        0 for requests that are not prompts.
    prefixes : list of (int, int)
        From `prompt_prefixes`.
    data_centre : str
        Data centre of this router.
    reachability : Reachability
        Endpoints of a data centre that is avoided count as ejected.
    now_s : float
    rng : random.Random
        Breaks ties, so that not all routers choose the same endpoint.
    lone_versions : container of str
        Software versions of which only one endpoint accepts requests, if the
        request is a stream that others of its version could continue.

    Returns
    -------
    Choice or None
        None if there are no candidates.
    """
    best: Choice | None = None
    best_cost_s = 0.0
    best_ejected = True
    candidates = 0
    for load, ejected, cost_s, forecast_s, cached, added_cost in _rate(
        list(loads),
        prompt_tokens,
        prefixes,
        data_centre,
        reachability,
        now_s,
        rng,
        lone_versions,
    ):
        candidates += 1
        if best is None or (ejected, cost_s) < (best_ejected, best_cost_s):
            best = Choice(load, forecast_s, 0.0, cached, added_cost, 0)
            best_cost_s = cost_s
            best_ejected = ejected
    if best is not None:
        best.candidates = candidates
        best.limit_forecast_s = best.load.limit_forecast_s(
            best.prefill_cost, now_s
        )
    return best


def order_endpoints(
    loads: Iterable[EndpointLoad],
    *,
    prompt_tokens: int,
    prefixes: list[tuple[int, int]],
    data_centre: str,
    reachability: Reachability,
    now_s: float,
    rng: random.Random,
    lone_versions: Container[str] = (),
) -> list[RatedEndpoint]:
    """Return all endpoints in the order of preference.

    The parameters are those of `choose_endpoint`, which returns the first.
    """
    rated = [
        RatedEndpoint(load, cost_s, forecast_s, ejected)
        for load, ejected, cost_s, forecast_s, _, _ in _rate(
            list(loads),
            prompt_tokens,
            prefixes,
            data_centre,
            reachability,
            now_s,
            rng,
            lone_versions,
        )
    ]
    rated.sort(key=lambda item: (item.ejected, item.cost_s))
    return rated


def _rate(
    loads: list[EndpointLoad],
    prompt_tokens: int,
    prefixes: list[tuple[int, int]],
    data_centre: str,
    reachability: Reachability,
    now_s: float,
    rng: random.Random,
    lone_versions: Container[str],
) -> Iterator[tuple[EndpointLoad, bool, float, float, int, float]]:
    # Yields each endpoint, whether it is ejected, its cost, the forecast, the
    # cached tokens and the cost of the prefill of the others.
    is_long = prompt_tokens >= LONG_PROMPT_TOKENS
    # The last part of a prompt is not shared with other requests.
    shared_tokens = prefixes[-2][1] if len(prefixes) > 1 else 0
    outliers = [load for load in loads if load.outlier.is_ejected(now_s)]
    if len(outliers) > MAX_EJECTED_SHARE * len(loads):
        outliers = []
    spread_s = _spread_waits_s(loads, now_s) if prompt_tokens else {}
    shared = prefixes[:-1]
    cached_tokens = [load.cache.cached_tokens(shared, now_s) for load in loads]
    preferred = {}
    if prompt_tokens and loads and loads[0].outdated:
        preferred = find_preferred(
            loads,
            cached_tokens,
            prompt_tokens=prompt_tokens,
            prefixes=prefixes,
            now_s=now_s,
        )
    for load, cached in zip(loads, cached_tokens, strict=True):
        added_cost = (
            prefill_cost(prompt_tokens, cached) if prompt_tokens else 0.0
        )
        forecast_s = load.forecast_s(added_cost, now_s)
        if is_long:
            interference_s = _PAUSED_STREAM_PENALTY_S * load.running
        else:
            interference_s = (
                _LONG_PROMPT_INTERFERENCE_S * load.for_long_prompts
            )
        repeated_s = 0.0
        if shared_tokens > cached:
            repeated_s = (
                _REPEATED_PREFILL_WEIGHT
                * preferred.get(load, 1.0)
                * (shared_tokens - cached)
                / load.tokens_per_s(now_s)
            )
        cost_s = (
            forecast_s
            + repeated_s
            + (0.0 if load in preferred else spread_s.get(load, 0.0))
            + load.stalled_s(now_s)
            + _FAILURE_PENALTY_S * load.failure_share(now_s)
            + load.endpoint.slow_start_s * 0.1
            + interference_s
            + (load.endpoint.version in lone_versions)
            * _LONE_VERSION_PENALTY_S
            + (load.endpoint.data_centre != data_centre) * _REMOTE_PENALTY_S
            + 0.001 * rng.random()
        )
        ejected = (
            load.is_ejected(now_s)
            or load in outliers
            or reachability.is_avoided(load.endpoint.data_centre, now_s)
        )
        yield load, ejected, cost_s, forecast_s, cached, added_cost
