"""Codec of UDP datagrams and TCP frames: Thrift compact protocol.

thriftpy2 does not validate its input: it accepts missing fields, integers of
any length and lists that claim more elements than the input can hold.
`_BoundedReader` bounds the work by the length of the input, and
`_check_struct` validates the decoded struct against the schema.
"""

from __future__ import annotations

from typing import Any

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.thrift import TType
from thriftpy2.transport import TMemoryBuffer

from ._messages import Frame
from ._messages import Gossip

MAX_DATAGRAM_BYTES = 1200
MAX_FRAME_BYTES = 1 << 20
LENGTH_BYTES = 4

# A 64-bit varint has at most 9 continuation bytes; the field header that
# precedes it may have its high bit set as well.
_MAX_CONTINUATION_BYTES = 16

# The thriftpy2 parser does not distinguish optional fields from fields without
# a qualifier; a test compares this table with the schema.
_OPTIONAL_FIELDS = {
    'Gossip': {'target'},
    'AskAllotment': {'journal_peer', 'log_unreachable'},
    'AskAllotmentReply': {'transfer'},
    'FetchManifestReply': {'document'},
    'FetchAnswerReply': {'content_type', 'body', 'body_digest'},
    'Frame': {
        spec[1]
        for spec in Frame.thrift_spec.values()
        if spec[1] not in ('call_id', 'is_reply')
    },
}
FRAME_PAYLOADS = tuple(
    spec[1] for spec in Frame.thrift_spec.values() if spec[0] == TType.STRUCT
)
_INTEGER_BITS = {TType.I32: 32, TType.I64: 64}


class ProtocolError(ValueError):
    """Raised when a message violates ``peer.thrift`` or its size limits."""


class _InputTransport:
    """Transport over received bytes that raises at their end."""

    __slots__ = ('_data', '_position', '_continuation_bytes')

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0
        self._continuation_bytes = 0

    @property
    def remaining_bytes(self) -> int:
        return len(self._data) - self._position

    def read(self, size: int) -> bytes:
        end = self._position + size
        if end > len(self._data):
            raise ProtocolError('message ends inside a field')
        chunk = self._data[self._position : end]
        self._position = end
        if size == 1 and chunk[0] & 0x80:
            # Decoding an unbounded varint takes quadratic time.
            self._continuation_bytes += 1
            if self._continuation_bytes > _MAX_CONTINUATION_BYTES:
                raise ProtocolError('integer is longer than 64 bits')
        else:
            self._continuation_bytes = 0
        return chunk


class _BoundedReader(TCompactProtocol):
    """Compact protocol whose containers are bounded by the input length."""

    def _read_size(self) -> int:
        size = super()._read_size()
        if size > self.trans.remaining_bytes:
            raise ProtocolError('container is longer than the message')
        return size

    def _read_collection_begin(self) -> tuple[int, int]:
        element_type, size = super()._read_collection_begin()
        if element_type == TType.STOP:
            # Such elements take up no bytes, so their count is unbounded.
            raise ProtocolError('list of elements without a type')
        return element_type, size

    def _read_map_begin(self) -> tuple[int, int, int]:
        raise ProtocolError('map where the schema has none')


def encoded_size(struct: Any) -> int:
    """Return the encoded size of a struct in bytes, also as a list element."""
    return len(_encode(struct))


def encode_gossip(gossip: Gossip) -> bytes:
    """Encode one UDP datagram.

    Raises
    ------
    ProtocolError
        A field is missing or has the wrong type, or the datagram would
        exceed `MAX_DATAGRAM_BYTES`.
    """
    _check_struct(gossip)
    data = _encode(gossip)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ProtocolError(
            f'datagram of {len(data)} bytes; at most {MAX_DATAGRAM_BYTES}'
        )
    return data


