import msgspec
import pytest

from basilpond.core import _chat_request
from basilpond.core import _codes

BODY = {'model': 'chat', 'messages': [{'role': 'user', 'content': 'hi'}]}


@pytest.mark.parametrize(
    'changed',
    [
        {'messages': []},
        {'messages': [{'role': 'wizard', 'content': 'x'}]},
        {'messages': [{'role': 'user', 'content': 7}]},
        {'model': 3},
        {'n': 2},
        {'best_of': 4},
        {'stream': 'yes'},
        {'max_tokens': 0},
        {'temperature': 3},
    ],
)
def test_invalid_fields_are_refused(changed):
    """Guards against requests whose cost exceeds the tokens held."""
    with pytest.raises(_codes.RefusalError) as caught:
        _chat_request.parse_chat_request(msgspec.json.encode(BODY | changed))
    assert caught.value.code == _codes.ResultCode.INVALID_FIELD
    assert caught.value.outcome == _codes.Outcome.NOT_RUN


@pytest.mark.parametrize('body', [b'', b'{', b'[' * 100_000, b'\xff\xfe'])
def test_malformed_bodies_are_refused(body):
    """Guards against a body that raises an untyped error."""
    with pytest.raises(_codes.RefusalError):
        _chat_request.parse_chat_request(body)


def test_upstream_body_sets_limit_and_usage():
    """Guards against output beyond the limit for which tokens are held."""
    body = BODY | {'stream': True, 'max_completion_tokens': 9, 'seed': 5}
    request = _chat_request.parse_chat_request(msgspec.json.encode(body))
    assert request.requested_output_tokens == 9
    sent = msgspec.json.decode(request.upstream_body(9))
    assert sent['max_tokens'] == 9
    assert sent['seed'] == 5
    assert sent['stream_options'] == {'include_usage': True}
    assert 'max_completion_tokens' not in sent
