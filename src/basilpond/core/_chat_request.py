"""Validated chat completions request."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from ._codes import Outcome
from ._codes import RefusalError
from ._codes import ResultCode
from ._validation import InvalidFieldError
from ._validation import convert_fields

HTTP_BAD_REQUEST = 400
# Fields besides the messages that chat templates render into the prompt.
PROMPT_FIELDS = ('tools', 'functions', 'response_format')


class ImageUrl(msgspec.Struct, frozen=True):
    """Address of an image, or its content as a data URL."""

    url: str


class ContentPart(msgspec.Struct, frozen=True):
    """Part of a message: text or an image."""

    type: Literal['text', 'image_url']
    text: str = ''
    image_url: ImageUrl | None = None


class Message(msgspec.Struct, frozen=True):
    """Message of a conversation."""

    role: Literal['system', 'developer', 'user', 'assistant', 'tool']
    content: str | list[ContentPart] | None = None


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed response."""

    include_usage: bool = False


class ChatFields(msgspec.Struct, frozen=True):
    """Fields that are checked; all others are forwarded unchanged."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
    messages: Annotated[
        list[Message], msgspec.Meta(min_length=1, max_length=10_000)
    ]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_completion_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    # More than one choice would multiply the cost beyond the tokens held.
    n: Literal[1] | None = None
    best_of: Literal[1] | None = None
    temperature: Annotated[float, msgspec.Meta(ge=0, le=2)] | None = None
    top_p: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None
    tools: list[Any] | None = None


class ChatRequest:
    """Chat request with its checked fields and its original body.

    Parameters
    ----------
    fields : ChatFields
    raw : dict
        Decoded body of the caller.
    """

    __slots__ = ('fields', '_raw')

    def __init__(self, fields: ChatFields, raw: dict) -> None:
        self.fields = fields
        self._raw = raw

    @property
    def stream(self) -> bool:
        """Whether the caller wants server-sent events."""
        return bool(self.fields.stream)

    @property
    def include_usage(self) -> bool:
        """Whether the caller wants a usage frame in the stream."""
        options = self.fields.stream_options
        return options is not None and options.include_usage

    @property
    def messages(self) -> list:
        """Messages as the caller sent them."""
        return self._raw['messages']

    @property
    def other_prompt_parts(self) -> list:
        """Values of `PROMPT_FIELDS` in the body, None where missing."""
        return [self._raw.get(name) for name in PROMPT_FIELDS]

    @property
    def requested_output_tokens(self) -> int | None:
        """Output limit that the caller set, None without one."""
        return self.fields.max_completion_tokens or self.fields.max_tokens

    def upstream_body(self, output_limit_tokens: int) -> bytes:
        """Return the body for an endpoint.

        It has the given output limit, and requests the usage of a stream.
        """
        body = dict(self._raw)
        body.pop('max_completion_tokens', None)
        body['max_tokens'] = output_limit_tokens
        if self.stream:
            options = dict(body.get('stream_options') or {})
            options['include_usage'] = True
            body['stream_options'] = options
        return msgspec.json.encode(body)


def parse_chat_request(body: bytes) -> ChatRequest:
    """Parse and check the body of a caller's request.

    Parameters
    ----------
    body : bytes
        JSON document.

    Returns
    -------
    ChatRequest

    Raises
    ------
    RefusalError
        The code is `MALFORMED_BODY` or `INVALID_FIELD`, the outcome
        `NOT_RUN`.
    """
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RefusalError(
            ResultCode.MALFORMED_BODY,
            f'the body is not JSON: {error}',
            outcome=Outcome.NOT_RUN,
            http_status=HTTP_BAD_REQUEST,
        ) from None
    try:
        fields = convert_fields(raw, ChatFields, ResultCode.INVALID_FIELD)
    except InvalidFieldError as error:
        raise RefusalError(
            ResultCode.INVALID_FIELD,
            error.message,
            outcome=Outcome.NOT_RUN,
            http_status=HTTP_BAD_REQUEST,
        ) from None
    return ChatRequest(fields, raw)
