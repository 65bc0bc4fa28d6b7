"""Estimate of the prompt prefixes that an endpoint has cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
import struct

import xxhash

from .._types import PromptPart

_PAIR = struct.Struct('<QQ')
# Prefixes recorded for each endpoint; the sites have some 400 shared parts.
_MAX_PREFIXES = 4096


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

    __slots__ = ('_last_used_s', '_retention_s')

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._last_used_s: OrderedDict[int, float] = OrderedDict()

    def touch(self, key: int, now_s: float) -> None:
        """Record that the endpoint has read a prefix."""
        self._last_used_s[key] = now_s
        self._last_used_s.move_to_end(key)
        if len(self._last_used_s) > _MAX_PREFIXES:
            self._last_used_s.popitem(last=False)

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
