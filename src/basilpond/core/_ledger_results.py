"""Results of applying ledger records, and read-only views of the state."""

from __future__ import annotations

import dataclasses
from typing import Literal

EntryReason = Literal[
    '', 'duplicate_bill', 'closed', 'overdrawn', 'invalid', 'forgotten'
]
ClaimState = Literal['open', 'billed', 'abandoned']


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetApplied:
    """Result of a `BudgetSet`.

    It is accepted unless the amount is negative or the manifest version is
    outdated.
    """

    organisation: str
    manifest_version: int
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GrantDecided:
    """Result of a `Grant`; `granted_tokens` is 0 when it is rejected."""

    allotment: str
    holder: str
    granted_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EntryApplied:
    """Result of a `Bill`, `Transfer` or `Return`.

    Parameters
    ----------
    allotment : str
    seq : int
    accepted : bool
        True exactly when `reason` is empty.
    reason : str
        ``duplicate_bill``: the request id is billed already; the tokens
        remain in the allotment. ``closed``: the allotment has ended.
        ``overdrawn``: the amount exceeds the unspent tokens of the allotment.
        ``invalid``: the amount is negative, the sequence number is below 1,
        the organisation is not the allotment's, or the id of the new
        allotment is in use. ``forgotten``: set by the ledger task only, when
        a snapshot skipped the result.
    repeated : bool
        Whether this is a copy of an entry that was applied before;
        `accepted` and `reason` are those of the first time.
    """

    allotment: str
    seq: int
    accepted: bool
    reason: EntryReason = ''
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentClosed:
    """Result of a `Close`: the remainder was returned to the budget."""

    allotment: str
    closer: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseRejected:
    """A `Close` without effect.

    `reason` is ``closed`` for an allotment that has ended, ``not_allowed``
    for a closer that may not close it, ``invalid`` for another organisation.
    """

    allotment: str
    closer: str
    reason: Literal['closed', 'not_allowed', 'invalid']


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecided:
    """Result of a `Claim`; if `won`, the holder may run the request."""

    organisation: str
    request_id: str
    holder: str
    won: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAbandoned:
    """Result of a `ClaimAbandon`; it is accepted from the claim's holder."""

    organisation: str
    request_id: str
    holder: str
    accepted: bool


LedgerResult = (
    BudgetApplied
    | GrantDecided
    | EntryApplied
    | AllotmentClosed
    | CloseRejected
    | ClaimDecided
    | ClaimAbandoned
)


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetView:
    """Budget of an organisation, with the sums of its allotments."""

    budget_tokens: int
    spent_tokens: int
    outstanding_tokens: int

    @property
    def free_tokens(self) -> int:
        """Tokens available for grants.

        Negative after an operator has lowered the budget below the sum of
        spent and outstanding tokens.
        """
        return self.budget_tokens - self.spent_tokens - self.outstanding_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentView:
    """Allotment; `tokens` excludes transferred and returned tokens.

    A provisional allotment (entries that wait for their transfer) has an
    empty holder and 0 tokens.
    """

    allotment: str
    organisation: str
    holder: str
    journal_peer: str | None
    tokens: int
    spent_tokens: int
    closed: bool
    provisional: bool = False

    @property
    def remaining_tokens(self) -> int:
        """Tokens that are unspent according to the log."""
        return self.tokens - self.spent_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimView:
    """Claim of a router on the right to run a non-idempotent request."""

    holder: str
    body_digest: str
    state: ClaimState
