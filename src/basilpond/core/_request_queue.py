"""Bounded queue of requests that wait for an endpoint."""

from __future__ import annotations

import bisect
from collections import Counter
import dataclasses
import math
from typing import Generic
from typing import TypeVar

from ._codes import ResultCode

T = TypeVar('T')

# Time constant of the exponentially weighted service rate.
_RATE_TIME_CONSTANT_S = 5.0
# The rate counts as unknown until this many requests were served or the queue
# was occupied for `_RATE_MIN_BUSY_S`: refusing a request by a poor estimate is
# worse than refusing one late.
_RATE_MIN_SERVED = 5.0
_RATE_MIN_BUSY_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class QueuedRequest(Generic[T]):
    """Queued request; `deadline_s` is the latest time it may start."""

    item: T
    organisation: str
    priority: int
    deadline_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Admission(Generic[T]):
    """Result of a push.

    `refusal` is None when the request was queued. `evicted` is a request of
    another organisation that was removed to make room; the caller must refuse
    it.
    """

    refusal: ResultCode | None = None
    evicted: QueuedRequest[T] | None = None


class RequestQueue(Generic[T]):
    """Queue ordered by priority (lowest number first), then deadline.

    An organisation may fill the queue while others do not need it. When the
    queue is full, a request of an organisation with fewer queued requests
    evicts one of the organisation with the most.

    Parameters
    ----------
    max_size : int
        Number of requests that may wait at a time.
    """

    __slots__ = (
        '_busy_s',
        '_counts',
        '_entries',
        '_expired',
        '_max_size',
        '_next_expiry_s',
        '_sequence',
        '_served',
        '_updated_s',
    )

    def __init__(self, *, max_size: int) -> None:
        self._max_size = max_size
        # Sorted by (priority, deadline_s, sequence).
        self._entries: list[tuple[int, float, int, QueuedRequest[T]]] = []
        self._counts: Counter[str] = Counter()
        self._expired: list[QueuedRequest[T]] = []
        self._next_expiry_s = math.inf
        self._sequence = 0
        self._served = 0.0
        self._busy_s = 0.0
        self._updated_s: float | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def queued_count(self, organisation: str) -> int:
        """Return the number of queued requests of an organisation."""
        return self._counts[organisation]

    def service_rate(self, now_s: float) -> float | None:
        """Return the recent rate of requests served, in 1/s.

        None until there is enough data. Only time during which a request
        waited counts, so an idle period does not lower the rate.
        """
        self._age_rate(now_s)
        if self._served < _RATE_MIN_SERVED and self._busy_s < _RATE_MIN_BUSY_S:
            return None
        return self._served / self._busy_s if self._busy_s else math.inf

    def push(self, queued: QueuedRequest[T], now_s: float) -> Admission[T]:
        """Queue a request, or refuse it before it runs.

        It is refused if its deadline has passed or, at the current service
        rate, would pass before the requests ahead of it are served, or if
        the queue is full and no other organisation can give way.

        Parameters
        ----------
        queued : QueuedRequest
        now_s : float

        Returns
        -------
        Admission
        """
        self._drop_expired(now_s)
        if queued.deadline_s <= now_s:
            return Admission(ResultCode.DEADLINE_UNREACHABLE)
        key = (queued.priority, queued.deadline_s, self._sequence)
        ahead = bisect.bisect(self._entries, key)
        rate = self.service_rate(now_s)
        remaining_s = queued.deadline_s - now_s
        if ahead and rate is not None and ahead > rate * remaining_s:
            return Admission(ResultCode.DEADLINE_UNREACHABLE)
        evicted = None
        if len(self._entries) >= self._max_size:
            evicted = self._evict(queued.organisation)
            if evicted is None:
                return Admission(ResultCode.QUEUE_FULL)
        self._insert(queued)
        return Admission(evicted=evicted)

    def pop(self, now_s: float) -> QueuedRequest[T] | None:
        """Remove and return the first request that has not expired."""
        self._drop_expired(now_s)
        if not self._entries:
            return None
        self._age_rate(now_s)
        self._served += 1
        return self._remove(0)

    def requeue(self, queued: QueuedRequest[T], now_s: float) -> None:
        """Queue a popped request again for which there was no endpoint.

        It was admitted before, so the checks of `push` are skipped, and the
        pop no longer counts as a request served.
        """
        self._age_rate(now_s)
        self._served = max(0.0, self._served - 1)
        self._insert(queued)

    def discard(self, queued: QueuedRequest[T], now_s: float) -> bool:
        """Remove a request whose caller disconnected.

        Returns
        -------
        bool
            False if the request is no longer queued.
        """
        for index, entry in enumerate(self._entries):
            if entry[3] is queued:
                self._age_rate(now_s)
                self._remove(index)
                return True
        return False

    def pop_expired(self, now_s: float) -> list[QueuedRequest[T]]:
        """Return the requests whose deadlines passed since the last call.

        They are no longer queued; the caller must refuse them.
        """
        self._drop_expired(now_s)
        expired, self._expired = self._expired, []
        return expired

    def _insert(self, queued: QueuedRequest[T]) -> None:
        key = (queued.priority, queued.deadline_s, self._sequence)
        self._sequence += 1
        bisect.insort(self._entries, (*key, queued))
        self._counts[queued.organisation] += 1
        self._next_expiry_s = min(self._next_expiry_s, queued.deadline_s)

    def _remove(self, index: int) -> QueuedRequest[T]:
        queued = self._entries.pop(index)[3]
        self._counts[queued.organisation] -= 1
        if not self._counts[queued.organisation]:
            del self._counts[queued.organisation]
        return queued

    def _age_rate(self, now_s: float) -> None:
        """Decay the service rate by the time since the last call."""
        if self._updated_s is not None and self._entries:
            elapsed_s = max(0.0, now_s - self._updated_s)
            kept = math.exp(-elapsed_s / _RATE_TIME_CONSTANT_S)
            self._served *= kept
            self._busy_s = self._busy_s * kept + elapsed_s
        self._updated_s = now_s

    def _drop_expired(self, now_s: float) -> None:
        if now_s < self._next_expiry_s:
            return
        self._age_rate(now_s)
        kept = []
        self._next_expiry_s = math.inf
        for entry in self._entries:
            queued = entry[3]
            if queued.deadline_s <= now_s:
                self._expired.append(queued)
            else:
                kept.append(entry)
                self._next_expiry_s = min(
                    self._next_expiry_s, queued.deadline_s
                )
        self._entries = kept
        self._counts = Counter(entry[3].organisation for entry in kept)

    def _evict(self, organisation: str) -> QueuedRequest[T] | None:
        """Remove the last request of the organisation with the most.

        None unless that one has at least two more than `organisation`.
        """
        largest, count = max(self._counts.items(), key=lambda kv: kv[1])
        # With a smaller difference the two organisations would evict each
        # other in turn.
        if count < self._counts[organisation] + 2:
            return None
        for index in range(len(self._entries) - 1, -1, -1):
            if self._entries[index][3].organisation == largest:
                return self._remove(index)
        return None
