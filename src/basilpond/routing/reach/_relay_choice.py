"""Choice of the router through which an endpoint is reached."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
import random
from typing import NamedTuple

# Time for which a router that did not open a connection is avoided.
_AVOID_S = 1.0


class RelayRouter(NamedTuple):
    """A live router, as it describes itself in its reports."""

    router_id: str
    address: tuple[str, int]
    # Empty if unknown.
    data_centre: str
    # Whether it refuses requests because of its own load.
    is_full: bool


class RelayChoice:
    """Spreads connections over the routers that may relay them."""

    __slots__ = ('_failed_s',)

    def __init__(self) -> None:
        self._failed_s: dict[str, float] = {}

    def record_failed(self, router_id: str, now_s: float) -> None:
        """Record that a router did not relay a connection."""
        self._failed_s[router_id] = now_s

    def choose(
        self,
        routers: Sequence[RelayRouter],
        data_centre: str,
        now_s: float,
        rng: random.Random,
        *,
        excluded: Collection[str] = (),
    ) -> RelayRouter | None:
        """Return the router to use, or None if there is none.

        The better one of two random routers: one that is not full, else one
        of the own data centre. Of a data centre that is cut off but for one
        router, that one does not get all.

        Parameters
        ----------
        routers : sequence of RelayRouter
            Those that reach the endpoints.
        data_centre : str
            Of this router.
        now_s : float
            Present time by a monotonic clock.
        rng : random.Random
        excluded : collection of str
            Routers that were tried for this connection.
        """
        for router_id, failed_s in list(self._failed_s.items()):
            if now_s - failed_s >= _AVOID_S:
                del self._failed_s[router_id]
        usable = [r for r in routers if r.router_id not in excluded]
        fresh = [r for r in usable if r.router_id not in self._failed_s]
        candidates = fresh or usable
        if not candidates:
            return None
        pair = rng.sample(candidates, min(2, len(candidates)))
        return min(
            pair, key=lambda r: (r.is_full, r.data_centre != data_centre)
        )
