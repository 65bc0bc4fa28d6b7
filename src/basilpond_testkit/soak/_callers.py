"""Ordinary callers of a soak, and crowds of misbehaving clients."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
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
from ._routers import RouterProcess

KINDS = ('look', _checks.UNSAFE, 'chat', 'digest')
_DEADLINE_S = 4.0
# Callers wait for a retry up to this share of the time they have left.
_RETRY_SHARE = 1 / 3
_KEPT_EACH = 4
_SEPARATE = 6
_MEAN_PAUSE_S = 0.15
_BODY_BYTES = (2, 500, 32_768)
# Share of the callers that leave, and the longest time after which they do.
_LEAVING_SHARE = 0.1
_LEAVING_S = 0.3
# Guards against a hang on a slow machine.
_TIMEOUT_S = 60.0
_ASK_INTERVAL_S = 0.5
_CROWD_PATHS = ('/look/x', '/chat/x', '/nowhere', _routers.READY_PATH)
_INTERNAL_TARGETS = (
    (_routers.READY_PORT, _routers.READY_PATH),
    (_routers.METRICS_PORT, '/metrics'),
    (_routers.PEERS_PORT, '/configuration'),
)


class Callers:
    """Callers that send requests until they are stopped."""

    def __init__(
        self, routers: list[RouterProcess], evidence: Evidence, seed: int
    ) -> None:
        self._routers = routers
        self._evidence = evidence
        self._random = random.Random(seed)
        # Above the id of misbehaving clients.
        self._ids = itertools.count(16)
        self._is_stopped = False
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start callers with kept connections and others."""
        for router in [*self._routers * _KEPT_EACH, *[None] * _SEPARATE]:
            self._add(self._call(router))

    async def stop(self) -> None:
        """Let all requests end."""
        self._is_stopped = True
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def burst(
        self, count: int, routers: list[RouterProcess], kinds: Sequence[str]
    ) -> None:
        """Send requests at once, each on a connection of its own."""
        for i in range(count):
            router, kind = routers[i % len(routers)], kinds[i % len(kinds)]
            self._add(self._request(router, kind, None))

    async def ask_all(self) -> None:
        """Send each router one request of each kind until it is answered."""
        asked = [(router, kind) for router in self._routers for kind in KINDS]
        await asyncio.gather(*(self._ask(*pair) for pair in asked))

    async def _ask(self, router: RouterProcess, kind: str) -> None:
        last = self._evidence.last
        last[router.name, kind] = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_TIMEOUT_S):
                while last[router.name, kind] != 200:
                    await asyncio.sleep(_ASK_INTERVAL_S)
                    attempt = await self._send(router, kind, self._next_id())
                    if attempt.error is None:
                        last[router.name, kind] = attempt.status or 0

    def _next_id(self) -> str:
        return f'{next(self._ids):x}'

    def _add(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, kept_at: RouterProcess | None) -> None:
        # A kept connection stays open, also while its router stands still.
        async with _session(kept=True) as session:
            while not self._is_stopped:
                router = kept_at or self._random.choice(self._routers)
                kind = self._random.choice(KINDS)
                kept = session if kept_at else None
                await self._request(router, kind, kept)
                pause_s = self._random.expovariate(1 / _MEAN_PAUSE_S)
                await asyncio.sleep(pause_s)

    async def _request(
        self,
        router: RouterProcess,
        kind: str,
        session: aiohttp.ClientSession | None,
    ) -> None:
        """Send a request, and once more elsewhere if it was refused."""
        request_id = self._next_id()
        if self._random.random() < _LEAVING_SHARE:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._random.random() * _LEAVING_S):
                    await self._send(router, kind, request_id, session)
            return
        sent_s = asyncio.get_running_loop().time()
        first = await self._send(router, kind, request_id, session)
        left_s = sent_s + _DEADLINE_S - asyncio.get_running_loop().time()
        if (
            first.status in _checks.REFUSALS
            and first.retry_after_s < left_s * _RETRY_SHARE
        ):
            await asyncio.sleep(first.retry_after_s)
            others = [x for x in self._routers if x is not router] or [router]
            other = self._random.choice(others)
            await self._send(other, kind, request_id, number=2)

    async def _send(
        self,
        router: RouterProcess,
        kind: str,
        request_id: str,
        session: aiohttp.ClientSession | None = None,
        number: int = 1,
    ) -> Attempt:
        if session is None:
            async with _session(kept=False) as own:
                return await self._send(router, kind, request_id, own, number)
        now_s = asyncio.get_running_loop().time()
        attempt = Attempt(request_id, number, kind, router.name, now_s)
        self._evidence.attempts.append(attempt)
        headers = {
            'Host': 'h.example',
            'Authorization': 'Bearer key',
            'X-Request-Id': request_id,
            'X-Soak-Attempt': str(number),
            'X-Deadline-Ms': str(int(_DEADLINE_S * 1000)),
            **(dict(PROMPT) if kind in _checks.STREAMS else {}),
        }
        url = f'{router.url}/{kind}/{request_id}'
        body = b'b' * self._random.choice(_BODY_BYTES)
        # The library itself repeats requests of some other methods.
        call = session.post(url, headers=headers, data=body)
        try:
            async with call as response:
                attempt.status = response.status
                retry_after = response.headers.get('Retry-After', '0')
                attempt.retry_after_s = float(retry_after)
                data = await response.read()
            if attempt.status == 200:
                problem = _checks.answer_problem(kind, request_id, data)
                attempt.problem = problem
        except (aiohttp.ClientError, OSError) as error:
            attempt.error = repr(error)
        except asyncio.CancelledError:
            attempt.error = 'left'
            raise
        return attempt


def _session(*, kept: bool) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1, force_close=not kept),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
    )


async def misbehave(host: str, clients: int, lasts_s: float) -> None:
    """Misbehave in all ways at once towards one router.

    Parameters
    ----------
    host : str
    clients : int
        For each way and each path of the callers' port; one for other ports.
    lasts_s : float
    """
    sockets: list[socket.socket] = []
    targets = [(_routers.CALLERS_PORT, x) for x in _CROWD_PATHS * clients]
    senders = [
        misbehaving_clients.misbehave(
            (host, port),
            _parts(way, path),
            misbehaving_clients.PAUSES_S.get(way, 0.0),
            misbehaving_clients.READ_PAUSE_S.get(way, 0.0),
            sockets,
        )
        for way in misbehaving_clients.WAYS
        for port, path in (*targets, *_INTERNAL_TARGETS)
    ]
    try:
        async with asyncio.timeout(lasts_s):
            # Those that have sent everything stay connected.
            await asyncio.gather(*senders, asyncio.sleep(lasts_s))
    except TimeoutError:
        pass
    finally:
        for sock in sockets:
            sock.close()


@functools.cache
def _parts(way: str, path: str) -> list[bytes]:
    return misbehaving_clients.WAYS[way](path)
