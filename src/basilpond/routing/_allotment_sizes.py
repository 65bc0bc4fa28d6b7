"""How much of a prepaid budget one router owns, and up to which ceiling."""

from __future__ import annotations

import dataclasses

import xxhash

# An allotment lasts this long at the present rate where the budget is ample:
# outages of the platform's store take 4 to 9 s.
ALLOTMENT_S = 15.0
# Part of what is not spent that routers may own without using it.
IDLE_SHARE = 0.8
# Parts of the budget that one router, and all together, own without using
# them: what a router owned whose end cannot be proved is lost to all callers.
# Four of eight killed in an outage took 0.4 of the budgets with them, and too
# few requests were served afterwards. With the limit for short outages the
# same kill takes 0.1; one later in an outage takes half of what is idle then.
_MAX_IDLE_SHARE = 0.04
_MAX_FLEET_IDLE_SHARE = 0.4
# Part of the pool that routers own together whatever they use, so that an
# outage right after a start, or of callers that move, finds tokens.
_MIN_POOL_SHARE = 0.4
# Routers together own what all callers of an organisation use in this time,
# as its callers may all be at one router: outages take up to 9 s.
_FLEET_USE_S = 10.0
# Smallest allotment that is kept without use; a mean long prompt takes 12,000
# tokens.
_MIN_ALLOTMENT_TOKENS = 12_000
# Smallest number of routers, on average, that own such a part: with one or two
# chosen by hash it happens that nobody owns any.
_MIN_OWNERS = 4
# A ceiling is this far ahead of the use at the present rate, so that most
# requests do not wait for it.
_CEILING_S = 5.0
# Part of a free allotment that is under the ceiling whatever the rate, for
# the first request of an organisation at a router whose log is slow.
_CEILING_SHARE = 0.4
# Ceilings of all routers together are ahead of the use by at most the larger
# of two parts of the budget, as a killed router's start cannot free them. The
# first is not owed: credit is for 0.97 of a budget. The second is this times
# the square of the part that no use covers: while most of it is left, nobody
# is refused for tokens that a kill keeps.
_CEILING_LIMIT_SHARE = 0.01
_CEILING_POOL = 0.25
# Allotments and ceilings are refilled below this share of their targets.
_REFILL_BELOW = 0.6
# Ceilings are lowered above this multiple of the target.
_LOWER_ABOVE = 1.5
# Allotments are given back above this multiple of the target.
_RETURN_ABOVE = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class BudgetState:
    """What a router knows of a budget when it sizes its allotment.

    Parameters
    ----------
    limit : int
        The budget.
    unowned : int
        Tokens that no row owns.
    idle_elsewhere : int
        Tokens that other routers own beyond their ceilings.
    free_tokens : int
        Tokens that this router owns and has not used.
    demand : int
        Sum of the bounds of the requests that wait here.
    rate_per_s : float
        Tokens that requests here took.
    fleet_rate_per_s : float
        Tokens by which the ceilings of all routers rise.
    ceiling_share : float
        This router's part of all ceilings.
    routers : int
        Live routers, this one included.
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

    @property
    def pool(self) -> int:
        """Tokens that no use covers, whoever owns them.

        By its share of what the others left over, a router that comes late
        would get too little.
        """
        return self.unowned + max(0, self.free_tokens) + self.idle_elsewhere

    @property
    def pool_share(self) -> float:
        """Part of the pool for this router; all parts add up to 1.

        Callers of an organisation may all be at one router. Ceilings follow
        the use, so they tell whose callers are where.
        """
        return (1 / max(1, self.routers) + self.ceiling_share) / 2


def owned_change(state: BudgetState, key: str) -> int:
    """Return how many tokens to own more, or less.

    Parameters
    ----------
    state : BudgetState
    key : str
        Of the organisation and the holder; spreads the least allotments.
    """
    free_tokens = max(0, state.free_tokens)
    maximum = min(
        state.pool * IDLE_SHARE * state.pool_share,
        state.limit
        * max(_MAX_IDLE_SHARE, _MAX_FLEET_IDLE_SHARE / max(1, state.routers)),
    )
    minimum = _min_allotment(state, key)
    target = int(max(min(ALLOTMENT_S * state.rate_per_s, maximum), minimum))
    missing = max(0, state.demand - free_tokens)
    if missing or state.free_tokens < _REFILL_BELOW * target:
        # Several routers may raise at once, and all but the first that ask
        # for more than there is are denied.
        headroom = min(target - state.free_tokens, state.unowned // 2)
        return min(state.unowned, max(missing, headroom))
    if free_tokens > _RETURN_ABOVE * max(target, 1) and free_tokens > maximum:
        return target - free_tokens
    return 0


def _min_allotment(state: BudgetState, key: str) -> float:
    fleet_minimum = min(
        max(
            state.pool * _MIN_POOL_SHARE, state.fleet_rate_per_s * _FLEET_USE_S
        ),
        state.pool * IDLE_SHARE,
        state.limit * _MAX_FLEET_IDLE_SHARE,
    )
    minimum = fleet_minimum / max(1, state.routers)
    owners = fleet_minimum / _MIN_ALLOTMENT_TOKENS
    if minimum >= _MIN_ALLOTMENT_TOKENS or owners < _MIN_OWNERS:
        return minimum
    # Parts that are smaller than a prompt serve nobody: some routers own a
    # useful part instead, and others ask them.
    digest = xxhash.xxh3_64_intdigest(key.encode())
    if digest / 2**64 < minimum / _MIN_ALLOTMENT_TOKENS:
        return _MIN_ALLOTMENT_TOKENS
    return 0.0


def next_ceiling(
    state: BudgetState, *, owned: int, local_use: int, ceiling: int
) -> int:
    """Return the ceiling of the next row.

    Parameters
    ----------
    state : BudgetState
    owned : int
        Of the next row.
    local_use : int
        Use that the row has to cover.
    ceiling : int
        Of the present row.
    """
    unused_share = state.pool / max(1, state.limit)
    maximum = state.limit * max(
        _CEILING_LIMIT_SHARE, _CEILING_POOL * unused_share**2
    )
    headroom = max(
        _CEILING_S * state.rate_per_s,
        _CEILING_SHARE * max(0, owned - local_use),
    )
    headroom = int(min(headroom, maximum * state.pool_share))
    minimum = local_use + state.demand
    ceiling = min(ceiling, owned)
    if ceiling < min(owned, minimum + _REFILL_BELOW * headroom):
        return min(owned, minimum + headroom)
    if ceiling > minimum + _LOWER_ABOVE * headroom:
        return min(owned, minimum + headroom)
    return ceiling
