"""Which routers to ask for prepaid tokens while the log is away."""

from __future__ import annotations

from collections.abc import Sequence
import heapq

from ._prepaid import Allotments

# Routers asked for tokens at a time.
MAX_DONORS = 8


class Donors:
    """What other routers can still give, as far as this one knows.

    Rows tell what a router owned when the log went away, and not what it has
    used or given away since. Each router that was asked says what it has
    left. That counts until its row changes or an outage makes more of it
    free.

    Parameters
    ----------
    allotments : Allotments
    """

    __slots__ = ('_allotments', '_remaining', '_rotation')

    def __init__(self, allotments: Allotments) -> None:
        self._allotments = allotments
        # By organisation and holder: tokens, offset of the row, limits that
        # had ceased to bind.
        self._remaining: dict[str, dict[str, tuple[float, int, int]]] = {}
        self._rotation = 0

    def record_remaining(
        self, organisation: str, holder: str, tokens: float, boot_ms: int
    ) -> None:
        """Take what a router that was asked can still give."""
        self._remaining.setdefault(organisation, {})[holder] = (
            tokens,
            self._allotments.account_offset(organisation, holder),
            self._limits_ended(boot_ms),
        )

    def _limits_ended(self, boot_ms: int) -> int:
        return self._allotments.in_outage(
            boot_ms
        ) + self._allotments.in_long_outage(boot_ms)

    def expected_tokens(
        self, organisation: str, holder: str, boot_ms: int
    ) -> float:
        """Return what a router is expected to have left."""
        remaining = self._recorded(organisation, holder, boot_ms)
        if remaining is None:
            return self._allotments.idle_tokens(organisation, holder)
        return remaining

    def _recorded(
        self, organisation: str, holder: str, boot_ms: int
    ) -> float | None:
        recorded = self._remaining.get(organisation, {}).get(holder)
        if recorded is None:
            return None
        tokens, offset, ended = recorded
        account_offset = self._allotments.account_offset(organisation, holder)
        if account_offset != offset or ended != self._limits_ended(boot_ms):
            return None
        return tokens

    def choose(
        self,
        organisation: str,
        holders: Sequence[str],
        share: float,
        boot_ms: int,
    ) -> list[str]:
        """Choose whom to ask; those with the most tokens left come first.

        Among equals, those that were not asked do, and then they take turns.
        Those chosen count as having given the share until they
        answer, so that the next round asks others.

        Parameters
        ----------
        organisation : str
        holders : sequence of str
            Of the other live routers.
        share : float
            Part of their free tokens that is asked for.
        boot_ms : int

        Returns
        -------
        list of str
        """
        if not holders:
            return []
        self._rotation = (self._rotation + MAX_DONORS) % len(holders)
        chosen = heapq.nlargest(
            MAX_DONORS,
            [*holders[self._rotation :], *holders[: self._rotation]],
            key=lambda holder: (
                self.expected_tokens(organisation, holder, boot_ms),
                self._recorded(organisation, holder, boot_ms) is None,
            ),
        )
        for holder in chosen:
            tokens = self.expected_tokens(organisation, holder, boot_ms)
            self.record_remaining(
                organisation, holder, tokens * (1 - share), boot_ms
            )
        return chosen
