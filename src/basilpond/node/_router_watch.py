"""Samples of the event loop's lag and of the bytes that wait on the link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Protocol

from ..routing.capacity import SAMPLE_INTERVAL_S
from ..routing.capacity import RouterLoad
from ._decision_log import DecisionLog

# Time after which the bytes of a connection count only as far as they move:
# peers that do not read, or that a partition has cut off, use no link. Lost
# segments are sent again after 0.2 s.
_FRESH_S = 0.5
# Largest number of bytes of a connection that count during this time: two
# bodies of the largest prompts.
_MAX_FRESH_BYTES = 150_000
# Shortest interval of measurements. One of 300 connections on loopback took
# 0.16 ms.
_CONFIRM_INTERVAL_S = 0.005
# Time over which a connection counts with what it has lately sent. Requests
# wait for the link no longer than this.
_HORIZON_S = 1.0


class SendingConnection(Protocol):
    """Connection whose sent bytes may wait.

    Attributes
    ----------
    sent_bytes : int
        Bytes written so far.
    unsent_bytes : int
        Bytes that the network has not taken.
    """

    sent_bytes: int

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the network has not taken."""


class LinkMeter:
    """Sums up the bytes of connections that wait for the router's own link.

    Parameters
    ----------
    connections : callable
        Returns the connections with a request or response in progress.
    """

    __slots__ = ('_connections', '_waiting')

    def __init__(
        self, connections: Callable[[], Iterable[SendingConnection]]
    ) -> None:
        self._connections = connections
        # Since when bytes of a connection wait, and the bytes that the
        # network had taken then.
        self._waiting: dict[SendingConnection, tuple[float, int]] = {}

    def waiting_bytes(self, now_s: float) -> float:
        """Return the bytes that wait."""
        waiting: dict[SendingConnection, tuple[float, int]] = {}
        total_bytes = 0.0
        for connection in self._connections():
            unsent_bytes = connection.unsent_bytes
            if not unsent_bytes:
                continue
            taken_bytes = connection.sent_bytes - unsent_bytes
            since_s, before_bytes = waiting[connection] = self._waiting.get(
                connection, (now_s, taken_bytes)
            )
            age_s = now_s - since_s
            limit_bytes: float = _MAX_FRESH_BYTES
            if age_s >= _FRESH_S:
                moved_bytes = max(0, taken_bytes - before_bytes)
                limit_bytes = moved_bytes / age_s * _HORIZON_S
            total_bytes += min(unsent_bytes, limit_bytes)
        self._waiting = waiting
        return total_bytes


class RouterWatch:
    """Task that samples the load of the router.

    Parameters
    ----------
    load : RouterLoad
    meter : LinkMeter
    link_bytes_per_s : float
        Bandwidth of the link; infinite if unknown, so that only the lag of
        the event loop counts.
    decisions : DecisionLog
    """

    def __init__(
        self,
        load: RouterLoad,
        meter: LinkMeter,
        link_bytes_per_s: float,
        decisions: DecisionLog,
    ) -> None:
        self._load = load
        self._meter = meter
        self._link_bytes_per_s = link_bytes_per_s
        self._decisions = decisions
        self._full_since_s: float | None = None
        self._measured_s = -math.inf
        # Returns the bytes that the process has received.
        self.received_bytes: Callable[[], int] = lambda: 0
        # Called after each sample.
        self.on_sample: Callable[[float], object] = lambda now_s: None

    async def run(self) -> None:
        """Sample until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now_s = loop.time()
            self._load.record_lag(now_s - due_s, now_s)
            self._measure_link(now_s)
            self._load.incoming.record_received(self.received_bytes(), now_s)
            self._log_change(now_s)
            self.on_sample(now_s)

    def confirm_link(self, now_s: float) -> None:
        """Measure the link again if bytes seem to wait on it.

        What was sent since the last sample may have left already: the link
        may carry more for a short time than its bandwidth says.
        """
        if (
            now_s - self._measured_s >= _CONFIRM_INTERVAL_S
            and not self._load.has_room(now_s)
        ):
            self._measure_link(now_s)

    def _measure_link(self, now_s: float) -> None:
        if math.isinf(self._link_bytes_per_s):
            return
        self._measured_s = now_s
        self._load.record_link(
            self._meter.waiting_bytes(now_s), self._link_bytes_per_s, now_s
        )

    def _log_change(self, now_s: float) -> None:
        is_full = self._load.is_full(now_s)
        if is_full == (self._full_since_s is not None):
            return
        if self._full_since_s is None:
            self._full_since_s = now_s
            self._decisions.event(
                'router_full',
                reason=self._load.full_reason,
                delay_s=round(self._load.delay_s(now_s), 4),
                lag_s=round(self._load.lag_s(now_s), 4),
                link_wait_s=round(self._load.link_wait_s(now_s), 4),
                held=len(self._load.held),
                held_bytes=self._load.held.total_bytes,
            )
        else:
            for_s, self._full_since_s = now_s - self._full_since_s, None
            self._decisions.event('router_not_full', for_s=round(for_s, 3))
