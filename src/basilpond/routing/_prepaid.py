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

from ._allotment_rows import LONG_OUTAGE_S
from ._allotment_rows import NO_ROW
from ._allotment_rows import OUTAGE_S
from ._allotment_rows import AllotmentRows
from ._allotment_rows import Row
from ._allotment_rows import Stamp
from ._allotment_sizes import BudgetState
from ._allotment_sizes import next_ceiling
from ._allotment_sizes import owned_change

# Requests that waited for the same ceiling go on this much apart, as prompts
# that reach the endpoints at once delay all others there.
_PROMISE_GAP_S = 0.25
# A log that answered within this time usually grants again after the pause
# below: a read waits for 0.3 s at most.
_ANSWERED_S = 0.4
_GRANT_RETRY_S = 0.5
# Callers come back no later than this, as the outage may end before.
_MAX_RETRY_S = 4.0
# Smaller gifts serve no request: the smallest prompts of the sites take 200
# tokens, and several routers give at once.
_LEAST_GIFT_TOKENS = 32
# Weight of the newest interval in the rate of consumption.
_RATE_WEIGHT = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class Hold:
    """Tokens set aside for one request, at its most."""

    organisation: str
    tokens: int
    settled: bool = False


@dataclasses.dataclass(slots=True)
class _Account:
    # Granted to this router by the log, ever.
    granted: int = 0
    # Acknowledged by the log, or less where a lower one was appended since.
    ceiling: int = 0
    short_limit: int = 0
    # Received from other routers, whose rows still count it.
    received: int = 0
    # Spent, held for requests in progress, or given to other routers.
    used: int = 0
    # Newest row that was appended or is being appended.
    written: Row = NO_ROW
    # Whether the newest row raises what is owned and is not decided yet.
    raising: bool = False
    # Sum of the bounds of the requests that wait.
    wanted: int = 0
    # Owned tokens beyond the ceiling, kept for requests that wait until it no
    # longer binds.
    promised: int = 0
    rate_per_s: float = 0.0
    recent: int = 0
    # Rate at which all ceilings rise, as they follow the use, and their sum.
    fleet_rate_per_s: float = 0.0
    ceilings: int = 0
    limit: int | None = None

    @property
    def own_use(self) -> int:
        """Use that the router's own row has to cover.

        Negative when tokens of other routers are left; the row becomes so,
        too, when they are given back.
        """
        return self.used - self.received

    @property
    def owned_free(self) -> int:
        return self.granted + self.received - self.used

    @property
    def ready_free(self) -> int:
        covered = min(self.granted, self.ceiling)
        return covered + self.received - self.used

    @property
    def short_free(self) -> int:
        covered = min(self.granted, self.short_limit)
        return covered + self.received - self.used


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
    if outage_s < _ANSWERED_S:
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
    rows : AllotmentRows
    """

    __slots__ = (
        '_accounts',
        '_holder',
        '_promises',
        '_rows',
        '_stamp_ms',
        'routers',
    )

    def __init__(self, holder: str, rows: AllotmentRows) -> None:
        self._holder = holder
        self._rows = rows
        self._accounts: dict[str, _Account] = {}
        self._stamp_ms: int | None = None
        # Requests that wait until a ceiling no longer binds.
        self._promises = 0
        # Live routers, this one included.
        self.routers = 1

    def set_limit(self, organisation: str, tokens: int | None) -> None:
        """Take the budget of an organisation; None is unlimited."""
        self._account(organisation).limit = tokens

    def in_outage(self, boot_ms: int) -> bool:
        """Whether ceilings no longer bind."""
        return self._silent_s(boot_ms) >= OUTAGE_S

    def in_long_outage(self, boot_ms: int) -> bool:
        """Whether all that is owned may be used."""
        return self._silent_s(boot_ms) >= LONG_OUTAGE_S

    def _silent_s(self, boot_ms: int) -> float:
        if self._stamp_ms is None:
            return 0.0
        return (boot_ms - self._stamp_ms) / 1000

    def promise(
        self, organisation: str, tokens: int, boot_ms: int
    ) -> float | None:
        """Keep tokens beyond the ceiling for a request that waits.

        The caller calls `withdraw` before it tries to hold them.

        Returns
        -------
        float or None
            Seconds to wait, until the ceiling no longer binds or longer;
            None if the next limit leaves no such tokens, or no ceiling binds.
        """
        if self._stamp_ms is None or self.in_outage(boot_ms):
            return None
        account = self._account(organisation)
        if account.short_free - account.promised < tokens:
            return None
        account.promised += tokens
        bound_s = OUTAGE_S - (boot_ms - self._stamp_ms) / 1000
        wait_s = bound_s + self._promises * _PROMISE_GAP_S
        self._promises += 1
        return wait_s

    def withdraw(self, organisation: str, tokens: int) -> None:
        """End a promise."""
        account = self._account(organisation)
        assert account.promised >= tokens, (account.promised, tokens)
        account.promised -= tokens
        self._promises -= 1

    def hold(
        self, organisation: str, tokens: int, boot_ms: int
    ) -> Hold | None:
        """Set tokens aside, if the allotment has them."""
        account = self._account(organisation)
        limited = account.limit is not None
        if limited and self._free(account, boot_ms) < tokens:
            return None
        account.used += tokens
        account.recent += tokens
        return Hold(organisation, tokens)

    def free(self, organisation: str, boot_ms: int) -> int:
        """Return the tokens that a request may take now."""
        return self._free(self._account(organisation), boot_ms)

    def settle(self, hold: Hold, spent_tokens: int) -> None:
        """Replace a hold by what the request consumed."""
        assert not hold.settled, 'hold settled twice'
        assert 0 <= spent_tokens <= hold.tokens, spent_tokens
        hold.settled = True
        account = self._account(hold.organisation)
        account.used -= hold.tokens - spent_tokens

    def give(
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
        account = self._accounts.get(organisation)
        if account is None or account.limit is None or tokens <= 0:
            return 0
        free = self._free(account, boot_ms)
        given = min(tokens, int(free * share))
        if given < _LEAST_GIFT_TOKENS:
            return 0
        account.used += given
        return given

    def receive(self, organisation: str, tokens: int) -> None:
        """Take tokens that another router gave up."""
        assert tokens >= 0, tokens
        self._account(organisation).received += tokens

    def ask(self, organisation: str, tokens: int) -> None:
        """Note that a request waits for this many tokens."""
        self._account(organisation).wanted += tokens

    def shortage(self, organisation: str, tokens: int) -> int:
        """Return how much to ask other routers for.

        Includes what this router uses in a second, so that each request does
        not ask anew.
        """
        account = self._account(organisation)
        return max(0, tokens + int(account.rate_per_s) - account.owned_free)

    def needs_others(self, organisation: str, tokens: int) -> bool:
        """Whether nobody but other routers owns what a request needs."""
        account = self._account(organisation)
        if account.limit is None:
            return False
        unowned = self._unowned(organisation, account)
        return account.owned_free + unowned < tokens

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
        account = self._account(organisation)
        if account.limit is None:
            return False
        left = account.owned_free
        left += max(0, self._unowned(organisation, account))
        left += sum(self.idle_of(organisation, holder) for holder in others)
        return left < tokens

    def idle_of(self, organisation: str, holder: str) -> int:
        """Return what another router owns beyond its ceiling."""
        row, _ = self._rows.row(organisation, holder)
        return max(0, row.owned - row.ceiling)

    def row_offset(self, organisation: str, holder: str) -> int:
        """Return the offset of a router's row; -1 if it has none."""
        _, offset = self._rows.row(organisation, holder)
        return offset

    def update_rates(self, elapsed_s: float) -> None:
        """Update the rates of consumption."""
        for organisation, account in self._accounts.items():
            rate = account.recent / elapsed_s
            account.rate_per_s += _RATE_WEIGHT * (rate - account.rate_per_s)
            account.recent = 0
            ceilings = self._rows.total_ceiling(organisation)
            rise = max(0, ceilings - account.ceilings) / elapsed_s
            account.fleet_rate_per_s += _RATE_WEIGHT * (
                rise - account.fleet_rate_per_s
            )
            account.ceilings = ceilings

    def changes(self, stamp: Stamp) -> dict[str, Row]:
        """Decide which rows to write.

        Parameters
        ----------
        stamp : Stamp
            Now; appended with the rows.

        Returns
        -------
        dict of str to Row
            The caller appends all of them and then calls `note_written`.
        """
        self._stamp_ms = stamp.boot_ms
        rows = {}
        for organisation, account in self._accounts.items():
            if account.limit is None:
                continue
            row = self._next_row(organisation, account)
            if row == account.written:
                continue
            account.raising = account.raising or row.owned > account.granted
            # What is given back is not owned from now on.
            account.granted = min(account.granted, row.owned)
            account.ceiling = min(account.ceiling, row.ceiling)
            account.short_limit = min(account.short_limit, row.short_limit)
            account.written = row
            rows[organisation] = row
        return rows

    def note_written(self, rows: dict[str, Row]) -> None:
        """Take that the log has acknowledged rows."""
        for organisation, row in rows.items():
            account = self._accounts[organisation]
            account.ceiling = row.ceiling
            account.short_limit = row.short_limit

    def decide(self, offset: int) -> list[tuple[str, int, bool]]:
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
        for organisation, account in self._accounts.items():
            if not account.raising:
                continue
            row, row_offset = self._rows.row(organisation, self._holder)
            if row != account.written or not 0 <= row_offset < offset:
                continue
            assert account.limit is not None
            granted = self._rows.total(organisation) <= account.limit
            raised = row.owned - account.granted
            account.raising = False
            # Requests that still wait ask again.
            account.wanted = 0
            if granted:
                account.granted = row.owned
            decided.append((organisation, raised, granted))
        return decided

    def release_all(self, stamp: Stamp) -> dict[str, Row]:
        """Give back what is free, when the router stops.

        Returns
        -------
        dict of str to Row
            As from `changes`.
        """
        self._stamp_ms = stamp.boot_ms
        rows = {}
        for organisation, account in self._accounts.items():
            if account.raising:
                continue
            owned = account.own_use
            row = Row(owned, owned)
            if row != account.written:
                account.granted = account.ceiling = owned
                account.short_limit = owned
                account.written = row
                rows[organisation] = row
        return rows

    def balances(self) -> dict[str, tuple[int, int, int | None]]:
        """Return owned and used tokens and budget by organisation."""
        return {
            name: (account.granted + account.received, account.used, limit)
            for name, account in self._accounts.items()
            if (limit := account.limit) is not None
        }

    def _account(self, organisation: str) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = _Account()
        return account

    def _free(self, account: _Account, boot_ms: int) -> int:
        if self.in_long_outage(boot_ms):
            return account.owned_free - account.promised
        if self.in_outage(boot_ms):
            return account.short_free - account.promised
        return account.ready_free

    def _unowned(self, organisation: str, account: _Account) -> int:
        assert account.limit is not None
        # A row that is not decided or was denied is not owned.
        excess = max(0, account.written.owned - account.granted)
        row, _ = self._rows.row(organisation, self._holder)
        if row != account.written:
            excess = 0
        return account.limit - self._rows.total(organisation) + excess

    def _next_row(self, organisation: str, account: _Account) -> Row:
        if account.raising:
            return account.written
        state = self._state(organisation, account)
        owned = account.granted
        # A raise that was denied is corrected before another.
        if account.written.owned <= owned:
            owned += owned_change(state, f'{organisation}/{self._holder}')
        folded, _ = self._rows.row(organisation, self._holder)
        if folded != account.written:
            # A raise must not be decided by an older record, so the last
            # change is folded before it.
            owned = min(owned, account.granted)
        ceiling = next_ceiling(
            state,
            owned=owned,
            own_use=account.own_use,
            ceiling=account.written.ceiling,
        )
        account.wanted = 0
        return Row(owned, ceiling)

    def _state(self, organisation: str, account: _Account) -> BudgetState:
        assert account.limit is not None
        row, _ = self._rows.row(organisation, self._holder)
        owned = self._rows.total(organisation) - row.owned
        ceilings = self._rows.total_ceiling(organisation)
        used = account.written.ceiling / ceilings if ceilings > 0 else 0.0
        return BudgetState(
            limit=account.limit,
            unowned=max(0, self._unowned(organisation, account)),
            idle_elsewhere=max(0, owned - (ceilings - row.ceiling)),
            free=account.owned_free,
            wanted=account.wanted,
            rate_per_s=account.rate_per_s,
            fleet_rate_per_s=account.fleet_rate_per_s,
            used_share=min(1.0, max(0.0, used)),
            routers=self.routers,
        )
