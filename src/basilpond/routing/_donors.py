"""Selection of routers to request prepaid tokens from in a log outage."""

from __future__ import annotations

from collections.abc import Sequence
import heapq

from ._prepaid import Allotments

# Routers that tokens are requested from at a time.
MAX_DONORS = 8


class Donors:
    """Estimates of the tokens that other routers can transfer.

    The escrow accounts state what a router owned when the log became
    unavailable, but not what it has used or transferred since. Each router
    that receives a request reports its remaining tokens. The report is valid
    until the router's account changes, or until the outage is so long that a
    further part of the allotments may be used.

    Parameters
    ----------
    allotments : Allotments
        Allotments of this router.
    """

    __slots__ = ('_allotments', '_remaining', '_rotation')

    def __init__(self, allotments: Allotments) -> None:
        self._allotments = allotments
        # By organisation and holder: remaining tokens, and at the time of the
        # report the offset of the account and the step of the outage at which
        # further tokens became usable.
        self._remaining: dict[str, dict[str, tuple[float, int, int]]] = {}
        self._rotation = 0

    def record_remaining(
        self, organisation: str, holder: str, tokens: float, boot_ms: int
    ) -> None:
        """Record the tokens that a router can still transfer.

        Parameters
        ----------
        organisation, holder : str
        tokens : float
            As reported by the router, or as estimated after a request.
        boot_ms : int
            Present time, as in `ClockReading.boot_ms`.
        """
        self._remaining.setdefault(organisation, {})[holder] = (
            tokens,
            self._allotments.account_offset(organisation, holder),
            self._released_steps(boot_ms),
        )

    def _released_steps(self, boot_ms: int) -> int:
        return self._allotments.released_steps(boot_ms)

    def expected_tokens(
        self, organisation: str, holder: str, boot_ms: int
    ) -> float:
        """Return the tokens that a router is expected to have remaining.

        Without a valid report, the tokens above the ceiling of its account.
        """
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
        tokens, offset, step = recorded
        account_offset = self._allotments.account_offset(organisation, holder)
        if account_offset != offset or step != self._released_steps(boot_ms):
            return None
        return tokens

    def choose(
        self,
        organisation: str,
        holders: Sequence[str],
        share: float,
        boot_ms: int,
    ) -> list[str]:
        """Choose routers to request tokens from.

        Those with the most remaining tokens come first. Among equals, those
        without an earlier request come first, and then they are chosen in
        rotation. A chosen router is assumed to have transferred the share
        until it responds, so that the next round selects others.

        Parameters
        ----------
        organisation : str
        holders : sequence of str
            Holders of the other live routers.
        share : float
            Part of their free tokens that is requested, from 0 to 1.
        boot_ms : int
            Present time, as in `ClockReading.boot_ms`.

        Returns
        -------
        list of str
            At most `MAX_DONORS` holders.
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
