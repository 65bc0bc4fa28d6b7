"""Routers, log and endpoints of a soak."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal

from ..misbehaving_clients import BODY_BYTES
from ..misbehaving_clients import HEADER_BYTES
from ..platform_configuration import configuration
from . import _stand_ins
from ._evidence import Evidence
from ._routers import RouterProcess

_SERVICES = ('app', 'llm')
# Names of endpoints by data centre. With few of them, a burst of callers is
# above the limit of a cold one.
ENDPOINTS = {
    data_centre: [f'{service}-{data_centre}' for service in _SERVICES]
    for data_centre in ('east', 'north', 'west')
}
_SAMPLE_INTERVAL_S = 0.1
_LIMITS = {
    'max_header_bytes': HEADER_BYTES,
    'max_body_bytes': BODY_BYTES,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15_000,
}
_COLD = {
    'cold_start_s': _stand_ins.COLD_S,
    'cold_per_s': _stand_ins.COLD_PER_S,
}
# More than all callers of a long run use.
_TENANT = {'name': 'org', 'api_keys': ['key'], 'prepaid': 10**12}


class System:
    """All processes of a soak.

    Parameters
    ----------
    routers : int
    folder : pathlib.Path
        For settings and output of the routers.
    seed : int
        Draws the changes of settings files.
    """

    def __init__(self, routers: int, folder: pathlib.Path, seed: int) -> None:
        self._seed = seed
        self.evidence = Evidence()
        self.log = _stand_ins.SoakLog()
        self.routers: dict[str, RouterProcess] = {}
        self.endpoints: dict[str, _stand_ins.SoakEndpoint] = {}
        self._ticks = _stand_ins.Ticks()
        self._tasks: list[asyncio.Task[None]] = []
        self._router_count = routers
        self._folder = folder

    async def start(self) -> None:
        """Start log, endpoints and routers."""
        await self.log.start()
        config = configuration(
            limits=_LIMITS,
            services=[{'name': name, **_COLD} for name in _SERVICES],
            tenants=[_TENANT],
        )
        self.log.put(_stand_ins.OPERATORS_TOPIC, 'config', config)
        for data_centre, names in ENDPOINTS.items():
            for name in names:
                self.endpoints[name] = _stand_ins.SoakEndpoint(
                    name, data_centre, self.log, self._ticks, self.evidence
                )
                await self.endpoints[name].come_up(cold=False)
        # The metrics port is fixed, so each router has an address of its own,
        # which no other run on this machine has.
        block, place = divmod(os.getpid(), 250)
        for i in range(self._router_count):
            self.routers[f'r{i}'] = RouterProcess(
                f'r{i}',
                f'127.{block % 250 + 1}.{place}.{10 + i}',
                list(ENDPOINTS)[i % len(ENDPOINTS)],
                self.log.port,
                self._folder,
                self.evidence,
                random.Random(f'settings of router {i}, seed {self._seed}'),
            )
            await self.routers[f'r{i}'].start()
        self._tasks = [
            asyncio.create_task(task)
            for task in (self._ticks.run(), self._sample())
        ]

    async def check_settings(self) -> None:
        """Check that each router has the settings of its file."""
        await asyncio.gather(
            *(router.check_settings() for router in self.routers.values())
        )

    async def stop(self) -> None:
        """End all processes and tasks."""
        await asyncio.gather(
            *(router.end(signal.SIGTERM) for router in self.routers.values())
        )
        for task in self._tasks:
            task.cancel()
        for endpoint in self.endpoints.values():
            endpoint.go_down()
        self.log.stop()

    async def _sample(self) -> None:
        while True:
            for router in self.routers.values():
                router.sample()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)
