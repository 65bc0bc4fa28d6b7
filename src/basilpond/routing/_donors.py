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

    __slots__ = ('_allotments', '_left', '_turn')

    def __init__(self, allotments: Allotments) -> None:
        self._allotments = allotments
        # By organisation and holder: tokens, offset of the row, limits that
        # had ceased to bind.
        self._left: dict[str, dict[str, tuple[float, int, int]]] = {}
        self._turn = 0

    def note_left(
        self, organisation: str, holder: str, tokens: float, boot_ms: int
    ) -> None:
        """Take what a router that was asked can still give."""
        self._left.setdefault(organisation, {})[holder] = (
            tokens,
            self._allotments.row_offset(organisation, holder),
            self._limits_ended(boot_ms),
        )

    def _limits_ended(self, boot_ms: int) -> int:
        return self._allotments.in_outage(
            boot_ms
        ) + self._allotments.in_long_outage(boot_ms)

    def expected(self, organisation: str, holder: str, boot_ms: int) -> float:
        """Return what a router is expected to have left."""
        left = self._noted(organisation, holder, boot_ms)
        if left is None:
            return self._allotments.idle_of(organisation, holder)
        return left

    def _noted(
        self, organisation: str, holder: str, boot_ms: int
    ) -> float | None:
        noted = self._left.get(organisation, {}).get(holder)
        if noted is None:
            return None
        tokens, offset, ended = noted
        row_offset = self._allotments.row_offset(organisation, holder)
        if row_offset != offset or ended != self._limits_ended(boot_ms):
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
        self._turn = (self._turn + MAX_DONORS) % len(holders)
        chosen = heapq.nlargest(
            MAX_DONORS,
            [*holders[self._turn :], *holders[: self._turn]],
            key=lambda holder: (
                self.expected(organisation, holder, boot_ms),
                self._noted(organisation, holder, boot_ms) is None,
            ),
        )
        for holder in chosen:
            tokens = self.expected(organisation, holder, boot_ms)
            self.note_left(organisation, holder, tokens * (1 - share), boot_ms)
        return chosen
