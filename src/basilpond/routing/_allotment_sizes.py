"""Sizes of the allotment and the ceiling of a router for a prepaid budget."""

from __future__ import annotations

import dataclasses

import xxhash

# Time for which an allotment lasts at the present rate if the budget allows:
# outages of the platform's store take 4 to 9 s.
ALLOTMENT_S = 15.0
# Part of the unspent budget that all routers together may own without use.
IDLE_SHARE = 0.8
# Largest parts of the budget that one router, and all together, may own
# without use. Tokens of a killed router are lost to all callers unless they
# are proved unused: when four of eight routers were killed in an outage, 0.4
# of the budgets were lost, and too few requests were served afterwards. The
# gradual release of these tokens in an outage limits what such a kill loses.
_MAX_IDLE_SHARE = 0.04
_MAX_FLEET_IDLE_SHARE = 0.4
# Part of the pool that routers together own at any consumption, so that tokens
# are available in an outage right after a start, or when callers move to
# another router.
_MIN_POOL_SHARE = 0.4
# Routers together own the consumption of an organisation in this time, as all
# its callers may be at one router: outages take up to 9 s.
_FLEET_USE_S = 10.0
# Smallest allotment that is worth owning without use: a long prompt takes
# 12,000 tokens on average.
_MIN_ALLOTMENT_TOKENS = 12_000
# Smallest expected number of routers that own an unused part of a budget. They
# are selected by hash; with 8 expected, 1 budget in 3,000 has no owner. With
# all routers as owners, 84 of them held 240 tokens each of a small budget, too
# few for any prompt, and rewrote their accounts whenever the pool changed.
_MIN_OWNERS = 8
# Time by which a ceiling is ahead of the use at the present rate, if the loss
# that a kill may cause allows it, so that few requests wait for a record.
_CEILING_S = 5.0
# Part of the free tokens that is below the ceiling at any rate, for the first
# request of an organisation at a router whose log is slow.
_CEILING_SHARE = 0.4
# The next kill loses a part of what routers own without use. The largest part
# that all of them may own so therefore shrinks by this multiple of the part
# that killed routers have left unused, down to `_MIN_FLEET_IDLE_SHARE`.
_IDLE_SHARE_PER_LOSS = 6.0
_MIN_FLEET_IDLE_SHARE = 0.06
# Part of the budget that all kills of routers together may leave unused below
# the ceilings: only 0.97 of a budget has to be usable, and a successor cannot
# free these tokens. Ceilings of all routers together are ahead of the use by
# `_LEAD_SHARE` of what earlier kills have left of it, so that no number of
# kills loses more.
_LEAD_SHARE = 0.5
_LOSS_SHARE = 0.028
# Allotments and ceilings are raised below this fraction of their targets.
_REFILL_BELOW = 0.6
# Ceilings are lowered above this multiple of their target.
_LOWER_ABOVE = 1.5
# Allotments are reduced above this multiple of their target.
_RETURN_ABOVE = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class BudgetState:
    """State of a budget, as known to a router that sizes its allotment.

    Parameters
    ----------
    limit : int
        Budget in tokens.
    unowned : int
        Tokens that no router owns.
    idle_elsewhere : int
        Tokens that other routers own above their ceilings.
    free_tokens : int
        Tokens that this router owns and has not used. Negative if it used
        some before the organisation had a budget.
    demand : int
        Sum of the token bounds of the requests that wait at this router.
    rate_per_s : float
        Tokens per second held for requests at this router.
    fleet_rate_per_s : float
        Tokens per second by which the sum of all ceilings rises.
    ceiling_share : float
        This router's part of the sum of all ceilings, from 0 to 1.
    routers : int
        Number of live routers, including this one.
    lost : int
        Tokens that killed routers may have left unused.
    """

    limit: int
    unowned: int
    idle_elsewhere: int
    free_tokens: int
    demand: int
    rate_per_s: float
    fleet_rate_per_s: float
    ceiling_share: float
    routers: int
    lost: int = 0

    @property
    def pool(self) -> int:
        """Unused tokens: unowned, free here, or idle at other routers.

        Sizes are shares of this pool, not of the unowned tokens, as routers
        that raise their accounts later would get too little of these.
        """
        return self.unowned + max(0, self.free_tokens) + self.idle_elsewhere

    @property
    def pool_share(self) -> float:
        """Part of the pool for this router; all routers' parts add up to 1.

        Half of it is an equal share, half follows the consumption, as the
        callers of an organisation may all be at one router. Consumption is
        estimated by the ceilings, which follow the use.
        """
        return (1 / max(1, self.routers) + self.ceiling_share) / 2

    @property
    def fleet_idle_share(self) -> float:
        """Largest part of the budget that routers together own unused."""
        lost_share = self.lost / max(1, self.limit)
        return max(
            _MIN_FLEET_IDLE_SHARE,
            _MAX_FLEET_IDLE_SHARE - _IDLE_SHARE_PER_LOSS * lost_share,
        )

    @property
    def max_lead(self) -> float:
        """Largest number of tokens by which the ceiling exceeds the use."""
        return (
            max(0.0, _LOSS_SHARE * self.limit - self.lost)
            * _LEAD_SHARE
            * self.pool_share
        )


