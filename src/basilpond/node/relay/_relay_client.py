"""Connections to endpoints that are opened through other routers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from urllib.parse import quote

from ...http1 import ExchangeError
from ...http1 import ExchangeFailure
from ...routing.reach import RelayChoice
from ...routing.reach import RelayRouter
from .._decision_log import DecisionLog
from .._directory import CONNECT_TIMEOUT_S
from .._directory import EndpointEntry
from ._frames import PATH_PREFIX
from ._frames import PROTOCOL
from ._relayed_connection import RelayedConnection

# Routers that are tried for one connection.
_MAX_ROUTERS = 3
# Time for a router to connect to an endpoint and to answer.
_OPEN_TIMEOUT_S = CONNECT_TIMEOUT_S + 0.1
# Time in which all of them have to answer.
_TOTAL_TIMEOUT_S = 2 * _OPEN_TIMEOUT_S
_OPENED = 101
# The endpoint is not listed or leaves, refused the connection, or did not
# respond.
_ENDPOINT_STATUSES = (404, 502, 504)
_TIMED_OUT = 504


class RelayClient:
    """Opens connections to endpoints through routers that reach them.

    Parameters
    ----------
    routers : callable
        Returns the live routers that reach the endpoints.
    data_centre : str
        Of this router.
    decisions : DecisionLog
    rng : random.Random
    """

    def __init__(
        self,
        routers: Callable[[], list[RelayRouter]],
        data_centre: str,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._routers = routers
        self._data_centre = data_centre
        self._decisions = decisions
        self._rng = rng
        self._choice = RelayChoice()

    @property
    def has_routers(self) -> bool:
        """Whether there is a router to ask."""
        return bool(self._routers())

    async def connect(self, entry: EndpointEntry) -> RelayedConnection:
        """Open a connection to an endpoint.

        Raises
        ------
        ExchangeError
            `CONNECT` if routers report that the endpoint refuses or does not
            respond, `RELAY` if none relays. No request was sent.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _TOTAL_TIMEOUT_S
        tried: set[str] = set()
        failure: ExchangeError | None = None
        while len(tried) < _MAX_ROUTERS and loop.time() < until_s:
            router = self._choice.choose(
                self._routers(),
                self._data_centre,
                loop.time(),
                self._rng,
                excluded=tried,
            )
            if router is None:
                break
            tried.add(router.router_id)
            try:
                connection = await self._open(router, entry)
            except ExchangeError as error:
                if error.failure is ExchangeFailure.RELAY:
                    self._choice.record_failed(router.router_id, loop.time())
                if failure is None or error.failure is ExchangeFailure.CONNECT:
                    failure = error
                self._decisions.event(
                    'relay_failed',
                    routine=True,
                    endpoint=entry.endpoint.id,
                    router=router.router_id,
                    reason=error.detail,
                )
                continue
            return connection
        raise failure or ExchangeError(
            ExchangeFailure.RELAY, 'no router reaches the endpoints'
        )

    async def _open(
        self, router: RelayRouter, entry: EndpointEntry
    ) -> RelayedConnection:
        loop = asyncio.get_running_loop()
        connection: RelayedConnection | None = None
        try:
            async with asyncio.timeout(_OPEN_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    RelayedConnection, *router.address
                )
                connection.open(_request(entry.endpoint.id))
                status = await asyncio.shield(connection.opened)
        except (OSError, ValueError, OverflowError) as error:
            if connection is not None:
                connection.abort()
            raise ExchangeError(
                ExchangeFailure.RELAY,
                f'{router.router_id}: {error or "timed out"}',
            ) from error
        except asyncio.CancelledError:
            if connection is not None:
                connection.abort()
            raise
        if status == _OPENED:
            return connection
        connection.abort()
        by_endpoint = connection.is_relay and status in _ENDPOINT_STATUSES
        raise ExchangeError(
            ExchangeFailure.CONNECT if by_endpoint else ExchangeFailure.RELAY,
            f'status {status} of {router.router_id}',
            timed_out=status == _TIMED_OUT,
            relayed=True,
        )


def _request(endpoint_id: str) -> bytes:
    path = PATH_PREFIX + quote(endpoint_id, safe='').encode()
    return (
        b'GET %s HTTP/1.1\r\nHost: relay\r\nConnection: Upgrade\r\n'
        b'Upgrade: %s\r\n\r\n' % (path, PROTOCOL)
    )
