"""Estimate of which endpoints have a prompt prefix in their cache."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

import xxhash

BLOCK_BYTES = 256
# Bounds the hashing per request; a longer prompt matches by its first blocks.
MAX_BLOCKS = 64
# They take 5.4 MB with one holder each and 6.5 MB with four (tracemalloc).
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
        A 64-bit XXH3 digest for each full block of `BLOCK_BYTES`, over the
        model and all bytes up to the block's end.
    """
    hasher = xxhash.xxh3_64(model.encode() + b'\0')
    digests = []
    end = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS) * BLOCK_BYTES
    for start in range(0, end, BLOCK_BYTES):
        hasher.update(prompt[start : start + BLOCK_BYTES])
        digests.append(hasher.intdigest())
    return tuple(digests)


class PrefixAffinity:
    """Prefixes in the caches of endpoints.

    They are learned from this router's requests and from the cache events of
    the endpoints. A wrong entry costs only a cache miss, so late and missing
    events are tolerated. If the event numbers of an endpoint start again, it
    was restarted with an empty cache and all its entries are dropped.

    Parameters
    ----------
    max_prefixes : int
        Beyond this number the least recently used prefixes are dropped.

    Attributes
    ----------
    missed_events : int
        Cache events that endpoints numbered but did not deliver.
    """

    __slots__ = ('_holders', '_max_prefixes', '_next_events', 'missed_events')

    def __init__(self, *, max_prefixes: int = _MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        # Endpoints that hold each prefix, latest last. Prefixes are ordered
        # by last use.
        self._holders: dict[int, tuple[str, ...]] = {}
        self._next_events: dict[str, int] = {}
        self.missed_events = 0

    def __len__(self) -> int:
        return len(self._holders)

    def record(self, endpoint: str, digests: Iterable[int]) -> None:
        """Record that the endpoint was sent a prompt with these prefixes."""
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
    ) -> bool:
        """Apply a page of cache events.

        Parameters
        ----------
        endpoint : str
        after : int
            Event number from which the page was requested.
        next_event : int
            Event number from which to request the next page.
        events : collection of (int, bool)
            Prefix digest and whether it was stored (else evicted).

        Returns
        -------
        bool
            Whether the event numbers started again, after a restart.
        """
        restarted = next_event < after
        if restarted:
            self.remove_endpoints((endpoint,))
        elif after != self.next_event(endpoint):
            # The page is out of date: its evictions could undo newer entries.
            return False
        elif after:
            self.missed_events += max(0, next_event - after - len(events))
        for digest, stored in events:
            if stored:
                self._add(digest, endpoint)
            else:
                self._remove(digest, endpoint)
        self._next_events[endpoint] = next_event
        return restarted

    def matches(self, digests: tuple[int, ...]) -> dict[str, float]:
        """Return the share of the prompt's blocks that each endpoint holds.

        The longest prefixes are searched first, until at least `_MAX_HOLDERS`
        endpoints are found.
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
