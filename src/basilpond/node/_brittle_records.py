"""Encoding of what routers tell each other of brittle endpoints.

Times are sent as ages, as routers have no common monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
import itertools
import struct

from ..routing import BrittleReport
from ..routing import RejectionReport

# Number of bounds.
_COUNT = struct.Struct('<H')
# Endpoint process, rejections that it survives or _NONE, ages in ms: of the
# first bound and of the last response.
_BOUND = struct.Struct('<IIII')
# Endpoint process, number of the rejection, age in ms.
_REJECTION = struct.Struct('<III')
_MAX = 0xFFFF_FFFF
_NONE = _MAX
# Items per datagram; 2.6 KB together.
_MAX_BOUNDS = 64
_MAX_REJECTIONS = 128


def encode_brittle(
    bounds: Iterable[BrittleReport],
    rejections: Iterable[RejectionReport],
    now_s: float,
) -> bytes:
    """Encode bounds and rejections; empty without any."""
    bounds = list(itertools.islice(bounds, _MAX_BOUNDS))
    items = [
        _BOUND.pack(
            bound.incarnation,
            _NONE if bound.rejections is None else bound.rejections,
            _age_ms(bound.since_s, now_s),
            _age_ms(bound.named_s, now_s),
        )
        for bound in bounds
    ] + [
        _REJECTION.pack(
            rejection.incarnation,
            rejection.number,
            _age_ms(rejection.rejected_s, now_s),
        )
        for rejection in itertools.islice(rejections, _MAX_REJECTIONS)
    ]
    return _COUNT.pack(len(bounds)) + b''.join(items) if items else b''


def decode_brittle(
    data: bytes, now_s: float
) -> tuple[list[BrittleReport], list[RejectionReport]]:
    """Decode the result of `encode_brittle`.

    Raises
    ------
    ValueError
    """
    if not data:
        return [], []
    if len(data) < _COUNT.size:
        raise ValueError(f'brittle endpoints: {len(data)} bytes')
    (count,) = _COUNT.unpack_from(data)
    end = _COUNT.size + count * _BOUND.size
    if end > len(data) or (len(data) - end) % _REJECTION.size:
        raise ValueError(f'brittle endpoints: {len(data)} bytes')
    bounds = [
        BrittleReport(
            incarnation,
            None if rejections == _NONE else rejections,
            now_s - since_ms / 1000,
            now_s - named_ms / 1000,
        )
        for incarnation, rejections, since_ms, named_ms in _BOUND.iter_unpack(
            data[_COUNT.size : end]
        )
    ]
    reports = [
        RejectionReport(incarnation, number, now_s - age_ms / 1000)
        for incarnation, number, age_ms in _REJECTION.iter_unpack(data[end:])
    ]
    return bounds, reports


def _age_ms(time_s: float, now_s: float) -> int:
    return min(_MAX, max(0, round(1000 * (now_s - time_s))))
