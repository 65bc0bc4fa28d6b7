"""Endpoints that less urgent prompts leave to more urgent ones.

Reports are older than the time that a prompt spends at an engine, so routers
cannot tell which engine is free at the moment; at random places, engines that
are used well make one urgent prompt in three wait behind several long ones.
All routers know the same list of endpoints, though, and from it they agree
without a message on a part that they keep free of less urgent prompts while
there is contention. The other endpoints can then be used fully.
"""

from __future__ import annotations

from collections.abc import Iterable
import math

import xxhash

# With fewer endpoints, one is too large a part to be reserved.
_MIN_ENDPOINTS = 4
# Part of a reserved endpoint's speed that urgent prompts use on average. They
# are short, so that they wait little for each other at this use.
_USED_SHARE = 0.7
# Bounds of the reserved part, whatever a router sees of urgent prompts.
_MIN_SHARE = 0.1
_MAX_SHARE = 0.25


def reserved_count(endpoints: int, urgent_share: float) -> int:
    """Return how many endpoints are reserved.

    Parameters
    ----------
    endpoints : int
        Endpoints of the service.
    urgent_share : float
        Part of the work that is more urgent, from 0 to 1.

    Examples
    --------
    >>> reserved_count(15, 0.15), reserved_count(3, 0.15)
    (3, 0)
    """
    if endpoints < _MIN_ENDPOINTS:
        return 0
    share = min(_MAX_SHARE, max(_MIN_SHARE, urgent_share / _USED_SHARE))
    return max(1, math.floor(share * endpoints + 0.5))


def rank_endpoints(endpoints: Iterable[tuple[str, bool]]) -> dict[str, int]:
    """Return the place of each endpoint; the first ones are reserved.

    The order changes little when endpoints are added or removed.

    Parameters
    ----------
    endpoints : iterable of (str, bool)
        Id, and whether long prompts are restricted to the endpoint; these
        are reserved last.
    """
    ranked = sorted(
        endpoints,
        key=lambda item: (
            item[1],
            xxhash.xxh64_intdigest(item[0].encode(), seed=1),
        ),
    )
    return {name: place for place, (name, _) in enumerate(ranked)}
