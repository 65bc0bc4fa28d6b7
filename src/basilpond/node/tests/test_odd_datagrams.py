"""Datagrams and addresses of other writers that no router sends."""

import os
import struct
import time
import tracemalloc

import hypothesis
from hypothesis import strategies as st
import pytest
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import serialize

from basilpond.http1 import ConnectionPool
from basilpond.http1 import ExchangeError
from basilpond.http1 import ExchangeFailure
from basilpond.node import DecisionLog
from basilpond.node._brittle_records import decode_brittle
from basilpond.node._brittle_records import encode_brittle
from basilpond.node._datagrams import DatagramError
from basilpond.node._datagrams import decode_datagram
from basilpond.node._datagrams import messages
from basilpond.node.tests.platform_world import world
from basilpond.routing import BrittleReport
from basilpond.routing import RejectionReport
from basilpond_testkit.platform_stand_in import HOST

MANY = struct.pack('>i', 2**31 - 1)
# Type and number of a field that no version of the schema has.
UNKNOWN = b'\x0f\x00\x63'
LIES = {
    'text of 2 GB': b'\x0b\x00\x01' + MANY + b'a',
    'text of negative size': b'\x0b\x00\x01\xff\xff\xff\xff',
    'elements without bytes': UNKNOWN + b'\x00' + MANY + bytes(50),
    'elements of unknown type': UNKNOWN + b'\x07' + MANY + bytes(50),
    'more elements than bytes': UNKNOWN + b'\x03' + MANY + bytes(50),
    'entries of a map': b'\x0d\x00\x63\x00\x00' + MANY + bytes(50),
    'more crashes than bytes': b'\x0c\x00\x03\x0f\x00\x03\x0c'
    + MANY
    + bytes(40_000),
    'nested structures': b'\x0c\x00\x63' * 10_000,
    'nested lists': UNKNOWN + b'\x0f\x00\x00\x00\x01' * 5_000,
    'nothing': b'',
}


def account(**changes):
    fields = {'organisation': 'org', 'owned': -1, 'ceiling': -1, 'revision': 1}
    return messages.Account(**(fields | changes))


def evacuations(**changes):
    fields = {'data_centre': 'dc', 'active': True, 'era': 1, 'log_offset': -1}
    record = messages.Evacuation(**(fields | changes))
    return messages.Evacuations(era=-1, log_end=0, records=[record])


def full_datagram(**changes):
    fields = {
        'holder': 'a~1',
        'router': 'a',
        'report': messages.Report(
            crashes=[messages.Crash(digest='d', count=1, age_ms=1)],
            leaving=['x@1'],
            configuration_version=1,
            wall_ms=1,
            loads=bytes(10),
            runs=bytes(12),
            evidence=b'',
            data_centre='dc',
            evacuations=evacuations(),
            router_full=True,
        ),
        'request': messages.AllotmentRequest(
            number=1, organisation='org', tokens=1, percent=1
        ),
        'transfer': messages.AllotmentTransfer(
            number=1, organisation='org', tokens=1, left=1
        ),
        'account_statement': messages.AccountStatement(
            number=1, era=1, accounts=[account()]
        ),
        'known_statement': 1,
        **changes,
    }
    return serialize(messages.Datagram(**fields), TCyBinaryProtocolFactory())


@pytest.mark.parametrize('name', LIES)
def test_datagram_that_lies_about_sizes_costs_nothing(name):
    """Guards against a router that stops, or runs out of memory."""
    tracemalloc.start()
    started_s = time.process_time()
    try:
        with pytest.raises(DatagramError):
            decode_datagram(LIES[name])
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 4_000_000
    assert time.process_time() - started_s < 0.5


@pytest.mark.parametrize(
    'changes',
    [
        {'router': None},
        {'router': b'\xff\xfe'},
        {'holder': None},
        {'report': messages.Report(crashes=[messages.Crash(digest='d')])},
        {'report': messages.Report(configuration_version=2**62)},
        {'report': messages.Report(wall_ms=-1)},
        {'request': messages.AllotmentRequest(number=1, tokens=1)},
        {
            'transfer': messages.AllotmentTransfer(
                number=1, organisation='org', tokens=-1
            )
        },
        {
            'transfer': messages.AllotmentTransfer(
                number=1, organisation='org', tokens=2**62
            )
        },
        {'report': messages.Report(evacuations=messages.Evacuations(era=1))},
        {'report': messages.Report(evacuations=evacuations(data_centre=''))},
        {'report': messages.Report(evacuations=evacuations(active=None))},
        {'report': messages.Report(evacuations=evacuations(era=2**62))},
        {'report': messages.Report(evacuations=evacuations(log_offset=-2))},
        {'known_statement': -1},
        {'account_statement': messages.AccountStatement(era=1)},
        {
            'account_statement': messages.AccountStatement(
                number=1, era=1, accounts=[account(owned=None)]
            )
        },
        {
            'account_statement': messages.AccountStatement(
                number=1, era=1, accounts=[account(revision=2**62)]
            )
        },
        {
            'account_statement': messages.AccountStatement(
                number=1, era=1, accounts=[account(ceiling=-(2**62))]
            )
        },
    ],
)
def test_datagram_with_an_odd_value_is_unreadable(changes):
    """Guards against values that only fail, or add tokens, where used."""
    with pytest.raises(DatagramError):
        decode_datagram(full_datagram(**changes))


