"""Which objectives the prompts of a service must not endanger."""

from __future__ import annotations

from collections.abc import Iterable
import math

from .._types import Organisation
from .._types import Route

# Part of an objective that work of less urgent prompts may take at an
# endpoint. The rest is for the prompt's own prefill, its first step and the
# variation between endpoints. In the replays, 0.5 kept 0.76 of the urgent
# prompts on time with half of the reports lost, 0.4 kept 0.82; 0.3 took more
# time from less urgent prompts at a steady load.
_PENDING_SHARE = 0.4
# Part of a prompt's own objective that it may wait at an endpoint which is
# not reserved.
OWN_PENDING_SHARE = 0.5
# The least urgent priority.
LAST_PRIORITY = 9
# Time over which the parts of the priorities in the work are averaged; longer
# than a burst, as what a burst delays is not its cause.
_MIX_S = 10.0
# Part of the urgent work that is assumed before any is seen, and the tokens
# that count for it: a few long prompts.
_ASSUMED_SHARE = 0.2
_ASSUMED_TOKENS = 30_000.0


class UrgencyLevels:
    """Priorities and objectives of the prompts of one service.

    Parameters
    ----------
    service : str
    routes : iterable of Route
    organisations : iterable of Organisation
        Their priorities replace those of the routes.
    """

    __slots__ = ('_levels',)

    def __init__(
        self,
        service: str,
        routes: Iterable[Route],
        organisations: Iterable[Organisation],
    ) -> None:
        routes = [
            route
            for route in routes
            if route.generates
            and any(name == service and weight for name, weight in route.split)
        ]
        levels = {(route.priority, route.objective_s) for route in routes}
        if len(levels) > 1:
            levels |= {
                (
                    min(LAST_PRIORITY, max(0, organisation.priority)),
                    route.objective_s,
                )
                for organisation in organisations
                if organisation.priority is not None
                for route in routes
            }
        else:
            # Prompts that are all alike are not held back.
            levels = set()
        self._levels = sorted(levels)

    @property
    def is_uniform(self) -> bool:
        """Whether all prompts are alike, so that none is held back."""
        return not self._levels

    def limit_s(self, priority: int) -> float | None:
        """Return the work that may be pending when a prompt is sent.

        Parameters
        ----------
        priority : int

        Returns
        -------
        float or None
            In seconds of an endpoint; None if no prompts are more urgent.
        """
        objectives = [o for p, o in self._levels if p < priority]
        return _PENDING_SHARE * min(objectives) if objectives else None

    def equal_limit_s(self, priority: int, objective_s: float) -> float | None:
        """Return the same for prompts that are equal but due earlier.

        It applies only while the objective of the prompt itself leaves time.
        """
        objectives = [
            o for p, o in self._levels if p == priority and o < objective_s
        ]
        return _PENDING_SHARE * min(objectives) if objectives else None


class WorkMix:
    """Parts that priorities have in the prompts of a router's callers."""

    __slots__ = ('_prompts', '_tokens', '_updated_s')

    def __init__(self) -> None:
        self._tokens = [0.0] * (LAST_PRIORITY + 1)
        self._prompts = [0.0] * (LAST_PRIORITY + 1)
        self._updated_s = 0.0

    def record(self, priority: int, tokens: int, now_s: float) -> None:
        """Record a prompt that arrived."""
        factor = math.exp((self._updated_s - now_s) / _MIX_S)
        self._updated_s = now_s
        self._tokens = [value * factor for value in self._tokens]
        self._prompts = [value * factor for value in self._prompts]
        self._tokens[priority] += tokens
        self._prompts[priority] += 1

    def urgent_share(self, priority: int, busy_share: float) -> float:
        """Return the part of the endpoints that more urgent prompts need.

        Parameters
        ----------
        priority : int
        busy_share : float
            Part of the slots that are taken.

        Returns
        -------
        float
            The larger of the parts in the work and in the slots.
        """
        work = (
            sum(self._tokens[:priority]) + _ASSUMED_SHARE * _ASSUMED_TOKENS
        ) / (sum(self._tokens) + _ASSUMED_TOKENS)
        prompts = sum(self._prompts[:priority]) / max(1, sum(self._prompts))
        return max(work, prompts * busy_share)

    def last_priority(self) -> int:
        """Return the least urgent priority of recent prompts."""
        return max(
            (p for p, value in enumerate(self._prompts) if value > 0.01),
            default=0,
        )
