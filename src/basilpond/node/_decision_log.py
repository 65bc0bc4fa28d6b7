"""Structured log lines on standard output that never block the router."""

from __future__ import annotations

import os
import signal
import threading
import time
from typing import Any

import msgspec

# Maximum number of lines per second. A part is reserved for failures and state
# changes, so that routine lines cannot use it up.
LINES_PER_S = 400
_ROUTINE_LINES_PER_S = 150
# Lines buffered for a slow reader of standard output: five full seconds.
_MAX_WAITING_LINES = 5 * LINES_PER_S
# Signals that the main thread blocks while the process ends. Another thread
# would receive them then.
_BLOCKED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
# Routine lines are written in batches of this size, to save wake-ups.
_FLUSH_LINES = 32


class DecisionLog:
    """Writer of one JSON object per decision.

    Lines are buffered by the caller's thread and written in batches by another
    thread. Lines beyond the limit per second, and lines for which the buffer
    has no room, are dropped and counted in the next line written.

    Parameters
    ----------
    node_id : str
    fd : int
        File descriptor to write to.
    """

    def __init__(self, node_id: str, fd: int = 1) -> None:
        self._node_id = node_id
        self._fd = fd
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._lines: list[bytes] = []
        self._ready = threading.Condition()
        self._write_requested = False
        self._closing = False
        self._second = 0
        self._written = 0
        self._routine = 0
        self._dropped = 0
        self.dropped_total = 0
        self._thread = threading.Thread(
            target=self._write_lines, name='decision-log', daemon=True
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
            Inputs and outcome; fields that are None are omitted.
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
        try:
            data = self._encoder.encode(line)
        except Exception:
            # A line must not end the task that writes it. The encoder has no
            # form for a lone surrogate, for example.
            data = self._encoder.encode(
                {name: ascii(value) for name, value in line.items()}
            )
        with self._ready:
            if len(self._lines) >= _MAX_WAITING_LINES:
                self._dropped += 1
                self.dropped_total += 1
                return
            self._lines.append(data)
            if len(self._lines) >= _FLUSH_LINES or not routine:
                self._notify_writer()

    def flush(self) -> None:
        """Let the writing thread write the buffered lines."""
        with self._ready:
            self._notify_writer()

    def close(self, timeout_s: float = 0.5) -> None:
        """Write the buffered lines and stop the writing thread."""
        with self._ready:
            self._closing = True
            self._notify_writer()
        self._thread.join(timeout_s)

    def _notify_writer(self) -> None:
        self._write_requested = True
        self._ready.notify()

    def _start_second(self, second: int) -> None:
        self._second = second
        self._written = 0
        self._routine = 0
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self.event('log_lines_dropped', lines=dropped)

    def _write_lines(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, _BLOCKED_SIGNALS)
        while True:
            with self._ready:
                self._ready.wait_for(
                    lambda: self._write_requested or self._closing
                )
                self._write_requested = False
                lines, self._lines = self._lines, []
                closing = self._closing
            if lines:
                self._write(b'\n'.join(lines) + b'\n')
            elif closing:
                return

    def _write(self, data: bytes) -> None:
        try:
            while data:
                data = data[os.write(self._fd, data) :]
        except OSError:
            # The reader closed the pipe; the router continues without its
            # log.
            return
