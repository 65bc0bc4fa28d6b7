"""Budget task: holds, bills and claims of this router.

Owns the router's allotments, the journal (copies of entries that it keeps for
other routers), and the operations on them that wait for the log or a peer.
These are in `_refill`, `_commit`, `_recovery`, `_claims` and `_budget_copies`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import dataclasses
from typing import Any

from absl import logging

from ... import protocol
from ...core import Accounts
from ...core import AllotmentClosed
from ...core import BasilpondError
from ...core import Bill
from ...core import BillDraft
from ...core import EntryApplied
from ...core import Grant
from ...core import Hold
from ...core import Journal
from ...core import JournalFullError
from ...core import JournalMessageError
from ...core import Manifest
from ...core import RefusalError
from ...core import ResultCode
from ._budget_copies import BudgetCopies
from ._budget_interfaces import BudgetSettings
from ._budget_interfaces import ChargeResult
from ._budget_interfaces import ClaimResult
from ._budget_interfaces import LedgerWriter
from ._budget_interfaces import Members
from ._budget_interfaces import Peers
from ._claims import Claims
from ._commit import Committer
from ._commit import PendingEntry
from ._recovery import Recovery
from ._refill import Refill

# Time for which a bill whose allotment another router has closed may wait for
# tokens on another allotment.
REBILL_TIMEOUT_S = 60.0

# Interval at which `drain` checks for open holds and undecided entries.
DRAIN_POLL_INTERVAL_S = 0.02

# Interval at which copies are compared with the ledger, to drop those whose
# results were not published because the reader resumed from a snapshot.
RECONCILE_INTERVAL_S = 10.0


@dataclasses.dataclass(slots=True, eq=False)
class _Billing:
    """Bill of one request until its result is final.

    The entry that carries the bill may change: a bill on an allotment that
    was closed is submitted again on another one.
    """

    organisation: str
    draft: BillDraft
    outcome: asyncio.Future[ChargeResult]

    def resolve(self, charge_result: ChargeResult) -> None:
        """Set the result, unless there is one already."""
        if not self.outcome.done():
            self.outcome.set_result(charge_result)


class BudgetTask:
    """Holds, bills and claims of this router.

    Parameters
    ----------
    ledger_task : LedgerWriter
    members : Members
    peers : Peers
    incarnation : str
        Incarnation id of this router, ``<router_id>~<start time ms>``.
    settings : BudgetSettings
    """

    def __init__(
        self,
        ledger_task: LedgerWriter,
        members: Members,
        peers: Peers,
        *,
        incarnation: str,
        settings: BudgetSettings,
    ) -> None:
        self.incarnation = incarnation
        self.settings = settings
        self._ledger_task = ledger_task
        self._members = members
        router_id = incarnation.rpartition('~')[0]
        self._accounts = Accounts(incarnation)
        self._journal = Journal(incarnation, max_bytes=settings.journal_bytes)
        self._committer = Committer(
            ledger_task, members, peers, self._accounts, settings
        )
        self._refill = Refill(
            ledger_task,
            members,
            peers,
            self._accounts,
            self._committer,
            settings,
        )
        self._recovery = Recovery(
            ledger_task,
            members,
            self._journal,
            incarnation=incarnation,
            router_id=router_id,
            settings=settings,
        )
        self._claims = Claims(ledger_task, members, incarnation)
        self._budget_copies = BudgetCopies(
            ledger_task, members, router_id=router_id, settings=settings
        )
        self._background: set[asyncio.Task[None]] = set()
        self._last_reconciled_s = float('-inf')

    # Requests

    async def hold(
        self, organisation: str, tokens: int, *, timeout_s: float
    ) -> Hold:
        """Reserve the upper bound of a request's cost.

        Parameters
        ----------
        organisation : str
        tokens : int
        timeout_s : float
            Bound on the wait for a grant or a transfer.

        Returns
        -------
        Hold

        Raises
        ------
        RefusalError
            `BUDGET_EXHAUSTED`, `ALLOTMENT_UNAVAILABLE` or `DRAINING`, always
            with outcome `NOT_RUN`.
        """
        return await self._refill.hold(
            organisation, tokens, timeout_s=timeout_s
        )

    def release(self, hold: Hold) -> bool:
        """End the hold of a request that did not run.

        Returns False, without effect, if the hold has ended before.
        """
        released = self._accounts.release(hold)
        if released:
            self._refill.notify_waiters(hold.organisation)
        return released

    async def charge(
        self, hold: Hold, draft: BillDraft, *, timeout_s: float
    ) -> ChargeResult:
        """Bill a request that ran, and wait until the bill is committed.

        After the timeout or a cancellation the bill is still processed: the
        request ran, so it is billed even when its caller gets no response.

        Parameters
        ----------
        hold : Hold
            Ended by this call.
        draft : BillDraft
        timeout_s : float
            Bound on the wait.

        Returns
        -------
        ChargeResult
            Not committed after the timeout.

        Raises
        ------
        ValueError
            If the hold has ended or the bill exceeds it.
        """
        bill = self._accounts.charge(hold, draft, self._committer.is_usable)
        billing = _Billing(
            hold.organisation,
            draft,
            asyncio.get_running_loop().create_future(),
        )
        self._submit_bill(billing, bill)
        self._refill.notify_waiters(hold.organisation)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(billing.outcome)
        except TimeoutError:
            return ChargeResult(committed=False)

    async def claim(
        self,
        organisation: str,
        request_id: str,
        body_digest: str,
        *,
        timeout_s: float,
    ) -> ClaimResult:
        """Claim the right to run a non-idempotent request.

        Parameters
        ----------
        organisation, request_id : str
            Key of the claim.
        body_digest : str
            Digest of the request body; a key belongs to one body.
        timeout_s : float
            Bound on the wait for the log.

        Returns
        -------
        ClaimResult

        Raises
        ------
        RefusalError
            `CLAIM_LOG_UNAVAILABLE`, with outcome `NOT_RUN`.
        """
        return await self._claims.claim(
            organisation, request_id, body_digest, timeout_s=timeout_s
        )

    async def abandon_claim(self, organisation: str, request_id: str) -> None:
        """Abandon the claim of a request that was never sent.

        Does not wait for the log.
        """
        self._claims.abandon(organisation, request_id)

    def recorded_bill(self, organisation: str, request_id: str) -> Bill | None:
        """Return the accepted bill of a keyed request; None if unknown."""
        return self._ledger_task.ledger.recorded_bill(organisation, request_id)

    def holder_of(self, bill: Bill) -> str:
        """Return the incarnation id of the router that issued a bill."""
        view = self._ledger_task.ledger.allotment(bill.allotment)
        if view is not None:
            return view.holder
        # An ended allotment is named after the router that opened it.
        return bill.allotment.rpartition('/')[0]

    def free_tokens(self, organisation: str) -> int:
        """Return the tokens that this router can use for new holds."""
        return self._accounts.free_tokens(organisation)

    def set_budgets(self, manifest: Manifest, version: int) -> None:
        """Apply the budgets of a new manifest.

        Parameters
        ----------
        manifest : Manifest
        version : int
            Version of the manifest; budgets of an older one are ignored.
        """
        self._budget_copies.set_budgets(manifest, version)
        self._refill.set_baseline(
            [organisation.id for organisation in manifest.organisations]
        )

    # Peers

    def serve_journal_append(self, message: Any) -> Any:
        """Keep copies of another router's entries.

        Parameters
        ----------
        message : protocol.JournalAppend

        Returns
        -------
        protocol.JournalReply
            Names the allotments whose copies were rejected, because they are
            sealed, closed or created with another journal peer.

        Raises
        ------
        BasilpondError
            `PEER_UNAVAILABLE` if the copies were not kept.
        """
        try:
            sealed = self._journal.append(
                message.holder,
                message.entries,
                is_closed=self._is_closed_in_ledger,
            )
        except (JournalFullError, JournalMessageError) as error:
            raise BasilpondError(
                ResultCode.PEER_UNAVAILABLE, str(error)
            ) from error
        return protocol.JournalReply(sealed=sealed)

    async def serve_ask_allotment(self, message: Any) -> Any:
        """Release free tokens for another router.

        See `Refill.serve_allotment_request`.
        """
        return await self._refill.serve_allotment_request(message)

    # Life cycle

    async def run(self) -> None:
        """Run until cancelled."""
        subscription = self._ledger_task.results.subscribe(
            on_next=self._on_result
        )
        try:
            while True:
                self._tick()
                await asyncio.sleep(self.settings.tick_s)
        finally:
            subscription.dispose()
            self._refill.stop()
            self._committer.stop()
            self._recovery.stop()
            for task in list(self._background):
                task.cancel()

    async def drain(self, timeout_s: float) -> bool:
        """Refuse new holds, log all entries and close all allotments.

        Parameters
        ----------
        timeout_s : float

        Returns
        -------
        bool
            Whether all allotments are closed, and nothing of this router nor
            a copy for another one waits for the log any more.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        self._refill.refuse_waiters()
        for allotment in self._accounts.allotments():
            self._refill.retire(allotment.id)
        while not self._is_drained():
            if loop.time() >= deadline_s:
                return False
            self._close_finished()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        return await self._ledger_task.flush(
            max(0.0, deadline_s - loop.time())
        )

    def _is_drained(self) -> bool:
        return (
            not self._committer.unlogged
            and not self._journal.used_bytes
            and next(self._accounts.allotments(), None) is None
        )

    # Bills

    def _submit_bill(self, billing: _Billing, bill: Bill | None) -> None:
        if bill is None:
            self._spawn(self._bill_after_grant(billing))
            return
        pending = self._committer.submit(bill)
        pending.commit.add_done_callback(
            lambda commit: self._on_commit(billing, commit)
        )
        pending.log.add_done_callback(
            lambda _: self._on_decided(billing, pending)
        )

    async def _bill_after_grant(self, billing: _Billing) -> None:
        """Wait for tokens and bill a request that has run.

        Without tokens within `REBILL_TIMEOUT_S` the request stays unbilled.
        """
        draft = billing.draft
        try:
            hold = await self._refill.hold(
                billing.organisation, draft.tokens, timeout_s=REBILL_TIMEOUT_S
            )
        except RefusalError as error:
            logging.error(
                'request %s ran but could not be billed: %s',
                draft.request_id,
                error,
            )
            billing.resolve(ChargeResult(committed=False))
            return
        bill = self._accounts.charge(hold, draft, self._committer.is_usable)
        self._submit_bill(billing, bill)

    def _on_commit(
        self, billing: _Billing, commit: asyncio.Future[str]
    ) -> None:
        if not commit.cancelled() and commit.result() == 'journal':
            billing.resolve(ChargeResult(committed=True, via='journal'))

    def _on_decided(self, billing: _Billing, pending: PendingEntry) -> None:
        """Resolve or resubmit a bill on which the ledger has decided."""
        if pending.log.cancelled() or pending.log.exception() is not None:
            billing.resolve(ChargeResult(committed=False))
            return
        result = pending.log.result()
        if result.accepted:
            billing.resolve(ChargeResult(committed=True, via='log'))
        elif result.reason == 'duplicate_bill':
            billing.resolve(
                ChargeResult(committed=True, duplicate=True, via='log')
            )
        elif result.reason == 'closed':
            # Another router closed the allotment, and neither this entry nor
            # a copy of it was logged before the close, so the request is not
            # billed yet.
            self._accounts.close(pending.entry.allotment)
            self._submit_bill(
                billing,
                self._accounts.bill_without_hold(
                    billing.organisation,
                    billing.draft,
                    self._committer.is_usable,
                ),
            )
        else:
            self._resolve_undecidable(billing, pending.entry, result.reason)

    def _resolve_undecidable(
        self, billing: _Billing, entry: Bill, reason: str
    ) -> None:
        """Resolve a rejected bill by the recorded bill of its request.

        The reason of the rejection does not show whether the request has
        been billed. Without a recorded bill it counts as not billed.
        """
        recorded = None
        if entry.keyed:
            recorded = self.recorded_bill(entry.organisation, entry.request_id)
        if recorded is None:
            logging.error(
                'bill of request %s was not accepted: %s',
                entry.request_id,
                reason,
            )
            billing.resolve(ChargeResult(committed=False))
            return
        is_local = (recorded.allotment, recorded.seq) == (
            entry.allotment,
            entry.seq,
        )
        billing.resolve(
            ChargeResult(committed=True, duplicate=not is_local, via='log')
        )

    # Ledger results

    def _on_result(self, result: Any) -> None:
        if isinstance(result, EntryApplied):
            view = self._ledger_task.ledger.allotment(result.allotment)
            is_open_here = (
                view is not None
                and not view.closed
                and view.journal_peer == self.incarnation
            )
            self._journal.record_decided(
                result.allotment,
                result.seq,
                open_holder=view.holder if is_open_here else None,
            )
        elif isinstance(result, AllotmentClosed):
            self._accounts.close(result.allotment)
            view = self._ledger_task.ledger.allotment(result.allotment)
            if view is not None and view.journal_peer == self.incarnation:
                self._journal.record_closed(
                    result.allotment, by_holder=result.closer == view.holder
                )
        self._refill.notify_waiters()

    def _is_closed_in_ledger(self, allotment: str) -> bool:
        view = self._ledger_task.ledger.allotment(allotment)
        return view is not None and view.closed

    # Periodic checks

    def _tick(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._compare_with_ledger()
        if now_s - self._last_reconciled_s >= RECONCILE_INTERVAL_S:
            self._last_reconciled_s = now_s
            self._drop_skipped_copies()
        if self._ledger_task.log_reachable:
            self._retire_without_peer()
        self._close_finished()
        self._refill.tick()
        self._recovery.tick()
        self._budget_copies.tick()

    def _compare_with_ledger(self) -> None:
        """Add and close allotments as the ledger has them.

        A lost reply or a snapshot may have hidden a transfer to this router
        or the close of one of its allotments.
        """
        ledger = self._ledger_task.ledger
        for view in ledger.allotments_of(self.incarnation):
            allotment = self._accounts.get(view.allotment)
            if allotment is not None:
                allotment.in_ledger = True
            elif not self._accounts.is_known(view.allotment):
                # The reply with this transfer was lost. The allotment has no
                # entries yet, so all of its tokens are unspent.
                origin = Grant(
                    view.allotment,
                    view.organisation,
                    view.tokens,
                    0,
                    self.incarnation,
                    view.journal_peer,
                )
                self._accounts.add(view.allotment, view.tokens, origin)
                self._refill.notify_waiters(view.organisation)
        for allotment in self._accounts.allotments():
            view = ledger.allotment(allotment.id)
            # After a rejected transfer the ledger has the new allotment as a
            # closed one, though it was never open.
            if allotment.in_ledger if view is None else view.closed:
                self._accounts.close(allotment.id)

    def _drop_skipped_copies(self) -> None:
        """Drop copies on which the ledger has decided without a result.

        When the reader resumes from a snapshot, the results that it skips
        are not published.
        """
        ledger = self._ledger_task.ledger
        for allotment, _, seqs in self._journal.allotments():
            view = ledger.allotment(allotment)
            if view is not None and view.closed:
                self._journal.record_closed(allotment, by_holder=False)
                continue
            for seq in seqs:
                if ledger.entry_result(allotment, seq) is not None:
                    self._journal.record_decided(
                        allotment, seq, open_holder=None
                    )

    def _retire_without_peer(self) -> None:
        """Retire allotments that could not commit during a log outage.

        Their journal peer is lost, or they have none although one could be
        chosen now.
        """
        available = self._committer.choose_journal_peer(lambda _: 0)
        for allotment in self._accounts.allotments():
            peer = allotment.journal_peer
            if (
                available is not None
                if peer is None
                else self._members.is_lost(peer)
            ):
                self._refill.retire(allotment.id)

    def _close_finished(self) -> None:
        for record in self._accounts.close_finished():
            self._ledger_task.submit(record)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
