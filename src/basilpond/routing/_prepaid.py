"""Prepaid budgets, divided between routers through a log.

Each start of a router (a holder) has one row an organisation: the total that
it may consume, ever. The newest row of each key is the whole state, so no
snapshots are needed and a router may start from them at any time.

A holder raises its row, and may use the difference once it has read a state
of the log, at or behind its own record, in which the rows of the organisation
add up to at most the budget. It gives back what it does not need by lowering
its own allotment first and its row afterwards. So no holder ever owns more
than its row says, and the sum of what was granted never exceeds the budget,
whatever is lost, delayed or paused.

Allotments are large, to last through an outage of the log, and a killed
router must not take them with it. So a row has a ceiling, too: while the log
answers, a router consumes up to the ceiling only and raises it ahead of its
use. It goes beyond the ceiling no earlier than `OUTAGE_S` after the stamp of
the last record that it has composed. The next start on the same machine that
begins sooner after the stamp in the log proves that its predecessor never
did, and reduces the predecessor's row to its ceiling.

What nobody owns when an outage begins serves nobody while it lasts, and what
a router owns that is killed late in an outage is lost. So a second limit, part
of the way from the ceiling to what is owned, binds from `OUTAGE_S` until
`LONG_OUTAGE_S` after the stamp, with the same proof: a start in between
reduces the row to that limit. Both limits follow from the row alone, and a
router obeys the least of those in the rows that the log may have.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from ._allotment_sizes import BudgetState
from ._allotment_sizes import next_ceiling
from ._allotment_sizes import owned_change
from ._escrow_accounts import EMPTY_ACCOUNT
from ._escrow_accounts import LONG_OUTAGE_S
from ._escrow_accounts import OUTAGE_S
from ._escrow_accounts import ClockReading
from ._escrow_accounts import EscrowAccount
from ._escrow_accounts import EscrowAccounts

# Requests that waited for the same ceiling go on this much apart, as prompts
# that reach the endpoints at once delay all others there.
_RESERVATION_INTERVAL_S = 0.25
# A log that answered within this time usually grants again after the pause
# below: a read waits for 0.3 s at most.
_RESPONSIVE_S = 0.4
_GRANT_RETRY_S = 0.5
# Callers come back no later than this, as the outage may end before.
_MAX_RETRY_S = 4.0
# Smaller gifts serve no request: the smallest prompts of the sites take 200
# tokens, and several routers give at once.
_MIN_TRANSFER_TOKENS = 32
# Weight of the newest interval in the rate of consumption.
_RATE_WEIGHT = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class Hold:
    """Tokens set aside for one request, at its most."""

    organisation: str
    tokens: int
    charged: bool = False


@dataclasses.dataclass(slots=True)
class _LocalAllotment:
    # Granted to this router by the log, ever.
    granted: int = 0
    # Acknowledged by the log, or less where a lower one was appended since.
    ceiling: int = 0
    short_outage_limit: int = 0
    # Received from other routers, whose rows still count it.
    transferred_in: int = 0
    # Spent, held for requests in progress, or given to other routers.
    used: int = 0
    # Newest row that was appended or is being appended.
    last_appended: EscrowAccount = EMPTY_ACCOUNT
    # Whether the newest row raises what is owned and is not decided yet.
    raise_pending: bool = False
    # Sum of the bounds of the requests that wait.
    demand: int = 0
    # Owned tokens beyond the ceiling, kept for requests that wait until it no
    # longer binds.
    reserved: int = 0
    rate_per_s: float = 0.0
    recent_use: int = 0
    # Rate at which all ceilings rise, as they follow the use, and their sum.
    fleet_rate_per_s: float = 0.0
    fleet_ceiling: int = 0
    limit: int | None = None

    @property
    def local_use(self) -> int:
        """Use that the router's own row has to cover.

        Negative when tokens of other routers are left; the row becomes so,
        too, when they are given back.
        """
        return self.used - self.transferred_in

    @property
    def owned_free_tokens(self) -> int:
        return self.granted + self.transferred_in - self.used

    @property
    def free_tokens_below_ceiling(self) -> int:
        covered = min(self.granted, self.ceiling)
        return covered + self.transferred_in - self.used

    @property
    def free_tokens_in_short_outage(self) -> int:
        covered = min(self.granted, self.short_outage_limit)
        return covered + self.transferred_in - self.used


def tokens_retry_s(outage_s: float) -> float:
    """Return when a caller that got no tokens has a good chance of some.

    Early in an outage of the log ceilings bind, and most allotments have
    tokens beyond them. Later, an outage that has lasted for some time lasts
    about as long again. Callers may have one retry only.

    Parameters
    ----------
    outage_s : float
        Time since the log last answered.
    """
    if outage_s < _RESPONSIVE_S:
        return _GRANT_RETRY_S
    if outage_s < OUTAGE_S:
        return max(_GRANT_RETRY_S, OUTAGE_S - outage_s)
    return min(_MAX_RETRY_S, outage_s)


class Allotments:
    """Part of each budget that one router owns.

    Parameters
    ----------
    holder : str
        Unique to this start of the router.
    accounts : EscrowAccounts
    """

    __slots__ = (
        '_accounts',
        '_allotments',
        '_heartbeat_ms',
        '_holder',
        '_reservations',
        'routers',
    )

    def __init__(self, holder: str, accounts: EscrowAccounts) -> None:
        self._holder = holder
        self._accounts = accounts
        self._allotments: dict[str, _LocalAllotment] = {}
        self._heartbeat_ms: int | None = None
        # Requests that wait until a ceiling no longer binds.
        self._reservations = 0
        # Live routers, this one included.
        self.routers = 1

    def set_limit(self, organisation: str, tokens: int | None) -> None:
        """Take the budget of an organisation; None is unlimited."""
        self._allotment(organisation).limit = tokens

    def in_outage(self, boot_ms: int) -> bool:
        """Whether ceilings no longer bind."""
        return self._heartbeat_age_s(boot_ms) >= OUTAGE_S

    def in_long_outage(self, boot_ms: int) -> bool:
        """Whether all that is owned may be used."""
        return self._heartbeat_age_s(boot_ms) >= LONG_OUTAGE_S

    def _heartbeat_age_s(self, boot_ms: int) -> float:
        if self._heartbeat_ms is None:
            return 0.0
        return (boot_ms - self._heartbeat_ms) / 1000

    def reserve_above_ceiling(
        self, organisation: str, tokens: int, boot_ms: int
    ) -> float | None:
        """Keep tokens beyond the ceiling for a request that waits.

        The caller calls `release_reservation` before it tries to hold them.

        Returns
        -------
        float or None
            Seconds to wait, until the ceiling no longer binds or longer;
            None if the next limit leaves no such tokens, or no ceiling binds.
        """
        if self._heartbeat_ms is None or self.in_outage(boot_ms):
            return None
        allotment = self._allotment(organisation)
        if allotment.free_tokens_in_short_outage - allotment.reserved < tokens:
            return None
        allotment.reserved += tokens
        bound_s = OUTAGE_S - (boot_ms - self._heartbeat_ms) / 1000
        wait_s = bound_s + self._reservations * _RESERVATION_INTERVAL_S
        self._reservations += 1
        return wait_s

    def release_reservation(self, organisation: str, tokens: int) -> None:
        """End a promise."""
        allotment = self._allotment(organisation)
        assert allotment.reserved >= tokens, (allotment.reserved, tokens)
        allotment.reserved -= tokens
        self._reservations -= 1

    def hold(
        self, organisation: str, tokens: int, boot_ms: int
    ) -> Hold | None:
        """Set tokens aside, if the allotment has them."""
        allotment = self._allotment(organisation)
        limited = allotment.limit is not None
        if limited and self._free_tokens(allotment, boot_ms) < tokens:
            return None
        allotment.used += tokens
        allotment.recent_use += tokens
        return Hold(organisation, tokens)

    def free_tokens(self, organisation: str, boot_ms: int) -> int:
        """Return the tokens that a request may take now."""
        return self._free_tokens(self._allotment(organisation), boot_ms)

    def charge(self, hold: Hold, spent_tokens: int) -> None:
        """Replace a hold by what the request consumed."""
        assert not hold.charged, 'hold settled twice'
        assert 0 <= spent_tokens <= hold.tokens, spent_tokens
        hold.charged = True
        allotment = self._allotment(hold.organisation)
        allotment.used -= hold.tokens - spent_tokens

    def transfer_out(
        self, organisation: str, tokens: int, share: float, boot_ms: int
    ) -> int:
        """Give tokens to another router, whose row does not count them.

        Parameters
        ----------
        organisation : str
        tokens : int
            Wanted.
        share : float
            Part of the free tokens that is given at most.
        boot_ms : int

        Returns
        -------
        int
            Tokens that this router no longer owns.
        """
        allotment = self._allotments.get(organisation)
        if allotment is None or allotment.limit is None or tokens <= 0:
            return 0
        free = self._free_tokens(allotment, boot_ms)
        transferred = min(tokens, int(free * share))
        if transferred < _MIN_TRANSFER_TOKENS:
            return 0
        allotment.used += transferred
        return transferred

    def transfer_in(self, organisation: str, tokens: int) -> None:
        """Take tokens that another router gave up."""
        assert tokens >= 0, tokens
        self._allotment(organisation).transferred_in += tokens

    def add_demand(self, organisation: str, tokens: int) -> None:
        """Note that a request waits for this many tokens."""
        self._allotment(organisation).demand += tokens

    def shortage(self, organisation: str, tokens: int) -> int:
        """Return how much to ask other routers for.

        Includes what this router uses in a second, so that each request does
        not ask anew.
        """
        allotment = self._allotment(organisation)
        return max(
            0, tokens + int(allotment.rate_per_s) - allotment.owned_free_tokens
        )

    def needs_peer_tokens(self, organisation: str, tokens: int) -> bool:
        """Whether nobody but other routers owns what a request needs."""
        allotment = self._allotment(organisation)
        if allotment.limit is None:
            return False
        unowned = self._unowned(organisation, allotment)
        return allotment.owned_free_tokens + unowned < tokens

    def is_exhausted(
        self, organisation: str, tokens: int, others: Iterable[str]
    ) -> bool:
        """Whether the budget does not cover a request.

        Rows may add up to more than the budget for a moment, when several
        routers ask at once; that says nothing about its use.

        Parameters
        ----------
        organisation : str
        tokens : int
        others : iterable of str
            Holders of the other live routers.
        """
        allotment = self._allotment(organisation)
        if allotment.limit is None:
            return False
        available = allotment.owned_free_tokens
        available += max(0, self._unowned(organisation, allotment))
        available += sum(
            self.idle_tokens(organisation, holder) for holder in others
        )
        return available < tokens

    def idle_tokens(self, organisation: str, holder: str) -> int:
        """Return what another router owns beyond its ceiling."""
        account, _ = self._accounts.account(organisation, holder)
        return max(0, account.owned - account.ceiling)

    def account_offset(self, organisation: str, holder: str) -> int:
        """Return the offset of a router's row; -1 if it has none."""
        _, offset = self._accounts.account(organisation, holder)
        return offset

    def update_rates(self, elapsed_s: float) -> None:
        """Update the rates of consumption."""
        for organisation, allotment in self._allotments.items():
            rate = allotment.recent_use / elapsed_s
            allotment.rate_per_s += _RATE_WEIGHT * (
                rate - allotment.rate_per_s
            )
            allotment.recent_use = 0
            fleet_ceiling = self._accounts.total_ceiling(organisation)
            rise = max(0, fleet_ceiling - allotment.fleet_ceiling) / elapsed_s
            allotment.fleet_rate_per_s += _RATE_WEIGHT * (
                rise - allotment.fleet_rate_per_s
            )
            allotment.fleet_ceiling = fleet_ceiling

    def collect_changes(
        self, reading: ClockReading
    ) -> dict[str, EscrowAccount]:
        """Decide which rows to write.

        Parameters
        ----------
        reading : ClockReading
            Now; appended with the rows.

        Returns
        -------
        dict of str to EscrowAccount
            The caller appends all of them and then calls `confirm_written`.
        """
        self._heartbeat_ms = reading.boot_ms
        accounts = {}
        for organisation, allotment in self._allotments.items():
            if allotment.limit is None:
                continue
            account = self._next_account(organisation, allotment)
            if account == allotment.last_appended:
                continue
            allotment.raise_pending = (
                allotment.raise_pending or account.owned > allotment.granted
            )
            # What is given back is not owned from now on.
            allotment.granted = min(allotment.granted, account.owned)
            allotment.ceiling = min(allotment.ceiling, account.ceiling)
            allotment.short_outage_limit = min(
                allotment.short_outage_limit, account.short_outage_limit
            )
            allotment.last_appended = account
            accounts[organisation] = account
        return accounts

    def confirm_written(self, accounts: dict[str, EscrowAccount]) -> None:
        """Take that the log has acknowledged rows."""
        for organisation, account in accounts.items():
            allotment = self._allotments[organisation]
            allotment.ceiling = account.ceiling
            allotment.short_outage_limit = account.short_outage_limit

    def decide_raises(self, offset: int) -> list[tuple[str, int, bool]]:
        """Decide the raises whose records have been folded.

        Parameters
        ----------
        offset : int
            End of a consistent state of the rows.

        Returns
        -------
        list of (str, int, bool)
            Organisation, tokens, whether they were granted.
        """
        decided = []
        for organisation, allotment in self._allotments.items():
            if not allotment.raise_pending:
                continue
            account, account_offset = self._accounts.account(
                organisation, self._holder
            )
            if (
                account != allotment.last_appended
                or not 0 <= account_offset < offset
            ):
                continue
            assert allotment.limit is not None
            granted = (
                self._accounts.total_owned(organisation) <= allotment.limit
            )
            raised = account.owned - allotment.granted
            allotment.raise_pending = False
            # Requests that still wait ask again.
            allotment.demand = 0
            if granted:
                allotment.granted = account.owned
            decided.append((organisation, raised, granted))
        return decided

    def release_all(self, reading: ClockReading) -> dict[str, EscrowAccount]:
        """Give back what is free, when the router stops.

        Returns
        -------
        dict of str to EscrowAccount
            As from `collect_changes`.
        """
        self._heartbeat_ms = reading.boot_ms
        accounts = {}
        for organisation, allotment in self._allotments.items():
            if allotment.raise_pending:
                continue
            owned = allotment.local_use
            account = EscrowAccount(owned, owned)
            if account != allotment.last_appended:
                allotment.granted = allotment.ceiling = owned
                allotment.short_outage_limit = owned
                allotment.last_appended = account
                accounts[organisation] = account
        return accounts

    def balances(self) -> dict[str, tuple[int, int, int | None]]:
        """Return owned and used tokens and budget by organisation."""
        return {
            name: (
                allotment.granted + allotment.transferred_in,
                allotment.used,
                limit,
            )
            for name, allotment in self._allotments.items()
            if (limit := allotment.limit) is not None
        }

    def _allotment(self, organisation: str) -> _LocalAllotment:
        allotment = self._allotments.get(organisation)
        if allotment is None:
            allotment = self._allotments[organisation] = _LocalAllotment()
        return allotment

    def _free_tokens(self, allotment: _LocalAllotment, boot_ms: int) -> int:
        if self.in_long_outage(boot_ms):
            return allotment.owned_free_tokens - allotment.reserved
        if self.in_outage(boot_ms):
            return allotment.free_tokens_in_short_outage - allotment.reserved
        return allotment.free_tokens_below_ceiling

    def _unowned(self, organisation: str, allotment: _LocalAllotment) -> int:
        assert allotment.limit is not None
        # A row that is not decided or was denied is not owned.
        excess = max(0, allotment.last_appended.owned - allotment.granted)
        account, _ = self._accounts.account(organisation, self._holder)
        if account != allotment.last_appended:
            excess = 0
        return (
            allotment.limit - self._accounts.total_owned(organisation) + excess
        )

    def _next_account(
        self, organisation: str, allotment: _LocalAllotment
    ) -> EscrowAccount:
        if allotment.raise_pending:
            return allotment.last_appended
        state = self._budget_state(organisation, allotment)
        owned = allotment.granted
        # A raise that was denied is corrected before another.
        if allotment.last_appended.owned <= owned:
            owned += owned_change(state, f'{organisation}/{self._holder}')
        applied, _ = self._accounts.account(organisation, self._holder)
        if applied != allotment.last_appended:
            # A raise must not be decided by an older record, so the last
            # change is folded before it.
            owned = min(owned, allotment.granted)
        ceiling = next_ceiling(
            state,
            owned=owned,
            local_use=allotment.local_use,
            ceiling=allotment.last_appended.ceiling,
        )
        allotment.demand = 0
        return EscrowAccount(owned, ceiling)

    def _budget_state(
        self, organisation: str, allotment: _LocalAllotment
    ) -> BudgetState:
        assert allotment.limit is not None
        account, _ = self._accounts.account(organisation, self._holder)
        owned = self._accounts.total_owned(organisation) - account.owned
        fleet_ceiling = self._accounts.total_ceiling(organisation)
        used = (
            allotment.last_appended.ceiling / fleet_ceiling
            if fleet_ceiling > 0
            else 0.0
        )
        return BudgetState(
            limit=allotment.limit,
            unowned=max(0, self._unowned(organisation, allotment)),
            idle_elsewhere=max(0, owned - (fleet_ceiling - account.ceiling)),
            free_tokens=allotment.owned_free_tokens,
            demand=allotment.demand,
            rate_per_s=allotment.rate_per_s,
            fleet_rate_per_s=allotment.fleet_rate_per_s,
            ceiling_share=min(1.0, max(0.0, used)),
            routers=self.routers,
        )