def decode_gossip(data: bytes) -> Gossip:
    """Decode one UDP datagram.

    Raises
    ------
    ProtocolError
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ProtocolError(
            f'datagram of {len(data)} bytes; at most {MAX_DATAGRAM_BYTES}'
        )
    return _decode(data, Gossip)


def encode_frame(frame: Frame) -> bytes:
    """Encode one TCP frame, prefixed with its length.

    Raises
    ------
    ProtocolError
        A field is missing or has the wrong type, the frame does not have
        exactly one payload, or it would exceed `MAX_FRAME_BYTES`.
    """
    _check_struct(frame)
    _check_payload(frame)
    data = _encode(frame)
    _check_frame_size(len(data))
    return len(data).to_bytes(LENGTH_BYTES, 'big') + data


def frame_size(header: bytes) -> int:
    """Return the frame size in bytes that the length `header` announces.

    Raises
    ------
    ProtocolError
        The length is 0 or above `MAX_FRAME_BYTES`.
    """
    size = int.from_bytes(header, 'big')
    _check_frame_size(size)
    return size


def decode_frame(data: bytes) -> Frame:
    """Decode one TCP frame, without its length prefix.

    Raises
    ------
    ProtocolError
    """
    frame = _decode(data, Frame)
    _check_payload(frame)
    return frame


def _check_frame_size(size: int) -> None:
    if not 0 < size <= MAX_FRAME_BYTES:
        raise ProtocolError(
            f'frame of {size} bytes; allowed 1 to {MAX_FRAME_BYTES}'
        )


def _check_payload(frame: Frame) -> None:
    payloads = [
        name
        for name in ('error', *FRAME_PAYLOADS)
        if getattr(frame, name) is not None
    ]
    if len(payloads) != 1:
        raise ProtocolError(f'frame has {len(payloads)} payloads; needs 1')
    if payloads[0] == 'error' and not frame.is_reply:
        raise ProtocolError('frame has an error but is no reply')


def _encode(struct: Any) -> bytes:
    transport = TMemoryBuffer()
    TCompactProtocol(transport).write_struct(struct)
    return transport.getvalue()


def _decode(data: bytes, struct_type: type) -> Any:
    transport = _InputTransport(data)
    struct = struct_type()
    try:
        _BoundedReader(transport, strict_decode=True).read_struct(struct)
    except ProtocolError:
        raise
    except Exception as error:
        # The library reports malformed input through many built-in types
        # (KeyError, TypeError, RecursionError, ...).
        raise ProtocolError(f'malformed {struct_type.__name__}') from error
    if transport.remaining_bytes:
        raise ProtocolError('message has bytes after its end')
    _check_struct(struct)
    return struct


def _check_struct(struct: Any) -> None:
    """Raise `ProtocolError` unless all fields conform to the schema."""
    struct_name = type(struct).__name__
    optional = _OPTIONAL_FIELDS.get(struct_name, ())
    for field_type, name, *rest in struct.thrift_spec.values():
        value = getattr(struct, name)
        if value is None:
            if name not in optional:
                raise ProtocolError(f'{struct_name}.{name} is missing')
            continue
        spec = rest[0] if len(rest) == 2 else None
        if not _matches_type(field_type, spec, value):
            raise ProtocolError(f'{struct_name}.{name} does not fit its type')


def _matches_type(field_type: int, spec: Any, value: Any) -> bool:
    if field_type in _INTEGER_BITS:
        limit = 1 << (_INTEGER_BITS[field_type] - 1)
        if not isinstance(value, int) or isinstance(value, bool):
            return False
        return -limit <= value < limit
    if field_type == TType.BOOL:
        return type(value) is bool
    if field_type == TType.STRING:
        return type(value) is str
    if field_type == TType.BINARY:
        return type(value) is bytes
    if field_type == TType.LIST:
        element_type, element_spec = (
            spec if isinstance(spec, tuple) else (spec, None)
        )
        return type(value) is list and all(
            _matches_type(element_type, element_spec, element)
            for element in value
        )
    if not isinstance(value, spec):
        return False
    _check_struct(value)
    return True
