"""Callers of the fleet: round-robin balancer and player of the workload."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import json
import secrets
import uuid

from absl import logging
import aiohttp

from basilpond.core._codes import ResultCode

from . import _program
from . import workload
from ._observations import Attempt
from ._observations import Observation

_REQUEST_TIMEOUT_S = 40
_RETRY_INTERVAL_S = 0.5
_RETRY_FOR_S = 25
# A person at the counter does not retry these.
_FINAL_CODES = frozenset(
    {
        ResultCode.BUDGET_EXHAUSTED,
        ResultCode.KEY_REUSED_WITH_OTHER_BODY,
        ResultCode.KEY_EXPIRED,
        ResultCode.CLAIM_OUTCOME_UNKNOWN,
        ResultCode.RERUN_LIMIT,
        ResultCode.POISON_REQUEST,
    }
)


def uuid7(time_ms: int) -> str:
    """Return a new UUID version 7 (RFC 9562)."""
    value = time_ms << 80 | 0x7 << 76 | secrets.randbits(12) << 64
    return str(uuid.UUID(int=value | 0b10 << 62 | secrets.randbits(62)))


@dataclasses.dataclass(slots=True, eq=False)
class Router:
    """A router as its callers see it."""

    id: str
    url: str
    operator_url: str
    healthy: bool = False
    streams: int = 0


class NoRouterError(Exception):
    """No router is healthy."""


class Balancer:
    """Round robin over the routers whose ``/readyz`` answers 200.

    Parameters
    ----------
    session : aiohttp.ClientSession
    interval_s : float
        Time between two health checks.
    """

    def __init__(
        self, session: aiohttp.ClientSession, interval_s: float = 0.5
    ) -> None:
        self._session = session
        self._interval_s = interval_s
        self._turn = itertools.count()
        self.routers: list[Router] = []
        self.stream_opened = asyncio.Event()

    def next(self) -> Router:
        """Return the next healthy router.

        Raises
        ------
        NoRouterError
        """
        healthy = [router for router in self.routers if router.healthy]
        if not healthy:
            raise NoRouterError
        return healthy[next(self._turn) % len(healthy)]

    @contextlib.contextmanager
    def open_stream(self, router: Router) -> Iterator[None]:
        """Count an open stream of a router and set `stream_opened`."""
        router.streams += 1
        self.stream_opened.set()
        try:
            yield
        finally:
            router.streams -= 1

    async def run(self) -> None:
        """Check the routers until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(self._interval_s)

    async def check(self) -> None:
        """Check each router once."""
        await asyncio.gather(*map(self._check, list(self.routers)))

    async def _check(self, router: Router) -> None:
        try:
            async with self._session.get(
                f'{router.operator_url}/readyz',
                timeout=aiohttp.ClientTimeout(1),
            ) as answer:
                router.healthy = answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            router.healthy = False


class Player:
    """Plays a workload and observes what its callers see.

    Parameters
    ----------
    session : aiohttp.ClientSession
    balancer : Balancer
    keys : dict
        Organisation to bearer key.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        balancer: Balancer,
        keys: dict[str, str],
    ) -> None:
        self._session = session
        self._balancer = balancer
        self._keys = keys
        self._uuids: dict[str, str] = {}
        self.observations: list[Observation] = []

    async def play(self, requests: list[workload.Request]) -> None:
        """Send every request at its time and wait for all of them."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for request in requests:
                wait_s = start_s + request.at_ms / 1000 - loop.time()
                await asyncio.sleep(max(0, wait_s))
                tasks.create_task(self._send(request))

    async def _send(self, request: workload.Request) -> None:
        label = request.key
        if label and label not in self._uuids:
            self._uuids[label] = uuid7(_program.now_ms())
        observation = Observation(request, self._uuids.get(label, ''), [])
        self.observations.append(observation)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _RETRY_FOR_S
        while True:
            attempt = await self._attempt(observation)
            observation.attempts.append(attempt)
            if not _try_again(observation, attempt) or loop.time() > until_s:
                return
            await asyncio.sleep(
                min(5, max(_RETRY_INTERVAL_S, attempt.retry_after_s))
            )

    async def _attempt(self, observation: Observation) -> Attempt:
        sent_ms = _program.now_ms()
        try:
            router = self._balancer.next()
        except NoRouterError:
            return Attempt('', sent_ms, sent_ms, refused=True)
        attempt = Attempt(router.id, sent_ms)
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                await self._exchange(observation, router, attempt)
        except aiohttp.ClientConnectorError:
            attempt.refused = True
            router.healthy = False
        except (
            aiohttp.ClientError,
            TimeoutError,
            KeyError,
            ValueError,
        ) as error:
            # Any of these leaves the attempt without a whole answer.
            logging.info(
                'request %s: no whole response from %s: %r',
                observation.request.id,
                router.id,
                error,
            )
        finally:
            attempt.ended_ms = _program.now_ms()
        return attempt

    async def _exchange(
        self, observation: Observation, router: Router, attempt: Attempt
    ) -> None:
        request = observation.request
        method, path, body = request.http()
        headers = {
            'Authorization': f'Bearer {self._keys[request.organisation]}',
            'Content-Type': 'application/json',
        }
        if observation.key:
            headers['Idempotency-Key'] = observation.key
        async with self._session.request(
            method, router.url + path, data=body or None, headers=headers
        ) as response:
            attempt.status = response.status
            attempt.request_id = response.headers.get('X-Request-Id', '')
            retry_after = response.headers.get('Retry-After', '')
            if retry_after.isdigit():
                attempt.retry_after_s = int(retry_after)
            outcome = response.headers.get('Basilpond-Outcome', '')
            if response.content_type == 'text/event-stream':
                with self._balancer.open_stream(router):
                    await _read_stream(response, request, attempt)
                return
            text = await response.text()
            attempt.outcome = outcome
            attempt.done = True
            if response.status >= 400:
                attempt.text = text
                attempt.code = _code(text)
            elif request.is_chat:
                choice = json.loads(text)['choices'][0]
                attempt.text = choice['message']['content']
            else:
                attempt.text = text


async def _read_stream(
    response: aiohttp.ClientResponse,
    request: workload.Request,
    attempt: Attempt,
) -> None:
    tokens = 0
    async for line in response.content:
        if line.startswith(b': basilpond-outcome '):
            attempt.outcome = line.split()[-1].decode()
        elif line.startswith(b'data: [DONE]'):
            attempt.done = True
        elif line.startswith(b'data: '):
            chunk = json.loads(line[6:])
            if 'error' in chunk:
                attempt.code = int(chunk['error'].get('code') or 0)
                continue
            for choice in chunk['choices']:
                content = choice['delta'].get('content')
                if content:
                    attempt.text += content
                    tokens += 1
            if 0 < request.abandon_after_tokens <= tokens:
                attempt.abandoned = True
                response.close()
                return
    if attempt.outcome not in ('', 'complete'):
        # A stream that names another outcome is not a whole answer.
        attempt.done = False


def _code(text: str) -> int:
    try:
        return int(json.loads(text)['error']['code'])
    except (KeyError, TypeError, ValueError):
        return 0


def _try_again(observation: Observation, attempt: Attempt) -> bool:
    """Return whether a caller sends its request again.

    Without a key only a request that certainly did not run is sent again.
    """
    if attempt.complete or attempt.abandoned or attempt.outcome == 'complete':
        return False
    if attempt.code in _FINAL_CODES or 1000 < attempt.code < 2000:
        return False
    return attempt.not_run or bool(observation.key)
