"""Delays between attempts to reach the log."""

from __future__ import annotations

import random


class Backoff:
    """Exponential delays with jitter that stay below a maximum.

    The maximum keeps the first attempt after an outage within one second of
    its end; the jitter keeps routers from returning at the same moment.

    Parameters
    ----------
    seed : str
        Same seed, same delays; routers use their incarnation id.
    first_s, max_s : float
    """

    def __init__(
        self, seed: str, *, first_s: float = 0.05, max_s: float = 0.9
    ) -> None:
        self.first_s = first_s
        self.max_s = max_s
        self._random = random.Random(seed)
        self._failures = 0

    def next_delay_s(self) -> float:
        """Return the delay after one more failure."""
        delay_s = min(self.max_s, self.first_s * 2**self._failures)
        # Bounds the exponent during a long outage.
        self._failures = min(self._failures + 1, 16)
        return delay_s * self._random.uniform(0.5, 1)

    def reset(self) -> None:
        """Start from the first delay again after a success."""
        self._failures = 0
