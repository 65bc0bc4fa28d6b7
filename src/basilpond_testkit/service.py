"""Stand-in for an application service: parking spots and orders.

It does not recognise repeated requests; an audit counts the runs instead.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import pathlib
from typing import Annotated
from typing import Any
from typing import Literal

from absl import logging
from aiohttp import web
import defopt
import msgspec
import xxhash

from basilpond.settings import load_settings_or_exit

from . import _program


class ServiceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Model of the service.

    `name` starts the order numbers that it gives out.
    """

    name: Annotated[str, msgspec.Meta(pattern='^[a-z0-9-]+$')] = 'service'
    response_ms: _program.Milliseconds = 5
    kept_runs: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 100_000


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings file of the program."""

    http: _program.HttpSettings = msgspec.field(
        default_factory=_program.HttpSettings
    )
    service: ServiceSettings = msgspec.field(default_factory=ServiceSettings)


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``.

    Parameters
    ----------
    mode : str
        ``up`` ends all faults. ``crash`` closes all connections at once and
        refuses new ones for `down_ms`; ``crash_after_effect`` does so in the
        next call, between effect and answer. ``silent`` never answers again
        on the connections open now; ``silent_after_effect`` takes effect and
        does not answer. ``slow`` answers `delay_ms` after the effect.
        ``refuse`` answers 503, with X-Not-Started when `not_started`.
    for_ms : int, optional
        Without it the fault lasts until ``up``.
    """

    mode: Literal[
        'up',
        'crash',
        'crash_after_effect',
        'silent',
        'silent_after_effect',
        'slow',
        'refuse',
    ]
    for_ms: _program.Milliseconds | None = None
    down_ms: _program.Milliseconds = 1000
    delay_ms: _program.Milliseconds = 0
    not_started: bool = True


class RunRecord(msgspec.Struct):
    """One call that took effect; `time_ms` is the wall clock."""

    idempotency_key: str
    request_id: str
    call: str
    target: str
    body_digest: str
    time_ms: int
    status: int


