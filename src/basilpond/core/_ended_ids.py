"""Set of the ids of ended allotments, with bounded memory."""

from __future__ import annotations

# Decimal digits of a signed 64-bit number.
MAX_DIGITS = 19


class EndedIds:
    """Ids of ended allotments; an id that was added is never lost.

    Ids are ``<router>/<number>``, with increasing numbers per router. The
    newest ids are stored one by one. Of older ones only the highest number
    per router is stored, and every id up to it counts as ended. This may
    include an allotment that is still open: this router can't use it then,
    but no tokens are lost. Memory grows by one number, some 200 bytes, per
    router incarnation.

    Parameters
    ----------
    max_ids : int
        Number of ids that are stored one by one, some 200 bytes each.
    """

    __slots__ = ('_max_numbers', '_ids', 'max_ids')

    def __init__(self, max_ids: int) -> None:
        self.max_ids = max_ids
        self._ids: dict[str, None] = {}
        self._max_numbers: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._ids) + len(self._max_numbers)

    def __contains__(self, allotment: str) -> bool:
        if allotment in self._ids:
            return True
        router, number = _split(allotment)
        return number <= self._max_numbers.get(router, -1)

    def add(self, allotment: str) -> None:
        """Record that an allotment has ended."""
        self._ids[allotment] = None
        if len(self._ids) > self.max_ids:
            oldest = next(iter(self._ids))
            del self._ids[oldest]
            router, number = _split(oldest)
            self._max_numbers[router] = max(
                number, self._max_numbers.get(router, -1)
            )


def _split(allotment: str) -> tuple[str, float]:
    router, _, number = allotment.rpartition('/')
    # An id from a peer may have no number or one with too many digits. Such an
    # id is ordered after all other ids of its router.
    if not number.isdecimal() or len(number) > MAX_DIGITS:
        return router, float('inf')
    return router, int(number)
