"""Which endpoints probably have a prompt prefix in their cache."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

import xxhash

BLOCK_BYTES = 256
# Bounds the work per request; a longer prompt matches by its first blocks.
MAX_BLOCKS = 64
# 5.4 MB with one holder each, 6.5 MB with four (tracemalloc).
_MAX_PREFIXES = 32_768
_MAX_HOLDERS = 4


def prefix_digests(model: str, prompt: bytes) -> tuple[int, ...]:
    """Return the digests of a prompt's prefixes, shortest first.

    Parameters
    ----------
    model : str
        Prefixes of different models never match.
    prompt : bytes
        Messages in a canonical encoding.

    Returns
    -------
    tuple of int
        One 64-bit digest (XXH3) for each whole block, of all bytes up to its
        end.
    """
    hasher = xxhash.xxh3_64(model.encode() + b'\0')
    digests = []
    end = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS) * BLOCK_BYTES
    for start in range(0, end, BLOCK_BYTES):
        hasher.update(prompt[start : start + BLOCK_BYTES])
        digests.append(hasher.intdigest())
    return tuple(digests)


class PrefixAffinity:
    """Prefixes that endpoints hold, from own requests and cache events.

    A wrong entry costs only a cache miss, so late and missing events are
    tolerated; an endpoint whose event numbers restart is forgotten, because
    it started again with an empty cache.

    Parameters
    ----------
    max_prefixes : int
        Least recently used prefixes are dropped beyond this number.
    """

    __slots__ = ('_holders', '_max_prefixes', '_next_events', 'missed_events')

    def __init__(self, *, max_prefixes: int = _MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        # Latest holder last; ordered by last use.
        self._holders: dict[int, tuple[str, ...]] = {}
        self._next_events: dict[str, int] = {}
        self.missed_events = 0

    def __len__(self) -> int:
        return len(self._holders)

    def record(self, endpoint: str, digests: Iterable[int]) -> None:
        """Note that the endpoint ran a prompt with these prefixes."""
        for digest in digests:
            self._add(digest, endpoint)

    def next_event(self, endpoint: str) -> int:
        """Return the number of the first event not yet applied."""
        return self._next_events.get(endpoint, 0)

    def apply_events(
        self,
        endpoint: str,
        after: int,
        next_event: int,
        events: Collection[tuple[int, bool]],
    ) -> None:
        """Apply a page of cache events.

        Parameters
        ----------
        endpoint : str
        after : int
            Number that the page was requested from.
        next_event : int
            Number to continue from.
        events : collection of (int, bool)
            Prefix digest and whether it was stored or evicted.
        """
        if next_event < after:
            self.remove_endpoints((endpoint,))
        elif after != self.next_event(endpoint):
            # A late page: its evictions could undo newer entries.
            return
        elif after:
            self.missed_events += max(0, next_event - after - len(events))
        for digest, stored in events:
            if stored:
                self._add(digest, endpoint)
            else:
                self._remove(digest, endpoint)
        self._next_events[endpoint] = next_event

    def matches(self, digests: tuple[int, ...]) -> dict[str, float]:
        """Return the share of the prompt's blocks that each endpoint holds.

        Only endpoints with the longest and next shorter matches are searched.
        """
        shares: dict[str, float] = {}
        for index in range(len(digests) - 1, -1, -1):
            for endpoint in self._holders.get(digests[index], ()):
                shares.setdefault(endpoint, (index + 1) / len(digests))
            if len(shares) >= _MAX_HOLDERS:
                break
        return shares

    def remove_endpoints(self, endpoints: Collection[str]) -> None:
        """Drop all entries of some endpoints."""
        removed = frozenset(endpoints)
        if not removed:
            return
        for endpoint in removed:
            self._next_events.pop(endpoint, None)
        kept = {}
        for digest, holders in self._holders.items():
            if not removed.isdisjoint(holders):
                holders = tuple(h for h in holders if h not in removed)
            if holders:
                kept[digest] = holders
        self._holders = kept

    def _add(self, digest: int, endpoint: str) -> None:
        holders = self._holders.pop(digest, ())
        if not holders or holders[-1] != endpoint:
            others = tuple(h for h in holders if h != endpoint)
            holders = (*others[1 - _MAX_HOLDERS :], endpoint)
        self._holders[digest] = holders
        if len(self._holders) > self._max_prefixes:
            del self._holders[next(iter(self._holders))]

    def _remove(self, digest: int, endpoint: str) -> None:
        holders = self._holders.get(digest, ())
        if endpoint in holders:
            holders = tuple(h for h in holders if h != endpoint)
            if holders:
                self._holders[digest] = holders
            else:
                del self._holders[digest]
