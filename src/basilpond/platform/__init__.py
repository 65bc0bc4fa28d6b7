"""Codec, settings and log client for the users' platform."""

from ._codec import JsonPlatformCodec
from ._messages import answer_fields
from ._messages import decode_call
from ._messages import echo_field
from ._messages import encode_call
from ._messages import judge_answer
from ._messages import refusal_fields
from ._records import RecordError
from ._records import decode_configuration
from ._records import decode_endpoint
from ._settings import SettingsError
from ._settings import load_settings
from ._store import PlatformLog
from ._store import encode_keyed_record

__all__ = [
    'PlatformLog',
    'JsonPlatformCodec',
    'RecordError',
    'SettingsError',
    'answer_fields',
    'decode_call',
    'decode_configuration',
    'decode_endpoint',
    'echo_field',
    'encode_call',
    'encode_keyed_record',
    'judge_answer',
    'load_settings',
    'refusal_fields',
]
