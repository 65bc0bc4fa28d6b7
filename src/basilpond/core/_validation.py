"""Conversion of untyped input to structs, with errors that name the field."""

from __future__ import annotations

from collections.abc import Iterator
import re
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

from . import _codes

T = TypeVar('T')

_LOCATION = re.compile(r'^(?P<expected>.*?)(?: - at `(?P<path>\$.*)`)?$', re.S)
_PATH_STEP = re.compile(r'\.(?P<field>[^.\[\]]+)|\[(?P<index>\d+)\]')
_SHOWN_VALUE_CHARS = 60
_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_PORT = (
    '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    '|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)
# End of a pattern: `$` alone also matches before a line break at the end.
PATTERN_END = r'$(?!\n)'
# Patterns of IPv4 addresses, alone and with a port from 1 to 65535: socket
# calls raise OverflowError for other ports.
IP_ADDRESS = rf'{_OCTET}(\.{_OCTET}){{3}}'
SOCKET_ADDRESS = f'{IP_ADDRESS}:{_PORT}'


class JsonDecoder(Generic[T]):
    """JSON decoder that raises `msgspec.DecodeError` for any invalid input.

    msgspec raises RecursionError for values that are nested too deep, also in
    members that the type does not have.

    Parameters
    ----------
    type_ : type
    """

    __slots__ = ('_decode',)

    def __init__(self, type_: type[T]) -> None:
        self._decode = msgspec.json.Decoder(type_).decode

    def decode(self, data: bytes | str) -> T:
        """Decode a JSON document.

        Raises
        ------
        msgspec.DecodeError
        """
        try:
            return self._decode(data)
        except (RecursionError, UnicodeError) as error:
            raise msgspec.DecodeError(str(error)) from error


class InvalidFieldError(_codes.BasilpondError):
    """A field is missing, unknown or outside its allowed range.

    Parameters
    ----------
    code : ResultCode
    path : str
        Path of the field, for example ``organisations[0].priority``.
    value : object
        Its value; `msgspec.UNSET` when the field is missing.
    expected : str
        Allowed type and range.
    """

    def __init__(
        self,
        code: _codes.ResultCode,
        path: str,
        value: object,
        expected: str,
    ) -> None:
        shown = 'missing' if value is msgspec.UNSET else _describe(value)
        if len(shown) > _SHOWN_VALUE_CHARS:
            shown = shown[:_SHOWN_VALUE_CHARS] + '...'
        super().__init__(code, f'{path}: {shown}; allowed: {expected}')
        self.path = path
        self.value = value
        self.expected = expected


def _describe(value: object) -> str:
    try:
        return f'value {value!r}'
    except RecursionError:
        return 'a value that is nested too deep'


def _path_steps(path: str) -> Iterator[str | int]:
    for match in _PATH_STEP.finditer(path):
        if match['index'] is not None:
            yield int(match['index'])
        else:
            yield match['field']


def _value_at(raw: Any, path: str) -> object:
    value = raw
    for step in _path_steps(path):
        try:
            value = value[step]
        except (KeyError, IndexError, TypeError):
            return msgspec.UNSET
    return value


def convert_fields(raw: Any, type_: type[T], code: _codes.ResultCode) -> T:
    """Convert plain dicts and lists to a struct.

    Parameters
    ----------
    raw : object
        Output of a JSON or TOML decoder.
    type_ : type
        Struct type with the constraints of its fields.
    code : ResultCode
        Code of the error that is raised.

    Raises
    ------
    InvalidFieldError
        For the first invalid field, with its path, value and allowed range.
    """
    try:
        return msgspec.convert(raw, type_)
    except msgspec.ValidationError as error:
        match = _LOCATION.match(str(error))
        path = match['path'] or '$'
        expected = match['expected']
        missing = re.search(r'missing required field `([^`]+)`', expected)
        unknown = re.search(r'contains unknown field `([^`]+)`', expected)
        if missing:
            path = f'{path}.{missing[1]}'
            expected = 'a value is required'
        elif unknown:
            path = f'{path}.{unknown[1]}'
            expected = 'no such field'
        raise InvalidFieldError(
            code,
            path.removeprefix('$').lstrip('.') or '$',
            _value_at(raw, path),
            expected,
        ) from None
