"""Replays responses of keyed requests that any router has already billed."""

from __future__ import annotations

import collections
import dataclasses
from typing import Protocol

from ...core import Bill
from ...core import Outcome
from ...core import RefusalError
from ...core import ResultCode
from ._caller_request import CallerRequest
from ._refusals import OUTCOME_HEADER
from ._refusals import REQUEST_ID_HEADER
from ._refusals import not_run
from ._request_log import RequestLog
from ._responses import ResponseHead
from ._responses import ResponseSink

MAX_RERUN_RECORDS = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class PeerResponse:
    """Response stored by another router.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
    body : bytes
    """

    status: int
    content_type: str
    body: bytes


class ResponseSource(Protocol):
    """Access to bills and to responses stored by other routers."""

    def recorded_bill(self, organisation: str, request_id: str) -> Bill | None:
        """Return the bill of a keyed request, or None if the log has none."""
        ...

    async def fetch_response(self, bill: Bill) -> PeerResponse | None:
        """Fetch the response from the router that billed the request.

        Parameters
        ----------
        bill : Bill

        Returns
        -------
        PeerResponse or None
            None if the response can't be fetched.
        """
        ...


class RecordedResponses:
    """Replays billed requests whose response this router does not store.

    Parameters
    ----------
    source : ResponseSource
    log : RequestLog
    rerun_limit : int
        Maximum number of times that a billed request runs again, without a
        second charge, after its stored response is lost.
    """

    def __init__(
        self, source: ResponseSource, log: RequestLog, rerun_limit: int
    ) -> None:
        self.source = source
        self.log = log
        self.rerun_limit = rerun_limit
        self._reruns: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )

    async def replay(self, call: CallerRequest, sink: ResponseSink) -> bool:
        """Write the recorded response to a request, if there is one.

        Parameters
        ----------
        call : CallerRequest
        sink : ResponseSink

        Returns
        -------
        bool
            Whether a response was written. Otherwise the request must run: it
            is new, or its response is lost and it may run again.

        Raises
        ------
        RefusalError
            The key was used with another body, or the request was run again
            too often.
        """
        bill = self.source.recorded_bill(call.organisation.id, call.request_id)
        if bill is None:
            return False
        if bill.body_digest != call.body_digest:
            raise not_run(
                ResultCode.KEY_REUSED_WITH_OTHER_BODY,
                'the Idempotency-Key was used with another body',
                422,
            )
        stored = await self.source.fetch_response(bill)
        if stored is None:
            self._count_rerun(call)
            self.log.record(call.request_id, 'rerun', 'stored answer is lost')
            return False
        self.log.record(call.request_id, 'replay', 'from the billing router')
        await sink.start(
            ResponseHead(
                stored.status,
                {
                    'Content-Type': stored.content_type,
                    REQUEST_ID_HEADER: call.request_id,
                    OUTCOME_HEADER: Outcome.COMPLETE.value,
                },
            )
        )
        await sink.write(stored.body)
        await sink.finish()
        return True

    def _count_rerun(self, call: CallerRequest) -> None:
        key = (call.organisation.id, call.request_id)
        count = self._reruns.pop(key, 0) + 1
        if count > self.rerun_limit:
            self._reruns[key] = count
            raise RefusalError(
                ResultCode.RERUN_LIMIT,
                'the request was billed and its answer is no longer stored',
                outcome=Outcome.COMPLETE,
                http_status=409,
            )
        self._reruns[key] = count
        if len(self._reruns) > MAX_RERUN_RECORDS:
            self._reruns.popitem(last=False)
