"""Faults that a cell injects; each ends by itself or is ended later."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import msgspec

from basilpond.core import ManifestPublish
from basilpond.core import encode_record

from .. import engine
from ._callers import Caller
from ._network import LOG
from ._router import Router
from ._world import World

# Long enough for members to be declared lost and their allotments closed.
LAST_S = 25.0
LONG_S = 300.0
PATCHES = tuple(engine.Patch.__args__)


@dataclasses.dataclass(slots=True)
class Scene:
    """World with the request, publish or stop that a fault meets.

    Parameters
    ----------
    world : World
    router : Router
        Where it happens.
    target : Caller, optional
    kind : str
        Kind of the request.
    """

    world: World
    router: Router
    target: Caller | None = None
    kind: str = 'chat'

    def endpoints(self) -> list:
        """Return the endpoints that the request can reach in its place.

        Before an endpoint is chosen these are all of the data centre.
        """
        chosen = self.router.session.endpoint
        if chosen is not None and chosen.connections:
            return [chosen]
        model = self.kind in ('chat', 'plain', 'whole')
        return [
            endpoint
            for endpoint in self.world.endpoints.values()
            if endpoint.data_centre == self.router.data_centre
            and endpoint.is_model is model
        ]


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """Fault with its start, its end and the time between them."""

    name: str
    start: Callable[[Scene], None]
    end: Callable[[Scene], None] = lambda scene: None
    last_s: float = LAST_S


def _kill(scene: Scene) -> None:
    scene.world.kill(scene.router)


def _replace(scene: Scene) -> None:
    router = scene.router
    if not router.is_serving and not router.node.left:
        scene.world.add_router(router.router_id, router.data_centre)


def _pause(scene: Scene) -> None:
    scene.router.pause()


def _resume(scene: Scene) -> None:
    scene.router.resume()


def _crash(scene: Scene) -> None:
    for endpoint in scene.endpoints():
        endpoint.crash()


def _refuse(scene: Scene) -> None:
    for endpoint in scene.endpoints():
        endpoint.refuses = True


def _silence(scene: Scene) -> None:
    for endpoint in scene.endpoints():
        endpoint.silence()


def _patch(patch: str) -> Fault:
    def start(scene: Scene) -> None:
        for endpoint in scene.endpoints():
            endpoint.patch = patch
        if patch in ('no_usage', 'wrong_usage', 'ignore_max_tokens'):
            scene.world.usage_patched = True
        if patch in ('duplicate_frames', 'late_frames'):
            scene.world.frames_patched = True

    return Fault(f'patch_{patch}', start, _restore_endpoints)


def _restore_endpoints(scene: Scene) -> None:
    for endpoint in scene.world.endpoints.values():
        endpoint.patch = None
        endpoint.refuses = False


def _log_down(scene: Scene) -> None:
    scene.world.log.faults.down = True


def _log_silent(scene: Scene) -> None:
    scene.world.log.faults.silent = True


def _log_slow(scene: Scene) -> None:
    scene.world.log.faults.append_delay_s = 1.5
    scene.world.log.faults.read_delay_s = 0.5


def _log_restored(scene: Scene) -> None:
    faults = scene.world.log.faults
    faults.down = faults.silent = False
    faults.append_delay_s = faults.read_delay_s = 0.0


def _lose_acknowledgements(scene: Scene) -> None:
    scene.world.log.faults.lose_acknowledgements = 3


def _pass_retention(scene: Scene) -> None:
    scene.world.network.cut(scene.router.router_id, LOG)


def _retention_passed(scene: Scene) -> None:
    world = scene.world
    world.drop_to_snapshot()
    world.network.heal()


def _heal(scene: Scene) -> None:
    scene.world.network.heal()


def _cut(source: str, target: str, *, both: bool = True) -> Callable:
    def start(scene: Scene) -> None:
        names = {
            'router': scene.router.router_id,
            'dc': scene.router.data_centre,
            'peer': _neighbour(scene).router_id,
            'other_dc': 'dc2' if scene.router.data_centre == 'dc1' else 'dc1',
            'log': LOG,
        }
        scene.world.network.cut(names[source], names[target], both=both)

    return start


def _isolate(scene: Scene) -> None:
    """Cut a router from log and routers; callers and endpoints reach it."""
    world = scene.world
    world.network.cut(scene.router.router_id, LOG)
    for router in world.all_routers:
        if router is not scene.router:
            world.network.cut(scene.router.router_id, router.router_id)


def _neighbour(scene: Scene) -> Router:
    return next(
        router
        for router in scene.world.all_routers
        if router.data_centre == scene.router.data_centre
        and router.router_id != scene.router.router_id
    )


def _kill_neighbour(scene: Scene) -> None:
    scene.world.kill(_neighbour(scene))


def _hang_up(scene: Scene) -> None:
    if scene.target is not None:
        scene.target.hang_up()


def _retry_elsewhere(scene: Scene) -> None:
    target = scene.target
    target.exchange.transport.close()


def _second_caller(scene: Scene) -> None:
    """Send the same key at another data centre while the first runs."""
    scene.world.repeat(scene.target, ['dc2-r1', 'dc2-r2', 'dc1-r2'])


def _other_body(scene: Scene) -> None:
    world = scene.world
    world.send(
        scene.kind,
        ['dc2-r1', 'dc1-r1'],
        key=scene.target.request.key,
        text='another body',
        other_body=True,
        max_attempts=3,
    )


def _top_up_while_cut(scene: Scene) -> None:
    scene.world.network.cut('dc1', 'dc2')
    scene.world.network.cut('dc2', LOG)
    scene.world.spawn(scene.world.top_up(5_000))


def _join(scene: Scene) -> None:
    scene.world.add_router('dc1-r9', 'dc1')


def _leave(scene: Scene) -> None:
    scene.world.spawn(scene.world.stop(_neighbour(scene)))


def _stop_router(scene: Scene) -> None:
    if scene.router.is_serving:
        scene.world.spawn(scene.world.stop(scene.router))


def _endpoint_leaves(scene: Scene) -> None:
    for endpoint in scene.endpoints():
        scene.world.leave(endpoint)


def _race(scene: Scene) -> None:
    world = scene.world
    version = scene.router.config_task.version
    for tokens in (111, 222):
        world.top_ups = [
            *world.top_ups,
            {'id': f'r{tokens}', 'tokens': tokens},
        ]
        document = world.document()
        world.top_ups = world.top_ups[:-1]
        world.spawn(world.publish(document, replaces=version))


def _bad_manifest(scene: Scene) -> None:
    """Write a manifest that the program would refuse, and plain garbage."""
    world = scene.world
    version = scene.router.config_task.version
    document = world.document()
    mistakes = (
        document.replace(b'"top_ups"', b'"top_up"'),
        document.replace(b'"endpoints":["', b'"endpoints":["nowhere-'),
        document.replace(b'"tokens":', b'"tokens":-'),
    )
    for mistake in mistakes:
        publish = ManifestPublish('bad', version, msgspec.Raw(mistake))
        world.log.write('config', encode_record(publish))
    world.log.write('config', '{"type": "surprise"}')


def _lower_budget(scene: Scene) -> None:
    """Publish a manifest in which most of a payment is missing."""
    scene.world.spawn(scene.world.lower_budget(500))


_ALL = (
    Fault('router_killed', _kill, _replace),
    Fault('router_killed_not_replaced', _kill),
    Fault('router_paused', _pause, _resume),
    Fault('peer_killed', _kill_neighbour),
    Fault('endpoint_crash', _crash),
    Fault('endpoint_refuses', _refuse, _restore_endpoints),
    Fault('endpoint_silent', _silence),
    *(_patch(patch) for patch in PATCHES),
    Fault('log_down', _log_down, _log_restored),
    Fault('log_down_long', _log_down, _log_restored, LONG_S),
    Fault('log_silent', _log_silent, _log_restored),
    Fault('log_slow', _log_slow, _log_restored),
    Fault('log_ack_lost', _lose_acknowledgements),
    Fault('log_retention', _pass_retention, _retention_passed),
    Fault('cut_router_peer', _cut('router', 'peer'), _heal),
    Fault('cut_data_centres', _cut('dc', 'other_dc'), _heal),
    Fault('cut_platform', _cut('dc', 'log'), _heal),
    Fault('cut_platform_long', _cut('dc', 'log'), _heal, LONG_S),
    Fault('cut_router_log', _cut('router', 'log'), _heal),
    Fault('router_isolated', _isolate, _heal),
    Fault('one_way_from_log', _cut('log', 'dc', both=False), _heal),
    Fault('one_way_to_log', _cut('dc', 'log', both=False), _heal),
    Fault('one_way_to_peer', _cut('router', 'peer', both=False), _heal),
    Fault('one_way_from_peer', _cut('peer', 'router', both=False), _heal),
    Fault('one_way_data_centres', _cut('dc', 'other_dc', both=False), _heal),
    Fault('top_up_while_cut', _top_up_while_cut, _heal),
    Fault('caller_gone', _hang_up),
    Fault('caller_retries_elsewhere', _retry_elsewhere),
    Fault('same_key_elsewhere', _second_caller),
    Fault('same_key_other_body', _other_body),
    Fault('vm_joins', _join),
    Fault('vm_leaves', _leave),
    Fault('vm_stops_with_request', _stop_router),
    Fault('endpoint_leaves', _endpoint_leaves),
    Fault('operators_race', _race),
    Fault('bad_manifest', _bad_manifest),
    Fault('budget_lowered', _lower_budget),
)

FAULTS = {fault.name: fault for fault in _ALL}
