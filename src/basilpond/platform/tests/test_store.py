import asyncio
import json
import struct

import pytest

from basilpond.http1 import ResponseHead
from basilpond.node import LogReaderBehindError
from basilpond.node import LogUnavailableError
from basilpond.node import ReadProgress
from basilpond.platform import PlatformLog
from basilpond.platform import encode_keyed_record
from basilpond_testkit.paused_clock import on_paused_clock

PART_BYTES = 16 * 1024


class Connection:
    """Exchange whose response arrives in parts, with a pause before each."""

    def __init__(self, body, pause_s):
        self.body = body
        self.pause_s = pause_s

    def send_request(self, message):
        pass

    async def read_head(self):
        await asyncio.sleep(0.004)
        return ResponseHead(200, [])

    async def read_part(self):
        await asyncio.sleep(self.pause_s)
        part, self.body = self.body[:PART_BYTES], self.body[PART_BYTES:]
        return part


class Pool:
    def __init__(self, connection):
        self.connection = connection

    def take_idle(self):
        return self.connection

    def release(self, connection):
        pass


def make_log(body, pause_s):
    log = PlatformLog(('store', 1))
    log._pool = Pool(Connection(body, pause_s))
    return log


def encode_read_response(value):
    return struct.pack('>QQ', 1, 0) + encode_keyed_record('config', value)


@on_paused_clock
async def test_large_response_may_exceed_response_timeout():
    """Guards against a limit on the total time of a transfer.

    A megabyte takes 6.4 s on a link of 5 Mbit/s that four transfers share.
    """
    log = make_log(encode_read_response(bytes(1_000_000)), 0.1)
    progress = ReadProgress()
    page = await log.read('configuration', 0, 1.0, progress)
    assert len(page.records[0].value) == 1_000_000
    assert progress.received_bytes > 1_000_000


@on_paused_clock
async def test_large_newest_page_may_exceed_response_timeout():
    """Guards against the same limit when a router starts."""
    item = {'key': 'config', 'offset': 0, 'value': 'A' * 1_000_000}
    body = json.dumps({'items': [item], 'end': 1}).encode()
    log = make_log(body, 0.1)
    page = await log.read_newest('configuration', None, ReadProgress())
    assert page.end == 1


@on_paused_clock
async def test_stalled_response_times_out():
    """Guards against a read that hangs in the middle of the response."""
    log = make_log(encode_read_response(bytes(100_000)), 1.5)
    started_s = asyncio.get_running_loop().time()
    with pytest.raises(LogUnavailableError, match='timed out'):
        await log.read('configuration', 0, 1.0, ReadProgress())
    assert asyncio.get_running_loop().time() - started_s < 2.5


@on_paused_clock
async def test_endless_response_is_rejected():
    """Guards against an endless response that exhausts memory of a VM."""
    log = make_log(bytes(64 << 20), 0.001)
    progress = ReadProgress()
    with pytest.raises(LogUnavailableError, match='too long'):
        await log.read('configuration', 0, 1.0, progress)
    assert progress.received_bytes < 8 << 20


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'no answer',
        b'{"items": [{"key": "a", "offset": 1, "value": "A"}], "end": 2}',
    ],
)
@on_paused_clock
async def test_undecodable_response_is_reported_as_unavailable(body):
    """Guards against an unexpected exception that ends the log reader."""
    log = make_log(body, 0.0)
    with pytest.raises(LogUnavailableError):
        await log.read_newest('configuration', None, ReadProgress())


@on_paused_clock
async def test_unwanted_records_are_not_transferred():
    """Guards against reading outdated versions before the newest one."""
    body = struct.pack('>QQ', 9, 0) + bytes(1_000_000)
    log = make_log(body, 0.1)
    progress = ReadProgress()
    with pytest.raises(LogReaderBehindError):
        await log.read('configuration', 1, 1.0, progress, max_records=1)
    assert progress.received_bytes <= PART_BYTES
