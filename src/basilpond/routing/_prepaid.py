"""Prepaid token budgets, divided between routers through a shared log.

Each router process (a holder) has one escrow account per organisation. It
states the cumulative number of tokens that the holder may ever consume. The
newest record of an account is its complete state, so no snapshots are needed
and a router may start reading from these records at any time.

To obtain tokens, a holder raises its account: it appends a record with a
higher value. It may use the difference once it has read a consistent state of
the log, at or after its own record, in which the accounts of the organisation
add up to at most the budget. To return tokens, it lowers its local allotment
first and its account afterwards. A holder therefore never owns more than its
account states, and the sum of the grants never exceeds the budget, whatever
is lost, delayed or paused.

Allotments are large, to last through an outage of the log, and must not be
lost with a router that is killed. Each account therefore has a ceiling, too:
while the log responds, a router consumes tokens up to the ceiling only, and
raises the ceiling ahead of its use, or with the next record if a request needs
more. `OUTAGE_S` after its heartbeat, the clock reading of the last record that
it composed, the tokens above the ceiling become usable, one after the other
until `RELEASE_S` later. If the clocks prove that the holder ended within some
time of the heartbeat in the log, it never consumed more than the limit at that
time, and the next process on the same machine reduces its account to the
limit. The limit is computed from the account alone. A router obeys the lowest
ceiling and the lowest owned tokens of all of its records that may be the
newest in the log.

Tokens below the ceiling of a killed router, and those that had become usable,
are lost to all callers. Its successor estimates them in a record, and the more
have been lost, the smaller are the leads of the ceilings and the allotments
without use. However many routers are killed while the log responds, and
however often, they lose less than the part of a budget that need not be usable
if they are back within `OUTAGE_S`.

A log that is restored from a copy loses what it had acknowledged. Each change
of an account therefore has a revision, the newest known revision counts
whether or not the log contains it, and a raise that the log grants is used
only once another router has stated that it knows of it, or had the time to
read it. After a restore, raises are decided again only when the routers that
remember the accounts have written them; see `EraRecovery`.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

from ._allotment_sizes import BudgetState
from ._allotment_sizes import next_ceiling
from ._allotment_sizes import owned_change
from ._escrow_accounts import EMPTY_ACCOUNT
from ._escrow_accounts import OUTAGE_S
from ._escrow_accounts import RELEASE_S
from ._escrow_accounts import ClockReading
from ._escrow_accounts import EscrowAccount
from ._escrow_accounts import EscrowAccounts
from ._lost_tokens import LostTokens
from ._rewrite_limit import RewriteLimit

# Interval at which requests that wait for the same ceiling to end are resumed.
# Prompts that reach the endpoints together delay all other requests there.
_RESERVATION_INTERVAL_S = 0.25
# Interval at which reports of other routers' tokens expire in an outage, as
# further tokens have become usable there.
_RELEASE_STEP_S = 1.0
# Longest wait for tokens above the ceiling. A caller that is refused instead
# finds another router, which may own more.
_MAX_RESERVATION_S = 3.0
# If the log last responded less than this time ago, tokens are usually granted
# within `_GRANT_RETRY_S`: a read of the log waits for 0.3 s at most.
_RESPONSIVE_S = 0.4
_GRANT_RETRY_S = 0.5
# Upper bound on the retry time, as the outage may end earlier.
_MAX_RETRY_S = 4.0
# Smaller transfers do not cover any request: the smallest prompts of the sites
# take 200 tokens, and several routers transfer tokens at the same time.
_MIN_TRANSFER_TOKENS = 32
# Weight of the newest interval in the moving averages of the rates.
_RATE_WEIGHT = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class Hold:
    """Tokens held for one request.

    Parameters
    ----------
    organisation : str
    tokens : int
        Upper bound on what the request consumes.
    charged : bool
        Whether the hold was replaced by the actual consumption.
    """

    organisation: str
    tokens: int
    charged: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Tokens above the ceiling for a request that waits for them.

    Parameters
    ----------
    organisation : str
    tokens : int
        Upper bound on what the request consumes.
    wait_s : float
        Time until the tokens are usable.
    """

    organisation: str
    tokens: int
    wait_s: float


