"""Bare aiohttp pass-through, the yardstick of the relay benchmark.

It checks, counts and bills nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import itertools
import pathlib

import aiohttp
from aiohttp import web
import defopt
import msgspec

from basilpond.settings import load_settings_or_exit

from . import _program


class PassthroughSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Base addresses of the engines, used in turn."""

    engines: list[str]


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings file of the program."""

    passthrough: PassthroughSettings
    http: _program.HttpSettings = msgspec.field(
        default_factory=_program.HttpSettings
    )


class Passthrough:
    """The pass-through, as an aiohttp application.

    Parameters
    ----------
    settings : PassthroughSettings
    """

    def __init__(self, settings: PassthroughSettings) -> None:
        self._engines = itertools.cycle(settings.engines)
        self._session: aiohttp.ClientSession | None = None

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_post('/v1/chat/completions', self._relay)
        app.router.add_get('/control/ready', self._ready)
        app.cleanup_ctx.append(self._open_session)
        return app

    async def _open_session(self, app: web.Application) -> AsyncIterator[None]:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._session = session
            yield

    async def _ready(self, request: web.Request) -> web.Response:
        return web.Response()

    async def _relay(self, request: web.Request) -> web.StreamResponse:
        url = f'{next(self._engines)}/v1/chat/completions'
        body = await request.read()
        async with self._session.post(url, data=body) as answer:
            response = web.StreamResponse(
                status=answer.status,
                headers={'Content-Type': answer.headers['Content-Type']},
            )
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response


def run(*, settings: pathlib.Path) -> None:
    """Run the bare pass-through.

    Parameters
    ----------
    settings : pathlib.Path
        TOML file.
    """
    values = load_settings_or_exit(settings, Settings)
    _program.start_logging()
    app = Passthrough(values.passthrough).app()
    asyncio.run(_program.run_until_signal(_program.Server(app, values.http)))


def main() -> None:
    """Entry point."""
    defopt.run(run)


if __name__ == '__main__':
    main()
