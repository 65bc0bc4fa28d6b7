"""Loading of TOML settings files."""

from __future__ import annotations

from pathlib import Path
import sys
import tomllib
from typing import TypeVar

import msgspec

from ..core import InvalidFieldError
from ..core import ResultCode
from ..core import convert_fields

T = TypeVar('T')

EXIT_INVALID_SETTINGS = 2


def load_settings(path: Path, type_: type[T]) -> T:
    """Load and validate a TOML settings file.

    Parameters
    ----------
    path : pathlib.Path
    type_ : type
        Struct type that describes the file.

    Raises
    ------
    InvalidFieldError
        A field is invalid, or the file can't be read. The error holds the
        path, the value and the allowed range of the first invalid field, or
        the path of the file.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError, RecursionError) as error:
        raise InvalidFieldError(
            ResultCode.SETTINGS_INVALID,
            str(path),
            msgspec.UNSET,
            f'a readable TOML file; {error}',
        ) from None
    return convert_fields(raw, type_, ResultCode.SETTINGS_INVALID)


def load_settings_or_exit(path: Path, type_: type[T]) -> T:
    """Load a settings file; if it is invalid, print one line and exit 2."""
    try:
        return load_settings(path, type_)
    except InvalidFieldError as error:
        sys.stderr.write(f'{error}\n')
        raise SystemExit(EXIT_INVALID_SETTINGS) from None
