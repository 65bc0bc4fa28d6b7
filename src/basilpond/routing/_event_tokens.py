"""Tokens that one event of a stream holds, at most."""

from __future__ import annotations

# Bound before any stream has ended; the sheets of the sites say 5 and 9.
_FIRST_BOUND = 16


class EventTokens:
    """Upper bound on the tokens of an event, learnt by service.

    All events of a stream but the last one hold equally many tokens. A stream
    of n events that was allowed m tokens shows that this number is at most
    (m - 1) / (n - 1).

    Examples
    --------
    >>> bounds = EventTokens()
    >>> bounds.record('model', events=11, allowed_tokens=54)
    >>> bounds.bound('model')
    5
    """

    __slots__ = ('_bounds',)

    def __init__(self) -> None:
        self._bounds: dict[str, int] = {}

    def record(
        self, service: str, *, events: int, allowed_tokens: int
    ) -> None:
        """Take a stream, whole or broken off.

        Parameters
        ----------
        service : str
        events : int
            Events that arrived.
        allowed_tokens : int
            Most output tokens of the request.
        """
        if events < 2 or allowed_tokens < events:
            return
        bound = (allowed_tokens - 1) // (events - 1)
        self._bounds[service] = max(1, min(bound, self.bound(service)))

    def bound(self, service: str) -> int:
        """Return the tokens that an event holds at most."""
        return self._bounds.get(service, _FIRST_BOUND)
