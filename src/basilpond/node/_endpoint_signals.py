"""Processing of what endpoints say of themselves in their responses."""

from __future__ import annotations

from ..http1 import ResponseHead
from ._decision_log import DecisionLog
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._interfaces import PlatformCodec

# Fields with undefined values that are logged once each; beyond it, they are
# logged again.
_MAX_LOGGED = 1024


class SignalRecorder:
    """Records what endpoints say of themselves.

    Parameters
    ----------
    codec : PlatformCodec
    directory : EndpointDirectory
    decisions : DecisionLog
    """

    def __init__(
        self,
        codec: PlatformCodec,
        directory: EndpointDirectory,
        decisions: DecisionLog,
    ) -> None:
        self._codec = codec
        self._directory = directory
        self._decisions = decisions
        self._logged: set[tuple[int, str]] = set()

    def record(self, entry: EndpointEntry, head: ResponseHead) -> None:
        """Record what a response of an endpoint says.

        Parameters
        ----------
        entry : EndpointEntry
        head : ResponseHead
            Of a response that belongs to the endpoint.
        """
        signals = self._codec.endpoint_signals(head)
        for problem in signals.problems:
            self._log_problem(entry, problem)
        if signals.leaving:
            self._directory.mark_told_leaving(entry)

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
