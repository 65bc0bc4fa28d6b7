"""What the stand-in programs share: HTTP settings, JSON logs, a server."""

from __future__ import annotations

import asyncio
import logging as std_logging
import signal
import sys
import time
from typing import Annotated
from typing import Any
from typing import NoReturn
from typing import TypeVar

from absl import flags
from absl import logging
from aiohttp import web
import msgspec

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]

_S = TypeVar('_S')


class HttpSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Address of a program's HTTP server; port 0 takes any free port."""

    host: str = '127.0.0.1'
    port: Port = 0


def now_ms() -> int:
    """Return the wall clock in milliseconds."""
    return time.time_ns() // 1_000_000


class _JsonFormatter(std_logging.Formatter):
    def format(self, record: std_logging.LogRecord) -> str:
        line = {
            'time_ms': int(record.created * 1000),
            'level': record.levelname.lower(),
            'message': record.getMessage(),
        }
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def start_logging() -> None:
    """Write JSON log lines to standard error."""
    # absl warns on standard error until its flags are parsed.
    flags.FLAGS(sys.argv[:1])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().setFormatter(_JsonFormatter())


class Server:
    """HTTP server whose connections and listening socket tests can break.

    Parameters
    ----------
    app : web.Application
    http : HttpSettings
    stop_timeout_s : float
        Longest wait for requests in progress on a graceful stop.
    """

    def __init__(
        self,
        app: web.Application,
        http: HttpSettings,
        stop_timeout_s: float = 10,
    ) -> None:
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=stop_timeout_s,
            handler_cancellation=True,
        )
        self._host = http.host
        self.port = http.port
        self._site: web.TCPSite | None = None
        self._resume: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen; `port` is known afterwards."""
        await self._runner.setup()
        await self._listen()
        logging.info('listening on %s:%d', self._host, self.port)

    @property
    def url(self) -> str:
        """Base address."""
        return f'http://{self._host}:{self.port}'

    async def _listen(self) -> None:
        self._resume = None
        self._site = web.TCPSite(
            self._runner,
            self._host,
            self.port,
            backlog=4096,
            reuse_address=True,
        )
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    def connections(self) -> list[asyncio.Protocol]:
        """Return the protocols of the open connections."""
        return list(self._runner.server.connections)

    def abort_connections(self) -> None:
        """Reset every open connection."""
        for protocol in self.connections():
            if protocol.transport is not None:
                protocol.transport.abort()

    async def refuse_connections(self, for_ms: int) -> None:
        """Close the listening socket for a while."""
        if self._site is not None:
            await self._site.stop()
            self._site = None
        if self._resume is not None:
            self._resume.cancel()
        loop = asyncio.get_running_loop()
        self._resume = loop.call_later(for_ms / 1000, self._spawn_listen)

    def _spawn_listen(self) -> None:
        task = asyncio.get_running_loop().create_task(self._listen())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Stop listening, let requests in progress end, close."""
        if self._resume is not None:
            self._resume.cancel()
        await self._runner.cleanup()


async def run_until_signal(server: Server) -> None:
    """Serve until SIGTERM or SIGINT, then stop gracefully."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await server.start()
    await stop.wait()
    logging.info('stopping')
    await server.stop()
    logging.info('stopped')


def json_response(value: Any, status: int = 200) -> web.Response:
    """Return a value as a JSON response."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type='application/json',
    )


async def decode_body(request: web.Request, kind: type[_S]) -> _S:
    """Decode a JSON body, or respond 400 with the reason."""
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from None


async def silence() -> NoReturn:
    """Keep a request without an answer until its connection closes."""
    await asyncio.get_running_loop().create_future()
