"""Replay of prompts with shared parts at uneven endpoints."""

from __future__ import annotations

import statistics

from basilpond.node._peer_records import PrefixAnnouncements
from basilpond.routing import EndpointSpeeds
from basilpond.routing import PeerReport
from basilpond.routing import PromptPart
from basilpond.routing import choose_endpoint
from basilpond.routing import prefill_cost
from basilpond.routing import prompt_prefixes
from basilpond.routing import sample_loads

from .prompt_fleet import Fleet
from .prompt_fleet import Server

RETENTION_S = 10.0
REANNOUNCE_S = 1.0
COMMON_TOKENS = 512
SUBJECT_TOKENS = 4_870
SUBJECTS = 870
# Share of prompts about a subject; at 0.8 of the capacity, each subject then
# comes five times in half a minute.
SUBJECT_SHARE = 0.19
# Own parts of the prompts about a subject, and of the others.
OWN_TOKENS = (300, 2_000)
OTHER_TOKENS = (800, 8_000)
# Prompts about a subject that find its part read within the retention.
REUSED = 0.8


class CachingServer(Server):
    """Endpoint that skips the prefixes that it has read."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.read_s = {}

    def cached(self, prefixes, begin_s):
        tokens = 0
        for key, length in prefixes:
            if begin_s - self.read_s.get(key, -1e9) > RETENTION_S:
                break
            tokens = length
        for key, _ in prefixes:
            self.read_s[key] = begin_s
        return tokens


class SharedSpeeds:
    """Speeds of one router, learnt from the reports of all.

    All routers receive the same reports and learn the same from them, so they
    share the estimate: one for each of 82 routers took 50 times as long.
    """

    def __init__(self, learnt, own):
        self.tokens_per_s = learnt.tokens_per_s
        self.busy_share = learnt.busy_share
        self.record_prefill = own.record_prefill
        self.record_forecast = own.record_forecast
        self.unseen_wait_s = own.unseen_wait_s


class SharedPartsFleet(Fleet):
    """Fleet whose prompts have shared parts.

    Routers announce what they sent where, with their reports.
    """

    def __init__(self, speeds, routers, *, share, seed=1):
        super().__init__(speeds, routers, share=share)
        self.rng.seed(seed)
        for i, server in enumerate(self.servers):
            self.servers[i] = CachingServer(i, server.speed)
        self.speeds = EndpointSpeeds()
        for server in self.servers:
            self.speeds.track(server.incarnation, 's', '')
        for router in self.routers:
            router.announcements = PrefixAnnouncements(REANNOUNCE_S)
            for load in router.loads:
                load._speeds = SharedSpeeds(self.speeds, router.speeds)
        mean = statistics.fmean(self._least_cost() for _ in range(20_000))
        self.per_s = share * sum(speeds) / mean
        self.own_part = SUBJECTS + 1
        # Time at which any endpoint read a prefix last.
        self.anywhere_s = {}
        # Time, shared tokens of a prompt, and those read again.
        self.reads = []

    def _draw(self):
        if self.rng.random() < SUBJECT_SHARE:
            low, high = OWN_TOKENS
            subject = (
                PromptPart(1 + self.rng.randrange(SUBJECTS), SUBJECT_TOKENS),
            )
        else:
            low, high = OTHER_TOKENS
            subject = ()
        own = round(low * (high / low) ** self.rng.random())
        return subject, own

    def _least_cost(self):
        subject, own = self._draw()
        shared = COMMON_TOKENS + SUBJECT_TOKENS * len(subject)
        cached = shared
        if subject and self.rng.random() > REUSED:
            cached = COMMON_TOKENS
        return prefill_cost(shared + own, cached)

    def parts(self):
        subject, own = self._draw()
        self.own_part += 1
        return (
            PromptPart(0, COMMON_TOKENS),
            *subject,
            PromptPart(self.own_part, own),
        )

    def choose(self, router, prefixes, tokens):
        loads = sample_loads(router.loads, prefixes, self.rng, self.now_s)
        self.apply_totals(router, loads)
        return choose_endpoint(
            loads,
            prompt_tokens=tokens,
            prefixes=prefixes,
            data_centre=router.data_centre,
            reachability=router.reachability,
            now_s=self.now_s,
            rng=self.rng,
        )

    def apply_totals(self, router, loads):
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

    def place(self, router):
        prefixes = prompt_prefixes(self.parts())
        tokens = prefixes[-1][1]
        choice = self.choose(router, prefixes, tokens)
        load = choice.load
        i = self.index[load.endpoint.id]
        server = self.servers[i]
        in_flight = load.add_request(choice.prefill_cost, self.now_s)
        for key, _ in prefixes:
            load.cache.touch(key, self.now_s)
        shared = [key for key, _ in prefixes[:-1]]
        router.announcements.add(i, shared, self.now_s)
        begin_s = max(self.now_s, server.free_s)
        cached = server.cached(prefixes[:-1], begin_s)
        self._count(prefixes[:-1], cached, begin_s)
        first_s = server.prefill(prefill_cost(tokens, cached), self.now_s)
        self.forecasts.append(
            (self.now_s, first_s - self.now_s, choice.forecast_s)
        )
        self.at(first_s, self.first_byte, load, in_flight)
        self.at(first_s + 1.0, load.remove_request, in_flight)

    def _count(self, shared, cached, begin_s):
        again = before = 0
        for key, length in shared:
            known_s = self.anywhere_s.get(key, -1e9)
            if length > cached and begin_s - known_s <= RETENTION_S:
                again += length - before
            self.anywhere_s[key] = max(begin_s, known_s)
            before = length
        self.reads.append((self.now_s, shared[-1][1], again))

    def report(self, router):
        super().report(router)
        prefixes = router.announcements.pop_pending(self.now_s)
        self.at(self.now_s + 0.5, self.hear, router, prefixes)

    def deliver(self, router, loads, speeds):
        for item in speeds:
            self.speeds.apply_report(router.name, item, self.now_s)
        super().deliver(router, loads, ())

    def hear(self, router, prefixes):
        for other in self.routers:
            if other is not router:
                for i, key in prefixes:
                    other.loads[i].cache.touch(key, self.now_s)

    def read_again(self, since_s):
        """Return the share of shared tokens that were read again."""
        reads = [item for item in self.reads if item[0] >= since_s]
        return sum(r[2] for r in reads) / sum(r[1] for r in reads)

    def quantile_s(self, since_s, share):
        """Return a quantile of the times to the first event."""
        took_s = sorted(t for at_s, t, _ in self.forecasts if at_s >= since_s)
        return took_s[int(share * len(took_s))]