@pytest.mark.parametrize(
    'field', [b'\x02\x00\x0c\x07', b'\x08\x00\x0c' + bytes(4), b'']
)
def test_odd_or_missing_state_of_a_router_is_readable(field):
    """Guards against reports of other versions that are lost as a whole."""
    text = b'\x0b\x00%c\x00\x00\x00\x01a'
    report = b'\x0c\x00\x03' + field + b'\x00'
    datagram = decode_datagram(text % 1 + text % 2 + report + b'\x00')
    assert datagram.report.router_full in (None, True, False)


@hypothesis.settings(max_examples=500)
@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 10_000), st.integers(0, 255)), max_size=4
    ),
    st.integers(0, 10_000),
)
def test_changed_datagram_is_readable_or_raises_one_error(changes, cut):
    """Guards against error types that reach the event loop."""
    data = bytearray(full_datagram())
    for position, value in changes:
        data[position % len(data)] = value
    try:
        datagram = decode_datagram(bytes(data[: cut or None]))
    except DatagramError:
        return
    assert datagram.router


@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_datagram_raises_one_error(data):
    """Guards against error types that reach the event loop."""
    with pytest.raises(DatagramError):
        decode_datagram(data)


@hypothesis.given(st.binary(max_size=80), st.integers(0, 80))
def test_odd_news_of_brittle_endpoints_raises_one_error(data, cut):
    """Guards against error types that reach the event loop."""
    bounds = [BrittleReport(7, 2, 1.0, 2.0), BrittleReport(8, None, 1.0, 2.5)]
    rejections = [RejectionReport(7, 1, 2.75)]
    encoded = encode_brittle(bounds, rejections, 3.0)
    assert decode_brittle(encoded, 3.0) == (bounds, rejections)
    for odd in (data, encoded[:cut]):
        try:
            decode_brittle(odd, 3.0)
        except ValueError:
            continue


@pytest.mark.parametrize(
    'address',
    [
        b'127.0.0.1:99999',
        b'127.0.0.1:0',
        b'127.0.0.1:\xb2',
        b'127.0.0.1:' + b'9' * 5_000,
        b'router.example:80',
        b':80',
        b'\xff\0',
    ],
)
async def test_odd_address_of_a_router_closes_no_socket(address):
    """Guards against one record that cuts all routers off each other."""
    async with world(nodes=2, apps=1, models=1) as system:
        system.log.put('keyed.fleet', 'router/odd', address)
        first = system.nodes[0].peers
        system.log.put('keyed.fleet', 'router/last', b'127.0.0.1:9')
        await system.until(lambda: 'last' in first._peers)
        first._prepare_report(0.0)
        for peer in list(first._peers.values()):
            first._send(b'x', peer)
        assert not first._transport.is_closing()
        assert all(not task.done() for task in system.nodes[0]._tasks)


@pytest.mark.parametrize(
    ('host', 'port'), [(HOST, 99_999), (HOST, -1), ('a\0b', 80), ('a' * 70, 1)]
)
async def test_connection_to_an_impossible_address_is_refused(host, port):
    """Guards against a 500, or the end of a task, for one odd address."""
    with pytest.raises(ExchangeError) as caught:
        await ConnectionPool(host, port, 1.0).connect()
    assert caught.value.failure is ExchangeFailure.CONNECT


def test_log_line_with_an_odd_value_is_written():
    """Guards against a log line that ends the task that writes it."""
    reader, writer = os.pipe()
    decisions = DecisionLog('n', fd=writer)
    decisions.event('odd', value=2**70, text='a\ud800')
    decisions.close()
    os.close(writer)
    with os.fdopen(reader, 'rb') as lines:
        assert str(2**70).encode() in lines.read()
