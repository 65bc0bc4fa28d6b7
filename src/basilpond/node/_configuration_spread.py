"""Newer configurations from other routers, while the store is away."""

from __future__ import annotations

import asyncio
from collections import deque
import zlib

from ..http1 import ConnectionPool
from ..http1 import ExchangeError
from ..http1 import ExchangeFailure
from ._decision_log import DecisionLog
from ._directory import ConfigurationState
from ._internal_server import Answer
from ._internal_server import InternalServer
from ._peers import PeerTask

PATH = b'/configuration'
# All routers learn a version from the store within some 50 ms; one that still
# lacks it after this time is cut off.
LAG_S = 0.3
_CONNECT_TIMEOUT_S = 0.4
# A source that sends nothing for this long is given up. The time of a whole
# transfer says nothing: one of 300 KB takes seconds on a link that many share.
_STALL_S = 1.0
# Bytes of transfers begun in a second: half of a 5 Mbit/s link. Routers that
# are turned away ask others, of which more have the version each second; all
# transfers at once would end together, and late.
_MAX_BYTES_PER_S = 300_000
# Versions shrink to an eighth at the fastest level, in 2 ms for 260 KB.
_COMPRESSION_LEVEL = 1
_MAX_BYTES = 64 * 1024 * 1024
# A version of 260 KB takes 33 KB; a faulty source may send bytes without end.
_MAX_PACKED_BYTES = 8 * 1024 * 1024


class ConfigurationSpread:
    """Serves the version in force and fetches newer ones.

    Parameters
    ----------
    configuration : ConfigurationState
    peers : PeerTask
    decisions : DecisionLog
    """

    def __init__(
        self,
        configuration: ConfigurationState,
        peers: PeerTask,
        decisions: DecisionLog,
    ) -> None:
        self._configuration = configuration
        self._peers = peers
        self._decisions = decisions
        self._server = InternalServer(self._answer)
        # Start and bytes of the last second's transfers.
        self._begun: deque[tuple[float, int]] = deque()
        # The version in force, and the same compressed.
        self._packed_from: bytes | None = None
        self._packed = b''

    async def listen(self, host: str, port: int) -> None:
        """Serve the version in force."""
        await self._server.listen(host, port)

    def close(self) -> None:
        """Close the listener and all connections."""
        self._server.close()

    async def run(self) -> None:
        """Fetch newer versions until cancelled."""
        wanted: int | None = None
        while True:
            await asyncio.sleep(LAG_S)
            newest = self._peers.newest_configuration()
            if newest is None or newest[0] <= self._version():
                wanted = None
                continue
            version, address = newest
            if wanted is not None:
                await self._fetch(version, address)
            wanted = version

    async def _fetch(self, version: int, address: tuple[str, int]) -> None:
        pool = ConnectionPool(*address, _CONNECT_TIMEOUT_S)
        source = f'{address[0]}:{address[1]}'
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        parts: list[bytes] = []
        try:
            connection = await pool.connect()
            try:
                connection.send_request(
                    b'GET %s HTTP/1.1\r\nHost: %s\r\n\r\n'
                    % (PATH, source.encode())
                )
                async with asyncio.timeout(_STALL_S):
                    head = await connection.read_head()
                while True:
                    async with asyncio.timeout(_STALL_S):
                        part = await connection.read_part()
                    if not part:
                        break
                    parts.append(part)
                    if sum(map(len, parts)) > _MAX_PACKED_BYTES:
                        raise ExchangeError(
                            ExchangeFailure.MALFORMED, 'answer too long'
                        )
            finally:
                connection.abort()
        except (ExchangeError, TimeoutError) as error:
            reason = str(error) or f'sent nothing for {_STALL_S} s'
        else:
            reason = self._take(head.status, b''.join(parts), source)
            if reason is None:
                return
        self._decisions.event(
            'configuration_not_fetched',
            version=version,
            source=source,
            reason=reason,
            received_bytes=sum(map(len, parts)),
            took_s=round(loop.time() - started_s, 3),
        )

    def _take(self, status: int, packed: bytes, source: str) -> str | None:
        # Returns why a version cannot be used.
        if status != 200:
            return f'status {status}'
        try:
            data = zlib.decompressobj().decompress(packed, _MAX_BYTES)
        except zlib.error as error:
            return str(error)
        self._configuration.offer(data, source=source)
        return None

    def _answer(self, path: bytes) -> Answer:
        data = self._configuration.data
        if path != PATH or data is None:
            return 404, [], b''
        if data is not self._packed_from:
            self._packed_from = data
            self._packed = zlib.compress(data, _COMPRESSION_LEVEL)
        if not self._may_begin(len(self._packed)):
            return 503, [], b''
        return 200, [], self._packed

    def _may_begin(self, size: int) -> bool:
        now_s = asyncio.get_running_loop().time()
        while self._begun and now_s - self._begun[0][0] >= 1.0:
            self._begun.popleft()
        recent = sum(known for _, known in self._begun)
        if self._begun and recent + size > _MAX_BYTES_PER_S:
            return False
        self._begun.append((now_s, size))
        return True

    def _version(self) -> int:
        catalogue = self._configuration.catalogue
        return -1 if catalogue is None else catalogue.version
