"""Requests of routers for each other's free tokens.

The router that receives the request returns tokens to the budget, from which
the requesting router obtains a grant. During a log outage it transfers an
allotment instead.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import random
from typing import Any

from absl import logging
import msgspec

from ... import protocol
from ...core import Accounts
from ...core import BasilpondError
from ...core import JsonDecoder
from ...core import Transfer
from ._budget_interfaces import BudgetSettings
from ._budget_interfaces import LedgerWriter
from ._budget_interfaces import Members
from ._budget_interfaces import MemberView
from ._budget_interfaces import Peers
from ._commit import Committer

# Peers that a router sends requests to in one round until it has read the
# ledger, which would show which peers have tokens.
MAX_PEERS_UNSYNCED = 6

_transfer_decoder = JsonDecoder(Transfer)


class AllotmentExchange:
    """Both sides of a request for an allotment between routers.

    Parameters
    ----------
    ledger_task : LedgerWriter
    members : Members
    peers : Peers
    accounts : Accounts
    committer : Committer
    settings : BudgetSettings
    """

    def __init__(
        self,
        ledger_task: LedgerWriter,
        members: Members,
        peers: Peers,
        accounts: Accounts,
        committer: Committer,
        settings: BudgetSettings,
    ) -> None:
        self._ledger_task = ledger_task
        self._members = members
        self._peers = peers
        self._accounts = accounts
        self._committer = committer
        self._settings = settings

    def _reaches_log(self) -> bool:
        return self._ledger_task.log_reachable and self._ledger_task.synced

    def journal_peer(self, organisation: str) -> str | None:
        """Choose the journal peer of a new allotment.

        Returns
        -------
        str or None
            Incarnation id of the router that is the journal peer of the
            fewest allotments of this router and organisation, see
            `Committer.choose_journal_peer`.
        """
        used = collections.Counter(
            allotment.journal_peer
            for allotment in self._accounts.allotments(organisation)
        )
        return self._committer.choose_journal_peer(used.__getitem__)

    def candidates(
        self, organisation: str, *, local_first: bool
    ) -> list[MemberView]:
        """Return the peers that may have tokens, the most tokens first.

        Parameters
        ----------
        organisation : str
        local_first : bool
            Prefer peers in the data centre of this router: those in others
            may have become unreachable together with the log, and a call to
            them would last until its timeout.

        Returns
        -------
        list of MemberView
        """
        live = list(self._members.live())
        random.shuffle(live)
        remaining = self._ledger_task.ledger.remaining_by_holder(organisation)
        if not self._ledger_task.synced:
            live = live[:MAX_PEERS_UNSYNCED]
        # The ledger does not contain transfers made during an outage, so
        # then every peer may have tokens.
        candidates = [
            member
            for member in live
            if remaining.get(member.incarnation_id, 0) > 0
            or not self._reaches_log()
        ]
        candidates.sort(
            key=lambda member: (
                local_first
                and member.data_centre != self._settings.data_centre,
                -remaining.get(member.incarnation_id, 0),
            )
        )
        return candidates

    async def request_tokens(
        self, member: MemberView, organisation: str, need_tokens: int
    ) -> int:
        """Ask one peer for tokens and add the allotment that it transfers.

        Parameters
        ----------
        member : MemberView
        organisation : str
        need_tokens : int
            Tokens that are missing; at least 1 is requested.

        Returns
        -------
        int
            Tokens that the peer returned to the budget; 0 if it transferred
            an allotment, had no tokens or did not respond.
        """
        frame = protocol.Frame(
            call_id=0,
            is_reply=False,
            ask_allotment=protocol.AskAllotment(
                organisation=organisation,
                need_tokens=max(1, need_tokens),
                holder=self._accounts.holder,
                journal_peer=self.journal_peer(organisation),
                log_unreachable=not self._reaches_log(),
            ),
        )
        try:
            reply = await self._peers.call(
                member, frame, timeout_s=self._settings.peer_timeout_s
            )
        except BasilpondError:
            return 0
        reply = reply.ask_allotment_reply
        if reply is None:
            return 0
        if reply.transfer is not None:
            self.receive_transfer(member, reply.transfer)
        return max(0, reply.returned_tokens)

    def receive_transfer(self, donor: MemberView, data: bytes) -> None:
        """Add a transferred allotment and append the transfer to the log.

        The donor has committed the transfer, so its journal peer or the log
        has it, and the ledger applies it once. It is appended here, too, in
        case the donor cannot: bills on the new allotment then don't have to
        wait for the donor. A transfer that is malformed, for another holder
        or from another router's allotment is ignored.

        Parameters
        ----------
        donor : MemberView
        data : bytes
            `Transfer` record as JSON.
        """
        try:
            transfer = _transfer_decoder.decode(data)
        except msgspec.MsgspecError as error:
            logging.error('malformed transfer from a peer: %s', error)
            return
        if transfer.holder != self._accounts.holder:
            logging.error('transfer for another holder, %s', transfer.holder)
            return
        ledger = self._ledger_task.ledger
        source = ledger.allotment(transfer.allotment)
        if source is not None and source.holder not in (
            '',  # the transfer that created it is not in the log yet
            donor.incarnation_id,
        ):
            logging.error(
                '%s sent a transfer from an allotment of %s',
                donor.incarnation_id,
                source.holder,
            )
            return
        if not self._accounts.add(
            transfer.new_allotment, transfer.tokens, transfer
        ):
            return
        received = ledger.allotment(transfer.new_allotment)
        if received is None or not received.holder:
            self._ledger_task.submit(transfer)

    async def return_tokens(self, message: Any) -> int:
        """Return tokens to the budget for a peer.

        These are the tokens that the peer needs or half of the free tokens,
        whichever is more, but never more than are free.

        Parameters
        ----------
        message : protocol.AskAllotment

        Returns
        -------
        int
            Tokens whose return the log has accepted in time.
        """
        free = self._accounts.free_tokens(message.organisation)
        amount = min(free, max(message.need_tokens, free // 2))
        pending = [
            self._committer.submit(entry)
            for entry in self._accounts.return_tokens(
                message.organisation, amount
            )
        ]
        if not pending:
            return 0
        # The peer stops waiting after the timeout of its call. The tokens go
        # back to the budget in any case.
        await asyncio.wait(
            [item.log for item in pending],
            timeout=self._settings.peer_timeout_s / 2,
        )
        return sum(
            item.entry.tokens
            for item in pending
            if item.log.done() and item.log.result().accepted
        )

    async def transfer(self, message: Any) -> bytes | None:
        """Transfer tokens to a peer.

        Parameters
        ----------
        message : protocol.AskAllotment

        Returns
        -------
        bytes or None
            `Transfer` record as JSON; None without enough tokens, or if the
            transfer was not committed in time.
        """
        entry = self._accounts.transfer(
            message.organisation,
            message.need_tokens,
            holder=message.holder,
            journal_peer=message.journal_peer,
            usable=self._committer.is_usable,
        )
        if entry is None:
            return None
        pending = self._committer.submit(entry)
        committed = await self._is_committed(
            pending.commit, lambda: pending.log.result().accepted
        )
        return pending.encoded if committed else None

    async def _is_committed(
        self, commit: asyncio.Future[str], accepted: Callable[[], bool]
    ) -> bool:
        """Return whether an entry is committed within the peer's timeout."""
        done, _ = await asyncio.wait(
            [commit], timeout=self._settings.peer_timeout_s * 0.8
        )
        if not done:
            return False
        return commit.result() == 'journal' or accepted()
