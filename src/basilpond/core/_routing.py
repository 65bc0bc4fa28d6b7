"""Selection of an endpoint for each attempt to run a request.

The local data centre is preferred. Among its usable endpoints, the least
loaded of a few random ones is chosen, with a bonus for endpoints that
probably have the prompt's prefix in their cache.
"""

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

# A load report loses half of its weight in this time.
_LOAD_HALF_LIFE_S = 2.0
# A fully cached prompt outweighs this many requests in flight.
_MAX_AFFINITY_BONUS_REQUESTS = 8.0
_CANDIDATE_SAMPLES = 2
# Endpoints of other data centres are considered when the mean load of the
# local ones exceeds this multiple of the remote mean plus
# `_LOCAL_SLACK_REQUESTS`.
_LOCAL_LOAD_FACTOR = 1.25
_LOCAL_SLACK_REQUESTS = 1.0
_REMOTE_SAMPLES = 8
# Ejections are ignored when less than this share of the available endpoints
# would remain: all requests concentrated on so few would fail, too.
_PANIC_THRESHOLD = 0.34
# A peer's notice that an endpoint is leaving expires after this time. By then
# this router's own signals or the peer's next notice have confirmed it.
_PEER_NOTICE_TTL_S = 60.0
_MAX_CACHED_GROUPS = 256


