"""What the budget task needs from other tasks, and what it returns."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import dataclasses
import enum
from typing import Any
from typing import Protocol

from ...core import Bill
from ...core import BillDraft
from ...core import Hold
from ...core import LedgerRecord

BillDraft = BillDraft
Hold = Hold


class BudgetView(Protocol):
    """Budget of one organisation, as folded."""

    budget_tokens: int
    spent_tokens: int
    outstanding_tokens: int
    free_tokens: int


class AllotmentView(Protocol):
    """Allotment, as folded."""

    allotment: str
    organisation: str
    holder: str
    journal_peer: str | None
    tokens: int
    spent_tokens: int
    closed: bool


class ClaimView(Protocol):
    """Claim, as folded; `state` is 'open', 'billed' or 'abandoned'."""

    holder: str
    body_digest: str
    state: str


class LedgerView(Protocol):
    """Folded ledger, read only."""

    manifest_version: int  # highest of any budget
    budget_changes: int  # budget records accepted by this object

    def budget(self, organisation: str) -> BudgetView | None:
        """Return the budget; None before its first record."""
        ...

    def budget_version(self, organisation: str) -> int:
        """Return the manifest version of a budget, 0 without one."""
        ...

    def entry_result(self, allotment: str, seq: int) -> Any:
        """Return the result of an entry; None if it was not applied."""
        ...

    def allotment(self, allotment: str) -> AllotmentView | None:
        """Return an allotment; None if unknown or forgotten after its end."""
        ...

    def allotments_of(self, holder: str) -> Iterator[AllotmentView]:
        """Iterate over the allotments of a holder."""
        ...

    def remaining_by_holder(self, organisation: str) -> dict[str, int]:
        """Return the unspent tokens of each holder with open allotments."""
        ...

    def holders(self) -> Iterator[str]:
        """Iterate over the holders of allotments that are not closed."""
        ...

    def recorded_bill(self, organisation: str, request_id: str) -> Bill | None:
        """Return the bill of a keyed request."""
        ...

    def claim(self, organisation: str, request_id: str) -> ClaimView | None:
        """Return the claim of a non-idempotent request."""
        ...


class LedgerWriter(Protocol):
    """Ledger task: folded state and group-commit writer."""

    ledger: LedgerView
    results: Any  # reactivex Subject of results
    log_reachable: bool
    synced: bool

    def submit(self, record: LedgerRecord) -> asyncio.Future[Any]:
        """Append a record; done when the own reader has folded it."""
        ...

    async def flush(self, timeout_s: float) -> bool:
        """Wait until everything submitted is folded."""
        ...


class MemberView(Protocol):
    """Member of the fleet."""

    incarnation_id: str
    router_id: str
    data_centre: str


class Members(Protocol):
    """Gossip task: members of the fleet."""

    def live(self) -> tuple[MemberView, ...]:
        """Return the other routers that are alive."""
        ...

    def is_lost(self, incarnation_id: str) -> bool:
        """Return whether an incarnation is dead, left or replaced."""
        ...


class Peers(Protocol):
    """Client of the other routers."""

    async def call(
        self, member: MemberView, frame: Any, *, timeout_s: float
    ) -> Any:
        """Send a frame and return the reply.

        Raises
        ------
        BasilpondError
            With `ResultCode.PEER_UNAVAILABLE`.
        """
        ...


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class BudgetSettings:
    """Settings of the budget task.

    Parameters
    ----------
    data_centre : str
        Journal peers are chosen in it.
    log_timeout_ms : int
        Time that the log has to respond before a journal peer's copy commits.
    recovery_delay_s : float
        Time for which a router must be lost before its allotments are closed.
    peer_timeout_s : float
        Bound on one call to a peer.
    tick_s : float
        Interval of periodic checks.
    idle_s : float
        An allotment without requests for this time is returned.
    baseline_organisations : int
        Up to this many organisations, each keeps an allotment on each router
        without requests, so that the router can serve when the log is down.
    initial_bound_tokens : int
        Typical bound of a request, before the first one.
    refill_backoff_s : float
        Time without refills for stock after tokens went to a peer that needs
        them; otherwise both would draw on the same remainder in turns.
    journal_bytes : int
        Bound on the copies for other routers.
    unlogged_bytes : int
        Bound on own entries that wait for the log; above it, requests are
        refused while the log is down.
    budget_delay_s : float
        Time that a router leaves to each live router with a lower id to copy
        a budget into the ledger.
    """

    data_centre: str
    log_timeout_ms: int = 250
    recovery_delay_s: float = 5.0
    peer_timeout_s: float = 1.0
    tick_s: float = 0.25
    idle_s: float = 600.0
    baseline_organisations: int = 64
    initial_bound_tokens: int = 4096
    refill_backoff_s: float = 2.0
    journal_bytes: int = 24_000_000
    unlogged_bytes: int = 24_000_000
    budget_delay_s: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class ChargeResult:
    """What became of a bill.

    Parameters
    ----------
    committed : bool
        The response may be released.
    duplicate : bool
        Another bill of the same request counts; this one was refunded.
    via : str
        'log', 'journal', or '' when not committed.
    """

    committed: bool
    duplicate: bool = False
    via: str = ''


class ClaimState(enum.StrEnum):
    """What a claim found; only `WON` allows the request to run.

    `UNKNOWN`: the winner is lost and left no bill. `OTHER_BODY`: the key was
    used with another body.
    """

    WON = 'won'
    IN_PROGRESS = 'in_progress'
    BILLED = 'billed'
    UNKNOWN = 'unknown'
    OTHER_BODY = 'other_body'


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimResult:
    """Result of a claim; `bill` is set when `state` is `BILLED`."""

    state: ClaimState
    bill: Bill | None = None
