"""Work that a request needs, in seconds of an endpoint."""

from __future__ import annotations

# Work of one output token: a step of an engine takes this much longer for
# each request that it processes.
OUTPUT_TOKEN_S = 0.0004


def work_s(
    prefill_cost: float, output_tokens: int, tokens_per_s: float
) -> float:
    """Return the time for which a request occupies an endpoint.

    Parameters
    ----------
    prefill_cost : float
        From `prefill_cost`, less the cached tokens.
    output_tokens : int
        Expected length of the response.
    tokens_per_s : float
        Prefill speed of the endpoint.

    Examples
    --------
    >>> work_s(13_000, 500, 65_000)
    0.4
    """
    return prefill_cost / tokens_per_s + OUTPUT_TOKEN_S * output_tokens
