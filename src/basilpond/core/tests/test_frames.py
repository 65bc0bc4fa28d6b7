import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from basilpond.core import _frames
from basilpond.core import _full_response_check
from basilpond.core._codes import ResultCode

TERMINAL_CONTENT = (
    '"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n"content":"\\ud83d\\'
)


def frame(content=None, finish=None, **changes):
    delta = {} if content is None else {'content': content}
    fields = {
        'id': 'chatcmpl-att1',
        'object': 'chat.completion.chunk',
        'created': 1,
        'model': 'm1',
        'choices': [{'index': 0, 'delta': delta, 'finish_reason': finish}],
    }
    fields.update(changes)
    text = json.dumps(fields, separators=(',', ':'))
    return b'data: ' + text.encode() + b'\n\n'


def usage_frame(prompt=5, completion=2):
    usage = {'prompt_tokens': prompt, 'completion_tokens': completion}
    return frame(choices=[], usage=usage)


DONE = b'data: [DONE]\n\n'
BODY = frame('') + frame('a') + frame('b')
END = frame(finish='stop') + usage_frame() + DONE


def check_stream(chunks, **options):
    options = {
        'attempt_id': 'att1',
        'model': 'm1',
        'max_output_tokens': 100,
        **options,
    }
    check = _frames.StreamCheck(**options)
    steps = [check.feed(chunk) for chunk in chunks]
    relayed = b''.join(step.relay for step in steps)
    held = b''.join(step.held for step in steps)
    return relayed, held, check.finish()


def split_at(data, cuts):
    points = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(points, points[1:], strict=False)]


def test_terminal_frames_are_held():
    """Guards against completing a stream before its bill is committed."""
    relayed, held, summary = check_stream([BODY + END])
    assert relayed == BODY
    assert held == summary.terminal_bytes == END
    assert summary.complete
    assert (summary.frames, summary.content_bytes) == (2, 2)
    assert summary.usage.completion_tokens == 2


@pytest.mark.parametrize(
    ('stream', 'code'),
    [
        (BODY + frame('x', id='other-att1') + END, 'ANSWER_INVALID'),
        (frame('x', id='nobody') + END, 'ANSWER_INVALID'),
        (BODY + frame('x', model='m2') + END, 'ANSWER_INVALID'),
        (BODY + frame('x', extra=1) + END, 'ANSWER_INVALID'),
        (BODY + frame('x', choices=[]) + END, 'ANSWER_INVALID'),
        (BODY + b'data: {"id":\n\n' + END, 'ANSWER_INVALID'),
        (BODY + frame('x')[:-2] + b'x\n\n' + END, 'ANSWER_INVALID'),
        (BODY + frame('x').replace(b'"x"', b'"\n"') + END, 'ANSWER_INVALID'),
        (BODY + frame('x').replace(b'x', b'\xff') + END, 'ANSWER_INVALID'),
        (BODY + frame('x').replace(b'x', b'\\') + END, 'ANSWER_INVALID'),
        (BODY + b'event: error\ndata: {}\n\n' + END, 'ENDPOINT_FAILED'),
        (BODY + b'data: {"error":{"code":1}}\n\n' + END, 'ENDPOINT_FAILED'),
        (BODY + END + frame('x'), 'ANSWER_INVALID'),
        (BODY + END + b'x', 'ANSWER_INVALID'),
        (BODY + frame(finish='stop') + END, 'ANSWER_INVALID'),
        (BODY + frame(finish='stop') + frame('x') + DONE, 'ANSWER_INVALID'),
        (BODY + frame(finish='stop') + usage_frame() + END, 'ANSWER_INVALID'),
        (BODY + frame(finish='strange') + DONE, 'ANSWER_INVALID'),
        (BODY + DONE, 'ANSWER_TRUNCATED'),
        (BODY + END[: -len(DONE)], 'ANSWER_TRUNCATED'),
        (BODY + END[:-1], 'ANSWER_TRUNCATED'),
        (BODY, 'ANSWER_TRUNCATED'),
        (b'', 'ANSWER_TRUNCATED'),
        (BODY + b'data: ' + b'x' * 300_000, 'ANSWER_INVALID'),
    ],
)
@pytest.mark.parametrize('size', [1 << 20, 4096, 37])
def test_faulty_streams_are_not_complete(stream, code, size):
    """Guards against a faulty stream that counts as complete."""
    chunks = [stream[i : i + size] for i in range(0, len(stream), size)]
    relayed, _, summary = check_stream(chunks)
    assert summary.problem == ResultCode[code]
    assert not summary.complete
    assert summary.terminal_bytes == b''
    assert (BODY + END).startswith(relayed)


@pytest.mark.parametrize('joined', [True, False])
def test_output_limit_cuts_the_stream(joined):
    """Guards against excess cost if an endpoint ignores the output limit."""
    frames = [frame('')] + [frame(str(i)) for i in range(9)] + [END]
    chunks = [b''.join(frames)] if joined else frames
    relayed, held, summary = check_stream(chunks, max_output_tokens=4)
    assert relayed == b''.join(frames[:5])
    assert held == b''
    assert summary.cut
    assert not summary.complete
    assert summary.frames == 4


