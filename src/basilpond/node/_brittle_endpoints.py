"""Sends to endpoints that bound the requests that they may reject."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Iterable

from ..routing import BrittleEndpoints
from ..routing import EndpointRoom
from ._decision_log import DecisionLog
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._peers import PeerTask

# Shortest wait while endpoints are brittle: each has turns of its own, and a
# request that checks all of them at each turn of any costs too much.
_MIN_POLL_S = 0.02


class BrittleEndpointWatch:
    """Records what brittle endpoints say, and lets requests wait for room.

    Parameters
    ----------
    peers : PeerTask
    directory : EndpointDirectory
    decisions : DecisionLog
    """

    __slots__ = ('_decisions', '_directory', '_peers', '_waiters', 'state')

    def __init__(
        self,
        peers: PeerTask,
        directory: EndpointDirectory,
        decisions: DecisionLog,
    ) -> None:
        self.state: BrittleEndpoints = peers.brittle
        self._peers = peers
        self._directory = directory
        self._decisions = decisions
        # Requests that wait for the end of another one, by service.
        self._waiters: dict[str, collections.deque[asyncio.Future[None]]] = (
            collections.defaultdict(collections.deque)
        )

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint has named a bound lately."""
        return self.state.is_empty

    def record_response(
        self,
        entry: EndpointEntry,
        survived: int | None,
        rejected: bool,  # noqa: FBT001
        sent_s: float,
    ) -> None:
        """Record the bound that a response names, and a rejection."""
        if survived is None and self.state.is_empty:
            return
        now_s = _now_s()
        incarnation = entry.incarnation_number
        before = self.state.bound(incarnation)
        self.state.record_response(
            incarnation, survived, sent_s=sent_s, now_s=now_s
        )
        after = self.state.bound(incarnation)
        if after != before:
            self._decisions.event(
                'endpoint_brittle',
                endpoint=entry.endpoint.id,
                service=entry.endpoint.service,
                survived_rejections=after,
                before=before,
                slots=entry.endpoint.slots,
                routers=self._peers.live_routers(),
            )
        if rejected and after is not None:
            # The rejected request still counts as running.
            own = len(entry.load.in_flight) - 1
            self.state.record_rejection(incarnation, own, now_s)
            self._decisions.event(
                'brittle_endpoint_rejected',
                endpoint=entry.endpoint.id,
                own=own,
                running=entry.load.running - 1,
                slots=entry.endpoint.slots,
                survived_rejections=after,
                recent=self.state.recent_rejections(incarnation, now_s),
            )
        if self.state.has_news:
            self._peers.announce_news()

    def wait_s(self, entry: EndpointEntry, now_s: float) -> float:
        """Return the time until a request may be sent to an endpoint."""
        if self.state.is_empty:
            return 0.0
        return self.state.wait_s(
            entry.incarnation_number, self._room(entry), now_s
        )

    def record_asked(
        self, entries: Iterable[EndpointEntry], now_s: float
    ) -> None:
        """Record that a request could be sent to one of some endpoints."""
        if self.state.is_empty:
            return
        for entry in entries:
            self.state.record_asked(
                entry.incarnation_number, self._room(entry), now_s
            )

    def record_sent(self, entry: EndpointEntry, now_s: float) -> None:
        """Record a request that is sent now."""
        if not self.state.is_empty:
            self.state.record_sent(
                entry.incarnation_number, self._room(entry), now_s
            )

    def record_end(self, entry: EndpointEntry, run_s: float | None) -> None:
        """Record that a request of this router has ended.

        Parameters
        ----------
        entry : EndpointEntry
        run_s : float or None
            How long it took; None if it did not run to its end.
        """
        if self.state.is_empty:
            return
        self.state.record_end(entry.incarnation_number, run_s, _now_s())
        waiters = self._waiters.get(entry.endpoint.service)
        while waiters:
            waiter = waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    async def wait(self, service: str, wait_s: float) -> None:
        """Wait for a time, or until a request to the service has ended."""
        if not self.state.is_empty:
            wait_s = max(_MIN_POLL_S, wait_s)
            self.state.record_waited(_now_s())
        waiters = self._waiters[service]
        waiter = asyncio.get_running_loop().create_future()
        waiters.append(waiter)
        try:
            async with asyncio.timeout(wait_s):
                await waiter
        except TimeoutError:
            pass
        finally:
            if waiter in waiters:
                waiters.remove(waiter)
            if not waiters:
                self._waiters.pop(service, None)

    def count(self) -> int:
        """Return the number of listed endpoints that are brittle."""
        return sum(
            self.state.bound(entry.incarnation_number) is not None
            for entry in self._directory
        )

    def _room(self, entry: EndpointEntry) -> EndpointRoom:
        return EndpointRoom(
            slots=entry.endpoint.slots,
            own=len(entry.load.in_flight),
            running=entry.load.running,
            report_interval_s=self._peers.report_interval_s,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
