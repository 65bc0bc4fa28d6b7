"""TCP client for remote calls to other routers."""

from __future__ import annotations

import asyncio
import itertools
import random

from ...core import BasilpondError
from ...core import Member
from ...core import ResultCode
from ...protocol import LENGTH_BYTES
from ...protocol import Frame
from ...protocol import Heartbeat
from ...protocol import ProtocolError
from ...protocol import decode_frame
from ...protocol import encode_frame
from ...protocol import frame_size
from ...telemetry import Metrics
from ...telemetry import NullMetrics

_BACKOFF_MIN_S = 0.1
_BACKOFF_MAX_S = 5.0


class PeerUnavailableError(BasilpondError):
    """A call got no usable reply; the peer may have processed it anyway."""

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.PEER_UNAVAILABLE, message)


class PeerClient:
    """Client with at most one connection to each peer.

    A connection is opened by the first call to a peer and closed after
    `idle_s` without calls. A connection that delivers no bytes for
    `silence_s` while a reply or a heartbeat is expected is aborted, and all
    its open calls fail.

    Parameters
    ----------
    rng : random.Random, optional
        Jitter of the reconnection delays.
    max_open_calls : int
        Limit for each peer; further calls fail at once.
    connect_timeout_s : float
    heartbeat_s : float
        A heartbeat is sent after this time without bytes from the peer.
    silence_s : float
    idle_s : float
    metrics : Metrics, optional
    """

    def __init__(
        self,
        *,
        rng: random.Random | None = None,
        max_open_calls: int = 64,
        connect_timeout_s: float = 1.0,
        heartbeat_s: float = 1.0,
        silence_s: float = 3.0,
        idle_s: float = 60.0,
        metrics: Metrics | None = None,
    ) -> None:
        self._metrics = metrics or NullMetrics()
        self._rng = rng or random.Random()
        self._max_open_calls = max_open_calls
        self._connect_timeout_s = connect_timeout_s
        self._heartbeat_s = heartbeat_s
        self._silence_s = silence_s
        self._idle_s = idle_s
        self._peers: dict[str, _Peer] = {}

    async def call(
        self, member: Member, frame: Frame, *, timeout_s: float
    ) -> Frame:
        """Send a call and return its reply.

        Parameters
        ----------
        member : Member
        frame : Frame
            With one payload; the client sets `call_id` and `is_reply`.
        timeout_s : float
            Includes the time to connect.

        Raises
        ------
        PeerUnavailableError
            There is no connection, no reply in time, an error reply, or
            there are too many open calls.
        ProtocolError
            The frame cannot be sent.
        """
        self._metrics.count('peers.calls')
        try:
            return await self._call(member, frame, timeout_s)
        except (PeerUnavailableError, ProtocolError):
            self._metrics.count('peers.call_failures')
            raise

    async def _call(
        self, member: Member, frame: Frame, timeout_s: float
    ) -> Frame:
        peer = self._peers.get(member.incarnation_id)
        if peer is None:
            self._remove_unused()
            peer = _Peer(self, member)
            self._peers[member.incarnation_id] = peer
        if peer.open_calls >= self._max_open_calls:
            raise PeerUnavailableError(
                f'{member.incarnation_id} has {peer.open_calls} open calls'
            )
        peer.open_calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                reply = await peer.call(frame)
        except TimeoutError as error:
            raise PeerUnavailableError(
                f'{member.incarnation_id} did not reply in {timeout_s} s'
            ) from error
        finally:
            peer.open_calls -= 1
        if reply.error is not None:
            raise PeerUnavailableError(
                f'{member.incarnation_id} replied with error: {reply.error}'
            )
        return reply

    async def close(self) -> None:
        """Close all connections; open calls fail."""
        peers = list(self._peers.values())
        self._peers.clear()
        for peer in peers:
            await peer.close()

    def _remove_unused(self) -> None:
        """Remove peers without a connection, such as old incarnations."""
        for incarnation_id, peer in list(self._peers.items()):
            if peer.is_unused():
                del self._peers[incarnation_id]


