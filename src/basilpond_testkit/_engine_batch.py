"""Prompt cache and continuous batching of the engine stand-in."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import heapq
import itertools
import random
from typing import Any

from . import _program
from ._engine_messages import EngineSettings
from ._engine_messages import RunRecord


class PrefixCache:
    """Least recently used prompt blocks in limited memory.

    Parameters
    ----------
    settings : EngineSettings
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[int, str, bool]] = (
            collections.deque(maxlen=10_000)
        )
        self._next = 0
        self._losses = random.Random(1)

    def __len__(self) -> int:
        return len(self._blocks)

    def use(self, digests: list[str]) -> int:
        """Store a prompt's blocks; return how many were missing."""
        blocks = self._blocks
        cached = 0
        for digest in digests:
            if digest not in blocks:
                break
            cached += 1
        for digest in digests:
            if digest in blocks:
                blocks.move_to_end(digest)
            else:
                blocks[digest] = None
                self._report(digest, True)
        while len(blocks) > self._settings.cache_blocks:
            digest, _ = blocks.popitem(last=False)
            self._report(digest, False)
        return len(digests) - cached

    def clear(self) -> None:
        """Forget everything, as a restart does."""
        self._blocks.clear()

    def _report(self, digest: str, stored: bool) -> None:
        if self._losses.random() < self._settings.cache_event_loss_share:
            return
        asyncio.get_running_loop().call_later(
            self._settings.cache_event_lag_ms / 1000,
            self._publish,
            digest,
            stored,
        )

    def _publish(self, digest: str, stored: bool) -> None:
        self._next += 1
        self._events.append((self._next, digest, stored))

    def events_after(self, number: int) -> dict[str, Any]:
        """Return the reported events after a number."""
        return {
            'next': self._next,
            'events': [
                {'prefix_digest': digest, 'stored': stored}
                for event, digest, stored in self._events
                if event > number
            ],
        }


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request in the batch or its queue.

    `write` takes the bytes of one step; `ended` is done when the run has
    finished, and cancelled when it crashed.
    """

    record: RunRecord
    first_token_s: float
    steps: Iterator[bytes]
    write: Callable[[bytes], None] | None
    ended: asyncio.Future[None]
    protocol: asyncio.Protocol | None = None
    words: int = 0
    every_steps: int = 1
    ready_s: float = 0.0
    silent: bool = False


class Batch:
    """Continuous batching: one timer emits a token of each running request.

    Parameters
    ----------
    settings : EngineSettings
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._groups: list[list[Run]] = [
            [] for _ in range(settings.step_groups)
        ]
        self._waiting: list[tuple[int, int, Run]] = []
        self._order = itertools.count()
        self._tick = 0
        self._next_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        """Number of running requests."""
        return sum(map(len, self._groups))

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def full(self) -> bool:
        """Return whether a new request has no place."""
        return (
            self.running >= self._settings.batch_size
            and self.waiting >= self._settings.queue_size
        )

    def add(self, run: Run) -> None:
        """Queue a request by priority, then arrival."""
        entry = (run.record.priority, next(self._order), run)
        heapq.heappush(self._waiting, entry)
        self._admit()

    def remove(self, run: Run) -> None:
        """Take out a request whose caller has gone."""
        for group in self._groups:
            if run in group:
                group.remove(run)
                self._admit()
                return
        self._waiting = [e for e in self._waiting if e[2] is not run]
        heapq.heapify(self._waiting)

    def clear(self) -> list[Run]:
        """Drop every request and return them."""
        runs = [run for group in self._groups for run in group]
        runs += [run for _, _, run in self._waiting]
        for group in self._groups:
            group.clear()
        self._waiting.clear()
        return runs

    def silence(self, protocols: set[asyncio.Protocol]) -> None:
        """Stop the output of the requests on some connections."""
        for group in self._groups:
            for run in group:
                run.silent = run.silent or run.protocol in protocols

    def _admit(self) -> None:
        loop = asyncio.get_running_loop()
        while self._waiting and self.running < self._settings.batch_size:
            _, _, run = heapq.heappop(self._waiting)
            run.record.state = 'running'
            run.record.started_ms = _program.now_ms()
            run.ready_s = loop.time() + run.first_token_s
            min(self._groups, key=len).append(run)
        if self._timer is None and self.running:
            self._next_s = loop.time()
            self._timer = loop.call_at(self._next_s, self._step)

    def _step(self) -> None:
        loop = asyncio.get_running_loop()
        settings = self._settings
        now_s = loop.time()
        self._tick += 1
        index = self._tick % settings.step_groups
        step = self._tick // settings.step_groups
        ended = []
        for run in self._groups[index]:
            if now_s < run.ready_s or run.silent:
                continue
            if run.every_steps > 1 and step % run.every_steps:
                continue
            chunk = next(run.steps, None)
            if chunk is None:
                ended.append(run)
                continue
            record = run.record
            if not record.tokens_sent:
                record.first_token_ms = _program.now_ms()
            if chunk and record.tokens_sent < run.words:
                record.tokens_sent += 1
            if run.write is not None and chunk:
                run.write(b'%x\r\n%b\r\n' % (len(chunk), chunk))
        for run in ended:
            self._groups[index].remove(run)
            run.record.state = 'finished'
            run.record.ended_ms = _program.now_ms()
            if not run.ended.done():
                run.ended.set_result(None)
        if ended:
            self._admit()
        period_s = settings.token_interval_ms / 1000 / settings.step_groups
        # A late step delays the following ones; it is not made up for.
        self._next_s = max(self._next_s + period_s, now_s)
        self._timer = (
            loop.call_at(self._next_s, self._step) if self.running else None
        )
