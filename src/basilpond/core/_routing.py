"""Selection of an endpoint for each attempt."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
import math
import random

from ._adaptive_limit import AdaptiveLimit
from ._manifest import Endpoint
from ._manifest import Manifest
from ._outlier_ejection import OutlierEjection
from ._prefix_affinity import PrefixAffinity
from ._quarantine import Quarantine

_LOAD_HALF_LIFE_S = 2.0
# Requests in flight that a whole cached prompt outweighs.
_AFFINITY_REQUESTS = 8.0
_SAMPLES = 2
# The own data centre gives way when its mean load exceeds this multiple of
# the others' plus `_LOCAL_SLACK_REQUESTS`.
_LOCAL_FACTOR = 1.25
_LOCAL_SLACK_REQUESTS = 1.0
_REMOTE_SAMPLES = 8
# Ejections are ignored when fewer of the endpoints would be left: requests
# concentrated on them would fail too.
_PANIC_SHARE = 0.34
# Own signals or the peer's next notice confirm a peer's notice of a leaving
# endpoint within this time.
_PEER_NOTICE_S = 60.0
_MAX_CACHED_GROUPS = 256


class AttemptResult(enum.Enum):
    """What an attempt says about its endpoint."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    INVALID = 'invalid'
    REFUSED = 'refused'
    # The caller left or made the error.
    NEUTRAL = 'neutral'


class LeavingSource(enum.Enum):
    """Who says that an endpoint is leaving."""

    VM_LIST = 'vm_list'
    LOAD_REPORT = 'load_report'
    PEER = 'peer'
    OPERATOR = 'operator'


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLoad:
    """Load report of an endpoint."""

    running: int
    waiting: int
    kv_used_share: float = 0.0
    leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class RouteQuery:
    """Request to route; exactly one of `model` and `service` is set.

    `exclude` lists endpoints that earlier attempts used.
    """

    organisation: str
    model: str | None = None
    service: str | None = None
    prefix_digests: tuple[int, ...] = ()
    exclude: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class _State:
    endpoint: Endpoint
    limit: AdaptiveLimit
    in_flight: int = 0
    # Requests of others in the last report.
    other_load: float = 0.0
    reported_s: float = -math.inf
    leaving: dict[LeavingSource, float] = dataclasses.field(
        default_factory=dict
    )

    def load(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.reported_s)
        return self.in_flight + self.other_load * 0.5 ** (
            age_s / _LOAD_HALF_LIFE_S
        )

    def is_leaving(self, now_s: float) -> bool:
        if self.endpoint.drain:
            return True
        for source, at_s in self.leaving.items():
            if source is not LeavingSource.PEER or (
                now_s - at_s < _PEER_NOTICE_S
            ):
                return True
        return False


