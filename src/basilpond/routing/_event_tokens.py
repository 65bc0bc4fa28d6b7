"""Upper bound on the tokens in one event of a stream."""

from __future__ import annotations

# Bound before any stream has ended; the sites' data sheets state 5 and 9.
_INITIAL_BOUND = 16


class EventTokens:
    """Upper bound on the tokens of an event, learnt for each service.

    All events of a stream except the last one contain the same number of
    tokens. A stream of n events that was limited to m tokens proves that this
    number is at most (m - 1) / (n - 1).

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
        """Update the bound after a stream, complete or interrupted.

        Parameters
        ----------
        service : str
        events : int
            Number of events received.
        allowed_tokens : int
            Largest number of output tokens that the request allowed.
        """
        if events < 2 or allowed_tokens < events:
            return
        bound = (allowed_tokens - 1) // (events - 1)
        self._bounds[service] = max(1, min(bound, self.bound(service)))

    def bound(self, service: str) -> int:
        """Return the largest number of tokens in an event of a service."""
        return self._bounds.get(service, _INITIAL_BOUND)
