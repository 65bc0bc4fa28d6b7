"""HTTP client of the platform's log."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
import dataclasses
import struct
from typing import TypeVar
from urllib.parse import quote
from urllib.parse import urlencode

import msgspec

from ..http1 import ConnectionPool
from ..http1 import ExchangeError
from ..http1 import ExchangeFailure
from ..http1 import ResponseHead
from ..node import LogAppendError
from ..node import LogPage
from ..node import LogReaderBehindError
from ..node import LogTimeoutError
from ..node import LogTrimmedError
from ..node import LogUnavailableError
from ..node import NewestPage
from ..node import ReadProgress
from ..node import Record

# Limit on the time until a response starts, and on each pause within it. The
# store responds in 4 ms; a slow one takes 50 to 60 times as long. The total
# time is not limited, as a large response over a slow link takes longer.
_RESPONSE_TIMEOUT_S = 1.0
# Larger responses are invalid: a read returns 1 MB at most, and a page of
# newest records the same in base64.
_MAX_RESPONSE_BYTES = 4 << 20
_CONNECT_TIMEOUT_S = 0.25
_MAX_KEY_BYTES = 255
_Response = TypeVar('_Response')
# Offsets of the end of the partition and of the first retained record, which
# precede the records of a read.
_READ_HEAD_BYTES = 16
# The era rises with each restore; a longer number is no era.
_MAX_ERA_DIGITS = 9


class _AppendResponse(msgspec.Struct):
    # Offset of the first record.
    offset: int


class _NewestItem(msgspec.Struct):
    key: str
    offset: int
    value: str = ''


class _NewestResponse(msgspec.Struct):
    items: list[_NewestItem]
    # Offset after the last record of the partition.
    end: int
    has_more: bool = False


class _ErrorResponse(msgspec.Struct):
    reason: str = ''
    # Next sequence number of the producer.
    seq: int | None = None
    # Offset of the first retained record.
    first: int | None = None


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Encode a record of a topic that retains the newest one per key."""
    name = key.encode()
    if not 0 < len(name) <= _MAX_KEY_BYTES:
        raise ValueError(f'key {key!r} is not 1 to {_MAX_KEY_BYTES} bytes')
    content = bytes([len(name)]) + name + value
    return struct.pack('>I', len(content)) + content


def _decode_records(data: bytes, first: int) -> list[Record]:
    records = []
    position = 0
    while position + 4 <= len(data):
        (size,) = struct.unpack_from('>I', data, position)
        content = data[position + 4 : position + 4 + size]
        if len(content) < size:
            break
        position += 4 + size
        records.append(_decode_keyed_record(content, first + len(records)))
    return records


def _decode_value(text: str) -> bytes | None:
    return base64.b64decode(text) or None


def _decode_json(data: bytes, kind: type[_Response]) -> _Response:
    # An invalid response must not end the task of the caller.
    try:
        return msgspec.json.decode(data, type=kind)
    except (ValueError, RecursionError) as error:
        raise LogUnavailableError(f'undecodable response: {error}') from error


def _first_retained(data: bytes) -> int | None:
    try:
        return _decode_json(data, _ErrorResponse).first
    except LogUnavailableError:
        return None


def _decode_keyed_record(content: bytes, offset: int) -> Record:
    length = content[0] if content else 0
    key = content[1 : 1 + length].decode('utf-8', 'replace')
    value = content[1 + length :]
    return Record(offset, key, value or None)


@dataclasses.dataclass(slots=True, frozen=True)
class _LogResponse:
    status: int
    data: bytes
    era: int


