"""Prepaid budgets, divided between routers through a log.

Each start of a router (a holder) has one row an organisation: the total that
it may consume, ever. The newest row of each key is the whole state, so no
snapshots are needed and a router may start from them at any time.

A holder raises its row, and may use the difference once it has read a state
of the log, at or behind its own record, in which the rows of the organisation
add up to at most the budget. It gives back what it does not need by lowering
its own allotment first and its row afterwards. So no holder ever owns more
than its row says, and the sum of what was granted never exceeds the budget,
whatever is lost, delayed or paused. No clock is involved. The row of a killed
router stays: what it had sent cannot be known.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class _Row:
    tokens: int
    offset: int


class AllotmentRows:
    """Rows of all holders, folded from the log."""

    __slots__ = ('_rows', '_totals')

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, _Row]] = {}
        self._totals: dict[str, int] = {}

    def apply(
        self, organisation: str, holder: str, tokens: int, offset: int
    ) -> None:
        """Take a row; an older one than the known is ignored."""
        rows = self._rows.setdefault(organisation, {})
        row = rows.get(holder)
        if row is None:
            row = rows[holder] = _Row(0, -1)
        if offset <= row.offset:
            return
        total = self._totals.get(organisation, 0)
        self._totals[organisation] = total + tokens - row.tokens
        row.tokens = tokens
        row.offset = offset

    def total(self, organisation: str) -> int:
        """Return the sum of the rows of an organisation."""
        return self._totals.get(organisation, 0)

    def row(self, organisation: str, holder: str) -> tuple[int, int]:
        """Return tokens and offset of a row; offset -1 if there is none."""
        row = self._rows.get(organisation, {}).get(holder)
        return (0, -1) if row is None else (row.tokens, row.offset)


def row_key(organisation: str, holder: str) -> str:
    """Return the key of a row in the log."""
    return f'{organisation}/{holder}'


def parse_row_key(key: str) -> tuple[str, str] | None:
    """Return organisation and holder, None for keys of other kinds."""
    organisation, separator, holder = key.rpartition('/')
    return (organisation, holder) if separator and organisation else None


@dataclasses.dataclass(slots=True, eq=False)
class Hold:
    """Tokens set aside for one request, at its most."""

    organisation: str
    tokens: int
    settled: bool = False


# An allotment lasts this long at the present rate where the budget is ample:
# outages of the platform's store take 4 to 9 s.
ALLOTMENT_S = 8.0
# All idle allotments together keep to this share of what nobody has been
# granted, so that little is out of reach when the budget ends or all routers
# are killed.
IDLE_SHARE = 1 / 6
# An allotment is refilled below this share of its target, and given back
# above that multiple.
_REFILL_BELOW = 0.6
_RETURN_ABOVE = 1.5
# Weight of the newest second in the rate of consumption.
_RATE_WEIGHT = 0.4


@dataclasses.dataclass(slots=True)
class _Account:
    # Granted to this router, ever.
    granted: int = 0
    # Spent, or held for requests in progress.
    used: int = 0
    # Row value that was written and is not decided yet.
    asked: int | None = None
    # Row value that the log holds or will hold.
    written: int = 0
    # Sum of the bounds of the requests that wait.
    wanted: int = 0
    rate_per_s: float = 0.0
    recent: int = 0
    limit: int | None = None

    @property
    def free(self) -> int:
        return self.granted - self.used


class Allotments:
    """Part of each budget that one router owns.

    Parameters
    ----------
    holder : str
        Unique to this start of the router.
    rows : AllotmentRows
    """

    __slots__ = ('_accounts', '_holder', '_rows', 'routers')

    def __init__(self, holder: str, rows: AllotmentRows) -> None:
        self._holder = holder
        self._rows = rows
        self._accounts: dict[str, _Account] = {}
        # Live routers, this one included.
        self.routers = 1

    def set_limit(self, organisation: str, tokens: int | None) -> None:
        """Take the budget of an organisation; None is unlimited."""
        self._account(organisation).limit = tokens

    def hold(self, organisation: str, tokens: int) -> Hold | None:
        """Set tokens aside, if the allotment has them."""
        account = self._account(organisation)
        if account.limit is not None and account.free < tokens:
            return None
        account.used += tokens
        account.recent += tokens
        return Hold(organisation, tokens)

    def settle(self, hold: Hold, spent_tokens: int) -> None:
        """Replace a hold by what the request consumed."""
        assert not hold.settled, 'hold settled twice'
        assert 0 <= spent_tokens <= hold.tokens, spent_tokens
        hold.settled = True
        account = self._account(hold.organisation)
        account.used -= hold.tokens - spent_tokens

    def ask(self, organisation: str, tokens: int) -> None:
        """Note that requests wait for this many tokens."""
        self._account(organisation).wanted += tokens

    def is_exhausted(self, organisation: str, tokens: int) -> bool:
        """Whether the budget cannot cover a request.

        What other routers own counts as spent. It is a small share of what
        nobody owned when they were granted it.
        """
        account = self._account(organisation)
        if account.limit is None:
            return False
        return account.free + self._unowned(organisation, account) < tokens

    def update_rates(self, elapsed_s: float) -> None:
        """Update the rates of consumption, about once a second."""
        for account in self._accounts.values():
            rate = account.recent / elapsed_s
            account.rate_per_s += _RATE_WEIGHT * (rate - account.rate_per_s)
            account.recent = 0

    def changes(self) -> list[tuple[str, int]]:
        """Decide which rows to write.

        Returns
        -------
        list of (str, int)
            Organisation and the new value of this router's row. The caller
            appends them to the log, in this order and all of them.
        """
        rows = []
        for organisation, account in self._accounts.items():
            if account.asked is not None or account.limit is None:
                continue
            row, _ = self._rows.row(organisation, self._holder)
            if row != account.written:
                # The last change has to be folded first: a raise must not
                # be decided by an older record of the same value.
                continue
            value = self._next_value(organisation, account)
            if value is None:
                continue
            if value > account.granted:
                account.asked = value
            else:
                account.granted = value
            account.written = value
            rows.append((organisation, value))
        return rows

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
            if account.asked is None:
                continue
            tokens, row_offset = self._rows.row(organisation, self._holder)
            if row_offset < 0 or tokens != account.asked:
                continue
            if row_offset >= offset:
                continue
            assert account.limit is not None
            granted = self._rows.total(organisation) <= account.limit
            raised = account.asked - account.granted
            account.asked = None
            # Requests that still wait ask again.
            account.wanted = 0
            if granted:
                account.granted = tokens
            decided.append((organisation, raised, granted))
        return decided

    def release_all(self) -> list[tuple[str, int]]:
        """Give back what is free, when the router stops.

        Returns
        -------
        list of (str, int)
            Rows to write, as from `changes`.
        """
        rows = []
        for organisation, account in self._accounts.items():
            if account.asked is not None or account.written == account.used:
                continue
            account.granted = account.written = account.used
            rows.append((organisation, account.used))
        return rows

    def balances(self) -> dict[str, tuple[int, int, int | None]]:
        """Return granted and used tokens and budget by organisation."""
        return {
            name: (account.granted, account.used, account.limit)
            for name, account in self._accounts.items()
        }

    def _account(self, organisation: str) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = _Account()
        return account

    def _unowned(self, organisation: str, account: _Account) -> int:
        assert account.limit is not None
        # Own tokens that were asked for and denied return with the next row.
        own_excess = max(0, account.written - account.granted)
        total = self._rows.total(organisation)
        return account.limit - total + own_excess

    def _next_value(self, organisation: str, account: _Account) -> int | None:
        if account.written > account.granted:
            # The last raise was denied: correct the row before another.
            return account.granted
        unowned = self._unowned(organisation, account)
        pool = max(0, unowned) + max(0, account.free)
        target = int(
            min(
                ALLOTMENT_S * account.rate_per_s,
                pool * IDLE_SHARE / max(1, self.routers),
            )
        )
        missing = max(0, account.wanted - max(0, account.free))
        account.wanted = 0
        if missing and unowned > 0:
            return account.granted + min(unowned, max(missing, target))
        if account.free < _REFILL_BELOW * target:
            raise_by = min(unowned, target - account.free)
            return account.granted + raise_by if raise_by > 0 else None
        if (
            account.free > _RETURN_ABOVE * target
            and account.free > pool * IDLE_SHARE / max(1, self.routers)
        ):
            return account.granted - (account.free - target)
        return None