class Service:
    """Spots and orders in memory, as an aiohttp application.

    Parameters
    ----------
    settings : ServiceSettings
    """

    def __init__(self, settings: ServiceSettings) -> None:
        self._settings = settings
        self._spots: dict[str, str] = {}
        self._orders: dict[str, Any] = {}
        self._runs: collections.deque[RunRecord] = collections.deque(
            maxlen=settings.kept_runs
        )
        self._look_ups = 0
        self._faults: dict[str, tuple[float, FaultOrder]] = {}
        self._silent: set[asyncio.Protocol] = set()
        self.server: _program.Server | None = None

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(middlewares=[self._apply_faults])
        app.router.add_post('/spots/{id}/claim', self._claim)
        app.router.add_post('/spots/{id}/release', self._release)
        app.router.add_get('/spots/{id}', self._get_spot)
        app.router.add_post('/bookings', self._book)
        app.router.add_get('/orders/{id}', self._get_order)
        app.router.add_get('/control/runs', self._get_runs)
        app.router.add_post('/control/faults', self._set_fault)
        return app

    def _fault(self, mode: str) -> FaultOrder | None:
        if mode not in self._faults:
            return None
        until_s, order = self._faults[mode]
        if asyncio.get_running_loop().time() >= until_s:
            del self._faults[mode]
            return None
        return order

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Callable
    ) -> web.StreamResponse:
        if request.protocol in self._silent:
            await _program.silence()
        if request.path.startswith('/control/'):
            return await handler(request)
        refuse = self._fault('refuse')
        if refuse is not None:
            response = _program.json_response({'error': 'refusing'}, 503)
            if refuse.not_started:
                response.headers['X-Not-Started'] = '1'
            return response
        response = await handler(request)
        crash = self._fault('crash_after_effect')
        if crash is not None:
            del self._faults['crash_after_effect']
            await self._crash(crash.down_ms)
        if self._fault('silent_after_effect') is not None:
            await _program.silence()
        slow = self._fault('slow')
        delay_ms = self._settings.response_ms
        if slow is not None:
            delay_ms += slow.delay_ms
        await asyncio.sleep(delay_ms / 1000)
        return response

    async def _record(
        self, request: web.Request, call: str, target: str, status: int
    ) -> None:
        self._runs.append(
            RunRecord(
                idempotency_key=request.headers.get('Idempotency-Key', ''),
                request_id=request.headers.get('X-Request-Id', ''),
                call=call,
                target=target,
                body_digest=body_digest(await request.read()),
                time_ms=_program.now_ms(),
                status=status,
            )
        )

    async def _claim(self, request: web.Request) -> web.Response:
        spot = request.match_info['id']
        tag = await _field(request, 'tag')
        holder = self._spots.setdefault(spot, tag)
        status = 200 if holder == tag else 409
        await self._record(request, 'claim', spot, status)
        return _program.json_response(
            {'spot': spot, 'state': 'claimed', 'tag': holder}, status
        )

    async def _release(self, request: web.Request) -> web.Response:
        spot = request.match_info['id']
        tag = await _field(request, 'tag')
        self._spots.pop(spot, None)
        await self._record(request, 'release', spot, 200)
        return _program.json_response(
            {'spot': spot, 'state': 'free', 'tag': tag}
        )

    async def _get_spot(self, request: web.Request) -> web.Response:
        spot = request.match_info['id']
        self._look_ups += 1
        tag = self._spots.get(spot)
        state = 'free' if tag is None else 'claimed'
        return _program.json_response(
            {'spot': spot, 'state': state, 'tag': tag}
        )

    async def _book(self, request: web.Request) -> web.Response:
        festival = await _field(request, 'festival')
        order = f'{self._settings.name}-{len(self._orders) + 1}'
        self._orders[order] = festival
        await self._record(request, 'booking', order, 201)
        return _program.json_response(
            {'order': order, 'festival': festival, 'state': 'booked'}, 201
        )

    async def _get_order(self, request: web.Request) -> web.Response:
        order = request.match_info['id']
        self._look_ups += 1
        state = 'booked' if order in self._orders else 'unknown'
        return _program.json_response({'order': order, 'state': state})

    async def _get_runs(self, request: web.Request) -> web.Response:
        return _program.json_response(
            {'look_ups': self._look_ups, 'runs': list(self._runs)}
        )

    async def _crash(self, down_ms: int) -> None:
        logging.info('crash: refusing connections for %d ms', down_ms)
        self._silent.clear()
        if self.server is not None:
            self.server.abort_connections()
            await self.server.refuse_connections(down_ms)

    async def _set_fault(self, request: web.Request) -> web.Response:
        order = await _program.decode_body(request, FaultOrder)
        loop = asyncio.get_running_loop()
        if order.mode == 'up':
            self._faults.clear()
            self._silent.clear()
        elif order.mode == 'crash':
            # Later, so that this response still leaves.
            loop.call_later(
                0.01, lambda: loop.create_task(self._crash(order.down_ms))
            )
        elif order.mode == 'silent' and self.server is not None:
            self._silent = set(self.server.connections()) - {request.protocol}
        else:
            duration_s = (
                float('inf') if order.for_ms is None else order.for_ms / 1000
            )
            self._faults[order.mode] = (loop.time() + duration_s, order)
        return _program.json_response({})


def body_digest(body: bytes) -> str:
    """Return the digest of a body, as in run records."""
    return xxhash.xxh3_128_hexdigest(body)


async def _field(request: web.Request, name: str) -> str:
    """Return a text field of the body, or respond 400."""
    body = await _program.decode_body(request, dict[str, Any])
    if not isinstance(body.get(name), str):
        raise web.HTTPBadRequest(text=f'{name} is missing or not text')
    return body[name]


def run(*, settings: pathlib.Path) -> None:
    """Run the stand-in for an application service.

    Parameters
    ----------
    settings : pathlib.Path
        TOML file.
    """
    values = load_settings_or_exit(settings, Settings)
    _program.start_logging()
    service = Service(values.service)
    service.server = _program.Server(service.app(), values.http)
    asyncio.run(_program.run_until_signal(service.server))


def main() -> None:
    """Entry point of ``basilpond-testkit-service``."""
    defopt.run(run)


if __name__ == '__main__':
    main()
