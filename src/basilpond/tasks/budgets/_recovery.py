"""Close of the allotments of lost routers."""

from __future__ import annotations

import asyncio

from absl import logging

from ...core import Close
from ...core import Journal
from ._budget_interfaces import AllotmentView
from ._budget_interfaces import BudgetSettings
from ._budget_interfaces import LedgerWriter
from ._budget_interfaces import Members

# Maximum number of copies in one `Close`. Further copies are appended before
# it as separate records, so that no record grows with the length of an outage.
MAX_CLOSE_ENTRIES = 200


class Recovery:
    """Closes allotments of lost holders, which returns the unspent tokens.

    An allotment is closed by its journal peer, with the copies that the log
    may lack; one without a journal peer by the live router with the lowest id.

    Correctness does not depend on clocks: the holder may be alive and only
    paused. Its later entries are then rejected by the sealed journal and the
    ledger.

    Parameters
    ----------
    ledger_task : LedgerWriter
    members : Members
    journal : Journal
    incarnation, router_id : str
        Of this router.
    settings : BudgetSettings
    """

    def __init__(
        self,
        ledger_task: LedgerWriter,
        members: Members,
        journal: Journal,
        *,
        incarnation: str,
        router_id: str,
        settings: BudgetSettings,
    ) -> None:
        self._ledger_task = ledger_task
        self._members = members
        self._journal = journal
        self._incarnation = incarnation
        self._router_id = router_id
        self._settings = settings
        self._lost_since_s: dict[str, float] = {}
        self._closing: dict[str, asyncio.Task[None]] = {}
        self._appended: set[str] = set()

    def tick(self) -> None:
        """Close the allotments of holders lost for `recovery_delay_s`."""
        now_s = asyncio.get_running_loop().time()
        lost = {
            holder
            for holder in self._holders()
            if holder != self._incarnation and self._members.is_lost(holder)
        }
        for holder in list(self._lost_since_s):
            if holder not in lost:
                del self._lost_since_s[holder]
        for holder in lost:
            since_s = self._lost_since_s.setdefault(holder, now_s)
            # During a log outage, no allotment can be closed, and sealing
            # would only stop a holder that is in fact alive.
            if (
                now_s - since_s >= self._settings.recovery_delay_s
                and self._ledger_task.log_reachable
                and self._ledger_task.synced
            ):
                self._close_allotments(holder)

    def stop(self) -> None:
        """Stop waiting for closes; submitted records are still appended."""
        for task in self._closing.values():
            task.cancel()

    def _holders(self) -> set[str]:
        holders = set(self._ledger_task.ledger.holders())
        holders.update(holder for _, holder, _ in self._journal.allotments())
        return holders

    def _close_allotments(self, holder: str) -> None:
        for view in self._ledger_task.ledger.allotments_of(holder):
            if not view.closed and self._may_close(view):
                self._start_close(view)
        for allotment, copies_of, seqs in self._journal.allotments():
            view = self._ledger_task.ledger.allotment(allotment)
            if (
                copies_of == holder
                and seqs
                and (view is None or not view.holder)
                and allotment not in self._appended
            ):
                self._append_copies(allotment)

    def _may_close(self, view: AllotmentView) -> bool:
        if view.journal_peer == self._incarnation:
            return True
        return view.journal_peer is None and all(
            self._router_id < member.router_id
            for member in self._members.live()
        )

    def _start_close(self, view: AllotmentView) -> None:
        if view.allotment in self._closing:
            return
        self._appended.discard(view.allotment)
        task = asyncio.ensure_future(self._close(view))
        self._closing[view.allotment] = task
        task.add_done_callback(
            lambda _: self._closing.pop(view.allotment, None)
        )

    def _append_copies(self, allotment: str) -> None:
        """Append copies of an allotment whose transfer is not in the log.

        The ledger keeps them as provisional until the transfer arrives. A
        later tick then closes the allotment.
        """
        self._appended.add(allotment)
        self._journal.seal(allotment)
        for entry in self._journal.entries(allotment):
            self._ledger_task.submit(entry)

    async def _close(self, view: AllotmentView) -> None:
        """Seal an allotment, append its copies and close it."""
        self._journal.seal(view.allotment)
        entries = self._journal.entries(view.allotment)
        while len(entries) > MAX_CLOSE_ENTRIES:
            part = entries[:MAX_CLOSE_ENTRIES]
            await asyncio.wait([self._ledger_task.submit(e) for e in part])
            entries = entries[MAX_CLOSE_ENTRIES:]
        logging.info(
            'closing allotment %s of lost router %s with %d copies',
            view.allotment,
            view.holder,
            len(entries),
        )
        close = self._ledger_task.submit(
            Close(
                view.allotment, view.organisation, self._incarnation, entries
            )
        )
        # Unlike a direct await, this does not cancel the record's future.
        await asyncio.wait([close])
