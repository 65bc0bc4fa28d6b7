"""Faults of a soak, drawn with a seed."""

from __future__ import annotations

import dataclasses
import random

# Mean time between the starts of two faults; most last longer, so several
# overlap, and sometimes there is a pause that lets all of them end.
_MEAN_GAP_S = 0.9
_PAUSE_SHARE = 0.1
_PAUSE_S = 3.0
_START_S = 1.0
# Tries to find a target that no other fault uses at the time.
_TRIES = 8
# Time after a fault in which its targets are left alone: endpoints are cold
# for 3 s, and the store is back at once.
_REST_S = {'endpoint': 4.0, 'zone': 4.0, 'router': 2.0}
# Shortest and longest time in seconds of each kind, of which the first word
# names what it concerns. Evacuations outlast `evacuate_ms`, 5 s.
KINDS = {
    'router killed': (0.2, 3.0),
    'router paused': (0.2, 6.0),
    'router stopped': (0.2, 2.0),
    'store silent': (0.5, 5.0),
    'store busy': (0.5, 3.0),
    'store lost': (0.5, 3.0),
    'store late': (0.5, 4.0),
    'store slow': (1.0, 5.0),
    'endpoint hang': (0.5, 5.0),
    'endpoint slow': (0.5, 5.0),
    'endpoint break': (0.5, 4.0),
    'endpoint truncate': (0.5, 4.0),
    'endpoint shed': (0.5, 3.0),
    'endpoint moved': (0.5, 3.0),
    'endpoint leaves': (0.5, 4.0),
    'endpoint returns': (0.5, 4.0),
    'zone evacuated': (7.0, 12.0),
    'zone evacuated and cold': (7.0, 12.0),
    'zone returns': (0.5, 3.0),
    'clients prompts': (0.5, 2.0),
    'clients crowd': (2.0, 6.0),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault of one kind; `size` from 0 to 1 scales what has a size."""

    at_s: float
    kind: str
    target: str
    lasts_s: float
    size: float

    def __str__(self) -> str:
        text = f'{self.kind}: {self.target}, {self.lasts_s:.2f} s'
        return f'{text}, size {self.size:.2f}'

    def uses(self, endpoints: dict[str, list[str]]) -> list[str]:
        """Return what no other fault may use at the same time."""
        if self.kind.startswith('clients'):
            return [f'{self.kind} at {self.target}']
        names = [] if self.kind == 'zone returns' else [self.target]
        if self.kind in ('zone returns', 'zone evacuated and cold'):
            names += endpoints[self.target]
        return names


def draw(
    seed: int,
    seconds: float,
    routers: list[str],
    endpoints: dict[str, list[str]],
) -> list[Fault]:
    """Return faults by time, all of which end within the time.

    Parameters
    ----------
    seed : int
    seconds : float
    routers : list of str
    endpoints : dict
        Names by data centre.
    """
    rng = random.Random(seed)
    targets = {
        'router': routers,
        'clients': routers,
        'store': ['store'],
        'endpoint': [name for names in endpoints.values() for name in names],
        'zone': list(endpoints),
    }
    free_s: dict[str, float] = {}
    faults: list[Fault] = []
    kinds: list[str] = []
    at_s = _START_S
    while at_s < seconds:
        # Each kind in turn, in an order that differs.
        kinds = kinds or rng.sample(list(KINDS), len(KINDS))
        kind = kinds.pop()
        lasts_s = min(rng.uniform(*KINDS[kind]), seconds - at_s)
        name = kind.partition(' ')[0]
        rest_s = _REST_S.get(name, 0.0)
        for _ in range(_TRIES if lasts_s >= KINDS[kind][0] else 0):
            target = rng.choice(targets[name])
            fault = Fault(at_s, kind, target, lasts_s, rng.random())
            names = fault.uses(endpoints)
            busy = {name for name, time_s in free_s.items() if time_s > at_s}
            # What only a router that is gone knew cannot be known by the
            # others while the store is away, so one is left.
            left = set(routers) - busy - {target}
            if busy.isdisjoint(names) and (left or len(routers) == 1):
                free_s.update(dict.fromkeys(names, at_s + lasts_s + rest_s))
                faults.append(fault)
                break
        else:
            kinds.insert(0, kind)
        at_s += rng.expovariate(1 / _MEAN_GAP_S)
        if rng.random() < _PAUSE_SHARE:
            at_s += _PAUSE_S
    return faults
