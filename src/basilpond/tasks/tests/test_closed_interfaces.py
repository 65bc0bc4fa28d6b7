"""Malformed and unauthorised input on all ports of a running router."""

import asyncio
import contextlib
import itertools
import socket

import hypothesis
from hypothesis import strategies as st
import pytest

from basilpond import protocol
from basilpond.tasks.budgets._refill import MAX_ROUND_INTERVAL_S
from basilpond.tasks.tests.small_system import HOST
from basilpond.tasks.tests.small_system import KEYS
from basilpond.tasks.tests.small_system import OPERATOR_KEY
from basilpond.tasks.tests.small_system import chat
from basilpond.tasks.tests.small_system import running_system

EXAMPLES = 60
REPLY_S = 0.02
SAMPLE_S = 0.3


def http(text, body=b''):
    head = f'{text}\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


CALLER_MESSAGES = [
    http(f'GET /v1/models HTTP/1.1\r\nAuthorization: Bearer {KEYS["acme"]}'),
    http('POST /v1/chat/completions HTTP/1.1', b'{"model": "model-a"}'),
    http('POST /v1/services/desk/bookings HTTP/1.1', b'{"festival": "x"}'),
]
OPERATOR_MESSAGES = [
    http('GET /state HTTP/1.1'),
    http('POST /endpoints/engine-1/drain HTTP/1.1'),
    http('GET /explain/x HTTP/1.1\r\nAuthorization: Bearer wrong'),
]


PEER_MESSAGES = [
    protocol.encode_frame(protocol.Frame(call_id=1, is_reply=False, **payload))
    for payload in (
        {'heartbeat': protocol.Heartbeat(nonce=1)},
        {'fetch_manifest': protocol.FetchManifest(newer_than_version=0)},
        {
            'fetch_answer': protocol.FetchAnswer(
                organisation='acme', request_id='k1'
            )
        },
        {
            'journal_append': protocol.JournalAppend(
                holder='r9~1', entries=[b'{"type":"Bill"}', b'\xff', b'']
            )
        },
        {
            'ask_allotment': protocol.AskAllotment(
                organisation='nobody', need_tokens=5, holder='r9~1'
            )
        },
    )
] + [b'\x7f\xff\xff\xff', b'\x00\x00\x00\x00']
GOSSIP_MESSAGES = [
    protocol.encode_gossip(
        protocol.Gossip(
            kind=kind,
            nonce=5,
            sender=protocol.MemberUpdate(
                incarnation_id='r9~1',
                data_centre='dc1',
                host=HOST,
                port=9,
                version=1,
                state=0,
                manifest_version=1,
                ready=True,
                operator_port=9,
            ),
            updates=[],
            endpoints=[
                protocol.EndpointNotice(endpoint='engine-1', kind=0, age_ms=0)
            ],
            crashes=[],
        )
    )
    for kind in (0, 1, 2)
]


def mutated(messages):
    """Return random bytes, or messages with a part cut out or replaced."""

    @st.composite
    def draw_mutation(draw):
        data = draw(st.sampled_from(messages))
        start = draw(st.integers(0, len(data)))
        end = draw(st.integers(start, min(len(data), start + 8)))
        return data[:start] + draw(st.binary(max_size=8)) + data[end:]

    return st.binary(max_size=200) | draw_mutation()


