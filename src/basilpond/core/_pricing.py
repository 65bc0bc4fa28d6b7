"""Upper bound on the cost of a chat request, and cost of a response.

Costs are in whole budget tokens. Counts of prompt and output are in tokens of
the model, and prices in budget tokens per token of the model.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any

from ._codes import Outcome
from ._codes import RefusalError
from ._codes import ResultCode

# A tokenizer may add a few tokens around the text, so a correct usage report
# can exceed the number of bytes of short content.
COMPLETION_SLACK_TOKENS = 8

# Largest budget that a manifest allows; no budget can cover a larger bound.
MAX_COST_TOKENS = 10**15

IMAGE_SCHEMES = ('data:', 'http://', 'https://')


@dataclasses.dataclass(slots=True, frozen=True)
class ChatBound:
    """Upper bound on the tokens and the cost of one chat request.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Bounds in tokens of the model.
    cost_tokens : int
        Amount to hold, in budget tokens.
    """

    prompt_tokens: int
    output_tokens: int
    cost_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """Usage as reported by an endpoint; the values are not checked."""

    prompt_tokens: int
    completion_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseCost:
    """Cost of a response in budget tokens, and the counts that it is based on.

    `from_usage` is False when the counts are the router's instead of the
    endpoint's.
    """

    prompt_tokens: int
    output_tokens: int
    cost_tokens: int
    from_usage: bool


def _invalid_field(message: str) -> RefusalError:
    return RefusalError(
        ResultCode.INVALID_FIELD,
        message,
        outcome=Outcome.NOT_RUN,
        http_status=400,
    )


def text_bytes(value: Any) -> int:
    """Return the number of UTF-8 bytes of all keys and values in parsed JSON.

    Raises
    ------
    RefusalError
        `INVALID_FIELD` if a string has no UTF-8 form (a lone surrogate).
    """
    total = 0
    pending = [value]
    while pending:
        part = pending.pop()
        if isinstance(part, str):
            try:
                total += len(part.encode())
            except UnicodeEncodeError:
                raise _invalid_field(
                    'text contains a lone surrogate'
                ) from None
        elif isinstance(part, Mapping):
            pending.extend(part)
            pending.extend(part.values())
        elif isinstance(part, Sequence):
            pending.extend(part)
        elif part is not None:
            # Number or boolean: the length of its text bounds its tokens.
            total += len(str(part))
    return total


def prompt_bound_tokens(
    messages: Sequence[Any],
    *,
    margin_tokens_per_message: int,
    image_tokens: int,
    other_prompt_parts: Any = None,
) -> int:
    """Return an upper bound on the tokens of a prompt.

    A byte-level tokenizer emits at most one token per UTF-8 byte; the margin
    covers the tokens that the chat template adds to each message. The size of
    an image that an endpoint fetches is not known here, so every image counts
    as `image_tokens`.

    Parameters
    ----------
    messages : sequence
        Parsed JSON; strings of all fields count, such as ``name`` and
        ``tool_calls``.
    margin_tokens_per_message : int
    image_tokens : int
        Maximum number of prompt tokens of one image.
    other_prompt_parts : Any, optional
        Parsed JSON that a template also adds to the prompt, such as ``tools``.

    Raises
    ------
    RefusalError
        `INVALID_FIELD` if a message is malformed.
    """
    images = sum(_count_images(message) for message in messages)
    return (
        text_bytes([_without_images(message) for message in messages])
        + text_bytes(other_prompt_parts)
        + images * image_tokens
        + margin_tokens_per_message * max(1, len(messages))
    )


def _is_image(part: Any) -> bool:
    return isinstance(part, Mapping) and part.get('image_url') is not None


def _without_images(message: Mapping) -> Mapping:
    content = message.get('content')
    if not isinstance(content, list):
        return message
    return {
        **message,
        'content': [part for part in content if not _is_image(part)],
    }


def _count_images(message: Any) -> int:
    """Check the content of a message and return the number of its images.

    Raises
    ------
    RefusalError
        `INVALID_FIELD` if the message or its content is malformed.
    """
    if not isinstance(message, Mapping):
        raise _invalid_field('messages must contain objects')
    content = message.get('content')
    if content is None or isinstance(content, str):
        return 0
    if not isinstance(content, list):
        raise _invalid_field('content must be a string or a list of parts')
    images = 0
    for part in content:
        if not isinstance(part, Mapping):
            raise _invalid_field('content parts must be objects')
        if not _is_image(part):
            continue
        image = part['image_url']
        url = image.get('url') if isinstance(image, Mapping) else image
        if not isinstance(url, str) or not url.startswith(IMAGE_SCHEMES):
            raise _invalid_field('image_url must be a data, http or https URL')
        images += 1
    return images


def chat_bound(
    *,
    prompt_tokens: int,
    requested_output_tokens: int | None,
    max_output_tokens: int,
    prompt_price_tokens: int,
    output_price_tokens: int,
) -> ChatBound:
    """Return the amount to hold for a chat request.

    Parameters
    ----------
    prompt_tokens : int
        Result of `prompt_bound_tokens`.
    requested_output_tokens : int or None
        Output limit of the request; None means the limit of the model.
    max_output_tokens : int
        Output limit of the model.
    prompt_price_tokens, output_price_tokens : int
        Budget tokens per prompt token and output token.

    Raises
    ------
    RefusalError
        `INVALID_FIELD` if the output limit or the cost is out of range.
    """
    output_tokens = (
        max_output_tokens
        if requested_output_tokens is None
        else requested_output_tokens
    )
    if isinstance(output_tokens, bool) or not isinstance(output_tokens, int):
        raise _invalid_field('max_tokens must be an integer')
    if not 1 <= output_tokens <= max_output_tokens:
        raise _invalid_field(
            f'max_tokens={output_tokens}; allowed 1 to {max_output_tokens}'
        )
    cost_tokens = (
        prompt_tokens * prompt_price_tokens
        + output_tokens * output_price_tokens
    )
    if not 0 <= cost_tokens <= MAX_COST_TOKENS:
        raise _invalid_field(
            f'cost bound is {cost_tokens} budget tokens; '
            f'allowed 0 to {MAX_COST_TOKENS}'
        )
    return ChatBound(prompt_tokens, output_tokens, cost_tokens)


def response_cost(
    bound: ChatBound,
    *,
    usage: Usage | None,
    content_frames: int,
    content_bytes: int,
    prompt_price_tokens: int,
    output_price_tokens: int,
) -> ResponseCost:
    """Return the cost of a response, at most the held amount.

    The usage reported by the endpoint is used if it is plausible: content
    frames <= completion tokens <= content bytes + `COMPLETION_SLACK_TOKENS`,
    and prompt tokens <= bound. Otherwise the cost is that of one token per
    content frame and of the upper bound on the prompt tokens.

    Parameters
    ----------
    bound : ChatBound
    usage : Usage or None
        None if the endpoint reported no usage, for example because the stream
        was cancelled.
    content_frames, content_bytes : int
        Number of relayed frames with content, and of the UTF-8 bytes of that
        content.
    prompt_price_tokens, output_price_tokens : int
        Budget tokens per prompt token and output token.
    """
    from_usage = usage is not None and is_plausible(
        usage,
        bound,
        content_frames=content_frames,
        content_bytes=content_bytes,
    )
    if from_usage:
        prompt_tokens = usage.prompt_tokens
        output_tokens = usage.completion_tokens
    else:
        prompt_tokens = bound.prompt_tokens
        output_tokens = content_frames
    cost_tokens = (
        prompt_tokens * prompt_price_tokens
        + output_tokens * output_price_tokens
    )
    return ResponseCost(
        prompt_tokens,
        output_tokens,
        min(cost_tokens, bound.cost_tokens),
        from_usage,
    )


def is_plausible(
    usage: Usage, bound: ChatBound, *, content_frames: int, content_bytes: int
) -> bool:
    """Return whether a reported usage is consistent with the relayed content.

    `response_cost` states the conditions.
    """
    return (
        content_frames
        <= usage.completion_tokens
        <= content_bytes + COMPLETION_SLACK_TOKENS
        and 0 <= usage.prompt_tokens <= bound.prompt_tokens
    )
