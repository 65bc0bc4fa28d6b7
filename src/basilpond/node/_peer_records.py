"""Loads and prompt runs of a report, in few bytes.

A report goes to every other router several times a second, so its size is
multiplied by the number of routers. As lists of structures, with the ids of
endpoints as text, the reports of a busy router among 85 filled a link of
5 Mbit/s.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import struct

import xxhash

# Endpoint, requests there, prompt tokens that are not read yet.
_LOAD = struct.Struct('<IHI')
# Endpoint, key of a run of prompt parts.
_PREFIX = struct.Struct('<IQ')
_MAX_RUNNING = 0xFFFF
_MAX_PREFILL_COST = 0xFFFF_FFFF


def endpoint_number(endpoint_id: str) -> int:
    """Return the number that stands for an endpoint in reports.

    Two endpoints with one number would share their reported load, which
    only worsens a choice.
    """
    return xxhash.xxh32_intdigest(endpoint_id.encode())


def encode_loads(loads: Iterable[tuple[int, int, float]]) -> bytes:
    """Encode endpoint number, running requests and waiting work."""
    return b''.join(
        _LOAD.pack(
            number,
            min(running, _MAX_RUNNING),
            min(max(0, int(prefill_cost)), _MAX_PREFILL_COST),
        )
        for number, running, prefill_cost in loads
    )


def decode_loads(data: bytes) -> Iterator[tuple[int, int, int]]:
    """Decode what `encode_loads` returned.

    Raises
    ------
    ValueError
    """
    if len(data) % _LOAD.size:
        raise ValueError(f'loads: {len(data)} bytes')
    return _LOAD.iter_unpack(data)


def encode_prefixes(prefixes: Iterable[tuple[int, int]]) -> bytes:
    """Encode endpoint numbers and keys of prompt runs."""
    return b''.join(_PREFIX.pack(number, key) for number, key in prefixes)


def decode_prefixes(data: bytes) -> Iterator[tuple[int, int]]:
    """Decode what `encode_prefixes` returned.

    Raises
    ------
    ValueError
    """
    if len(data) % _PREFIX.size:
        raise ValueError(f'runs: {len(data)} bytes')
    return _PREFIX.iter_unpack(data)


class PrefixAnnouncements:
    """Prompt runs that other routers do not know of yet.

    A run that is used all the time is told again only after a while: its
    time at other routers may lag behind by a small part of the time for
    which it counts as kept.

    Parameters
    ----------
    reannounce_interval_s : float
    """

    __slots__ = ('_announced_s', '_pending', '_reannounce_interval_s')

    def __init__(self, reannounce_interval_s: float) -> None:
        self._reannounce_interval_s = reannounce_interval_s
        self._pending: dict[tuple[int, int], None] = {}
        self._announced_s: dict[tuple[int, int], float] = {}

    def add(self, number: int, keys: Iterable[int], now_s: float) -> None:
        """Note runs that were sent to an endpoint."""
        for key in keys:
            prefix = number, key
            announced_s = self._announced_s.get(prefix)
            if (
                announced_s is None
                or now_s - announced_s >= self._reannounce_interval_s
            ):
                self._pending[prefix] = None

    def pop_pending(self, now_s: float) -> list[tuple[int, int]]:
        """Return the runs to tell now."""
        prefixes = list(self._pending)
        self._pending.clear()
        for prefix, announced_s in list(self._announced_s.items()):
            # In order of time.
            if now_s - announced_s < self._reannounce_interval_s:
                break
            del self._announced_s[prefix]
        for prefix in prefixes:
            self._announced_s[prefix] = now_s
        return prefixes
