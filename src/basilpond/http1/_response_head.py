"""Heads of responses, and which of them HTTP/1.1 allows."""

from __future__ import annotations

import dataclasses

from . import _fields

_VERSIONS = ('1.0', '1.1')


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and header fields of a response; field names in lower case."""

    status: int
    headers: list[_fields.Header]

    def find(self, name: bytes) -> bytes | None:
        """Return the value of the first field with a name in lower case."""
        return _fields.find(self.headers, name)

    @property
    def is_interim(self) -> bool:
        """Whether another response follows to the same request."""
        return 100 <= self.status < 200


def find_problem(head: ResponseHead, version: str) -> str | None:
    """Return why a head is none of a response to a request of this client.

    The parser accepts any three digits as a status, and any transfer coding.

    Parameters
    ----------
    head : ResponseHead
    version : str
        Such as '1.1'.

    Returns
    -------
    str or None

    Notes
    -----
    RFC 9110, sections 7.8 and 15; RFC 9112, sections 2.3, 6 and 7. Requests
    ask for no transfer coding, and for no other protocol.
    """
    if version not in _VERSIONS:
        return f'version {version}'
    if not 100 <= head.status < 600 or head.status == 101:
        return f'status {head.status:03d}'
    codings = _fields.find_all(head.headers, b'transfer-encoding')
    if codings and (
        version == '1.0'
        or [x.strip().lower() for x in codings] != [b'chunked']
    ):
        return f'transfer coding {b", ".join(codings)[:64]!r}'
    if head.is_interim and (
        codings or head.find(b'content-length') is not None
    ):
        return f'status {head.status} with a body'
    return None
