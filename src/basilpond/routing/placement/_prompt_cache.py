"""Estimate of the prompt prefixes that an endpoint has cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
import math
import struct

import xxhash

from .._types import PromptPart

_PAIR = struct.Struct('<QQ')
# Prefixes recorded for each endpoint; the sites have some 400 shared parts.
_MAX_PREFIXES = 4096
# Time constant of the rate at which a prefix is used; half the time for which
# endpoints keep it.
_USES_S = 5.0


def prompt_prefixes(parts: Iterable[PromptPart]) -> list[tuple[int, int]]:
    """Return key and length of each prefix of a prompt.

    A cached part can be reused only if all parts before it are the same, so
    the key of a prefix is a hash of the complete sequence of parts.

    Parameters
    ----------
    parts : iterable of PromptPart

    Returns
    -------
    list of (int, int)
        Key and number of tokens, from the shortest prefix to the longest.
    """
    prefixes = []
    key = 0
    tokens = 0
    for part in parts:
        key = xxhash.xxh64_intdigest(_PAIR.pack(key, part.id)) >> 1
        tokens += part.tokens
        prefixes.append((key, tokens))
    return prefixes


class PromptCache:
    """Prompt prefixes that one endpoint has read recently.

    Parameters
    ----------
    retention_s : float
        Time after its last use at which a prefix counts as evicted.
    """

    __slots__ = ('_last_used_s', '_retention_s', '_uses')

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._last_used_s: OrderedDict[int, float] = OrderedDict()
        # Decaying number of uses at the last one.
        self._uses: dict[int, float] = {}

    def touch(self, key: int, now_s: float) -> None:
        """Record that the endpoint has read a prefix."""
        self._uses[key] = 1.0 + _USES_S * self.uses_per_s(key, now_s)
        self._last_used_s[key] = now_s
        self._last_used_s.move_to_end(key)
        if len(self._last_used_s) > _MAX_PREFIXES:
            oldest, _ = self._last_used_s.popitem(last=False)
            del self._uses[oldest]

    def uses_per_s(self, key: int, now_s: float) -> float:
        """Return how often a prefix was used recently.

        Other routers announce a prefix at most once a second each.
        """
        used_s = self._last_used_s.get(key)
        if used_s is None:
            return 0.0
        decay = math.exp((used_s - now_s) / _USES_S)
        return self._uses[key] * decay / _USES_S

    def is_cached(self, key: int, now_s: float) -> bool:
        """Whether a prefix is probably still cached."""
        used_s = self._last_used_s.get(key)
        return used_s is not None and now_s - used_s <= self._retention_s

    def has(self, key: int) -> bool:
        """Whether a prefix was read, however long ago."""
        return key in self._last_used_s

    def cached_tokens(
        self, prefixes: Iterable[tuple[int, int]], now_s: float
    ) -> int:
        """Return the length of the longest prefix that is probably cached.

        Parameters
        ----------
        prefixes : iterable of (int, int)
            From `prompt_prefixes`.
        now_s : float

        Returns
        -------
        int
            Tokens; 0 if not even the shortest prefix is cached.
        """
        cached = 0
        for key, tokens in prefixes:
            used_s = self._last_used_s.get(key)
            if used_s is None or now_s - used_s > self._retention_s:
                break
            cached = tokens
        return cached
