"""Chat completions: validates a request, then runs it or replays it."""

from __future__ import annotations

from aiohttp import web

from ...core import ChatBound
from ...core import ChatRequest
from ...core import Model
from ...core import ResultCode
from ...core import chat_bound
from ...core import parse_chat_request
from ...core import prompt_bound_tokens
from ...settings import LimitsSection
from ..requests import CallerRequest
from ..requests import DirectResponse
from ..requests import KeyedCalls
from ..requests import RecordedResponses
from ..requests import ResponseSink
from ..requests import not_run
from ._chat_run import ChatRun
from ._chat_run import ChatRunner


class ChatService:
    """Handler of ``POST /v1/chat/completions``.

    Parameters
    ----------
    limits : LimitsSection
    runner : ChatRunner
    keyed : KeyedCalls
        Runs requests that have an ``Idempotency-Key``.
    recorded_responses : RecordedResponses
        Replays requests that any router has already billed.
    """

    def __init__(
        self,
        limits: LimitsSection,
        runner: ChatRunner,
        keyed: KeyedCalls,
        recorded_responses: RecordedResponses,
    ) -> None:
        self.limits = limits
        self.runner = runner
        self.keyed = keyed
        self.recorded_responses = recorded_responses

    async def serve(self, call: CallerRequest) -> web.StreamResponse:
        """Serve a chat request.

        Parameters
        ----------
        call : CallerRequest

        Returns
        -------
        aiohttp.web.StreamResponse
            The response, already sent to the caller.

        Raises
        ------
        RefusalError
            The request is invalid, was refused or failed before any part of
            the response was sent.
        """
        chat = parse_chat_request(call.body)
        model = _model(call, chat)
        bound = self._bound(chat, model)

        async def run(sink: ResponseSink) -> bool:
            if call.keyed and await self.recorded_responses.replay(call, sink):
                return True
            return await self.runner.run(
                ChatRun(call, chat, model, bound, sink)
            )

        if call.keyed:
            return await self.keyed.serve(call, run)
        sink = DirectResponse(call.request)
        await run(sink)
        return sink.response

    def _bound(self, chat: ChatRequest, model: Model) -> ChatBound:
        prompt_tokens = prompt_bound_tokens(
            chat.messages,
            margin_tokens_per_message=self.limits.margin_tokens_per_message,
            image_tokens=model.image_tokens,
            other_prompt_parts=chat.other_prompt_parts,
        )
        return chat_bound(
            prompt_tokens=prompt_tokens,
            requested_output_tokens=chat.requested_output_tokens,
            max_output_tokens=model.max_output_tokens,
            prompt_price_tokens=model.prompt_price_tokens,
            output_price_tokens=model.output_price_tokens,
        )


def _model(call: CallerRequest, chat: ChatRequest) -> Model:
    name = chat.fields.model
    model = call.index.model(name)
    if model is None:
        raise not_run(ResultCode.UNKNOWN_MODEL, f'no model {name[:64]!r}', 404)
    if name not in call.index.reachable_models(call.organisation):
        raise not_run(
            ResultCode.MODEL_NOT_REACHABLE,
            f'the organisation may not use model {name!r}',
            403,
        )
    return model
