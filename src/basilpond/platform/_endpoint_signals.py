"""What servers say of themselves in the header fields of their responses."""

from __future__ import annotations

from ..http1 import ResponseHead
from ..http1 import find_all
from ..node import EndpointSignals

_LEAVING = b'server-leaving'


def endpoint_signals(head: ResponseHead) -> EndpointSignals:
    """Return what the server says of itself.

    A field that has no defined value, or is given more than once with
    different ones, says nothing and is named in `problems`.
    """
    problems: list[str] = []
    return EndpointSignals(_leaving(head, problems), tuple(problems))


def _leaving(head: ResponseHead, problems: list[str]) -> bool:
    values = {value.strip() for value in find_all(head.headers, _LEAVING)}
    if values <= {b'1'} or values == {b'0'}:
        return values == {b'1'}
    problems.append(_problem(_LEAVING, values))
    return False


def _problem(name: bytes, values: set[bytes]) -> str:
    text = ', '.join(sorted(value[:40].decode('latin-1') for value in values))
    return f'{name.decode()}: {text}'
