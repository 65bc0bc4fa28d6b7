"""Ledger snapshots as log records of limited size.

A snapshot is compressed and split, so that no append exceeds the size limit
of a batch. Every part carries the log offset of the ledger state.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
from collections.abc import Iterator
import zlib

import msgspec

from ...core import JsonDecoder
from ...core import LedgerSnapshot

# Base64 in JSON makes this a third larger, which stays below the 256 KiB of a
# batch.
PART_BYTES = 180 * 1024

# Bytes compressed or decompressed in one step, which takes 1 to 2 ms; then
# other tasks of the event loop run.
STEP_BYTES = 64 * 1024


class _PartNumber(msgspec.Struct, frozen=True):
    part: int
    parts: int


class _Part(_PartNumber, frozen=True):
    data: bytes


async def pack_snapshot(chunks: Iterable[bytes]) -> bytes:
    """Compress a snapshot, yielding to the event loop between steps."""
    # Level 1, because the state is JSON with few distinct field names: a
    # higher level takes several times as long and saves a few percent.
    compressor = zlib.compressobj(1)
    packed = bytearray()
    for chunk in chunks:
        for start in range(0, len(chunk), STEP_BYTES):
            packed += compressor.compress(chunk[start : start + STEP_BYTES])
            await asyncio.sleep(0)
    packed += compressor.flush()
    return bytes(packed)


_number_decoder = JsonDecoder(_PartNumber)
_part_decoder = JsonDecoder(_Part)


async def unpack_snapshot(packed: bytes) -> AsyncIterator[bytes]:
    """Yield the chunks of a packed snapshot.

    Raises
    ------
    zlib.error
        The data is corrupt or truncated.
    """
    decompressor = zlib.decompressobj()
    rest = b''
    while not decompressor.eof:
        data = decompressor.decompress(packed, STEP_BYTES)
        packed = decompressor.unconsumed_tail
        if not (data or packed or decompressor.eof):
            raise zlib.error('compressed snapshot is truncated')
        *chunks, rest = (rest + data).split(b'\n')
        await asyncio.sleep(0)
        for chunk in chunks:
            yield chunk
            await asyncio.sleep(0)


def split_snapshot(offset: int, packed: bytes) -> Iterator[LedgerSnapshot]:
    """Yield the log records of a packed snapshot, in order.

    Parameters
    ----------
    offset : int
        Offset of the last log entry that the snapshot contains.
    packed : bytes
    """
    parts = -(-len(packed) // PART_BYTES)
    for i in range(parts):
        data = packed[i * PART_BYTES : (i + 1) * PART_BYTES]
        part = msgspec.json.encode(_Part(i + 1, parts, data))
        yield LedgerSnapshot(offset, msgspec.Raw(part))


def is_last_part(record: LedgerSnapshot) -> bool:
    """Return whether a record is the last part of its snapshot."""
    try:
        number = _number_decoder.decode(record.state)
    except msgspec.MsgspecError:
        return False
    return number.part == number.parts


class SnapshotParts:
    """Assembles snapshots from their parts, which may come in any order."""

    def __init__(self) -> None:
        self._parts: dict[tuple[str, int], dict[int, bytes]] = {}

    def add(self, writer: str, record: LedgerSnapshot) -> bytes | None:
        """Add a part; return the packed snapshot once it is complete.

        Parameters
        ----------
        writer : str
            Incarnation id of the router that appended the part.
        record : LedgerSnapshot

        Returns
        -------
        bytes or None
            None while parts are missing, and for a part that cannot be
            decoded.
        """
        try:
            part = _part_decoder.decode(record.state)
            found = self._parts.setdefault((writer, record.offset), {})
            found[part.part] = part.data
            if len(found) < part.parts:
                return None
            del self._parts[writer, record.offset]
            return b''.join(found[i] for i in sorted(found))
        except msgspec.MsgspecError:
            return None
