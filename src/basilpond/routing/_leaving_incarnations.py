"""Endpoint processes that are known to leave.

What a process said of itself holds for as long as it lives. The platform may
list it as ready meanwhile, and drop its entry and list it again after an
outage, so the fact is kept apart from the entries.
"""

from __future__ import annotations

# Oldest ones are dropped beyond this; a process ends within about a minute
# after it said that it leaves.
_MAX_INCARNATIONS = 4096
# Longer names, from a faulty router, are not remembered.
_MAX_LENGTH = 256


class LeavingIncarnations:
    """Incarnations of endpoints that are known to leave.

    An incarnation is named by an endpoint's id and the time of its start, as
    routers report it to each other.

    Parameters
    ----------
    max_incarnations : int
        Number remembered.

    Examples
    --------
    >>> leaving = LeavingIncarnations()
    >>> leaving.add('e-1@1781071529128')
    >>> leaving.has('e-1@1781071529128')
    True
    >>> leaving.has('e-1@1781071533000')
    False
    """

    __slots__ = ('_incarnations', '_max_incarnations')

    def __init__(self, *, max_incarnations: int = _MAX_INCARNATIONS) -> None:
        self._max_incarnations = max_incarnations
        # In the order in which they were added.
        self._incarnations: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._incarnations)

    def add(self, incarnation: str) -> None:
        """Add an incarnation.

        Without the time of its start, it is not told from a later one of the
        same id, and is not added.
        """
        start = incarnation.rpartition('@')[2]
        if not start.isdecimal() or len(incarnation) > _MAX_LENGTH:
            return
        self._incarnations[incarnation] = None
        if len(self._incarnations) > self._max_incarnations:
            del self._incarnations[next(iter(self._incarnations))]

    def has(self, incarnation: str) -> bool:
        """Whether an incarnation is known to leave."""
        return incarnation in self._incarnations
