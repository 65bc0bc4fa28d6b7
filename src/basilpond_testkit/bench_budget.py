"""Compare the budget policy with a static split on a paused clock.

Nine routers in three data centres serve one organisation, with demand that is
skewed over the routers and ends at 95% of the budget. Writes one JSON line per
figure with name, value and unit. The baseline gives each router an equal share
of the budget at the start; both see the same requests of the same seeds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import dataclasses
import json
import random
import sys
from typing import Any

from absl import logging

from basilpond.core import _codes
from basilpond.core import _manifest
from basilpond.tasks.budgets.tests import budget_world

from . import paused_clock

_ROUTERS = tuple(f'r{i}~1/dc{i % 3}' for i in range(9))
_BUDGET_TOKENS = 200_000
_USED_SHARE = 0.95
_LEAST_TOKENS = 20
_BOUND_TOKENS = 100
_RUN_S = 0.5
_HOLD_TIMEOUT_S = 5.0
_CUT_S = 3600.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Request:
    id: str
    router: int
    start_s: float
    tokens: int


@dataclasses.dataclass(slots=True)
class _Tally:
    """What a central budget without routers would have held."""

    spent_tokens: int = 0
    held_tokens: int = 0
    requests: int = 0
    possible: int = 0
    false_refusals: int = 0

    def start(self) -> bool:
        """Return whether the budget had room for one more bound."""
        self.requests += 1
        possible = (
            self.spent_tokens + self.held_tokens + _BOUND_TOKENS
            <= _BUDGET_TOKENS
        )
        self.possible += possible
        return possible


def _requests(seed: int, duration_s: float) -> list[_Request]:
    """Return requests whose cost is 95% of the budget together."""
    generator = random.Random(seed)
    weights = [1 / (1 + i) for i in range(len(_ROUTERS))]
    generator.shuffle(weights)
    costs = []
    while sum(costs) < _BUDGET_TOKENS * _USED_SHARE:
        costs.append(generator.randint(_LEAST_TOKENS, _BOUND_TOKENS))
    times_s = sorted(generator.uniform(0, duration_s) for _ in costs)
    routers = generator.choices(range(len(_ROUTERS)), weights, k=len(costs))
    return [
        _Request(f'q{i}', router, start_s, tokens)
        for i, (router, start_s, tokens) in enumerate(
            zip(routers, times_s, costs, strict=True)
        )
    ]


async def _serve(router: Any, request: _Request, tally: _Tally) -> None:
    possible = tally.start()
    try:
        hold = await router.hold(_BOUND_TOKENS, timeout_s=_HOLD_TIMEOUT_S)
    except _codes.RefusalError:
        tally.false_refusals += possible
        return
    tally.held_tokens += _BOUND_TOKENS
    await asyncio.sleep(_RUN_S)
    charge_result = await router.charge(
        hold, request.id, tokens=request.tokens
    )
    tally.held_tokens -= _BOUND_TOKENS
    tally.spent_tokens += request.tokens * charge_result.committed


async def _run_policy(
    seed: int, duration_s: float, *, cut: bool
) -> dict[str, float]:
    tally = _Tally()
    loop = asyncio.get_running_loop()
    async with budget_world.make_world(
        *_ROUTERS,
        budget_tokens=_BUDGET_TOKENS,
        settings={'initial_bound_tokens': _BOUND_TOKENS},
    ) as (world, *routers):
        # As after the manifest: each router keeps stock before any request.
        manifest = _manifest.Manifest(
            organisations=[
                _manifest.Organisation(
                    id=budget_world.ORGANISATION,
                    key_sha256=['0' * 64],
                    top_ups=[_manifest.TopUp('t1', _BUDGET_TOKENS)],
                    endpoints=[],
                )
            ],
            endpoints=[],
        )
        for router in routers:
            router.budget.set_budgets(manifest, 2)
        await asyncio.sleep(2)
        start_s = loop.time()
        if cut:
            _cut_off(world, routers, 'dc0')
            loop.call_later(_CUT_S, _heal, world, routers)
        tasks = []
        for request in _requests(seed, duration_s):
            await asyncio.sleep(start_s + request.start_s - loop.time())
            tasks.append(
                asyncio.ensure_future(
                    _serve(routers[request.router], request, tally)
                )
            )
        await asyncio.gather(*tasks)
        await asyncio.sleep(10)
        _, view = world.accepted_bills()
        figures = _figures(tally, view.spent_tokens)
        figures['outstanding_tokens'] = view.outstanding_tokens
        if not cut:
            figures['return_lost_s'] = await _return_time_s(world, routers)
    return figures


def _cut_off(world: Any, routers: list[Any], data_centre: str) -> None:
    inside = [r for r in routers if r.member.data_centre == data_centre]
    for router in inside:
        router.link.faults.down = True
        for other in routers:
            if other not in inside:
                world.cuts.add(frozenset((router.name, other.name)))
                router.lost.add(other.name)
                other.lost.add(router.name)


def _heal(world: Any, routers: list[Any]) -> None:
    world.cuts.clear()
    for router in routers:
        router.link.faults.down = False
        router.lost.clear()


async def _return_time_s(world: Any, routers: list[Any]) -> float:
    lost, other = routers[0], routers[1]
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    await world.kill(lost)
    await paused_clock.wait_until(
        lambda: not list(other.ledger_task.ledger.allotments_of(lost.name))
    )
    return loop.time() - start_s


def _run_baseline(seed: int, duration_s: float) -> dict[str, float]:
    """Serve the same requests from equal shares that nobody returns."""
    share = _BUDGET_TOKENS // len(_ROUTERS)
    free = [share] * len(_ROUTERS)
    tally = _Tally()
    running: list[_Request] = []
    for request in _requests(seed, duration_s):
        while running and running[0].start_s + _RUN_S <= request.start_s:
            ended = running.pop(0)
            free[ended.router] += _BOUND_TOKENS - ended.tokens
            tally.held_tokens -= _BOUND_TOKENS
            tally.spent_tokens += ended.tokens
        possible = tally.start()
        if free[request.router] < _BOUND_TOKENS:
            tally.false_refusals += possible
            continue
        free[request.router] -= _BOUND_TOKENS
        tally.held_tokens += _BOUND_TOKENS
        running.append(request)
    tally.spent_tokens += sum(request.tokens for request in running)
    figures = _figures(tally, tally.spent_tokens)
    figures['outstanding_tokens'] = _BUDGET_TOKENS - tally.spent_tokens
    return figures


def _figures(tally: _Tally, spent_tokens: int) -> dict[str, float]:
    return {
        'overspend_tokens': max(0, spent_tokens - _BUDGET_TOKENS),
        'false_refusal_percent': 100
        * tally.false_refusals
        / max(1, tally.possible),
        'used_percent': 100 * spent_tokens / _BUDGET_TOKENS,
    }


def run(seeds: range, *, cut: bool, duration_s: float) -> Iterator[dict]:
    """Yield the figures of policy and baseline for the same seeds.

    Parameters
    ----------
    seeds : range
    cut : bool
        Cut the first data centre off from the log and the others for an hour.
    duration_s : float
        Time over which the requests arrive.
    """
    scenario = 'cut' if cut else 'skewed'
    for seed in seeds:
        figures = {
            'policy': paused_clock.run(_run_policy(seed, duration_s, cut=cut)),
            'baseline': _run_baseline(seed, duration_s),
        }
        for side, values in figures.items():
            for name, value in values.items():
                yield {
                    'name': f'{scenario}.{side}.{name}',
                    'value': round(value, 4),
                    'unit': name.rpartition('_')[2],
                    'seed': seed,
                }


def main() -> None:
    """Write the figures of both scenarios."""
    # Refused calls and failed appends are part of the scenarios.
    logging.set_verbosity(logging.FATAL)
    for cut, duration_s in ((False, 120.0), (True, 1.2 * _CUT_S)):
        for figure in run(range(1, 3), cut=cut, duration_s=duration_s):
            sys.stdout.write(json.dumps(figure) + '\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
