"""Connections to endpoints, direct or through another router."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from typing import NamedTuple

from ...http1 import ExchangeError
from ...http1 import ExchangeFailure
from ...http1 import Header
from ...http1 import PeerConnection
from ...routing.reach import SUSPECT_ENDPOINTS
from ...routing.reach import WINDOW_S
from ...routing.reach import EndpointPaths
from ...routing.reach import PathState
from .._decision_log import DecisionLog
from .._directory import EndpointDirectory
from .._directory import EndpointEntry
from ._relay_client import RelayClient
from ._relayed_connection import RelayedConnection

# Interval in which requests in progress are checked, and in which an endpoint
# is tried while the router is cut off.
_CHECK_INTERVAL_S = 0.25
# Time for which no byte of a request is acknowledged before endpoints are
# tried: the kernel sends lost data again after 0.2 s.
_STALLED_S = 0.5
# Time after which other endpoints are tried beside a connection that does not
# open: round trips take milliseconds.
_SLOW_CONNECT_S = 0.15
# Lag of the event loop from which on such times say nothing.
_MAX_LAG_S = 0.05
# Time for which a connection that is tried has to stay open: what resets it at
# once may be on the way.
_HELD_S = 0.05
# Endpoints that are tried at a time, and the shortest time between.
_TRIED_ENDPOINTS = 3
_TRY_INTERVAL_S = 0.5
# Time for which no further connections are asked of other routers after none
# of them relayed one.
_NO_RELAY_S = 0.25


class _Exchange(NamedTuple):
    entry: EndpointEntry
    sent_s: float
    # Whether the request may be sent again.
    retriable: bool


class EndpointConnections:
    """Opens connections to endpoints and watches whether they can be reached.

    Parameters
    ----------
    directory : EndpointDirectory
    client : RelayClient
    decisions : DecisionLog
    rng : random.Random
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        client: RelayClient,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._client = client
        self._decisions = decisions
        self._rng = rng
        self._paths = EndpointPaths()
        self._suspected_s = 0.0
        self._tried_s = float('-inf')
        self._no_relay_until_s = float('-inf')
        # Time of the last failure of an idle connection, by endpoint.
        self._idle_failed_s: dict[str, float] = {}
        self._tries: set[asyncio.Task[bool]] = set()
        self._exchanges: dict[PeerConnection, _Exchange] = {}
        # Bytes that waited at the last check, by connection.
        self._unsent_bytes: dict[PeerConnection, int] = {}
        # Returns whether the router's own link delays connections.
        self.is_link_full: Callable[[], bool] = lambda: False
        # Called when it is proved that the router is cut off, with the time
        # since which failures may have been its own.
        self.on_isolated: Callable[[float], None] = lambda since_s: None

    @property
    def state(self) -> PathState:
        """How connections to endpoints are opened."""
        return self._paths.state

    @property
    def relayed(self) -> int:
        """Number of requests in progress that another router relays."""
        return sum(isinstance(c, RelayedConnection) for c in self._exchanges)

    def reaches(self, entry: EndpointEntry) -> bool:
        """Whether this router itself may connect to an endpoint."""
        return not self._paths.needs_relay(entry.endpoint.id)

    # Connections.

    def take_idle(
        self, entry: EndpointEntry, echo: Header
    ) -> PeerConnection | None:
        """Return an idle connection, see `ConnectionPool.take_idle`.

        Direct ones are not used while the router is cut off: what is sent on
        them may be lost.
        """
        pool = entry.pool if self.reaches(entry) else entry.relayed_pool
        return pool.take_idle(echo=echo)

    async def connect(self, entry: EndpointEntry) -> PeerConnection:
        """Open a connection.

        Raises
        ------
        ExchangeError
            No request was sent; `RELAY` says nothing about the endpoint.
        """
        was_relayed = self._may_relay(entry)
        if was_relayed:
            try:
                return await self._connect_relayed(entry)
            except ExchangeError as error:
                # Unless it is proved, the router may not be cut off.
                if (
                    error.failure is not ExchangeFailure.RELAY
                    or self.state is PathState.ISOLATED
                ):
                    raise
        loop = asyncio.get_running_loop()
        due_s = loop.time() + _SLOW_CONNECT_S
        timer = loop.call_at(due_s, self._check_slow, entry, due_s)
        try:
            connection = await entry.pool.connect()
        except ExchangeError as error:
            self.record_failed(entry, timed_out=error.timed_out)
            if was_relayed or not self._may_relay(entry):
                raise
        else:
            return connection
        finally:
            timer.cancel()
        return await self._connect_relayed(entry)

    def release(
        self, entry: EndpointEntry, connection: PeerConnection
    ) -> None:
        """Return a connection after an exchange."""
        self._exchanges.pop(connection, None)
        self._unsent_bytes.pop(connection, None)
        if isinstance(connection, RelayedConnection):
            entry.relayed_pool.release(connection)
        else:
            connection.on_idle_failure = lambda: self._record_idle_failure(
                entry
            )
            entry.pool.release(connection)

    def record_sent(
        self,
        entry: EndpointEntry,
        connection: PeerConnection,
        *,
        retriable: bool,
    ) -> None:
        """Record that a request is sent on a connection."""
        now_s = asyncio.get_running_loop().time()
        self._exchanges[connection] = _Exchange(entry, now_s, retriable)

    def record_outcome(
        self,
        entry: EndpointEntry,
        connection: PeerConnection,
        *,
        broken: bool,
        timed_out: bool,
    ) -> None:
        """Record how a request ended that was sent on a connection."""
        if isinstance(connection, RelayedConnection):
            return
        if broken and not connection.has_head:
            self.record_failed(entry, timed_out=timed_out, connected=True)
        elif not broken and connection.has_head:
            self._paths.record_response()

    def _record_idle_failure(self, entry: EndpointEntry) -> None:
        # Of one endpoint: it may have ended. A cut that resets connections
        # shows at several, also without requests.
        now_s = asyncio.get_running_loop().time()
        self._idle_failed_s[entry.endpoint.id] = now_s
        for other, failed_s in list(self._idle_failed_s.items()):
            if now_s - failed_s >= WINDOW_S:
                del self._idle_failed_s[other]
        if len(self._idle_failed_s) >= SUSPECT_ENDPOINTS:
            self._check(entry, 'idle connections fail')

    def _may_relay(self, entry: EndpointEntry) -> bool:
        now_s = asyncio.get_running_loop().time()
        return (
            not self.reaches(entry)
            and self._client.has_routers
            and now_s >= self._no_relay_until_s
        )

    async def _connect_relayed(
        self, entry: EndpointEntry
    ) -> RelayedConnection:
        try:
            connection = await self._client.connect(entry)
        except ExchangeError as error:
            if error.failure is ExchangeFailure.RELAY:
                now_s = asyncio.get_running_loop().time()
                self._no_relay_until_s = now_s + _NO_RELAY_S
            raise
        if self._paths.record_relayed(entry.endpoint.id):
            self._isolate(entry)
        return connection

    # Results of direct connections, also of those opened for other routers.

    def record_connected(self, entry: EndpointEntry) -> None:
        """Record a direct connection that has stayed open."""
        if self._paths.record_connected(entry.endpoint.id):
            now_s = asyncio.get_running_loop().time()
            self._decisions.event(
                'endpoints_reached',
                endpoint=entry.endpoint.id,
                for_s=round(now_s - self._suspected_s, 3),
            )
            for other in self._directory:
                other.relayed_pool.close()

    def record_failed(
        self, entry: EndpointEntry, *, timed_out: bool, connected: bool = False
    ) -> None:
        """Record that a direct connection failed.

        Parameters
        ----------
        entry : EndpointEntry
        timed_out : bool
        connected : bool
            Whether it had opened, and broke without a response to a request.
        """
        if timed_out and self.is_link_full():
            return
        now_s = asyncio.get_running_loop().time()
        if not self._paths.record_failed(
            entry.endpoint.id,
            now_s,
            listed=len(self._directory),
            connected=connected,
        ):
            return
        self._suspected_s = now_s
        self._decisions.event(
            'endpoints_not_reached',
            endpoint=entry.endpoint.id,
            timed_out=timed_out,
            connected=connected,
        )
        self._try_some(entry, 'suspected', now_s)

    def _isolate(self, entry: EndpointEntry) -> None:
        self._decisions.event(
            'router_isolated',
            endpoint=entry.endpoint.id,
            requests=len(self._exchanges),
        )
        for other in self._directory:
            other.load.forget_failures()
        for connection, exchange in list(self._exchanges.items()):
            if exchange.retriable and self._is_stuck(connection):
                connection.cancel('router reaches no endpoint')
        self.on_isolated(self._suspected_s - WINDOW_S)

    # Watching.

    async def run(self) -> None:
        """Watch requests in progress, and try endpoints while cut off."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if self.state is PathState.DIRECT:
                self._check_stalled()
            else:
                await self._try_next()

    async def reaches_another(self, entry: EndpointEntry) -> bool:
        """Connect to other endpoints, to see whether this one alone fails."""
        others = self._others(entry)
        if not others:
            return True
        count = min(len(others), _TRIED_ENDPOINTS - 1)
        results = await asyncio.gather(
            *(self._try(other) for other in self._rng.sample(others, count))
        )
        return any(results)

    def _check_stalled(self) -> None:
        now_s = asyncio.get_running_loop().time()
        unsent_bytes: dict[PeerConnection, int] = {}
        for connection, exchange in self._exchanges.items():
            if now_s - exchange.sent_s < _STALLED_S or not self._is_stuck(
                connection
            ):
                continue
            unsent_bytes[connection] = connection.unsent_bytes
            before_bytes = self._unsent_bytes.get(connection)
            if before_bytes == unsent_bytes[connection]:
                self._check(exchange.entry, 'request not acknowledged')
        self._unsent_bytes = unsent_bytes

    def _is_stuck(self, connection: PeerConnection) -> bool:
        # The kernel of a sound endpoint acknowledges what it receives, also
        # while its process stands still.
        return (
            not isinstance(connection, RelayedConnection)
            and not connection.has_head
            and connection.unsent_bytes > 0
        )

    def _check_slow(self, entry: EndpointEntry, due_s: float) -> None:
        if asyncio.get_running_loop().time() - due_s < _MAX_LAG_S:
            self._check(entry, 'connection does not open')

    def _check(self, entry: EndpointEntry, reason: str) -> None:
        now_s = asyncio.get_running_loop().time()
        if (
            self.state is PathState.DIRECT
            and now_s - self._tried_s >= _TRY_INTERVAL_S
            and not self.is_link_full()
        ):
            self._try_some(entry, reason, now_s)

    def _try_some(
        self, entry: EndpointEntry, reason: str, now_s: float
    ) -> None:
        self._tried_s = now_s
        others = self._others(entry)
        count = min(len(others), _TRIED_ENDPOINTS - 1)
        tried = [entry, *self._rng.sample(others, count)]
        self._decisions.event(
            'endpoints_tried',
            routine=True,
            endpoints=[other.endpoint.id for other in tried],
            reason=reason,
        )
        for other in tried:
            task = asyncio.create_task(self._try(other))
            self._tries.add(task)
            task.add_done_callback(self._tries.discard)

    async def _try_next(self) -> None:
        listed = {
            entry.endpoint.id: entry
            for entry in self._directory
            if not entry.endpoint.leaving
        }
        endpoint_id = self._paths.next_probe(listed)
        if endpoint_id is not None:
            await self._try(listed[endpoint_id])

    async def _try(self, entry: EndpointEntry) -> bool:
        try:
            connection = await entry.pool.connect()
        except ExchangeError as error:
            self.record_failed(entry, timed_out=error.timed_out)
            return False
        await asyncio.sleep(_HELD_S)
        if not connection.is_usable():
            connection.close()
            self.record_failed(entry, timed_out=False)
            return False
        entry.pool.add_idle(connection)
        self.record_connected(entry)
        return True

    def _others(self, entry: EndpointEntry) -> list[EndpointEntry]:
        return [
            other
            for other in self._directory
            if other is not entry and not other.endpoint.leaving
        ]
