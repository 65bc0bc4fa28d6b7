"""Load client of the relay benchmark, a process of its own.

Reads a `Load` as JSON from standard input and writes a `Result` as
MessagePack to standard output. It parses no frames: an aiohttp client would
take as much processor time per token as the relay that it measures.
"""

from __future__ import annotations

import asyncio
import collections
import sys

import msgspec

_TOKEN = b'"delta":{"content":"'
_STATUS = b'HTTP/1.1 200'
_END = b'\r\n0\r\n\r\n'


class Load(msgspec.Struct):
    """What to send.

    Parameters
    ----------
    addresses : list
        Host and port of each target, used in turn.
    authorization : str
    model : str
    requests_per_s : float
    max_streams : int
        No request starts while as many are open.
    tokens : int
        Length of each answer.
    warm_up_s, measure_s : float
        Only the time after the warm-up counts.
    """

    addresses: list[tuple[str, int]]
    authorization: str
    model: str
    requests_per_s: float
    max_streams: int
    tokens: int
    warm_up_s: float
    measure_s: float
    name: str


class Result(msgspec.Struct):
    """What came back while it counted; delays in seconds."""

    tokens: int = 0
    started: int = 0
    finished: int = 0
    errors: int = 0
    first_token_s: list[float] = []
    gaps_s: list[float] = []


class _Stream(asyncio.Protocol):
    """One connection; runs one request after the other."""

    def __init__(self, client: _Client, address: tuple[str, int]) -> None:
        self._client = client
        self._address = address
        self._transport: asyncio.Transport | None = None
        self._tail = b''
        self._sent_s = 0.0
        self._last_s = 0.0
        self._busy = False
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def send(self, request: bytes, now_s: float) -> None:
        self._tail = b''
        self._busy = True
        self._answered = False
        self._sent_s = now_s
        self._last_s = 0.0
        self._transport.write(request)

    def data_received(self, data: bytes) -> None:
        client = self._client
        now_s = client.loop.time()
        if not self._answered:
            self._answered = True
            if not data.startswith(_STATUS):
                # connection_lost counts the error.
                self._transport.abort()
                return
        joined = self._tail + data
        tokens = joined.count(_TOKEN)
        self._tail = joined[-len(_TOKEN) + 1 :]
        if tokens:
            client.count(tokens, now_s, self._sent_s, self._last_s)
            self._last_s = now_s
        if joined.endswith(_END):
            self._busy = False
            client.finish(self, self._address, bool(self._last_s))

    def connection_lost(self, error: Exception | None) -> None:
        if self._busy:
            self._client.fail()
        else:
            self._client.forget(self, self._address)


class _Client:
    def __init__(self, load: Load) -> None:
        self._load = load
        self._idle = collections.defaultdict(list)
        self._open = 0
        self.result = Result()
        self.loop = asyncio.get_running_loop()
        self._from_s = self.loop.time() + load.warm_up_s
        self._until_s = self._from_s + load.measure_s
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> Result:
        load = self._load
        start_s = self.loop.time()
        number = 0
        while self.loop.time() < self._until_s:
            number += 1
            due_s = start_s + number / load.requests_per_s
            await asyncio.sleep(max(0, due_s - self.loop.time()))
            if self._open < load.max_streams:
                self._open += 1
                address = load.addresses[number % len(load.addresses)]
                task = self.loop.create_task(self._start(address, number))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        return self.result

    async def _start(self, address: tuple[str, int], number: int) -> None:
        idle = self._idle[address]
        if idle:
            stream = idle.pop()
        else:
            try:
                _, stream = await self.loop.create_connection(
                    lambda: _Stream(self, address), *address
                )
            except OSError:
                self.fail()
                return
        now_s = self.loop.time()
        if self._counts(now_s):
            self.result.started += 1
        stream.send(self._request(number), now_s)

    def _request(self, number: int) -> bytes:
        load = self._load
        content = f'{load.name} {number} [{load.tokens} tokens]'
        body = msgspec.json.encode(
            {
                'model': load.model,
                'messages': [{'role': 'user', 'content': content}],
                'stream': True,
                'max_tokens': load.tokens,
                'stream_options': {'include_usage': True},
            }
        )
        head = (
            'POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n'
            f'Authorization: {load.authorization}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        return head.encode() + body

    def _counts(self, now_s: float) -> bool:
        return self._from_s <= now_s < self._until_s

    def count(
        self, tokens: int, now_s: float, sent_s: float, last_s: float
    ) -> None:
        if not self._counts(now_s):
            return
        result = self.result
        result.tokens += tokens
        if last_s:
            result.gaps_s.append(now_s - last_s)
        else:
            result.first_token_s.append(now_s - sent_s)
        if tokens > 1:
            # Tokens that arrive together have no gap between them.
            result.gaps_s += [0.0] * (tokens - 1)

    def finish(
        self, stream: _Stream, address: tuple[str, int], whole: bool
    ) -> None:
        self._open -= 1
        self._idle[address].append(stream)
        if not whole:
            self.result.errors += 1
        elif self._counts(self.loop.time()):
            self.result.finished += 1

    def fail(self) -> None:
        self._open -= 1
        self.result.errors += 1

    def forget(self, stream: _Stream, address: tuple[str, int]) -> None:
        if stream in self._idle[address]:
            self._idle[address].remove(stream)


async def _run(load: Load) -> Result:
    return await _Client(load).run()


def main() -> None:
    """Run the load that standard input describes."""
    load = msgspec.json.decode(sys.stdin.buffer.read(), type=Load)
    result = asyncio.run(_run(load))
    sys.stdout.buffer.write(msgspec.msgpack.encode(result))


if __name__ == '__main__':
    main()