class Rig:
    """Running system and its event loop, for synchronous test examples."""

    def __init__(self, loop, system):
        self.loop = loop
        self.system = system

    def tcp(self, port, data):
        async def send():
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(data)
            writer.write_eof()
            # Lets the router process the data; no response is expected.
            await asyncio.sleep(REPLY_S)
            writer.transport.abort()

        with contextlib.suppress(OSError):
            self.loop.run_until_complete(send())

    def udp(self, port, data):
        with socket.socket(type=socket.SOCK_DGRAM) as sender:
            sender.sendto(data, (HOST, port))
        self.loop.run_until_complete(asyncio.sleep(0.002))

    def state(self):
        return self.loop.run_until_complete(self._state())

    async def _state(self):
        """Return all state that a message could change."""
        router = self.system.routers[0]
        state = router.operator_api._source.state()
        for name in ('resident_bytes', 'open_requests', 'queued_requests'):
            del state[name]
        return state, router.ledger_task.ledger.to_snapshot()

    def wait_for_stable_state(self):
        """Wait until the bills and grants of earlier requests are applied."""
        state, equal = None, 0
        for _ in range(100):
            before, state = state, self.state()
            equal = equal + 1 if state == before else 0
            # Longer than the maximum interval between two rounds of grants.
            if equal * SAMPLE_S > MAX_ROUND_INTERVAL_S:
                return state
            self.loop.run_until_complete(asyncio.sleep(SAMPLE_S))
        raise AssertionError('the state does not become stable')

    def check_alive(self):
        router = self.system.routers[0]
        assert not router._failed.is_set()
        response = self.loop.run_until_complete(
            self.system.call('POST', '/v1/chat/completions', json=chat())
        )
        assert response[0] == 200


@pytest.fixture(scope='module')
def rig():
    loop = asyncio.new_event_loop()
    loop_errors = []
    loop.set_exception_handler(lambda _, context: loop_errors.append(context))
    context = running_system(2)
    system = loop.run_until_complete(context.__aenter__())
    yield Rig(loop, system)
    loop.run_until_complete(context.__aexit__(None, None, None))
    loop.close()
    assert not loop_errors


@pytest.fixture
def unchanged(rig):
    """Compare the state before and after a test."""
    before = rig.wait_for_stable_state()
    yield
    rig.loop.run_until_complete(asyncio.sleep(0.1))
    assert rig.state() == before
    rig.check_alive()


def fuzz(messages):
    def decorate(function):
        return hypothesis.settings(
            max_examples=EXAMPLES,
            suppress_health_check=[
                hypothesis.HealthCheck.function_scoped_fixture
            ],
        )(hypothesis.given(data=mutated(messages))(function))

    return decorate


@fuzz(CALLER_MESSAGES)
def test_callers_port(rig, unchanged, data):
    """Guards against input that changes budgets or ends a task."""
    rig.tcp(rig.system.routers[0].settings.router.caller_port, data)


@fuzz(PEER_MESSAGES)
def test_peer_tcp_port(rig, unchanged, data):
    """Guards against frames that end a task or reach the budgets."""
    rig.tcp(rig.system.routers[0].settings.router.peer_port, data)


@fuzz(GOSSIP_MESSAGES)
def test_peer_udp_port(rig, unchanged, data):
    """Guards against datagrams that are applied in part."""
    try:
        protocol.decode_gossip(data)
    except protocol.ProtocolError:
        rig.udp(rig.system.routers[0].settings.router.peer_port, data)
    else:
        # A valid message may change the members and is not tested here.
        hypothesis.reject()


@fuzz(OPERATOR_MESSAGES)
def test_operator_port(rig, unchanged, data):
    """Guards against a command without the operator key."""
    rig.tcp(rig.system.routers[0].settings.router.operator_port, data)


def test_operator_port_without_the_key(rig, unchanged):
    """Guards against commands with a caller's key or an invalid key."""
    port = rig.system.routers[0].settings.router.operator_port
    calls = (
        'GET /',
        'GET /state',
        'GET /explain/x',
        'POST /endpoints/engine-1/drain',
        'POST /endpoints/engine-1/undrain',
        'GET /nothing',
    )
    keys = ('', 'wrong', KEYS['acme'], '\udcff')
    for call, key in itertools.product(calls, keys):
        head = (
            f'{call} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            f'Authorization: Bearer {key}\r\n\r\n'
        ).encode('utf-8', 'surrogateescape')
        response = rig.loop.run_until_complete(rig.system.raw(head, port=port))
        assert response.startswith(b'HTTP/1.1 401 ')
        assert OPERATOR_KEY.encode() not in response
