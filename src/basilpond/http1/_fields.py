"""Header fields of HTTP/1.1 messages."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

Header = tuple[bytes, bytes]

# RFC 9110, section 7.6.1: fields that apply to a single connection.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)

REASONS = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    402: b'Payment Required',
    404: b'Not Found',
    405: b'Method Not Allowed',
    408: b'Request Timeout',
    411: b'Length Required',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


def find(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first field with a name in lower case."""
    for field, value in headers:
        if field == name:
            return value
    return None


def find_all(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return the values of all fields with a name in lower case."""
    return [value for field, value in headers if field == name]


def list_items(headers: Iterable[Header], name: bytes) -> set[bytes]:
    """Return the members of a comma-separated field in lower case."""
    return {
        item.strip().lower()
        for value in find_all(headers, name)
        for item in value.split(b',')
    }


def end_to_end_fields(headers: Iterable[Header]) -> Iterator[Header]:
    """Yield the fields that an intermediary forwards.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Fields with names in lower case.
    """
    headers = list(headers)
    dropped = HOP_BY_HOP | list_items(headers, b'connection')
    for field in headers:
        if field[0] not in dropped:
            yield field


def status_line(status: int) -> bytes:
    """Return the status line of a response."""
    reason = REASONS.get(status, b'Status')
    return b'HTTP/1.1 %d %s\r\n' % (status, reason)


def encode_fields(headers: Iterable[Header]) -> bytes:
    """Return the header lines, followed by an empty line."""
    lines = [b'%s: %s\r\n' % field for field in headers]
    lines.append(b'\r\n')
    return b''.join(lines)
