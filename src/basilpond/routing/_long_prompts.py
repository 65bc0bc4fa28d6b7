"""Selection of the endpoints that long prompts are restricted to.

Designed for a few very long prompts among many streams. During the prefill of
a prompt of 20,000 tokens or more, each step of the engine takes so long that
all its other streams pause for more than 300 ms. If long prompts are
restricted to some endpoints, they delay only the few streams there.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

# Prompts of this length or more extend a step of an engine to 60 ms. Five such
# steps take as long as the maximum on-time interval between events.
LONG_PROMPT_TOKENS = 16_000
# Part of the endpoints; about the part of all prompt tokens that belong to
# long prompts.
_SHARE = 0.3
# With fewer endpoints, none is reserved for long prompts.
_MIN_ENDPOINTS = 3


def long_prompt_endpoints(endpoint_ids: Iterable[str]) -> frozenset[str]:
    """Return the ids of the endpoints for long prompts.

    All routers that know the same endpoints select the same ones, and the
    selection changes little when endpoints are added or removed.

    Examples
    --------
    >>> len(long_prompt_endpoints(['a', 'b', 'c', 'd', 'e', 'f']))
    2
    >>> long_prompt_endpoints(['a', 'b'])
    frozenset()
    """
    ranked = sorted(endpoint_ids, key=_rank)
    if len(ranked) < _MIN_ENDPOINTS:
        return frozenset()
    return frozenset(ranked[: max(1, round(_SHARE * len(ranked)))])


def _rank(endpoint_id: str) -> int:
    return xxhash.xxh64_intdigest(endpoint_id.encode())
