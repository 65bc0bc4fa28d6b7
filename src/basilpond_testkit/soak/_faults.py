"""Plays faults."""

from __future__ import annotations

import asyncio
import signal

from . import _stand_ins
from ._callers import KINDS
from ._callers import Callers
from ._callers import misbehave
from ._evidence import Period
from ._plan import Fault
from ._stand_ins import SoakEndpoint
from ._system import ENDPOINTS
from ._system import System

# A store that goes away as soon as it has acknowledged a key leaves routers no
# way to learn of it.
_KEY_READ_S = 2.0
# Between the return of cold endpoints and the end of their evacuation.
_COLD_RETURN_S = 0.5
_MAX_STORE_DELAY_S = 0.8
_MAX_PROMPTS = 150
# Each service gets half; the share of each of three endpoints is above the
# limit of a cold one.
_RETURN_BURST = 160
_MAX_CROWD = 6


class Player:
    """Plays faults against routers, endpoints and the log."""

    def __init__(
        self, system: System, callers: Callers, burst_after_s: float
    ) -> None:
        self._burst_after_s = burst_after_s
        self._routers = system.routers
        self._endpoints = system.endpoints
        self._log = system.log
        self._evidence = system.evidence
        self._callers = callers
        self._started_s = asyncio.get_running_loop().time()
        self._key_written_s = float('-inf')

    async def play(self, fault: Fault) -> None:
        """Wait for the time of a fault and play it to its end."""
        await self._sleep_until(self._started_s + fault.at_s)
        self._note(str(fault))
        name, _, what = fault.kind.partition(' ')
        plays = {
            'router': self._play_router,
            'store': self._play_store,
            'endpoint': self._play_endpoint,
            'zone': self._play_data_centre,
            'clients': self._play_clients,
        }
        await plays[name](fault, what)
        self._note(f'end of {fault}')

    def _note(self, text: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self._evidence.faults.append((now_s, text))

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(at_s - asyncio.get_running_loop().time())

    async def _play_router(self, fault: Fault, what: str) -> None:
        router = self._routers[fault.target]
        async with router.lock:
            if what == 'paused':
                router.signal(signal.SIGSTOP)
                try:
                    await asyncio.sleep(fault.lasts_s)
                finally:
                    router.signal(signal.SIGCONT)
                return
            is_killed = what == 'killed'
            await router.end(signal.SIGKILL if is_killed else signal.SIGTERM)
            await asyncio.sleep(fault.lasts_s)
            await router.start()

    async def _play_store(self, fault: Fault, what: str) -> None:
        await self._sleep_until(self._key_written_s + _KEY_READ_S)
        if what == 'slow':
            self._log.delay_s = fault.size * _MAX_STORE_DELAY_S
        else:
            self._log.mode = what
        await asyncio.sleep(fault.lasts_s)
        self._log.delay_s = 0.0
        self._log.recover()

    async def _play_endpoint(self, fault: Fault, what: str) -> None:
        endpoint = self._endpoints[fault.target]
        if what == 'leaves':
            await endpoint.leave()
        if what in ('leaves', 'returns'):
            await self._return_cold([endpoint], fault.lasts_s)
            await self._burst_later()
            return
        endpoint.mode = what
        await asyncio.sleep(fault.lasts_s)
        endpoint.mode = 'ok'

    async def _play_data_centre(self, fault: Fault, what: str) -> None:
        names = ENDPOINTS[fault.target]
        endpoints = [self._endpoints[name] for name in names]
        if what == 'returns':
            await self._return_cold(endpoints, fault.lasts_s)
            await self._burst_later()
            return
        evacuation = Period(fault.target, await self._write_key(fault, {}))
        self._evidence.evacuations.append(evacuation)
        if what == 'evacuated':
            await asyncio.sleep(fault.lasts_s)
        else:
            await asyncio.sleep(fault.lasts_s - fault.size - _COLD_RETURN_S)
            await self._return_cold(endpoints, fault.size)
            await asyncio.sleep(_COLD_RETURN_S)
        evacuation.until_s = await self._write_key(fault, None)
        self._burst_everywhere()

    async def _write_key(self, fault: Fault, value: object) -> float:
        """Write or remove the key of an evacuation; return the time."""
        await self._log.wait_until_ok()
        self._key_written_s = asyncio.get_running_loop().time()
        topic = _stand_ins.OPERATORS_TOPIC
        self._log.put(topic, f'evacuate/{fault.target}', value)
        return self._key_written_s

    async def _return_cold(
        self, endpoints: list[SoakEndpoint], away_s: float
    ) -> None:
        for endpoint in endpoints:
            endpoint.go_down()
        await asyncio.sleep(away_s)
        await asyncio.gather(*(x.come_up() for x in endpoints))

    async def _burst_later(self) -> None:
        if self._burst_after_s:
            await self._log.wait_until_ok()
            await asyncio.sleep(self._burst_after_s)
        self._burst_everywhere()

    def _burst_everywhere(self) -> None:
        # An idle endpoint attracts the requests of all routers.
        routers = list(self._routers.values())
        self._callers.burst(_RETURN_BURST, routers, KINDS)

    async def _play_clients(self, fault: Fault, what: str) -> None:
        routers = [self._routers[fault.target]]
        if what == 'prompts':
            # A load balancer sends those of one client to one router.
            if fault.size < 0.5:
                routers = list(self._routers.values())
            count = int(fault.size * _MAX_PROMPTS)
            self._callers.burst(count, routers, ('chat', 'digest'))
            return
        clients = 1 + int(fault.size * _MAX_CROWD)
        await misbehave(routers[0].host, clients, fault.lasts_s)
