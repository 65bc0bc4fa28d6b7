"""Waiting of requests for endpoints that asked for quiet, or are cold."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math
import random

from ..routing import ClosedEndpoints
from ..routing import ColdEndpoints
from ..routing import QuietEndpoints
from ..routing import ReturnQueue
from ..routing import WaitingRequest
from ..routing import event_gap_timeout_s
from ..routing import return_retry_s
from ._cold_endpoints import ColdEndpointWatch
from ._decision_log import DecisionLog
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._request_context import RefusedError
from ._request_context import RequestContext

# Interval in which a waiting request looks for endpoints that were added.
_MAX_POLL_S = 0.1
_MIN_POLL_S = 0.001


class _ServiceQueue:
    """Requests that wait for one service, and how to wake them."""

    __slots__ = ('changed', 'requests')

    def __init__(self) -> None:
        self.requests = ReturnQueue()
        self.changed = asyncio.Event()

    def wake_up(self) -> None:
        """Let all requests check whether they may be sent."""
        self.changed.set()
        self.changed = asyncio.Event()


class EndpointReturns:
    """Selects endpoints that are not closed, and waits for them.

    Closed ones ask for quiet, or are cold and have no room for a request.

    Parameters
    ----------
    quiet : QuietEndpoints
    directory : EndpointDirectory
    decisions : DecisionLog
    live_routers : callable
        Returns the number of live routers, this one included.
    rng : random.Random
    cold : ColdEndpointWatch or None
    """

    def __init__(
        self,
        quiet: QuietEndpoints,
        directory: EndpointDirectory,
        decisions: DecisionLog,
        live_routers: Callable[[], int],
        rng: random.Random,
        cold: ColdEndpointWatch | None = None,
    ) -> None:
        self._closed = ClosedEndpoints(
            quiet, ColdEndpoints('') if cold is None else cold.state
        )
        self._directory = directory
        self._decisions = decisions
        self._live_routers = live_routers
        self._rng = rng
        # By service and by the software version that requests need.
        self._queues: dict[tuple[str, str | None], _ServiceQueue] = {}

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(len(queue.requests) for queue in self._queues.values())

    def waiting_for(self, service: str) -> int:
        """Return the number of new requests to a service that wait."""
        queue = self._queues.get((service, None))
        return 0 if queue is None else len(queue.requests)

    def candidates(self, context: RequestContext) -> list[EndpointEntry]:
        """Return the endpoints that a request may be sent to, quiet or not."""
        return [
            entry
            for entry in self._directory.candidates(context.service)
            if context.admits(entry.endpoint)
        ]

    def open_entries(self, context: RequestContext) -> list[EndpointEntry]:
        """Return the endpoints that may get a request now."""
        entries = self.candidates(context)
        if self._closed.is_empty:
            return entries
        now_s = asyncio.get_running_loop().time()
        return [
            entry
            for entry in entries
            if self._closed.is_open(entry.incarnation_number, now_s)
        ]

    def is_open(self, entry: EndpointEntry) -> bool:
        """Whether an endpoint may get a request now."""
        now_s = asyncio.get_running_loop().time()
        return self._closed.is_open(entry.incarnation_number, now_s)

    def wake_up(self, service: str) -> None:
        """Check whether requests to a service may be sent."""
        for (name, _), queue in self._queues.items():
            if name == service:
                queue.wake_up()

    def can_send(self, context: RequestContext) -> bool:
        """Whether an endpoint accepts a request while it can wait."""
        entries = self.candidates(context)
        return bool(self._returning(entries, _latest_s(context)))

    def check(self, context: RequestContext) -> None:
        """Check that a request can be sent in time.

        Raises
        ------
        RefusedError
            All endpoints are quiet for longer than it can wait.
        """
        entries = self.candidates(context)
        if entries and not self.can_send(context):
            raise self._refusal(context, entries)

    def retry_s(self, context: RequestContext) -> float | None:
        """Return the retry time of a request if all endpoints are quiet."""
        entries = self.candidates(context)
        now_s = asyncio.get_running_loop().time()
        if not entries or self._returning(entries, now_s):
            return None
        return self._retry_s(context, entries)

    async def wait(self, context: RequestContext) -> list[EndpointEntry]:
        """Return the endpoints that may get a request, after a wait for one.

        Requests are sent in the order of their priority and of the time that
        they have left.

        Returns
        -------
        list of EndpointEntry
            Empty if the service has no endpoints.

        Raises
        ------
        RefusedError
            No endpoint returns in time, or more urgent requests wait.
        """
        entries = self.open_entries(context)
        key = context.service, context.stream_version
        if key not in self._queues and (
            entries or not self.candidates(context)
        ):
            return entries
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        queue = self._queues.setdefault(key, _ServiceQueue())
        request: WaitingRequest | None = None
        try:
            latest_s = _latest_s(context)
            request = queue.requests.add(
                context.effective_priority,
                latest_s=latest_s,
                capacity=self._capacity(context, latest_s),
            )
            entries = await self._wait_in(queue, request, context)
        finally:
            if request is not None:
                queue.requests.remove(request)
            queue.wake_up()
            if not queue.requests:
                self._queues.pop(key, None)
        self._decisions.event(
            'quiet_waited',
            routine=True,
            request=context.metadata.request_id,
            service=context.service,
            waited_s=round(loop.time() - started_s, 4),
        )
        return entries

    async def _wait_in(
        self,
        queue: _ServiceQueue,
        request: WaitingRequest | None,
        context: RequestContext,
    ) -> list[EndpointEntry]:
        loop = asyncio.get_running_loop()
        while entries := self.candidates(context):
            if request is None or request.displaced:
                raise self._refusal(context, entries)
            now_s = loop.time()
            open_entries = self.open_entries(context)
            if open_entries and queue.requests.is_first(request):
                return open_entries
            returning = self._returning(entries, request.latest_s)
            if not returning or now_s >= request.latest_s:
                raise self._refusal(context, entries)
            changed = queue.changed
            wait_s = min(
                self._first_return_s(returning) or _MAX_POLL_S,
                request.latest_s - now_s,
                _MAX_POLL_S,
            )
            try:
                async with asyncio.timeout(max(_MIN_POLL_S, wait_s)):
                    await changed.wait()
            except TimeoutError:
                pass
        return []

    def _returning(
        self, entries: list[EndpointEntry], latest_s: float
    ) -> list[EndpointEntry]:
        # Endpoints whose quiet time ends early enough.
        now_s = asyncio.get_running_loop().time()
        return [
            entry
            for entry in entries
            if now_s + self._closed.wait_s(entry.incarnation_number, now_s)
            <= max(now_s, latest_s)
        ]

    def _first_return_s(self, entries: list[EndpointEntry]) -> float:
        now_s = asyncio.get_running_loop().time()
        return min(
            self._closed.wait_s(entry.incarnation_number, now_s)
            for entry in entries
        )

    def _capacity(self, context: RequestContext, latest_s: float) -> int:
        # This router's part of the requests that the endpoints process
        # concurrently.
        now_s = asyncio.get_running_loop().time()
        slots = cold_sends = 0
        for entry in self._returning(self.candidates(context), latest_s):
            sends = self._closed.sends_until(
                entry.incarnation_number, latest_s, now_s
            )
            if sends is None:
                slots += entry.endpoint.slots
            else:
                cold_sends += sends
        return cold_sends + math.ceil(slots / self._live_routers())

    def _retry_s(
        self, context: RequestContext, entries: list[EndpointEntry]
    ) -> float:
        now_s = asyncio.get_running_loop().time()
        first = min(
            entries,
            key=lambda entry: self._closed.retry_s(
                entry.incarnation_number, now_s
            ),
        ).incarnation_number
        return return_retry_s(
            self._closed.retry_s(first, now_s),
            self._closed.quiet_s(first),
            context.deadline_s - now_s,
            self._rng.random(),
        )

    def _refusal(
        self, context: RequestContext, entries: list[EndpointEntry]
    ) -> RefusedError:
        queue = self._queues.get((context.service, context.stream_version))
        now_s = asyncio.get_running_loop().time()
        numbers = [entry.incarnation_number for entry in entries]
        first_return_s = self._first_return_s(entries)
        return RefusedError(
            503,
            self._closed.reason(numbers, now_s),
            self._retry_s(context, entries),
            service=context.service,
            endpoints=len(entries),
            # None: this router may send nothing to the cold ones.
            first_return_s=round(first_return_s, 3)
            if math.isfinite(first_return_s)
            else None,
            waiting=len(queue.requests) if queue else 0,
        )


def _latest_s(context: RequestContext) -> float:
    """Return the time until which a request may wait for an endpoint."""
    if context.responder.started:
        # The rest of a stream; its caller leaves after a longer gap.
        due_s = context.last_part_s + event_gap_timeout_s(context.route)
    else:
        due_s = context.started_s + context.route.objective_s
    return min(due_s, context.wait_until_s)
