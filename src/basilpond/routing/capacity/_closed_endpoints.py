"""Endpoints that get no request now: those that ask for quiet, or are cold."""

from __future__ import annotations

from collections.abc import Collection

from .._quiet_endpoints import QuietEndpoints
from ._cold_endpoints import ColdEndpoints

# Retry interval of a request while this router may send nothing to cold
# endpoints: another router, which the next attempt reaches, may.
_COLD_RETRY_S = 0.3


class ClosedEndpoints:
    """Whether and when endpoints get requests of this router.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds; endpoints are given by the number of their process.

    Parameters
    ----------
    quiet : QuietEndpoints
    cold : ColdEndpoints
    """

    __slots__ = ('_cold', '_quiet')

    def __init__(self, quiet: QuietEndpoints, cold: ColdEndpoints) -> None:
        self._quiet = quiet
        self._cold = cold

    @property
    def is_empty(self) -> bool:
        """Whether all endpoints are open."""
        return self._quiet.is_empty and self._cold.is_empty

    def is_open(self, incarnation: int, now_s: float) -> bool:
        """Whether a request may be sent."""
        return self._quiet.is_open(
            incarnation, now_s
        ) and not self._cold.wait_s(incarnation, now_s)

    def wait_s(self, incarnation: int, now_s: float) -> float:
        """Return the time until an endpoint may be tried, maybe infinite."""
        return max(
            self._quiet.quiet_left_s(incarnation, now_s),
            self._cold.wait_s(incarnation, now_s),
        )

    def retry_s(self, incarnation: int, now_s: float) -> float:
        """Return the time after which a caller may try again."""
        return max(
            self._quiet.quiet_left_s(incarnation, now_s),
            min(_COLD_RETRY_S, self._cold.wait_s(incarnation, now_s)),
        )

    def quiet_s(self, incarnation: int) -> float:
        """Return the time from the first refusal to the end of quiet."""
        return self._quiet.quiet_s(incarnation)

    def sends_until(
        self, incarnation: int, until_s: float, now_s: float
    ) -> int | None:
        """Return the requests to a cold endpoint until a time, or None."""
        return self._cold.sends_until(incarnation, until_s, now_s)

    def reason(self, incarnations: Collection[int], now_s: float) -> str:
        """Return why none of some endpoints gets a request."""
        cold = sum(bool(self._cold.wait_s(i, now_s)) for i in incarnations)
        if not cold:
            return 'all endpoints ask for quiet'
        if cold == len(incarnations):
            return 'all endpoints are cold'
        return 'all endpoints are cold or ask for quiet'
