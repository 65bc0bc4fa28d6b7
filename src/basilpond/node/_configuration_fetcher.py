"""Exchange of configurations between routers.

While the store is down, routers fetch newer versions from each other. A
router that has just started also asks them whether its first version is the
newest one, as the store may have come back from an older copy.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
import math
import zlib

from ..http1 import ClientResources
from ..http1 import ConnectionPool
from ..http1 import ExchangeError
from ..http1 import ExchangeFailure
from ..http1 import ProtocolWrapper
from ..http1 import keep_factory
from ..routing import CheckState
from ..routing import VersionCheck
from ._decision_log import DecisionLog
from ._directory import ConfigurationState
from ._internal_server import InternalResponse
from ._internal_server import InternalServer
from ._peers import PeerTask

PATH = b'/configuration'
# All routers read a version from the store within about 50 ms; a router that
# still lacks it after this time cannot reach the store.
FETCH_DELAY_S = 0.3
# Interval in which a router that has just started compares its version.
_CHECK_INTERVAL_S = 0.05
_CONNECT_TIMEOUT_S = 0.4
# A fetch is cancelled if its source sends nothing for this long. The time of a
# complete transfer has no limit: 300 KB take seconds on a shared link.
_STALL_TIMEOUT_S = 1.0
# Share of the VM's link for transfers, by their start in a second. Refused
# routers try other sources, of which more have the version each second; if all
# transfers ran at once, all of them would finish late. With the limit of a
# slow link at all routers, 67 slow ones waited for 6 with fast links for
# seconds.
_LINK_SHARE = 0.5
# Limit where the link is unknown: the share of a link of 5 Mbit/s.
_MAX_BYTES_PER_S = 300_000
# Sources that are asked in turn while they refuse for this limit.
_MAX_SOURCES = 3
_BUSY_STATUS = 503
# The fastest level compresses versions to an eighth, in 2 ms for 260 KB.
_COMPRESSION_LEVEL = 1
_MAX_BYTES = 64 * 1024 * 1024
# A version of 260 KB compresses to 33 KB; a faulty source may send endless
# data.
_MAX_COMPRESSED_BYTES = 8 * 1024 * 1024


class ConfigurationFetcher:
    """Serves the version in force and fetches newer ones.

    Parameters
    ----------
    configuration : ConfigurationState
    peers : PeerTask
    decisions : DecisionLog
    are_routers_known : callable
        Returns whether the addresses of the routers have been read.
    resources : ClientResources or None
        Shared by the servers of the process.
    link_bytes_per_s : float
        Bandwidth of the VM's link; infinite if unknown.
    """

    def __init__(
        self,
        configuration: ConfigurationState,
        peers: PeerTask,
        decisions: DecisionLog,
        *,
        are_routers_known: Callable[[], bool] = lambda: True,
        resources: ClientResources | None = None,
        link_bytes_per_s: float = math.inf,
    ) -> None:
        self._link_bytes_per_s = link_bytes_per_s
        self._configuration = configuration
        self._peers = peers
        self._decisions = decisions
        self._are_routers_known = are_routers_known
        self._server = InternalServer(self._respond, resources)
        self._fetching: asyncio.Task[None] | None = None
        # Start time and bytes of the transfers of the last second.
        self._recent_transfers: deque[tuple[float, int]] = deque()
        # The version in force when it was compressed, and the result.
        self._compressed_source: bytes | None = None
        self._compressed = b''

    async def listen(
        self, host: str, port: int, wrap: ProtocolWrapper = keep_factory
    ) -> None:
        """Serve the version in force; `wrap` as in `CallerServer.listen`."""
        await self._server.listen(host, port, wrap)

    def close(self) -> None:
        """Close the listener and all connections."""
        self._server.close()

    async def run(self) -> None:
        """Fetch newer versions until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._check_first_version(group))
            group.create_task(self._follow_peers(group))

    async def _check_first_version(self, group: asyncio.TaskGroup) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        check = VersionCheck()
        first_version: int | None = None
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            catalogue = self._configuration.catalogue
            version = None if catalogue is None else catalogue.version
            if first_version is None:
                first_version = version
            newest = self._peers.find_newest_configuration()
            registered = self._peers.registered_routers()
            state = check.update(
                version,
                None if newest is None else newest[0],
                registered=registered if self._are_routers_known() else None,
                interval_s=self._peers.report_interval_s,
                now_s=loop.time(),
            )
            if state.is_final:
                break
            if state is CheckState.FETCHING and newest is not None:
                # The time limit applies during a slow transfer too.
                self._start_fetch(group, *newest)
        self._configuration.in_use = True
        self._decisions.event(
            'configuration_checked',
            state=state.value,
            version=version,
            first_version=first_version,
            peer_version=None if newest is None else newest[0],
            registered=registered,
            took_s=round(loop.time() - started_s, 3),
        )

    async def _follow_peers(self, group: asyncio.TaskGroup) -> None:
        pending_version: int | None = None
        while True:
            await asyncio.sleep(FETCH_DELAY_S)
            newest = self._peers.find_newest_configuration()
            if newest is None or newest[0] <= self._version():
                pending_version = None
                continue
            version, address = newest
            if pending_version is not None:
                self._start_fetch(group, version, address)
            pending_version = version

    def _start_fetch(
        self, group: asyncio.TaskGroup, version: int, address: tuple[str, int]
    ) -> None:
        if self._fetching is None or self._fetching.done():
            self._fetching = group.create_task(
                self._fetch_newest(version, address)
            )

    async def _fetch_newest(
        self, version: int, address: tuple[str, int]
    ) -> None:
        tried: set[tuple[str, int]] = set()
        while await self._fetch(version, address) == _BUSY_STATUS:
            tried.add(address)
            newest = self._peers.find_newest_configuration(tried)
            if (
                len(tried) >= _MAX_SOURCES
                or newest is None
                or newest[0] <= self._version()
            ):
                return
            version, address = newest

    async def _fetch(
        self, version: int, address: tuple[str, int]
    ) -> int | None:
        # Returns the status of the source, if it has answered.
        status: int | None = None
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
                async with asyncio.timeout(_STALL_TIMEOUT_S):
                    head = await connection.read_head()
                status = head.status
                while True:
                    async with asyncio.timeout(_STALL_TIMEOUT_S):
                        part = await connection.read_part()
                    if not part:
                        break
                    parts.append(part)
                    if sum(map(len, parts)) > _MAX_COMPRESSED_BYTES:
                        raise ExchangeError(
                            ExchangeFailure.MALFORMED, 'answer too long'
                        )
            finally:
                connection.abort()
        except (ExchangeError, TimeoutError) as error:
            reason = str(error) or f'sent nothing for {_STALL_TIMEOUT_S} s'
        else:
            reason = self._apply_fetched(head.status, b''.join(parts), source)
            if reason is None:
                self._decisions.event(
                    'configuration_fetched',
                    routine=True,
                    version=version,
                    source=source,
                    received_bytes=sum(map(len, parts)),
                    took_s=round(loop.time() - started_s, 3),
                )
                return status
        self._decisions.event(
            'configuration_not_fetched',
            version=version,
            source=source,
            reason=reason,
            received_bytes=sum(map(len, parts)),
            took_s=round(loop.time() - started_s, 3),
        )
        return status

    def _apply_fetched(
        self, status: int, compressed: bytes, source: str
    ) -> str | None:
        # Returns the reason if the version cannot be used.
        if status != 200:
            return f'status {status}'
        try:
            data = zlib.decompressobj().decompress(compressed, _MAX_BYTES)
        except zlib.error as error:
            return str(error)
        self._configuration.apply_version(data, source=source)
        return None

    def _respond(self, path: bytes) -> InternalResponse:
        data = self._configuration.data
        if path != PATH or data is None:
            return 404, [], b''
        if data is not self._compressed_source:
            self._compressed_source = data
            self._compressed = zlib.compress(data, _COMPRESSION_LEVEL)
        if not self._may_start_transfer(len(self._compressed)):
            return _BUSY_STATUS, [], b''
        return 200, [], self._compressed

    def _may_start_transfer(self, size: int) -> bool:
        now_s = asyncio.get_running_loop().time()
        while (
            self._recent_transfers
            and now_s - self._recent_transfers[0][0] >= 1.0
        ):
            self._recent_transfers.popleft()
        recent = sum(known for _, known in self._recent_transfers)
        limit = _MAX_BYTES_PER_S
        if math.isfinite(self._link_bytes_per_s):
            limit = _LINK_SHARE * self._link_bytes_per_s
        if self._recent_transfers and recent + size > limit:
            return False
        self._recent_transfers.append((now_s, size))
        return True

    def _version(self) -> int:
        catalogue = self._configuration.catalogue
        return -1 if catalogue is None else catalogue.version
