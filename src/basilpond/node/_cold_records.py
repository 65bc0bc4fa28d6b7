"""Encoding of the times for which endpoints are cold.

Times are sent as what is left of them, as routers have no common clock.
"""

from __future__ import annotations

from collections.abc import Iterable
import struct

# Endpoint process, time left in ms.
_COLD = struct.Struct('<II')
_MAX = 0xFFFF_FFFF


def encode_cold(times: Iterable[tuple[int, float]]) -> bytes:
    """Encode numbers of endpoint processes and times left in seconds."""
    return b''.join(
        _COLD.pack(incarnation, min(_MAX, max(0, round(1000 * left_s))))
        for incarnation, left_s in times
    )


def decode_cold(data: bytes) -> list[tuple[int, float]]:
    """Decode the result of `encode_cold`.

    Raises
    ------
    ValueError
    """
    if len(data) % _COLD.size:
        raise ValueError(f'cold endpoints: {len(data)} bytes')
    return [
        (incarnation, left_ms / 1000)
        for incarnation, left_ms in _COLD.iter_unpack(data)
    ]
