"""Results of the ledger fold and read-only views of its state."""

from __future__ import annotations

import dataclasses
from typing import Literal

EntryReason = Literal[
    '', 'duplicate_bill', 'closed', 'overdrawn', 'invalid', 'forgotten'
]
ClaimState = Literal['open', 'billed', 'abandoned']


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetApplied:
    """Result of a `BudgetSet`; not accepted when its version is not higher."""

    organisation: str
    manifest_version: int
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GrantDecided:
    """Result of a `Grant`; `granted_tokens` is 0 when it is denied."""

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
        ``duplicate_bill``: the request id is billed already, the tokens stay
        in the allotment. ``closed``: the allotment has ended. ``overdrawn``:
        more tokens than the allotment holds. ``invalid``: negative amount,
        other organisation, or an allotment id in use. ``forgotten``: set by
        the ledger task only, when a snapshot skipped the result.
    repeated : bool
        A copy of an entry that was applied before; `accepted` and `reason`
        are those of the first application.
    """

    allotment: str
    seq: int
    accepted: bool
    reason: EntryReason = ''
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentClosed:
    """An allotment ended and its remainder returned to the budget."""

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
    """Result of a `Claim`."""

    organisation: str
    request_id: str
    holder: str
    won: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAbandoned:
    """Result of a `ClaimAbandon`."""

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
    """Budget of an organisation.

    `free_tokens` is negative after an operator has lowered the budget below
    what is spent and outstanding.
    """

    budget_tokens: int
    spent_tokens: int
    outstanding_tokens: int

    @property
    def free_tokens(self) -> int:
        """Tokens that a grant may still take."""
        return self.budget_tokens - self.spent_tokens - self.outstanding_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentView:
    """Allotment; `tokens` excludes what was transferred or returned.

    A provisional allotment has no holder, 0 tokens and `provisional` set.
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
        """Tokens that the log still counts as unspent."""
        return self.tokens - self.spent_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimView:
    """Claim on a non-idempotent request."""

    holder: str
    body_digest: str
    state: ClaimState
