"""Check of a response in one JSON document."""

from __future__ import annotations

from typing import Any

import msgspec

from ._answer_parts import FINISH_REASONS
from ._answer_parts import InvalidAnswerError
from ._answer_parts import Usage
from ._answer_parts import decode_json
from ._answer_parts import judge_usage
from ._answer_parts import text_bytes
from ._codes import ResultCode


class WholeSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a check of a response that is not streamed."""

    complete: bool
    problem: ResultCode | None
    content_bytes: int = 0
    usage: Usage | None = None
    usage_problem: str = 'missing'
    finish_reasons: tuple[str, ...] = ()


class _WholeChoice(msgspec.Struct):
    index: int
    message: dict[str, Any]
    finish_reason: str


class _Whole(msgspec.Struct):
    id: str
    model: str
    choices: list[_WholeChoice]
    usage: Usage | None = None


class WholeCheck:
    """Check of a response in one JSON document.

    Parameters
    ----------
    attempt_id : str or None
        Must be part of the id; None when the endpoint does not echo it.
    model : str
    max_output_tokens : int
    prompt_bound_tokens : int, optional
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

    def check(self, body: bytes) -> WholeSummary:
        """Check a complete body.

        Parameters
        ----------
        body : bytes

        Returns
        -------
        WholeSummary
        """
        try:
            whole = self._parse(body)
        except InvalidAnswerError as error:
            return WholeSummary(complete=False, problem=error.code)
        size = sum(text_bytes(choice.message) for choice in whole.choices)
        usage_problem = judge_usage(
            whole.usage,
            frames=0,
            content_bytes=size,
            max_output_tokens=self._max_output_tokens,
            prompt_bound_tokens=self._prompt_bound_tokens,
        )
        return WholeSummary(
            complete=True,
            problem=None,
            content_bytes=size,
            usage=None if usage_problem else whole.usage,
            usage_problem=usage_problem,
            finish_reasons=tuple(c.finish_reason for c in whole.choices),
        )

    def _parse(self, body: bytes) -> _Whole:
        try:
            fields = decode_json(body)
            if isinstance(fields, dict) and fields.get('error') is not None:
                raise InvalidAnswerError(ResultCode.ENDPOINT_FAILED)
            whole = msgspec.convert(fields, _Whole)
        except (
            msgspec.DecodeError,
            msgspec.ValidationError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            raise InvalidAnswerError from error
        echoed = self._attempt_id is None or self._attempt_id in whole.id
        valid = (
            echoed
            and whole.model == self._model
            and len(whole.choices) == 1
            and whole.choices[0].index == 0
            and whole.choices[0].finish_reason in FINISH_REASONS
        )
        if not valid:
            raise InvalidAnswerError
        return whole
