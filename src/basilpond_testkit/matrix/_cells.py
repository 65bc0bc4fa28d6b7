"""Cells of the matrix: faults at a step of a request, publish or stop."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import dataclasses
import itertools
import random

from .. import paused_clock
from . import _checks
from . import _scenario
from ._faults import FAULTS
from ._faults import PATCHES
from ._faults import Scene
from ._steps import PUBLISH_STEPS
from ._steps import REQUEST_STEPS
from ._steps import STOP_STEPS
from ._world import BUDGET_TOKENS
from ._world import World

KINDS = ('chat', 'plain', 'whole', 'booking')
SIGNALS = ('load', 'list', 'manifest', 'operator')
TIGHT_BUDGET_TOKENS = 9_000
SECOND_FAULT_S = 1.0
# After the time that a router gives a bill to be committed.
LATE_FAULT_S = 13.0
SNAPSHOT_EVERY_RECORDS = 20

_PATCHED = tuple(f'patch_{patch}' for patch in PATCHES)
_OF_ENDPOINTS = ('endpoint_crash', 'endpoint_refuses', 'endpoint_silent')
_OF_CALLERS = (
    'caller_gone',
    'caller_retries_elsewhere',
    'same_key_elsewhere',
    'same_key_other_body',
)
_OF_OPERATORS = ('operators_race', 'bad_manifest', 'budget_lowered')
_STREAM_PATCHES = (
    'patch_duplicate_frames',
    'patch_late_frames',
    'patch_ignore_max_tokens',
)
# Faults that are combined in pairs, for budgets, bills and at-most-once.
_PAIRED = (
    'router_killed',
    'router_paused',
    'peer_killed',
    'log_down',
    'log_slow',
    'log_ack_lost',
    'cut_data_centres',
    'cut_platform',
    'one_way_from_log',
    'router_isolated',
    'endpoint_crash',
    'caller_retries_elsewhere',
    'same_key_elsewhere',
    'top_up_while_cut',
)
_PAIR_STEPS = ('claim', 'connect', 'terminal', 'bill', 'release')
# Pairs whose second fault comes when requests have given up on the first.
_LATE_PAIRS = tuple(
    itertools.product(
        ('router_isolated', 'log_down', 'cut_platform', 'router_paused'),
        ('router_killed', 'peer_killed', 'caller_retries_elsewhere'),
    )
)
_LEAVE_FAULTS = (
    'none',
    'router_killed',
    'router_paused',
    'peer_killed',
    'log_down',
    'log_slow',
    'cut_data_centres',
    'cut_platform',
    'one_way_data_centres',
    'one_way_to_peer',
    'vm_joins',
    'vm_leaves',
)

_MODEL_ENDPOINTS = ('dc1-m1', 'dc1-m2', 'dc2-m1', 'dc2-m2')
# Software versions of endpoints from the start, 1 if not named, and those in
# which endpoints start again, under their id, at the fault.
_RELEASES: dict[str, tuple[dict[str, int], dict[str, int]]] = {
    'side_by_side': ({'dc1-m2': 2, 'dc2-m2': 2}, {}),
    'three_versions': ({'dc1-m2': 2, 'dc2-m1': 3}, {}),
    'id_starts_again': ({}, {'dc1-m1': 2, 'dc1-m2': 2}),
    'rolled_back': (
        dict.fromkeys(_MODEL_ENDPOINTS, 2),
        {'dc1-m1': 1, 'dc1-m2': 1},
    ),
}
_RELEASE_FAULTS = (
    'router_killed',
    'caller_retries_elsewhere',
    'same_key_elsewhere',
)
_RELEASE_STEPS = ('first_token', 'mid_stream', 'terminal', 'release')
_OF_REQUESTS = (1, 2, 3, 4, 5)
ALL_PROMISES = tuple(_checks.CHECKS)


@dataclasses.dataclass(slots=True, frozen=True)
class Cell:
    """One cell.

    Parameters
    ----------
    name : str
    scene : str
        ``request``, ``publish``, ``stop`` or ``endpoint``.
    kind : str
        Kind of the request, or the signal of a leaving endpoint.
    step : str
    faults : tuple of str
    promises : tuple of int
        Guarantees that it checks.
    reason : str
        Why it is not applicable; empty for a cell that runs.
    second_fault_s : float
        Delay of the second fault.
    versions : dict
        Software versions of endpoints from the start.
    restarts : dict
        Versions in which endpoints start again at the fault.
    """

    name: str
    scene: str
    kind: str
    step: str
    faults: tuple[str, ...]
    promises: tuple[int, ...]
    reason: str = ''
    second_fault_s: float = SECOND_FAULT_S
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    restarts: dict[str, int] = dataclasses.field(default_factory=dict)


def _request_reason(kind: str, step: str, fault: str) -> str:
    """Return why a fault at a step of a request is not applicable."""
    if step == 'claim' and kind != 'booking':
        return 'an idempotent request makes no claim'
    if step == 'mid_stream' and kind in ('whole', 'booking'):
        return 'the response has one part'
    if fault in _PATCHED:
        if fault == 'patch_reorder':
            return (
                'frames have no sequence number, so a swap within one '
                'stream cannot be seen'
            )
        if kind == 'booking':
            return 'patches change the form of model responses'
        if kind == 'whole' and fault in _STREAM_PATCHES:
            return 'the patch needs a stream'
        if step != 'connect':
            return (
                'the form of a response is fixed when the endpoint receives '
                'the request'
            )
    if kind == 'plain' and fault in _OF_CALLERS[1:]:
        return 'without a key a request that is sent again is another one'
    if fault in _OF_OPERATORS:
        return 'belongs to the steps of a publish'
    return ''


def _request_cells() -> Iterator[Cell]:
    for kind, fault, step in itertools.product(KINDS, FAULTS, REQUEST_STEPS):
        yield Cell(
            f'request.{kind}.{step}.{fault}',
            'request',
            kind,
            step,
            (fault,),
            _OF_REQUESTS,
            _request_reason(kind, step, fault),
        )


def _release_cells() -> Iterator[Cell]:
    for kind, release, step in itertools.product(
        ('chat', 'plain', 'whole'), _RELEASES, _RELEASE_STEPS
    ):
        versions, restarts = _RELEASES[release]
        # A restart loses the endpoint's connections, as a crash does.
        lost = 'none' if restarts else 'endpoint_crash'
        for fault in (lost, *_RELEASE_FAULTS):
            yield Cell(
                f'release.{kind}.{step}.{release}.{fault}',
                'request',
                kind,
                step,
                (fault,),
                _OF_REQUESTS,
                _request_reason(kind, step, fault),
                versions=versions,
                restarts=restarts,
            )


def _pair_cells() -> Iterator[Cell]:
    pairs = [
        *((pair, 'pair') for pair in itertools.permutations(_PAIRED, 2)),
        *((pair, 'late_pair') for pair in _LATE_PAIRS),
    ]
    for ((first, second), name), step, kind in itertools.product(
        pairs, _PAIR_STEPS, ('chat', 'booking')
    ):
        yield Cell(
            f'{name}.{kind}.{step}.{first}+{second}',
            'request',
            kind,
            step,
            (first, second),
            (1, 2, 3, 4, 5),
            _request_reason(kind, step, first),
            SECOND_FAULT_S if name == 'pair' else LATE_FAULT_S,
        )


def _publish_cells() -> Iterator[Cell]:
    for fault, step in itertools.product(FAULTS, PUBLISH_STEPS):
        reason = ''
        if fault in (*_OF_ENDPOINTS, *_PATCHED, 'endpoint_leaves'):
            reason = 'no endpoint takes part in a publish'
        elif fault in (*_OF_CALLERS, 'vm_stops_with_request'):
            reason = 'no caller takes part in a publish'
        yield Cell(
            f'publish.{step}.{fault}',
            'publish',
            '',
            step,
            (fault,),
            (1, 8),
            reason,
        )


def _stop_cells() -> Iterator[Cell]:
    for fault, step in itertools.product(FAULTS, STOP_STEPS):
        reason = ''
        if fault in (*_PATCHED, *_OF_OPERATORS):
            reason = 'does not meet a stop'
        elif fault in _OF_CALLERS:
            reason = 'the stop has several callers; see the request cells'
        elif fault == 'vm_stops_with_request':
            reason = 'is the stop itself'
        yield Cell(
            f'stop.{step}.{fault}',
            'stop',
            '',
            step,
            (fault,),
            (1, 2, 3, 4, 5, 7),
            reason,
        )


def _endpoint_cells() -> Iterator[Cell]:
    for signal, fault in itertools.product(SIGNALS, _LEAVE_FAULTS):
        yield Cell(
            f'endpoint.{signal}.{fault}',
            'endpoint',
            signal,
            'leave',
            (fault,),
            (3, 6),
        )


def _poison_cells() -> Iterator[Cell]:
    for kind, again in itertools.product(
        ('chat', 'plain', 'whole'),
        ('same_id', 'new_id', 'other_router', 'at_once'),
    ):
        reason = ''
        if kind == 'plain' and again == 'same_id':
            reason = 'without a key the caller does not choose the id'
        yield Cell(
            f'poison.{kind}.{again}',
            'poison',
            kind,
            '',
            (again,),
            (2, 3, 4),
            reason,
        )


def _scenario_cells() -> Iterator[Cell]:
    for name in _scenario.load_scenarios():
        yield Cell(f'scenario.{name}', 'scenario', name, '', (), ALL_PROMISES)


def _order_cells() -> Iterator[Cell]:
    for order in ('load', 'adapter', 'version', 'role'):
        yield Cell(
            f'order.{order}',
            'order',
            '',
            '',
            (),
            (),
            'orders to endpoints are not built yet',
        )
    yield Cell(
        'settings.mistake',
        'order',
        '',
        '',
        (),
        (),
        'a settings mistake ends the program before it starts any task; see '
        'the tests of the settings',
    )


def all_cells() -> list[Cell]:
    """Return all cells, also those that are not applicable."""
    return [
        *_request_cells(),
        *_publish_cells(),
        *_stop_cells(),
        *_endpoint_cells(),
        *_release_cells(),
        *_pair_cells(),
        *_poison_cells(),
        *_scenario_cells(),
        *_order_cells(),
    ]


def run_cell(cell: Cell, seed: int) -> list[str]:
    """Run a cell on a clock of its own; return the violations."""
    # The product's retry delays use the module's generator.
    if cell.scene == 'scenario':
        text = _scenario.load_scenarios()[cell.kind]
        return _scenario.run_scenario(text, seed)
    random.seed(f'{seed} {cell.name}')
    return paused_clock.run(_run(cell, seed))


async def _run(cell: Cell, seed: int) -> list[str]:
    world = World(
        seed,
        budget_tokens=(
            TIGHT_BUDGET_TOKENS if len(cell.faults) > 1 else BUDGET_TOKENS
        ),
        snapshot_every_records=SNAPSHOT_EVERY_RECORDS
        if 'log_retention' in cell.faults
        else 20_000,
    )
    for name, version in cell.versions.items():
        world.endpoint(name).version = version
    await world.start()
    scene = Scene(world, world.routers['dc1-r1'], kind=cell.kind)
    await _SCENES[cell.scene](cell, scene)
    found = list(_checks.check(world, cell.promises))
    if cell.step and not world.steps.fired:
        found.append(f'step {cell.step} was not reached')
    return found


def _inject(cell: Cell, scene: Scene) -> None:
    """Start the first fault now, the others a little later; end them all."""
    loop = asyncio.get_running_loop()
    for name, version in cell.restarts.items():
        scene.world.endpoint(name).restart(version)
    for number, name in enumerate(cell.faults):
        if name not in FAULTS:
            continue
        fault = FAULTS[name]
        delay_s = number * cell.second_fault_s
        if number:
            loop.call_later(delay_s, fault.start, scene)
        else:
            fault.start(scene)
        loop.call_later(delay_s + fault.last_s, fault.end, scene)


def _last_s(cell: Cell) -> float:
    """Return the time until the last fault has ended, without its delay."""
    return max(
        FAULTS[name].last_s if name in FAULTS else 0.0 for name in cell.faults
    )


async def _request(cell: Cell, scene: Scene) -> None:
    world = scene.world
    # Earlier requests, so that bills and allotments exist.
    world.send('chat', ['dc1-r1'], key='early1')
    world.send('booking', ['dc2-r1'], key='early2')
    await world.finish(1)
    world.steps.arm(cell.step, lambda: _inject(cell, scene))
    scene.target = world.send(
        cell.kind if cell.kind != 'plain' else 'chat',
        ['dc1-r1', 'dc2-r1', 'dc1-r2', 'dc2-r2'],
        key='' if cell.kind == 'plain' else 'target',
    )
    await asyncio.sleep(0.5)
    # A step that only the other requests reach does not count.
    world.steps.disarm()
    others = ('dc1-r2', 'dc2-r2', 'dc2-r1')
    for number, router_id in enumerate(others):
        world.send('chat', [router_id, *others], key=f'chat{number}')
        world.send('booking', [router_id, *others], key=f'booking{number}')
        world.send('chat', [router_id])
    await asyncio.sleep(_last_s(cell) + 2 * cell.second_fault_s)
    await _afterwards(world)


async def _afterwards(world: World) -> None:
    """Send requests to all routers after the faults; settle everything."""
    await asyncio.sleep(10)
    routers = list(world.routers)
    for number, router_id in enumerate(routers):
        via = [router_id, *routers]
        world.send('chat', via, key=f'late{number}')
        world.send('booking', via, key=f'late-booking{number}')
    await world.finish()


async def _publish(cell: Cell, scene: Scene) -> None:
    world = scene.world
    version = scene.router.config_task.version + 1
    step = {
        'publish': 'publish',
        'accepted': 'accepted',
        'spread': f'apply dc2-r1 {version}',
        'apply': f'apply dc1-r1 {version}',
    }[cell.step]
    world.steps.arm(step, lambda: _inject(cell, scene))

    def note_accepted(stream: str) -> None:
        if stream == 'config':
            world.steps.note('accepted')

    world.log.on_write = note_accepted
    document = world.next_document(3_000)
    world.steps.note('publish')
    publish = world.spawn(world.publish(document))
    world.send('chat', ['dc1-r2', 'dc2-r1'], key='meanwhile')
    await asyncio.sleep(_last_s(cell) + 10)
    await asyncio.wait([publish], timeout=60)
    await _afterwards(world)


async def _stop(cell: Cell, scene: Scene) -> None:
    world = scene.world
    world.steps.arm(cell.step, lambda: _inject(cell, scene))
    via = ['dc1-r1', 'dc1-r2', 'dc2-r1']
    world.send('chat', via, key='before', output_tokens=300)
    stop = world.spawn(world.stop(scene.router))
    await asyncio.sleep(3.5)
    if scene.router.accepting:
        for kind in ('chat', 'whole', 'booking'):
            world.send(kind, via, key=f'during-{kind}', output_tokens=300)
        world.send('chat', via, output_tokens=300)
    await asyncio.sleep(_last_s(cell) + 10)
    await asyncio.wait([stop], timeout=200)
    await _afterwards(world)


async def _endpoint(cell: Cell, scene: Scene) -> None:
    world = scene.world
    endpoint = world.endpoint('dc1-m1')
    world.steps.arm('leave', lambda: _inject(cell, scene))
    routers = list(world.routers)
    for number in range(180):
        if number == 4:
            world.leave(endpoint, cell.kind)
            world.steps.note('leave')
        router_id = routers[number % len(routers)]
        world.send('chat', [router_id, *routers], key=f'k{number}')
        await asyncio.sleep(0.5)
    await world.finish(5)


async def _poison(cell: Cell, scene: Scene) -> None:
    world = scene.world
    world.crash_on('poison')
    (again,) = cell.faults
    kind = 'whole' if cell.kind == 'whole' else 'chat'
    routers = list(world.routers)
    at_once = again == 'at_once'
    if at_once:
        world.crash_routers = len(routers)
    for number in range(6):
        key = 'poison' if again == 'same_id' else f'poison{number}'
        router_id = 'dc1-r1'
        if again in ('other_router', 'at_once'):
            router_id = routers[number % len(routers)]
        world.send(
            kind,
            [router_id],
            key='' if cell.kind == 'plain' else key,
            text='poison',
            max_attempts=2,
        )
        await asyncio.sleep(0 if at_once else 3)
    await _afterwards(world)


_SCENES = {
    'poison': _poison,
    'request': _request,
    'publish': _publish,
    'stop': _stop,
    'endpoint': _endpoint,
}
