"""Encoding of the speeds of endpoints that routers observe."""

from __future__ import annotations

from collections.abc import Iterable
import math
import struct

from ..routing import SpeedReport

# Endpoint process, logarithm of the speed in 16 steps for a factor of two,
# weight in 255ths, completed prefill cost in units of 16 tokens.
_SPEED = struct.Struct('<IBBH')
_STEPS = 16
_WEIGHTS = 255
_COST_UNIT = 16
_MAX_COST = 0xFFFF
# Speed of the value 0; the value 255 is 62,000 times as fast.
_LOWEST_TOKENS_PER_S = 1_000.0
# More items than a router sends are not read.
_MAX_ITEMS = 64


def encode_speeds(reports: Iterable[SpeedReport]) -> bytes:
    """Encode observations of endpoints."""
    return b''.join(
        _SPEED.pack(
            report.incarnation,
            _encode_speed(report.tokens_per_s),
            min(_WEIGHTS, max(0, round(_WEIGHTS * report.weight))),
            min(_MAX_COST, max(0, round(report.cost / _COST_UNIT))),
        )
        for report in reports
    )


def decode_speeds(data: bytes) -> list[SpeedReport]:
    """Decode the result of `encode_speeds`.

    Raises
    ------
    ValueError
    """
    if len(data) % _SPEED.size or len(data) > _MAX_ITEMS * _SPEED.size:
        raise ValueError(f'endpoint speeds: {len(data)} bytes')
    return [
        SpeedReport(
            incarnation,
            _LOWEST_TOKENS_PER_S * 2 ** (speed / _STEPS),
            weight / _WEIGHTS,
            float(_COST_UNIT * cost),
        )
        for incarnation, speed, weight, cost in _SPEED.iter_unpack(data)
    ]


def _encode_speed(tokens_per_s: float) -> int:
    ratio = max(1.0, tokens_per_s / _LOWEST_TOKENS_PER_S)
    return min(0xFF, round(_STEPS * math.log2(ratio)))
