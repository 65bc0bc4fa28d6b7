from hypothesis import given
from hypothesis import strategies as st
import pytest

from basilpond.core import _pricing
from basilpond.core._codes import RefusalError
from basilpond.core._codes import ResultCode


def make_bound(prompt_tokens=100, output_tokens=50):
    return _pricing.chat_bound(
        prompt_tokens=prompt_tokens,
        requested_output_tokens=output_tokens,
        max_output_tokens=4096,
        prompt_price_tokens=2,
        output_price_tokens=3,
    )


def test_bound_counts_utf8_bytes_of_every_field():
    """Guards against text whose characters are counted instead of its bytes,
    and against fields that are not counted.
    """
    bound = _pricing.prompt_bound_tokens(
        [
            {'role': 'user', 'content': 'ü€'},
            {'content': [{'type': 'text', 'text': 'abc'}]},
        ],
        margin_tokens_per_message=16,
        image_tokens=100,
        other_prompt_parts=[{'name': 'f'}],
    )
    text = 'roleusercontentü€contenttypetexttextabcnamef'
    assert bound == len(text.encode()) + 2 * 16


@pytest.mark.parametrize(
    'message',
    [
        {'content': [{'image_url': {'url': 'file:///a.png'}}]},
        {'content': [{'image_url': 7}]},
        {'content': 7},
        {'content': ['text']},
        {'content': '\ud800'},
        'text',
    ],
)
def test_content_of_unknown_size_is_refused(message):
    """Guards against a prompt whose tokens have no upper bound."""
    with pytest.raises(RefusalError) as caught:
        _pricing.prompt_bound_tokens(
            [message], margin_tokens_per_message=16, image_tokens=100
        )
    assert caught.value.code == ResultCode.INVALID_FIELD


@pytest.mark.parametrize('output_tokens', [0, -1, 4097, True, 1.5])
def test_output_limit_out_of_range_is_refused(output_tokens):
    """Guards against a negative or unbounded hold."""
    with pytest.raises(RefusalError):
        make_bound(output_tokens=output_tokens)


@pytest.mark.parametrize(
    ('usage', 'from_usage'),
    [
        (_pricing.Usage(100, 10), True),
        (_pricing.Usage(0, 48), True),
        (_pricing.Usage(100, 9), False),
        (_pricing.Usage(100, 49), False),
        (_pricing.Usage(101, 20), False),
        (_pricing.Usage(-1, 20), False),
        (None, False),
    ],
)
def test_implausible_usage_is_replaced_by_router_count(usage, from_usage):
    """Guards against endpoints that under- or over-report usage."""
    cost = _pricing.response_cost(
        make_bound(),
        usage=usage,
        content_frames=10,
        content_bytes=40,
        prompt_price_tokens=2,
        output_price_tokens=3,
    )
    assert cost.from_usage is from_usage
    if not from_usage:
        assert cost.cost_tokens == 100 * 2 + 10 * 3


@given(
    st.integers(-5, 10**6),
    st.integers(-5, 10**6),
    st.integers(0, 10**6),
    st.integers(0, 10**6),
)
def test_cost_never_exceeds_the_hold(prompt, completion, frames, size):
    """Guards against a bill above the held amount."""
    bound = make_bound()
    cost = _pricing.response_cost(
        bound,
        usage=_pricing.Usage(prompt, completion),
        content_frames=frames,
        content_bytes=size,
        prompt_price_tokens=2,
        output_price_tokens=3,
    )
    assert 0 <= cost.cost_tokens <= bound.cost_tokens


@pytest.mark.parametrize(
    'url', ['https://192.0.2.1/a.png', 'data:image/png;base64,' + 'A' * 500]
)
def test_image_counts_as_image_tokens(url):
    """Guards against a hold below the cost of an image of unknown size."""
    content = [
        {'type': 'text', 'text': 'tags?'},
        {'type': 'image_url', 'image_url': {'url': url}},
    ]
    tokens = _pricing.prompt_bound_tokens(
        [{'role': 'user', 'content': content}],
        margin_tokens_per_message=0,
        image_tokens=1000,
    )
    assert 1000 < tokens < 1100
