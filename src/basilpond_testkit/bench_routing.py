"""Compare the routing policy with a plain baseline on a small model.

The model has endpoints with slots, a queue and a prefix cache, and routers
with late load reports; it has no network. Writes one JSON line per figure
with name, value and unit. The baseline sends each request to a random
reachable endpoint and retries each failure twice.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import heapq
import json
import random
import sys
import time

from basilpond.core import QueuedRequest
from basilpond.core import RequestQueue
from basilpond.core import RetryBudget
from basilpond.core import _manifest
from basilpond.core import _routing

_DATA_CENTRES = 3
_ENDPOINTS = 9
_ROUTERS = 9
_SLOTS = 16
_PREFILL_S_PER_BLOCK = 0.004
_DECODE_S = 2.0
_CACHE_BLOCKS = 2_000
_REPORT_INTERVAL_S = 2.0
_DEADLINE_S = 10.0
_BASELINE_RETRIES = 2


@dataclasses.dataclass(slots=True)
class _Request:
    router: int
    digests: tuple[int, ...]
    arrival_s: float
    attempts: int = 0
    tried: frozenset[str] = frozenset()
    first_token_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class _Scenario:
    rate_per_s: float = 40.0
    duration_s: float = 120.0
    # Share of the requests that arrive in the first data centre.
    first_share: float = 1 / _DATA_CENTRES
    slow: dict[str, float] = dataclasses.field(default_factory=dict)
    failing: frozenset[str] = frozenset()
    outage_s: tuple[float, float] = (0.0, 0.0)
    conversations: int = 400


class _Server:
    """Endpoint with slots, a first-in-first-out queue and a cache."""

    def __init__(self, model: _Model, name: str) -> None:
        self.model = model
        self.name = name
        self.running = 0
        self.waiting: collections.deque[_Request] = collections.deque()
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def submit(self, request: _Request) -> None:
        start_s, end_s = self.model.scenario.outage_s
        if (
            self.name in self.model.scenario.failing
            and start_s <= self.model.now_s < end_s
        ):
            self.model.after(0.01, self.model.failed, request, self.name)
        elif self.running < _SLOTS:
            self._run(request)
        else:
            self.waiting.append(request)

    def _run(self, request: _Request) -> None:
        self.running += 1
        hits = 0
        for digest in request.digests:
            if digest not in self.cache:
                break
            hits += 1
        for digest in request.digests:
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        while len(self.cache) > _CACHE_BLOCKS:
            self.cache.popitem(last=False)
        self.model.blocks += len(request.digests)
        self.model.hits += hits
        factor = self.model.scenario.slow.get(self.name, 1.0)
        prefill_s = factor * (
            0.02 + _PREFILL_S_PER_BLOCK * (len(request.digests) - hits)
        )
        decode_s = factor * _DECODE_S * self.model.rng.uniform(0.2, 1.8)
        self.model.after(prefill_s, self.model.first_token, request, self.name)
        self.model.after(prefill_s + decode_s, self._end, request)

    def _end(self, request: _Request) -> None:
        self.running -= 1
        if self.waiting:
            self._run(self.waiting.popleft())
        self.model.done(request, self.name)


class _Model:
    """Event loop of one run; subclasses choose endpoints."""

    def __init__(self, scenario: _Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.sequence = 0
        self.servers = {
            f'e{n}': _Server(self, f'e{n}') for n in range(_ENDPOINTS)
        }
        self.latencies_s: list[float] = []
        self.requests = 0
        self.attempts = 0
        self.outage_requests = 0
        self.outage_attempts = 0
        self.lost = 0
        self.blocks = 0
        self.hits = 0

    def after(self, delay_s: float, call: Callable[..., None], *args) -> None:
        self.sequence += 1
        heapq.heappush(
            self.events, (self.now_s + delay_s, self.sequence, call, args)
        )

    def run(self) -> None:
        self.after(0.0, self._arrive)
        self.after(0.0, self.tick)
        while self.events:
            self.now_s, _, call, args = heapq.heappop(self.events)
            call(*args)

    def in_outage(self) -> bool:
        start_s, end_s = self.scenario.outage_s
        return start_s <= self.now_s < end_s

    def _arrive(self) -> None:
        rng = self.rng
        first = rng.random() < self.scenario.first_share
        data_centre = 0 if first else rng.randrange(1, _DATA_CENTRES)
        router = rng.randrange(0, _ROUTERS, _DATA_CENTRES) + data_centre
        # A few conversations are much more frequent than the others.
        conversation = int(
            self.scenario.conversations * rng.paretovariate(1.0) / 50
        )
        depth = rng.randrange(8, 40)
        digests = tuple(conversation << 8 | block for block in range(depth))
        self.requests += 1
        self.outage_requests += self.in_outage()
        self.submit(_Request(router, digests, self.now_s))
        if self.now_s < self.scenario.duration_s:
            self.after(rng.expovariate(self.scenario.rate_per_s), self._arrive)

    def send(self, request: _Request, endpoint: str) -> None:
        request.attempts += 1
        request.tried |= {endpoint}
        self.attempts += 1
        self.outage_attempts += self.in_outage()
        self.servers[endpoint].submit(request)

    def first_token(self, request: _Request, endpoint: str) -> None:
        request.first_token_s = self.now_s - request.arrival_s
        self.latencies_s.append(request.first_token_s)

    def done(self, request: _Request, endpoint: str) -> None:
        """Take the end of a response."""

    def tick(self) -> None:
        """Take load reports."""

    def submit(self, request: _Request) -> None:
        """Route a new request."""
        raise NotImplementedError

    def failed(self, request: _Request, endpoint: str) -> None:
        """Take a failed attempt."""
        raise NotImplementedError


class _Baseline(_Model):
    def submit(self, request: _Request) -> None:
        self.send(request, self.rng.choice(list(self.servers)))

    def failed(self, request: _Request, endpoint: str) -> None:
        if request.attempts > _BASELINE_RETRIES:
            self.lost += 1
        else:
            self.submit(request)


class _Policy(_Model):
    def __init__(self, scenario: _Scenario, seed: int) -> None:
        super().__init__(scenario, seed)
        manifest = _manifest_of(_ENDPOINTS, _DATA_CENTRES)
        self.tables = []
        for router in range(_ROUTERS):
            table = _routing.EndpointTable(
                f'dc{router % _DATA_CENTRES}', random.Random(seed + router)
            )
            table.set_manifest(manifest)
            self.tables.append(table)
        self.queues = [RequestQueue(max_size=256) for _ in range(_ROUTERS)]
        self.budgets = [RetryBudget() for _ in range(_ROUTERS)]

    def submit(self, request: _Request) -> None:
        self.budgets[request.router].record_request()
        self._route(request)

    def _route(self, request: _Request) -> None:
        table = self.tables[request.router]
        query = _routing.RouteQuery(
            'org',
            model='m',
            prefix_digests=request.digests,
            exclude=request.tried,
        )
        endpoint = table.choose(query, self.now_s)
        if endpoint is not None:
            table.start_attempt(endpoint, self.now_s, request.digests)
            self.send(request, endpoint)
            return
        queued = QueuedRequest(
            request, 'org', 5, request.arrival_s + _DEADLINE_S
        )
        admission = self.queues[request.router].push(queued, self.now_s)
        self.lost += admission.refusal is not None

    def first_token(self, request: _Request, endpoint: str) -> None:
        super().first_token(request, endpoint)
        self.tables[request.router].record_first_byte(
            endpoint, request.first_token_s, self.now_s
        )

    def done(self, request: _Request, endpoint: str) -> None:
        self._finish(request, endpoint, _routing.AttemptResult.COMPLETE)

    def failed(self, request: _Request, endpoint: str) -> None:
        self._finish(request, endpoint, _routing.AttemptResult.FAILED)
        if self.budgets[request.router].try_retry(self.now_s):
            self._route(request)
        else:
            self.lost += 1

    def tick(self) -> None:
        reports = {
            name: _routing.EndpointLoad(server.running, len(server.waiting))
            for name, server in self.servers.items()
        }
        for table in self.tables:
            for name, load in reports.items():
                delay_s = self.rng.uniform(0, _REPORT_INTERVAL_S)
                self.after(delay_s, self._report, table, name, load)
        for queue in self.queues:
            self.lost += len(queue.pop_expired(self.now_s))
        busy = any(len(queue) for queue in self.queues)
        if self.now_s < self.scenario.duration_s or busy:
            self.after(_REPORT_INTERVAL_S, self.tick)

    def _report(
        self,
        table: _routing.EndpointTable,
        name: str,
        load: _routing.EndpointLoad,
    ) -> None:
        table.report_load(name, load, self.now_s)

    def _finish(
        self,
        request: _Request,
        endpoint: str,
        result: _routing.AttemptResult,
    ) -> None:
        self.tables[request.router].finish_attempt(
            endpoint, result, self.now_s
        )
        self.budgets[request.router].record_result(
            failed=result is _routing.AttemptResult.FAILED
        )
        queued = self.queues[request.router].pop(self.now_s)
        if queued is not None:
            self._route(queued.item)


def _manifest_of(endpoints: int, data_centres: int) -> _manifest.Manifest:
    return _manifest.Manifest(
        organisations=[
            _manifest.Organisation(
                id='org',
                key_sha256=['0' * 64],
                top_ups=[],
                endpoints=[f'e{n}' for n in range(endpoints)],
            )
        ],
        models=[_manifest.Model(id='m')],
        endpoints=[
            _manifest.Endpoint(
                id=f'e{n}',
                data_centre=f'dc{n % data_centres}',
                url=f'http://10.0.{n // 250}.{n % 250}:80',
                models=['m'],
            )
            for n in range(endpoints)
        ],
    )


def _quantile_ms(values_s: list[float], share: float) -> float:
    ordered = sorted(values_s)
    return round(1000 * ordered[int(share * (len(ordered) - 1))], 1)


def _write(name: str, value: float, unit: str) -> None:
    figure = {'name': name, 'value': value, 'unit': unit}
    sys.stdout.write(json.dumps(figure) + '\n')


def _run(name: str, scenario: _Scenario, seed: int) -> None:
    for policy, kind in (('baseline', _Baseline), ('policy', _Policy)):
        model = kind(scenario, seed)
        model.run()
        prefix = f'{name}_{policy}'
        for share in (0.5, 0.95, 0.99):
            value = _quantile_ms(model.latencies_s, share)
            _write(f'{prefix}_first_token_p{share * 100:.0f}', value, 'ms')
        _write(
            f'{prefix}_prefix_hits',
            round(100 * model.hits / model.blocks, 1),
            '% of blocks',
        )
        _write(
            f'{prefix}_lost',
            round(100 * model.lost / model.requests, 2),
            '% of requests',
        )
        if model.outage_requests:
            _write(
                f'{prefix}_outage_amplification',
                round(model.outage_attempts / model.outage_requests, 3),
                'attempts/request',
            )


def _time_choose(endpoints: int, data_centres: int) -> None:
    table = _routing.EndpointTable('dc0', random.Random(1))
    table.set_manifest(_manifest_of(endpoints, data_centres))
    query = _routing.RouteQuery(
        'org', model='m', prefix_digests=tuple(range(40))
    )
    table.start_attempt('e0', 0.0, query.prefix_digests)
    rounds = 2000
    start_ns = time.process_time_ns()
    for _ in range(rounds):
        table.choose(query, 0.0)
    spent_us = (time.process_time_ns() - start_ns) / rounds / 1000
    _write(f'choose_{endpoints}_endpoints', round(spent_us, 1), 'us/choice')


def main() -> None:
    """Run all scenarios with one seed."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    names = frozenset(f'e{n}' for n in range(_ENDPOINTS))
    _run('even', _Scenario(), seed)
    _run('skewed', _Scenario(first_share=0.7), seed)
    _run('slow_endpoint', _Scenario(slow={'e4': 8.0}), seed)
    _run(
        'one_fails',
        _Scenario(failing=frozenset({'e4'}), outage_s=(40.0, 80.0)),
        seed,
    )
    _run('outage', _Scenario(failing=names, outage_s=(40.0, 80.0)), seed)
    _time_choose(_ENDPOINTS, _DATA_CENTRES)
    _time_choose(350, 17)


if __name__ == '__main__':
    main()
