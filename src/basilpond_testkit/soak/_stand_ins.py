"""Log and endpoints of a soak, in its own process."""

from __future__ import annotations

import asyncio
from collections import deque
import time
from typing import Any

from basilpond.http1 import CallerRequest
from basilpond.http1 import Responder
from basilpond.http1 import find

from .. import platform_stand_in
from . import _checks
from ._evidence import Arrival
from ._evidence import ColdTime
from ._evidence import Evidence

CONFIGURATION_TOPIC = 'keyed.op'
ENDPOINTS_TOPIC = 'keyed.servers'
# Limits of a cold endpoint, as in the deployment that has them.
COLD_S = 3.0
COLD_PER_S = 8.2
# Endpoints renew their entries this often, as the platform does.
_ENTRY_INTERVAL_S = 1.2
# Interval between an endpoint's last entry and its end, as `bounds.drain_ms`.
DRAIN_S = 2.0
# Streams of misbehaving clients are as long as those of their tests.
_LONG_EVENTS = 400
_LONG_EVENT_BYTES = 8000
_LONG_EVENT_GAP_S = 0.01
_EVENT_GAP_S = 0.02
# Shorter than the time limit of requests, longer than any objective.
_SLOW_S = 1.0
_TICK_S = 0.02
# Iterations of the event loop between the arrival of bytes and the handler of
# their request: one reads them, one starts the handler, one is in progress.
_ITERATIONS = 3
_PORT_TRIES = 20
_PORT_INTERVAL_S = 0.1


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

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = 0.0

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Answer a call."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await super().handle(request, responder)

    async def write(self, topic: str, key: str, value: Any) -> None:
        """Write as an operator or endpoint does; wait while it is away."""
        while self.mode != 'ok':  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        self.put(topic, key, value)


