"""Serves other routers: journal copies, tokens, manifests, responses."""

from __future__ import annotations

from typing import Any

from .. import protocol
from ..core import BasilpondError
from ..core import ResultCode
from .budgets import BudgetTask
from .configuration import ConfigTask
from .requests import BufferedResponse
from .requests import KeyedCalls

# A larger stored response is not sent to a peer; the frame size is limited.
MAX_RESPONSE_BYTES = 900_000


class PeerRequests:
    """Handler of the frames that other routers send.

    Parameters
    ----------
    config_task : ConfigTask
    budget : BudgetTask
    keyed : KeyedCalls
    """

    def __init__(
        self, config_task: ConfigTask, budget: BudgetTask, keyed: KeyedCalls
    ) -> None:
        self.config_task = config_task
        self.budget = budget
        self.keyed = keyed

    async def handle(self, frame: Any) -> Any:
        """Return the reply to a frame.

        Raises
        ------
        BasilpondError
            The request can't be served; the peer gets the name of the error's
            class.
        """
        if frame.journal_append is not None:
            return protocol.Frame(
                journal_reply=self.budget.serve_journal_append(
                    frame.journal_append
                )
            )
        if frame.ask_allotment is not None:
            return protocol.Frame(
                ask_allotment_reply=await self.budget.serve_ask_allotment(
                    frame.ask_allotment
                )
            )
        if frame.fetch_manifest is not None:
            return protocol.Frame(
                fetch_manifest_reply=self._manifest(frame.fetch_manifest)
            )
        if frame.fetch_answer is not None:
            return protocol.Frame(
                fetch_answer_reply=self._stored_response(frame.fetch_answer)
            )
        raise BasilpondError(ResultCode.PEER_UNAVAILABLE, 'unknown request')

    def _manifest(self, request: Any) -> Any:
        version = self.config_task.version
        newer = version > request.newer_than_version
        return protocol.FetchManifestReply(
            version=version,
            document=self.config_task.document if newer else None,
        )

    def _stored_response(self, request: Any) -> Any:
        stored = self.keyed.find_finished(
            request.organisation, request.request_id
        )
        if stored is None or stored.size_bytes > MAX_RESPONSE_BYTES:
            return protocol.FetchAnswerReply(status=0)
        return _response_reply(stored)


def _response_reply(stored: BufferedResponse) -> Any:
    return protocol.FetchAnswerReply(
        status=stored.head.status,
        content_type=stored.head.headers['Content-Type'],
        body=stored.body(),
        body_digest=stored.body_digest,
    )