@dataclasses.dataclass(slots=True)
class _LocalAllotment:
    # Cumulative tokens granted to this router by the log.
    granted: int = 0
    # Limits last acknowledged by the log, or lower ones appended since.
    ceiling: int = 0
    owned_limit: int = 0
    # Received from other routers, whose accounts still include these tokens.
    transferred_in: int = 0
    # Spent, held for requests in progress, or transferred to other routers.
    used: int = 0
    # Newest account that was appended or is being appended.
    last_appended: EscrowAccount = EMPTY_ACCOUNT
    # Whether the newest account requests more tokens and is not decided yet.
    raise_pending: bool = False
    # Whether the log granted the pending raise, which no other router knows.
    granted_by_log: bool = False
    # Sum of the token bounds of the requests that wait for tokens.
    demand: int = 0
    # Of requests that wait until tokens above the ceiling are usable, in the
    # order in which they get them.
    reservations: list[Reservation] = dataclasses.field(default_factory=list)
    # Tokens held per second (moving average), and since the last update.
    rate_per_s: float = 0.0
    recent_use: int = 0
    # Consumption of the fleet, estimated by the rise of the sum of all
    # ceilings, as ceilings follow the use.
    fleet_rate_per_s: float = 0.0
    fleet_ceiling: int = 0
    # Budget of the organisation; None is unlimited.
    limit: int | None = None

    @property
    def local_use(self) -> int:
        """Use that this router's account in the log has to cover.

        Negative while tokens received from other routers remain unused. The
        account becomes negative, too, when they are returned.
        """
        return self.used - self.transferred_in

    def reserved_before(self, reservation: Reservation | None) -> int:
        """Tokens reserved before a reservation, or all of them for None."""
        earlier = itertools.takewhile(
            lambda other: other is not reservation, self.reservations
        )
        return sum(other.tokens for other in earlier)

    @property
    def owned_free_tokens(self) -> int:
        return self.granted + self.transferred_in - self.used

    def free_tokens_after(self, age_s: float) -> int:
        """Tokens that may be used at an age of the last heartbeat."""
        limits = EscrowAccount(self.owned_limit, self.ceiling)
        covered = min(self.granted, limits.limit_after(age_s))
        return covered + self.transferred_in - self.used

    def time_until_free_s(self, tokens: int) -> float | None:
        """Age of the last heartbeat from which tokens may be used.

        None if this router does not own them.
        """
        missing = tokens - self.free_tokens_after(0.0)
        above_ceiling = min(self.granted, self.owned_limit) - self.ceiling
        if missing > above_ceiling:
            return None
        if missing <= 0:
            return 0.0
        share = missing / max(1, self.owned_limit - self.ceiling)
        return OUTAGE_S + RELEASE_S * share


def tokens_retry_s(outage_s: float) -> float:
    """Return after how many seconds a caller refused for tokens should retry.

    Callers may have only one retry, so the time is chosen for a good chance
    of getting tokens. Early in an outage of the log, ceilings apply, and most
    allotments have tokens above them, so the caller should retry when they
    cease to apply. Later, an outage is expected to last about as long again
    as it has lasted.

    Parameters
    ----------
    outage_s : float
        Time since the log last responded.

    Returns
    -------
    float
        Seconds.
    """
    if outage_s < _RESPONSIVE_S:
        return _GRANT_RETRY_S
    if outage_s < OUTAGE_S:
        return max(_GRANT_RETRY_S, OUTAGE_S - outage_s)
    return min(_MAX_RETRY_S, outage_s)


