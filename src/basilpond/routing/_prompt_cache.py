"""Which endpoints probably keep which parts of prompts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
import struct

import xxhash

from ._types import PromptPart

_PAIR = struct.Struct('<QQ')
# Runs of parts remembered by endpoint; the sites have some 400 shared parts.
_MAX_PREFIXES = 4096


def prompt_prefixes(parts: Iterable[PromptPart]) -> list[tuple[int, int]]:
    """Return key and tokens of each run of parts from the start of a prompt.

    A part is found again only where all parts before it are kept, too, so
    the key of a run stands for the whole sequence.
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
    """Runs that one endpoint has read lately.

    Parameters
    ----------
    retention_s : float
        Time after which a run that was not used counts as gone.
    """

    __slots__ = ('_last_used_s', '_retention_s')

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._last_used_s: OrderedDict[int, float] = OrderedDict()

    def touch(self, key: int, now_s: float) -> None:
        """Note that the endpoint has read a run."""
        self._last_used_s[key] = now_s
        self._last_used_s.move_to_end(key)
        if len(self._last_used_s) > _MAX_PREFIXES:
            self._last_used_s.popitem(last=False)

    def has(self, key: int) -> bool:
        """Whether a run was read, however long ago."""
        return key in self._last_used_s

    def cached_tokens(
        self, prefixes: Iterable[tuple[int, int]], now_s: float
    ) -> int:
        """Return the tokens of the longest run that is probably kept."""
        cached = 0
        for key, tokens in prefixes:
            used_s = self._last_used_s.get(key)
            if used_s is None or now_s - used_s > self._retention_s:
                break
            cached = tokens
        return cached
