"""Commit of allotment entries by the log or, in an outage, a journal peer.

Every entry is sent to the log and, as a copy, to the journal peer of its
allotment at the same time. The log decides on the entry; a copy that the peer
has acknowledged commits it only if the log has not responded within
`log_timeout_ms`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any

from absl import logging

from ... import protocol
from ...core import Accounts
from ...core import Allotment
from ...core import AllotmentEntry
from ...core import BasilpondError
from ...core import Grant
from ...core import Return
from ...core import Transfer
from ...core import encode_record
from ._budget_interfaces import BudgetSettings
from ._budget_interfaces import LedgerWriter
from ._budget_interfaces import Members
from ._budget_interfaces import MemberView
from ._budget_interfaces import Peers

# Bounds on one JournalAppend; the limit of a frame is 1 MiB.
MAX_MESSAGE_ENTRIES = 512
MAX_MESSAGE_BYTES = 512 * 1024

# Intervals between attempts to reach a journal peer; doubled after each.
MIN_RETRY_INTERVAL_S = 0.05
MAX_RETRY_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True, eq=False)
class PendingEntry:
    """Entry on which the ledger of this router has not decided yet.

    Parameters
    ----------
    entry : AllotmentEntry
    origin : Grant or Transfer
        Record that created the entry's allotment.
    encoded : bytes
        Record of the entry as JSON.
    log : Future
        Result of the entry in the ledger of this router.
    commit : Future of str
        Done with 'log' or 'journal', whichever decides first. 'log' does not
        mean that the entry was accepted; see `log`.
    acknowledged : bool
        The journal peer keeps a copy.
    log_timed_out : bool
        The log has not responded within `log_timeout_ms`.
    """

    entry: AllotmentEntry
    origin: Grant | Transfer
    encoded: bytes
    log: asyncio.Future[Any]
    commit: asyncio.Future[str]
    acknowledged: bool = False
    log_timed_out: bool = False


class _JournalSender:
    """Delivers copies to one journal peer, one message at a time.

    `failing` is True from a failed delivery until one succeeds or no copy is
    left to deliver.
    """

    def __init__(self, peer: str, committer: Committer) -> None:
        self.peer = peer
        self.failing = False
        self._committer = committer
        self._queue: dict[PendingEntry, None] = {}
        self._task: asyncio.Task[None] | None = None

    def add(self, pending: PendingEntry) -> None:
        self._queue[pending] = None
        if self._task is None:
            self._task = asyncio.ensure_future(self._run())

    def discard(self, pending: PendingEntry) -> None:
        self._queue.pop(pending, None)

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        retry_interval_s = MIN_RETRY_INTERVAL_S
        try:
            while self._queue:
                if self._committer.members.is_lost(self.peer):
                    # A restarted peer has lost its copies; this router
                    # appends the entries to the log itself.
                    self._queue.clear()
                    return
                if await self._deliver():
                    self.failing = False
                    retry_interval_s = MIN_RETRY_INTERVAL_S
                else:
                    self.failing = True
                    await asyncio.sleep(retry_interval_s)
                    retry_interval_s = min(
                        2 * retry_interval_s, MAX_RETRY_INTERVAL_S
                    )
        finally:
            self._task = None
            self.failing = False

    async def _deliver(self) -> bool:
        """Send the oldest copies; False without an acknowledgement."""
        batch = []
        size = 0
        for pending in self._queue:
            size += len(pending.encoded)
            if batch and (
                len(batch) == MAX_MESSAGE_ENTRIES or size > MAX_MESSAGE_BYTES
            ):
                break
            batch.append(pending)
        reply = await self._committer.call_journal_peer(self.peer, batch)
        if reply is None:
            return False
        sealed = set(reply.sealed)
        for pending in batch:
            self.discard(pending)
            if pending.entry.allotment in sealed:
                self._committer.on_sealed(pending.entry.allotment)
            else:
                self._committer.on_acknowledged(pending)
        return True


class Committer:
    """Sends entries to the log and to journal peers.

    Parameters
    ----------
    ledger_task : LedgerWriter
    members : Members
    peers : Peers
    accounts : Accounts
    settings : BudgetSettings

    Attributes
    ----------
    unlogged_bytes : int
        Size of the entries on which the ledger has not decided yet.
    """

    def __init__(
        self,
        ledger_task: LedgerWriter,
        members: Members,
        peers: Peers,
        accounts: Accounts,
        settings: BudgetSettings,
    ) -> None:
        self.members = members
        self._ledger_task = ledger_task
        self._peers = peers
        self._accounts = accounts
        self._settings = settings
        self._senders: dict[str, _JournalSender] = {}
        self._pending: set[PendingEntry] = set()
        self.unlogged_bytes = 0

    @property
    def unlogged(self) -> int:
        """Number of entries on which the ledger has not decided yet."""
        return len(self._pending)

    def submit(self, entry: AllotmentEntry) -> PendingEntry:
        """Send an entry to the log and to its allotment's journal peer.

        Parameters
        ----------
        entry : AllotmentEntry
            Entry of an allotment of this router.

        Returns
        -------
        PendingEntry

        Raises
        ------
        ValueError
            If the allotment has ended.
        """
        loop = asyncio.get_running_loop()
        allotment = self._accounts.get(entry.allotment)
        if allotment is None:
            raise ValueError(f'allotment {entry.allotment} has ended')
        pending = PendingEntry(
            entry,
            allotment.origin,
            encode_record(entry),
            self._ledger_task.submit(entry),
            loop.create_future(),
        )
        self._pending.add(pending)
        self.unlogged_bytes += len(pending.encoded)
        pending.log.add_done_callback(lambda _: self._on_log_response(pending))
        # If a Return is lost with its holder, the Close of the allotment
        # returns the tokens as well, so only bills and transfers are copied.
        if allotment.journal_peer is not None and not isinstance(
            entry, Return
        ):
            loop.call_later(
                self._settings.log_timeout_ms / 1000,
                self._on_log_timeout,
                pending,
            )
            self._sender(allotment.journal_peer).add(pending)
        return pending

    def is_usable(self, allotment: Allotment) -> bool:
        """Return whether a bill on the allotment could be committed now.

        During a log outage, its journal peer must be available and the
        undecided entries below `BudgetSettings.unlogged_bytes`.
        """
        if self._ledger_task.log_reachable:
            return True
        peer = allotment.journal_peer
        return (
            peer is not None
            and self.unlogged_bytes < self._settings.unlogged_bytes
            and self.is_peer_available(peer)
        )

    def is_peer_available(self, incarnation_id: str) -> bool:
        """Return whether a journal peer is live and its calls succeed."""
        sender = self._senders.get(incarnation_id)
        return (
            not self.members.is_lost(incarnation_id)
            and self.find_member(incarnation_id) is not None
            and not (sender is not None and sender.failing)
        )

    def find_member(self, incarnation_id: str) -> MemberView | None:
        """Return the live member with this incarnation; None without one."""
        for member in self.members.live():
            if member.incarnation_id == incarnation_id:
                return member
        return None

    def choose_journal_peer(self, in_use: Callable[[str], int]) -> str | None:
        """Return the least used router of this data centre.

        Parameters
        ----------
        in_use : callable
            Returns the number of the organisation's allotments whose journal
            peer has the given incarnation id.

        Returns
        -------
        str or None
            Incarnation id. An unavailable router is returned only if none is
            available; None if this is the only router of the data centre.
        """
        candidates = [
            member.incarnation_id
            for member in self.members.live()
            if member.data_centre == self._settings.data_centre
        ]
        available = [
            peer for peer in candidates if self.is_peer_available(peer)
        ]
        return min(
            available or candidates,
            key=lambda peer: (in_use(peer), peer),
            default=None,
        )

    async def call_journal_peer(
        self, peer: str, batch: list[PendingEntry]
    ) -> Any:
        """Send copies to a journal peer.

        Each allotment's entries follow the record that created it, because
        the ledger of the peer may not have it yet.

        Returns
        -------
        protocol.JournalReply or None
            None if the peer did not acknowledge the copies.
        """
        member = self.find_member(peer)
        if member is None:
            return None
        records = []
        introduced = set()
        for pending in batch:
            if pending.entry.allotment not in introduced:
                introduced.add(pending.entry.allotment)
                records.append(encode_record(pending.origin))
            records.append(pending.encoded)
        frame = protocol.Frame(
            call_id=0,
            is_reply=False,
            journal_append=protocol.JournalAppend(
                holder=self._accounts.holder, entries=records
            ),
        )
        try:
            reply = await self._peers.call(
                member, frame, timeout_s=self._settings.peer_timeout_s
            )
        except BasilpondError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                'journal peer %s did not acknowledge copies: %s',
                10,
                peer,
                error,
            )
            return None
        return reply.journal_reply

    def on_sealed(self, allotment: str) -> None:
        """Stop using an allotment that its journal peer has sealed.

        Its entries stay undecided until the ledger of this router has applied
        the close: a copy or an append of them may have arrived before it.
        """
        logging.warning('journal peer sealed allotment %s', allotment)
        self._accounts.seal(allotment)

    def on_acknowledged(self, pending: PendingEntry) -> None:
        """Record that the journal peer keeps a copy of an entry."""
        pending.acknowledged = True
        self._commit_by_journal(pending)

    def stop(self) -> None:
        """Stop delivering copies."""
        for sender in self._senders.values():
            sender.stop()

    def _sender(self, peer: str) -> _JournalSender:
        sender = self._senders.get(peer)
        if sender is None:
            sender = self._senders[peer] = _JournalSender(peer, self)
        return sender

    def _on_log_timeout(self, pending: PendingEntry) -> None:
        pending.log_timed_out = True
        self._commit_by_journal(pending)

    def _commit_by_journal(self, pending: PendingEntry) -> None:
        if pending.commit.done():
            return
        if not (pending.acknowledged and pending.log_timed_out):
            return
        # A peer that has been lost since may have lost its copies.
        if self.members.is_lost(pending.origin.journal_peer):
            return
        pending.commit.set_result('journal')

    def _on_log_response(self, pending: PendingEntry) -> None:
        self._pending.discard(pending)
        self.unlogged_bytes -= len(pending.encoded)
        peer = pending.origin.journal_peer
        if peer is not None and peer in self._senders:
            self._senders[peer].discard(pending)
        if pending.log.cancelled() or pending.log.exception() is not None:
            pending.commit.cancel()
            return
        result = pending.log.result()
        self._accounts.on_entry_applied(
            pending.entry.allotment,
            pending.entry.seq,
            accepted=result.accepted,
            refunded=result.reason == 'duplicate_bill',
        )
        if not pending.commit.done():
            pending.commit.set_result('log')
