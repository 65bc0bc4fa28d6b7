"""Which endpoints probably keep which parts of prompts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
import struct

import xxhash

from ._types import PromptPart

_PAIR = struct.Struct('<QQ')
# Runs of parts remembered by endpoint; the sites have some 400 shared parts.
_MAX_RUNS = 4096


def prefix_runs(parts: Iterable[PromptPart]) -> list[tuple[int, int]]:
    """Return key and tokens of each run of parts from the start of a prompt.

    A part is found again only where all parts before it are kept, too, so
    the key of a run stands for the whole sequence.
    """
    runs = []
    key = 0
    tokens = 0
    for part in parts:
        key = xxhash.xxh64_intdigest(_PAIR.pack(key, part.id)) >> 1
        tokens += part.tokens
        runs.append((key, tokens))
    return runs


class PromptCache:
    """Runs that one endpoint has read lately.

    Parameters
    ----------
    keep_s : float
        Time after which a run that was not used counts as gone.
    """

    __slots__ = ('_keep_s', '_runs')

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._runs: OrderedDict[int, float] = OrderedDict()

    def touch(self, key: int, now_s: float) -> None:
        """Note that the endpoint has read a run."""
        self._runs[key] = now_s
        self._runs.move_to_end(key)
        if len(self._runs) > _MAX_RUNS:
            self._runs.popitem(last=False)

    def has(self, key: int) -> bool:
        """Whether a run was read, however long ago."""
        return key in self._runs

    def cached_tokens(
        self, runs: Iterable[tuple[int, int]], now_s: float
    ) -> int:
        """Return the tokens of the longest run that is probably kept."""
        cached = 0
        for key, tokens in runs:
            used_s = self._runs.get(key)
            if used_s is None or now_s - used_s > self._keep_s:
                break
            cached = tokens
        return cached