class SoakEndpoint(platform_stand_in.ServerStandIn):
    """Endpoint that records what reaches it.

    `mode` is `ok`, `hang`, `slow`, `reset` (after it ran the request), `shed`
    (refuses unread) or `moved` (421).
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        data_centre: str,
        log: SoakLog,
        ticks: Ticks,
        evidence: Evidence,
    ) -> None:
        super().__init__(server_id, service)
        self.data_centre = data_centre
        self.is_listening = False
        self._log = log
        self._ticks = ticks
        self._evidence = evidence
        self._cold_until_s = 0.0
        self._cold_time: ColdTime | None = None
        self._born_ms = 0
        self._sequence = 0
        self._renewal: asyncio.Task[None] | None = None

    async def come_up(self, *, cold: bool) -> None:
        """Listen, and write an entry; the port changes if it was taken."""
        now_s = asyncio.get_running_loop().time()
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        if cold:
            self._cold_until_s = now_s + COLD_S
            self._cold_time = ColdTime(
                self.server_id, now_s, self._cold_until_s
            )
            self._evidence.cold_times.append(self._cold_time)
        for _ in range(_PORT_TRIES):
            try:
                await self.start()
                break
            except OSError:
                await asyncio.sleep(_PORT_INTERVAL_S)
        else:
            self.port = 0
            await self.start()
        self.is_listening = True
        self._renewal = asyncio.create_task(self._renew())

    def go_down(self) -> None:
        """End without notice."""
        if not self.is_listening:
            return
        self.is_listening = False
        if self._cold_time is not None:
            now_s = asyncio.get_running_loop().time()
            self._cold_time.until_s = min(self._cold_time.until_s, now_s)
        if self._renewal is not None:
            self._renewal.cancel()
        self.stop()

    async def leave(self) -> None:
        """End as announced."""
        await self._write_entry(state='draining')
        await asyncio.sleep(DRAIN_S)
        self.go_down()
        await self._log.write(ENDPOINTS_TOPIC, self.server_id, None)

    async def handle(
        self, request: CallerRequest, responder: Responder
    ) -> None:
        """Run or refuse a request."""
        mode = self.mode
        request_id = find(request.headers, b'x-request-id') or b''
        self._evidence.arrivals.append(
            Arrival(
                endpoint=self.server_id,
                data_centre=self.data_centre,
                kind=request.target.split(b'/')[1].decode('latin-1'),
                request_id=request_id.decode('latin-1'),
                attempt=int(find(request.headers, b'x-soak-attempt') or b'0'),
                earliest_s=self._ticks.earliest_s(),
                at_s=asyncio.get_running_loop().time(),
                is_run=mode not in ('shed', 'moved'),
                is_misdirected=mode == 'moved',
            )
        )
        fields = [(b'x-request-id', request_id), *self._cold_fields()]
        if mode == 'shed':
            responder.respond(503, [*fields, (b'x-not-executed', b'1')])
        elif mode == 'moved':
            responder.respond(421, [*fields, (b'x-instance-id', b'other')])
        else:
            await self._run(request, responder)

    async def _run(self, request: CallerRequest, responder: Responder) -> None:
        mode = self.mode
        if mode == 'hang':
            await asyncio.sleep(3600)
        if mode == 'slow':
            await asyncio.sleep(_SLOW_S)
        request_id = (find(request.headers, b'x-request-id') or b'').decode(
            'latin-1'
        )
        fields = [
            (b'x-request-id', request_id.encode('latin-1')),
            (b'x-response-stamp', b'stamp'),
            *self._cold_fields(),
        ]
        if find(request.headers, b'x-token-count') is not None:
            await self._stream(request, responder, fields)
            return
        body = _checks.answer('', request_id)
        if mode != 'reset':
            responder.respond(200, fields, body)
            return
        # Some are cut before their head and some within their body.
        if len(self._evidence.arrivals) % 2:
            responder.start_stream(200, fields)
            responder.send(body[:4])
            await asyncio.sleep(0)
        responder.abort()

    async def _stream(
        self,
        request: CallerRequest,
        responder: Responder,
        fields: list[tuple[bytes, bytes]],
    ) -> None:
        request_id = (find(request.headers, b'x-request-id') or b'').decode(
            'latin-1'
        )
        first = int(find(request.headers, b'last-event-id') or b'0') + 1
        fields.append((b'content-type', b'text/event-stream'))
        responder.start_stream(200, fields)
        if request_id == _checks.CROWD_ID:
            for i in range(first, _LONG_EVENTS + 1):
                data = b'e' * _LONG_EVENT_BYTES
                responder.send(b'id: %d\ndata: %s\n\n' % (i, data))
                await asyncio.sleep(_LONG_EVENT_GAP_S)
            responder.end_stream()
            return
        for i in range(first, _checks.EVENTS + 1):
            data = _checks.event(request_id, i)
            if self.mode == 'reset' and i > first:
                responder.send(data[: len(data) // 2])
                await asyncio.sleep(_EVENT_GAP_S)
                responder.abort()
                return
            responder.send(data)
            await asyncio.sleep(_EVENT_GAP_S)
        responder.end_stream()

    def _cold_left_ms(self) -> int:
        left_s = self._cold_until_s - asyncio.get_running_loop().time()
        return max(0, int(left_s * 1000))

    def _cold_fields(self) -> list[tuple[bytes, bytes]]:
        left_ms = self._cold_left_ms()
        return [(b'x-cold-ms', b'%d' % left_ms)] if left_ms else []

    async def _renew(self) -> None:
        # The log lists an entry again only if more than its number changes.
        while True:
            cold_left_ms = self._cold_left_ms()
            await self._write_entry()
            if not cold_left_ms:
                return
            await asyncio.sleep(_ENTRY_INTERVAL_S)

    async def _write_entry(self, state: str = 'ready') -> None:
        self._sequence += 1
        entry = self.entry(
            zone=self.data_centre,
            state=state,
            born=self._born_ms,
            seq=self._sequence,
            cold_left_ms=self._cold_left_ms(),
        )
        await self._log.write(ENDPOINTS_TOPIC, self.server_id, entry)
