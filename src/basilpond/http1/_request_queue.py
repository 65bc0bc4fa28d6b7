"""Requests of one connection, which are handled one after the other."""

from __future__ import annotations

import asyncio
from typing import Protocol

from . import _request_memory
from ._messages import CallerRequest
from ._responder import Handler
from ._responder import Responder
from ._responder import ResponseConnection

# Requests kept behind the one in progress; reading pauses then. Clients that
# send ahead at all send a few requests.
MAX_QUEUED_REQUESTS = 16


class RequestOwner(ResponseConnection, Protocol):
    """Connection whose requests are handled."""

    @property
    def handler(self) -> Handler:
        """Called with each request."""

    def update_account(self) -> bool:
        """Record what is held; return whether it may be."""

    def on_response_end(self) -> None:
        """Handle the end of a request."""


class RequestQueue:
    """The request in progress, and those received behind it.

    Parameters
    ----------
    owner : RequestOwner

    Attributes
    ----------
    waiting : list of CallerRequest
    is_starting : bool
        Whether a request is about to be passed to the handler.
    """

    __slots__ = (
        '_loop',
        '_owner',
        '_request',
        '_running_bytes',
        '_task',
        '_waiting_bytes',
        'is_starting',
        'waiting',
    )

    def __init__(self, owner: RequestOwner) -> None:
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        # The one in progress.
        self._request: CallerRequest | None = None
        self.waiting: list[CallerRequest] = []
        self._waiting_bytes = 0
        self._running_bytes = 0
        self.is_starting = False

    @property
    def is_running(self) -> bool:
        """Whether a request is in progress."""
        return self._task is not None

    @property
    def is_full(self) -> bool:
        """Whether no further request is read."""
        return len(self.waiting) >= MAX_QUEUED_REQUESTS

    @property
    def held_bytes(self) -> int:
        """Memory of all requests."""
        return self._waiting_bytes + self._running_bytes

    @property
    def unanswered(self) -> list[CallerRequest]:
        """Requests without a complete response."""
        if self._request is None:
            return list(self.waiting)
        return [self._request, *self.waiting]

    def add(self, request: CallerRequest) -> bool:
        """Handle a request now or later; return False without memory."""
        if self._task is None:
            return self._start(request)
        self.waiting.append(request)
        self._waiting_bytes += _request_memory.waiting_bytes(request)
        return True

    def start_next(self) -> bool:
        """Handle the next request, if any; return False without memory."""
        if not self.waiting:
            return True
        request = self.waiting.pop(0)
        self._waiting_bytes -= _request_memory.waiting_bytes(request)
        return self._start(request)

    def drop_waiting(self) -> None:
        """Forget the requests that were not passed on to the handler."""
        self.waiting.clear()
        self._waiting_bytes = 0

    def cancel(self) -> None:
        """Cancel the request in progress."""
        if self._task is not None:
            self._task.cancel()

    def _start(self, request: CallerRequest) -> bool:
        self._running_bytes = _request_memory.running_bytes(request)
        # The account may choose this connection to free memory, whose
        # refusal would take the place of the response to this request.
        self.is_starting = True
        allowed = self._owner.update_account()
        self.is_starting = False
        if not allowed:
            # It was not passed on to the handler.
            self._running_bytes = 0
            return False
        self._request = request
        self._task = self._loop.create_task(self._run(request))
        return True

    async def _run(self, request: CallerRequest) -> None:
        responder = Responder(self._owner)
        try:
            await self._owner.handler(request, responder)
        finally:
            self._task = None
            if not responder.ended:
                self._owner.abort('handler ended without a response')
            elif not responder.cut:
                self._request = None
        self._running_bytes = 0
        self._owner.on_response_end()
