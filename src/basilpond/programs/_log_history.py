"""History of one request, extracted from router logs."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import datetime
from pathlib import Path
import sys
from typing import Any

import msgspec

# Events of the same routers are included from this long before the first line
# of the request until this long after its last line.
CONTEXT_BEFORE_S = 3.0
CONTEXT_AFTER_S = 0.5
# Logged periodically, independently of any request.
_ROUTINE_EVENTS = frozenset(('allotments', 'appended'))
# Fields that identify the line itself.
_HEADER_FIELDS = frozenset(('t', 'node', 'event', 'request'))

LogLine = dict[str, Any]


def read_lines(sources: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of files; `-` is standard input.

    Anything before the first brace of a line, such as a time and a name that
    a log collector added, is skipped, and so are lines that are not log lines.
    """
    for source in sources:
        if source == '-':
            yield from _parse(sys.stdin)
            continue
        with Path(source).open(errors='replace') as file:
            yield from _parse(file)


def _parse(lines: Iterable[str]) -> Iterator[LogLine]:
    for text in lines:
        start = text.find('{')
        if start < 0:
            continue
        with contextlib.suppress(msgspec.DecodeError):
            line = msgspec.json.decode(text[start:])
            if isinstance(line, dict) and 'event' in line and 't' in line:
                yield line


def request_history(
    lines: Iterable[LogLine], request_id: str
) -> list[LogLine]:
    """Return the log lines of a request and related events, by time.

    Parameters
    ----------
    lines : iterable of dict
    request_id : str

    Returns
    -------
    list of dict
        Empty if no line refers to the request.
    """
    lines = list(lines)
    request_lines = [
        line for line in lines if line.get('request') == request_id
    ]
    if not request_lines:
        return []
    first_s = min(line['t'] for line in request_lines) - CONTEXT_BEFORE_S
    last_s = max(line['t'] for line in request_lines) + CONTEXT_AFTER_S
    nodes = {line.get('node') for line in request_lines}
    endpoints = {
        line['endpoint'] for line in request_lines if 'endpoint' in line
    }
    organisations = {
        line['organisation']
        for line in request_lines
        if 'organisation' in line
    }
    context_lines = [
        line
        for line in lines
        if 'request' not in line
        and line.get('node') in nodes
        and first_s <= line['t'] <= last_s
        and _is_related(line, endpoints, organisations)
    ]
    return sorted(request_lines + context_lines, key=lambda line: line['t'])


def _is_related(
    line: LogLine, endpoints: set[str], organisations: set[str]
) -> bool:
    if 'endpoint' in line:
        return line['endpoint'] in endpoints
    if 'organisation' in line:
        return line['organisation'] in organisations
    # Events of the store, the configuration, other routers and the process.
    return line['event'] not in _ROUTINE_EVENTS


def format_line(line: LogLine) -> str:
    """Format a log line for display; `*` marks the lines of requests."""
    time = datetime.datetime.fromtimestamp(line['t'], datetime.UTC)
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _HEADER_FIELDS
    )
    mark = '*' if 'request' in line else ' '
    clock = time.strftime('%H:%M:%S.') + f'{time.microsecond // 1000:03d}'
    return f'{clock} {mark} {line.get("node")} {line["event"]} {fields}'
