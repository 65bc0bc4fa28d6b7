"""TCP server for remote calls from other routers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from absl import logging

from ...protocol import LENGTH_BYTES
from ...protocol import Frame
from ...protocol import ProtocolError
from ...protocol import decode_frame
from ...protocol import encode_frame
from ...protocol import frame_size

Handler = Callable[[Frame], Awaitable[Frame]]


class PeerServer:
    """Server that passes each call to a handler and sends its reply.

    Calls on one connection run concurrently; each reply is sent as soon as
    it is ready. A connection that delivers malformed input is closed.

    Parameters
    ----------
    host : str
    port : int
    handler : async callable
        Gets the call's `Frame` and returns a `Frame` with one payload; the
        server sets `call_id` and `is_reply`.
    max_open_calls : int
        Limit for each connection; further calls get an error reply.
    max_connections : int
        Further connections are aborted.
    idle_s : float
        A connection that delivers no complete frame within this time is
        closed; clients send heartbeats more often.

    Attributes
    ----------
    malformed_frames : int
        Number of connections closed because of malformed input.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        *,
        max_open_calls: int = 64,
        max_connections: int = 1024,
        idle_s: float = 30.0,
    ) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._max_open_calls = max_open_calls
        self._max_connections = max_connections
        self._idle_s = idle_s
        self.malformed_frames = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task] = set()

    @property
    def port(self) -> int:
        """Port in use; differs from the parameter when that is 0."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Open the listening socket."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port
        )

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is None:
            return
        self._server.close()
        connections = list(self._connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)
        await self._server.wait_closed()
        self._server = None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        calls: set[asyncio.Task] = set()
        if len(self._connections) >= self._max_connections:
            writer.transport.abort()
            return
        self._connections.add(task)
        try:
            await self._read_calls(reader, writer, calls)
        except ProtocolError as error:
            self.malformed_frames += 1
            logging.log_every_n_seconds(
                logging.WARNING,
                'closed a peer connection after a malformed frame: %s',
                10,
                error,
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            # The peer closed the connection or stopped sending.
            pass
        except asyncio.CancelledError:
            # Only `close` cancels this task. The cancellation ends here,
            # because asyncio reports a cancelled connection task as an error.
            pass
        finally:
            self._connections.discard(task)
            for call in calls:
                call.cancel()
            writer.transport.abort()

    async def _read_calls(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        calls: set[asyncio.Task],
    ) -> None:
        while True:
            async with asyncio.timeout(self._idle_s):
                size = frame_size(await reader.readexactly(LENGTH_BYTES))
                call = decode_frame(await reader.readexactly(size))
            if call.is_reply:
                raise ProtocolError(
                    'received a reply on an incoming connection'
                )
            if call.heartbeat is not None:
                await self._reply(
                    writer, call, Frame(heartbeat=call.heartbeat)
                )
            elif len(calls) >= self._max_open_calls:
                await self._reply(
                    writer, call, Frame(error='too many open calls')
                )
            else:
                task = asyncio.create_task(self._serve_call(writer, call))
                calls.add(task)
                task.add_done_callback(calls.discard)

    async def _serve_call(
        self, writer: asyncio.StreamWriter, call: Frame
    ) -> None:
        try:
            reply = await self._handler(call)
        except Exception as error:
            logging.exception('handler of a peer call failed')
            reply = Frame(error=type(error).__name__)
        try:
            await self._reply(writer, call, reply)
        except OSError:
            # The connection is lost; the peer's call fails on its side.
            pass

    async def _reply(
        self, writer: asyncio.StreamWriter, call: Frame, reply: Frame
    ) -> None:
        reply.call_id = call.call_id
        reply.is_reply = True
        try:
            data = encode_frame(reply)
        except ProtocolError as error:
            logging.error('reply to a peer call cannot be sent: %s', error)
            data = encode_frame(
                Frame(
                    call_id=call.call_id,
                    is_reply=True,
                    error='reply cannot be encoded',
                )
            )
        writer.write(data)
        await writer.drain()