class AttemptResult(enum.Enum):
    """Result of an attempt, as evidence about its endpoint."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    INVALID = 'invalid'
    REFUSED = 'refused'
    # The caller disconnected or caused the error.
    NEUTRAL = 'neutral'


class LeavingSource(enum.Enum):
    """Source of the signal that an endpoint is leaving."""

    VM_LIST = 'vm_list'
    LOAD_REPORT = 'load_report'
    PEER = 'peer'
    OPERATOR = 'operator'


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLoad:
    """Load report of an endpoint.

    `running` and `waiting` count requests of all routers.
    """

    running: int
    waiting: int
    kv_used_share: float = 0.0
    leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class RouteQuery:
    """Request to route; exactly one of `model` and `service` is set.

    `exclude` lists endpoints that earlier attempts of the request used.
    """

    organisation: str
    model: str | None = None
    service: str | None = None
    prefix_digests: tuple[int, ...] = ()
    exclude: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class _EndpointState:
    endpoint: Endpoint
    limit: AdaptiveLimit
    in_flight: int = 0
    # Requests of other routers at the time of the last load report.
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
                now_s - at_s < _PEER_NOTICE_TTL_S
            ):
                return True
        return False


class EndpointTable:
    """Endpoints of the manifest, with their load, limits and health.

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
        self._states: dict[str, _EndpointState] = {}
        self._reachable: dict[str, list[str]] = {}
        # Endpoints of each model (True) and service (False).
        self._groups: dict[tuple[bool, str], tuple[str, ...]] = {}
        self._candidate_cache: dict[
            tuple[str, bool, str], tuple[tuple[_EndpointState, ...], ...]
        ] = {}

    def set_manifest(self, manifest: Manifest) -> None:
        """Replace the endpoints and their reachability by a manifest's.

        An endpoint keeps its load, limit and health unless its address
        changed.
        """
        states = {}
        groups: dict[tuple[bool, str], list[str]] = {}
        for endpoint in manifest.endpoints:
            state = self._states.get(endpoint.id)
            if state is None or state.endpoint.url != endpoint.url:
                state = _EndpointState(endpoint, AdaptiveLimit())
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
        # Lists, not sets: sets for all organisations would take hundreds of
        # megabytes at the target fleet size. `_candidates` builds a set for
        # one organisation and caches the result.
        self._reachable = {
            organisation.id: organisation.endpoints
            for organisation in manifest.organisations
        }
        self._candidate_cache.clear()

    def report_load(
        self, endpoint: str, load: EndpointLoad, now_s: float
    ) -> None:
        """Apply a load report; unknown endpoints are ignored."""
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
        """Set or clear the leaving signal of one source.

        Returns
        -------
        bool
            Whether this call made the endpoint leave; False if another
            source had already signalled it.
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
        """Return whether an operator drained the endpoint at this router."""
        state = self._states.get(endpoint)
        return state is not None and LeavingSource.OPERATOR in state.leaving

    def is_leaving(self, endpoint: str, now_s: float) -> bool:
        """Return whether any source signals that the endpoint is leaving."""
        state = self._states.get(endpoint)
        return state is not None and state.is_leaving(now_s)

    def endpoint(self, endpoint: str) -> Endpoint | None:
        """Return an endpoint of the current manifest, None if unknown."""
        state = self._states.get(endpoint)
        return None if state is None else state.endpoint

    def in_flight(self, endpoint: str) -> int:
        """Return the number of this router's attempts at the endpoint."""
        state = self._states.get(endpoint)
        return 0 if state is None else state.in_flight

    def limit(self, endpoint: str) -> int:
        """Return the concurrency limit of the endpoint."""
        return self._states[endpoint].limit.limit

    def start_attempt(
        self, endpoint: str, now_s: float, digests: tuple[int, ...] = ()
    ) -> None:
        """Count an attempt that starts, and its prompt prefixes."""
        state = self._states.get(endpoint)
        if state is not None:
            state.in_flight += 1
            self.affinity.record(endpoint, digests)

    def record_first_byte(
        self, endpoint: str, latency_s: float, now_s: float
    ) -> None:
        """Adjust the endpoint's limit to a first-byte latency."""
        state = self._states.get(endpoint)
        if state is not None:
            state.limit.record_first_byte(latency_s, state.in_flight, now_s)

    def finish_attempt(
        self, endpoint: str, result: AttemptResult, now_s: float
    ) -> None:
        """Record the result of an attempt.

        Attempts at endpoints that are no longer in the manifest are ignored.
        """
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
        # A refusal shows overload, not a fault, so it lowers the limit but
        # does not count towards ejection.
        self.ejection.record(
            endpoint,
            failed=failed,
            groups=[self._groups[key] for key in _group_keys(state.endpoint)],
            now_s=now_s,
        )

    def choose(self, query: RouteQuery, now_s: float) -> str | None:
        """Return the id of an endpoint for an attempt.

        None if no endpoint can take a request now; see `can_serve` for
        whether waiting can help.
        """
        local, remote = self._candidates(query)
        available = list(self._available(local, query, now_s))
        healthy = list(self._healthy(available, now_s))
        candidates = list(self._within_limit(healthy))
        panic = not healthy or len(healthy) < _PANIC_THRESHOLD * len(available)
        if (
            panic
            or not candidates
            or self._is_much_busier(candidates, remote, query, now_s)
        ):
            remote_available = list(self._available(remote, query, now_s))
            available += remote_available
            healthy += self._healthy(remote_available, now_s)
            if len(healthy) < _PANIC_THRESHOLD * len(available):
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
        """Return whether any endpoint may serve the request.

        If so, the request can wait until one is below its limit.
        """
        local, remote = self._candidates(query)
        return any(True for _ in self._available(local, query, now_s)) or any(
            True for _ in self._available(remote, query, now_s)
        )

    def _candidates(
        self, query: RouteQuery
    ) -> tuple[tuple[_EndpointState, ...], ...]:
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
        self, states: Iterable[_EndpointState], query: RouteQuery, now_s: float
    ) -> Iterator[_EndpointState]:
        """Yield endpoints that may get this request.

        Excluded and leaving endpoints are skipped, quarantined ones too;
        readmitted ones are included with the probability of their share.
        """
        for state in states:
            name = state.endpoint.id
            if name in query.exclude or state.is_leaving(now_s):
                continue
            share = self.quarantine.traffic_share(name, now_s)
            if share >= 1 or (share > 0 and self._rng.random() < share):
                yield state

    def _healthy(
        self, states: Iterable[_EndpointState], now_s: float
    ) -> Iterator[_EndpointState]:
        """Yield endpoints that are not ejected."""
        for state in states:
            if not self.ejection.is_ejected(state.endpoint.id, now_s):
                yield state

    @staticmethod
    def _within_limit(
        states: Iterable[_EndpointState],
    ) -> Iterator[_EndpointState]:
        return (s for s in states if s.in_flight < s.limit.limit)

    def _is_much_busier(
        self,
        local: list[_EndpointState],
        remote: tuple[_EndpointState, ...],
        query: RouteQuery,
        now_s: float,
    ) -> bool:
        """Compare the mean load of local and of sampled remote endpoints."""
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
        return (
            local_load
            > _LOCAL_LOAD_FACTOR * remote_load + _LOCAL_SLACK_REQUESTS
        )

    def _sample(
        self, candidates: list[_EndpointState], shares: dict[str, float]
    ) -> Iterator[_EndpointState]:
        """Yield random candidates and the one with the longest prefix."""
        yield from self._rng.sample(
            candidates, min(_CANDIDATE_SAMPLES, len(candidates))
        )
        prefix_holders = [s for s in candidates if s.endpoint.id in shares]
        if prefix_holders:
            yield max(prefix_holders, key=lambda s: shares[s.endpoint.id])

    @staticmethod
    def _score(
        state: _EndpointState, shares: dict[str, float], now_s: float
    ) -> float:
        affinity_bonus = _MAX_AFFINITY_BONUS_REQUESTS * shares.get(
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
