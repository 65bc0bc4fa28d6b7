"""Task that maintains this router's allotments of prepaid budgets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import time

from ..routing import Allotments
from ..routing import Catalogue
from ..routing import ClockReading
from ..routing import EraStatement
from ..routing import EscrowAccount
from ..routing import EscrowAccounts
from ..routing import Hold
from ..routing import Reservation
from ._account_recovery import AccountRecovery
from ._decision_log import DecisionLog
from ._fleet_records import Heartbeat
from ._fleet_records import budget_record
from ._fleet_records import copied_holder
from ._fleet_records import ended_heartbeat_record
from ._fleet_records import heartbeat_record
from ._fleet_records import is_reserve_holder
from ._fleet_records import lost_record
from ._fleet_records import parse_account
from ._fleet_records import parse_heartbeat
from ._fleet_records import parse_lost
from ._fleet_records import router_of
from ._fleet_records import split_organisation_record
from ._log_writer import LogWriter
from ._raise_statements import RaiseStatements

# Time limit of a request's wait for tokens; a grant takes two calls of 4 ms,
# or of 240 ms where the store is slow.
GRANT_TIMEOUT_S = 1.0
# Time in which other routers respond to a request for tokens, and the share of
# their free tokens that they transfer in each round. Routers that reach the
# log raise their allotments and ceilings between two rounds.
_PEER_TIMEOUT_S = 0.025
_PEER_ROUNDS = (0.5, 1.0, 1.0)
# After a rejection, no tokens are requested from other routers for this time,
# as each request of an exhausted budget would request them from all routers.
_REJECTION_TTL_S = 0.25
# Interval at which tokens are requested for a request that waits for those
# above the ceiling.
_PEER_INTERVAL_S = 0.3
# Longest wait for tokens that only other routers own.
_MAX_PEER_WAIT_S = 1.0
# Shortest pause before reserved tokens are tried again.
_MIN_CEILING_WAIT_S = 0.02
# The log is suspect while an append takes longer than this; an append usually
# takes 4 ms. Where the store or the link is slow, the limit is a multiple of
# the usual time, up to a maximum.
_SUSPECT_AFTER_S = 0.1
_SUSPECT_FACTOR = 3.0
_MAX_SUSPECT_AFTER_S = 0.8
# Interval in which the allotments are checked for changes.
_POLL_INTERVAL_S = 0.1
# Time in which routers that start together agree on the fleet's time.
_AGREEMENT_TIMEOUT_S = 2.0
# Interval of heartbeats that are written even if no allotment changes.
_HEARTBEAT_INTERVAL_S = 0.3
_RATE_INTERVAL_S = 0.5
# The state of the budgets counts as current up to this age.
_MAX_STATE_AGE_S = 2.5
# Interval in which the state after a restore of the log is checked.
_RECOVERY_INTERVAL_S = 0.05


class HoldRejection(enum.Enum):
    """Reason for which a request gets no tokens."""

    EXHAUSTED = 'budget exhausted'
    # Nobody can tell whether the tokens were consumed before a restore of the
    # log.
    RESERVED = 'rest of the budget is reserved'
    UNAVAILABLE = 'no grant from the log in time'


def read_clocks() -> ClockReading:
    """Return a reading of this machine's clocks."""
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return ClockReading(int(boot_s * 1000), int(time.time() * 1000))


