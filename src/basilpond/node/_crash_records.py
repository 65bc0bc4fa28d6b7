"""Encoding of the evidence on prompt parts that crash endpoints.

Times are sent as ages, as routers have no common monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
import struct

from ..routing import CrashEvidence
from ..routing import part_key

# Endpoint process, service, ages in ms of the send and of the crash, number of
# parts; the ids of the parts follow.
_EVIDENCE = struct.Struct('<IIIIB')
# Service, id of a part, age in ms of the response that began.
_CLEARED = struct.Struct('<IQI')
# Parts of one request that are announced; the last ones are the rarest.
MAX_PARTS = 64
_MAX_AGE_MS = 0xFFFF_FFFF
_ID_MASK = 0xFFFF_FFFF_FFFF_FFFF


def encode_crash_evidence(
    items: Iterable[CrashEvidence], now_s: float
) -> bytes:
    """Encode evidence of crashes.

    Parameters
    ----------
    items : iterable of CrashEvidence
        With at most `MAX_PARTS` parts each.
    now_s : float
    """
    return b''.join(
        _EVIDENCE.pack(
            item.incarnation,
            item.keys[0] >> 64,
            _age_ms(item.sent_s, now_s),
            _age_ms(item.broken_s, now_s),
            len(item.keys),
        )
        + struct.pack(
            f'<{len(item.keys)}Q', *(key & _ID_MASK for key in item.keys)
        )
        for item in items
    )


def decode_crash_evidence(data: bytes, now_s: float) -> list[CrashEvidence]:
    """Decode the result of `encode_crash_evidence`.

    Raises
    ------
    ValueError
    """
    items = []
    while data:
        try:
            incarnation, service, sent_ms, broken_ms, count = (
                _EVIDENCE.unpack_from(data)
            )
            parts = struct.unpack_from(f'<{count}Q', data, _EVIDENCE.size)
        except struct.error as error:
            raise ValueError(f'crash evidence: {error}') from error
        if not 1 <= count <= MAX_PARTS:
            raise ValueError(f'crash evidence: {count} parts')
        items.append(
            CrashEvidence(
                incarnation,
                tuple(part_key(service, part) for part in parts),
                now_s - sent_ms / 1000,
                now_s - broken_ms / 1000,
            )
        )
        data = data[_EVIDENCE.size + 8 * count :]
    return items


def encode_cleared(items: Iterable[tuple[int, float]], now_s: float) -> bytes:
    """Encode keys of parts and when a response to them began."""
    return b''.join(
        _CLEARED.pack(key >> 64, key & _ID_MASK, _age_ms(begun_s, now_s))
        for key, begun_s in items
    )


def decode_cleared(data: bytes, now_s: float) -> list[tuple[int, float]]:
    """Decode the result of `encode_cleared`.

    Raises
    ------
    ValueError
    """
    if len(data) % _CLEARED.size:
        raise ValueError(f'cleared parts: {len(data)} bytes')
    return [
        (part_key(service, part), now_s - age_ms / 1000)
        for service, part, age_ms in _CLEARED.iter_unpack(data)
    ]


def _age_ms(at_s: float, now_s: float) -> int:
    return min(_MAX_AGE_MS, max(0, round((now_s - at_s) * 1000)))