class Allotments:
    """Parts of the prepaid budgets that one router owns.

    The argument `boot_ms` of the methods is the present time by the machine's
    clock that counts suspended time, as in `ClockReading.boot_ms`.

    Parameters
    ----------
    holder : str
        Identifier of this router process, unique to each start.
    accounts : EscrowAccounts
        State of the accounts in the log, kept up to date by the caller.
    """

    __slots__ = (
        '_accounts',
        '_allotments',
        '_first_turn',
        '_heartbeat_ms',
        '_holder',
        '_limits_confirmed',
        '_reservations',
        '_rewrite_limit',
        'lost',
        'routers',
    )

    def __init__(self, holder: str, accounts: EscrowAccounts) -> None:
        self._holder = holder
        self._accounts = accounts
        self._allotments: dict[str, _LocalAllotment] = {}
        self._heartbeat_ms: int | None = None
        # Number of requests that wait until a ceiling no longer applies.
        self._reservations = 0
        self._rewrite_limit = RewriteLimit()
        # Advances with each round of changes.
        self._first_turn = 0
        # Number of live routers, including this one.
        self.routers = 1
        self._limits_confirmed = False
        self.lost = LostTokens()

    def set_limit(self, organisation: str, tokens: int | None) -> None:
        """Set the budget of an organisation; None is unlimited."""
        self._allotment(organisation).limit = tokens

    def confirm_limits(self) -> None:
        """Record that the budgets of a configuration have been set."""
        self._limits_confirmed = True

    @property
    def has_limits(self) -> bool:
        """Whether the budgets of a configuration have been set."""
        # A configuration may have no organisations.
        return self._limits_confirmed or bool(self._allotments)

    def in_outage(self, boot_ms: int) -> bool:
        """Whether ceilings no longer apply, after `OUTAGE_S`."""
        return self._heartbeat_age_s(boot_ms) >= OUTAGE_S

    def releases_tokens(self, boot_ms: int) -> bool:
        """Whether further owned tokens become usable while the log is away."""
        return self._heartbeat_age_s(boot_ms) < OUTAGE_S + RELEASE_S

    def released_steps(self, boot_ms: int) -> int:
        """Return how often further tokens became usable in this outage.

        0 while ceilings apply, and one more for each `_RELEASE_STEP_S` since.
        """
        age_s = min(self._heartbeat_age_s(boot_ms), OUTAGE_S + RELEASE_S)
        if age_s < OUTAGE_S:
            return 0
        return 1 + int((age_s - OUTAGE_S) / _RELEASE_STEP_S)

    def _heartbeat_age_s(self, boot_ms: int) -> float:
        if self._heartbeat_ms is None:
            return 0.0
        return (boot_ms - self._heartbeat_ms) / 1000

    def reserve_above_ceiling(
        self, organisation: str, tokens: int, boot_ms: int
    ) -> Reservation | None:
        """Reserve tokens above the ceiling for a request that can wait.

        Parameters
        ----------
        organisation : str
        tokens : int
            Upper bound on what the request consumes.
        boot_ms : int

        Returns
        -------
        Reservation or None
            The caller has to end it with `release_reservation`. None if this
            router does not own the tokens, or if the wait is longer than
            `_MAX_RESERVATION_S`.
        """
        if self._heartbeat_ms is None:
            return None
        allotment = self._allotment(organisation)
        wait_s = self._usable_in_s(
            allotment, tokens + allotment.reserved_before(None), boot_ms
        )
        age_s = self._heartbeat_age_s(boot_ms)
        if age_s < OUTAGE_S and wait_s is not None:
            ceiling_end_s = OUTAGE_S - age_s
            ceiling_end_s += self._reservations * _RESERVATION_INTERVAL_S
            wait_s = max(wait_s, ceiling_end_s)
        if wait_s is None or wait_s > _MAX_RESERVATION_S:
            return None
        reservation = Reservation(organisation, tokens, wait_s)
        allotment.reservations.append(reservation)
        self._reservations += 1
        return reservation

    def release_reservation(self, reservation: Reservation) -> None:
        """End a reservation, whether or not its tokens were used."""
        allotment = self._allotment(reservation.organisation)
        allotment.reservations.remove(reservation)
        self._reservations -= 1

    def hold_reserved(
        self, reservation: Reservation, boot_ms: int
    ) -> Hold | None:
        """Hold the tokens of a reservation, if they are usable.

        Otherwise the reservation's `wait_s` is the remaining time, from 0 on
        if other requests have used tokens that it counted on.
        """
        organisation, tokens = reservation.organisation, reservation.tokens
        allotment = self._allotment(organisation)
        before = allotment.reserved_before(reservation)
        age_s = self._heartbeat_age_s(boot_ms)
        if allotment.free_tokens_after(age_s) - before >= tokens:
            return self._hold(allotment, organisation, tokens)
        wait_s = self._usable_in_s(allotment, tokens + before, boot_ms)
        reservation.wait_s = float('inf') if wait_s is None else wait_s
        return None

    def _usable_in_s(
        self, allotment: _LocalAllotment, tokens: int, boot_ms: int
    ) -> float | None:
        until_age_s = allotment.time_until_free_s(tokens)
        if until_age_s is None:
            return None
        return max(0.0, until_age_s - self._heartbeat_age_s(boot_ms))

    def hold(
        self, organisation: str, tokens: int, boot_ms: int
    ) -> Hold | None:
        """Hold tokens for a request, if enough of them are free.

        Parameters
        ----------
        organisation : str
        tokens : int
            Upper bound on what the request consumes.
        boot_ms : int

        Returns
        -------
        Hold or None
            None if too few tokens are free. Unlimited organisations always
            get a hold.
        """
        allotment = self._allotment(organisation)
        limited = allotment.limit is not None
        if limited and self._free_tokens(allotment, boot_ms) < tokens:
            return None
        return self._hold(allotment, organisation, tokens)

    @staticmethod
    def _hold(
        allotment: _LocalAllotment, organisation: str, tokens: int
    ) -> Hold:
        allotment.used += tokens
        allotment.recent_use += tokens
        return Hold(organisation, tokens)

    def free_tokens(self, organisation: str, boot_ms: int) -> int:
        """Return the tokens that requests may hold now."""
        return self._free_tokens(self._allotment(organisation), boot_ms)

    def charge(self, hold: Hold, spent_tokens: int) -> None:
        """Replace a hold by the tokens that the request consumed.

        Parameters
        ----------
        hold : Hold
        spent_tokens : int
            At most the tokens of the hold; the rest becomes free again.
        """
        assert not hold.charged, 'hold charged twice'
        assert 0 <= spent_tokens <= hold.tokens, spent_tokens
        hold.charged = True
        allotment = self._allotment(hold.organisation)
        allotment.used -= hold.tokens - spent_tokens

    def transfer_out(
        self, organisation: str, tokens: int, share: float, boot_ms: int
    ) -> int:
        """Transfer tokens to another router without a record in the log.

        The tokens count as used here, and this router's account continues to
        include them; the account of the receiver does not.

        Parameters
        ----------
        organisation : str
        tokens : int
            Tokens requested by the other router.
        share : float
            Largest part of the free tokens to transfer, from 0 to 1.
        boot_ms : int

        Returns
        -------
        int
            Tokens transferred; 0 if fewer than `_MIN_TRANSFER_TOKENS`.
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
        """Add tokens that another router transferred to this one."""
        assert tokens >= 0, tokens
        self._allotment(organisation).transferred_in += tokens

    def add_demand(self, organisation: str, tokens: int) -> None:
        """Record that a request waits for this many tokens."""
        self._allotment(organisation).demand += tokens

    def shortage(self, organisation: str, tokens: int) -> int:
        """Return how many tokens to request from other routers.

        Includes the consumption of this router in one second, so that not
        every request has to obtain tokens from other routers anew.

        Parameters
        ----------
        organisation : str
        tokens : int
            Upper bound on what the waiting request consumes.
        """
        allotment = self._allotment(organisation)
        return max(
            0, tokens + int(allotment.rate_per_s) - allotment.owned_free_tokens
        )

    def needs_peer_tokens(self, organisation: str, tokens: int) -> bool:
        """Whether only other routers can provide the tokens of a request.

        True if the tokens owned here and those that no account owns do not
        cover the request.
        """
        allotment = self._allotment(organisation)
        if allotment.limit is None:
            return False
        unowned = self._unowned(organisation, allotment)
        return allotment.owned_free_tokens + unowned < tokens

    def is_exhausted(
        self, organisation: str, tokens: int, others: Iterable[str]
    ) -> bool:
        """Whether the remaining budget does not cover a request.

        When several routers raise their accounts at the same time, these may
        briefly add up to more than the budget. This does not mean that the
        budget is spent.

        Parameters
        ----------
        organisation : str
        tokens : int
            Upper bound on what the request consumes.
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
        """Return the tokens that another router owns above its ceiling."""
        account, _ = self._accounts.account(organisation, holder)
        return max(0, account.owned - account.ceiling)

    def account_offset(self, organisation: str, holder: str) -> int:
        """Return the log offset of a router's account; -1 if it has none."""
        _, offset = self._accounts.account(organisation, holder)
        return offset

    def update_rates(self, elapsed_s: float) -> None:
        """Update the moving averages of the rates of consumption.

        Parameters
        ----------
        elapsed_s : float
            Time since the last call.
        """
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
        self, reading: ClockReading, *, rewrite_all: bool = False
    ) -> dict[str, EscrowAccount]:
        """Return the changed accounts that have to be appended to the log.

        Raises of the ceilings apply once `confirm_written` is called, raises
        of the owned tokens once `decide_raises` grants them. Reductions apply
        immediately.

        Parameters
        ----------
        reading : ClockReading
            Present time; appended with the accounts as the heartbeat.
        rewrite_all : bool
            Whether to return unchanged accounts, too, as the log may have lost
            them.

        Returns
        -------
        dict of str to EscrowAccount
            By organisation. The caller appends all of them and then calls
            `confirm_written`.
        """
        self._heartbeat_ms = reading.boot_ms
        self._rewrite_limit.refill(
            routers=self.routers, boot_ms=reading.boot_ms
        )
        accounts = {}
        for organisation, allotment in self._by_urgency():
            has_demand = allotment.demand > 0
            account = self._next_account(organisation, allotment)
            if account == allotment.last_appended:
                if rewrite_all and account.revision:
                    accounts[organisation] = account
                continue
            if not has_demand and not self._rewrite_limit.try_take():
                if not rewrite_all:
                    break
                if allotment.last_appended.revision:
                    accounts[organisation] = allotment.last_appended
                continue
            allotment.raise_pending = (
                allotment.raise_pending or account.owned > allotment.granted
            )
            # Tokens to be returned may not be used from now on.
            allotment.granted = min(allotment.granted, account.owned)
            allotment.ceiling = min(allotment.ceiling, account.ceiling)
            allotment.owned_limit = min(allotment.owned_limit, account.owned)
            allotment.last_appended = account
            accounts[organisation] = account
        return accounts

    def _by_urgency(self) -> Iterator[tuple[str, _LocalAllotment]]:
        # Allotments for which requests wait come first. The others take
        # turns: with a fixed order, the limit on rewrites would let the first
        # ones change and the last ones never.
        limited = [
            item
            for item in self._allotments.items()
            if item[1].limit is not None
        ]
        self._first_turn += 1
        start = self._first_turn % max(1, len(limited))
        turns = [*limited[start:], *limited[:start]]
        # Sorting is stable, so turns are kept among the others.
        yield from sorted(turns, key=lambda item: not item[1].demand)

    def confirm_written(self, accounts: dict[str, EscrowAccount]) -> None:
        """Record that the log has acknowledged accounts.

        Parameters
        ----------
        accounts : dict of str to EscrowAccount
            From `collect_changes`.
        """
        for organisation, account in accounts.items():
            allotment = self._allotments[organisation]
            allotment.ceiling = account.ceiling
            allotment.owned_limit = account.owned

    def decide_raises(self, offset: int) -> list[tuple[str, int, bool]]:
        """Decide the raises whose records have been applied.

        A raise is granted if all accounts of the organisation add up to at
        most its budget. Its tokens may be used once `confirm_raise` is called.

        Parameters
        ----------
        offset : int
            Log offset after the last record applied; the accounts have to be
            a consistent state of the log up to there.

        Returns
        -------
        list of (str, int, bool)
            Organisation, tokens, and whether they were granted.
        """
        decided = []
        for organisation, allotment in self._allotments.items():
            if not allotment.raise_pending or allotment.granted_by_log:
                continue
            if allotment.limit is None:
                # A configuration has taken the budget away. The raise is
                # decided if it gets one again.
                continue
            account, account_offset = self._accounts.account(
                organisation, self._holder
            )
            if (
                account != allotment.last_appended
                or not 0 <= account_offset < offset
            ):
                continue
            granted = (
                self._accounts.total_owned(organisation) <= allotment.limit
            )
            raised = account.owned - allotment.granted
            allotment.granted_by_log = granted
            allotment.raise_pending = granted
            # Requests that still wait add their demand again.
            allotment.demand = 0
            decided.append((organisation, raised, granted))
        return decided

    def raises_to_confirm(self) -> dict[str, EscrowAccount]:
        """Return the accounts whose raises the log granted.

        Other routers have to know of them before their tokens are used, as
        the log may lose its records.
        """
        return {
            organisation: allotment.last_appended
            for organisation, allotment in self._allotments.items()
            if allotment.granted_by_log
        }

    def confirm_raise(self, organisation: str, revision: int) -> bool:
        """Use the tokens of a raise that the log granted.

        Parameters
        ----------
        organisation : str
        revision : int
            Of the account that was raised.

        Returns
        -------
        bool
            Whether this raise was waiting to be confirmed.
        """
        allotment = self._allotments.get(organisation)
        if (
            allotment is None
            or not allotment.granted_by_log
            or allotment.last_appended.revision != revision
        ):
            return False
        allotment.granted = allotment.last_appended.owned
        allotment.granted_by_log = allotment.raise_pending = False
        return True

    def revoke_unconfirmed_raises(self) -> None:
        """Decide granted raises again that are not confirmed yet.

        Called when the log may have lost records: their grants followed from
        a state of the log that no longer exists.
        """
        for allotment in self._allotments.values():
            allotment.granted_by_log = False

    def release_all(
        self, reading: ClockReading, *, rewrite_all: bool = False
    ) -> dict[str, EscrowAccount]:
        """Return all free tokens to the budgets when the router stops.

        Allotments with a pending raise keep their tokens.

        Parameters
        ----------
        reading : ClockReading
            Present time; appended with the accounts as the heartbeat.
        rewrite_all : bool
            Whether to return unchanged accounts, too, as the log may have lost
            them.

        Returns
        -------
        dict of str to EscrowAccount
            Accounts to append, as from `collect_changes`.
        """
        self._heartbeat_ms = reading.boot_ms
        accounts = {}
        for organisation, allotment in self._allotments.items():
            owned = allotment.local_use
            last = allotment.last_appended
            unchanged = (last.owned, last.ceiling) == (owned, owned)
            if allotment.raise_pending or unchanged:
                if rewrite_all and last.revision:
                    accounts[organisation] = last
            else:
                account = EscrowAccount(owned, owned, last.revision + 1)
                allotment.granted = allotment.ceiling = owned
                allotment.owned_limit = owned
                allotment.last_appended = account
                accounts[organisation] = account
        return accounts

    @property
    def has_pending_raises(self) -> bool:
        """Whether the log has yet to decide a raise of this router."""
        return any(
            allotment.raise_pending for allotment in self._allotments.values()
        )

    def balances(self) -> dict[str, tuple[int, int, int | None]]:
        """Return owned tokens, used tokens and budget by organisation.

        Organisations without a budget are left out.
        """
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
        age_s = self._heartbeat_age_s(boot_ms)
        free = allotment.free_tokens_after(age_s)
        if age_s < OUTAGE_S:
            return free
        return free - allotment.reserved_before(None)

    def _unowned(self, organisation: str, allotment: _LocalAllotment) -> int:
        assert allotment.limit is not None
        # The part of an account that is pending or was rejected is not owned.
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
        # A rejected raise is withdrawn before another is requested.
        if allotment.last_appended.owned <= owned:
            owned += owned_change(state, f'{organisation}/{self._holder}')
        applied, _ = self._accounts.account(organisation, self._holder)
        if applied != allotment.last_appended:
            # A raise must not be decided by an older record of the same
            # value, so the last change has to be applied before a raise.
            owned = min(owned, allotment.granted)
        ceiling = next_ceiling(
            state,
            owned=owned,
            local_use=allotment.local_use,
            ceiling=allotment.last_appended.ceiling,
        )
        allotment.demand = 0
        if (owned, ceiling) == (
            allotment.last_appended.owned,
            allotment.last_appended.ceiling,
        ):
            return allotment.last_appended
        revision = allotment.last_appended.revision + 1
        return EscrowAccount(owned, ceiling, revision)

    def _budget_state(
        self, organisation: str, allotment: _LocalAllotment
    ) -> BudgetState:
        assert allotment.limit is not None
        account, _ = self._accounts.account(organisation, self._holder)
        owned_elsewhere = (
            self._accounts.total_owned(organisation) - account.owned
        )
        fleet_ceiling = self._accounts.total_ceiling(organisation)
        ceiling_share = (
            allotment.last_appended.ceiling / fleet_ceiling
            if fleet_ceiling > 0
            else 0.0
        )
        return BudgetState(
            limit=allotment.limit,
            unowned=max(0, self._unowned(organisation, allotment)),
            idle_elsewhere=max(
                0, owned_elsewhere - (fleet_ceiling - account.ceiling)
            ),
            free_tokens=allotment.owned_free_tokens,
            demand=allotment.demand,
            rate_per_s=allotment.rate_per_s,
            fleet_rate_per_s=allotment.fleet_rate_per_s,
            ceiling_share=min(1.0, max(0.0, ceiling_share)),
            routers=self.routers,
            lost=self.lost.total(organisation),
        )

    def tokens_left_by(
        self,
        organisation: str,
        account: EscrowAccount,
        owned: int,
        *,
        routers: int,
    ) -> int:
        """Estimate the tokens that a killed router has left unused.

        Parameters
        ----------
        organisation : str
        account : EscrowAccount
            Last account of the router.
        owned : int
            Tokens that the account keeps now that its holder has ended.
        routers : int
            Number of routers that lived beside it.

        Returns
        -------
        int
            The most by which its ceiling exceeded its use, and what the
            account keeps above the ceiling.
        """
        allotment = self._allotment(organisation)
        if allotment.limit is None:
            return 0
        fleet_ceiling = max(1, self._accounts.total_ceiling(organisation))
        state = dataclasses.replace(
            self._budget_state(organisation, allotment),
            ceiling_share=min(1.0, max(0.0, account.ceiling / fleet_ceiling)),
            routers=routers,
        )
        lead = min(int(state.max_lead), max(0, account.ceiling))
        return lead + max(0, owned - account.ceiling)
