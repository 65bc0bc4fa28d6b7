"""Processing of what endpoints say of themselves in their responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time

from ..http1 import ResponseHead
from ..routing import MAX_QUIET_S
from ..routing import QuietEndpoints
from ._decision_log import DecisionLog
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._interfaces import PlatformCodec
from ._interfaces import ResponseResult

# Fields with undefined values that are logged once each; beyond it, they are
# logged again.
_MAX_LOGGED = 1024
_UNAVAILABLE = 503


class SignalRecorder:
    """Records what endpoints say of themselves.

    Parameters
    ----------
    codec : PlatformCodec
    directory : EndpointDirectory
    quiet : QuietEndpoints
    decisions : DecisionLog
    on_return : callable
        Called with the service of an endpoint that may get requests again.
    """

    def __init__(
        self,
        codec: PlatformCodec,
        directory: EndpointDirectory,
        quiet: QuietEndpoints,
        decisions: DecisionLog,
        on_return: Callable[[str], None],
    ) -> None:
        self._codec = codec
        self._directory = directory
        self._quiet = quiet
        self._on_return = on_return
        # Called with the time for which an endpoint says that it is cold.
        self.on_cold: Callable[[EndpointEntry, float | None], None] = (
            lambda entry, cold_s: None
        )
        # Called with the rejections a second that an endpoint survives,
        # whether it rejected this request, and when that was sent.
        self.on_brittle: Callable[
            [EndpointEntry, int | None, bool, float], None
        ] = lambda entry, survived, rejected, sent_s: None
        self._decisions = decisions
        self._logged: set[tuple[int, str]] = set()

    def record(
        self, entry: EndpointEntry, head: ResponseHead, sent_s: float
    ) -> None:
        """Record what a response of an endpoint says.

        Parameters
        ----------
        entry : EndpointEntry
        head : ResponseHead
            Of a response that belongs to the endpoint.
        sent_s : float
            When the request was sent.
        """
        signals = self._codec.endpoint_signals(head, time.time())
        for problem in signals.problems:
            self._log_problem(entry, problem)
        if signals.leaving:
            self._directory.mark_told_leaving(entry)
        self.on_cold(entry, signals.cold_s)
        self.on_brittle(
            entry,
            signals.survived_rejections,
            head.status == _UNAVAILABLE
            and self._codec.classify_response(head) is ResponseResult.NOT_RUN,
            sent_s,
        )
        if signals.quiet_s:
            self._record_refusal(entry, signals.quiet_s)
        elif self._quiet.record_response(
            entry.incarnation_number, sent_s=sent_s
        ):
            self._decisions.event(
                'endpoint_quiet_ended', endpoint=entry.endpoint.id
            )
            self._on_return(entry.endpoint.service)

    def _record_refusal(self, entry: EndpointEntry, asked_s: float) -> None:
        notable = self._quiet.record_refusal(
            entry.incarnation_number,
            asked_s,
            now_s=asyncio.get_running_loop().time(),
        )
        if notable:
            self._decisions.event(
                'endpoint_quiet',
                endpoint=entry.endpoint.id,
                service=entry.endpoint.service,
                asked_s=asked_s,
                bound_s=MAX_QUIET_S,
                in_flight=len(entry.load.in_flight),
            )

    def _log_problem(self, entry: EndpointEntry, problem: str) -> None:
        key = entry.incarnation_number, problem.partition(':')[0]
        if key in self._logged:
            return
        if len(self._logged) >= _MAX_LOGGED:
            self._logged.clear()
        self._logged.add(key)
        self._decisions.event(
            'endpoint_field_ignored',
            endpoint=entry.endpoint.id,
            reason=problem,
        )
