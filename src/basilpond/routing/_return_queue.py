"""Order of requests that wait for an endpoint to return.

More requests than the endpoints can take would wait in vain, so the queue has
a capacity, and a request that belongs before others displaces the last one.
"""

from __future__ import annotations

import bisect
import itertools


class WaitingRequest:
    """A request in a `ReturnQueue`.

    Parameters
    ----------
    priority : int
        0 is first.
    latest_s : float
        Time until which it may wait.
    number : int
        Order of arrival.
    """

    __slots__ = ('displaced', 'latest_s', 'number', 'priority')

    def __init__(self, priority: int, latest_s: float, number: int) -> None:
        self.priority = priority
        self.latest_s = latest_s
        self.number = number
        # Whether more urgent requests have taken its place.
        self.displaced = False

    @property
    def rank(self) -> tuple[int, float, int]:
        """Key by which requests are ordered."""
        return self.priority, self.latest_s, self.number


class ReturnQueue:
    """Requests that wait for endpoints of one service, most urgent first.

    Examples
    --------
    >>> queue = ReturnQueue()
    >>> later = queue.add(1, latest_s=2.0, capacity=2)
    >>> first = queue.add(0, latest_s=3.0, capacity=2)
    >>> queue.is_first(first)
    True
    >>> queue.add(1, latest_s=2.5, capacity=2) is None
    True
    >>> second = queue.add(0, latest_s=4.0, capacity=2)
    >>> later.displaced
    True
    """

    __slots__ = ('_numbers', '_requests')

    def __init__(self) -> None:
        self._requests: list[WaitingRequest] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._requests)

    def add(
        self, priority: int, *, latest_s: float, capacity: int
    ) -> WaitingRequest | None:
        """Add a request unless the queue is full of more urgent ones.

        Parameters
        ----------
        priority : int
            0 is first.
        latest_s : float
            Time until which it may wait; the earliest is first.
        capacity : int
            Number of requests that may wait, this one included.
        """
        request = WaitingRequest(priority, latest_s, next(self._numbers))
        bisect.insort(self._requests, request, key=lambda item: item.rank)
        while len(self._requests) > max(1, capacity):
            self._requests.pop().displaced = True
        return None if request.displaced else request

    def is_first(self, request: WaitingRequest) -> bool:
        """Whether a request is the next to be sent."""
        return bool(self._requests) and self._requests[0] is request

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request that was sent or gave up."""
        if request in self._requests:
            self._requests.remove(request)