class EndpointTable:
    """Endpoints of the manifest with what the router knows of them.

    Parameters
    ----------
    data_centre : str
        Data centre of this router.
    rng : random.Random
        Source of all random choices.
    affinity : PrefixAffinity, optional
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        *,
        affinity: PrefixAffinity | None = None,
    ) -> None:
        self.affinity = PrefixAffinity() if affinity is None else affinity
        self.ejection = OutlierEjection()
        self.quarantine = Quarantine()
        self._data_centre = data_centre
        self._rng = rng
        self._states: dict[str, _State] = {}
        self._reachable: dict[str, list[str]] = {}
        # Endpoints of each model (True) and service (False).
        self._groups: dict[tuple[bool, str], tuple[str, ...]] = {}
        self._candidate_cache: dict[
            tuple[str, bool, str], tuple[tuple[_State, ...], ...]
        ] = {}

    def set_manifest(self, manifest: Manifest) -> None:
        """Take the endpoints and reachability of a manifest.

        An endpoint keeps its history unless its address changed.
        """
        states = {}
        groups: dict[tuple[bool, str], list[str]] = {}
        for endpoint in manifest.endpoints:
            state = self._states.get(endpoint.id)
            if state is None or state.endpoint.url != endpoint.url:
                state = _State(endpoint, AdaptiveLimit())
            state.endpoint = endpoint
            states[endpoint.id] = state
            for key in _group_keys(endpoint):
                groups.setdefault(key, []).append(endpoint.id)
        kept = {
            name
            for name, state in states.items()
            if self._states.get(name) is state
        }
        self.affinity.remove_endpoints(self._states.keys() - kept)
        self.ejection.retain(kept)
        self.quarantine.retain(kept)
        self._states = states
        self._groups = {key: tuple(names) for key, names in groups.items()}
        # Sets are built per query and cached: those of all organisations
        # would take hundreds of megabytes at the target size.
        self._reachable = {
            organisation.id: organisation.endpoints
            for organisation in manifest.organisations
        }
        self._candidate_cache.clear()

    def report_load(
        self, endpoint: str, load: EndpointLoad, now_s: float
    ) -> None:
        """Take a load report; unknown endpoints are ignored."""
        state = self._states.get(endpoint)
        if state is None:
            return
        state.other_load = max(
            0, load.running + load.waiting - state.in_flight
        )
        state.reported_s = now_s
        self.set_leaving(
            endpoint, LeavingSource.LOAD_REPORT, load.leaving, now_s
        )

    def set_leaving(
        self,
        endpoint: str,
        source: LeavingSource,
        leaving: bool,
        now_s: float,
    ) -> bool:
        """Set or clear one source's signal.

        Returns
        -------
        bool
            Whether the endpoint is leaving now and was not before.
        """
        state = self._states.get(endpoint)
        if state is None:
            return False
        before = state.is_leaving(now_s)
        if leaving:
            state.leaving[source] = now_s
        else:
            state.leaving.pop(source, None)
        return state.is_leaving(now_s) and not before

    def is_drained(self, endpoint: str) -> bool:
        """Return whether an operator's order to this router is in force."""
        state = self._states.get(endpoint)
        return state is not None and LeavingSource.OPERATOR in state.leaving

    def is_leaving(self, endpoint: str, now_s: float) -> bool:
        """Return whether any source says that the endpoint is leaving."""
        state = self._states.get(endpoint)
        return state is not None and state.is_leaving(now_s)

    def endpoint(self, endpoint: str) -> Endpoint | None:
        """Return an endpoint of the manifest in force."""
        state = self._states.get(endpoint)
        return None if state is None else state.endpoint

    def in_flight(self, endpoint: str) -> int:
        """Return this router's running attempts at the endpoint."""
        state = self._states.get(endpoint)
        return 0 if state is None else state.in_flight

    def limit(self, endpoint: str) -> int:
        """Return the concurrency limit of the endpoint."""
        return self._states[endpoint].limit.limit

    def start_attempt(
        self, endpoint: str, now_s: float, digests: tuple[int, ...] = ()
    ) -> None:
        """Count an attempt that starts."""
        state = self._states.get(endpoint)
        if state is not None:
            state.in_flight += 1
            self.affinity.record(endpoint, digests)

    def record_first_byte(
        self, endpoint: str, latency_s: float, now_s: float
    ) -> None:
        """Take the first-byte latency of a running attempt."""
        state = self._states.get(endpoint)
        if state is not None:
            state.limit.record_first_byte(latency_s, state.in_flight, now_s)

    def finish_attempt(
        self, endpoint: str, result: AttemptResult, now_s: float
    ) -> None:
        """Count the end of an attempt, also of a removed endpoint."""
        state = self._states.get(endpoint)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        if result is AttemptResult.NEUTRAL:
            return
        if result is AttemptResult.INVALID:
            self.quarantine.record_invalid(endpoint, now_s)
        failed = result is AttemptResult.FAILED
        if failed or result is AttemptResult.REFUSED:
            state.limit.record_failure(now_s)
        # A refusal is load, not a fault: it lowers the limit only.
        self.ejection.record(
            endpoint,
            failed=failed,
            groups=[self._groups[key] for key in _group_keys(state.endpoint)],
            now_s=now_s,
        )

    def choose(self, query: RouteQuery, now_s: float) -> str | None:
        """Return the endpoint for an attempt, None when none can take it."""
        local, remote = self._candidates(query)
        available = list(self._available(local, query, now_s))
        healthy = list(self._healthy(available, now_s))
        candidates = list(self._within_limit(healthy))
        panic = not healthy or len(healthy) < _PANIC_SHARE * len(available)
        if (
            panic
            or not candidates
            or self._is_much_busier(candidates, remote, query, now_s)
        ):
            remote_available = list(self._available(remote, query, now_s))
            available += remote_available
            healthy += self._healthy(remote_available, now_s)
            if len(healthy) < _PANIC_SHARE * len(available):
                healthy = available
            candidates = list(self._within_limit(healthy))
        if not candidates:
            return None
        shares = (
            self.affinity.matches(query.prefix_digests)
            if query.prefix_digests
            else {}
        )
        return min(
            self._sample(candidates, shares),
            key=lambda state: self._score(state, shares, now_s),
        ).endpoint.id

    def can_serve(self, query: RouteQuery, now_s: float) -> bool:
        """Return whether waiting for an endpoint can help the request."""
        local, remote = self._candidates(query)
        return any(True for _ in self._available(local, query, now_s)) or any(
            True for _ in self._available(remote, query, now_s)
        )

    def _candidates(self, query: RouteQuery) -> tuple[tuple[_State, ...], ...]:
        """Return the local and remote endpoints that may serve the query."""
        is_model = query.model is not None
        group = query.model if is_model else query.service
        key = (query.organisation, is_model, group or '')
        found = self._candidate_cache.get(key)
        if found is None:
            reachable = set(self._reachable.get(query.organisation, ()))
            states = [
                self._states[name]
                for name in self._groups.get(key[1:], ())
                if name in reachable
            ]
            found = tuple(
                tuple(
                    state
                    for state in states
                    if (state.endpoint.data_centre == self._data_centre)
                    is local
                )
                for local in (True, False)
            )
            if len(self._candidate_cache) >= _MAX_CACHED_GROUPS:
                del self._candidate_cache[next(iter(self._candidate_cache))]
            self._candidate_cache[key] = found
        return found

    def _available(
        self, states: Iterable[_State], query: RouteQuery, now_s: float
    ) -> Iterator[_State]:
        """Drop endpoints that must not get this request."""
        for state in states:
            name = state.endpoint.id
            if name in query.exclude or state.is_leaving(now_s):
                continue
            share = self.quarantine.traffic_share(name, now_s)
            if share >= 1 or (share > 0 and self._rng.random() < share):
                yield state

    def _healthy(
        self, states: Iterable[_State], now_s: float
    ) -> Iterator[_State]:
        """Drop ejected endpoints."""
        for state in states:
            if not self.ejection.is_ejected(state.endpoint.id, now_s):
                yield state

    @staticmethod
    def _within_limit(states: Iterable[_State]) -> Iterator[_State]:
        return (s for s in states if s.in_flight < s.limit.limit)

    def _is_much_busier(
        self,
        local: list[_State],
        remote: tuple[_State, ...],
        query: RouteQuery,
        now_s: float,
    ) -> bool:
        """Compare the mean local load with some remote endpoints' mean."""
        local_load = sum(s.load(now_s) for s in local) / len(local)
        if local_load <= _LOCAL_SLACK_REQUESTS or not remote:
            return False
        sample = self._rng.sample(remote, min(_REMOTE_SAMPLES, len(remote)))
        remote_loads = [
            s.load(now_s) for s in self._available(sample, query, now_s)
        ]
        if not remote_loads:
            return False
        remote_load = sum(remote_loads) / len(remote_loads)
        return local_load > _LOCAL_FACTOR * remote_load + _LOCAL_SLACK_REQUESTS

    def _sample(
        self, candidates: list[_State], shares: dict[str, float]
    ) -> Iterator[_State]:
        """Yield some candidates and the one with the longest prefix."""
        yield from self._rng.sample(candidates, min(_SAMPLES, len(candidates)))
        prefix_holders = [s for s in candidates if s.endpoint.id in shares]
        if prefix_holders:
            yield max(prefix_holders, key=lambda s: shares[s.endpoint.id])

    @staticmethod
    def _score(state: _State, shares: dict[str, float], now_s: float) -> float:
        affinity_bonus = _AFFINITY_REQUESTS * shares.get(
            state.endpoint.id, 0.0
        )
        return state.load(now_s) - affinity_bonus


def _group_keys(endpoint: Endpoint) -> Iterator[tuple[bool, str]]:
    """Yield the models (True) or service (False) of an endpoint."""
    for model in endpoint.models:
        yield (True, model)
    if endpoint.service is not None:
        yield (False, endpoint.service)


__all__ = [
    'AttemptResult',
    'EndpointLoad',
    'EndpointTable',
    'LeavingSource',
    'RouteQuery',
]
