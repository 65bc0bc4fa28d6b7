"""Routers, log, endpoints and callers of a soak, and its faults."""

from __future__ import annotations

import asyncio
import os
import pathlib

from ..misbehaving_clients import BODY_BYTES
from ..misbehaving_clients import HEADER_BYTES
from ..platform_configuration import configuration
from . import _callers
from . import _checks
from . import _plan
from . import _routers
from . import _stand_ins
from ._evidence import Evacuation
from ._evidence import Evidence

DATA_CENTRES = ('east', 'north', 'west')
SERVICES = ('app', 'llm')
_ENDPOINTS_EACH = 2
_KEPT_EACH = 4
_SEPARATE = 6
_SAMPLE_INTERVAL_S = 0.1
_CHECK_INTERVAL_S = 5.0
# A store that goes away as soon as it has acknowledged a key leaves routers no
# way to learn of it.
_EVACUATION_READ_S = 2.0
# Between the return of cold endpoints and the end of the evacuation.
_COLD_RETURN_S = 0.5
_MAX_STORE_DELAY_S = 0.8
_MAX_PROMPTS = 150
_MAX_CROWD = 6
# Clients of a crowd that lasts for the whole run connect again after this.
_CROWD_S = 4.0
_CROWD_CLIENTS = 3
# More than all callers of a long run use.
_PREPAID = 10**12


