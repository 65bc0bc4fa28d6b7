"""Decoding of datagrams between routers, for any input.

thriftpy2 does not bound its work by its input: a datagram of 8 bytes that
announces a string of 2 GB allocates it, and one that announces 2**31 elements
without any bytes occupies the router for 10 s. `_find_end` therefore checks
all announced sizes before the library decodes the datagram.
"""

from __future__ import annotations

from pathlib import Path
import struct

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.thrift import TType
from thriftpy2.utils import deserialize

messages = thriftpy2.load(
    str(Path(__file__).with_name('peer.thrift')), module_name='peer_thrift'
)

# The deepest member, a field of a crash, is nested 4 deep.
_MAX_DEPTH = 8
_MAX_WHOLE = 2**53
_FIXED_SIZES = {
    TType.BOOL: 1,
    TType.BYTE: 1,
    TType.I16: 2,
    TType.I32: 4,
    TType.I64: 8,
    TType.DOUBLE: 8,
}
_LENGTH = struct.Struct('>i')
_factory = TCyBinaryProtocolFactory()


class DatagramError(ValueError):
    """A datagram is malformed, or a value is out of range."""


def decode_datagram(data: bytes) -> object:
    """Decode a datagram and check its fields.

    Raises
    ------
    DatagramError
    """
    try:
        _find_end(data, TType.STRUCT, 0, 0)
        datagram = deserialize(messages.Datagram(), data, _factory)
    except DatagramError:
        raise
    except Exception as error:
        # The library reports malformed input through many built-in types.
        raise DatagramError(f'{type(error).__name__}: {error}') from error
    _check(datagram)
    return datagram


def _find_end(data: bytes, kind: int, position: int, depth: int) -> int:
    # Returns the position after a value; raises if it exceeds the datagram.
    if depth > _MAX_DEPTH:
        raise DatagramError('values are nested too deep')
    if kind == TType.STRUCT:
        while (field := data[position]) != TType.STOP:
            position = _find_end(data, field, position + 3, depth + 1)
        return position + 1
    if kind == TType.STRING:
        size = _read_length(data, position)
        position += 4 + size
    elif kind in (TType.LIST, TType.SET):
        element = data[position]
        count = _read_length(data, position + 1)
        position += 5
        for _ in range(count):
            position = _find_end(data, element, position, depth + 1)
    elif kind in _FIXED_SIZES:
        position += _FIXED_SIZES[kind]
    else:
        raise DatagramError(f'value of type {kind}')
    if position > len(data):
        raise DatagramError('value is longer than the datagram')
    return position


def _read_length(data: bytes, position: int) -> int:
    (length,) = _LENGTH.unpack_from(data, position)
    if not 0 <= length <= len(data):
        raise DatagramError(f'length {length}')
    return length


def _check(datagram: object) -> None:
    _check_texts(datagram, 'router', 'holder')
    report = datagram.report
    if report is not None:
        _check_wholes(report, 'wall_ms', optional=True)
        if not -1 <= (report.configuration_version or 0) <= _MAX_WHOLE:
            raise DatagramError('configuration_version is out of range')
        for crash in report.crashes or ():
            _check_texts(crash, 'digest')
            _check_wholes(crash, 'count', 'age_ms')
        if not all(isinstance(item, str) for item in report.leaving or ()):
            raise DatagramError('leaving is no text')
        if not isinstance(report.data_centre or '', str):
            raise DatagramError('data_centre is no text')
        if report.evacuations is not None:
            _check_evacuations(report.evacuations)
    if datagram.request is not None:
        _check_texts(datagram.request, 'organisation')
        _check_wholes(datagram.request, 'tokens')
        _check_wholes(datagram.request, 'percent', optional=True)
    if datagram.transfer is not None:
        _check_texts(datagram.transfer, 'organisation')
        _check_wholes(datagram.transfer, 'number', 'tokens')
        _check_wholes(datagram.transfer, 'left', optional=True)
    _check_wholes(datagram, 'known_statement', optional=True)
    if datagram.account_statement is not None:
        _check_statement(datagram.account_statement)


def _check_evacuations(evacuations: object) -> None:
    # -1: a router that has not read the log yet, or a lost record.
    _check_offsets(evacuations, 'era', 'log_end')
    for record in evacuations.records or ():
        _check_texts(record, 'data_centre')
        _check_offsets(record, 'era', 'log_offset')
        if record.active is None:
            raise DatagramError('active is missing')


def _check_offsets(message: object, *names: str) -> None:
    for name in names:
        value = getattr(message, name)
        if value is None or not -1 <= value <= _MAX_WHOLE:
            raise DatagramError(f'{name} is out of range')


def _check_statement(statement: object) -> None:
    _check_wholes(statement, 'number', 'era')
    for account in statement.accounts or ():
        _check_texts(account, 'organisation')
        _check_wholes(account, 'revision')
        # Tokens are negative at a router that returned what it had received.
        for name in ('owned', 'ceiling'):
            value = getattr(account, name)
            if value is None or abs(value) > _MAX_WHOLE:
                raise DatagramError(f'{name} is out of range')


def _check_texts(message: object, *names: str) -> None:
    for name in names:
        # The library returns bytes that are no UTF-8 as they are.
        value = getattr(message, name)
        if not isinstance(value, str) or not value:
            raise DatagramError(f'{name} is no text')


def _check_wholes(
    message: object, *names: str, optional: bool = False
) -> None:
    for name in names:
        value = getattr(message, name)
        if value is None and optional:
            continue
        if value is None or not 0 <= value <= _MAX_WHOLE:
            raise DatagramError(f'{name} is out of range')
