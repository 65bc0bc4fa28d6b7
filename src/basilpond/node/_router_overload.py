"""Refusal of requests that this router itself cannot send in time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math
import random

from ..http1 import Header
from ..http1 import Upload
from ..http1 import find
from ..routing import Catalogue
from ..routing import Organisation
from ..routing import RequestMetadata
from ..routing import Route
from ..routing.capacity import LINK_AHEAD_S
from ..routing.capacity import HeldSend
from ..routing.capacity import LoadVerdict
from ..routing.capacity import RequestDemand
from ..routing.capacity import RouterLoad
from ..routing.capacity import UploadProgress
from ._decision_log import DecisionLog
from ._directory import ConfigurationState
from ._interfaces import PlatformCodec
from ._interfaces import RequestMetadataError
from ._metrics import NodeMetrics
from ._request_context import RefusedError
from ._request_context import RequestContext
from ._request_context import effective_priority

# Head of a request to an endpoint, beside the caller's target and fields.
_HEAD_BYTES = 300
# Requests that an endpoint may have begun are sent before all others: their
# callers wait for the rest, and other routers cannot go on with them.
_BEGUN_RANK = -1
# Shortest and longest interval in which held requests are checked.
_MIN_POLL_S = 0.005
_MAX_POLL_S = 0.05
# Time for which a request whose endpoint is chosen waits for the link before
# it gives the choice up. It only occurs if the link filled up while the
# router connected.
_SETTLE_S = 0.2
# Share of the time for which a leaving endpoint may still get requests. While
# the incoming link is full, responses of the store wait behind the bodies of
# callers, and the list of endpoints is not used once it is older. The rest of
# the time is for connecting and for the bytes on the way out.
LIST_AGE_SHARE = 0.75
# Age beyond which the link is not the cause: responses wait behind bodies for
# a few seconds. The store is away then, and the last known list holds.
_MAX_EXPLAINED_AGE_S = 10.0
# Interval in which the age is checked while a request waits for a newer list.
_LIST_POLL_S = 0.05
# Time for which the rate of an upload says nothing: the first round trips.
_YOUNG_UPLOAD_S = 0.25
# Time without a part after which an upload takes nothing of the link. On a
# link of 5 Mbit/s one that had stalled had others refused for 15 s.
_STALLED_UPLOAD_S = 0.5
_OUTDATED_LIST = 'router full, list of endpoints outdated'


class RouterOverload:
    """Admits requests according to the load of the router.

    Parameters
    ----------
    load : RouterLoad
    codec : PlatformCodec
    configuration : ConfigurationState
    metrics : NodeMetrics
    decisions : DecisionLog
    rng : random.Random
    link_bytes_per_s : float
        Bandwidth of the link in each direction; infinite if unknown.
    """

    def __init__(
        self,
        load: RouterLoad,
        codec: PlatformCodec,
        configuration: ConfigurationState,
        metrics: NodeMetrics,
        decisions: DecisionLog,
        rng: random.Random,
        link_bytes_per_s: float = float('inf'),
    ) -> None:
        self.load = load
        self._codec = codec
        self._configuration = configuration
        self._metrics = metrics
        self._decisions = decisions
        self._rng = rng
        self._link_bytes_per_s = link_bytes_per_s
        self._released: dict[HeldSend, asyncio.Future[bool]] = {}
        self._timer: asyncio.TimerHandle | None = None
        # Returns the uploads in progress.
        self.uploads: Callable[[], list[Upload]] = list
        # Returns the age of the list of endpoints, and the longest one that
        # is used while the incoming link is full.
        self.list_age_s: Callable[[], float] = lambda: 0.0
        self.max_list_age_s = math.inf
        # Whether the list grew old while the link was full. Connections, whose
        # time-outs tell of a full link, are not opened from then on.
        self._link_delays_list = False
        # Measures the link again before a request is held or refused.
        self.confirm_link: Callable[[float], None] = _ignore_time
        load.record_link(0, link_bytes_per_s, 0.0)

    # Admission.

    def admit(self, context: RequestContext) -> None:
        """Check that a request can be sent in time, and record its start.

        Raises
        ------
        RefusedError
        """
        now_s = asyncio.get_running_loop().time()
        self.confirm_link(now_s)
        demand = _demand(context, now_s)
        if self.has_outdated_list():
            raise self._outdated_refusal(demand, now_s)
        verdict = self.load.verdict(demand, now_s)
        if verdict.reason is not None:
            raise self._refusal(demand, verdict, now_s)
        self.load.record_started(demand.body_bytes)

    def record_end(self, context: RequestContext) -> None:
        """Record the end of a request that was admitted."""
        self.load.record_ended(len(context.request.body))

    def check_upload(self, upload: Upload) -> list[Header] | None:
        """Return the fields of a refusal, or None to receive the body.

        Requests that are refused for another reason are received first.
        """
        others = self.uploads()
        catalogue = self._configuration.serving
        if not others or catalogue is None:
            return None
        try:
            metadata = self._codec.decode_request_metadata(upload.headers)
        except RequestMetadataError:
            return None
        route = find_route(catalogue, upload.target, upload.headers)
        if route is None:
            return None
        now_s = asyncio.get_running_loop().time()
        demand = _upload_demand(
            upload,
            route,
            metadata,
            catalogue.find_organisation(metadata.key),
            now_s,
        )
        if self.has_outdated_list():
            refusal = self._outdated_refusal(demand, now_s)
        else:
            verdict = self.load.upload_verdict(
                demand, [_progress(other, now_s) for other in others], now_s
            )
            if verdict.reason is None:
                return None
            refusal = self._refusal(demand, verdict, now_s)
        self._decisions.event(
            'refused',
            request=metadata.request_id,
            target=upload.target,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            uploads=len(others),
            **refusal.inputs,
        )
        self._metrics.count_refusal(refusal.status, refusal.label)
        return self._codec.refusal_fields(metadata, refusal.retry_after_s)

    def _refusal(
        self, demand: RequestDemand, verdict: LoadVerdict, now_s: float
    ) -> RefusedError:
        assert verdict.reason is not None
        return RefusedError(
            503,
            verdict.reason,
            demand.retry_after_s(self._rng.random()),
            priority=demand.priority,
            wait_s=round(verdict.wait_s, 4),
            max_wait_s=round(verdict.max_wait_s, 4),
            waited_s=round(demand.waited_s, 4),
            left_s=round(demand.left_s, 4),
            body_bytes=demand.body_bytes,
            lag_s=round(self.load.lag_s(now_s), 4),
            link_wait_s=round(self.load.link_wait_s(now_s), 4),
            incoming_share=round(self.load.incoming.used_share(now_s), 3),
            held=len(self.load.held),
        )

    # Sends.

    async def wait_to_send(self, context: RequestContext) -> None:
        """Wait until the link has room for a request.

        Called before an endpoint is chosen, so that the choice is new when
        the request is sent.

        Raises
        ------
        RefusedError
            The request cannot be sent in time.
        """
        if math.isinf(self._link_bytes_per_s):
            return
        await self._wait_for_list(context)
        now_s = asyncio.get_running_loop().time()
        self._check_connects(context, now_s)
        self.confirm_link(now_s)
        size_bytes = _size_bytes(context)
        if not self.load.held and self.load.has_room(now_s):
            self.load.record_sent(size_bytes, now_s)
            return
        demand = _demand(context, now_s)
        begun = context.possible_runs > 0 or context.responder.started
        held = self.load.held.add(
            _BEGUN_RANK if begun else demand.rank,
            latest_s=context.wait_until_s
            if begun
            else now_s + demand.max_wait_s,
            size_bytes=size_bytes,
        )
        released = asyncio.get_running_loop().create_future()
        self._released[held] = released
        self._set_timer()
        try:
            if await released:
                return
        finally:
            del self._released[held]
            self.load.held.remove(held)
        now_s = asyncio.get_running_loop().time()
        demand = _demand(context, now_s)
        verdict = LoadVerdict(
            'router full, link',
            self.load.link_wait_s(now_s),
            demand.max_wait_s,
        )
        raise self._refusal(demand, verdict, now_s)

    def _check_connects(self, context: RequestContext, now_s: float) -> None:
        # Further connections would time out as well.
        if (
            not context.failed_connects
            or context.possible_runs
            or context.responder.started
        ):
            return
        demand = _demand(context, now_s)
        verdict = self.load.connect_verdict(demand, now_s)
        if verdict is not None:
            raise self._refusal(demand, verdict, now_s)

    def preview(self, demand: RequestDemand, now_s: float) -> LoadVerdict:
        """Return the decision on a further request, without a record of it.

        Bytes that wait on the link count as last measured.
        """
        load = self.load.snapshot()
        if self._is_list_outdated(load, now_s):
            return self._outdated_verdict()
        return load.verdict(demand, now_s)

    def has_outdated_list(self) -> bool:
        """Whether endpoints may have left without this router's knowledge.

        Only the router's own link counts as a reason: in an outage of the
        store, the last known list holds.
        """
        now_s = asyncio.get_running_loop().time()
        self._link_delays_list = self._is_list_outdated(self.load, now_s)
        return self._link_delays_list

    def _is_list_outdated(self, load: RouterLoad, now_s: float) -> bool:
        return (
            self.max_list_age_s < self.list_age_s() <= _MAX_EXPLAINED_AGE_S
            and load.incoming.is_busy(now_s)
            and (self._link_delays_list or load.incoming.is_full(now_s))
        )

    def _outdated_verdict(self) -> LoadVerdict:
        return LoadVerdict(
            _OUTDATED_LIST, self.list_age_s(), self.max_list_age_s
        )

    def _outdated_refusal(
        self, demand: RequestDemand, now_s: float
    ) -> RefusedError:
        return self._refusal(demand, self._outdated_verdict(), now_s)

    async def _wait_for_list(self, context: RequestContext) -> None:
        # A request that no endpoint has begun is better off at another
        # router; the others are continued here or not at all.
        loop = asyncio.get_running_loop()
        begun = context.possible_runs > 0 or context.responder.started
        while self.has_outdated_list():
            now_s = loop.time()
            if not begun or now_s + _LIST_POLL_S >= context.wait_until_s:
                raise self._outdated_refusal(_demand(context, now_s), now_s)
            await asyncio.sleep(_LIST_POLL_S)

    async def settle(self, context: RequestContext) -> bool:
        """Wait briefly for the link after an endpoint has been chosen.

        Returns
        -------
        bool
            Whether the request may be written; it then leaves soon.
        """
        if math.isinf(self._link_bytes_per_s):
            return True
        loop = asyncio.get_running_loop()
        # The request itself has been counted.
        room_s = 2 * LINK_AHEAD_S + _size_bytes(context) / (
            self._link_bytes_per_s
        )
        give_up_s = loop.time() + _SETTLE_S
        while self.load.link_wait_s(loop.time()) > room_s:
            if loop.time() >= give_up_s:
                return False
            self.confirm_link(loop.time())
            await asyncio.sleep(_MIN_POLL_S)
        return True

    def _set_timer(self) -> None:
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        wait_s = self.load.link_wait_s(loop.time()) - LINK_AHEAD_S
        self._timer = loop.call_later(
            min(max(wait_s, _MIN_POLL_S), _MAX_POLL_S), self._release
        )

    def _release(self) -> None:
        self._timer = None
        now_s = asyncio.get_running_loop().time()
        self.confirm_link(now_s)
        held = self.load.held
        while held and self.load.has_room(now_s):
            first = held.first()
            self._end_hold(first, may_send=True)
            self.load.record_sent(first.size_bytes, now_s)
        for late in held.late(
            now_s=now_s,
            wait_s=max(0.0, self.load.link_wait_s(now_s) - LINK_AHEAD_S),
            bytes_per_s=self._link_bytes_per_s,
        ):
            self._end_hold(late, may_send=False)
        if held:
            self._set_timer()

    def _end_hold(self, send: HeldSend, *, may_send: bool) -> None:
        self.load.held.remove(send)
        released = self._released[send]
        if not released.done():
            released.set_result(may_send)


def _ignore_time(now_s: float) -> None:
    pass


def _demand(context: RequestContext, now_s: float) -> RequestDemand:
    return RequestDemand(
        context.effective_priority,
        context.route.objective_s,
        now_s - context.started_s,
        min(context.patience_left_s(now_s), context.respond_by_s - now_s),
        len(context.request.body),
    )


def _upload_demand(
    upload: Upload,
    route: Route,
    metadata: RequestMetadata,
    organisation: Organisation | None,
    now_s: float,
) -> RequestDemand:
    waited_s = now_s - upload.started_s
    left_s = min(route.timeout_s, route.patience_s)
    if metadata.deadline_s is not None:
        left_s = min(left_s, metadata.deadline_s)
    return RequestDemand(
        effective_priority(route, organisation),
        route.objective_s,
        waited_s,
        left_s - waited_s,
        upload.missing_bytes,
    )


def find_route(
    catalogue: Catalogue, target: bytes, headers: list[Header]
) -> Route | None:
    """Return the route of a request."""
    host = (find(headers, b'host') or b'').decode('latin-1')
    path = target.partition(b'?')[0].decode('latin-1')
    return catalogue.find_route(host.partition(':')[0], path)


def _size_bytes(context: RequestContext) -> int:
    request = context.request
    fields = sum(len(name) + len(value) + 4 for name, value in request.headers)
    return _HEAD_BYTES + len(request.target) + fields + len(request.body)


def _progress(upload: Upload, now_s: float) -> UploadProgress:
    age_s = now_s - upload.started_s
    if now_s - upload.progress_s >= _STALLED_UPLOAD_S:
        return UploadProgress(upload.missing_bytes, 0.0)
    if age_s < _YOUNG_UPLOAD_S:
        return UploadProgress(upload.missing_bytes, float('inf'))
    return UploadProgress(upload.missing_bytes, upload.received_bytes / age_s)
