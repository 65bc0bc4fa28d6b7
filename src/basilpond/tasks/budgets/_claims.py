"""Claims on non-idempotent requests.

The first claim of a request id in the log wins, so that the request runs at
most once. An abandoned claim leaves the id to the next one.
"""

from __future__ import annotations

import asyncio
from typing import Any

from ...core import Claim
from ...core import ClaimAbandon
from ...core import Outcome
from ...core import RefusalError
from ...core import ResultCode
from ._budget_interfaces import ClaimResult
from ._budget_interfaces import ClaimState
from ._budget_interfaces import LedgerWriter
from ._budget_interfaces import Members


class Claims:
    """Claims of this router.

    Parameters
    ----------
    ledger_task : LedgerWriter
    members : Members
    incarnation : str
        Incarnation id of this router.
    """

    def __init__(
        self, ledger_task: LedgerWriter, members: Members, incarnation: str
    ) -> None:
        self._ledger_task = ledger_task
        self._members = members
        self._incarnation = incarnation
        # Keys with a claim or an abandonment on which the log has not decided
        # yet. A second claim by this router would look the same as the first.
        self._submitted: set[tuple[str, str]] = set()

    async def claim(
        self,
        organisation: str,
        request_id: str,
        body_digest: str,
        *,
        timeout_s: float,
    ) -> ClaimResult:
        """Claim the right to run a request.

        A claim that wins after the timeout or a cancellation is abandoned,
        because the request was not sent.

        Returns
        -------
        ClaimResult

        Raises
        ------
        RefusalError
            `CLAIM_LOG_UNAVAILABLE` if the log does not decide in time.
        """
        known = self._known_result(organisation, request_id, body_digest)
        if known is not None:
            return known
        key = (organisation, request_id)
        if key in self._submitted:
            return ClaimResult(ClaimState.IN_PROGRESS)
        if not (self._ledger_task.log_reachable and self._ledger_task.synced):
            raise _log_unavailable()
        self._submitted.add(key)
        future = self._ledger_task.submit(
            Claim(organisation, request_id, body_digest, self._incarnation)
        )
        future.add_done_callback(lambda _: self._submitted.discard(key))
        try:
            async with asyncio.timeout(timeout_s):
                decided = await asyncio.shield(future)
        except TimeoutError:
            self._abandon_when_won(organisation, request_id, future)
            raise _log_unavailable() from None
        except asyncio.CancelledError:
            self._abandon_when_won(organisation, request_id, future)
            raise
        if decided.won:
            return ClaimResult(ClaimState.WON)
        known = self._known_result(organisation, request_id, body_digest)
        # The winner may have abandoned its claim meanwhile.
        return known or ClaimResult(ClaimState.IN_PROGRESS)

    def abandon(self, organisation: str, request_id: str) -> None:
        """Abandon the claim of a request that this router never sent."""
        key = (organisation, request_id)
        self._submitted.add(key)
        future = self._ledger_task.submit(
            ClaimAbandon(organisation, request_id, self._incarnation)
        )
        future.add_done_callback(lambda _: self._submitted.discard(key))

    def _known_result(
        self, organisation: str, request_id: str, body_digest: str
    ) -> ClaimResult | None:
        """Return the result that the ledger shows; None without a claim.

        None also if the claim was abandoned and no bill is recorded: the
        request may then be claimed.
        """
        ledger = self._ledger_task.ledger
        claim = ledger.claim(organisation, request_id)
        bill = ledger.recorded_bill(organisation, request_id)
        if claim is not None and claim.state == 'abandoned':
            claim = None
        if claim is None and bill is None:
            return None
        digest = bill.body_digest if claim is None else claim.body_digest
        if digest != body_digest:
            return ClaimResult(ClaimState.OTHER_BODY)
        if bill is not None:
            return ClaimResult(ClaimState.BILLED, bill)
        if claim.holder != self._incarnation and self._members.is_lost(
            claim.holder
        ):
            return ClaimResult(ClaimState.UNKNOWN)
        return ClaimResult(ClaimState.IN_PROGRESS)

    def _abandon_when_won(
        self, organisation: str, request_id: str, future: asyncio.Future[Any]
    ) -> None:
        def abandon(done: asyncio.Future[Any]) -> None:
            if done.cancelled() or done.exception() is not None:
                return
            if done.result().won:
                self.abandon(organisation, request_id)

        future.add_done_callback(abandon)


def _log_unavailable() -> RefusalError:
    return RefusalError(
        ResultCode.CLAIM_LOG_UNAVAILABLE,
        'the log did not decide on the claim in time',
        outcome=Outcome.NOT_RUN,
        http_status=503,
        retry_after_s=5,
    )
