"""Newer configurations from other routers, while the store is away."""

from __future__ import annotations

import asyncio

from ..http1 import ConnectionPool
from ..http1 import ExchangeError
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
_FETCH_TIMEOUT_S = 1.0


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
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                connection = await pool.connect()
                try:
                    connection.begin(
                        b'GET %s HTTP/1.1\r\nHost: %s\r\n\r\n'
                        % (PATH, source.encode())
                    )
                    head = await connection.read_head()
                    data = await connection.read_body()
                finally:
                    connection.abort()
        except (ExchangeError, TimeoutError) as error:
            self._decisions.event(
                'configuration_not_fetched',
                version=version,
                source=source,
                reason=str(error) or 'timed out',
            )
            return
        if head.status == 200:
            self._configuration.offer(data, source=source)

    def _answer(self, path: bytes) -> Answer:
        data = self._configuration.data
        if path != PATH or data is None:
            return 404, [], b''
        return 200, [], data

    def _version(self) -> int:
        catalogue = self._configuration.catalogue
        return -1 if catalogue is None else catalogue.version
