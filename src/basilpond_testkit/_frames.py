"""Server-sent event frames of the stand-in engine, correct and patched.

A patch stands for a change by the endpoints' vendor that nobody announced.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import itertools
from typing import NamedTuple

import msgspec

from . import _answers

DONE = b'data: [DONE]\n\n'

_CHAT_WORDS = tuple(
    msgspec.json.encode(word)
    + b'},"logprobs":null,"finish_reason":null}]}\n\n'
    for word in _answers.WORDS
)
_TEXT_WORDS = tuple(
    msgspec.json.encode(word) + b',"finish_reason":null}]}\n\n'
    for word in _answers.WORDS
)


class Usage(NamedTuple):
    """Tokens that a response reports."""

    prompt_tokens: int
    completion_tokens: int

    def encoded(self) -> bytes:
        """Return the usage object as JSON."""
        return msgspec.json.encode(
            {
                'prompt_tokens': self.prompt_tokens,
                'completion_tokens': self.completion_tokens,
                'total_tokens': sum(self),
            }
        )


class Answer(NamedTuple):
    """What one response contains.

    Parameters
    ----------
    id : str
        ``chatcmpl-<attempt id>``.
    model : str
    created_s : int
    words : bytes
        Indices into the vocabulary, one per token.
    finish_reason : str
    usage : Usage
    include_usage : bool
        Whether a stream ends with a usage frame.
    """

    id: str
    model: str
    created_s: int
    words: bytes
    finish_reason: str
    usage: Usage
    include_usage: bool


def _head(answer: Answer, form: str, choices: bytes) -> bytes:
    return b'data: {"id":%b,"object":"%b","created":%d,"model":%b,%b' % (
        msgspec.json.encode(answer.id),
        form.encode(),
        answer.created_s,
        msgspec.json.encode(answer.model),
        choices,
    )


def _chat_head(answer: Answer, choices: bytes) -> bytes:
    return _head(answer, 'chat.completion.chunk', choices)


def _word_frames(answer: Answer) -> Iterator[bytes]:
    head = _chat_head(answer, b'"choices":[{"index":0,"delta":{"content":')
    return (head + _CHAT_WORDS[word] for word in answer.words)


def _text_frames(answer: Answer) -> Iterator[bytes]:
    head = _head(answer, 'text_completion', b'"choices":[{"index":0,"text":')
    return (head + _TEXT_WORDS[word] for word in answer.words)


def _role_frame(answer: Answer) -> bytes:
    return _chat_head(
        answer,
        b'"choices":[{"index":0,"delta":{"role":"assistant","content":""},'
        b'"logprobs":null,"finish_reason":null}]}\n\n',
    )


def _finish_frame(answer: Answer) -> bytes:
    return _chat_head(
        answer,
        b'"choices":[{"index":0,"delta":{},"logprobs":null,'
        b'"finish_reason":"%b"}]}\n\n' % answer.finish_reason.encode(),
    )


def _usage_frame(answer: Answer) -> bytes:
    return _chat_head(
        answer, b'"choices":[],"usage":%b}\n\n' % answer.usage.encoded()
    )


def _duplicates(frames: Iterable[bytes]) -> Iterator[bytes]:
    for number, frame in enumerate(frames):
        yield frame * 2 if number % 5 == 2 else frame


def _swapped_pairs(frames: Iterable[bytes]) -> Iterator[bytes]:
    pairs = iter(frames)
    for first in pairs:
        second = next(pairs, None)
        if second is not None:
            yield second
        yield first


def frames(answer: Answer, patch: str | None = None) -> Iterator[bytes]:
    """Yield what each step of a stream sends: one token, then the end.

    Parameters
    ----------
    answer : Answer
    patch : str, optional
        Name of the patch in force.
    """
    words = _word_frames(answer)
    late = b''
    if patch == 'other_frame_form':
        words = _text_frames(answer)
    elif patch == 'truncate_clean':
        words = itertools.islice(words, len(answer.words) // 2)
    elif patch == 'other_id':
        half = len(answer.words) // 2
        other = answer._replace(id='chatcmpl-0', words=answer.words[half:])
        words = itertools.chain(
            itertools.islice(words, half), _word_frames(other)
        )
    elif patch == 'duplicate_frames':
        words = _duplicates(words)
    elif patch == 'reorder':
        words = _swapped_pairs(words)
    elif patch == 'late_frames':
        late = next(words, b'')
    elif patch == 'wrong_usage':
        prompt_tokens, completion_tokens = answer.usage
        answer = answer._replace(
            usage=Usage(prompt_tokens * 10, completion_tokens * 10 + 10)
        )
    yield _role_frame(answer) + next(words, b'')
    yield from words
    if patch != 'truncate_clean':
        tail = _finish_frame(answer) + late
        if answer.include_usage and patch != 'no_usage':
            tail += _usage_frame(answer)
        yield tail + DONE


def whole(answer: Answer, patch: str | None = None) -> bytes:
    """Return the body of a response that is not streamed."""
    text = ''.join(_answers.WORDS[word] for word in answer.words)
    body = {
        'id': answer.id,
        'object': 'chat.completion',
        'created': answer.created_s,
        'model': answer.model,
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': text},
                'logprobs': None,
                'finish_reason': answer.finish_reason,
            }
        ],
        'usage': msgspec.Raw(answer.usage.encoded()),
    }
    choice = body['choices'][0]
    if patch == 'other_frame_form':
        choice['text'] = choice.pop('message')['content']
    elif patch == 'no_usage':
        del body['usage']
    elif patch == 'wrong_usage':
        wrong = Usage(*(10 * tokens + 10 for tokens in answer.usage))
        body['usage'] = msgspec.Raw(wrong.encoded())
    elif patch == 'truncate_clean':
        choice['message']['content'] = text[: len(text) // 2]
        choice['finish_reason'] = None
    elif patch == 'other_id':
        body['id'] = 'chatcmpl-0'
    return msgspec.json.encode(body)