class PlatformLog:
    """Log client that uses a separate connection for each concurrent call.

    Parameters
    ----------
    address : (str, int)
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._pool = ConnectionPool(*address, _CONNECT_TIMEOUT_S)
        self._host = f'{address[0]}:{address[1]}'
        self.calls = 0
        self.era = 0
        self.on_new_era: Callable[[], None] = lambda: None

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        *,
        producer: str,
        epoch: int,
        sequence: int,
    ) -> int:
        """Append keyed records, all or none.

        A retry with the same producer and sequence appends nothing and
        returns the offset of the first attempt.

        Returns
        -------
        int
            Offset of the first record.

        Raises
        ------
        LogUnavailableError
            It is unknown whether the records were appended.
        LogAppendError
            The sequence does not follow the last one of the producer, or the
            producer has used a higher epoch.
        """
        body = b''.join(
            encode_keyed_record(key, value) for key, value in records
        )
        query = {
            'topic': topic,
            'part': 0,
            'producer': producer,
            'epoch': epoch,
            'seq': sequence,
        }
        response = await self._request('POST', 'log-append', query, body)
        if response.status == 409:
            error = _decode_json(response.data, _ErrorResponse)
            raise LogAppendError(error.reason, error.seq)
        if response.status != 200:
            raise LogUnavailableError(f'append: status {response.status}')
        return _decode_json(response.data, _AppendResponse).offset

    async def add(
        self, topic: str, partition: int, records: list[tuple[str, bytes]]
    ) -> None:
        """Append keyed records, all or none, without a producer.

        Raises
        ------
        LogUnavailableError
            It is unknown whether the records were appended, or will be.
        """
        body = b''.join(
            encode_keyed_record(key, value) for key, value in records
        )
        query = {'topic': topic, 'part': partition}
        response = await self._request('POST', 'log-append', query, body)
        if response.status != 200:
            raise LogUnavailableError(f'append: status {response.status}')

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        progress: ReadProgress,
        *,
        max_records: int | None = None,
        partition: int = 0,
    ) -> LogPage:
        """Read records from an offset on, waiting for the first one.

        Raises
        ------
        LogUnavailableError
        LogTrimmedError
            The record at the offset is no longer retained.
        LogReaderBehindError
            More than `max_records` records follow; they are not transferred.
        """
        max_end = None if max_records is None else offset + max_records

        def check(status: int, data: bytes) -> None:
            if status != 200:
                return
            end, _ = struct.unpack_from('>QQ', data)
            progress.log_end = end
            if max_end is not None and end > max_end:
                raise LogReaderBehindError(
                    f'{topic}: offset {offset}, end {end}'
                )

        query = {
            'topic': topic,
            'part': partition,
            'from': offset,
            'wait_ms': int(wait_s * 1000),
        }
        response = await self._request(
            'GET',
            'log-read',
            query,
            b'',
            extra_s=wait_s,
            progress=progress,
            check_start=check,
        )
        if response.status == 410:
            raise LogTrimmedError(
                f'{topic}: no record at offset {offset}',
                _first_retained(response.data),
            )
        if response.status != 200 or len(response.data) < _READ_HEAD_BYTES:
            raise LogUnavailableError(f'read: status {response.status}')
        end, _ = struct.unpack_from('>QQ', response.data)
        records = _decode_records(response.data[_READ_HEAD_BYTES:], offset)
        return LogPage(records, end, response.era)

    async def read_newest(
        self, topic: str, after: str | None, progress: ReadProgress
    ) -> NewestPage:
        """Read the newest record of each key, in pages.

        Raises
        ------
        LogUnavailableError
        """
        query = {'topic': topic, 'part': 0}
        if after is not None:
            query['after'] = after
        response = await self._request(
            'GET', 'log-newest', query, b'', progress=progress
        )
        if response.status != 200:
            raise LogUnavailableError(f'newest: status {response.status}')
        page = _decode_json(response.data, _NewestResponse)
        try:
            records = [
                Record(item.offset, item.key, _decode_value(item.value))
                for item in page.items
            ]
        except ValueError as error:
            raise LogUnavailableError(f'newest: {error}') from error
        return NewestPage(records, page.end, page.has_more, response.era)

    def _record_era(self, head: ResponseHead) -> int:
        # Returns the era of the response, that is the last one if it names
        # none. Responses may overtake each other, so the highest era counts.
        value = head.find(b'store-era') or b''
        if not value.isdigit() or len(value) > _MAX_ERA_DIGITS:
            return self.era
        era = int(value)
        if era > self.era:
            self.era = era
            self.on_new_era()
        return era

    async def _request(
        self,
        method: str,
        name: str,
        query: dict[str, object],
        body: bytes,
        *,
        extra_s: float = 0.0,
        progress: ReadProgress | None = None,
        check_start: Callable[[int, bytes], None] = lambda status, data: None,
    ) -> _LogResponse:
        self.calls += 1
        target = f'/basilpond/{name}?{urlencode(query, quote_via=quote)}'
        message = (
            f'{method} {target} HTTP/1.1\r\nHost: {self._host}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body
        progress = progress or ReadProgress()
        # The pages of one read share `progress`.
        max_bytes = progress.received_bytes + _MAX_RESPONSE_BYTES
        connection = self._pool.take_idle()
        try:
            if connection is None:
                connection = await self._pool.connect()
            connection.send_request(message)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S + extra_s) as limit:
                head = await connection.read_head()
                era = self._record_era(head)
                parts = []
                while True:
                    limit.reschedule(loop.time() + _RESPONSE_TIMEOUT_S)
                    part = await connection.read_part()
                    if not part:
                        break
                    parts.append(part)
                    progress.received_bytes += len(part)
                    if len(parts) == 1 and len(part) >= _READ_HEAD_BYTES:
                        check_start(head.status, part)
                    if progress.received_bytes > max_bytes:
                        raise LogUnavailableError(f'{name}: response too long')
        except TimeoutError:
            raise LogTimeoutError(
                f'{name}: timed out after {progress.received_bytes} bytes'
            ) from None
        except ExchangeError as error:
            if error.failure is ExchangeFailure.CONNECT:
                raise LogTimeoutError(f'{name}: {error}') from error
            raise LogUnavailableError(f'{name}: {error}') from error
        finally:
            if connection is not None:
                self._pool.release(connection)
        return _LogResponse(head.status, b''.join(parts), era)
