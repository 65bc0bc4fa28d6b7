"""Reading of requests, which pauses while others come first."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ._read_throttle import ReadThrottle
from ._request_reader import RequestListener
from ._request_reader import RequestReader


class InputOwner(RequestListener, Protocol):
    """Connection whose input is parsed."""

    @property
    def is_open(self) -> bool:
        """Whether the connection has not ended on either side."""

    def may_read(self) -> bool:
        """Whether further requests are read now."""

    def pause_reading(self) -> None:
        """Leave what arrives in the kernel."""

    def resume_reading(self) -> None:
        """Read again."""

    def on_paused(self) -> None:
        """Handle the beginning of a pause."""

    def on_continued(self) -> None:
        """Handle the end of a pause, before the rest is parsed."""

    def on_rejected(self) -> None:
        """Handle a rejection by the reader."""

    def on_read(self) -> None:
        """Handle the end of a read."""


class RequestInput:
    """Input of one connection.

    Parameters
    ----------
    owner : InputOwner
    throttle : ReadThrottle

    Attributes
    ----------
    reader : RequestReader
    pending : bytes
        Input that is parsed later, while reading is paused.
    """

    __slots__ = (
        '_is_throttled',
        '_loop',
        '_owner',
        '_paused_s',
        '_throttle',
        'pending',
        'reader',
    )

    def __init__(self, owner: InputOwner, throttle: ReadThrottle) -> None:
        self._owner = owner
        self._throttle = throttle
        self._loop = asyncio.get_running_loop()
        self.reader = RequestReader(owner)
        self.pending = b''
        self._is_throttled = False
        self._paused_s = 0.0

    def receive(self, data: bytes | memoryview) -> None:
        """Parse what was read."""
        self.reader.start_read()
        self._feed(memoryview(data))

    def resume(self) -> None:
        """Parse what is pending if nothing comes before it."""
        if (
            not self.pending
            or self._is_throttled
            or not self._owner.may_read()
        ):
            return
        rest, self.pending = self.pending, b''
        if not self._owner.is_open:
            return
        self.reader.continue_read(self._loop.time() - self._paused_s)
        self._owner.on_continued()
        self._feed(memoryview(rest))
        if not self.pending:
            self._owner.resume_reading()

    def _feed(self, view: memoryview) -> None:
        reader = self.reader
        reader.record_progress()
        while view and reader.accepts_input:
            if reader.is_costly or not self._owner.may_read():
                self._suspend(bytes(view))
                break
            view = reader.feed(view)
            if reader.rejection is not None:
                self._owner.on_rejected()
        self._owner.on_read()

    def _suspend(self, rest: bytes) -> None:
        self.pending = rest
        self._paused_s = self._loop.time()
        self._owner.pause_reading()
        self._owner.on_paused()
        if self.reader.is_costly:
            self._is_throttled = True
            self._throttle.wait(self._end_throttle)

    def _end_throttle(self) -> None:
        self._is_throttled = False
        self.resume()
