"""Endpoint processes that are known to leave.

What a process said of itself holds for as long as it lives. The platform may
list it as ready meanwhile, and drop its entry and list it again after an
outage, so the fact is kept apart from the entries.
"""

from __future__ import annotations

# Oldest ones are dropped beyond this; a process ends within about a minute
# after it said that it leaves.
_MAX_INCARNATIONS = 4096


class LeavingIncarnations:
    """Incarnations of endpoints that are known to leave.

    An incarnation is an endpoint's id and the time of its start.

    Parameters
    ----------
    max_incarnations : int
        Number remembered.

    Examples
    --------
    >>> leaving = LeavingIncarnations()
    >>> leaving.add('e-1', 1_781_071_529_128)
    True
    >>> leaving.has('e-1', 1_781_071_529_128)
    True
    >>> leaving.has('e-1', 1_781_071_533_000)
    False
    """

    __slots__ = ('_incarnations', '_max_incarnations')

    def __init__(self, *, max_incarnations: int = _MAX_INCARNATIONS) -> None:
        self._max_incarnations = max_incarnations
        # In the order in which they were added.
        self._incarnations: dict[tuple[str, int], None] = {}

    def add(self, endpoint_id: str, boot_ms: int | None) -> bool:
        """Add an incarnation.

        Without the time of its start, an incarnation is not told from a later
        one of the same id, and is not added.

        Returns
        -------
        bool
            Whether it is new.
        """
        if boot_ms is None or self.has(endpoint_id, boot_ms):
            return False
        self._incarnations[endpoint_id, boot_ms] = None
        if len(self._incarnations) > self._max_incarnations:
            del self._incarnations[next(iter(self._incarnations))]
        return True

    def has(self, endpoint_id: str, boot_ms: int | None) -> bool:
        """Whether an incarnation is known to leave."""
        return (endpoint_id, boot_ms) in self._incarnations
