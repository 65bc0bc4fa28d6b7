"""Answers of the stand-in engine, as a function of the request body."""

from __future__ import annotations

import random
import re
from typing import Any

import msgspec
import xxhash

DEFAULT_OUTPUT_LIMIT_TOKENS = 4096
PREFIX_BLOCK_BYTES = 256

_FIRST = 'ba ke di fo lu me ni po ra se ti vo wa xe ya zu'
_SECOND = 'n r l st rm nd ck sh mp lt ss ng rk ft x th'
# Each of the 256 words is one token; the leading space belongs to it.
WORDS = tuple(
    f' {first}{second}'
    for first in _FIRST.split()
    for second in _SECOND.split()
)

_WORD_INDICES = {word: index for index, word in enumerate(WORDS)}
MAX_VERSION = len(WORDS)

_asked_length = re.compile(r'\[(\d{1,5}) tokens\]')


class StreamOptions(msgspec.Struct):
    """Part of a chat completions request."""

    include_usage: bool = False


class ChatRequest(msgspec.Struct):
    """Chat completions request, as far as the engine reads it."""

    model: str
    messages: list[dict[str, Any]]
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    def output_limit_tokens(self) -> int:
        """Return the output limit; the newer field takes precedence."""
        for limit in (self.max_completion_tokens, self.max_tokens):
            if limit is not None:
                return limit
        return DEFAULT_OUTPUT_LIMIT_TOKENS


def decode_request(body: bytes) -> ChatRequest:
    """Decode a request body.

    Raises
    ------
    msgspec.MsgspecError
    """
    return msgspec.json.decode(body, type=ChatRequest)


def _content_text(content: Any) -> str:
    if isinstance(content, list):
        return ''.join(
            part.get('text') or part.get('image_url', {}).get('url', '')
            for part in content
        )
    return content or ''


def prompt_text(request: ChatRequest) -> str:
    """Return the roles and texts of all messages."""
    return ''.join(
        f'{message.get("role")}\n{_content_text(message.get("content"))}\n'
        for message in request.messages
    )


def content_digest(request: ChatRequest) -> str:
    """Return a digest of model and messages.

    A router may add fields such as `stream_options` without a change to it.
    """
    text = f'{request.model}\n{prompt_text(request)}'
    return xxhash.xxh3_128_hexdigest(text.encode())


def prompt_tokens(request: ChatRequest) -> int:
    """Return the prompt's length: four bytes a token, two per message."""
    text_bytes = len(prompt_text(request).encode())
    return text_bytes // 4 + 2 * len(request.messages)


def prefix_digests(request: ChatRequest) -> list[str]:
    """Return digests of the prompt's prefixes of whole 256-byte blocks."""
    prompt = prompt_text(request).encode()
    digest = xxhash.xxh3_64(request.model.encode())
    digests = []
    for end in range(PREFIX_BLOCK_BYTES, len(prompt) + 1, PREFIX_BLOCK_BYTES):
        digest.update(prompt[end - PREFIX_BLOCK_BYTES : end])
        digests.append(digest.hexdigest())
    return digests


def answer_words(
    request: ChatRequest, limit_tokens: int, version: int = 1
) -> tuple[bytes, bool]:
    """Return the answer as indices into `WORDS`.

    The length is 8 to 135 tokens, or what the last message asks for with
    ``[n tokens]``.

    Parameters
    ----------
    request : ChatRequest
    limit_tokens : int
    version : int
        Software version of the engine, 1 to `MAX_VERSION`. The answers of
        two versions have the same length and differ in every word.

    Returns
    -------
    words : bytes
        At most `limit_tokens` indices.
    cut : bool
        Whether the limit cut the answer short.
    """
    numbers = random.Random(content_digest(request))
    length = 8 + numbers.randrange(128)
    if request.messages:
        last = _content_text(request.messages[-1].get('content'))
        asked = _asked_length.search(last)
        if asked:
            length = int(asked[1])
    words = numbers.randbytes(length)
    if version > 1:
        words = bytes((word + version - 1) % len(WORDS) for word in words)
    return words[:limit_tokens], length > limit_tokens


def expected_answer(body: bytes, version: int = 1) -> str:
    """Return the text that a correct engine answers to a request body."""
    request = decode_request(body)
    words, _ = answer_words(request, request.output_limit_tokens(), version)
    return ''.join(WORDS[word] for word in words)


def versions_of_answer(body: bytes, text: str) -> set[int]:
    """Return the versions that wrote the words of an answer.

    Parameters
    ----------
    body : bytes
        Request body.
    text : str
        Whole answer, or its beginning.
    """
    request = decode_request(body)
    expected, _ = answer_words(request, request.output_limit_tokens())
    return {
        (_WORD_INDICES[f' {word}'] - right) % len(WORDS) + 1
        for word, right in zip(text.split(), expected, strict=False)
        if f' {word}' in _WORD_INDICES
    }


def expected_usage(body: bytes) -> tuple[int, int]:
    """Return the prompt and completion tokens of a whole answer."""
    request = decode_request(body)
    words, _ = answer_words(request, request.output_limit_tokens())
    return prompt_tokens(request), len(words)


def body_content_digest(body: bytes) -> str:
    """Return the content digest of a request body, as in run records."""
    return content_digest(decode_request(body))
