"""Header fields of callers and servers with odd values."""

import asyncio

import hypothesis
from hypothesis import strategies as st
import pytest

from basilpond.http1 import EventSplitter
from basilpond.http1 import ResponseHead
from basilpond.node import RequestMetadataError
from basilpond.node._limit_records import decode_limits
from basilpond.node._limit_records import encode_limits
from basilpond.node.tests.platform_world import Reply
from basilpond.node.tests.platform_world import world
from basilpond.platform import decode_request_metadata
from basilpond.platform import request_limit_per_s
from basilpond.routing import LimitReport
from basilpond.routing import prompt_prefixes

NUMBERS = [
    b'nan',
    b'inf',
    b'-inf',
    b'1e300',
    b'1e306',
    b'-1',
    b'%d' % 2**70,
    b'9' * 5_000,
    b'',
    b'\xb2',
    b'1_0',
]
NAMES = [
    b'x-deadline-ms',
    b'x-token-count',
    b'x-length-hint',
    b'x-prompt-prefix',
    b'authorization',
]
VALUES = (
    st.sampled_from(NUMBERS)
    | st.binary(max_size=20)
    | st.lists(
        st.sampled_from(NUMBERS) | st.from_regex(rb'[0-9a-f]{1,20}')
    ).map(b','.join)
    | st.lists(
        st.from_regex(rb'-?[0-9a-f]{1,20}:-?[0-9]{1,20}', fullmatch=True)
    ).map(b','.join)
)


@hypothesis.given(st.dictionaries(st.sampled_from(NAMES), VALUES))
def test_odd_fields_raise_one_error_or_are_within_bounds(fields):
    """Guards against a 500, or a number that reports cannot hold."""
    headers = [(b'x-request-id', b'7'), *fields.items()]
    try:
        metadata = decode_request_metadata(headers)
    except RequestMetadataError:
        return
    assert metadata.deadline_s is None or 0 <= metadata.deadline_s <= 2**53
    assert 0 <= metadata.bound_tokens <= 2 * 10**8
    prompt_prefixes(metadata.parts)


def test_error_of_contradictory_counts_names_the_fields():
    """Guards against a refusal that a caller cannot explain."""
    parts = (b'x-prompt-prefix', b'1:6,2:5')
    headers = [(b'x-request-id', b'7'), parts]
    # The count is optional.
    assert len(decode_request_metadata(headers).parts) == 2
    with pytest.raises(RequestMetadataError, match='X-Prompt-Prefix.*Count'):
        decode_request_metadata([*headers, (b'x-token-count', b'10,1')])


@pytest.mark.parametrize('value', NUMBERS)
def test_limit_that_is_none_reaches_other_routers(value):
    """Guards against one server that ends all tasks that report its limit."""
    per_s = request_limit_per_s(ResponseHead(200, [(b'server-limit', value)]))
    assert per_s is None or 0 <= per_s <= 1e6
    # Also if it comes from another version of the decoder.
    report = LimitReport(1, per_s if per_s is not None else 1e306, 0.0)
    assert len(decode_limits(encode_limits([report], 0.0), 0.0)) == 1


def test_identifier_of_an_event_ends_with_its_line():
    """Guards against header fields that an endpoint adds to a request."""
    splitter = EventSplitter()
    splitter.feed(b'id: 7\rX-Tenant: other\ndata: e\n\n')
    assert splitter.last_id == b'7'


PROMPT = b'X-Token-Count: 10,1\r\nX-Prompt-Prefix: 1:10\r\n'


@pytest.mark.parametrize(
    ('fields', 'status'),
    [
        (b'X-Deadline-Ms: nan\r\n' + PROMPT, 400),
        (b'X-Deadline-Ms: -1\r\n' + PROMPT, 503),
        (b'X-Deadline-Ms: -inf\r\n' + PROMPT, 503),
        (b'X-Deadline-Ms: inf\r\n' + PROMPT, 200),
        (b'X-Deadline-Ms: 1e300\r\n' + PROMPT, 200),
        (b'X-Token-Count: %s,1\r\n' % (b'9' * 5_000), 400),
        (b'X-Token-Count: %d,1\r\n' % 2**70, 400),
        (b'X-Token-Count: 10,1\r\nX-Prompt-Prefix: -1:10\r\n', 400),
        (b'X-Token-Count: 10,1\r\nX-Prompt-Prefix: %x:10\r\n' % 2**70, 400),
        (b'X-Token-Count: 10,1\r\nX-Prompt-Prefix: 1:-10\r\n', 400),
        (b'X-Token-Count: 10,1\r\nX-Prompt-Prefix: 1:6,2:5\r\n', 400),
        (b'X-Token-Count: 0,1\r\nX-Prompt-Prefix: 1:1\r\n', 400),
        (b'X-Length-Hint: %d\r\n' % 2**70 + PROMPT, 400),
    ],
)
async def test_odd_field_of_a_caller_is_no_defect(fields, status):
    """Guards against 500 for what a caller sends."""
    async with world(apps=1, models=1) as system:
        address = system.nodes[0].caller_address
        reader, writer = await asyncio.open_connection(*address)
        writer.write(
            b'POST /chat/x HTTP/1.1\r\nHost: h.example\r\n'
            b'X-Request-Id: 7\r\nAuthorization: Bearer key\r\n'
            b'Connection: close\r\nContent-Length: 0\r\n%s\r\n' % fields
        )
        reply = Reply(await asyncio.wait_for(reader.read(), 5.0))
        writer.close()
    assert reply.status == status


async def test_prompt_with_contradictory_counts_fails_no_other():
    """Guards against one caller's counts that fail all prompts (500)."""
    fields = [
        ('X-Token-Count', '100,8'),
        ('X-Prompt-Prefix', '1:90000,2:90000,3:10'),
    ]
    async with world(apps=1, models=1) as system:
        # Its parts are cached when the second one is placed.
        await system.prompt(headers=fields)
        odd, *others = await asyncio.gather(
            system.prompt(headers=fields),
            *(system.prompt() for _ in range(8)),
        )
    assert {reply.status for reply in others} == {200}
    assert odd.status == 400
