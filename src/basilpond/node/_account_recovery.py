"""Recovery of the escrow accounts that the log has lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from ..routing import Allotments
from ..routing import Completion
from ..routing import EraRecovery
from ..routing import EraStatement
from ..routing import EscrowAccount
from ..routing import EscrowAccounts
from ._decision_log import DecisionLog
from ._fleet_records import account_copy_record
from ._fleet_records import budget_record
from ._fleet_records import era_record
from ._fleet_records import parse_era
from ._fleet_records import reserve_holder
from ._fleet_records import router_of
from ._log_writer import LogWriter

# Routers that were heard of within this time take part in the recovery.
_LIVENESS_S = 1.2
# Accounts of other holders that are written at once.
_MAX_ACCOUNTS_TO_WRITE = 2000

Record = tuple[str, bytes]


class AccountRecovery:
    """Writes accounts again in a new era of the log.

    Parameters
    ----------
    holder : str
    writer : LogWriter
    accounts : EscrowAccounts
    allotments : Allotments
    decisions : DecisionLog
    is_first_start : bool
        Whether the whole fleet starts for the first time.
    """

    def __init__(
        self,
        holder: str,
        writer: LogWriter,
        accounts: EscrowAccounts,
        allotments: Allotments,
        decisions: DecisionLog,
        *,
        is_first_start: bool,
    ) -> None:
        self._holder = holder
        self._writer = writer
        self._accounts = accounts
        self._allotments = allotments
        self._decisions = decisions
        self._state = EraRecovery(
            router_of(holder), is_first_start=is_first_start
        )
        # Whether the marker of the era has to be written with the next
        # accounts, and whether the last records contained it.
        self._marker_due = False
        self._marker_collected = False
        # Last statement of this router that the log has acknowledged.
        self._statement = EraStatement()
        # Returns the ids and holders of the other routers that were heard of
        # within a time.
        self.heard_routers: Callable[[float], dict[str, str]] = (
            lambda within_s: {}
        )
        # Returns the number of other routers whose addresses are known.
        self.registered_routers: Callable[[], int] = lambda: 0
        self.wake_reader: Callable[[], None] = lambda: None
        # Written when at most one router remembers the era before, or when
        # one that has not written in the present era may know more.
        self.records_of_loss: list[Record] = []

    @property
    def era(self) -> int | None:
        """Era of the records that were applied last."""
        return self._state.era

    @property
    def known_era(self) -> int | None:
        """Era of the log if all of its accounts are known, or None."""
        complete = self._state.is_complete
        return self.era if complete and self.era == self._writer.era else None

    @property
    def is_complete(self) -> bool:
        """Whether the accounts of the records' era are known."""
        return self._state.is_complete

    @property
    def must_rewrite(self) -> bool:
        """Whether the log may have lost accounts of this router."""
        return self._writer.era != self._statement.written_era

    # Records.

    def begin_era(self, era: int) -> None:
        """Apply the records of another era from now on."""
        self._state.begin(era, asyncio.get_running_loop().time())
        self._marker_due = False
        self._accounts.forget_offsets()
        self._allotments.revoke_unconfirmed_raises()

    def apply_statement(self, holder: str, statement: EraStatement) -> None:
        """Apply what a holder's heartbeat states."""
        self._state.apply_statement(holder, statement)

    def apply_marker(self, value: bytes | None) -> None:
        """Apply the record that names the era whose accounts are complete."""
        was_complete = self._state.is_complete
        try:
            marker = parse_era(value)
        except ValueError as error:
            self._decisions.event('era_unreadable', reason=str(error))
            return
        self._state.apply_marker(marker)
        if was_complete and marker != self.era:
            # A late append of an earlier era has replaced the marker, for
            # which routers that start from now on would wait.
            self._marker_due = True
        if self._state.is_complete and not was_complete:
            self._decisions.event(
                'accounts_complete',
                era=self.era,
                unwritten=len(self._unwritten()),
            )

    def finish_snapshot(self, *, has_accounts: bool) -> None:
        """Record that the newest record of each key has been applied."""
        if self._state.finish_snapshot(has_accounts=has_accounts):
            self._marker_due = True

    # Own records.

    def next_statement(self) -> EraStatement:
        """Return what the next heartbeat states."""
        return self._state.statement(
            written_era=self._statement.written_era,
            has_unwritten=bool(self._unwritten()),
            live_holders=self._heard().values(),
            now_s=asyncio.get_running_loop().time(),
        )

    def is_statement_due(self) -> bool:
        """Whether other routers wait for a new statement of this one."""
        return (
            self.known_era is None and self.next_statement() != self._statement
        )

    def first_records(self) -> list[Record]:
        """Return the records that precede all accounts."""
        # The writer may know of a new era before its records are read. A
        # first start proves nothing about the accounts of that era.
        self._marker_collected = (
            self._marker_due and self.known_era is not None
        )
        return [era_record(self._writer.era)] if self._marker_collected else []

    def confirm_written(self, statement: EraStatement) -> None:
        """Record that the log has acknowledged the own records."""
        self._statement = statement
        if self._marker_collected:
            self._marker_due = False

    # Recovery.

    async def complete(self, *, reachable: bool) -> None:
        """Write what the log lacks, and the marker when nothing is missing.

        Parameters
        ----------
        reachable : bool
            Whether the records that were applied are up to date.
        """
        if self.era != self._writer.era:
            return
        heard = self._heard()
        if reachable:
            await self._write_accounts_of_others(heard)
        if self._state.is_complete:
            return
        # Other routers' records are read without the usual pause.
        self.wake_reader()
        completion = self._state.completion(
            self._statement,
            heard.values(),
            asyncio.get_running_loop().time(),
            registered_routers=self.registered_routers(),
            account_holders=self._accounts.holders(),
        )
        if (
            completion is Completion.RESERVED
            and not self._allotments.has_limits
        ):
            # No configuration yet, so it is not known what to reserve.
            return
        if completion is not None:
            await self._write_marker(completion, routers=len(heard) + 1)

    async def _write_accounts_of_others(self, heard: dict[str, str]) -> None:
        keys = self._state.accounts_to_write(
            self._unwritten(),
            [router_of(self._holder), *heard],
            heard.values(),
            asyncio.get_running_loop().time(),
        )[:_MAX_ACCOUNTS_TO_WRITE]
        if not keys:
            return
        self._decisions.event(
            'accounts_written_again',
            era=self.era,
            accounts=len(keys),
            holders=sorted({holder for _, holder in keys})[:8],
        )
        await self._append(
            account_copy_record(
                name,
                holder,
                self._accounts.account(name, holder)[0],
                self._holder,
            )
            for name, holder in keys
        )

    async def _write_marker(
        self, completion: Completion, *, routers: int
    ) -> None:
        era = self._writer.era
        reserves = []
        if completion is Completion.RESERVED:
            reserves = self._reserve_unproved_tokens(era)
        if completion is Completion.RESERVED or self._lacks_routers():
            reserves += self.records_of_loss
        self._decisions.event(
            'accounts_completed',
            era=era,
            how=completion.value,
            routers=routers,
        )
        await self._append([*reserves, era_record(era)])

    async def _append(self, records: Iterable[Record]) -> None:
        era = self._writer.era
        collected = list(records)
        await self._writer.append(
            lambda: collected if self._writer.era == era else []
        )
        self.wake_reader()

    def _reserve_unproved_tokens(self, era: int) -> list[Record]:
        # Routers that wrote in this era remember nothing either: they have
        # pending raises only, which are decided after this.
        reserved = {
            name: tokens
            for name, (_, _, limit) in self._allotments.balances().items()
            if limit is not None
            and (
                tokens := limit
                - self._accounts.owned_by(
                    name, lambda holder: not self._state.has_written(holder)
                )
            )
            > 0
        }
        self._decisions.event(
            'budgets_reserved', era=era, tokens_by_organisation=reserved
        )
        return [
            budget_record(
                name, reserve_holder(era), EscrowAccount(tokens, tokens, 1)
            )
            for name, tokens in reserved.items()
        ]

    def _lacks_routers(self) -> bool:
        written = {router_of(holder) for holder in self._state.writers()}
        written.discard(router_of(self._holder))
        return len(written) < self.registered_routers()

    def _heard(self) -> dict[str, str]:
        return self.heard_routers(_LIVENESS_S)

    def _unwritten(self) -> list[tuple[str, str]]:
        # Own accounts are written with the next heartbeat.
        return [
            key for key in self._accounts.unwritten() if key[1] != self._holder
        ]
