import asyncio
import contextlib
import dataclasses

import pytest

from basilpond.node import _node
from basilpond.node.tests.platform_world import PROMPT
from basilpond.node.tests.platform_world import Reply
from basilpond.node.tests.platform_world import configuration
from basilpond.node.tests.platform_world import route
from basilpond.node.tests.platform_world import world
from basilpond.routing.placement._endpoint_speed import PREFILL_TOKENS_PER_S
from basilpond_testkit.loopback_clock import on_loopback_clock

# A tenth of the times of a router with the default grace of 8 s.
GRACE_S = 0.8
NOTICE_S = 0.25
MARGIN_S = 0.1
POLL_INTERVAL_S = 0.002
TENTHS = tuple(tenth * GRACE_S / 10 for tenth in range(10))
LONG_S = 5.0


@pytest.fixture(autouse=True)
def short_grace(monkeypatch):
    monkeypatch.setattr(_node, '_STOP_NOTICE_S', NOTICE_S)
    monkeypatch.setattr(_node, '_STOP_MARGIN_S', MARGIN_S)
    monkeypatch.setattr(_node, '_STOP_POLL_INTERVAL_S', POLL_INTERVAL_S)


class Stop:
    """A stop of one router, after which its process ends."""

    def __init__(self, system):
        self._system = system
        self.node = system.nodes[0]
        self.node._apply_settings(
            dataclasses.replace(self.node._settings, stop_grace_s=GRACE_S)
        )
        self._signal = asyncio.Event()
        self._ended = asyncio.create_task(self._run())
        self._signalled_s = 0.0
        # Requests that were read completely and got no complete response.
        self.unanswered = []
        self.node._callers.on_unanswered = self._record_unanswered

    def _record_unanswered(self, close):
        if close.whole_requests:
            self.unanswered.append(close)

    async def _run(self):
        await self.node.run_until(self._signal)
        self._system.kill(self.node)

    def signal(self):
        self._signalled_s = asyncio.get_running_loop().time()
        self._signal.set()

    async def wait_until(self, after_s):
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self._signalled_s + after_s - now_s)

    async def wait_end(self):
        """Wait for the end of the process, which SIGKILL must not cut."""
        await asyncio.wait_for(self._ended, 5.0)
        took_s = asyncio.get_running_loop().time() - self._signalled_s
        assert took_s < GRACE_S


@contextlib.asynccontextmanager
async def stopping_world(config=None, **kwargs):
    async with world(config, **kwargs) as system:
        stop = Stop(system)
        # The stop's task has to wait before the signal.
        await asyncio.sleep(0)
        yield system, stop


def was_run(system, name):
    return any(
        request.target.endswith(name.encode())
        for server in system.servers.values()
        for request in server.requests
    )


async def read_reply(reader):
    try:
        return Reply(await asyncio.wait_for(reader.read(), 5.0))
    except ConnectionResetError:
        return Reply(b'')


async def call_at(system, stop, after_s, path, **kwargs):
    await stop.wait_until(after_s)
    if not system.nodes:
        return Reply(b'')
    try:
        reader, writer = await system.open(path, **kwargs)
    except (ConnectionRefusedError, ConnectionResetError):
        # A closed listener resets the connections that it has not accepted.
        return Reply(b'')
    reply = await read_reply(reader)
    writer.close()
    return reply


@pytest.mark.parametrize('work_s', [0.05, LONG_S])
@on_loopback_clock
async def test_each_tenth_of_a_stop_is_answered(work_s):
    """Guards against requests that a stop ends without an answer."""
    async with stopping_world() as (system, stop):
        for server in system.servers.values():
            server.work_s = work_s
        calls = [
            (after_s, f'/{kind}/{i}')
            for kind in ('look', 'claim')
            for i, after_s in enumerate(TENTHS)
        ]
        stop.signal()
        replies = await asyncio.gather(
            *(
                call_at(system, stop, after_s, path, method='POST')
                for after_s, path in calls
            )
        )
        await stop.wait_end()
        assert not stop.unanswered
        for (after_s, path), reply in zip(calls, replies, strict=True):
            if after_s > NOTICE_S:
                # The process ends as soon as its last request has ended.
                assert reply.status in (503, None), path
            else:
                expected = 200 if work_s < LONG_S else 504
                assert (reply.status, reply.complete) == (expected, True), path
            ran = was_run(system, path)
            assert ran == (reply.status in (200, 504)), path


