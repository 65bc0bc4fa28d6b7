"""Stand-in for the platform's lagging list of VMs."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Literal

from aiohttp import web
import defopt
import msgspec

from basilpond.settings import load_settings_or_exit

from . import _program


class VmsSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Changes become visible `lag_ms` after they are made."""

    lag_ms: _program.Milliseconds = 1000


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings file of the program."""

    http: _program.HttpSettings = msgspec.field(
        default_factory=_program.HttpSettings
    )
    vms: VmsSettings = msgspec.field(default_factory=VmsSettings)


class Vm(msgspec.Struct, forbid_unknown_fields=True):
    """One VM; `address` is ``ip:port``."""

    id: str
    address: str
    state: Literal['live', 'leaving'] = 'live'


class Change(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/vms``: VMs to set and ids to remove."""

    vms: list[Vm] = []
    remove: list[str] = []


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``; ``down`` refuses with 503."""

    mode: Literal['up', 'down']


class VmList:
    """The list, as an aiohttp application."""

    def __init__(self, settings: VmsSettings) -> None:
        self._settings = settings
        self._vms: dict[str, Vm] = {}
        self._down = False

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_get('/vms', self._list)
        app.router.add_post('/control/vms', self._change)
        app.router.add_post('/control/faults', self._set_fault)
        return app

    async def _list(self, request: web.Request) -> web.Response:
        if self._down:
            return _program.json_response({'error': 'not available'}, 503)
        return _program.json_response({'vms': list(self._vms.values())})

    async def _change(self, request: web.Request) -> web.Response:
        change = await _program.decode_body(request, Change)
        asyncio.get_running_loop().call_later(
            self._settings.lag_ms / 1000, self._apply, change
        )
        return _program.json_response({})

    def _apply(self, change: Change) -> None:
        self._vms.update((vm.id, vm) for vm in change.vms)
        for vm in change.remove:
            self._vms.pop(vm, None)

    async def _set_fault(self, request: web.Request) -> web.Response:
        order = await _program.decode_body(request, FaultOrder)
        self._down = order.mode == 'down'
        return _program.json_response({})


def run(*, settings: pathlib.Path) -> None:
    """Run the stand-in for the VM list.

    Parameters
    ----------
    settings : pathlib.Path
        TOML file.
    """
    values = load_settings_or_exit(settings, Settings)
    _program.start_logging()
    server = _program.Server(VmList(values.vms).app(), values.http)
    asyncio.run(_program.run_until_signal(server))


def main() -> None:
    """Entry point of ``basilpond-testkit-vms``."""
    defopt.run(run)


if __name__ == '__main__':
    main()
