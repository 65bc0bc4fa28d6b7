"""Endpoints that long prompts are kept to.

Answers the load pattern of a few very long prompts among many streams. While
an engine reads a prompt of 20,000 tokens or more, each of its steps takes so
long that all streams beside it pause for more than 300 ms. Kept to a part of
the endpoints, long prompts delay the few streams there.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

# Prompts from this length on slow a step of an engine to 60 ms, five of which
# make the longest pause on time.
LONG_PROMPT_TOKENS = 16_000
# Part of the endpoints, about the part of all prompt tokens that are in long
# prompts.
_SHARE = 0.3
# Fewer endpoints are not divided.
_MIN_ENDPOINTS = 3


def long_prompt_endpoints(endpoint_ids: Iterable[str]) -> frozenset[str]:
    """Return the endpoints for long prompts.

    All routers that know the same endpoints choose the same ones, and the
    choice changes little when endpoints come and go.

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