@pytest.mark.parametrize(
    ('prompt', 'completion', 'problem'),
    [
        (5, 2, ''),
        (5, 11, 'implausible'),
        (-1, 2, 'implausible'),
        (50, 2, 'implausible'),
    ],
)
def test_usage_plausibility(prompt, completion, problem):
    """Guards against billing a usage that contradicts the frames."""
    end = frame(finish='stop') + usage_frame(prompt, completion) + DONE
    summary = check_stream([BODY + end], prompt_bound_tokens=49)[2]
    assert summary.complete
    assert summary.usage_problem == problem
    assert (summary.usage is None) == bool(problem)


def test_more_frames_than_generated_tokens():
    """Guards against duplicated frames in a response taken for complete."""
    end = frame(finish='stop') + usage_frame(5, 1) + DONE
    summary = check_stream([BODY + end])[2]
    assert not summary.complete
    assert summary.problem is ResultCode.ANSWER_INVALID
    assert summary.usage_problem == 'implausible'
    assert summary.terminal_bytes == b''


def test_missing_usage():
    """Guards against a stream without usage that is billed as empty."""
    summary = check_stream([BODY + frame(finish='stop') + DONE])[2]
    assert summary.complete
    assert summary.usage_problem == 'missing'


def test_comments_cannot_imitate_the_outcome():
    """Guards against an endpoint that sends the router's outcome comment."""
    comment = b': basilpond-outcome complete\n\n'
    relayed = check_stream([BODY + comment + END])[0]
    assert relayed == BODY + b':\n\n'


def test_crlf_events():
    """Guards against rejecting CRLF line ends, which SSE allows."""
    stream = (BODY + END).replace(b'\n', b'\r\n')
    summary = check_stream([stream])[2]
    assert summary.complete


PIECES = st.one_of(
    st.text(max_size=4),
    st.just(TERMINAL_CONTENT),
    st.sampled_from(['', '"', '\\', '\n\n', '\U0001f600', 'data: [DONE]']),
)
FAULTS = st.sampled_from(
    [
        b'',
        b'\n',
        b': ping\n\n',
        frame('x', id='other'),
        frame('x').replace(b'"x"', b'"\\"'),
        frame('x', created=2),
        frame('x', usage={'prompt_tokens': 1, 'completion_tokens': 1}),
        b'event: error\n\n',
        DONE,
        frame('x').replace(b'\n', b'\r\n'),
    ]
)


@given(
    st.lists(PIECES, max_size=8),
    FAULTS,
    st.integers(0, 8),
    st.lists(st.integers(0, 10_000), max_size=12),
    st.integers(1, 9),
)
def test_result_does_not_depend_on_split(texts, fault, at, cuts, limit):
    """Guards against faults that a chunk boundary hides or creates."""
    frames = [frame(''), *map(frame, texts)]
    frames.insert(at, fault)
    stream = b''.join([*frames, END])
    expected = check_stream([stream], max_output_tokens=limit)
    assert (
        check_stream(split_at(stream, cuts), max_output_tokens=limit)
        == expected
    )
    each = [stream[i : i + 1] for i in range(len(stream))]
    assert check_stream(each, max_output_tokens=limit) == expected


@given(st.lists(PIECES, max_size=8))
def test_any_content_is_accepted(texts):
    """Guards against content mistaken for JSON or SSE syntax."""
    body = frame('') + b''.join(map(frame, texts))
    end = frame(finish='stop') + DONE
    relayed, held, summary = check_stream([body + end])
    assert (relayed, held) == (body, end)
    assert summary.complete
    assert summary.frames == sum(map(bool, texts))
    assert summary.content_bytes == sum(len(t.encode()) for t in texts)


def response_body(**changes):
    fields = {
        'id': 'chatcmpl-att1',
        'model': 'm1',
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': 'hello'},
                'finish_reason': 'stop',
            }
        ],
        'usage': {'prompt_tokens': 3, 'completion_tokens': 2},
    }
    fields.update(changes)
    return json.dumps(fields).encode()


@pytest.mark.parametrize(
    ('body', 'code'),
    [
        (response_body(), None),
        (response_body(id='x'), 'ANSWER_INVALID'),
        (response_body(model='m2'), 'ANSWER_INVALID'),
        (response_body(choices=[]), 'ANSWER_INVALID'),
        (
            response_body(
                choices=[{'index': 0, 'message': {}, 'finish_reason': None}]
            ),
            'ANSWER_INVALID',
        ),
        (response_body(error={'code': 1}), 'ENDPOINT_FAILED'),
        (response_body()[:-1], 'ANSWER_INVALID'),
        (b'[' * 100_000, 'ANSWER_INVALID'),
        (b'', 'ANSWER_INVALID'),
    ],
)
def test_full_response(body, code):
    """Guards against a faulty document that counts as complete."""
    check = _full_response_check.FullResponseCheck(
        attempt_id='att1', model='m1', max_output_tokens=10
    )
    summary = check.check(body)
    assert summary.problem == (None if code is None else ResultCode[code])
    assert summary.complete == (code is None)
    if summary.complete:
        assert summary.content_bytes == 5
        assert summary.usage.completion_tokens == 2
