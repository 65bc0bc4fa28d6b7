"""Concurrency limit of one endpoint."""

from __future__ import annotations

import math

# Weight of a new first-byte latency in the smoothed latency.
_LATENCY_WEIGHT = 0.1
# A latency up to this multiple of the baseline is not taken for queueing:
# different prompt lengths alone vary the first-byte latency about as much.
_LATENCY_TOLERANCE = 2.0
# Weight of a new target in the smoothed limit.
_LIMIT_WEIGHT = 0.1
# The baseline is the minimum of the smoothed latency over the last two
# windows, so after an update that makes an endpoint permanently slower it
# adapts within two windows.
_WINDOW_S = 60.0
# Requests that ran at the same time often fail together, so the limit is
# halved at most once in this time.
_HALVING_INTERVAL_S = 1.0


class AdaptiveLimit:
    """Limit that follows the gradient of the first-byte latency.

    Each latency moves it towards ``limit * gradient + sqrt(limit)``, where the
    gradient is the tolerated latency divided by the smoothed one, bounded to
    0.5 to 1. A failure halves it.

    Parameters
    ----------
    initial, floor, ceiling : int
        First, lowest and highest limit in requests in flight;
        ``1 <= floor <= initial <= ceiling``.

    Raises
    ------
    ValueError
        The parameters are not in order.
    """

    __slots__ = (
        '_baseline_s',
        '_ceiling',
        '_floor',
        '_halved_at_s',
        '_latency_s',
        '_limit',
        '_window_end_s',
        '_window_min_s',
    )

    def __init__(
        self, *, initial: int = 32, floor: int = 2, ceiling: int = 1024
    ) -> None:
        if not 1 <= floor <= initial <= ceiling:
            raise ValueError(
                f'initial={initial}, floor={floor}, ceiling={ceiling}: '
                'expected 1 <= floor <= initial <= ceiling'
            )
        self._limit = float(initial)
        self._floor = float(floor)
        self._ceiling = float(ceiling)
        self._latency_s: float | None = None
        self._baseline_s = math.inf
        self._window_min_s = math.inf
        self._window_end_s = -math.inf
        self._halved_at_s = -math.inf

    @property
    def limit(self) -> int:
        """Requests allowed in flight."""
        return int(self._limit)

    def record_first_byte(
        self, latency_s: float, in_flight: int, now_s: float
    ) -> None:
        """Adjust the limit to a first-byte latency.

        Parameters
        ----------
        latency_s : float
            From the start of the attempt to the first byte of its response.
        in_flight : int
            Requests in flight, including this one.
        now_s : float
        """
        latency_s = max(latency_s, 1e-4)
        if self._latency_s is None:
            self._latency_s = latency_s
        else:
            self._latency_s += _LATENCY_WEIGHT * (latency_s - self._latency_s)
        self._move_window(now_s)
        self._window_min_s = min(self._window_min_s, self._latency_s)
        baseline_s = min(self._baseline_s, self._window_min_s)
        gradient = min(
            1.0, max(0.5, _LATENCY_TOLERANCE * baseline_s / self._latency_s)
        )
        target = self._limit * gradient + math.sqrt(self._limit)
        if target > self._limit and in_flight * 2 < self._limit:
            # At less than half of the limit in flight, a low latency does
            # not show that the endpoint could serve more.
            return
        self._set_limit(self._limit + _LIMIT_WEIGHT * (target - self._limit))

    def record_failure(self, now_s: float) -> None:
        """Halve the limit after a refusal, timeout or broken response."""
        if now_s - self._halved_at_s >= _HALVING_INTERVAL_S:
            self._halved_at_s = now_s
            self._set_limit(self._limit / 2)

    def _move_window(self, now_s: float) -> None:
        if now_s >= self._window_end_s:
            self._baseline_s = self._window_min_s
            self._window_min_s = math.inf
            self._window_end_s = now_s + _WINDOW_S

    def _set_limit(self, limit: float) -> None:
        self._limit = min(self._ceiling, max(self._floor, limit))