class System:
    """All processes of a soak.

    Parameters
    ----------
    seed : int
    routers : int
    folder : pathlib.Path
    """

    def __init__(self, seed: int, routers: int, folder: pathlib.Path) -> None:
        self.evidence = Evidence()
        self.bounds = _routers.bounds(_stand_ins.COLD_PER_S)
        self._log = _stand_ins.SoakLog()
        self._ticks = _stand_ins.Ticks()
        self._folder = folder
        self._router_count = routers
        self.routers: dict[str, _routers.RouterProcess] = {}
        self.endpoints: dict[str, _stand_ins.SoakEndpoint] = {}
        for data_centre in DATA_CENTRES:
            for service in SERVICES:
                for i in range(_ENDPOINTS_EACH):
                    name = f'{service}-{data_centre}-{i}'
                    self.endpoints[name] = _stand_ins.SoakEndpoint(
                        name,
                        service,
                        data_centre,
                        self._log,
                        self._ticks,
                        self.evidence,
                    )
        self._seed = seed
        self._callers: _callers.Callers | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._evacuated_s = float('-inf')
        self._started_s = 0.0

    def endpoints_by_data_centre(self) -> dict[str, list[str]]:
        """Return the names of the endpoints of each data centre."""
        return {
            data_centre: self._names_in(data_centre)
            for data_centre in DATA_CENTRES
        }

    def _names_in(self, data_centre: str) -> list[str]:
        return [
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.data_centre == data_centre
        ]

    async def start(self) -> None:
        """Start everything but the faults."""
        self._add(self._ticks.run())
        await self._log.start()
        limits = {
            'max_header_bytes': HEADER_BYTES,
            'max_body_bytes': BODY_BYTES,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        }
        services = [
            {
                'name': service,
                'cold_start_s': _stand_ins.COLD_S,
                'cold_per_s': _stand_ins.COLD_PER_S,
            }
            for service in SERVICES
        ]
        tenants = [{'name': 'org', 'api_keys': ['key'], 'prepaid': _PREPAID}]
        config = configuration(
            limits=limits, services=services, tenants=tenants
        )
        self._log.put(_stand_ins.CONFIGURATION_TOPIC, 'config', config)
        for endpoint in self.endpoints.values():
            await endpoint.come_up(cold=False)
        # The metrics port is fixed, so each router has an address of its own,
        # which no other run on this machine has.
        block, place = divmod(os.getpid(), 250)
        for i in range(self._router_count):
            router = _routers.RouterProcess(
                f'r{i}',
                f'127.{block % 250 + 1}.{place}.{10 + i}',
                DATA_CENTRES[i % len(DATA_CENTRES)],
                self._log.port,
                self._folder,
                self.evidence,
            )
            self.routers[router.name] = router
            await router.start(is_first=True)
        for router in self.routers.values():
            if not await router.wait_until_ready():
                raise RuntimeError(f'{router.name} is not ready')
        self._add(self._sample())
        self._callers = _callers.Callers(
            list(self.routers.values()), self.evidence, self._seed
        )
        self._callers.start(kept=_KEPT_EACH, separate=_SEPARATE)
        self._started_s = asyncio.get_running_loop().time()

    async def play(
        self, faults: list[_plan.Fault], seconds: float, *, crowds: bool
    ) -> None:
        """Play faults until all have ended, or until a rule is broken."""
        steady = [
            asyncio.create_task(self._keep_crowd(router))
            for router in (self.routers.values() if crowds else ())
        ]
        running = {
            asyncio.create_task(self._play_at(fault)) for fault in faults
        }
        running.add(asyncio.create_task(asyncio.sleep(seconds)))
        try:
            while running:
                done, running = await asyncio.wait(
                    running, timeout=_CHECK_INTERVAL_S
                )
                for task in done:
                    task.result()
                if self.violations():
                    return
        finally:
            for task in (*running, *steady):
                task.cancel()
            await asyncio.gather(*running, *steady, return_exceptions=True)

    async def finish(self) -> None:
        """Ask for one request of each kind, and end everything."""
        assert self._callers is not None
        for router in self.routers.values():
            await router.wait_until_ready()
        asked = [
            (router, kind)
            for router in self.routers.values()
            for kind in _callers.KINDS
        ]
        statuses = await asyncio.gather(
            *(self._callers.ask(router, kind) for router, kind in asked)
        )
        for (router, kind), status in zip(asked, statuses, strict=True):
            self.evidence.last_statuses[router.name, kind] = status
        await self._callers.stop()

    async def stop(self) -> None:
        """End all processes and tasks."""
        if self._callers is not None:
            await self._callers.stop()
        await asyncio.gather(
            *(router.terminate() for router in self.routers.values())
        )
        for task in self._tasks:
            task.cancel()
        for endpoint in self.endpoints.values():
            endpoint.go_down()
        self._log.stop()

    def violations(self) -> list[_checks.Violation]:
        """Return what has been found up to now."""
        return _checks.find_violations(self.evidence, self.bounds)

    def _add(self, coroutine) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    def _note(self, text: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.evidence.time_line.append((now_s, text))

    async def _sample(self) -> None:
        while True:
            for router in self.routers.values():
                router.sample()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    async def _keep_crowd(self, router: _routers.RouterProcess) -> None:
        while True:
            crowd = _callers.Crowd(router.host, _CROWD_CLIENTS)
            try:
                await asyncio.sleep(_CROWD_S)
            finally:
                await crowd.stop()

    async def _play_at(self, fault: _plan.Fault) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._started_s + fault.at_s - loop.time())
        self._note(str(fault))
        if fault.kind in _plan.ROUTER_KINDS:
            router = self.routers[fault.target]
            async with router.lock:
                await self._play_router(fault, router)
        elif fault.kind in _plan.STORE_KINDS:
            await self._play_store(fault)
        elif fault.kind in _plan.ENDPOINT_KINDS:
            await self._play_endpoint(fault, self.endpoints[fault.target])
        elif fault.kind in _plan.ZONE_KINDS:
            await self._play_data_centre(fault)
        else:
            await self._play_clients(fault)
        self._note(f'end of {fault}')

    async def _play_router(
        self, fault: _plan.Fault, router: _routers.RouterProcess
    ) -> None:
        if fault.kind == 'router paused':
            router.pause()
            try:
                await asyncio.sleep(fault.lasts_s)
            finally:
                router.resume()
            return
        if fault.kind == 'router killed':
            await router.kill()
        else:
            await router.terminate()
        await asyncio.sleep(fault.lasts_s)
        await router.start()

    async def _play_store(self, fault: _plan.Fault) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(
            self._evacuated_s + _EVACUATION_READ_S - loop.time()
        )
        mode = fault.kind.removeprefix('store ')
        if mode == 'slow':
            self._log.delay_s = fault.size * _MAX_STORE_DELAY_S
        else:
            self._log.mode = mode
        try:
            await asyncio.sleep(fault.lasts_s)
        finally:
            self._log.delay_s = 0.0
            self._log.recover()

    async def _play_endpoint(
        self, fault: _plan.Fault, endpoint: _stand_ins.SoakEndpoint
    ) -> None:
        if fault.kind == 'endpoint leaves':
            await endpoint.leave()
            await asyncio.sleep(fault.lasts_s - _stand_ins.DRAIN_S)
            await endpoint.come_up(cold=True)
            return
        if fault.kind == 'endpoint returns cold':
            endpoint.go_down()
            await asyncio.sleep(fault.lasts_s)
            await endpoint.come_up(cold=True)
            return
        endpoint.mode = fault.kind.removeprefix('endpoint ')
        try:
            await asyncio.sleep(fault.lasts_s)
        finally:
            endpoint.mode = 'ok'

    async def _play_data_centre(self, fault: _plan.Fault) -> None:
        endpoints = [self.endpoints[x] for x in self._names_in(fault.target)]
        if fault.kind == 'data centre returns cold':
            await self._return_cold(endpoints, fault.lasts_s)
            return
        key = f'evacuate/{fault.target}'
        topic = _stand_ins.CONFIGURATION_TOPIC
        loop = asyncio.get_running_loop()
        await self._log.write(topic, key, {})
        self._evacuated_s = loop.time()
        evacuation = Evacuation(fault.target, self._evacuated_s)
        self.evidence.evacuations.append(evacuation)
        if fault.kind == 'evacuation, cold return':
            away_s = fault.size
            await asyncio.sleep(fault.lasts_s - away_s - _COLD_RETURN_S)
            await self._return_cold(endpoints, away_s)
            await asyncio.sleep(_COLD_RETURN_S)
        else:
            await asyncio.sleep(fault.lasts_s)
        while self._log.mode != 'ok':  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        evacuation.removed_s = loop.time()
        self._log.put(topic, key, None)
        self._evacuated_s = loop.time()

    async def _return_cold(
        self, endpoints: list[_stand_ins.SoakEndpoint], away_s: float
    ) -> None:
        for endpoint in endpoints:
            endpoint.go_down()
        await asyncio.sleep(away_s)
        await asyncio.gather(*(e.come_up(cold=True) for e in endpoints))

    async def _play_clients(self, fault: _plan.Fault) -> None:
        router = self.routers[fault.target]
        if fault.kind == 'crowd':
            crowd = _callers.Crowd(
                router.host, 1 + int(fault.size * (_MAX_CROWD - 1))
            )
            try:
                await asyncio.sleep(fault.lasts_s)
            finally:
                await crowd.stop()
            return
        assert self._callers is not None
        count = int(fault.size * _MAX_PROMPTS)
        # Half of the bursts reach one router, as a load balancer sends those
        # of one client.
        routers = [router]
        if count % 2:
            routers = list(self.routers.values())
        self._callers.burst(count, routers)
        await asyncio.sleep(fault.lasts_s)
