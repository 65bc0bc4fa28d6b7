"""Routers that reach no endpoint while callers and peers reach them."""

import asyncio
import dataclasses

import pytest

from basilpond.node.tests.cut_off_routers import CUTS
from basilpond.node.tests.cut_off_routers import PATHS
from basilpond.node.tests.cut_off_routers import Attempt
from basilpond.node.tests.cut_off_routers import cut_off_world
from basilpond.node.tests.cut_off_routers import served_share
from basilpond.node.tests.platform_world import PROMPT
from basilpond.node.tests.platform_world import Reply

# Routers of `cut_off_world` that are cut.
CUT_ROUTERS = {
    'one router': (0,),
    'a data centre': (0, 1),
    'all but one': (0, 1, 2),
}
ROUTERS = (0, 1, 2, 3)
# RECOVER: `stable_window_ms` of the users' rules, after which a cut router
# must serve its callers, and the share of the others' success that it needs.
STABLE_WINDOW_S = 3.0
RECOVER_SHARE = 2 / 3
# Aim beyond RECOVER: at most one failure in ten requests, the smallest sample.
AIM_SHARE = 0.9
# GONE: time from the caller's close to the end of the work at the endpoint.
GONE_S = 0.5
# Callers follow a Retry-After of up to a third of their time; that of
# `World.call` is 4 s.
MAX_RETRY_AFTER_S = 4.0 / 3
WARM_UP_S = 0.5
MEASURED_S = 1.0
INTERVAL_S = 0.1
# Time limit of the callers.
DEADLINE_MS = 1500
# Callers abandon what is not read within a third of their time; a refusal
# takes no longer.
REFUSAL_S = DEADLINE_MS / 1000 / 3
# Statuses that promise that the request has not run and never will.
UNRUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(slots=True)
class Observation:
    """What callers, gates and endpoints saw of a cut."""

    # Sent from the beginning of the cut, and from STABLE_WINDOW_S later.
    attempts: list[Attempt]
    measured: list[Attempt]
    cut: tuple[int, ...]
    # How often each request was run.
    runs: dict[str, int]
    # Endpoints that other routers avoided, by router.
    avoided: set[tuple[int, str]]
    # Time from the end of the cut until requests pass the gates of each cut
    # router, if they do.
    returned_s: list[float | None]
    decisions: bytes


_observations = {}


async def observe_cut(kind, who):
    """Return what was seen; the three of a kind are played side by side."""
    if (kind, who) not in _observations:
        results = await asyncio.gather(
            *(play_cut(kind, cut) for cut in CUT_ROUTERS.values())
        )
        for name, result in zip(CUT_ROUTERS, results, strict=True):
            _observations[kind, name] = result
    return _observations[kind, who]


async def play_cut(kind, cut):
    loop = asyncio.get_running_loop()
    async with cut_off_world() as system:
        await system.attempts(ROUTERS, WARM_UP_S, INTERVAL_S, DEADLINE_MS)
        avoided = set()
        watch = asyncio.create_task(watch_avoided(system, cut, avoided))
        await system.cut(cut, kind)
        began_s = loop.time()
        attempts = await system.attempts(
            ROUTERS, STABLE_WINDOW_S + MEASURED_S, INTERVAL_S, DEADLINE_MS
        )
        await system.cut(cut, None)
        returned_s = await asyncio.gather(
            *(until_direct(system, router) for router in cut)
        )
        watch.cancel()
        return Observation(
            attempts,
            [a for a in attempts if a.sent_s >= began_s + STABLE_WINDOW_S],
            cut,
            system.counted_runs(),
            avoided,
            returned_s,
            system.decisions(),
        )


async def watch_avoided(system, cut, avoided):
    while True:
        now_s = asyncio.get_running_loop().time()
        avoided.update(
            (router, name)
            for router in set(ROUTERS) - set(cut)
            for name in system.servers
            if system.nodes[router].directory.find(name).load.is_avoided(now_s)
        )
        await asyncio.sleep(0.02)