@pytest.mark.parametrize(
    ('prefill_s', 'gap_s', 'status', 'complete'),
    [
        (0.0, 0.02, 200, True),
        (0.0, 1.0, 200, False),
        (LONG_S, 0.0, 504, True),
    ],
)
@on_loopback_clock
async def test_stream_in_a_stop_ends_truthfully(
    prefill_s, gap_s, status, complete
):
    """Guards against a stream that ends silently or looks complete."""
    async with stopping_world() as (system, stop):
        for server in system.servers.values():
            server.prefill_s = prefill_s
            server.event_gap_s = gap_s
        stop.signal()
        replies = await asyncio.gather(
            *(
                call_at(
                    system,
                    stop,
                    after_s,
                    path,
                    method='POST',
                    headers=PROMPT,
                    body=b'{}',
                )
                for path in ('/chat/x', '/digest/x')
                for after_s in TENTHS
                if after_s < NOTICE_S
            )
        )
        await stop.wait_end()
        for reply in replies:
            assert (reply.status, reply.complete) == (status, complete)
        assert len(stop.unanswered) == (0 if complete else len(replies))
        # The router ends them, not the end of its process.
        assert {c.reason for c in stop.unanswered} <= {'response cut'}


@on_loopback_clock
async def test_requests_behind_one_that_outlasts_a_stop_are_refused():
    """Guards against a pipelined request that is cut without an answer."""
    async with stopping_world() as (system, stop):
        for server in system.servers.values():
            server.work_s = LONG_S
        reader, writer = await asyncio.open_connection(
            *stop.node.caller_address
        )
        for i in range(3):
            writer.write(
                f'POST /claim/{i} HTTP/1.1\r\nHost: h.example\r\n'
                f'X-Request-Id: {i}\r\nContent-Length: 0\r\n'
                'Authorization: Bearer key\r\n\r\n'.encode()
            )
        await system.until(lambda: system.runs('app') == 1)
        stop.signal()
        data = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        await stop.wait_end()
        statuses = [part[:3] for part in data.split(b'HTTP/1.1 ')[1:]]
        assert statuses == [b'504', b'503', b'503']
        assert system.runs('app') == 1
        assert not stop.unanswered


def wait_for_limit(system, node):
    for server in system.servers.values():
        server.limit_per_s = 2.0


def wait_for_quiet(system, node):
    for server in system.servers.values():
        server.mode = 'shed'
        server.retry_after = '0.5'


def wait_for_tokens(system, node):
    # The grant arrives while the router stops.
    held = node.budgets.hold

    async def hold(organisation, tokens, timeout_s):
        await asyncio.sleep(0.5)
        return await held(organisation, tokens, timeout_s)

    node.budgets.hold = hold


@pytest.mark.parametrize(
    ('hinder', 'path', 'headers'),
    [
        (wait_for_limit, '/claim/x', ()),
        (wait_for_quiet, '/claim/x', ()),
        (wait_for_tokens, '/digest/x', PROMPT),
    ],
)
@on_loopback_clock
async def test_request_that_waits_for_a_send_is_refused(hinder, path, headers):
    """Guards against a first send when the end of the stop is near."""
    config = configuration(
        routes=[
            route('claim', 'unsafe', 'app', latency_target_ms=3000),
            route(
                'digest',
                'streaming',
                'llm',
                sticky=True,
                max_attempts=1,
                latency_target_ms=3000,
            ),
        ]
    )
    async with stopping_world(config, apps=1, models=1) as (system, stop):
        hinder(system, stop.node)
        if not headers:
            await system.call(path, method='POST')
        for server in system.servers.values():
            server.mode = 'ok'
            server.work_s = server.prefill_s = LONG_S
        runs = system.runs('app') + system.runs('llm')
        stop.signal()
        reply = await call_at(
            system,
            stop,
            0.05,
            path,
            method='POST',
            headers=headers,
            body=b'{}',
        )
        assert reply.status == 503
        assert reply.headers['retry-after'] == '0.100'
        await stop.wait_end()
        assert system.runs('app') + system.runs('llm') == runs


@on_loopback_clock
async def test_request_that_arrives_slowly_in_a_stop_is_refused():
    """Guards against a stop that closes on a caller that still sends."""
    head = (
        b'POST /claim/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 1\r\n'
        b'Authorization: Bearer key\r\nContent-Length: 1000\r\n'
    )

    async def send(first, part):
        reader, writer = await asyncio.open_connection(
            *stop.node.caller_address
        )
        writer.write(first)
        reply = asyncio.create_task(read_reply(reader))
        for tenth_s in TENTHS[:-1]:
            await stop.wait_until(tenth_s)
            writer.write(part)
        await reply
        writer.close()
        return reply.result()

    async with stopping_world() as (system, stop):
        stop.signal()
        refused = asyncio.gather(
            send(head, b'x: 1\r\n'), send(head + b'\r\n', b'12345')
        )
        # Sends nothing, and so gets nothing.
        await stop.wait_until(NOTICE_S + 0.1)
        reader, writer = await asyncio.open_connection(
            *stop.node.caller_address
        )
        assert (await read_reply(reader)).status is None
        writer.close()
        for reply in await refused:
            assert reply.status == 503
            assert reply.headers['connection'] == 'close'
        await stop.wait_end()
        assert system.runs('app') == 0


