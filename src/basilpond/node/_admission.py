"""Waiting of less urgent prompts at the router, and waking them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
import random

from ..routing import LONG_PROMPT_TOKENS
from ..routing import Catalogue
from ..routing import EndpointLoad
from ..routing import event_gap_timeout_s
from ..routing import prefill_cost
from ..routing.admission import OWN_PENDING_SHARE
from ..routing.admission import AdmissionPolicy
from ..routing.admission import AdmissionQueue
from ..routing.admission import ServiceLoad
from ..routing.admission import UrgencyLevels
from ..routing.admission import WaitingPrompt
from ..routing.admission import WorkMix
from ..routing.admission import rank_endpoints
from ..routing.admission import reserved_count
from ..routing.admission import work_s
from ..routing.placement import PREFILL_TOKENS_PER_S
from ._decision_log import DecisionLog
from ._directory import ConfigurationState
from ._directory import EndpointDirectory
from ._directory import EndpointEntry
from ._metrics import NodeMetrics
from ._request_context import RefusedError
from ._request_context import RequestContext

# Interval in which the first waiting prompt is checked; a fifth of the time
# that an engine works on a long prompt.
_POLL_S = 0.02
# Interval after a prompt was let go: it is sent, and counts, before the next
# one is checked.
_NEXT_S = 0.001
# Wait at an endpoint, by reports, that halves the chance that it is chosen:
# differences that last longer than reports take are evened out.
_EVEN_S = 1.0
# Time for which the last wait at an endpoint is taken into account.
_OBSERVED_S = 1.0
# Endpoints whose prompts have to be late for it to count; fewer if the service
# has fewer.
_OBSERVED_ENDPOINTS = 2
# Interval of reports up to which endpoints are compared by them: an engine
# works on a long prompt for as long. With 17 routers the interval is 0.1 s,
# and a choice at random had fewer urgent prompts on time than the comparison.
_FRESH_INTERVAL_S = 0.2
# Factor of the chance that a long prompt is sent to an endpoint for such: they
# interrupt the streams of the others.
_LONG_PROMPT_FACTOR = 4.0
# Part of the objective within which a request that was admitted to the queue
# is refused if more urgent ones displace it.
_EARLY_SHARE = 1 / 8
# A request is refused only if it would not be sent in time even if the
# backlog were sent this much faster than expected.
_CERTAINTY = 1.5
_NO_ROOM = 'no room before the time limit'
_BACKLOG = 'backlog exceeds the time limit'


class _Service:
    """Waiting prompts of one service."""

    __slots__ = (
        'catalogue',
        'levels',
        'mix',
        'policy',
        'queue',
        'timer',
        'waiters',
    )

    def __init__(self) -> None:
        self.queue = AdmissionQueue()
        self.mix = WorkMix()
        self.policy = AdmissionPolicy()
        self.waiters: dict[
            WaitingPrompt, tuple[RequestContext, asyncio.Future[bool]]
        ] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.levels: UrgencyLevels | None = None
        # Configuration of the levels.
        self.catalogue: Catalogue | None = None

    def lowest_limit_s(self) -> float | None:
        """Return the work that the least urgent prompts find allowed."""
        return self.levels and self.levels.limit_s(self.mix.last_priority())


class AdmissionTask:
    """Lets less urgent prompts wait while the endpoints have no room.

    Parameters
    ----------
    configuration : ConfigurationState
    directory : EndpointDirectory
    is_open : callable
        Returns whether an endpoint may get a request of this router now.
    live_routers : callable
        Returns the number of live routers, this one included.
    metrics : NodeMetrics
    decisions : DecisionLog
    rng : random.Random
    report_interval_s : callable
        Returns the interval in which routers report their load, in seconds.
    enabled : bool
        Prompts are sent at once unless set.
    """

    def __init__(
        self,
        configuration: ConfigurationState,
        directory: EndpointDirectory,
        is_open: Callable[[EndpointEntry], bool],
        live_routers: Callable[[], int],
        metrics: NodeMetrics,
        decisions: DecisionLog,
        rng: random.Random,
        report_interval_s: Callable[[], float] = lambda: math.inf,
        *,
        enabled: bool = True,
    ) -> None:
        self._enabled = enabled
        self._report_interval_s = report_interval_s
        self._configuration = configuration
        self._directory = directory
        self._is_open = is_open
        self._live_routers = live_routers
        self._metrics = metrics
        self._decisions = decisions
        self._rng = rng
        self._services: dict[str, _Service] = {}

    @property
    def waiting(self) -> int:
        """Number of prompts that wait."""
        return sum(len(service.queue) for service in self._services.values())

    def check(self, context: RequestContext) -> None:
        """Check that a new request will be sent in time.

        Raises
        ------
        RefusedError
            The prompts that are sent before it take too long.
        """
        prompt = self._prompt(context) if self._applies(context) else None
        if prompt is not None:
            service = self._services[context.service]
            self._update(context.service, prompt)
            if self._is_hopeless(service, prompt):
                raise self._refusal(service, prompt, context, _BACKLOG)

    async def admit(
        self,
        context: RequestContext,
        usable_entries: Callable[
            [RequestContext], Awaitable[list[EndpointEntry]]
        ],
    ) -> list[EndpointEntry]:
        """Wait until a request may be sent; return the endpoints for it.

        Parameters
        ----------
        context : RequestContext
        usable_entries : callable
            Returns the endpoints that may get the request now.

        Raises
        ------
        RefusedError
            It has not been sent within the time that it may wait.
        """
        if not self._applies(context):
            return await usable_entries(context)
        service = self._services[context.service]
        now_s = asyncio.get_running_loop().time()
        service.mix.record(
            context.effective_priority, context.metadata.prompt_tokens, now_s
        )
        prompt = self._prompt(context)
        if prompt is not None:
            await self._wait(context, prompt)
        elif limit_s := service.lowest_limit_s():
            # Urgent prompts are not held back, but avoid contention, too.
            load = self._load(self._directory.candidates(context.service))
            service.policy.record_load(load, limit_s, now_s)
        return self._select(context, await usable_entries(context))

    def _applies(self, context: RequestContext) -> bool:
        if (
            not self._enabled
            or not context.route.generates
            or not context.metadata.prompt_tokens
        ):
            return False
        levels = self._service(context.service).levels
        return levels is not None and not levels.is_uniform

    async def _wait(
        self, context: RequestContext, prompt: WaitingPrompt
    ) -> None:
        loop = asyncio.get_running_loop()
        service = self._services[context.service]
        self._update(context.service, prompt)
        service.queue.add(prompt)
        if self._may_go(service, prompt):
            self._record_sent(service, prompt)
            return
        started_s = loop.time()
        future: asyncio.Future[bool] = loop.create_future()
        service.waiters[prompt] = context, future
        self._refuse_displaced(service)
        self._start_timer(context.service, _POLL_S)
        admitted = False
        reason = _BACKLOG
        try:
            async with asyncio.timeout_at(prompt.latest_s):
                admitted = await future
        except TimeoutError:
            reason = _NO_ROOM
            admitted = self._is_worth_sending(service, prompt, context)
            if admitted:
                self._record_sent(service, prompt)
        finally:
            del service.waiters[prompt]
            service.queue.remove(prompt, sent=False)
            waited_s = loop.time() - started_s
            self._metrics.observe_admission_wait(prompt.priority, waited_s)
        if not admitted:
            raise self._refusal(service, prompt, context, reason)
        self._decisions.event(
            'admission_waited',
            routine=True,
            request=context.metadata.request_id,
            service=context.service,
            priority=prompt.priority,
            waited_s=round(waited_s, 4),
            overtaken=prompt.overtaken or None,
            waiting=len(service.queue),
        )

    def _select(
        self,
        context: RequestContext,
        entries: list[EndpointEntry],
    ) -> list[EndpointEntry]:
        # Without contention all endpoints are compared. With it, old reports
        # tell of a load that is over, and all routers would choose the same
        # few endpoints: one is chosen at random among those with the least
        # work of this router, which it knows without a delay.
        service = self._services[context.service]
        now_s = asyncio.get_running_loop().time()
        if not service.policy.is_contended(now_s):
            return entries
        meant = [
            entry for entry in entries if not entry.load.is_avoided(now_s)
        ]
        meant = self._meant(service, context, meant) or meant
        if not meant:
            return entries
        if self._report_interval_s() <= _FRESH_INTERVAL_S:
            return meant
        if len(context.prompt_prefixes) > 1:
            key = context.prompt_prefixes[-2][0]
            limit_s = OWN_PENDING_SHARE * context.route.objective_s
            meant = [
                entry
                for entry in meant
                if entry.load.cache.has(key)
                and _pending_s(entry.load, now_s) <= limit_s
            ] or meant
        least = min(entry.load.prefill_cost for entry in meant)
        meant = [e for e in meant if e.load.prefill_cost <= least]
        is_long = context.metadata.prompt_tokens >= LONG_PROMPT_TOKENS
        weights = [
            _weight(entry.load, now_s, is_long=is_long) for entry in meant
        ]
        return self._rng.choices(meant, weights)

    def _meant(
        self,
        service: _Service,
        context: RequestContext,
        entries: list[EndpointEntry],
    ) -> list[EndpointEntry]:
        # Endpoints for a priority: those that are reserved for it while they
        # have room, or else all that are not reserved for more urgent ones.
        places = self._places(context.service)
        last = len(places)
        first = self._reserved(service, context.effective_priority, last)
        reserved = self._reserved(service, service.mix.last_priority(), last)
        usable = [
            e for e in entries if places.get(e.endpoint.id, last) >= first
        ]
        own = [e for e in usable if places.get(e.endpoint.id, last) < reserved]
        limit_s = service.lowest_limit_s()
        if own and limit_s and self._load(own).wait_s <= limit_s:
            return own
        return usable

    def _places(self, name: str) -> dict[str, int]:
        return rank_endpoints(
            (entry.endpoint.id, entry.load.for_long_prompts)
            for entry in self._directory.candidates(name)
        )

    def _reserved(
        self, service: _Service, priority: int, endpoints: int
    ) -> int:
        assert service.levels is not None
        if service.levels.limit_s(priority) is None:
            return 0
        return reserved_count(
            endpoints,
            service.mix.urgent_share(priority, service.policy.busy_share),
        )

    def _service(self, name: str) -> _Service:
        service = self._services.setdefault(name, _Service())
        catalogue = self._configuration.serving
        if catalogue is not None and catalogue is not service.catalogue:
            service.catalogue = catalogue
            service.levels = UrgencyLevels(
                name,
                catalogue.configuration.routes,
                catalogue.configuration.organisations or (),
            )
        return service

    def _prompt(self, context: RequestContext) -> WaitingPrompt | None:
        # None if the request is not held back.
        service = self._services[context.service]
        assert service.levels is not None
        now_s = asyncio.get_running_loop().time()
        objective_s = context.route.objective_s
        priority = context.effective_priority
        limit_s = service.levels.limit_s(priority)
        release_s = float('inf')
        equal_s = service.levels.equal_limit_s(priority, objective_s)
        if limit_s is None:
            limit_s = equal_s
            release_s = context.started_s + objective_s / 2
        if limit_s is None:
            return None
        loads = [
            entry.load
            for entry in self._directory.candidates(context.service)
            if context.admits(entry.endpoint)
        ]
        cost = min(
            (
                prefill_cost(
                    context.metadata.prompt_tokens,
                    load.cache.cached_tokens(
                        context.prompt_prefixes[:-1], now_s
                    ),
                )
                for load in loads
            ),
            default=float(context.metadata.prompt_tokens),
        )
        output_tokens = context.metadata.expected_output_tokens
        if output_tokens is None:
            output_tokens = context.metadata.max_output_tokens
        latest_s = context.wait_until_s
        if context.responder.started:
            latest_s = min(
                latest_s,
                context.last_part_s + event_gap_timeout_s(context.route),
            )
        own_s = cost / PREFILL_TOKENS_PER_S
        return WaitingPrompt(
            priority,
            cost=cost,
            work_s=work_s(cost, output_tokens, PREFILL_TOKENS_PER_S),
            due_s=context.started_s + objective_s - own_s,
            arrived_s=context.started_s,
            latest_s=latest_s,
            limit_s=limit_s,
            own_limit_s=OWN_PENDING_SHARE * objective_s,
            release_s=release_s,
            is_continued=bool(context.tried_endpoints) or context.is_taken_up,
        )

    def _load(self, entries: list[EndpointEntry]) -> ServiceLoad:
        now_s = asyncio.get_running_loop().time()
        load = ServiceLoad()
        late: list[float] = []
        observed: list[float] = []
        late_endpoints = 0
        for entry in entries:
            state = entry.load
            if (
                state.is_avoided(now_s)
                or not self._is_open(entry)
                or state.stalled_s(now_s)
            ):
                continue
            speed = state.tokens_per_s(now_s)
            load.tokens_per_s += speed
            load.own_cost += state.prefill_cost
            load.peer_cost += state.pending_prefill_cost - state.prefill_cost
            load.running += state.running
            load.slots += entry.endpoint.slots
            if now_s - state.queued_at_s < _OBSERVED_S:
                observed.append(state.queued_s)
            lateness = [
                now_s - in_flight.started_s - in_flight.prefill_cost / speed
                for in_flight in state.in_flight
                if in_flight.prefilling and in_flight.prefill_cost
            ]
            late += [max(0.0, late_s) for late_s in lateness]
            late_endpoints += bool(lateness)
        # One slow endpoint is not contention.
        needed = min(_OBSERVED_ENDPOINTS, len(entries))
        if late and late_endpoints >= needed:
            load.late_s = sum(late) / len(late)
        if observed and len(observed) >= needed:
            load.observed_s = sum(observed) / len(observed)
        return load

    def _update(self, name: str, prompt: WaitingPrompt) -> None:
        service = self._services[name]
        now_s = asyncio.get_running_loop().time()
        entries = self._directory.candidates(name)
        places = self._places(name)
        first = self._reserved(service, prompt.priority, len(places))
        limit_s = prompt.limit_s
        service.policy.record_load(self._load(entries), limit_s, now_s)
        service.policy.update(
            self._load([e for e in entries if places[e.endpoint.id] >= first]),
            self._load([e for e in entries if places[e.endpoint.id] < first]),
            routers=self._live_routers(),
            shared_limit_s=max(limit_s, prompt.own_limit_s)
            if first
            else limit_s,
            waiting_cost=prompt.cost,
            oldest_share=service.queue.oldest_share(now_s),
            now_s=now_s,
        )

    def _may_go(self, service: _Service, prompt: WaitingPrompt) -> bool:
        now_s = asyncio.get_running_loop().time()
        if service.queue.first(now_s) is not prompt:
            return False
        is_alone = len(service.queue) == 1
        return (
            now_s >= prompt.release_s
            or (is_alone and not service.policy.is_contended(now_s))
            or service.policy.admits(
                prompt.cost, is_last_chance=prompt.is_last_chance(now_s)
            )
        )

    def _is_worth_sending(
        self, service: _Service, prompt: WaitingPrompt, context: RequestContext
    ) -> bool:
        # At the end of its wait. The rest of a stream is worth more late than
        # never, and so is a response that begins before the caller leaves.
        now_s = asyncio.get_running_loop().time()
        expected_s = service.policy.shared_wait_s + prompt.work_s
        return (
            context.responder.started
            or expected_s <= context.patience_left_s(now_s)
        )

    def _record_sent(self, service: _Service, prompt: WaitingPrompt) -> None:
        service.queue.remove(prompt, sent=True)
        service.policy.record_sent(prompt.cost)

    def _start_timer(self, name: str, delay_s: float) -> None:
        service = self._services[name]
        if service.timer is None:
            loop = asyncio.get_running_loop()
            service.timer = loop.call_later(delay_s, self._wake_first, name)

    def _wake_first(self, name: str) -> None:
        service = self._services[name]
        service.timer = None
        now_s = asyncio.get_running_loop().time()
        prompt = service.queue.first(now_s)
        if prompt is None:
            return
        self._update(name, prompt)
        delay_s = _POLL_S
        if self._may_go(service, prompt):
            _, future = service.waiters[prompt]
            if not future.done():
                future.set_result(True)
            self._record_sent(service, prompt)
            delay_s = _NEXT_S
        self._start_timer(name, delay_s)

    def _is_hopeless(self, service: _Service, prompt: WaitingPrompt) -> bool:
        # Whether what is sent before the prompt takes longer than it may
        # wait. A prompt that is the first to be sent never is.
        now_s = asyncio.get_running_loop().time()
        before = service.queue.cost_before(prompt, now_s)
        return (
            before > 0
            and service.policy.is_contended(now_s)
            and prompt.release_s == float('inf')
            and now_s + service.policy.wait_s(before) / _CERTAINTY
            > prompt.latest_s
        )

    def _refuse_displaced(self, service: _Service) -> None:
        now_s = asyncio.get_running_loop().time()
        for prompt, (context, future) in list(service.waiters.items()):
            early_s = _EARLY_SHARE * context.route.objective_s
            if (
                not context.possible_runs
                and not future.done()
                and now_s <= context.started_s + early_s
                and self._is_hopeless(service, prompt)
            ):
                service.queue.remove(prompt, sent=False)
                future.set_result(False)

    def _refusal(
        self,
        service: _Service,
        prompt: WaitingPrompt,
        context: RequestContext,
        reason: str,
    ) -> RefusedError:
        now_s = asyncio.get_running_loop().time()
        before = service.queue.cost_before(prompt, now_s)
        self._metrics.count_admission_refusal(reason, prompt.priority)
        return RefusedError(
            503,
            reason,
            service.policy.retry_s(
                before + prompt.cost,
                context.deadline_s - now_s,
                self._rng.random(),
            ),
            service=context.service,
            priority=prompt.priority,
            waiting=len(service.queue),
            expected_s=round(service.policy.wait_s(before), 3),
            waited_s=round(now_s - context.started_s, 4),
        )


def _pending_s(load: EndpointLoad, now_s: float) -> float:
    return load.pending_prefill_cost / load.tokens_per_s(now_s)


def _weight(load: EndpointLoad, now_s: float, *, is_long: bool) -> float:
    weight = load.tokens_per_s(now_s) / (_EVEN_S + _pending_s(load, now_s))
    if is_long and load.for_long_prompts:
        weight *= _LONG_PROMPT_FACTOR
    return weight
