"""Ordinary callers of a soak, and crowds of misbehaving clients."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import random
import socket

import aiohttp

from .. import misbehaving_clients
from ..platform_configuration import PROMPT
from . import _checks
from . import _routers
from ._evidence import Attempt
from ._evidence import Evidence

KINDS = ('look', _checks.UNSAFE, 'chat', 'digest')
_DEADLINE_S = 4.0
# Callers wait for a retry up to this share of the time they have left.
_RETRY_SHARE = 1 / 3
_MEAN_PAUSE_S = 0.25
# Pause after a connection that was refused, as its router does not run.
_NO_ROUTER_S = 0.1
_MAX_BODY_BYTES = 32_768
# Share of the callers that leave, and the time after which they do.
_LEAVING_SHARE = 0.05
_LEAVING_S = 0.3
# Guards against a hang at the end of a run on a slow machine.
_LAST_TIMEOUT_S = 60.0
_END_TIMEOUT_S = 30.0
_READY_PATH = '/basilpond/ready'


class Callers:
    """Callers that send requests until they are stopped.

    Parameters
    ----------
    routers : list of RouterProcess
    evidence : Evidence
    seed : int
    """

    def __init__(
        self,
        routers: list[_routers.RouterProcess],
        evidence: Evidence,
        seed: int,
    ) -> None:
        self._routers = routers
        self._evidence = evidence
        self._random = random.Random(seed)
        self._ids = itertools.count(16)
        self._is_stopped = False
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, *, kept: int, separate: int) -> None:
        """Start callers with kept connections at each router, and others."""
        for router in self._routers:
            for _ in range(kept):
                self._add(self._call_kept(router))
        for _ in range(separate):
            self._add(self._call_separate())

    async def stop(self) -> None:
        """Let all requests end."""
        self._is_stopped = True
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_END_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def burst(self, count: int, routers: list[_routers.RouterProcess]) -> None:
        """Send prompts at once."""
        for i in range(count):
            kind = self._random.choice(('chat', 'digest'))
            self._add(self._request(routers[i % len(routers)], kind, None))

    async def ask(self, router: _routers.RouterProcess, kind: str) -> int:
        """Repeat a request until it is answered with 200 or too late."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _LAST_TIMEOUT_S
        while True:
            request_id = f'{next(self._ids):x}'
            attempt = Attempt(request_id, 1, kind, router.name, loop.time())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_LAST_TIMEOUT_S):
                    await self._send(router, attempt, None)
            if attempt.status == 200 and not attempt.error:
                return 200
            if loop.time() >= until_s:
                return attempt.status or 0
            await asyncio.sleep(0.5)

    def _add(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pause(self) -> None:
        await asyncio.sleep(self._random.expovariate(1 / _MEAN_PAUSE_S))

    async def _call_kept(self, router: _routers.RouterProcess) -> None:
        # The connection stays open, also while its router stands still.
        async with _session(kept=True) as session:
            while not self._is_stopped:
                kind = self._random.choice(KINDS)
                await self._request(router, kind, session)
                await self._pause()

    async def _call_separate(self) -> None:
        while not self._is_stopped:
            running = [r for r in self._routers if r.is_running]
            if running:
                kind = self._random.choice(KINDS)
                router = self._random.choice(running)
                await self._request(router, kind, None)
            await self._pause()

    async def _request(
        self,
        router: _routers.RouterProcess,
        kind: str,
        session: aiohttp.ClientSession | None,
    ) -> None:
        """Send a request, and once more elsewhere if it was refused."""
        loop = asyncio.get_running_loop()
        request_id = f'{next(self._ids):x}'
        sent_s = loop.time()
        attempt = Attempt(request_id, 1, kind, router.name, sent_s)
        if self._random.random() < _LEAVING_SHARE:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._random.random() * _LEAVING_S):
                    await self._send(router, attempt, session)
            return
        retry_after_s = await self._send(router, attempt, session)
        if attempt.status is None:
            await asyncio.sleep(_NO_ROUTER_S)
        others = [r for r in self._routers if r is not router]
        left_s = sent_s + _DEADLINE_S - loop.time()
        if (
            attempt.status not in _checks.REFUSALS
            or retry_after_s > left_s * _RETRY_SHARE
        ):
            return
        await asyncio.sleep(retry_after_s)
        other = self._random.choice(others or self._routers)
        attempt = Attempt(request_id, 2, kind, other.name, loop.time())
        await self._send(other, attempt, None)

    async def _send(
        self,
        router: _routers.RouterProcess,
        attempt: Attempt,
        session: aiohttp.ClientSession | None,
    ) -> float:
        """Send a request once; return the `Retry-After` of a refusal."""
        if session is None:
            async with _session(kept=False) as own:
                return await self._send(router, attempt, own)
        self._evidence.attempts.append(attempt)
        headers = {
            'Host': 'h.example',
            'Authorization': 'Bearer key',
            'X-Request-Id': attempt.request_id,
            'X-Soak-Attempt': str(attempt.number),
            'X-Deadline-Ms': str(int(_DEADLINE_S * 1000)),
            **(dict(PROMPT) if attempt.kind in _checks.STREAMS else {}),
        }
        body = b'b' * self._random.choice((2, 500, _MAX_BODY_BYTES))
        url = f'{router.url}/{attempt.kind}/{attempt.request_id}'
        try:
            # The client library repeats other methods by itself.
            async with session.post(
                url, headers=headers, data=body
            ) as response:
                attempt.status = response.status
                data = await response.read()
                if response.status == 200:
                    attempt.problem = _checks.answer_problem(
                        attempt.kind, attempt.request_id, data
                    )
                return float(response.headers.get('Retry-After', '0'))
        except (aiohttp.ClientError, OSError) as error:
            attempt.error = repr(error)
        except asyncio.CancelledError:
            attempt.error = 'left'
            raise
        return 0.0


def _session(*, kept: bool) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1, force_close=not kept),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
    )


class Crowd:
    """Clients that misbehave in all ways at once towards one router.

    Parameters
    ----------
    host : str
    clients : int
        For each way and each path of the callers' port.
    """

    def __init__(self, host: str, clients: int) -> None:
        self._sockets: list[socket.socket] = []
        targets = [
            (_routers.CALLERS_PORT, path, clients)
            for path in ('/look/x', '/chat/x', '/nowhere', _READY_PATH)
        ]
        targets += [
            (_routers.READY_PORT, _READY_PATH, 1),
            (_routers.METRICS_PORT, '/metrics', 1),
            (_routers.PEERS_PORT, '/configuration', 1),
        ]
        self._tasks = [
            asyncio.create_task(
                misbehaving_clients.misbehave(
                    (host, port),
                    _parts(way, path),
                    misbehaving_clients.PAUSES_S.get(way, 0.0),
                    misbehaving_clients.READ_PAUSE_S.get(way, 0.0),
                    self._sockets,
                )
            )
            for way in misbehaving_clients.WAYS
            for port, path, count in targets
            for _ in range(count)
        ]

    async def stop(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()


@functools.cache
def _parts(way: str, path: str) -> list[bytes]:
    return misbehaving_clients.WAYS[way](path)
