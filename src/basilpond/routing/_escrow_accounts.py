"""Rows of the holders of prepaid tokens, and the proof of a holder's end."""

from __future__ import annotations

import dataclasses

# Time from the last stamp after which a router may exceed its ceiling, by a
# clock that counts suspended time. Processes stamp every 0.3 s and are back
# 0.8 s after they were killed, or 1.7 s after their machines lost power.
OUTAGE_S = 2.6
# Time from the last stamp after which a router may exceed the limit for short
# outages. Half of a fleet was killed 2.2 s into an outage and back 3.2 s after
# its last stamps: what is beyond that limit is proved unused, so routers may
# own more of it.
LONG_OUTAGE_S = 4.0
# Part of what is owned beyond the ceiling that a short outage makes free. With
# more, that kill took over 0.1 of a budget with it.
_SHORT_OUTAGE_SHARE = 0.3
# Clocks of the fleet prove less than the machine's own by this much, as they
# agree to 0.2 s only.
_FLEET_MARGIN_S = 0.3


@dataclasses.dataclass(slots=True, frozen=True)
class EscrowAccount:
    """Row of a holder.

    Parameters
    ----------
    owned : int
        Tokens that the holder may consume, ever. Negative once it has given
        back more than it was granted, out of what others gave to it.
    ceiling : int
        Tokens that it consumes at most while the log answers.
    """

    owned: int
    ceiling: int

    @property
    def short_outage_limit(self) -> int:
        """Tokens that it consumes at most in an outage that is not long."""
        beyond = max(0, self.owned - self.ceiling)
        return self.ceiling + int(beyond * _SHORT_OUTAGE_SHARE)

    def reduced(
        self, heartbeat: ClockReading, successor: ClockReading
    ) -> EscrowAccount | None:
        """Return the row of a holder that ended; None if it stays.

        Parameters
        ----------
        heartbeat : ClockReading
            The holder's last one in the log.
        successor : ClockReading
            Taken when the next process on the same machine started.
        """
        if heartbeat.proves_end_within(successor, OUTAGE_S):
            limit = self.ceiling
        elif heartbeat.proves_end_within(successor, LONG_OUTAGE_S):
            limit = self.short_outage_limit
        else:
            return None
        return EscrowAccount(limit, limit) if limit < self.owned else None


@dataclasses.dataclass(slots=True, frozen=True)
class ClockReading:
    """Time of a holder's record.

    Parameters
    ----------
    boot_ms : int
        Clock of the machine that counts suspended time.
    wall_ms : int
        Time of day of the machine.
    fleet_ms : int or None
        Time of day by which a majority of routers agrees.
    """

    boot_ms: int
    wall_ms: int
    fleet_ms: int | None = None

    def proves_within_ceiling(self, successor: ClockReading) -> bool:
        """Whether the holder ended before it could exceed its ceiling.

        Parameters
        ----------
        successor : ClockReading
            Taken when the next process on the same machine started.
        """
        return self.proves_end_within(successor, OUTAGE_S)

    def proves_end_within(
        self, successor: ClockReading, outage_s: float
    ) -> bool:
        """Whether the holder ended before an outage had lasted this long.

        Parameters
        ----------
        successor : ClockReading
            Taken when the next process on the same machine started.
        outage_s : float
            Counted from this stamp.
        """
        limit_ms = outage_s * 1000
        # Both clocks of the machine have to agree, as the first one begins
        # anew when the machine does.
        if (
            0 <= successor.boot_ms - self.boot_ms < limit_ms
            and 0 <= successor.wall_ms - self.wall_ms < limit_ms
        ):
            return True
        if self.fleet_ms is None or successor.fleet_ms is None:
            return False
        age_ms = successor.fleet_ms - self.fleet_ms
        return 0 <= age_ms < limit_ms - _FLEET_MARGIN_S * 1000


EMPTY_ACCOUNT = EscrowAccount(0, 0)


class EscrowAccounts:
    """Rows of all holders, folded from the log."""

    __slots__ = ('_accounts', '_ceilings', '_totals')

    def __init__(self) -> None:
        self._accounts: dict[str, dict[str, tuple[EscrowAccount, int]]] = {}
        self._totals: dict[str, int] = {}
        self._ceilings: dict[str, int] = {}

    def apply(
        self,
        organisation: str,
        holder: str,
        account: EscrowAccount,
        offset: int,
    ) -> None:
        """Take a row; an older one than the known is ignored."""
        accounts = self._accounts.setdefault(organisation, {})
        previous, previous_offset = accounts.get(holder, (EMPTY_ACCOUNT, -1))
        if offset <= previous_offset:
            return
        total_owned = self._totals.get(organisation, 0)
        self._totals[organisation] = (
            total_owned + account.owned - previous.owned
        )
        ceiling = self._ceilings.get(organisation, 0)
        self._ceilings[organisation] = (
            ceiling + account.ceiling - previous.ceiling
        )
        accounts[holder] = account, offset

    def total_owned(self, organisation: str) -> int:
        """Return what the holders of an organisation's tokens own."""
        return self._totals.get(organisation, 0)

    def total_ceiling(self, organisation: str) -> int:
        """Return the sum of the ceilings of an organisation's rows."""
        return self._ceilings.get(organisation, 0)

    def account(
        self, organisation: str, holder: str
    ) -> tuple[EscrowAccount, int]:
        """Return a row and its offset; offset -1 if there is none."""
        return self._accounts.get(organisation, {}).get(
            holder, (EMPTY_ACCOUNT, -1)
        )

    def accounts_of(self, holder: str) -> dict[str, EscrowAccount]:
        """Return the rows of a holder by organisation."""
        return {
            organisation: accounts[holder][0]
            for organisation, accounts in self._accounts.items()
            if holder in accounts
        }
