"""Bounded memory of allotments that have ended."""

from __future__ import annotations

# Of a 64-bit number.
MAX_DIGITS = 19


class EndedIds:
    """Ids of ended allotments; never forgets one that was added.

    Ids are ``<router>/<number>`` with numbers that rise. The newest ids are
    kept one by one. Of older ones only the highest number per router is kept,
    and every id up to it counts as ended. That may include an allotment that
    is still open, which costs its use at this router but no tokens. What
    remains is one number per router incarnation, some 200 bytes.

    Parameters
    ----------
    max_ids : int
        Ids that are kept one by one, some 200 bytes each.
    """

    __slots__ = ('_floors', '_ids', 'max_ids')

    def __init__(self, max_ids: int) -> None:
        self.max_ids = max_ids
        self._ids: dict[str, None] = {}
        self._floors: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._ids) + len(self._floors)

    def __contains__(self, allotment: str) -> bool:
        if allotment in self._ids:
            return True
        router, number = _split(allotment)
        return number <= self._floors.get(router, -1)

    def add(self, allotment: str) -> None:
        """Note that an allotment has ended."""
        self._ids[allotment] = None
        if len(self._ids) > self.max_ids:
            oldest = next(iter(self._ids))
            del self._ids[oldest]
            router, number = _split(oldest)
            self._floors[router] = max(number, self._floors.get(router, -1))


def _split(allotment: str) -> tuple[str, float]:
    router, _, number = allotment.rpartition('/')
    # An id from a peer may have no number or an absurdly long one; it has no
    # order among the router's ids then.
    if not number.isdecimal() or len(number) > MAX_DIGITS:
        return router, float('inf')
    return router, int(number)
