"""Temporary ejection of endpoints that fail."""

from __future__ import annotations

from collections.abc import Collection
import dataclasses
import math

_CONSECUTIVE_FAILURES = 5
# Weight of a new result in the smoothed share of failures.
_FAILURE_WEIGHT = 0.05
# Share of failures above which an endpoint is ejected even if they are not
# consecutive, once it has `_MIN_RESULTS` results.
_FAILURE_SHARE = 0.5
_MIN_RESULTS = 20
# The first ejection; each further one lasts twice as long as the one before.
_BASE_EJECTION_S = 5.0
_MAX_EJECTION_S = 120.0
# An ejection counts as the first again if the endpoint worked for longer than
# this since the end of the last one.
_BACKOFF_RESET_S = 300.0
_MAX_EJECTED_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _History:
    consecutive: int = 0
    results: int = 0
    failure_share: float = 0.0
    ejections: int = 0
    ejected_until_s: float = -math.inf


class OutlierEjection:
    """Ejections of failing endpoints, with exponential back-off.

    At most half of the endpoints of a group (a model or service) are ejected
    at a time, so that the rest is not overloaded; further failing endpoints
    stay in use.
    """

    __slots__ = ('_histories',)

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}

    def is_ejected(self, endpoint: str, now_s: float) -> bool:
        """Return whether the endpoint is ejected now."""
        history = self._histories.get(endpoint)
        return history is not None and now_s < history.ejected_until_s

    def record(
        self,
        endpoint: str,
        *,
        failed: bool,
        groups: Collection[Collection[str]],
        now_s: float,
    ) -> bool:
        """Record the result of an attempt.

        Parameters
        ----------
        endpoint : str
        failed : bool
            Whether the endpoint failed; a caller's error is no failure.
        groups : collection of collections of str
            Endpoints of each model and service that `endpoint` serves.
        now_s : float

        Returns
        -------
        bool
            Whether this result ejected the endpoint.
        """
        history = self._histories.setdefault(endpoint, _History())
        history.results += 1
        history.failure_share += _FAILURE_WEIGHT * (
            failed - history.failure_share
        )
        history.consecutive = history.consecutive + 1 if failed else 0
        outlier = failed and (
            history.consecutive >= _CONSECUTIVE_FAILURES
            or (
                history.results >= _MIN_RESULTS
                and history.failure_share > _FAILURE_SHARE
            )
        )
        if (
            not outlier
            or now_s < history.ejected_until_s
            or not all(self._has_room(group, now_s) for group in groups)
        ):
            return False
        if now_s - history.ejected_until_s > _BACKOFF_RESET_S:
            history.ejections = 0
        history.ejected_until_s = now_s + min(
            _MAX_EJECTION_S, _BASE_EJECTION_S * 2**history.ejections
        )
        history.ejections = min(history.ejections + 1, 16)
        # Only results after the ejection count towards the next one.
        history.results = 0
        history.failure_share = 0.0
        history.consecutive = 0
        return True

    def retain(self, endpoints: Collection[str]) -> None:
        """Drop endpoints that are not in `endpoints`, the new manifest's."""
        self._histories = {
            endpoint: history
            for endpoint, history in self._histories.items()
            if endpoint in endpoints
        }

    def _has_room(self, group: Collection[str], now_s: float) -> bool:
        ejected = sum(self.is_ejected(endpoint, now_s) for endpoint in group)
        return ejected + 1 <= _MAX_EJECTED_SHARE * len(group)