class _Peer:
    """Connection state of one peer."""

    def __init__(self, client: PeerClient, member: Member) -> None:
        self.open_calls = 0
        self._client = client
        self._member = member
        self._connection: _Connection | None = None
        self._connecting: asyncio.Task | None = None
        self._failures = 0
        self._retry_at_s = 0.0

    def is_unused(self) -> bool:
        # A peer is kept until its back-off has ended; without that state the
        # next call would connect too early.
        return (
            not self.open_calls
            and self._connecting is None
            and (self._connection is None or self._connection.closed)
            and _now_s() > self._retry_at_s + _BACKOFF_MAX_S
        )

    async def call(self, frame: Frame) -> Frame:
        connection = await self._connect()
        reply = await connection.call(frame)
        self._failures = 0
        return reply

    async def close(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.abandon('client closed')

    def connection_lost(self) -> None:
        self._back_off()

    async def _connect(self) -> _Connection:
        if self._connection is not None and not self._connection.closed:
            return self._connection
        if self._connecting is None:
            if _now_s() < self._retry_at_s:
                raise PeerUnavailableError(
                    f'{self._member.incarnation_id} could not be reached; '
                    'waiting before the next connection attempt'
                )
            self._connecting = asyncio.create_task(self._open())
            self._connecting.add_done_callback(_retrieve_exception)
        # Several calls wait for the same attempt to connect; cancelling one of
        # them must not cancel the attempt.
        return await asyncio.shield(self._connecting)

    async def _open(self) -> _Connection:
        try:
            async with asyncio.timeout(self._client._connect_timeout_s):
                reader, writer = await asyncio.open_connection(
                    self._member.host, self._member.port
                )
        except (OSError, TimeoutError) as error:
            self._back_off()
            raise PeerUnavailableError(
                f'no connection to {self._member.incarnation_id}: '
                f'{type(error).__name__}'
            ) from error
        finally:
            self._connecting = None
        self._connection = _Connection(self, self._client, reader, writer)
        return self._connection

    def _back_off(self) -> None:
        delay_s = min(_BACKOFF_MAX_S, _BACKOFF_MIN_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._retry_at_s = _now_s() + delay_s * self._client._rng.uniform(
            0.5, 1
        )


class _Connection:
    """One TCP connection, its open calls and its heartbeats."""

    def __init__(
        self,
        peer: _Peer,
        client: PeerClient,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.closed = False
        self._peer = peer
        self._client = client
        self._reader = reader
        self._writer = writer
        self._call_ids = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Frame]] = {}
        self._last_received_s = self._last_used_s = _now_s()
        self._heartbeat_sent_s: float | None = None
        self._tasks = [
            asyncio.create_task(self._read()),
            asyncio.create_task(self._watch()),
        ]

    async def call(self, frame: Frame) -> Frame:
        call_id = next(self._call_ids)
        data = encode_frame(
            Frame(**{**vars(frame), 'call_id': call_id, 'is_reply': False})
        )
        if not self._waiting:
            # Idle time before this call must not count as silence.
            self._last_received_s = max(self._last_received_s, _now_s())
        future = asyncio.get_running_loop().create_future()
        self._waiting[call_id] = future
        self._last_used_s = _now_s()
        try:
            self._writer.write(data)
            await self._writer.drain()
            return await future
        except OSError as error:
            self.abandon('connection lost')
            raise PeerUnavailableError('connection lost') from error
        finally:
            self._waiting.pop(call_id, None)
            if future.done() and not future.cancelled():
                # When `drain` raised first, no caller awaits the future;
                # asyncio would log an exception that was never retrieved.
                future.exception()

    def abandon(self, reason: str) -> None:
        if self.closed:
            return
        self.closed = True
        self._writer.transport.abort()
        for task in self._tasks:
            task.cancel()
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(PeerUnavailableError(reason))

    async def _read(self) -> None:
        reason = 'connection lost'
        try:
            while True:
                # The body is read in parts, because each part of a long
                # reply also shows that the connection works.
                size = frame_size(await self._read_bytes(LENGTH_BYTES))
                reply = decode_frame(await self._read_bytes(size))
                if not reply.is_reply:
                    raise ProtocolError(
                        'received a call on an outgoing connection'
                    )
                self._heartbeat_sent_s = None
                future = self._waiting.get(reply.call_id)
                if future is not None and not future.done():
                    future.set_result(reply)
        except ProtocolError as error:
            reason = f'peer sent a malformed frame: {error}'
        except (OSError, EOFError):
            pass
        self._peer.connection_lost()
        self.abandon(reason)

    async def _read_bytes(self, size: int) -> bytes:
        data = bytearray()
        while len(data) < size:
            chunk = await self._reader.read(size - len(data))
            if not chunk:
                raise EOFError
            self._last_received_s = _now_s()
            data += chunk
        return bytes(data)

    async def _watch(self) -> None:
        """Send heartbeats; abort a silent or unused connection."""
        client = self._client
        period_s = min(client._heartbeat_s, client._silence_s) / 4
        while True:
            slept_from_s = _now_s()
            await asyncio.sleep(period_s)
            now_s = _now_s()
            if now_s - slept_from_s > client._silence_s / 2:
                # This process was suspended; replies may be waiting in the
                # socket's buffer.
                self._last_received_s = now_s
            expecting = self._waiting or self._heartbeat_sent_s is not None
            silent_s = now_s - self._last_received_s
            if expecting and silent_s > client._silence_s:
                self._peer.connection_lost()
                self.abandon('no bytes from the peer')
                return
            if (
                not self._waiting
                and now_s - self._last_used_s > client._idle_s
            ):
                self.abandon('unused')
                return
            if self._heartbeat_sent_s is None and (
                silent_s >= client._heartbeat_s
            ):
                self._send_heartbeat(now_s)

    def _send_heartbeat(self, now_s: float) -> None:
        if not self._waiting:
            self._last_received_s = now_s
        self._heartbeat_sent_s = now_s
        self._writer.write(
            encode_frame(
                Frame(
                    call_id=0,
                    is_reply=False,
                    heartbeat=Heartbeat(nonce=next(self._call_ids)),
                )
            )
        )


def _retrieve_exception(task: asyncio.Task) -> None:
    # All calls that waited for the connection may have timed out; asyncio
    # would log an exception that was never retrieved.
    if not task.cancelled():
        task.exception()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
