"""Local allotments of a router: holds, entries, transfers, refill decisions.

An allotment is a number of an organisation's prepaid tokens that one router,
its holder, may spend without asking the log. Its tokens are either free, held
for a running request, or debited by an entry (a `Bill`, `Transfer` or
`Return`), which the router also appends to the log. `Accounts` never debits
and holds more than the tokens of an allotment, whatever the log and the peers
do. `Ledger` enforces the same limit for all routers together when it applies
the log.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import enum
import itertools

import msgspec

from ._ended_ids import EndedIds
from ._records import AllotmentEntry
from ._records import Bill
from ._records import Close
from ._records import Grant
from ._records import Return
from ._records import Transfer

# Takes less than 1 MB. A grant or transfer arrives within the time of a few
# appends or calls, in which far fewer allotments end. An id that counts as
# ended because of its number has therefore really ended.
MAX_ENDED_IDS = 4096


class AllotmentState(enum.Enum):
    """What an allotment may still be used for.

    `OPEN` accepts new holds. `RETIRING` accepts only bills of the holds that
    it has. `SEALED` accepts no entries either, because the journal peer (the
    router that stores copies of the entries) closes the allotment. `CLOSED`
    is final.
    """

    OPEN = 'open'
    RETIRING = 'retiring'
    SEALED = 'sealed'
    CLOSED = 'closed'


@dataclasses.dataclass(slots=True, eq=False)
class Allotment:
    """Allotment of this router.

    Parameters
    ----------
    id : str
    organisation : str
    tokens : int
        Tokens of the grant or transfer; entries don't lower it.
    journal_peer : str or None
        Incarnation id of the router that stores copies of the entries.
    origin : Grant or Transfer
        Record that created the allotment.
    debited_tokens : int
        Tokens of all entries, less those of refunded bills.
    held_tokens, holds : int
        Sum and number of the holds that have not ended.
    next_seq : int
        Sequence number of the next entry.
    state : AllotmentState
    unlogged : dict of int to AllotmentEntry
        Entries by sequence number whose result is not known from the log.
    in_ledger : bool
        Whether the ledger has created the allotment; set by the budget task.
    """

    id: str
    organisation: str
    tokens: int
    journal_peer: str | None
    origin: Grant | Transfer
    debited_tokens: int = 0
    held_tokens: int = 0
    holds: int = 0
    next_seq: int = 1
    state: AllotmentState = AllotmentState.OPEN
    unlogged: dict[int, AllotmentEntry] = dataclasses.field(
        default_factory=dict
    )
    in_ledger: bool = False

    @property
    def free_tokens(self) -> int:
        """Tokens for new holds; 0 unless the allotment is open."""
        if self.state is not AllotmentState.OPEN:
            return 0
        return self.tokens - self.debited_tokens - self.held_tokens

    @property
    def accepts_entries(self) -> bool:
        """Whether the holder may still add entries to the allotment."""
        return self.state in (AllotmentState.OPEN, AllotmentState.RETIRING)


@dataclasses.dataclass(slots=True, eq=False)
class Hold:
    """Tokens reserved for one request; a hold ends exactly once."""

    organisation: str
    tokens: int
    allotment: Allotment
    ended: bool = False


class BillDraft(msgspec.Struct, frozen=True, kw_only=True):
    """Bill before it has an allotment; fields as in `Bill`."""

    request_id: str
    tokens: int
    outcome: str
    body_digest: str
    endpoint: str
    keyed: bool = False
    answer_status: int = 0
    answer: str | None = None


AllotmentFilter = Callable[[Allotment], bool]


def _any_allotment(allotment: Allotment) -> bool:
    return True


class Accounts:
    """Allotments of one router, by organisation.

    Methods that take `usable` consider only the allotments for which that
    function returns true.

    Parameters
    ----------
    holder : str
        Incarnation id of the router, ``<router_id>~<start time ms>``.
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self._allotments: dict[str, Allotment] = {}
        self._by_organisation: dict[str, dict[str, Allotment]] = {}
        # Kept so that a transfer that is received again has no effect.
        self._ended = EndedIds(MAX_ENDED_IDS)
        self._id_numbers = itertools.count(1)

    def new_allotment_id(self) -> str:
        """Return an id that no other router and no earlier call has used."""
        return f'{self.holder}/{next(self._id_numbers)}'

    def add(
        self, allotment: str, tokens: int, origin: Grant | Transfer
    ) -> bool:
        """Add a granted or transferred allotment.

        Returns
        -------
        bool
            False, without an effect, if the allotment was added before.
        """
        if allotment in self._allotments or allotment in self._ended:
            return False
        account = Allotment(
            allotment,
            origin.organisation,
            tokens,
            origin.journal_peer,
            origin,
        )
        self._allotments[allotment] = account
        self._by_organisation.setdefault(origin.organisation, {})[
            allotment
        ] = account
        return True

    def is_known(self, allotment: str) -> bool:
        """Return whether the allotment was added, even if it has ended."""
        return allotment in self._allotments or allotment in self._ended

    def get(self, allotment: str) -> Allotment | None:
        """Return an allotment, None if it is unknown or has ended."""
        return self._allotments.get(allotment)

    def allotments(
        self, organisation: str | None = None
    ) -> Iterator[Allotment]:
        """Iterate over a copy of the allotments that have not ended."""
        if organisation is None:
            return iter(list(self._allotments.values()))
        return iter(list(self._by_organisation.get(organisation, {}).values()))

    def free_tokens(
        self, organisation: str, usable: AllotmentFilter = _any_allotment
    ) -> int:
        """Return the free tokens on usable allotments."""
        return sum(
            account.free_tokens
            for account in self.allotments(organisation)
            if usable(account)
        )

    def hold(
        self,
        organisation: str,
        tokens: int,
        usable: AllotmentFilter = _any_allotment,
    ) -> Hold | None:
        """Reserve tokens on the smallest allotment that has enough.

        Returns
        -------
        Hold or None
            None if no usable allotment has `tokens` free tokens.

        Raises
        ------
        ValueError
            If `tokens` is negative.
        """
        if tokens < 0:
            raise ValueError(f'tokens={tokens}; must be at least 0')
        account = self._best_fit(organisation, tokens, usable)
        if account is None:
            return None
        account.held_tokens += tokens
        account.holds += 1
        return Hold(organisation, tokens, account)

    def release(self, hold: Hold) -> bool:
        """End a hold without an entry; return False if it had ended."""
        if hold.ended:
            return False
        self._end_hold(hold)
        return True

    def charge(
        self,
        hold: Hold,
        draft: BillDraft,
        usable: AllotmentFilter = _any_allotment,
    ) -> Bill | None:
        """End a hold with a bill on its allotment.

        If the allotment was sealed or closed in the meantime, the bill is
        added to another allotment.

        Returns
        -------
        Bill or None
            None if no usable allotment has enough free tokens.

        Raises
        ------
        ValueError
            If the hold has ended or the bill exceeds it.
        """
        if hold.ended:
            raise ValueError('hold has ended')
        if not 0 <= draft.tokens <= hold.tokens:
            raise ValueError(
                f'draft.tokens={draft.tokens}; allowed 0 to {hold.tokens}'
            )
        self._end_hold(hold)
        if hold.allotment.accepts_entries:
            return self._add_bill(hold.allotment, draft)
        return self.bill_without_hold(hold.organisation, draft, usable)

    def bill_without_hold(
        self,
        organisation: str,
        draft: BillDraft,
        usable: AllotmentFilter = _any_allotment,
    ) -> Bill | None:
        """Add a bill without a hold to any open allotment.

        Returns
        -------
        Bill or None
            None if no usable allotment has enough free tokens.
        """
        account = self._best_fit(organisation, draft.tokens, usable)
        if account is None:
            return None
        return self._add_bill(account, draft)

    def transfer(
        self,
        organisation: str,
        need_tokens: int,
        *,
        holder: str,
        journal_peer: str | None,
        usable: AllotmentFilter = _any_allotment,
    ) -> Transfer | None:
        """Transfer at least `need_tokens` of one allotment to another holder.

        Parameters
        ----------
        organisation : str
        need_tokens : int
            Lower limit. Half of the free tokens are transferred if that is
            more.
        holder : str
            Incarnation id of the receiving router.
        journal_peer : str or None
            Journal peer of the new allotment.
        usable : callable, optional

        Returns
        -------
        Transfer or None
            None if no usable allotment has enough free tokens.
        """
        account = max(
            (
                account
                for account in self.allotments(organisation)
                if account.free_tokens >= max(1, need_tokens)
                and usable(account)
            ),
            key=lambda account: account.free_tokens,
            default=None,
        )
        if account is None:
            return None
        entry = Transfer(
            allotment=account.id,
            seq=account.next_seq,
            organisation=organisation,
            tokens=max(need_tokens, account.free_tokens // 2),
            new_allotment=self.new_allotment_id(),
            holder=holder,
            journal_peer=journal_peer,
        )
        return self._add_entry(account, entry)

    def return_tokens(self, organisation: str, tokens: int) -> list[Return]:
        """Return up to `tokens` free tokens to the budget.

        Takes them from the allotments with the fewest free tokens first.
        """
        entries = []
        for account in sorted(
            self.allotments(organisation),
            key=lambda account: account.free_tokens,
        ):
            amount = min(account.free_tokens, tokens)
            if amount > 0:
                entries.append(self._add_return(account, amount))
                tokens -= amount
        return entries

    def retire(self, allotment: str) -> Return | None:
        """Accept no new holds on an allotment and return its free tokens.

        Returns
        -------
        Return or None
            None if no tokens are free or the allotment is not open.
        """
        account = self._allotments.get(allotment)
        if account is None or account.state is not AllotmentState.OPEN:
            return None
        entry = None
        if account.free_tokens > 0:
            entry = self._add_return(account, account.free_tokens)
        account.state = AllotmentState.RETIRING
        return entry

    def seal(self, allotment: str) -> None:
        """Accept no new holds and entries; the journal peer closes it."""
        account = self._allotments.get(allotment)
        if account is not None and account.accepts_entries:
            account.state = AllotmentState.SEALED

    def close(self, allotment: str) -> None:
        """Record that the ledger has closed an allotment."""
        account = self._allotments.pop(allotment, None)
        if account is None:
            return
        account.state = AllotmentState.CLOSED
        self._ended.add(allotment)
        accounts = self._by_organisation[account.organisation]
        del accounts[allotment]
        if not accounts:
            del self._by_organisation[account.organisation]

    def close_finished(self) -> list[Close]:
        """Close the allotments that can't be used any more.

        These are the ones that are retiring, sealed or empty, have no holds,
        and whose entries are all in the log.

        Returns
        -------
        list of Close
            Records to append to the log.
        """
        records = []
        for account in self.allotments():
            if account.holds or account.unlogged or account.free_tokens:
                continue
            records.append(
                Close(account.id, account.organisation, self.holder)
            )
            self.close(account.id)
        return records

    def on_entry_applied(
        self, allotment: str, seq: int, *, accepted: bool, refunded: bool
    ) -> None:
        """Record that the ledger has accepted or rejected an entry.

        Parameters
        ----------
        allotment : str
        seq : int
        accepted : bool
        refunded : bool
            For a rejected bill: its tokens remain on the allotment.
        """
        account = self._allotments.get(allotment)
        if account is None:
            return
        entry = account.unlogged.pop(seq, None)
        if entry is not None and refunded and not accepted:
            account.debited_tokens -= entry.tokens

    def _best_fit(
        self, organisation: str, tokens: int, usable: AllotmentFilter
    ) -> Allotment | None:
        # Using the smallest allotment that has enough keeps the larger ones
        # for requests with a larger bound.
        return min(
            (
                account
                for account in self._by_organisation.get(
                    organisation, {}
                ).values()
                if account.state is AllotmentState.OPEN
                and account.free_tokens >= tokens
                and usable(account)
            ),
            key=lambda account: account.free_tokens,
            default=None,
        )

    def _end_hold(self, hold: Hold) -> None:
        hold.ended = True
        hold.allotment.held_tokens -= hold.tokens
        hold.allotment.holds -= 1

    def _add_bill(self, account: Allotment, draft: BillDraft) -> Bill:
        entry = Bill(
            allotment=account.id,
            seq=account.next_seq,
            organisation=account.organisation,
            request_id=draft.request_id,
            tokens=draft.tokens,
            outcome=draft.outcome,
            body_digest=draft.body_digest,
            endpoint=draft.endpoint,
            keyed=draft.keyed,
            answer_status=draft.answer_status,
            answer=draft.answer,
        )
        return self._add_entry(account, entry)

    def _add_return(self, account: Allotment, tokens: int) -> Return:
        entry = Return(
            account.id, account.next_seq, account.organisation, tokens
        )
        return self._add_entry(account, entry)

    @staticmethod
    def _add_entry(account: Allotment, entry):
        account.debited_tokens += entry.tokens
        account.next_seq += 1
        account.unlogged[entry.seq] = entry
        return entry


@dataclasses.dataclass(slots=True)
class Demand:
    """Recent demand of one organisation, for refill decisions.

    Parameters
    ----------
    bound_tokens : int
        Typical upper bound on the cost of a request in budget tokens; the
        initial value applies until the first request.
    last_hold_s : float
        Monotonic time of the last request.
    baseline : bool
        Whether to keep an allotment also without requests, for times when the
        log is unavailable.
    backoff_until_s : float
        Monotonic time before which no tokens are requested unless requests
        wait for them.
    """

    bound_tokens: int
    last_hold_s: float = float('-inf')
    baseline: bool = False
    backoff_until_s: float = float('-inf')

    # Number of typical requests that the target covers, up to an even share.
    TARGET_REQUESTS = 4

    def record_hold(self, tokens: int, now_s: float) -> None:
        """Record a request.

        A larger bound takes effect at once; smaller ones lower
        `bound_tokens` by at most 1/16 per request.

        Parameters
        ----------
        tokens : int
            Upper bound on the cost of the request.
        now_s : float
        """
        self.bound_tokens = max(
            tokens, 1, self.bound_tokens - self.bound_tokens // 16
        )
        self.last_hold_s = now_s

    def is_active(self, now_s: float, idle_s: float) -> bool:
        """Return whether the organisation needs an allotment here.

        It does with `baseline` set, or for `idle_s` seconds after a request.
        """
        return self.baseline or now_s - self.last_hold_s < idle_s

    def target_tokens(self, budget_free_tokens: int, routers: int) -> int:
        """Return the number of free tokens that this router should have.

        This is half of an even share of the budget's free tokens, or
        `TARGET_REQUESTS` typical bounds if that is more. It is limited to an
        even share, because near the end of a budget the bounds of all routers
        add up to more than the budget.

        Parameters
        ----------
        budget_free_tokens : int
            Tokens that the log can grant.
        routers : int
            Number of live routers, this one included.
        """
        share_tokens = budget_free_tokens // routers
        return max(
            share_tokens // 2,
            min(self.TARGET_REQUESTS * self.bound_tokens, share_tokens),
        )

    def want_tokens(
        self,
        *,
        free_tokens: int,
        waiting_tokens: int,
        budget_free_tokens: int,
        routers: int,
        now_s: float,
    ) -> int:
        """Return the number of tokens to request now, 0 for none.

        Without waiting requests, tokens are requested only when fewer than
        half of the target are free, so that not every request causes a grant.

        Parameters
        ----------
        free_tokens : int
            Free tokens on the usable allotments of this router.
        waiting_tokens : int
            Sum of the bounds of the requests that wait for tokens.
        budget_free_tokens : int
            Tokens that the log can grant.
        routers : int
            Number of live routers, this one included.
        now_s : float
            Monotonic time.
        """
        target = self.target_tokens(budget_free_tokens, routers)
        if waiting_tokens:
            return max(waiting_tokens, target - free_tokens)
        if now_s < self.backoff_until_s or 2 * free_tokens >= target:
            return 0
        return target - free_tokens
