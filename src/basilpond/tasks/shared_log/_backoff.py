"""Delays between attempts to contact the log."""

from __future__ import annotations

import random


class Backoff:
    """Exponential delays with jitter that stay below a maximum.

    With the default maximum, the first attempt after an outage comes within
    one second of its end. The jitter keeps routers from reconnecting at the
    same moment.

    Parameters
    ----------
    seed : str
        Equal seeds give equal delays; routers use their incarnation id.
    first_s, max_s : float
        Delay after the first failure, and upper bound, before the jitter
        multiplies them by a factor between 0.5 and 1.
    """

    def __init__(
        self, seed: str, *, first_s: float = 0.05, max_s: float = 0.9
    ) -> None:
        self.first_s = first_s
        self.max_s = max_s
        self._random = random.Random(seed)
        self._failures = 0

    def next_delay_s(self) -> float:
        """Count one more failure and return the delay after it in seconds."""
        delay_s = min(self.max_s, self.first_s * 2**self._failures)
        # Keeps the exponent small during a long outage.
        self._failures = min(self._failures + 1, 16)
        return delay_s * self._random.uniform(0.5, 1)

    def reset(self) -> None:
        """Return to the first delay; called after a success."""
        self._failures = 0
