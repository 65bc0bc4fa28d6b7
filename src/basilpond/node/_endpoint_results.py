"""What responses and failed sends say about endpoints."""

from __future__ import annotations

import asyncio

from ..http1 import ResponseHead
from ..routing import EndpointLimits
from ..routing import Reachability
from ..routing import SendResult
from ._cold_endpoints import ColdEndpointWatch
from ._crash_log import CrashLog
from ._decision_log import DecisionLog
from ._directory import EndpointEntry
from ._endpoint_signals import SignalRecorder
from ._interfaces import PlatformCodec
from ._interfaces import ResponseResult
from ._peers import PeerTask
from ._request_context import RequestContext
from ._send_outcome import SendOutcome


class EndpointResults:
    """Records the results of sends for the choice of endpoints.

    Parameters
    ----------
    codec : PlatformCodec
    peers : PeerTask
    crashes : CrashLog
    limits : EndpointLimits
    signals : SignalRecorder
    reachability : Reachability
    cold : ColdEndpointWatch
    decisions : DecisionLog
    """

    __slots__ = (
        '_codec',
        '_cold',
        '_crashes',
        '_decisions',
        '_limits',
        '_peers',
        '_reachability',
        '_signals',
    )

    def __init__(
        self,
        codec: PlatformCodec,
        peers: PeerTask,
        crashes: CrashLog,
        limits: EndpointLimits,
        signals: SignalRecorder,
        reachability: Reachability,
        cold: ColdEndpointWatch,
        decisions: DecisionLog,
    ) -> None:
        self._codec = codec
        self._peers = peers
        self._crashes = crashes
        self._limits = limits
        self._signals = signals
        self._reachability = reachability
        self._cold = cold
        self._decisions = decisions

    def record_response(
        self, entry: EndpointEntry, head: ResponseHead, sent_s: float
    ) -> None:
        """Record what the head of a response says about its endpoint."""
        # Another server may respond at the address of an endpoint.
        result = self._codec.classify_response(head)
        if result is not ResponseResult.MISDIRECTED:
            self._record_limit(entry, head, sent_s)
            self._signals.record(entry, head, sent_s)
        data_centre = entry.endpoint.data_centre
        if self._reachability.record_response(data_centre):
            self._decisions.event(
                'data_centre_reached', data_centre=data_centre
            )

    def _record_limit(
        self, entry: EndpointEntry, head: ResponseHead, sent_s: float
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        incarnation = entry.incarnation_number
        before = self._limits.limit_per_s(incarnation)
        self._limits.record_response(
            incarnation,
            self._codec.request_limit_per_s(head),
            sent_s=sent_s,
            now_s=now_s,
        )
        after = self._limits.limit_per_s(incarnation)
        if after != before:
            self._decisions.event(
                'endpoint_limit',
                endpoint=entry.endpoint.id,
                per_s=after,
                before_per_s=before,
                share_per_s=self._limits.share_per_s(incarnation),
                routers=self._peers.live_routers(),
            )
        if self._limits.has_news:
            self._peers.announce_news()

    def record_outcome(
        self,
        context: RequestContext,
        entry: EndpointEntry,
        outcome: SendOutcome,
    ) -> None:
        """Record what the outcome of a send says about its endpoint."""
        now_s = asyncio.get_running_loop().time()
        failed = outcome.result is not None
        entry.load.record_result(failed=failed, now_s=now_s)
        if outcome.result is None:
            self._crashes.clear(context.digest, now_s)
        if outcome.broken:
            self._crashes.record(context.digest, now_s)
            if entry.load.outlier.record_broken(now_s):
                self._decisions.event(
                    'endpoint_ejected',
                    endpoint=entry.endpoint.id,
                    reason=f'requests in a row ended {outcome.reason}',
                )
        if outcome.timed_out and self._reachability.record_timeout(
            entry.endpoint.data_centre, entry.endpoint.id, now_s
        ):
            self._decisions.event(
                'data_centre_unreachable',
                data_centre=entry.endpoint.data_centre,
                endpoint=entry.endpoint.id,
                reason=outcome.reason,
            )
            self._cold.suspect_data_centre(
                entry.endpoint.data_centre, 'data centre unreachable'
            )
        if outcome.broken or outcome.result is SendResult.NOT_SENT:
            self._cold.suspect(entry, outcome.reason)
        if outcome.result is SendResult.NOT_SENT:
            ejected_s = entry.load.eject(now_s)
            self._decisions.event(
                'endpoint_ejected',
                endpoint=entry.endpoint.id,
                for_s=ejected_s,
                reason=outcome.reason,
            )
