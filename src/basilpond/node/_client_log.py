"""Bounded log lines on clients that meet a limit."""

from __future__ import annotations

import asyncio

from ._decision_log import DecisionLog
from ._metrics import NodeMetrics

# Interval in which one line is written for each limit. A crowd meets a limit
# thousands of times a second, and its lines would displace all others.
LINE_INTERVAL_S = 1.0


class ClientLog:
    """Counts clients that meet a limit, and names one of them in the log.

    Parameters
    ----------
    metrics : NodeMetrics
    decisions : DecisionLog
    """

    def __init__(self, metrics: NodeMetrics, decisions: DecisionLog) -> None:
        self._metrics = metrics
        self._decisions = decisions
        # By limit: time from which a line may be written, and clients since.
        self._next_line_s: dict[str, float] = {}
        self._unwritten: dict[str, int] = {}

    def record_limited(self, way: str, address: str) -> None:
        """Record a client that met a limit.

        Parameters
        ----------
        way : str
            One of a fixed set of names.
        address : str
        """
        self._metrics.count_limited_client(way)
        self._write('client_limited', way, address=address)

    def record_malformed(self, status: int, reason: str) -> None:
        """Record a request that was refused while it was read."""
        self._write('request_malformed', status, status=status, reason=reason)

    def _write(self, event: str, kind: object, **fields: object) -> None:
        key = f'{event} {kind}'
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_line_s.get(key, 0.0):
            self._unwritten[key] = self._unwritten.get(key, 0) + 1
            return
        self._next_line_s[key] = now_s + LINE_INTERVAL_S
        if event == 'client_limited':
            fields['way'] = kind
        self._decisions.event(
            event, **fields, not_written=self._unwritten.pop(key, None)
        )
