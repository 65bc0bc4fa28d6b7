"""Decisions on requests: kept for operators, counted and logged."""

from __future__ import annotations

from collections.abc import Callable

from ..core import DecisionTrail
from ..core import RefusalError


class RequestLog:
    """Writer of the decision trail.

    Parameters
    ----------
    trail : DecisionTrail
    wall_s : callable
        Wall-clock time in seconds.
    """

    def __init__(
        self, trail: DecisionTrail, wall_s: Callable[[], float]
    ) -> None:
        self.trail = trail
        self.wall_s = wall_s

    def note(self, request_id: str, step: str, detail: str = '') -> None:
        """Record a decision; `detail` holds no keys and no prompt text."""
        self.trail.note(request_id, step, detail, int(self.wall_s() * 1000))

    def note_refusal(self, request_id: str, error: RefusalError) -> None:
        """Record a refusal."""
        self.note(
            request_id,
            'refuse',
            f'{int(error.code)} {error.code.name.lower()} '
            f'{error.outcome.value}: {error.message}',
        )
