"""Encoding and decoding of the platform's messages and records."""

from __future__ import annotations

from . import _endpoint_signals
from . import _messages
from . import _records


class JsonPlatformCodec:
    """Implementation of `basilpond.node.PlatformCodec`."""

    configuration_topic = _records.CONFIGURATION_TOPIC
    configuration_key = _records.CONFIGURATION_KEY
    endpoints_topic = _records.ENDPOINTS_TOPIC
    ready_path = _messages.READY_PATH

    decode_configuration = staticmethod(_records.decode_configuration)
    decode_endpoint = staticmethod(_records.decode_endpoint)
    decode_evacuation = staticmethod(_records.decode_evacuation)
    decode_request_metadata = staticmethod(_messages.decode_request_metadata)
    encode_request = staticmethod(_messages.encode_request)
    echo_field = staticmethod(_messages.echo_field)
    classify_response = staticmethod(_messages.classify_response)
    request_limit_per_s = staticmethod(_messages.request_limit_per_s)
    endpoint_signals = staticmethod(_endpoint_signals.endpoint_signals)
    response_fields = staticmethod(_messages.response_fields)
    refusal_fields = staticmethod(_messages.refusal_fields)
