"""Structured lines on standard output that never block the router."""

from __future__ import annotations

import os
import queue
import threading
import time
from typing import Any

import msgspec

# Lines a second. Failures and changes of belief have a share that ordinary
# successes cannot use up.
LINES_PER_S = 400
_ROUTINE_LINES_PER_S = 150
# Batches that wait for a slow reader of standard output.
_MAX_BATCHES = 64
_FLUSH_LINES = 32


class DecisionLog:
    """Writer of one JSON object a decision.

    Lines are gathered by the caller's thread and written by another one. A
    second's lines beyond the bound, and batches that standard output does
    not take, are dropped and counted in the next line written.

    Parameters
    ----------
    node_id : str
    fd : int
        Descriptor to write to.
    """

    def __init__(self, node_id: str, fd: int = 1) -> None:
        self._node_id = node_id
        self._fd = fd
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._lines: list[bytes] = []
        self._queue: queue.Queue[bytes | None] = queue.Queue(_MAX_BATCHES)
        self._second = 0
        self._written = 0
        self._routine = 0
        self._dropped = 0
        self.dropped_total = 0
        self._thread = threading.Thread(
            target=self._write_batches, name='decision-log', daemon=True
        )
        self._thread.start()

    def event(
        self, name: str, *, routine: bool = False, **fields: Any
    ) -> None:
        """Write a decision.

        Parameters
        ----------
        name : str
        routine : bool
            Whether the line may be dropped before others.
        **fields
            Inputs and outcome; those that are None are left out.
        """
        now_s = time.time()
        if int(now_s) != self._second:
            self._start_second(int(now_s))
        if self._written >= LINES_PER_S or (
            routine and self._routine >= _ROUTINE_LINES_PER_S
        ):
            self._dropped += 1
            self.dropped_total += 1
            return
        self._written += 1
        self._routine += routine
        line = {'t': round(now_s, 4), 'node': self._node_id, 'event': name}
        for field, value in fields.items():
            if isinstance(value, bytes):
                line[field] = value.decode('latin-1')
            elif value is not None:
                line[field] = value
        self._lines.append(self._encoder.encode(line))
        if len(self._lines) >= _FLUSH_LINES or not routine:
            self.flush()

    def flush(self) -> None:
        """Hand the gathered lines to the writing thread."""
        if not self._lines:
            return
        batch = b'\n'.join(self._lines) + b'\n'
        try:
            self._queue.put_nowait(batch)
        except queue.Full:
            self._dropped += len(self._lines)
            self.dropped_total += len(self._lines)
        self._lines.clear()

    def close(self, timeout_s: float = 0.5) -> None:
        """Write what is left."""
        self.flush()
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def _start_second(self, second: int) -> None:
        self._second = second
        self._written = 0
        self._routine = 0
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self.event('log_lines_dropped', lines=dropped)

    def _write_batches(self) -> None:
        while (batch := self._queue.get()) is not None:
            try:
                while batch:
                    batch = batch[os.write(self._fd, batch) :]
            except OSError:
                # Nobody reads; the router goes on without its log.
                continue
