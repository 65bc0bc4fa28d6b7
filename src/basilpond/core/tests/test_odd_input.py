"""Odd input of each decoder: one documented error type."""

import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from basilpond.core import FullResponseCheck
from basilpond.core import InvalidFieldError
from basilpond.core import RefusalError
from basilpond.core import StreamCheck
from basilpond.core import decode_batch
from basilpond.core import decode_config
from basilpond.core import decode_manifest
from basilpond.core import parse_chat_request
from basilpond.core import prompt_bound_tokens

# Some documents are nested too deep for the decoder, others only for calls.
DEPTHS = [100, 500, 900, 960, 980, 990, 995, 1_000, 5_000]
NESTS = [('[', ']'), ('{"a":', '}')]
CHECK = {
    'attempt_id': None,
    'model': 'm',
    'max_output_tokens': 5,
    'prompt_bound_tokens': 5,
}


def nested(depth, nest):
    start, end = nest
    return start * depth + '1' + end * depth


@pytest.mark.parametrize('nest', NESTS)
@pytest.mark.parametrize('depth', DEPTHS)
@pytest.mark.parametrize(
    'template',
    [
        '%s',
        '{"writer":"r~1","seq":1,"records":[],"extra":%s}',
        '{"type":"manifest_snapshot","version":1,"document":%s}',
        '{"organisations":%s,"endpoints":[]}',
    ],
)
def test_deeply_nested_record_raises_one_error(template, depth, nest):
    """Guards against a record that ends the readers of all routers."""
    data = template % nested(depth, nest)
    for decode, error in (
        (decode_batch, msgspec.MsgspecError),
        (decode_config, msgspec.MsgspecError),
        (decode_manifest, InvalidFieldError),
    ):
        try:
            decode(data)
        except error:
            pass


@hypothesis.given(st.binary())
def test_arbitrary_bytes_raise_one_error(data):
    """Guards against error types that end the readers of all routers."""
    for decode, error in (
        (decode_batch, msgspec.MsgspecError),
        (decode_config, msgspec.MsgspecError),
        (decode_manifest, InvalidFieldError),
        (parse_chat_request, RefusalError),
    ):
        with pytest.raises(error):
            decode(data)


@pytest.mark.parametrize('nest', NESTS)
@pytest.mark.parametrize('depth', DEPTHS)
@pytest.mark.parametrize(
    'template',
    [
        '{"model":"m","messages":%s}',
        '{"model":%s,"messages":[{"role":"user","content":"a"}]}',
        '{"model":"m","messages":[{"role":"user","content":%s}]}',
        '{"model":"m","messages":[{"role":"user","x":%s}],"tools":[%s]}',
    ],
)
def test_deeply_nested_chat_request_is_refused_or_bounded(
    template, depth, nest
):
    """Guards against 500 for the body of a caller."""
    value = nested(depth, nest)
    try:
        request = parse_chat_request(template.replace('%s', value).encode())
    except RefusalError:
        return
    request.upstream_body(5)
    prompt_bound_tokens(
        request.messages,
        margin_tokens_per_message=1,
        image_tokens=1,
        other_prompt_parts=request.other_prompt_parts,
    )


@pytest.mark.parametrize('nest', NESTS)
@pytest.mark.parametrize('depth', DEPTHS)
@pytest.mark.parametrize('field', ['content', 'tool_calls', 'other'])
def test_deeply_nested_response_fails_its_check(field, depth, nest):
    """Guards against an endpoint whose response is no failure but a defect."""
    value = nested(depth, nest)
    message = f'{{"role":"assistant","{field}":{value}}}'
    choice = '"model":"m","choices":[{"index":0,"%s":%s%s}]'
    body = choice % ('message', message, ',"finish_reason":"stop"')
    FullResponseCheck(**CHECK).check(b'{"id":"x",%s}' % body.encode())
    stream = StreamCheck(**CHECK)
    frame = choice % ('delta', message, '')
    stream.feed(b'data: {"id":"x",%s}\n\n' % frame.encode())
    stream.finish()


@pytest.mark.parametrize(
    'address',
    [
        '10.0.0.1:0',
        '10.0.0.1:65536',
        '10.0.0.1:99999',
        '10.0.0.1:' + '9' * 5_000,
        '999.0.0.1:80',
        '10..1:80',
        '...:80',
        '10.0.0.1:080',
        '10.0.0.1:80\n',
    ],
)
def test_manifest_with_an_impossible_address_is_invalid(address):
    """Guards against an endpoint that ends the task that polls it."""
    manifest = {
        'organisations': [
            {
                'id': 'o',
                'key_sha256': ['a' * 64],
                'top_ups': [],
                'endpoints': ['e'],
            }
        ],
        'models': [{'id': 'm'}],
        'endpoints': [
            {
                'id': 'e',
                'data_centre': 'd',
                'url': 'http://10.0.0.1:65535',
                'models': ['m'],
            }
        ],
    }
    decode_manifest(json.dumps(manifest))
    manifest['endpoints'][0]['url'] = f'http://{address}'
    with pytest.raises(InvalidFieldError):
        decode_manifest(json.dumps(manifest))
