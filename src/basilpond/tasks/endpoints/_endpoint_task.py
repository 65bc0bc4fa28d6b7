"""Polls endpoints and the VM list, and probes quarantined endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import random
from typing import Annotated
from typing import TypeVar

from absl import logging
import aiohttp
import msgspec
import reactivex
from reactivex import subject

from ...core import Endpoint
from ...core import EndpointLoad
from ...core import EndpointTable
from ...core import JsonDecoder
from ...core import LeavingSource
from ...core import Manifest
from ...core import StreamCheck
from .._quiet_connector import QuietConnector

T = TypeVar('T')

# Kinds of `EndpointNotice` in peer.thrift.
NOTICE_LEAVING = 0
NOTICE_QUARANTINED = 1
# Age beyond which polled state is out of date. Successive polls of any
# endpoints are at most 2 s apart, and an endpoint that is leaving must get no
# new requests after 5 s.
STALE_S = 3.0
_MAX_BODY_BYTES = 1_048_576
_PROBE_TOKENS = 4


class _LoadReport(msgspec.Struct):
    running: int
    waiting: int
    kv_used_share: float = 0.0
    leaving: bool = False


class _CacheEvent(msgspec.Struct):
    prefix_digest: Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{1,16}$')]
    stored: bool


class _CachePage(msgspec.Struct):
    next: int
    events: list[_CacheEvent]


class _Vm(msgspec.Struct):
    id: str
    address: str
    state: str


class _VmList(msgspec.Struct):
    vms: list[_Vm]


@dataclasses.dataclass(slots=True, frozen=True)
class PollParameters:
    """Intervals, timeouts and limits of polls and probes.

    `load_s` and `cache_s` are the poll intervals of a single router. With more
    routers, each of them polls less often, up to intervals of `max_load_s` and
    `max_cache_s`, so that the polls that an endpoint gets do not grow with the
    fleet. `max_per_s` limits the polls of one router, in polls per second, and
    `concurrency` those that run at the same time.
    """

    load_s: float = 0.5
    max_load_s: float = 2.0
    cache_s: float = 1.0
    max_cache_s: float = 30.0
    vms_s: float = 1.0
    # Rate of VM list polls, and of probes of one endpoint, by the whole fleet
    # for an interval of 1 s. At 350 routers and 3,500 servers the list has
    # about 220 KB, so that each router can only read it every 44 s; it learns
    # of changes that other routers read by gossip.
    fleet_polls_per_s: float = 8.0
    probe_check_s: float = 0.5
    # No other router sees an operator's drain order, so it is announced again
    # before the peers' records of it expire, and within the 5 s after which a
    # router that has just started must know of it.
    drain_notice_s: float = 4.0
    timeout_s: float = 1.0
    probe_timeout_s: float = 10.0
    # A load poll takes 360 bytes of HTTP in both directions together; a
    # router may use 7 KB/s for all control traffic.
    max_per_s: float = 12.0
    concurrency: int = 16


def poll_interval_s(
    base_s: float,
    max_s: float,
    *,
    live_routers: int,
    endpoints: int,
    max_per_s: float,
) -> float:
    """Return the interval between polls of one endpoint by this router.

    Parameters
    ----------
    base_s, max_s : float
        Interval of a single router, and maximum interval, in seconds. The
        result only exceeds the maximum if `max_per_s` requires it.
    live_routers, endpoints : int
        Number of routers that poll, and of endpoints that each of them polls.
    max_per_s : float
        Maximum polls per second of this router.

    Returns
    -------
    float
        Interval in seconds.
    """
    fleet_s = min(max_s, base_s * max(1, live_routers))
    return max(fleet_s, endpoints / max_per_s)


class EndpointTask:
    """Keeps the endpoint table up to date by polls, probes and notices.

    Parameters
    ----------
    table : EndpointTable
        Updated with load, cache events, leaving and quarantined endpoints.
    rng : random.Random
        Source of the poll order, of jitter and of the probed models.
    live_routers : callable
        Returns the number of live routers.
    vms_url : str or None
        Base URL of the platform's VM list; without it the list is not polled.
    parameters : PollParameters, optional
    uptime_s : callable, optional
        Clock in seconds that includes suspended time. By default the event
        loop's clock is used.

    Attributes
    ----------
    leaving, quarantined : reactivex.Subject
        Emit the ids of endpoints that this router found to be leaving, or
        quarantined, to be announced to the peers.
    """

    def __init__(
        self,
        table: EndpointTable,
        *,
        rng: random.Random,
        live_routers: Callable[[], int],
        vms_url: str | None,
        parameters: PollParameters | None = None,
        uptime_s: Callable[[], float] | None = None,
    ) -> None:
        self.table = table
        # Endpoints that an operator drained are emitted repeatedly, others
        # once.
        self.leaving: subject.Subject[str] = subject.Subject()
        self.quarantined: subject.Subject[str] = subject.Subject()
        self._rng = rng
        self._live_routers = live_routers
        self._vms_url = vms_url
        self._parameters = parameters or PollParameters()
        self._endpoints: dict[str, Endpoint] = {}
        self._announced: set[str] = set()
        self._announced_quarantines: set[str] = set()
        self._session: aiohttp.ClientSession | None = None
        self._uptime_s = uptime_s or (
            lambda: asyncio.get_running_loop().time()
        )
        # Times on that clock: the last response to any poll, the first
        # response after a suspension, and each endpoint's last load poll.
        self._last_seen_s = -math.inf
        self._resumed_s = -math.inf
        self._last_polled_s: dict[str, float] = {}

    def set_manifest(self, manifest: Manifest) -> None:
        """Replace the endpoints by those of a new manifest."""
        self.table.set_manifest(manifest)
        self._endpoints = {e.id: e for e in manifest.endpoints}
        self._announced &= self._endpoints.keys()
        self._last_polled_s = {
            name: at_s
            for name, at_s in self._last_polled_s.items()
            if name in self._endpoints
        }
        now_s = asyncio.get_running_loop().time()
        for endpoint in self._endpoints.values():
            self._announce_leaving(endpoint.id, now_s)

    def apply_notice(self, endpoint: str, kind: int) -> None:
        """Apply a peer's notice; unknown endpoints and kinds are ignored.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        kind : int
            `NOTICE_LEAVING` or `NOTICE_QUARANTINED`.
        """
        if endpoint not in self._endpoints:
            return
        now_s = asyncio.get_running_loop().time()
        if kind == NOTICE_LEAVING:
            self.table.set_leaving(endpoint, LeavingSource.PEER, True, now_s)
            # Not emitted again: gossip already spreads the notice.
            self._announced.add(endpoint)
        elif kind == NOTICE_QUARANTINED:
            # Not emitted either: routers would renew each other's quarantine
            # of the endpoint without end.
            self._announced_quarantines.add(endpoint)
            self.table.quarantine.quarantine(endpoint, now_s)

    async def refresh_if_stale(self, endpoint_id: str) -> None:
        """Poll the load of an endpoint if its state may be out of date.

        Called before a request is sent to it. A router that was suspended
        does not know which endpoints started to leave in the meantime, and
        has no other way to detect that it was suspended.

        Parameters
        ----------
        endpoint_id : str
        """
        now_s = self._uptime_s()
        since_s = self._resumed_s
        if now_s - self._last_seen_s > STALE_S:
            since_s = max(since_s, now_s - STALE_S)
        if self._last_polled_s.get(endpoint_id, -math.inf) >= since_s:
            return
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None and self._session is not None:
            await self._poll_load(endpoint)
            # Recorded for failed polls, too, so that an endpoint whose load
            # reports fail does not delay every request.
            self._last_polled_s[endpoint_id] = self._uptime_s()

    def _update_last_seen(self) -> None:
        """Record the time of a response to a poll; detect a suspension."""
        now_s = self._uptime_s()
        if now_s - self._last_seen_s > STALE_S:
            self._resumed_s = now_s
        self._last_seen_s = now_s

    def set_drained(self, endpoint: str, drained: bool) -> bool:
        """Drain an endpoint, or end its drain, by an operator's order.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        drained : bool

        Returns
        -------
        bool
            Whether the manifest has the endpoint.
        """
        if endpoint not in self._endpoints:
            return False
        now_s = asyncio.get_running_loop().time()
        self.table.set_leaving(
            endpoint, LeavingSource.OPERATOR, drained, now_s
        )
        if drained:
            self._announce_leaving(endpoint, now_s)
        return True

    def subscribe_notices(
        self, notices: reactivex.Observable[tuple[str, int]]
    ) -> reactivex.abc.DisposableBase:
        """Apply each ``(endpoint, kind)`` that `notices` emits."""
        return notices.subscribe(lambda notice: self.apply_notice(*notice))

    async def run(self) -> None:
        """Poll and probe endpoints until cancelled."""
        async with aiohttp.ClientSession(
            connector=QuietConnector(
                limit=self._parameters.concurrency, limit_per_host=2
            )
        ) as session:
            self._session = session
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._poll_loads())
                    group.create_task(self._poll_caches())
                    group.create_task(self._run_probes())
                    group.create_task(self._reannounce_drains())
                    if self._vms_url is not None:
                        group.create_task(self._poll_vms())
            finally:
                self._session = None

    async def _poll_loads(self) -> None:
        p = self._parameters
        while True:
            await self._poll_round(self._poll_load, p.load_s, p.max_load_s)

    async def _poll_caches(self) -> None:
        p = self._parameters
        while True:
            await self._poll_round(self._poll_cache, p.cache_s, p.max_cache_s)

    async def _poll_round(
        self,
        poll: Callable[[Endpoint], Awaitable[None]],
        base_s: float,
        max_s: float,
    ) -> None:
        """Poll each endpoint once, spread over one interval."""
        loop = asyncio.get_running_loop()
        endpoints = list(self._endpoints.values())
        # Random order in each router and round, so that routers do not all
        # poll an endpoint at the same time.
        self._rng.shuffle(endpoints)
        start_s = loop.time()
        interval_s = poll_interval_s(
            base_s,
            max_s,
            live_routers=self._live_routers(),
            endpoints=len(endpoints),
            # Load polls and cache event polls share the limit.
            max_per_s=self._parameters.max_per_s / 2,
        )
        running: set[asyncio.Task[None]] = set()
        try:
            for index, endpoint in enumerate(endpoints):
                due_s = start_s + interval_s * index / len(endpoints)
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                if len(running) >= self._parameters.concurrency:
                    _, running = await asyncio.wait(
                        running, return_when=asyncio.FIRST_COMPLETED
                    )
                running = {task for task in running if not task.done()}
                running.add(asyncio.ensure_future(poll(endpoint)))
            end_s = start_s + interval_s
            await asyncio.sleep(max(0.0, end_s - loop.time()))
            if running:
                await asyncio.wait(running)
        finally:
            for task in running:
                task.cancel()

    async def _poll_load(self, endpoint: Endpoint) -> None:
        report = await self._get(f'{endpoint.url}/load', _LoadReport)
        if report is None:
            return
        now_s = asyncio.get_running_loop().time()
        load = EndpointLoad(
            running=max(0, report.running),
            waiting=max(0, report.waiting),
            kv_used_share=report.kv_used_share,
            leaving=report.leaving,
        )
        self._last_polled_s[endpoint.id] = self._uptime_s()
        self.table.report_load(endpoint.id, load, now_s)
        self._announce_leaving(endpoint.id, now_s)

    async def _poll_cache(self, endpoint: Endpoint) -> None:
        if not endpoint.models:
            return
        after = self.table.affinity.next_event(endpoint.id)
        page = await self._get(
            f'{endpoint.url}/cache_events?after={after}', _CachePage
        )
        if page is None or page.next < 0 or endpoint.id not in self._endpoints:
            return
        events = [
            (int(event.prefix_digest, 16), event.stored)
            for event in page.events
        ]
        if self.table.affinity.apply_events(
            endpoint.id, after, page.next, events
        ):
            now_s = asyncio.get_running_loop().time()
            self.table.quarantine.reset_backoff(endpoint.id, now_s)

    async def _poll_vms(self) -> None:
        while True:
            page = await self._get(f'{self._vms_url}/vms', _VmList)
            if page is not None:
                self._apply_vms(page.vms)
            interval_s = self._parameters.vms_s * self._fleet_factor()
            # Jitter, because routers that started together would poll
            # together.
            await asyncio.sleep(interval_s * self._rng.uniform(0.5, 1.5))

    def _fleet_factor(self) -> float:
        """Return the factor on intervals that limits the fleet's rate."""
        return max(
            1.0, self._live_routers() / self._parameters.fleet_polls_per_s
        )

    def _apply_vms(self, vms: Iterable[_Vm]) -> None:
        """Apply the VM list.

        The state of a VM that is not listed stays as it is, because the list
        may be out of date.
        """
        now_s = asyncio.get_running_loop().time()
        by_address = {vm.address: vm.state for vm in vms}
        for endpoint in self._endpoints.values():
            state = by_address.get(endpoint.url.removeprefix('http://'))
            if state in ('live', 'leaving'):
                self.table.set_leaving(
                    endpoint.id,
                    LeavingSource.VM_LIST,
                    state == 'leaving',
                    now_s,
                )
                self._announce_leaving(endpoint.id, now_s)

    async def _run_probes(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            quarantine = self.table.quarantine
            quarantine.probe_interval_factor = self._fleet_factor()
            due = list(quarantine.due_probes(loop.time()))
            for name in due:
                if name not in self._announced_quarantines:
                    self._announced_quarantines.add(name)
                    self.quarantined.on_next(name)
            await asyncio.gather(*map(self._probe, due))
            self._announced_quarantines = {
                name
                for name in self._announced_quarantines
                if self.table.quarantine.traffic_share(name, loop.time()) == 0
            }
            await asyncio.sleep(self._parameters.probe_check_s)

    async def _probe(self, name: str) -> None:
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        passed = await (
            self._probe_model(endpoint)
            if endpoint.models
            else self._probe_service(endpoint)
        )
        readmitted = self.table.quarantine.record_probe(
            name, passed=passed, now_s=asyncio.get_running_loop().time()
        )
        if readmitted:
            logging.info('endpoint %s passed its probes', name)

    async def _probe_service(self, endpoint: Endpoint) -> bool:
        """Probe by a load poll, because service calls may have effects."""
        return await self._get(f'{endpoint.url}/load', _LoadReport) is not None

    async def _probe_model(self, endpoint: Endpoint) -> bool:
        """Request a short stream and check it like a stream for a caller."""
        model = self._rng.choice(endpoint.models)
        attempt_id = f'probe-{self._rng.getrandbits(64):016x}'
        body = {
            'model': model,
            'messages': [{'role': 'user', 'content': 'ping'}],
            'max_tokens': _PROBE_TOKENS,
            'stream': True,
            'stream_options': {'include_usage': True},
        }
        check = StreamCheck(
            attempt_id=attempt_id if endpoint.echoes_request_id else None,
            model=model,
            max_output_tokens=_PROBE_TOKENS,
        )
        try:
            async with self._session.post(
                f'{endpoint.url}/v1/chat/completions',
                data=msgspec.json.encode(body),
                headers={
                    'Content-Type': 'application/json',
                    'X-Request-Id': attempt_id,
                    'Accept-Encoding': 'identity',
                },
                timeout=aiohttp.ClientTimeout(
                    total=self._parameters.probe_timeout_s
                ),
                auto_decompress=False,
            ) as response:
                if (
                    response.status != 200
                    or response.content_type != 'text/event-stream'
                    or 'Content-Encoding' in response.headers
                ):
                    return False
                async for chunk in response.content.iter_any():
                    step = check.feed(chunk)
                    if step.problem is not None or step.cut:
                        return False
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return False
        summary = check.finish()
        return summary.complete and not summary.usage_problem

    async def _reannounce_drains(self) -> None:
        """Announce, at intervals, the endpoints that an operator drained."""
        while True:
            await asyncio.sleep(self._parameters.drain_notice_s)
            for name in self._endpoints:
                if self.table.is_drained(name):
                    self.leaving.on_next(name)

    def _announce_leaving(self, name: str, now_s: float) -> None:
        """Emit an endpoint once when it starts to leave."""
        if not self.table.is_leaving(name, now_s):
            self._announced.discard(name)
        elif name not in self._announced:
            self._announced.add(name)
            logging.info('endpoint %s is leaving', name)
            self.leaving.on_next(name)

    async def _get(self, url: str, kind: type[T]) -> T | None:
        """Fetch and decode a JSON document.

        Parameters
        ----------
        url : str
        kind : type
            `msgspec.Struct` to decode into.

        Returns
        -------
        object or None
            None if the request failed or the document is invalid or larger
            than `_MAX_BODY_BYTES`.
        """
        body = bytearray()
        try:
            async with self._session.get(
                url,
                timeout=aiohttp.ClientTimeout(
                    total=self._parameters.timeout_s
                ),
                allow_redirects=False,
            ) as response:
                self._update_last_seen()
                if response.status != 200:
                    return None
                async for chunk in response.content.iter_any():
                    body += chunk
                    if len(body) > _MAX_BODY_BYTES:
                        return None
            return JsonDecoder(kind).decode(bytes(body))
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.MsgspecError,
        ) as error:
            logging.debug('poll of %s failed: %s', url, error)
            return None