@on_loopback_clock
async def test_slow_body_that_ends_in_a_stop_is_refused_or_served():
    """Guards against a body that ends late in a stop and is passed on."""
    async with stopping_world() as (system, stop):
        stop.signal()
        replies = []
        for name, end_s in (('early', 0.16), ('late', 0.56)):
            reader, writer = await asyncio.open_connection(
                *stop.node.caller_address
            )
            writer.write(
                f'POST /claim/{name} HTTP/1.1\r\nHost: h.example\r\n'
                'X-Request-Id: 1\r\nAuthorization: Bearer key\r\n'
                'Content-Length: 4\r\n\r\n12'.encode()
            )
            await stop.wait_until(end_s)
            writer.write(b'34')
            replies.append(await read_reply(reader))
            writer.close()
        await stop.wait_end()
        assert [reply.status for reply in replies] == [200, 503]
        assert (was_run(system, 'early'), was_run(system, 'late')) == (1, 0)


@on_loopback_clock
async def test_request_that_cannot_begin_within_a_stop_is_refused():
    """Guards against a send whose response is due after the stop."""
    async with stopping_world() as (system, stop):
        for entry in stop.node.directory.candidates('llm'):
            # A first event is forecast after 3 s, as prefills lie before it.
            entry.load.prefill_cost += 3.0 * PREFILL_TOKENS_PER_S
        for server in system.servers.values():
            server.prefill_s = 3.0
        stop.signal()
        for path in ('/chat/x', '/digest/x'):
            reply = await call_at(
                system,
                stop,
                0.08,
                path,
                method='POST',
                headers=PROMPT,
                body=b'{}',
            )
            assert reply.status == 503, path
        assert system.runs('llm') == 0
        await stop.wait_end()


@on_loopback_clock
async def test_stop_while_the_log_is_silent_ends_in_time():
    """Guards against answers that wait for the log until SIGKILL."""
    async with stopping_world() as (system, stop):
        for server in system.servers.values():
            server.work_s = server.prefill_s = LONG_S
        # More tokens than the router owns before it asks for them.
        prompt = (('X-Model', 'm'), ('X-Token-Count', '40000,40000'))
        system.log.mode = 'silent'
        stop.signal()
        replies = await asyncio.gather(
            call_at(system, stop, 0.08, '/claim/x', method='POST'),
            call_at(
                system,
                stop,
                0.08,
                '/digest/x',
                method='POST',
                headers=prompt,
                body=b'{}',
            ),
        )
        await stop.wait_end()
        assert [reply.status for reply in replies] == [504, 503]
        assert system.runs('llm') == 0


@on_loopback_clock
async def test_pause_before_the_release_does_not_outlast_the_stop():
    """Guards against a release of tokens that SIGKILL cuts.

    The last answers of a busy machine were 55 ms late, and the release waited
    for a silent log for its whole time from then on.
    """
    async with stopping_world() as (system, stop):
        for server in system.servers.values():
            server.work_s = LONG_S
        stop.signal()
        reply = asyncio.create_task(
            call_at(system, stop, 0.08, '/claim/x', method='POST')
        )
        await stop.wait_until(GRACE_S - MARGIN_S - 0.01)
        system.log.mode = 'silent'
        asyncio.get_running_loop().pause(0.065)
        await stop.wait_end()
        assert (await reply).status == 504


@on_loopback_clock
async def test_no_first_send_follows_a_refusal_by_an_endpoint():
    """Guards against a first send when the end of the stop is near."""
    async with stopping_world(apps=2) as (system, stop):
        servers = [s for s in system.servers.values() if s.service == 'app']
        refused = []

        async def refuse_late(request, responder):
            refused.append(request)
            await stop.wait_until(NOTICE_S + 0.1)
            responder.respond(503, [(b'x-not-executed', b'1')])

        for server in servers:
            server._server.handler = refuse_late
        stop.signal()
        # The refusal precedes the time limit of the send, which is 0.3 s.
        reply = await call_at(system, stop, 0.08, '/look/x')
        assert len(refused) == 1
        assert reply.status == 503
        assert reply.headers['retry-after'] == '0.100'
        await stop.wait_end()


@on_loopback_clock
async def test_request_that_waits_for_its_retry_is_answered():
    """Guards against a failed request that is cut while it waits."""
    config = configuration(
        routes=[route('look', 'safe', 'app', latency_target_ms=3000)]
    )
    async with stopping_world(config, apps=1, models=1) as (system, stop):
        (server,) = (s for s in system.servers.values() if s.service == 'app')
        server.limit_per_s = 1.0
        await system.call('/look/first')
        (entry,) = stop.node.directory.candidates('app')
        # The first send is admitted, the retry has to wait for 1 s.
        stop.node._limits._limits[entry.incarnation_number].next_s = 0.0
        server.mode = 'break'
        stop.signal()
        reply = await call_at(system, stop, 0.05, '/look/x')
        assert reply.status == 504
        await stop.wait_end()
        assert not stop.unanswered
