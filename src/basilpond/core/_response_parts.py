"""Common parts of the checks of streamed and full responses."""

from __future__ import annotations

from typing import Any

import msgspec

from ._codes import ResultCode

# A plausible completion has at most one token per content byte plus this many
# tokens without content bytes (end of sequence, partial characters).
USAGE_SLACK_TOKENS = 8

FINISH_REASONS = frozenset(
    ('stop', 'length', 'tool_calls', 'function_call', 'content_filter')
)
decode_json = msgspec.json.Decoder().decode


class Usage(msgspec.Struct, frozen=True):
    """Token counts reported by the endpoint."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int | None = None


class InvalidResponseError(Exception):
    """A response failed a check; `code` says of which kind."""

    def __init__(self, code: ResultCode = ResultCode.ANSWER_INVALID) -> None:
        super().__init__(code)
        self.code = code


def text_bytes(value: Any) -> int:
    """Count the UTF-8 bytes of all strings but the role in a message.

    Without recursion, as the decoder accepts values that are nested deeper
    than Python's calls may be.
    """
    size = 0
    values = [value]
    while values:
        value = values.pop()
        if isinstance(value, str):
            size += len(value.encode())
        elif isinstance(value, dict):
            values += [v for k, v in value.items() if k != 'role']
        elif isinstance(value, list):
            values += value
    return size


def check_usage(
    usage: Usage | None,
    *,
    frames: int,
    content_bytes: int,
    max_output_tokens: int,
    prompt_bound_tokens: int | None,
) -> str:
    """Compare the reported usage with the output and the limits.

    Parameters
    ----------
    usage : Usage or None
    frames : int
        Frames with content, at least one token each; 0 if not streamed.
    content_bytes : int
        Size of the output.
    max_output_tokens : int
    prompt_bound_tokens : int or None
        Largest plausible prompt size.

    Returns
    -------
    str
        ``''`` if plausible, ``'missing'`` or ``'implausible'``.
    """
    if usage is None:
        return 'missing'
    prompt, completion = usage.prompt_tokens, usage.completion_tokens
    plausible = (
        prompt >= 0
        and (prompt_bound_tokens is None or prompt <= prompt_bound_tokens)
        and frames <= completion <= content_bytes + USAGE_SLACK_TOKENS
        and completion <= max_output_tokens
        and usage.total_tokens in (None, prompt + completion)
    )
    return '' if plausible else 'implausible'
