"""Decisions taken for recent requests, for diagnosis by operators."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """One decision; `time_ms` is the wall-clock time since 1970."""

    time_ms: int
    step: str
    detail: str


class DecisionHistory:
    """Decisions of the newest requests, by request id.

    Parameters
    ----------
    max_requests : int
        Number of requests that are kept; the oldest are dropped first.
    max_decisions : int
        Number of decisions that are kept per request, the first ones. Limits
        the memory of a request that is retried for a long time.
    """

    __slots__ = ('_max_requests', '_max_decisions', '_histories')

    def __init__(
        self, max_requests: int = 2_000, max_decisions: int = 40
    ) -> None:
        self._max_requests = max_requests
        self._max_decisions = max_decisions
        self._histories: collections.OrderedDict[str, list[Decision]] = (
            collections.OrderedDict()
        )

    def record(
        self, request_id: str, step: str, detail: str, time_ms: int
    ) -> None:
        """Record a decision; has no effect after `max_decisions`."""
        decisions = self._histories.get(request_id)
        if decisions is None:
            decisions = self._histories[request_id] = []
            if len(self._histories) > self._max_requests:
                self._histories.popitem(last=False)
        if len(decisions) < self._max_decisions:
            decisions.append(Decision(time_ms, step, detail))

    def explain(self, request_id: str) -> list[Decision] | None:
        """Return the decisions of a request, None if it is unknown."""
        decisions = self._histories.get(request_id)
        return list(decisions) if decisions is not None else None
