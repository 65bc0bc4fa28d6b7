"""What servers say of themselves in the header fields of their responses."""

from __future__ import annotations

from collections.abc import Iterator
import datetime
import email.utils
import re

from ..http1 import ResponseHead
from ..http1 import find_all
from ..node import EndpointSignals

_LEAVING = b'server-leaving'
_RETRY_AFTER = b'retry-after'
_COLD_MS = b'x-cold-ms'
_BRITTLE = b'server-brittle'
_UNAVAILABLE = 503
# Whole seconds in HTTP; on the platform they may include fractions.
_SECONDS = re.compile(r'[0-9]+(\.[0-9]*)?')
# Whole or broken milliseconds, up to a day: a start takes seconds to minutes.
_MILLISECONDS = re.compile(r'[0-9]{1,9}(\.[0-9]{0,9})?')
_MAX_COLD_MS = 86_400_000
_COUNT = re.compile(r'[0-9]{1,6}')
# Bytes of a value without meaning that are logged.
_MAX_LOGGED_BYTES = 40


def endpoint_signals(head: ResponseHead, wall_s: float) -> EndpointSignals:
    """Return what the server says of itself.

    A value that is not defined says nothing. Of different values, the longest
    time and the smallest count apply, and nothing else. Both are named in
    `problems`.

    Parameters
    ----------
    head : ResponseHead
    wall_s : float
        Unix time to which a date refers if the response has no date itself.
    """
    problems: list[str] = []
    return EndpointSignals(
        _leaving(head, problems),
        _quiet_s(head, wall_s, problems),
        _cold_s(head, problems),
        _survived_rejections(head, problems),
        tuple(problems),
    )


def _leaving(head: ResponseHead, problems: list[str]) -> bool:
    values = _values(head, _LEAVING)
    if values <= {'1'} or values == {'0'}:
        return values == {'1'}
    problems.append(_problem(_LEAVING, values))
    return False


def _quiet_s(
    head: ResponseHead, wall_s: float, problems: list[str]
) -> float | None:
    if head.status != _UNAVAILABLE:
        return None
    values = _values(head, _RETRY_AFTER)
    times_s = list(_decode_times(values, _sent_s(head, wall_s)))
    if len(values) > 1 or len(times_s) < len(values):
        problems.append(_problem(_RETRY_AFTER, values))
    return max(times_s, default=None)


def _cold_s(head: ResponseHead, problems: list[str]) -> float | None:
    values = _values(head, _COLD_MS)
    times_ms = [
        float(value)
        for value in values
        if _MILLISECONDS.fullmatch(value) and float(value) <= _MAX_COLD_MS
    ]
    if len(values) > 1 or len(times_ms) < len(values):
        problems.append(_problem(_COLD_MS, values))
    return max(times_ms) / 1000 if times_ms else None


def _survived_rejections(
    head: ResponseHead, problems: list[str]
) -> int | None:
    # Of different values, the smallest is safe.
    values = _values(head, _BRITTLE)
    counts = [int(value) for value in values if _COUNT.fullmatch(value)]
    if len(values) > 1 or len(counts) < len(values):
        problems.append(_problem(_BRITTLE, values))
    return min(counts, default=None)


def _decode_times(values: set[str], sent_s: float) -> Iterator[float]:
    for value in values:
        if _SECONDS.fullmatch(value):
            yield float(value)
        elif (date_s := _decode_date(value)) is not None:
            yield max(0.0, date_s - sent_s)


def _sent_s(head: ResponseHead, wall_s: float) -> float:
    # The clocks of the server and the router may differ.
    date = head.find(b'date')
    date_s = None if date is None else _decode_date(date.decode('latin-1'))
    return wall_s if date_s is None else date_s


def _decode_date(value: str) -> float | None:
    try:
        date = email.utils.parsedate_to_datetime(value)
        return date.replace(tzinfo=date.tzinfo or datetime.UTC).timestamp()
    except (ValueError, TypeError, OverflowError, IndexError):
        return None


def _values(head: ResponseHead, name: bytes) -> set[str]:
    return {
        value.strip().decode('latin-1')
        for value in find_all(head.headers, name)
    }


def _problem(name: bytes, values: set[str]) -> str:
    text = ', '.join(sorted(values))[:_MAX_LOGGED_BYTES]
    return f'{name.decode()}: {text}'
