"""Encoding of the limits that endpoints name.

Times are sent as ages, as routers have no common monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
import struct

from ..routing import LimitReport

# Endpoint process, limit in thousandths of a request a second (0 for none),
# age in ms.
_LIMIT = struct.Struct('<III')
_MAX = 0xFFFF_FFFF


def encode_limits(reports: Iterable[LimitReport], now_s: float) -> bytes:
    """Encode what endpoints said of their limits."""
    return b''.join(
        _LIMIT.pack(
            report.incarnation,
            round(1000 * min(_MAX // 1000, report.per_s or 0)),
            min(_MAX, max(0, round(1000 * (now_s - report.named_s)))),
        )
        for report in reports
    )


def decode_limits(data: bytes, now_s: float) -> list[LimitReport]:
    """Decode the result of `encode_limits`.

    Raises
    ------
    ValueError
    """
    if len(data) % _LIMIT.size:
        raise ValueError(f'endpoint limits: {len(data)} bytes')
    return [
        LimitReport(
            incarnation, per_1000_s / 1000 or None, now_s - age_ms / 1000
        )
        for incarnation, per_1000_s, age_ms in _LIMIT.iter_unpack(data)
    ]
