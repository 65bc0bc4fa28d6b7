"""Time limit on a response that another endpoint could provide."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..http1 import PeerConnection
from ..routing import event_gap_timeout_s
from ..routing import first_byte_timeout_s
from ._request_context import RequestContext


class ResponseTimer:
    """Time limit on a response that another endpoint could provide.

    Parameters
    ----------
    context : RequestContext
    forecast_s : float
        Expected time to the first byte.
    may_cancel : callable
        Returns whether the send may be cancelled to try another endpoint;
        asked again after the same time if not.
    """

    __slots__ = (
        '_connection',
        '_context',
        '_forecast_s',
        '_may_cancel',
        '_timer',
    )

    def __init__(
        self,
        context: RequestContext,
        forecast_s: float,
        may_cancel: Callable[[], bool],
    ) -> None:
        self._context = context
        self._forecast_s = forecast_s
        self._may_cancel = may_cancel
        self._connection: PeerConnection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, connection: PeerConnection) -> None:
        """Start the time limit on the first byte."""
        if not self._context.route.retriable:
            return
        self._connection = connection
        self._start_timer(
            first_byte_timeout_s(self._context.route, self._forecast_s)
        )

    def record_part(self) -> None:
        """Restart the time limit, for the next part of a stream."""
        if self._connection is not None:
            self.stop()
            self._start_timer(event_gap_timeout_s(self._context.route))

    def stop(self) -> None:
        """Stop the time limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._expire, delay_s)

    def _expire(self, delay_s: float) -> None:
        if self._connection is None:
            return
        if self._may_cancel():
            self._connection.cancel(f'no answer for {delay_s:.3f} s')
        else:
            self._start_timer(delay_s)
