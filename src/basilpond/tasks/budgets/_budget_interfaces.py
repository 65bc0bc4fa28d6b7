"""Interfaces, settings and results of the budget task."""

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
    """Budget of one organisation in the ledger.

    Outstanding tokens are the unspent tokens in open allotments; free tokens
    are neither spent nor outstanding.
    """

    budget_tokens: int
    spent_tokens: int
    outstanding_tokens: int
    free_tokens: int


class AllotmentView(Protocol):
    """Allotment in the ledger."""

    allotment: str
    organisation: str
    holder: str
    journal_peer: str | None
    tokens: int
    spent_tokens: int
    closed: bool


class ClaimView(Protocol):
    """Claim in the ledger; `state` is 'open', 'billed' or 'abandoned'."""

    holder: str
    body_digest: str
    state: str


class LedgerView(Protocol):
    """Ledger, read only."""

    manifest_version: int  # highest version of any budget
    budget_changes: int  # number of budget records that this object accepted

    def budget(self, organisation: str) -> BudgetView | None:
        """Return the budget; None before the first record of it."""
        ...

    def budget_version(self, organisation: str) -> int:
        """Return the manifest version of a budget, 0 without one."""
        ...

    def entry_result(self, allotment: str, seq: int) -> Any:
        """Return the result of an entry; None if it was not applied."""
        ...

    def allotment(self, allotment: str) -> AllotmentView | None:
        """Return an allotment; None if unknown or expired after its end."""
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
        """Return the accepted bill of a keyed request; None if unknown."""
        ...

    def claim(self, organisation: str, request_id: str) -> ClaimView | None:
        """Return the claim of a non-idempotent request; None if unknown."""
        ...


class LedgerWriter(Protocol):
    """Ledger task: current ledger and group-commit writer."""

    ledger: LedgerView
    results: Any  # reactivex Subject of results
    log_reachable: bool
    synced: bool

    def submit(self, record: LedgerRecord) -> asyncio.Future[Any]:
        """Append a record; the future has its result once it is applied."""
        ...

    async def flush(self, timeout_s: float) -> bool:
        """Wait until all submitted records are applied.

        Returns False after the timeout.
        """
        ...


class MemberView(Protocol):
    """Member of the fleet."""

    incarnation_id: str
    router_id: str
    data_centre: str


class Members(Protocol):
    """Membership of the fleet, from the gossip task."""

    def live(self) -> tuple[MemberView, ...]:
        """Return the other routers that are alive."""
        ...

    def is_lost(self, incarnation_id: str) -> bool:
        """Return whether an incarnation is dead, has left or was replaced."""
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
        Data centre of this router; journal peers are chosen in it.
    log_timeout_ms : int
        Time after which an entry that a journal peer has copied is committed
        without a response of the log.
    recovery_delay_s : float
        Time for which a router must be lost before its allotments are closed.
    peer_timeout_s : float
        Bound on one call to a peer.
    tick_s : float
        Interval of the periodic checks.
    idle_s : float
        Time without requests after which the allotments of an organisation
        are returned.
    baseline_organisations : int
        If there are at most this many organisations, each router keeps an
        allotment for each of them even without requests, so that it can serve
        them during a log outage.
    initial_bound_tokens : int
        Assumed bound of a request's cost before the first request.
    refill_backoff_s : float
        Time without refills ahead of demand after a peer has requested tokens
        or a grant was rejected; otherwise both routers would draw on the same
        remainder in turns.
    journal_bytes : int
        Bound on the copies that this router keeps for others.
    unlogged_bytes : int
        Bound on this router's entries that wait for the log; above it,
        requests are refused during a log outage.
    budget_delay_s : float
        Delay of a router, for each live router with a lower id, before it
        copies a budget into the ledger.
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
    """Result of a bill.

    Parameters
    ----------
    committed : bool
        The request is billed, so its response may be sent to the caller.
    duplicate : bool
        Another bill of the same request counts; this one was refunded.
    via : str
        'log', 'journal', or '' when not committed.
    """

    committed: bool
    duplicate: bool = False
    via: str = ''


class ClaimState(enum.StrEnum):
    """State of a claimed request; only `WON` allows the request to run.

    `IN_PROGRESS`: another claim is open. `BILLED`: the request has run and is
    billed. `UNKNOWN`: the router with the open claim is lost, and no bill is
    recorded. `OTHER_BODY`: the key was used with another body.
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
