"""Check of a chat completions response that is not streamed."""

from __future__ import annotations

from typing import Any

import msgspec

from ._codes import ResultCode
from ._response_parts import FINISH_REASONS
from ._response_parts import InvalidResponseError
from ._response_parts import Usage
from ._response_parts import check_usage
from ._response_parts import decode_json
from ._response_parts import text_bytes


class FullResponseSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Result of the check of a response that is not streamed.

    `usage` is None unless plausible, and `usage_problem` is ``''``,
    ``'missing'`` or ``'implausible'``.
    """

    complete: bool
    problem: ResultCode | None
    content_bytes: int = 0
    usage: Usage | None = None
    usage_problem: str = 'missing'
    finish_reasons: tuple[str, ...] = ()


class _FullResponseChoice(msgspec.Struct):
    index: int
    message: dict[str, Any]
    finish_reason: str


class _FullResponse(msgspec.Struct):
    id: str
    model: str
    choices: list[_FullResponseChoice]
    usage: Usage | None = None


class FullResponseCheck:
    """Check of a response in one JSON document.

    Parameters
    ----------
    attempt_id : str or None
        Must be part of the response's id; None when the endpoint does not
        echo it.
    model : str
        Must be the response's model.
    max_output_tokens : int
        Largest plausible output size.
    prompt_bound_tokens : int, optional
        Largest plausible prompt size.
    """

    __slots__ = (
        '_attempt_id',
        '_max_output_tokens',
        '_model',
        '_prompt_bound_tokens',
    )

    def __init__(
        self,
        *,
        attempt_id: str | None,
        model: str,
        max_output_tokens: int,
        prompt_bound_tokens: int | None = None,
    ) -> None:
        self._attempt_id = attempt_id
        self._model = model
        self._max_output_tokens = max_output_tokens
        self._prompt_bound_tokens = prompt_bound_tokens

    def check(self, body: bytes) -> FullResponseSummary:
        """Check a complete body.

        Parameters
        ----------
        body : bytes
            JSON document.

        Returns
        -------
        FullResponseSummary
        """
        try:
            response = self._parse(body)
        except InvalidResponseError as error:
            return FullResponseSummary(complete=False, problem=error.code)
        size = sum(text_bytes(choice.message) for choice in response.choices)
        usage_problem = check_usage(
            response.usage,
            frames=0,
            content_bytes=size,
            max_output_tokens=self._max_output_tokens,
            prompt_bound_tokens=self._prompt_bound_tokens,
        )
        return FullResponseSummary(
            complete=True,
            problem=None,
            content_bytes=size,
            usage=None if usage_problem else response.usage,
            usage_problem=usage_problem,
            finish_reasons=tuple(c.finish_reason for c in response.choices),
        )

    def _parse(self, body: bytes) -> _FullResponse:
        try:
            fields = decode_json(body)
            if isinstance(fields, dict) and fields.get('error') is not None:
                raise InvalidResponseError(ResultCode.ENDPOINT_FAILED)
            response = msgspec.convert(fields, _FullResponse)
        except (
            msgspec.DecodeError,
            msgspec.ValidationError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            raise InvalidResponseError from error
        echoed = self._attempt_id is None or self._attempt_id in response.id
        valid = (
            echoed
            and response.model == self._model
            and len(response.choices) == 1
            and response.choices[0].index == 0
            and response.choices[0].finish_reason in FINISH_REASONS
        )
        if not valid:
            raise InvalidResponseError
        return response
