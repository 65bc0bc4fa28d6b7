"""Codec, settings and log client for the users' platform."""

from ._codec import JsonPlatformCodec
from ._endpoint_signals import endpoint_signals
from ._messages import classify_response
from ._messages import decode_request_metadata
from ._messages import echo_field
from ._messages import encode_request
from ._messages import refusal_fields
from ._messages import request_limit_per_s
from ._messages import response_fields
from ._records import RecordError
from ._records import decode_configuration
from ._records import decode_endpoint
from ._settings import SettingsError
from ._settings import load_settings
from ._store import PlatformLog
from ._store import encode_keyed_record

__all__ = [
    'JsonPlatformCodec',
    'PlatformLog',
    'RecordError',
    'SettingsError',
    'classify_response',
    'decode_configuration',
    'decode_endpoint',
    'decode_request_metadata',
    'echo_field',
    'encode_keyed_record',
    'encode_request',
    'endpoint_signals',
    'load_settings',
    'refusal_fields',
    'request_limit_per_s',
    'response_fields',
]