async def until_direct(system, router):
    """Return the time until four requests in a row pass the own gates."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    log = system.log_of(router)
    in_a_row = 0
    while loop.time() < started_s + STABLE_WINDOW_S:
        passed = log.count_requests()
        attempt = await system.attempt(router, PATHS[in_a_row], DEADLINE_MS)
        is_direct = log.count_requests() > passed
        in_a_row = in_a_row + 1 if attempt.is_served and is_direct else 0
        if in_a_row == len(PATHS):
            return loop.time() - started_s
        await asyncio.sleep(0.02)
    return None


def of_routers(attempts, routers):
    return [attempt for attempt in attempts if attempt.router in routers]


cuts = pytest.mark.parametrize('kind', CUTS)
who_is_cut = pytest.mark.parametrize('who', CUT_ROUTERS)


@cuts
@who_is_cut
async def test_callers_of_cut_off_routers_are_served(kind, who):
    """Guards against callers who pay for the cut of their router (RECOVER)."""
    seen = await observe_cut(kind, who)
    others = set(ROUTERS) - set(seen.cut)
    reference = served_share(of_routers(seen.measured, others))
    share = served_share(of_routers(seen.measured, seen.cut))
    assert reference >= AIM_SHARE
    assert share >= RECOVER_SHARE * reference
    assert share >= AIM_SHARE
    for path in PATHS:
        on_path = [a for a in seen.measured if a.path == path]
        on_path = of_routers(on_path, seen.cut)
        assert served_share(on_path) >= RECOVER_SHARE, path


@cuts
@who_is_cut
async def test_router_uses_its_own_connections_after_a_cut(kind, who):
    """Guards against routers that go on using other routers."""
    seen = await observe_cut(kind, who)
    assert None not in seen.returned_s


@cuts
@who_is_cut
async def test_requests_run_as_often_as_callers_are_told(kind, who):
    """Guards against a second run, or one after a refusal (TWICE, REFUSED)."""
    seen = await observe_cut(kind, who)
    for attempt in seen.attempts:
        runs = seen.runs.get(attempt.request_id, 0)
        if attempt.path in ('/claim/', '/digest/'):
            assert runs <= 1
            if attempt.status in UNRUN_STATUSES:
                assert runs == 0
        if attempt.is_served:
            assert runs >= 1


@cuts
@who_is_cut
async def test_other_routers_do_not_avoid_sound_endpoints(kind, who):
    """Guards against reports of a cut router that count for all."""
    seen = await observe_cut(kind, who)
    assert not seen.avoided


@cuts
@who_is_cut
async def test_no_request_is_taken_for_one_that_crashes_endpoints(kind, who):
    """Guards against a cut that is counted as crashes of endpoints."""
    seen = await observe_cut(kind, who)
    assert seen.decisions
    assert b'crashed several endpoints' not in seen.decisions
    assert b'crashes endpoints' not in seen.decisions
    for attempt in seen.attempts:
        assert (attempt.retry_after_s or 0) <= MAX_RETRY_AFTER_S


async def test_first_requests_after_a_cut_without_traffic_are_served():
    """Guards against routers that learn of a cut from failures only."""
    async with cut_off_world(nodes=5) as system:
        # Kept connections exist as the cut begins.
        await system.attempts(range(5), WARM_UP_S, INTERVAL_S, DEADLINE_MS)
        for router, kind in enumerate(CUTS):
            await system.cut([router], kind)
        await asyncio.sleep(STABLE_WINDOW_S)
        attempts = await system.attempts(range(5), 0.5, INTERVAL_S, 4000)
        shares = {
            kind: served_share(of_routers(attempts, (router,)))
            for router, kind in enumerate((*CUTS, 'none'))
        }
    assert all(share >= RECOVER_SHARE for share in shares.values()), shares


async def wait_for_relay(system, router, path):
    """Wait until the cut router serves requests on a route."""
    async with asyncio.timeout(STABLE_WINDOW_S):
        while not (await system.attempt(router, path)).is_served:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def test_request_through_another_router_is_billed_once():
    """Guards against a bill at each router that a request passes."""
    path = '/digest/'
    async with cut_off_world() as system:
        before = system.used_tokens()
        assert (await system.attempt(0, path)).is_served
        tokens = system.used_tokens() - before
        assert tokens > 0
        await system.cut([0], 'refuse')
        await wait_for_relay(system, 0, path)
        before = system.used_tokens()
        runs = system.runs('llm')
        for _ in range(5):
            assert (await system.attempt(0, path)).is_served
        assert system.used_tokens() - before == 5 * tokens
        assert system.runs('llm') - runs == 5


def count_connections(monkeypatch, ports):
    """Return a list that grows by the port of each connect to one of them."""
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection
    connects = []

    def create_and_count(factory, host=None, port=None, **kwargs):
        if port in ports:
            connects.append(port)
        return create_connection(factory, host, port, **kwargs)

    monkeypatch.setattr(loop, 'create_connection', create_and_count)
    return connects


@pytest.mark.parametrize('kind', ['refuse', 'reset'])
async def test_requests_are_refused_while_all_routers_are_cut_off(
    kind, monkeypatch
):
    """Guards against routers that send each other what none can serve."""
    async with cut_off_world() as system:
        await system.attempts(ROUTERS, WARM_UP_S, INTERVAL_S, DEADLINE_MS)
        # The first seconds of the cut are not measured.
        await system.cut(ROUTERS, kind)
        await system.attempts(ROUTERS, 1.5, INTERVAL_S, DEADLINE_MS)
        ports = set(system.peer_ports.values())
        between_routers = count_connections(monkeypatch, ports)
        logs = system.logs.values()
        before = sum(log.count_connects() for log in logs)
        attempts = await system.attempts(
            ROUTERS, MEASURED_S, INTERVAL_S, DEADLINE_MS
        )
        # Gates don't see connections that are refused.
        to_endpoints = sum(log.count_connects() for log in logs) - before
    # A route allows two endpoints per request. Each may be tried directly, and
    # by one other router.
    assert len(between_routers) <= 2 * len(attempts)
    assert to_endpoints <= 4 * len(attempts)
    if kind == 'refuse':
        assert {attempt.status for attempt in attempts} == {503}
    else:
        # A request that was sent before the reset may have run.
        assert {attempt.status for attempt in attempts} <= {502, 503}
    for attempt in attempts:
        assert attempt.took_s < REFUSAL_S
        if attempt.status == 503:
            assert 0 < attempt.retry_after_s <= MAX_RETRY_AFTER_S


async def read_to_end(reader):
    """Return what a caller read, and whether the connection was reset."""
    parts = []
    try:
        async with asyncio.timeout(6.0):
            while data := await reader.read(4096):
                parts.append(data)
    except ConnectionError:
        return b''.join(parts), True
    return b''.join(parts), False


def looks_complete(reply, was_reset):
    if {'transfer-encoding', 'content-length'} & set(reply.headers):
        return reply.complete
    return not was_reset


@pytest.mark.parametrize('end', ['kill', 'reset'])
@pytest.mark.parametrize('path', ['/chat/', '/digest/'])
async def test_response_cut_at_the_relaying_router_is_not_complete(path, end):
    """Guards against a part that its caller takes for all (MIXED).

    The response has no length and ends with its connection; the relaying
    router is killed, or its connection to the endpoint is reset.
    """
    async with cut_off_world() as system:
        await system.cut([0], 'refuse')
        await wait_for_relay(system, 0, path)
        for server in system.servers.values():
            server.mode = 'unframed'
            server.event_gap_s = 0.1
        passed = [system.log_of(r).count_requests() for r in ROUTERS]
        reader, writer = await system.open(
            path + 'x', method='POST', headers=PROMPT, body=b'{}'
        )
        start = await asyncio.wait_for(reader.readuntil(b'id: 2'), 2.0)
        (relay,) = (
            router
            for router in ROUTERS
            if system.log_of(router).count_requests() > passed[router]
        )
        assert relay != 0
        if end == 'kill':
            system.end_connections(system.peer_ports[f'node-{relay}'])
            system.kill(system.nodes[relay])
        await system.cut([relay], 'reset')
        rest, was_reset = await read_to_end(reader)
        writer.close()
        reply = Reply(start + rest)
    assert reply.status == 200
    if path == '/digest/':
        assert not looks_complete(reply, was_reset)
    else:
        # The stream may have been resumed.
        assert not looks_complete(reply, was_reset) or reply.events == 6


async def test_response_without_a_length_passes_whole():
    """Guards against the loss of the end that only the connection shows."""
    path = '/digest/'
    async with cut_off_world() as system:
        for server in system.servers.values():
            server.mode = 'unframed'
        direct = await system.attempt(0, path)
        await system.cut([0], 'refuse')
        await wait_for_relay(system, 0, path)
        relayed = await system.attempt(0, path)
    assert relayed.reply.events == direct.reply.events == 6
    assert relayed.reply.complete == direct.reply.complete


@pytest.mark.parametrize('is_cut', [False, True])
@pytest.mark.parametrize('path', ['/look/', '/chat/', '/digest/'])
async def test_endpoint_sees_that_a_caller_left(path, is_cut):
    """Guards against work for callers that left, behind a peer (GONE)."""
    async with cut_off_world() as system:
        if is_cut:
            await system.cut([0], 'refuse')
            await wait_for_relay(system, 0, path)
        for server in system.servers.values():
            server.requests.clear()
            server.ended.clear()
            server.work_s = server.prefill_s = 3.0
        servers = list(system.servers.values())
        prompt = {'method': 'POST', 'headers': PROMPT, 'body': b'{}'}
        _, writer = await system.open(
            path + 'x', **({} if path == '/look/' else prompt)
        )
        await system.until(lambda: any(s.requests for s in servers), 1.0)
        await asyncio.sleep(0.1)
        writer.close()
        await system.until(lambda: any(s.ended for s in servers), GONE_S)
        ended = [end for server in servers for end in server.ended]
    assert ended == ['cancelled']


async def test_stop_of_the_relaying_router_leaves_responses_whole():
    """Guards against streams that end with the router between (LOST)."""
    path = '/digest/'
    async with cut_off_world() as system:
        await system.cut([0], 'refuse')
        await wait_for_relay(system, 0, path)
        for server in system.servers.values():
            server.event_gap_s = 0.7
        passed = [system.log_of(r).count_requests() for r in ROUTERS]
        running = asyncio.create_task(system.attempt(0, path, 12_000))
        await system.until(
            lambda: any(
                system.log_of(r).count_requests() > passed[r] for r in ROUTERS
            )
        )
        (relay,) = (
            r for r in ROUTERS if system.log_of(r).count_requests() > passed[r]
        )
        stop = asyncio.Event()
        stopping = asyncio.create_task(system.nodes[relay].run_until(stop))
        stop.set()
        assert (await running).is_served
        await asyncio.wait_for(stopping, 9.0)


async def test_endpoint_that_no_router_lists_leaves_the_others_in_use():
    """Guards against one endpoint that closes the way to all."""
    async with cut_off_world() as system:
        await system.cut([0], 'refuse')
        await wait_for_relay(system, 0, '/look/')
        for node in system.nodes[1:]:
            endpoint = node.directory.find('app-0').endpoint
            node.directory.mark_leaving(
                f'{endpoint.id}@{endpoint.boot_ms}', 'node-9'
            )
        attempts = await system.attempts((0,), 1.0, INTERVAL_S, DEADLINE_MS)
    assert served_share(attempts) >= AIM_SHARE


async def test_request_that_crashes_endpoints_is_stopped_by_several_routers():
    """Guards against crashes that pass for a cut of the routers."""
    async with cut_off_world(apps=6) as system:
        crashed = []

        async def come_back(server):
            await asyncio.sleep(1.0)
            await server.start()

        def crash(server):
            crashed.append(server.server_id)
            server.stop()
            tasks.append(asyncio.create_task(come_back(server)))

        tasks = []
        for server in system.servers.values():
            handle = server.handle

            async def run(request, responder, server=server, handle=handle):
                if request.target.endswith(b'deadly'):
                    crash(server)
                else:
                    await handle(request, responder)

            server._server.handler = run
        for number in range(24):
            await system.attempt(number % 4, '/look/', 400, leaf='deadly')
            await asyncio.sleep(0.1)
        for task in tasks:
            await task
    # Three stop the request; routers learn of those of others within 0.5 s.
    assert len(crashed) <= 6
