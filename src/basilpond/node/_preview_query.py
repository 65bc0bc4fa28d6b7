"""Questions of operators about requests that are not sent."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import urllib.parse

from ..http1 import Header
from ..http1 import find_all
from ..routing import PromptPart

# Largest numbers of tokens, as in requests, and of bytes; no deployment
# accepts larger bodies.
_MAX_TOKENS = 10**8
_MAX_BODY_BYTES = 2**32
# Digits of the longest of these numbers, so that longer ones are not parsed.
_MAX_DIGITS = 10
_MAX_PART_DIGITS = 16
# Longest name in the domain name system, with room for a port.
_MAX_HOST_CHARS = 260
_NAMES = frozenset(
    ('target', 'host', 'prompt_tokens', 'output_tokens', 'body_bytes', 'parts')
)


class PreviewError(Exception):
    """A preview that is not possible.

    Parameters
    ----------
    status : int
    reason : str
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclasses.dataclass(slots=True, frozen=True)
class PreviewQuery:
    """Properties of a request that is not sent.

    Parameters
    ----------
    target, host : str
    key : str or None
        Not part of the representation, as that may be logged.
    prompt_tokens, output_tokens, body_bytes : int
    parts : tuple of PromptPart
    """

    target: str
    host: str
    key: str | None = dataclasses.field(repr=False)
    prompt_tokens: int
    output_tokens: int
    body_bytes: int
    parts: tuple[PromptPart, ...]

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition('?')[0]

    @property
    def bound_tokens(self) -> int:
        """Largest number of tokens that the request may consume."""
        return self.prompt_tokens + self.output_tokens


def parse_query(target: bytes, headers: list[Header]) -> PreviewQuery:
    """Return the query of a request to the preview path.

    Messages of errors repeat no value, as one may contain a key.

    Raises
    ------
    PreviewError
    """
    values = _parse_values(target.partition(b'?')[2])
    path = _text(values, 'target')
    if not path.startswith('/'):
        raise PreviewError(400, 'target does not begin with /')
    host = _text(values, 'host')
    if len(host) > _MAX_HOST_CHARS:
        raise PreviewError(400, 'host is too long')
    prompt_tokens = _number(values, 'prompt_tokens', _MAX_TOKENS)
    parts = tuple(_parse_parts(values.get('parts', '')))
    if sum(part.tokens for part in parts) > prompt_tokens:
        raise PreviewError(400, 'parts have more tokens than prompt_tokens')
    return PreviewQuery(
        path,
        host,
        _parse_key(headers),
        prompt_tokens,
        _number(values, 'output_tokens', _MAX_TOKENS),
        _number(values, 'body_bytes', _MAX_BODY_BYTES),
        parts,
    )


def _parse_values(query: bytes) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(
            query.decode('ascii'),
            keep_blank_values=True,
            strict_parsing=bool(query),
            errors='strict',
            max_num_fields=len(_NAMES),
        )
    except ValueError:
        raise PreviewError(400, 'query is malformed') from None
    values = dict(pairs)
    if len(values) < len(pairs):
        raise PreviewError(400, 'a parameter is repeated')
    if not values.keys() <= _NAMES:
        names = ', '.join(sorted(_NAMES))
        raise PreviewError(
            400,
            f'unknown parameter; known: {names}; the key of the caller belongs'
            ' in the field Authorization',
        )
    return values


def _text(values: dict[str, str], name: str) -> str:
    value = values.get(name, '')
    if not value:
        raise PreviewError(400, f'{name} is missing')
    # As in the head of a request.
    if not all('!' <= char <= '~' for char in value):
        raise PreviewError(400, f'{name} has characters that need an escape')
    return value


def _number(values: dict[str, str], name: str, maximum: int) -> int:
    text = values.get(name, '0')
    if not (text.isascii() and text.isdigit()):
        raise PreviewError(400, f'{name} is not a whole number')
    if len(text) > _MAX_DIGITS or int(text) > maximum:
        raise PreviewError(400, f'{name} is above {maximum}')
    return int(text)


def _parse_parts(value: str) -> Iterator[PromptPart]:
    for item in value.split(',') if value else ():
        part, _, tokens = item.partition(':')
        if not (
            0 < len(part) <= _MAX_PART_DIGITS
            and all(char in '0123456789abcdefABCDEF' for char in part)
        ):
            raise PreviewError(400, 'parts is not a list of ID:TOKENS')
        numbers = {'tokens of a part': tokens}
        yield PromptPart(
            int(part, 16), _number(numbers, 'tokens of a part', _MAX_TOKENS)
        )


def _parse_key(headers: list[Header]) -> str | None:
    values = find_all(headers, b'authorization')
    if not values:
        return None
    scheme, _, key = values[0].partition(b' ')
    if len(values) > 1 or scheme.lower() != b'bearer' or not key.strip():
        raise PreviewError(400, 'Authorization is not one bearer token')
    return key.strip().decode('latin-1')
