"""Preference of a few endpoints for the shared parts of a prompt.

Designed for many routers whose reports are outdated. Each spreads its prompts
by what it sent itself, so even one prompt of this router at an endpoint
outweighed a part of 4,870 tokens that was known to be cached there: at half
load, a quarter of all shared tokens were read again. Here, endpoints that
cache a part are exempt from that spreading while the part is asked for
rarely. If none is known, all routers prefer the same endpoints, by rendezvous
hash weighted by speed.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import math

import xxhash

from ._endpoint_load import EndpointLoad
from ._endpoint_load import prefill_cost

# Endpoints that are preferred where none is known to cache a part, and the
# share of the cost of reading it again that counts there. The second takes
# over where the first has a wait.
_REPEATED_SHARES = (0.0, 0.5)
# Tokens that no endpoint has cached from which on endpoints are preferred.
# Reading fewer takes less than 30 ms, and parts common to a route are short:
# all routers would send to the same endpoint until the first reports.
_MIN_TOKENS = 1_024
# Share of an endpoint's speed that the prompts with one part may take. All
# routers prefer the endpoint unseen by each other for a second.
_MAX_SPEED_SHARE = 0.1
# Endpoints needed for a part from which on it is cached at most endpoints
# anyway, so none is preferred.
_MAX_ENDPOINTS = 8
_HASHES = 2.0**64


def rank_endpoints(
    key: int, loads: Iterable[EndpointLoad], now_s: float
) -> list[EndpointLoad]:
    """Return the endpoints that are preferred for a part, first one first.

    All routers get the same result unless the speeds they learnt differ, and
    it changes little when endpoints are added or removed.

    Parameters
    ----------
    key : int
        Of the prefix that ends with the part.
    loads : iterable of EndpointLoad
    now_s : float
    """

    def score(load: EndpointLoad) -> float:
        digest = xxhash.xxh64_intdigest(load.endpoint.id.encode(), key)
        return -math.log((digest + 1) / _HASHES) / load.tokens_per_s(now_s)

    return sorted(loads, key=score)[: len(_REPEATED_SHARES)]


def is_worth_ranking(prefixes: Sequence[tuple[int, int]]) -> bool:
    """Whether a prompt has shared parts that are long enough to prefer."""
    return len(prefixes) > 1 and prefixes[-2][1] >= _MIN_TOKENS


def find_preferred(
    loads: Sequence[EndpointLoad],
    cached: Sequence[int],
    *,
    prompt_tokens: int,
    prefixes: Sequence[tuple[int, int]],
    now_s: float,
) -> dict[EndpointLoad, float]:
    """Return the endpoints that are preferred for the parts of a prompt.

    Parameters
    ----------
    loads : sequence of EndpointLoad
        Candidates.
    cached : sequence of int
        Tokens of the prompt that each of them has probably cached.
    prompt_tokens : int
    prefixes : sequence of (int, int)
        From `prompt_prefixes`.
    now_s : float

    Returns
    -------
    dict of EndpointLoad to float
        Share of the cost of reading the parts again that counts there; empty
        if the parts are asked for too often.
    """
    if len(prefixes) < 2:
        return {}
    key, shared_tokens = prefixes[-2]
    holders = [
        load
        for load, tokens in zip(loads, cached, strict=True)
        if tokens >= shared_tokens
    ]
    if not holders:
        if shared_tokens - max(cached, default=0) < _MIN_TOKENS:
            return {}
        ranked = rank_endpoints(key, loads, now_s)
        return dict(zip(ranked, _REPEATED_SHARES, strict=False))
    if len(holders) > _MAX_ENDPOINTS:
        return {}
    uses_per_s = sum(load.cache.uses_per_s(key, now_s) for load in holders)
    speed = sum(load.tokens_per_s(now_s) for load in holders)
    rest = prefill_cost(prompt_tokens, shared_tokens)
    if uses_per_s * rest > _MAX_SPEED_SHARE * speed:
        return {}
    return dict.fromkeys(holders, 0.0)
