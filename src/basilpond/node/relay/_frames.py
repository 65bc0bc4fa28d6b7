"""Frames in which a router relays what an endpoint sends.

The end of a response may be the end of its connection. A router that relays it
may end itself, so the bytes come in frames and the end of the connection is
one of them: without it, the response is incomplete.
"""

from __future__ import annotations

from collections.abc import Iterator
import enum
import struct

# Kind and length of the content.
_HEADER = struct.Struct('>BI')
PROTOCOL = b'basilpond-relay'
# Path of the requests that open a relayed connection; an endpoint id follows.
PATH_PREFIX = b'/relay/'


class FrameKind(enum.IntEnum):
    """Kind of a frame."""

    DATA = 0
    # The endpoint closed its sending side.
    END = 1
    # The endpoint reset the connection, or does not respond any more.
    BROKEN = 2
    # The relaying router stops: no further request should follow.
    LEAVING = 3


class FrameError(ValueError):
    """Bytes that are no frame."""


def encode_frame(kind: FrameKind, size_bytes: int = 0) -> bytes:
    """Return what precedes the content of a frame."""
    return _HEADER.pack(kind, size_bytes)


class FrameReader:
    """Splits the bytes of a connection into frames."""

    __slots__ = ('_head', '_left_bytes')

    def __init__(self) -> None:
        self._head = b''
        # Bytes of the present data frame that are still to come.
        self._left_bytes = 0

    def feed(
        self, data: bytes | memoryview
    ) -> Iterator[tuple[FrameKind, memoryview]]:
        """Yield frames; the content of a long one comes in parts.

        Raises
        ------
        FrameError
        """
        view = memoryview(data)
        while view:
            if self._left_bytes:
                part = view[: self._left_bytes]
                self._left_bytes -= len(part)
                view = view[len(part) :]
                yield FrameKind.DATA, part
                continue
            missing = _HEADER.size - len(self._head)
            self._head += bytes(view[:missing])
            view = view[missing:]
            if len(self._head) < _HEADER.size:
                return
            number, size_bytes = _HEADER.unpack(self._head)
            self._head = b''
            try:
                kind = FrameKind(number)
            except ValueError as error:
                raise FrameError(f'kind {number}') from error
            if kind is FrameKind.DATA:
                self._left_bytes = size_bytes
            elif size_bytes:
                raise FrameError(f'{kind.name} with {size_bytes} bytes')
            else:
                yield kind, view[:0]
