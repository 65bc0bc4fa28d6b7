"""Compact encoding of the loads and prompt prefixes of a report.

A report is sent to every other router several times a second, so its size is
multiplied by the number of routers. Encoded as lists of structures with the
ids of endpoints as text, the reports of a busy router among 85 saturated a
link of 5 Mbit/s.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import struct

import xxhash

from ..routing import SendEvidence

# Number of the endpoint, requests there, pending prefill cost.
_LOAD = struct.Struct('<IHI')
# Number of the endpoint, key of a prompt prefix.
_PREFIX = struct.Struct('<IQ')
# Number of the endpoint, SendEvidence.
_EVIDENCE = struct.Struct('<IB')
_MAX_RUNNING = 0xFFFF
_MAX_PREFILL_COST = 0xFFFF_FFFF


def endpoint_number(endpoint_id: str) -> int:
    """Return the number that identifies an endpoint in reports.

    Two endpoints with the same number would share their reported load, which
    only makes the choice of an endpoint worse.
    """
    return xxhash.xxh32_intdigest(endpoint_id.encode())


def encode_loads(loads: Iterable[tuple[int, int, float]]) -> bytes:
    """Encode endpoint numbers, running requests and pending prefill costs."""
    return b''.join(
        _LOAD.pack(
            number,
            min(running, _MAX_RUNNING),
            min(max(0, int(prefill_cost)), _MAX_PREFILL_COST),
        )
        for number, running, prefill_cost in loads
    )


def decode_loads(data: bytes) -> Iterator[tuple[int, int, int]]:
    """Decode the result of `encode_loads`.

    Raises
    ------
    ValueError
    """
    if len(data) % _LOAD.size:
        raise ValueError(f'loads: {len(data)} bytes')
    return _LOAD.iter_unpack(data)


def encode_prefixes(prefixes: Iterable[tuple[int, int]]) -> bytes:
    """Encode endpoint numbers and keys of prompt prefixes."""
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


def encode_evidence(evidence: Iterable[tuple[int, SendEvidence]]) -> bytes:
    """Encode endpoint numbers and the evidence on their broken requests."""
    return b''.join(_EVIDENCE.pack(number, item) for number, item in evidence)


def decode_evidence(data: bytes) -> list[tuple[int, SendEvidence]]:
    """Decode the result of `encode_evidence`.

    Raises
    ------
    ValueError
    """
    if len(data) % _EVIDENCE.size:
        raise ValueError(f'evidence: {len(data)} bytes')
    return [
        (number, SendEvidence(item))
        for number, item in _EVIDENCE.iter_unpack(data)
    ]


class PrefixAnnouncements:
    """Prompt prefixes to announce to other routers.

    A prefix in constant use is announced again only after an interval: its
    time of use at other routers may lag behind by a small part of the time
    for which it counts as cached.

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
        """Add prefixes that were sent to an endpoint."""
        for key in keys:
            prefix = number, key
            announced_s = self._announced_s.get(prefix)
            if (
                announced_s is None
                or now_s - announced_s >= self._reannounce_interval_s
            ):
                self._pending[prefix] = None

    def pop_pending(self, now_s: float) -> list[tuple[int, int]]:
        """Return and remove the prefixes to announce now."""
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
