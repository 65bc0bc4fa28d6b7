import re
import time

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from basilpond import protocol
from basilpond.protocol import _codec
from basilpond.protocol import _messages


def member(**changes):
    fields = {
        'incarnation_id': 'r1~1700000000000',
        'data_centre': 'dc-1',
        'host': '127.0.0.1',
        'port': 7000,
        'version': 3,
        'state': 0,
        'manifest_version': 12,
        'ready': True,
        'operator_port': 7001,
    }
    return protocol.MemberUpdate(**{**fields, **changes})


def gossip(**changes):
    fields = {
        'kind': 0,
        'nonce': 2**40,
        'sender': member(),
        'updates': [member(ready=False, state=2)],
        'endpoints': [
            protocol.EndpointNotice(endpoint='e1', kind=0, age_ms=5)
        ],
        'crashes': [
            protocol.CrashNotice(body_digest='ab', crashes=1, age_ms=5)
        ],
    }
    return protocol.Gossip(**{**fields, **changes})


def frame(**changes):
    fields = {
        'call_id': 1,
        'is_reply': False,
        'journal_append': protocol.JournalAppend(
            holder='r1~1', entries=[b'\xff\x00', b'']
        ),
    }
    return protocol.Frame(**{**fields, **changes})


def test_messages_round_trip():
    assert protocol.decode_gossip(protocol.encode_gossip(gossip())) == gossip()
    data = protocol.encode_frame(frame())
    assert protocol.frame_size(data[:4]) == len(data) - 4
    assert protocol.decode_frame(data[4:]) == frame()


def test_table_of_optional_fields_matches_the_schema():
    """Guards against an optional field that decoding treats as required."""
    text = _messages.SCHEMA_PATH.read_text()
    optional = {}
    for name, body in re.findall(r'struct (\w+) \{(.*?)\}', text, re.DOTALL):
        fields = set(re.findall(r'optional \w+ (\w+)', body))
        if fields:
            optional[name] = fields
    assert optional == _codec._OPTIONAL_FIELDS


@pytest.mark.parametrize(
    'bad',
    [
        frame(journal_append=None),
        frame(heartbeat=protocol.Heartbeat(nonce=1)),
        frame(journal_append=None, error='x'),
        frame(call_id=None),
        frame(call_id=2**63),
        frame(
            journal_append=protocol.JournalAppend(
                holder='h', entries=[bytes(protocol.MAX_FRAME_BYTES)]
            )
        ),
    ],
)
def test_frame_without_exactly_one_valid_payload_is_not_sent(bad):
    with pytest.raises(protocol.ProtocolError):
        protocol.encode_frame(bad)


def test_oversized_datagram_is_refused_in_both_directions():
    oversized = gossip(updates=[member()] * 40)
    with pytest.raises(protocol.ProtocolError):
        protocol.encode_gossip(oversized)
    with pytest.raises(protocol.ProtocolError):
        protocol.decode_gossip(bytes(protocol.MAX_DATAGRAM_BYTES + 1))


@pytest.mark.parametrize('size', [0, protocol.MAX_FRAME_BYTES + 1, 2**32 - 1])
def test_length_outside_the_limits_is_refused_before_reading(size):
    with pytest.raises(protocol.ProtocolError):
        protocol.frame_size(size.to_bytes(4, 'big'))


@pytest.mark.parametrize(
    'data',
    [
        # Field 15: list of 1,000,000 elements without a type.
        b'\xf9\xf0\xc0\x84\x3d' * 200_000,
        # Field 1: integer of one million bytes.
        b'\x16' + b'\xff' * 1_000_000,
        # Structs nested one million deep.
        b'\xfc' * 1_000_000,
        # String that claims 2**60 bytes.
        b'\x18\x80\x80\x80\x80\x80\x80\x80\x80\x10',
    ],
    ids=['typeless-list', 'long-integer', 'deep-nesting', 'long-string'],
)
def test_hostile_frame_is_refused_quickly(data):
    """Guards against input whose decoding takes more than linear time."""
    started = time.process_time()
    with pytest.raises(protocol.ProtocolError):
        protocol.decode_frame(data)
    assert time.process_time() - started < 1


def mutated(valid):
    position = st.integers(0, len(valid) - 1)
    edits = st.lists(st.tuples(position, st.integers(0, 255)), max_size=6)

    def apply(edits, end):
        data = bytearray(valid)
        for index, byte in edits:
            data[index] = byte
        return bytes(data[:end])

    return st.builds(apply, edits, st.integers(0, len(valid)))


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300) | mutated(protocol.encode_gossip(gossip())))
def test_any_datagram_decodes_to_a_valid_message_or_one_error(data):
    try:
        message = protocol.decode_gossip(data)
    except protocol.ProtocolError:
        return
    assert protocol.decode_gossip(protocol.encode_gossip(message)) == message


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300) | mutated(protocol.encode_frame(frame())[4:]))
def test_any_frame_decodes_to_a_valid_message_or_one_error(data):
    try:
        message = protocol.decode_frame(data)
    except protocol.ProtocolError:
        return
    again = protocol.encode_frame(message)[4:]
    assert protocol.decode_frame(again) == message
