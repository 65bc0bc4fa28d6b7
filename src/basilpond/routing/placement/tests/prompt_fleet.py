"""Replay of prompts at uneven endpoints, without a network or real time.

Each endpoint prefills its prompts one after the other. Routers choose by what
they sent themselves and by reports of the others, which are 0.5 to 1 s old.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics

from basilpond.routing import Endpoint
from basilpond.routing import EndpointLoad
from basilpond.routing import EndpointSpeeds
from basilpond.routing import PeerReport
from basilpond.routing import Reachability
from basilpond.routing import SpeedReport
from basilpond.routing import choose_endpoint
from basilpond.routing import prefill_cost
from basilpond.routing import sample_loads

REPORT_INTERVAL_S = 0.5
REPORT_DELAY_S = 0.5
BASE_S = 0.03
STREAM_S = 1.0


class Server:
    """Endpoint with a speed in units of cost a second."""

    def __init__(self, number, speed, data_centre='dc'):
        self.endpoint = Endpoint(
            f'e{number}', 1, 's', '10.0.0.1', 80, data_centre, 64, False, 0.0
        )
        self.incarnation = number
        self.speed = speed
        self.free_s = 0.0
        self.work_s = 0.0
        self.prompts = 0
        # Slows down all prefills that begin within it, for tests of a pause.
        self.slow = (0.0, 0.0, 1.0)

    def prefill(self, cost, now_s):
        """Return the time of the first event."""
        begin_s = max(now_s, self.free_s)
        from_s, to_s, factor = self.slow
        speed = self.speed / (factor if from_s <= begin_s < to_s else 1.0)
        self.free_s = begin_s + cost / speed
        self.work_s += cost / speed
        self.prompts += 1
        return self.free_s + BASE_S


class Router:
    def __init__(self, number, servers, rng):
        self.name = f'r{number}'
        self.data_centre = 'dc'
        self.speeds = EndpointSpeeds()
        self.loads = [None] * len(servers)
        for i, server in enumerate(servers):
            self.add(i, server)
        self.rng = rng
        self.reachability = Reachability()
        self.told = [(0, 0.0)] * len(servers)

    def add(self, i, server):
        self.speeds.track(server.incarnation, 's', '')
        self.loads[i] = EndpointLoad(
            server.endpoint, 10.0, self.speeds, server.incarnation
        )


class Fleet:
    def __init__(
        self, speeds, routers, *, share, tokens=(800, 12_000), remote=0
    ):
        self.rng = random.Random(1)
        local = len(speeds) - remote
        self.servers = [
            Server(i, v, 'dc' if i < local else 'other')
            for i, v in enumerate(speeds)
        ]
        self.routers = [
            Router(i, self.servers, self.rng) for i in range(routers)
        ]
        self.index = {s.endpoint.id: i for i, s in enumerate(self.servers)}
        self.tokens = tokens
        mean = statistics.fmean(
            prefill_cost(self._prompt(), 0) for _ in range(5_000)
        )
        self.per_s = share * sum(speeds) / mean
        self.totals = [[0, 0.0] for _ in speeds]
        self.forecasts = []
        # Names of routers that report false speeds.
        self.liars = set()
        self.now_s = 0.0
        self.events = []
        self.count = itertools.count()
        for router in self.routers:
            self.at(self.rng.random() * REPORT_INTERVAL_S, self.report, router)
        self.at(0.0, self.arrive)

    def at(self, time_s, action, *arguments):
        heapq.heappush(
            self.events, (time_s, next(self.count), action, arguments)
        )

    def run(self, until_s):
        while self.events and self.events[0][0] < until_s:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now_s = until_s

    def _prompt(self):
        low, high = self.tokens
        return round(low * (high / low) ** self.rng.random())

    def arrive(self):
        self.at(self.now_s + self.rng.expovariate(self.per_s), self.arrive)
        self.place(self.rng.choice(self.routers))

    def place(self, router):
        loads = sample_loads(router.loads, [], self.rng, self.now_s)
        for load in loads:
            i = self.index[load.endpoint.id]
            running, cost = self.totals[i]
            own_running, own_cost = router.told[i]
            load.apply_report(
                'others',
                PeerReport(
                    running - own_running,
                    max(0.0, cost - own_cost),
                    self.now_s,
                ),
            )
        choice = choose_endpoint(
            loads,
            prompt_tokens=self._prompt(),
            prefixes=[],
            data_centre=router.data_centre,
            reachability=router.reachability,
            now_s=self.now_s,
            rng=self.rng,
        )
        server = self.servers[self.index[choice.load.endpoint.id]]
        in_flight = choice.load.add_request(choice.prefill_cost, self.now_s)
        first_s = server.prefill(choice.prefill_cost, self.now_s)
        self.forecasts.append(
            (self.now_s, first_s - self.now_s, choice.forecast_s)
        )
        self.at(first_s, self.first_byte, choice.load, in_flight)
        self.at(first_s + STREAM_S, choice.load.remove_request, in_flight)

    def first_byte(self, load, in_flight):
        load.record_first_byte(in_flight, self.now_s)

    def report(self, router):
        self.at(self.now_s + REPORT_INTERVAL_S, self.report, router)
        loads = [(len(x.in_flight), x.prefill_cost) for x in router.loads]
        for load in router.loads:
            load.expire_reports(self.now_s, REPORT_INTERVAL_S)
        speeds = router.speeds.reports(self.now_s)
        if router.name in self.liars:
            # Half are much too high, half much too low.
            speeds = [
                SpeedReport(i, 1e3 if i % 2 else 1e7, 1.0)
                for i in self.rng.choices(range(len(self.servers)), k=16)
            ]
        self.at(
            self.now_s + REPORT_DELAY_S, self.deliver, router, loads, speeds
        )

    def deliver(self, router, loads, speeds):
        for other in self.routers:
            if other is not router:
                for item in speeds:
                    other.speeds.apply_report(router.name, item, self.now_s)
        for total, new, old in zip(
            self.totals, loads, router.told, strict=True
        ):
            total[0] += new[0] - old[0]
            total[1] += new[1] - old[1]
        router.told = loads

    def restart(self, i, speed):
        """Replace the process of an endpoint."""
        server = self.servers[i]
        server.incarnation += 1000
        server.speed = speed
        for router in self.routers:
            router.speeds.forget(server.incarnation - 1000)
            router.add(i, server)

    def learnt(self, i):
        """Return the ratio of learnt to real speed, median of the routers."""
        server = self.servers[i]
        return statistics.median(
            router.speeds.tokens_per_s(server.incarnation, self.now_s)
            / server.speed
            for router in self.routers
        )

    def accuracy(self, since_s):
        """Return the share of forecasts within a factor of two."""
        within = [
            0.5 <= took_s / forecast_s <= 2.0
            for at_s, took_s, forecast_s in self.forecasts
            if at_s >= since_s
        ]
        return statistics.fmean(within)

    def slowest_tenth_s(self, since_s):
        """Return the time to the first event that one in ten exceeds."""
        took_s = sorted(t for at_s, t, _ in self.forecasts if at_s >= since_s)
        return took_s[int(0.9 * len(took_s))]

    def busiest(self, work_before):
        work = [
            s.work_s - w
            for s, w in zip(self.servers, work_before, strict=True)
        ]
        return max(work) / statistics.fmean(work)

    def work(self):
        return [s.work_s for s in self.servers]
