"""Confirmation that an endpoint whose requests broke has crashed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..http1 import ExchangeError
from ..routing import CrashEvidence
from ..routing import CrashingParts
from ._crash_records import MAX_PARTS
from ._decision_log import DecisionLog
from ._directory import EndpointEntry
from .relay import EndpointConnections

# Longest time for which the retry of a broken request waits for the
# confirmation: a refused connection takes one round trip, and the connection
# to another endpoint has to stay open for 0.05 s.
_MAX_WAIT_S = 0.1


class CrashWatch:
    """Turns broken requests into evidence on their prompt parts.

    A connection that breaks may have been reset by an endpoint that goes on
    working. Only if the endpoint then refuses a connection, while another one
    accepts one, did its process end; an endpoint that cannot be reached proves
    nothing.

    Parameters
    ----------
    parts : CrashingParts
    connections : EndpointConnections
    decisions : DecisionLog
    announce : callable
        Called when other routers have to learn something.
    """

    def __init__(
        self,
        parts: CrashingParts,
        connections: EndpointConnections,
        decisions: DecisionLog,
        announce: Callable[[], None],
    ) -> None:
        self._parts = parts
        self._connections = connections
        self._decisions = decisions
        self._announce = announce
        self._checks: dict[EndpointEntry, asyncio.Task[None]] = {}
        # Keys of the parts, times of the send and of the break.
        self._broken: dict[
            EndpointEntry, list[tuple[tuple[int, ...], float, float]]
        ] = {}

    async def record_broken(
        self, entry: EndpointEntry, keys: tuple[int, ...], sent_s: float
    ) -> None:
        """Record a request that broke before its response began.

        Returns once it is known whether the endpoint crashed, or after a
        short time.

        Parameters
        ----------
        entry : EndpointEntry
        keys : tuple of int
            Keys of the prompt parts.
        sent_s : float
            When the request was sent.
        """
        now_s = asyncio.get_running_loop().time()
        broken = self._broken.setdefault(entry, [])
        broken.append((keys[-MAX_PARTS:], sent_s, now_s))
        check = self._checks.get(entry)
        if check is None:
            check = asyncio.create_task(self._check(entry))
            self._checks[entry] = check
        await asyncio.wait([check], timeout=_MAX_WAIT_S)

    def record_begun(self, keys: tuple[int, ...]) -> None:
        """Record that a response to a prompt has begun."""
        self._parts.record_begun(keys, asyncio.get_running_loop().time())
        if self._parts.has_news:
            self._announce()

    async def _check(self, entry: EndpointEntry) -> None:
        reason = ''
        crashed = False
        try:
            connection = await entry.pool.connect()
        except ExchangeError as error:
            reason = str(error)
            crashed = (
                not error.timed_out
                and await self._connections.reaches_another(entry)
            )
        else:
            entry.pool.add_idle(connection)
        del self._checks[entry]
        broken = self._broken.pop(entry)
        now_s = asyncio.get_running_loop().time()
        self._decisions.event(
            'endpoint_crashed' if crashed else 'endpoint_not_crashed',
            endpoint=entry.endpoint.id,
            broken=len(broken),
            reason=reason or None,
        )
        if not crashed:
            return
        for keys, sent_s, broken_s in broken:
            evidence = CrashEvidence(
                entry.incarnation_number, keys, sent_s, broken_s
            )
            self._parts.add(evidence, now_s)
        self._announce()