def owned_change(state: BudgetState, key: str) -> int:
    """Return by how many tokens the allotment should change.

    Parameters
    ----------
    state : BudgetState
    key : str
        Identifies the organisation and the holder. Its hash selects the
        routers that own an allotment where not all of them do.

    Returns
    -------
    int
        Positive to own more tokens, negative to return some.
    """
    free_tokens = max(0, state.free_tokens)
    maximum = min(
        state.pool * IDLE_SHARE * state.pool_share,
        state.limit
        * state.fleet_idle_share
        * max(
            _MAX_IDLE_SHARE / _MAX_FLEET_IDLE_SHARE, 1 / max(1, state.routers)
        ),
    )
    minimum = _min_allotment(state, key)
    target = int(max(min(ALLOTMENT_S * state.rate_per_s, maximum), minimum))
    missing = max(0, state.demand - free_tokens)
    if missing or state.free_tokens < _REFILL_BELOW * target:
        # If several routers raise their accounts at the same time and
        # request more than is unowned, only the first are granted. So at
        # most half of it is requested beyond the demand.
        headroom = min(target - state.free_tokens, state.unowned // 2)
        return min(state.unowned, max(missing, headroom))
    if free_tokens > _RETURN_ABOVE * max(target, 1) and free_tokens > maximum:
        return target - free_tokens
    return 0


def _min_allotment(state: BudgetState, key: str) -> int:
    fleet_minimum = min(
        max(
            state.pool * _MIN_POOL_SHARE, state.fleet_rate_per_s * _FLEET_USE_S
        ),
        state.pool * IDLE_SHARE,
        state.limit * state.fleet_idle_share,
    )
    routers = max(1, state.routers)
    owners = min(
        max(fleet_minimum / _MIN_ALLOTMENT_TOKENS, _MIN_OWNERS), routers
    )
    # Allotments smaller than a prompt cannot serve any. Instead, some routers
    # own a sufficient allotment, and the others request tokens from them.
    digest = xxhash.xxh3_64_intdigest(key.encode())
    if digest / 2**64 < owners / routers:
        return round(fleet_minimum / owners)
    return 0


def next_ceiling(
    state: BudgetState, *, owned: int, local_use: int, ceiling: int
) -> int:
    """Return the ceiling of the next record of this router's account.

    Parameters
    ----------
    state : BudgetState
    owned : int
        Cumulative owned tokens in the next record.
    local_use : int
        Cumulative use that the account has to cover.
    ceiling : int
        Ceiling in the last record.
    """
    headroom = max(
        _CEILING_S * state.rate_per_s,
        _CEILING_SHARE * max(0, owned - local_use),
    )
    headroom = int(min(headroom, state.max_lead))
    minimum = local_use + state.demand
    ceiling = min(ceiling, owned)
    if ceiling < min(owned, minimum + _REFILL_BELOW * headroom):
        return min(owned, minimum + headroom)
    if ceiling > minimum + _LOWER_ABOVE * headroom:
        return min(owned, minimum + headroom)
    return ceiling
