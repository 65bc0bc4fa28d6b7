"""JSON lines formatting of `absl.logging` records, with keys redacted."""

from __future__ import annotations

import datetime
import logging as standard_logging
import re
import sys
from typing import Any
from typing import TextIO

from absl import logging
import msgspec

REDACTED = '[redacted]'
_BEARER = re.compile(r'(bearer)[\s:=]+[^\s"\',;]+', re.IGNORECASE)
_SECRET_FIELD = re.compile(
    r'(^|_)(authorization|key|keys|token|secret|password)$', re.IGNORECASE
)


def redact(text: str) -> str:
    """Replace the key after each ``Bearer`` in a text."""
    return _BEARER.sub(rf'\1 {REDACTED}', text)


def _redact_value(name: str, value: Any) -> Any:
    if _SECRET_FIELD.search(name):
        return REDACTED
    if isinstance(value, str):
        return redact(value)
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, dict):
        return {
            redact(str(key)): _redact_value(str(key), item)
            for key, item in value.items()
        }
    if isinstance(value, list | tuple | set | frozenset):
        return [_redact_value('', item) for item in value]
    if isinstance(value, bytes):
        return redact(value.decode('utf-8', 'replace'))
    return redact(str(value))


class JsonLinesFormatter(standard_logging.Formatter):
    """Formats each log record as one line with a JSON object.

    Fields are `time` (RFC 3339, UTC), `level`, `message`, those passed to
    `log_event`, and `error` with the traceback of an exception.
    """

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line for a record, without the line break."""
        time = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        line: dict[str, Any] = {
            'time': time.isoformat(timespec='milliseconds'),
            'level': record.levelname.lower(),
            'message': redact(record.getMessage()),
        }
        for name, value in getattr(record, 'event_fields', {}).items():
            line.setdefault(name, _redact_value(name, value))
        if record.exc_info:
            line['error'] = redact(self.formatException(record.exc_info))
        return msgspec.json.encode(line).decode()


def install_json_logs(
    stream: TextIO | None = None, level: int = logging.INFO
) -> None:
    """Send the logs of the process to a stream as JSON lines.

    Parameters
    ----------
    stream : file object, optional
        Default: standard error.
    level : int
        Least severe level of `absl.logging` that is logged.
    """
    handler = standard_logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonLinesFormatter())
    # Other libraries (aiohttp, asyncio) log through the root logger, as absl's
    # logger does.
    standard_logging.getLogger().handlers = [handler]
    logging.get_absl_logger().handlers = []
    logging.get_absl_logger().propagate = True
    logging.set_verbosity(level)


def log_event(level: int, message: str, **fields: Any) -> None:
    """Log a message with fields, such as `request_id` or `code`.

    Parameters
    ----------
    level : int
        Level of `absl.logging`.
    message : str
        Constant text; variable data belongs in `fields`.
    """
    # Passed as an argument, so that a percent sign in the message is not
    # interpreted as a format specifier.
    logging.log(level, '%s', message, extra={'event_fields': fields})
