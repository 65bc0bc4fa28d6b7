"""Faults of a soak, drawn with a seed."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import random

# Mean time between the starts of two faults; most last longer, so several
# overlap.
_MEAN_GAP_S = 0.9
# Times without faults, after which all of them act at once or one alone.
_QUIET_SHARE = 0.1
_QUIET_S = 3.0
# The start and the end of a run are free of faults.
_START_S = 1.0
# Tries to find a target that no other fault uses at the time.
_TRIES = 8

# Shortest and longest time of each kind. An evacuation is in force for
# `evacuate_ms` before it is checked.
ROUTER_KINDS = {
    'router killed': (0.2, 3.0),
    'router paused': (0.2, 6.0),
    'router stopped': (0.2, 2.0),
}
STORE_KINDS = {
    'store silent': (0.5, 5.0),
    'store busy': (0.5, 3.0),
    'store lost': (0.5, 3.0),
    'store late': (0.5, 4.0),
    'store slow': (1.0, 5.0),
}
ENDPOINT_KINDS = {
    'endpoint hang': (0.5, 5.0),
    'endpoint slow': (0.5, 5.0),
    'endpoint reset': (0.5, 4.0),
    'endpoint shed': (0.5, 3.0),
    'endpoint moved': (0.5, 3.0),
    'endpoint leaves': (3.0, 6.0),
    'endpoint returns cold': (0.5, 4.0),
}
ZONE_KINDS = {
    'evacuation': (7.0, 12.0),
    'evacuation, cold return': (7.0, 12.0),
    'data centre returns cold': (0.5, 3.0),
}
OTHER_KINDS = {'prompts': (0.5, 2.0), 'crowd': (2.0, 6.0)}
KINDS = {
    **ROUTER_KINDS,
    **STORE_KINDS,
    **ENDPOINT_KINDS,
    **ZONE_KINDS,
    **OTHER_KINDS,
}
# Time after a fault in which its targets are left alone: a cold endpoint is
# cold for 3 s, and a router starts.
_REST_S = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault of one kind at a target.

    `size` is a number from 0 to 1: a delay, or a number of clients.
    """

    at_s: float
    kind: str
    target: str
    lasts_s: float
    size: float

    def __str__(self) -> str:
        return (
            f'{self.kind}: {self.target}, {self.lasts_s:.2f} s, '
            f'size {self.size:.2f}'
        )


class _Targets:
    def __init__(
        self,
        routers: list[str],
        endpoints: dict[str, list[str]],
    ) -> None:
        self._routers = routers
        self._endpoints = endpoints
        self._free_s: dict[str, float] = {}

    def choices(self, kind: str) -> list[str]:
        if kind in ROUTER_KINDS or kind in OTHER_KINDS:
            return self._routers
        if kind in STORE_KINDS:
            return ['store']
        if kind in ENDPOINT_KINDS:
            return [
                name for names in self._endpoints.values() for name in names
            ]
        return list(self._endpoints)

    def take(self, fault: Fault) -> bool:
        """Reserve what the fault uses; return whether it was free."""
        used = list(self._used(fault))
        if any(self._free_s.get(name, 0.0) > fault.at_s for name in used):
            return False
        if fault.kind in ROUTER_KINDS and self._is_last_router(fault):
            return False
        for name in used:
            self._free_s[name] = fault.at_s + fault.lasts_s + _REST_S
        return True

    def _used(self, fault: Fault) -> Iterator[str]:
        if fault.kind in ZONE_KINDS:
            if fault.kind != 'data centre returns cold':
                yield f'evacuation of {fault.target}'
            if fault.kind != 'evacuation':
                yield from self._endpoints[fault.target]
        elif fault.kind in OTHER_KINDS:
            yield f'{fault.kind} at {fault.target}'
        else:
            yield fault.target

    def _is_last_router(self, fault: Fault) -> bool:
        # What only a router that is gone knew cannot be known by the others
        # while the store is away.
        return len(self._routers) > 1 and all(
            self._free_s.get(name, 0.0) > fault.at_s
            for name in self._routers
            if name != fault.target
        )


def draw(
    seed: int,
    seconds: float,
    routers: list[str],
    endpoints: dict[str, list[str]],
) -> list[Fault]:
    """Return the faults of a run by the time of their start.

    Parameters
    ----------
    seed : int
    seconds : float
        All faults have ended then.
    routers : list of str
    endpoints : dict
        Names by data centre.
    """
    rng = random.Random(seed)
    targets = _Targets(routers, endpoints)
    faults: list[Fault] = []
    kinds: list[str] = []
    at_s = _START_S
    while at_s < seconds:
        if not kinds:
            kinds = rng.sample(list(KINDS), len(KINDS))
        kind = kinds.pop()
        lasts_s = rng.uniform(*KINDS[kind])
        for _ in range(_TRIES):
            target = rng.choice(targets.choices(kind))
            fault = Fault(at_s, kind, target, lasts_s, rng.random())
            if at_s + lasts_s <= seconds and targets.take(fault):
                faults.append(fault)
                break
        at_s += rng.expovariate(1 / _MEAN_GAP_S)
        if rng.random() < _QUIET_SHARE:
            at_s += _QUIET_S
    return faults
