"""Output and exit codes of the operator commands."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
import sys
from typing import Any

import msgspec

from ..core import BasilpondError
from ..core import InvalidFieldError

EXIT_OK = 0
EXIT_REJECTED = 1
EXIT_INVALID = 2
EXIT_UNAVAILABLE = 3


def write_line(text: str) -> None:
    """Write a line to standard output."""
    sys.stdout.write(text + '\n')


def write_json(value: Any) -> None:
    """Write a value as one JSON line."""
    write_line(msgspec.json.encode(value).decode())


def write_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Write a table with aligned columns."""
    lines = [header, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        write_line('  '.join(cells).rstrip())


def run_command(coroutine: Coroutine[Any, Any, int]) -> None:
    """Run a command and exit; report an error as one line on stderr."""
    try:
        code = asyncio.run(coroutine)
    except InvalidFieldError as error:
        sys.stderr.write(f'{error}\n')
        code = EXIT_INVALID
    except BasilpondError as error:
        sys.stderr.write(f'{error}\n')
        code = EXIT_UNAVAILABLE
    raise SystemExit(code)
