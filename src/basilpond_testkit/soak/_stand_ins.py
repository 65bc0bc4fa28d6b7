"""Log and endpoints of a soak, in its own process."""

from __future__ import annotations

import asyncio
from collections import deque
from contextvars import ContextVar
import time
from typing import Any

from basilpond.http1 import CallerRequest
from basilpond.http1 import Responder
from basilpond.http1 import find

from .. import platform_stand_in
from . import _checks
from ._evidence import Arrival
from ._evidence import Evidence
from ._evidence import Period

OPERATORS_TOPIC = 'keyed.op'
ENDPOINTS_TOPIC = 'keyed.servers'
# Limits of a cold endpoint, as in the deployment that has them.
COLD_S = 3.0
COLD_PER_S = 8.2
# Endpoints renew their entries this often, as the platform does.
_ENTRY_INTERVAL_S = 1.2
# Between an endpoint's last entry and its end, as `bounds.drain_ms`.
_DRAIN_S = 2.0
# Streams of misbehaving clients are as long as those of their tests, 3.2 MB.
_LONG_EVENT = b'id: %%d\ndata: %s\n\n' % (b'e' * 80_000)
_EVENT_GAP_S = 0.01
# Long enough for faults to find requests in progress.
_WORK_S = 0.05
_TICK_S = 0.02
# Iterations of the event loop between the arrival of bytes and the handler of
# their request: one reads them, one starts the handler, one is in progress.
_ITERATIONS = 3
_POLL_S = 0.05


class Ticks:
    """Recent times at which the event loop ran."""

    def __init__(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._times_s = deque([now_s] * _ITERATIONS, maxlen=_ITERATIONS)

    async def run(self) -> None:
        """Record times until cancelled."""
        while True:
            self._times_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(_TICK_S)

    def earliest_s(self) -> float:
        """Return when a request that is handled now arrived at the earliest.

        The event loop may have stood still, on a busy machine for seconds.
        """
        return self._times_s[0]


class SoakLog(platform_stand_in.LogStandIn):
    """Log that may also answer late."""

    delay_s = 0.0

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Answer a call."""
        await asyncio.sleep(self.delay_s)
        await super().handle(request, responder)

    async def wait_until_ok(self) -> None:
        """Wait as operators and endpoints do that have something to write."""
        while self.mode != 'ok':  # noqa: ASYNC110
            await asyncio.sleep(_POLL_S)


class SoakEndpoint(platform_stand_in.ServerStandIn):
    """Endpoint that records what reaches it."""

    def __init__(
        self,
        server_id: str,
        data_centre: str,
        log: SoakLog,
        ticks: Ticks,
        evidence: Evidence,
    ) -> None:
        service = server_id.partition('-')[0]
        super().__init__(server_id, service, events=_checks.EVENTS)
        self.event_gap_s = _EVENT_GAP_S
        self.work_s = _WORK_S
        self.break_after = _checks.EVENTS // 2
        self.data_centre = data_centre
        self._log = log
        self._ticks = ticks
        self._evidence = evidence
        self._cold = Period(server_id, 0.0, 0.0)
        # Of the request whose handler runs.
        self._request_id = ContextVar('request_id', default='')
        self._born_ms = 0
        self._sequence = 0
        self._renewal: asyncio.Task[None] | None = None

    async def come_up(self, *, cold: bool = True) -> None:
        """Listen, and write an entry; the port changes if it was taken."""
        now_s = asyncio.get_running_loop().time()
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        if cold:
            self._cold = Period(self.server_id, now_s, now_s + COLD_S)
            self._evidence.cold.append(self._cold)
        try:
            await self.start()
        except OSError:
            self.port = 0
            await self.start()
        self._renewal = asyncio.create_task(self._renew())

    def go_down(self) -> None:
        """End without notice."""
        if self._renewal is None:
            return
        self._renewal.cancel()
        self._renewal = None
        now_s = asyncio.get_running_loop().time()
        self._cold.until_s = min(self._cold.until_s, now_s)
        self.stop()

    async def leave(self) -> None:
        """End as announced."""
        await self._write_entry(state='draining')
        await asyncio.sleep(_DRAIN_S)
        self.go_down()
        await self._log.wait_until_ok()
        self._log.put(ENDPOINTS_TOPIC, self.server_id, None)

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Run or refuse a request."""
        request_id = find(request.headers, b'x-request-id') or b''
        self._request_id.set(request_id.decode('latin-1'))
        cold_ms = b'%d' % self._cold_left_ms()
        self.extra_fields = [(b'x-cold-ms', cold_ms)]
        # Bodies are not kept.
        self.requests.clear()
        self._evidence.arrivals.append(
            Arrival(
                self.server_id,
                self.data_centre,
                request.target.split(b'/')[1].decode('latin-1'),
                self._request_id.get(),
                int(find(request.headers, b'x-soak-attempt') or b'0'),
                self._ticks.earliest_s(),
                asyncio.get_running_loop().time(),
                is_run=self.mode not in ('shed', 'moved'),
                is_misdirected=self.mode == 'moved',
            )
        )
        await super().handle(request, responder)

    def _event(self, number: int) -> bytes:
        request_id = self._request_id.get()
        if request_id == _checks.CROWD_ID:
            return _LONG_EVENT % number
        return _checks.event(request_id, number)

    def _cold_left_ms(self) -> int:
        left_s = self._cold.until_s - asyncio.get_running_loop().time()
        return max(0, int(left_s * 1000))

    async def _renew(self) -> None:
        # The log lists an entry again only if more than its number changes.
        while await self._write_entry():  # noqa: ASYNC110
            await asyncio.sleep(_ENTRY_INTERVAL_S)

    async def _write_entry(self, **changes: Any) -> int:
        await self._log.wait_until_ok()
        self._sequence += 1
        entry = self.entry(
            zone=self.data_centre,
            born=self._born_ms,
            seq=self._sequence,
            cold_left_ms=self._cold_left_ms(),
            **changes,
        )
        self._log.put(ENDPOINTS_TOPIC, self.server_id, entry)
        return entry['cold_left_ms']