class BudgetTask:
    """Grants holds to requests and appends changes of allotments to the log.

    Parameters
    ----------
    holder : str
        Unique to this incarnation of the router.
    writer : LogWriter
    decisions : DecisionLog
    clock : callable
        Returns a ClockReading.
    is_first_start : bool
        Whether the whole fleet starts for the first time.
    """

    def __init__(
        self,
        holder: str,
        writer: LogWriter,
        decisions: DecisionLog,
        clock: Callable[[], ClockReading] = read_clocks,
        *,
        is_first_start: bool = False,
    ) -> None:
        self._holder = holder
        self._writer = writer
        self._decisions = decisions
        self._clock = clock
        self._started = clock()
        # Returns the fleet's time minus the time since boot of this machine,
        # if known.
        self.fleet_boot_offset_ms: Callable[[], int | None] = lambda: None
        self._accounts = EscrowAccounts()
        # Of the earlier incarnations of this router.
        self._heartbeats: dict[str, Heartbeat] = {}
        self.allotments = Allotments(holder, self._accounts)
        self.recovery = AccountRecovery(
            holder,
            writer,
            self._accounts,
            self.allotments,
            decisions,
            is_first_start=is_first_start,
        )
        self.raise_statements = RaiseStatements(
            self.allotments,
            self._accounts,
            lambda: self.recovery.known_era,
            self.notify_waiters,
        )
        # Returns what is written again in each era, besides the accounts.
        self.announcements: Callable[[], list[tuple[str, bytes]]] = list
        self.request_from_peers: Callable[[str, int, float], None] = (
            lambda name, tokens, share: None
        )
        # Returns the holders of the other live routers.
        self.live_holders: Callable[[], Iterable[str]] = lambda: ()
        self.wake_reader: Callable[[], None] = lambda: None
        # Called with a time; reads that were sent before it may be lost.
        self.restart_reader: Callable[[float], None] = lambda sent_s: None
        self._consistent_from: int | None = None
        self._synced = asyncio.Event()
        self._tokens_changed = asyncio.Event()
        self._append_requested = asyncio.Event()
        self._last_read_s = float('-inf')
        self._reachable = False
        self._stopping = False
        # Smallest rejected number of tokens and the expiry time, by
        # organisation.
        self._rejections: dict[str, tuple[int, float]] = {}

    # State of the topic.

    def apply_account(
        self, key: str, value: bytes | None, offset: int
    ) -> None:
        """Apply the record of an escrow account."""
        try:
            organisation, holder, numbers = split_organisation_record(
                key, value
            )
            account = parse_account(numbers)
        except ValueError as error:
            self._decisions.event(
                'budget_row_unreadable',
                key=key,
                log_offset=offset,
                reason=str(error),
            )
            return
        original = copied_holder(holder)
        if original is not None:
            # This router knows its own accounts better than any other.
            if original != self._holder:
                self._accounts.apply_copy(
                    organisation, original, account, offset
                )
            return
        self._accounts.apply(organisation, holder, account, offset)
        if holder == self._holder:
            # The decision uses the state right after this record: with later
            # records of other routers, the sum may exceed the budget.
            self.decide_raises(offset + 1)

    def apply_heartbeat(self, holder: str, value: bytes | None) -> None:
        """Apply the heartbeat of a router."""
        is_predecessor = router_of(holder) == router_of(self._holder)
        if self.recovery.is_complete and not is_predecessor:
            return
        if not value:
            # The holder stopped and returned its tokens.
            self._heartbeats.pop(holder, None)
            return
        try:
            heartbeat = parse_heartbeat(value)
        except ValueError as error:
            self._decisions.event(
                'stamp_unreadable', holder=holder, reason=str(error)
            )
            return
        self.recovery.apply_statement(holder, heartbeat.statement)
        if is_predecessor:
            self._heartbeats[holder] = heartbeat

    def apply_lost(self, key: str, value: bytes | None) -> None:
        """Apply the record of the tokens that a killed router left unused."""
        try:
            organisation, holder, numbers = split_organisation_record(
                key, value
            )
            tokens = parse_lost(numbers)
        except ValueError as error:
            self._decisions.event(
                'lost_tokens_unreadable', key=key, reason=str(error)
            )
            return
        self.allotments.lost.record(organisation, holder, tokens)

    def begin_era(self, era: int) -> None:
        """Apply the records of another era of the log from now on."""
        self.recovery.begin_era(era)
        # What a holder wrote in an earlier era proves nothing in this one.
        self._heartbeats.clear()

    def apply_era(self, value: bytes | None) -> None:
        """Apply the marker of the era whose accounts are complete."""
        self.recovery.apply_marker(value)

    @property
    def knows_accounts(self) -> bool:
        """Whether raises may be decided: no lost record remains unknown."""
        return self.recovery.known_era is not None

    def suspend_decisions(self) -> None:
        """Stop deciding raises while the accounts are no state of the log."""
        self._consistent_from = None

    def resume_decisions(
        self, end: int, *, has_accounts: bool = False
    ) -> None:
        """Decide raises again once all records before `end` are applied.

        Parameters
        ----------
        end : int
        has_accounts : bool
            Whether the log contains any account.
        """
        self._consistent_from = end
        self.recovery.finish_snapshot(has_accounts=has_accounts)
        self._synced.set()

    def decide_raises(self, end: int) -> None:
        """Decide pending raises once the records before `end` are applied."""
        if self._consistent_from is None or end < self._consistent_from:
            return
        if not self.knows_accounts:
            return
        for name, tokens, granted in self.allotments.decide_raises(end):
            self._decisions.event(
                'allotment_granted' if granted else 'allotment_denied',
                routine=granted,
                organisation=name,
                tokens=tokens,
                log_offset=end,
                total=self._accounts.total_owned(name),
            )
            if granted:
                self.raise_statements.record_granted(name)
        self.raise_statements.state()
        self.notify_waiters()

    def learn_accounts(
        self, holder: str, era: int, accounts: dict[str, EscrowAccount]
    ) -> bool:
        """Remember the raises of another router; return whether it may be."""
        return self.raise_statements.learn(
            holder, era, accounts, self._writer.era
        )

    def update_reachability(self, *, reachable: bool) -> None:
        """Record whether the store responds."""
        self._reachable = reachable
        if reachable:
            # Reads run one at a time, so this one was sent after the last.
            self.raise_statements.confirm_read_by_all(self._last_read_s)
            self._last_read_s = asyncio.get_running_loop().time()

    @property
    def outage_s(self) -> float:
        """Time since the last response of the store."""
        return asyncio.get_running_loop().time() - self._last_read_s

    # Requests.

    def set_limits(self, catalogue: Catalogue) -> None:
        """Apply the budgets of a configuration."""
        for organisation in (catalogue.organisations or {}).values():
            self.allotments.set_limit(
                organisation.name, organisation.prepaid_tokens
            )
        self.allotments.confirm_limits()
        self.notify_waiters()

    async def hold(
        self, organisation: str, tokens: int, timeout_s: float
    ) -> Hold | HoldRejection:
        """Hold the maximum number of tokens that a request may consume.

        Parameters
        ----------
        organisation : str
        tokens : int
        timeout_s : float
            Longest wait.

        Returns
        -------
        Hold or HoldRejection
        """
        hold = self._try_hold(organisation, tokens)
        if hold is not None:
            return hold
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + timeout_s
        deadline_s = min(loop.time() + GRANT_TIMEOUT_S, limit_s)
        peer_rounds = list(_PEER_ROUNDS)
        rejected_tokens, until_s = self._rejections.get(organisation, (0, 0.0))
        if tokens >= rejected_tokens and loop.time() < until_s:
            peer_rounds.clear()
        while True:
            needs_peers = self.allotments.needs_peer_tokens(
                organisation, tokens
            )
            if not needs_peers:
                self.allotments.add_demand(organisation, tokens)
                self._append_requested.set()
            until_s = loop.time() + _SUSPECT_AFTER_S
            if needs_peers or self.is_log_suspect():
                # Only other routers can provide tokens now.
                if not peer_rounds:
                    self._record_rejection(organisation, tokens)
                    rejection = self.find_rejection(organisation, tokens)
                    if rejection is not None and self._is_state_current():
                        return rejection
                    return await self._wait_for_ceiling(
                        organisation, tokens, limit_s - loop.time()
                    )
                missing_tokens = self.allotments.shortage(organisation, tokens)
                self.request_from_peers(
                    organisation, missing_tokens, peer_rounds.pop(0)
                )
                until_s = loop.time() + _PEER_TIMEOUT_S
            hold = await self._wait_hold(
                organisation, tokens, min(until_s, deadline_s)
            )
            if hold is not None:
                return hold
            if loop.time() >= deadline_s:
                return HoldRejection.UNAVAILABLE

    def find_rejection(
        self, organisation: str, tokens: int
    ) -> HoldRejection | None:
        """Return why the remaining budget does not cover a request.

        Parameters
        ----------
        organisation : str
        tokens : int
            Upper bound on what the request consumes.

        Returns
        -------
        HoldRejection or None
            None if it covers the request.
        """
        is_exhausted = self.allotments.is_exhausted
        if not is_exhausted(organisation, tokens, self.live_holders()):
            return None
        reserved_tokens = self._accounts.owned_by(
            organisation, is_reserve_holder
        )
        if is_exhausted(
            organisation, tokens - reserved_tokens, self.live_holders()
        ):
            return HoldRejection.EXHAUSTED
        return HoldRejection.RESERVED

    def _record_rejection(self, organisation: str, tokens: int) -> None:
        now_s = asyncio.get_running_loop().time()
        known_tokens, until_s = self._rejections.get(organisation, (0, 0.0))
        if now_s >= until_s or tokens < known_tokens:
            self._rejections[organisation] = tokens, now_s + _REJECTION_TTL_S

    async def _wait_for_ceiling(
        self, organisation: str, tokens: int, timeout_s: float
    ) -> Hold | HoldRejection:
        # The allotment has the tokens, but beyond its ceiling, which cannot
        # be raised while the log is unavailable. The wait is short, and its
        # end is known.
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        reservation = self.allotments.reserve_above_ceiling(
            organisation, tokens, self._clock().boot_ms
        )
        if reservation is None:
            hold = await self._wait_for_peers(organisation, tokens, timeout_s)
            return hold or HoldRejection.UNAVAILABLE
        hold = None
        end_s = started_s + timeout_s
        try:
            while hold is None and loop.time() + reservation.wait_s < end_s:
                pause_s = min(reservation.wait_s, _PEER_INTERVAL_S)
                hold = await self._wait_reserved(
                    reservation,
                    loop.time() + max(pause_s, _MIN_CEILING_WAIT_S),
                )
                if hold is None and reservation.wait_s > 0:
                    self._request_tokens(organisation, tokens)
        finally:
            self.allotments.release_reservation(reservation)
        self._decisions.event(
            'ceiling_waited',
            organisation=organisation,
            tokens=tokens,
            wait_s=round(loop.time() - started_s, 3),
            held=hold is not None,
        )
        return hold or HoldRejection.UNAVAILABLE

    async def _wait_for_peers(
        self, organisation: str, tokens: int, timeout_s: float
    ) -> Hold | None:
        # Requests for tokens are in vain once all of them are usable.
        loop = asyncio.get_running_loop()
        end_s = loop.time() + min(timeout_s, _MAX_PEER_WAIT_S)
        while (
            loop.time() < end_s
            and self.allotments.releases_tokens(self.boot_ms())
            and any(self.live_holders())
        ):
            self._request_tokens(organisation, tokens)
            hold = await self._wait_hold(
                organisation, tokens, loop.time() + _PEER_INTERVAL_S
            )
            if hold is not None:
                return hold
        return None

    def _request_tokens(self, organisation: str, tokens: int) -> None:
        # Further tokens become usable at other routers in an outage; after
        # it, the log covers what is missing with the next record.
        missing_tokens = self.allotments.shortage(organisation, tokens)
        self.request_from_peers(organisation, missing_tokens, _PEER_ROUNDS[-1])
        if not self.is_log_suspect():
            self.allotments.add_demand(organisation, tokens)
            self._append_requested.set()

    async def _wait_hold(
        self, organisation: str, tokens: int, until_s: float
    ) -> Hold | None:
        try:
            async with asyncio.timeout_at(until_s):
                while True:
                    await self._tokens_changed.wait()
                    hold = self._try_hold(organisation, tokens)
                    if hold is not None:
                        return hold
        except TimeoutError:
            return None

    async def _wait_reserved(
        self, reservation: Reservation, until_s: float
    ) -> Hold | None:
        try:
            async with asyncio.timeout_at(until_s):
                while True:
                    await self._tokens_changed.wait()
                    hold = self._try_hold_reserved(reservation)
                    if hold is not None:
                        return hold
        except TimeoutError:
            return self._try_hold_reserved(reservation)

    def _try_hold_reserved(self, reservation: Reservation) -> Hold | None:
        return self.allotments.hold_reserved(
            reservation, self._clock().boot_ms
        )

    def is_log_suspect(self) -> bool:
        """Whether the store is unreachable or slow to respond."""
        suspect_after_s = max(
            _SUSPECT_AFTER_S, _SUSPECT_FACTOR * self._writer.usual_append_s
        )
        return (
            not self._reachable
            or not self.knows_accounts
            or self._writer.waiting_s
            > min(suspect_after_s, _MAX_SUSPECT_AFTER_S)
        )

    def rejection_inputs(
        self, organisation: str, tokens: int
    ) -> dict[str, object]:
        """Return the inputs of a rejection, for the log."""
        # A configuration may have taken the budget away meanwhile.
        owned, used, budget = self.allotments.balances().get(
            organisation, (None, None, None)
        )
        return {
            'organisation': organisation,
            'tokens': tokens,
            'owned': owned,
            'used': used,
            'budget': budget,
            'owned_by_all': self._accounts.total_owned(organisation),
            'store_age_s': round(self.outage_s, 2),
            'store_doubtful': self.is_log_suspect(),
            'live_routers': self.allotments.routers,
            'era': self.recovery.era,
            'accounts_complete': self.knows_accounts,
        }

    def charge(self, hold: Hold, spent_tokens: int) -> None:
        """Replace a hold by the tokens that the request consumed."""
        self.allotments.charge(hold, spent_tokens)

    def transfer_out(
        self, organisation: str, tokens: int, share: float
    ) -> int:
        """Transfer tokens to a peer; see `Allotments.transfer_out`."""
        boot_ms = self._clock().boot_ms
        transferred = self.allotments.transfer_out(
            organisation, tokens, share, boot_ms
        )
        if transferred < tokens and not self.is_log_suspect():
            # The peer cannot reach the log, but this router can: it raises
            # its own allotment to transfer more in the next round.
            self.allotments.add_demand(organisation, tokens - transferred)
            self._append_requested.set()
        return transferred

    def all_free_tokens(self) -> dict[str, int]:
        """Return the transferable tokens by organisation, if any."""
        boot_ms = self._clock().boot_ms
        return {
            name: free
            for name in self.allotments.balances()
            if (free := self.allotments.free_tokens(name, boot_ms)) > 0
        }

    def free_tokens_of(self, organisation: str) -> int:
        """Return the tokens that this router could transfer now."""
        return max(
            0, self.allotments.free_tokens(organisation, self.boot_ms())
        )

    def boot_ms(self) -> int:
        """Return the time since boot, including suspended time."""
        return self._clock().boot_ms

    def transfer_in(self, organisation: str, tokens: int) -> None:
        """Add tokens that a peer transferred."""
        self.allotments.transfer_in(organisation, tokens)
        self._rejections.pop(organisation, None)
        self.notify_waiters()

    def _try_hold(self, organisation: str, tokens: int) -> Hold | None:
        boot_ms = self._clock().boot_ms
        return self.allotments.hold(organisation, tokens, boot_ms)

    # Appends.

    async def run(self) -> None:
        """Append changes of allotments until cancelled."""
        loop = asyncio.get_running_loop()
        heartbeat_s = float('-inf')
        while True:
            interval_s = _POLL_INTERVAL_S
            if self._consistent_from is not None and not self._stopping:
                due = loop.time() - heartbeat_s >= _HEARTBEAT_INTERVAL_S
                if not self.knows_accounts:
                    due = due or self.recovery.is_statement_due()
                    interval_s = _RECOVERY_INTERVAL_S
                if await self._append(self._collect_changes, heartbeat=due):
                    heartbeat_s = loop.time()
                await self.recovery.complete(reachable=self._reachable)
            try:
                async with asyncio.timeout(interval_s):
                    await self._append_requested.wait()
            except TimeoutError:
                pass
            self._append_requested.clear()

    async def sample_rates(self) -> None:
        """Update the rates of consumption until cancelled."""
        loop = asyncio.get_running_loop()
        rated_s = loop.time()
        while True:
            await asyncio.sleep(_RATE_INTERVAL_S)
            now_s = loop.time()
            self.allotments.update_rates(now_s - rated_s)
            rated_s = now_s
            self._decisions.event(
                'allotments',
                routine=True,
                reachable=self._reachable,
                read_age_s=round(now_s - self._last_read_s, 2),
                owned_used_budget=self.allotments.balances(),
            )

    def request_append(self) -> None:
        """Check at once whether there is something to append."""
        self._append_requested.set()

    async def release_allotments(self) -> None:
        """Return all free tokens to the budgets, when the router stops."""
        self._stopping = True
        await self._append(self._release_all, heartbeat=True, is_last=True)

    async def _append(
        self,
        changes: Callable[[ClockReading], dict[str, EscrowAccount]],
        *,
        heartbeat: bool,
        is_last: bool = False,
    ) -> bool:
        accounts: dict[str, EscrowAccount] = {}
        statement = EraStatement()

        def collect() -> list[tuple[str, bytes]]:
            # Called again if the log starts another era meanwhile.
            nonlocal statement
            now = self._with_fleet_time(self._clock())
            accounts.update(changes(now))
            must_rewrite = self.recovery.must_rewrite
            if not accounts and not heartbeat and not must_rewrite:
                return []
            statement = dataclasses.replace(
                self.recovery.next_statement(), written_era=self._writer.era
            )
            records = self.recovery.first_records()
            records += [
                budget_record(name, self._holder, account)
                for name, account in accounts.items()
            ]
            if must_rewrite:
                records += self.announcements()
            if (
                is_last
                and not must_rewrite
                and not self.allotments.has_pending_raises
            ):
                # Nothing is left to free: the next process on this machine
                # must not take this one for a killed one.
                return [*records, ended_heartbeat_record(self._holder)]
            own = Heartbeat(now, statement)
            return [*records, heartbeat_record(self._holder, own)]

        appended = await self._writer.append(collect)
        if appended:
            self.recovery.confirm_written(statement)
        recovered_at_s = self._writer.recovered_at_s
        if appended and recovered_at_s is not None:
            # The log is available again; a read that was sent earlier may
            # hang. A late response to an append only proves a slow link or
            # log.
            self.restart_reader(recovered_at_s)
        if appended and accounts:
            self.allotments.confirm_written(accounts)
            self.wake_reader()
            self.notify_waiters()
        return appended

    def _release_all(self, reading: ClockReading) -> dict[str, EscrowAccount]:
        return self.allotments.release_all(
            reading, rewrite_all=self.recovery.must_rewrite
        )

    def _collect_changes(
        self, reading: ClockReading
    ) -> dict[str, EscrowAccount]:
        return self.allotments.collect_changes(
            reading, rewrite_all=self.recovery.must_rewrite
        )

    def _with_fleet_time(self, local: ClockReading) -> ClockReading:
        offset_ms = self.fleet_boot_offset_ms()
        if offset_ms is None:
            return local
        return dataclasses.replace(local, fleet_ms=local.boot_ms + offset_ms)

    async def reduce_predecessors(self) -> None:
        """Release what earlier incarnations of this router cannot use."""
        loop = asyncio.get_running_loop()
        await self._synced.wait()
        deadline_s = loop.time() + _AGREEMENT_TIMEOUT_S
        while self._predecessors() and self.fleet_boot_offset_ms() is None:
            if loop.time() >= deadline_s or any(
                heartbeat.reading.proves_within_ceiling(self._started)
                for heartbeat in self._predecessors().values()
            ):
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        started = self._with_fleet_time(self._started)
        records = []
        ended = []
        for holder, heartbeat in self._predecessors().items():
            reading = heartbeat.reading
            # The log may have lost later heartbeats and accounts of a holder
            # that wrote in an earlier era only.
            proves = heartbeat.statement.written_era == self.recovery.era
            freed = 0
            for name, account in self._accounts.accounts_of(holder).items():
                reduced = account.reduced(reading, started)
                owned = account.owned
                if proves and reduced is not None:
                    freed += account.owned - reduced.owned
                    owned = reduced.owned
                    records.append(budget_record(name, holder, reduced))
                ended.append((name, holder, account, owned))
            age_s = reading.proved_age_s(started)
            self._decisions.event(
                'predecessor_found',
                holder=holder,
                ended_before_outage=reading.proves_within_ceiling(started),
                freed_tokens=freed,
                written_era=heartbeat.statement.written_era,
                era=self.recovery.era,
                stamp_age_ms=started.boot_ms - reading.boot_ms,
                wall_age_ms=started.wall_ms - reading.wall_ms,
                fleet_age_ms=started.fleet_ms - reading.fleet_ms
                if started.fleet_ms and reading.fleet_ms
                else None,
                proved_age_s=age_s and round(age_s, 3),
            )
        await self._writer.append(lambda: records)
        await self._record_lost_tokens(ended)

    async def _record_lost_tokens(
        self, ended: list[tuple[str, str, EscrowAccount, int]]
    ) -> None:
        """Record what killed predecessors may have left unused.

        Parameters
        ----------
        ended : list of (str, str, EscrowAccount, int)
            Organisation, holder, its last account, and the tokens that the
            account keeps.
        """
        while not self.allotments.has_limits:  # noqa: ASYNC110
            await asyncio.sleep(_POLL_INTERVAL_S)
        # Few others may have been heard of since this start.
        routers = self.recovery.registered_routers() + 1
        lost = {
            (name, holder): self.allotments.tokens_left_by(
                name, account, owned, routers=routers
            )
            for name, holder, account, owned in ended
            if not self.allotments.lost.knows(name, holder)
        }
        for (name, holder), tokens in lost.items():
            self.allotments.lost.record(name, holder, tokens)
        if lost:
            self._decisions.event(
                'tokens_lost',
                tokens_by_account={
                    '/'.join(account): tokens
                    for account, tokens in lost.items()
                },
            )
        await self._writer.append(
            lambda: [
                lost_record(name, holder, tokens)
                for (name, holder), tokens in lost.items()
            ]
        )

    def _predecessors(self) -> dict[str, Heartbeat]:
        return {
            holder: heartbeat
            for holder, heartbeat in self._heartbeats.items()
            if holder != self._holder
        }

    def _is_state_current(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        return (
            self.knows_accounts
            and now_s - self._last_read_s < _MAX_STATE_AGE_S
        )

    def notify_waiters(self) -> None:
        """Let requests that wait for tokens retry."""
        self._tokens_changed.set()
        self._tokens_changed = asyncio.Event()
