"""Escrow accounts of prepaid tokens, and proofs that a holder has ended."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

# Time after its last heartbeat at which a router may exceed its ceiling, by a
# clock that counts suspended time. Processes write a heartbeat every 0.3 s and
# restart 0.8 s after a kill, or 1.7 s after a power failure of the machine.
OUTAGE_S = 2.6
# Time after its last heartbeat at which a router may exceed its limit for
# short outages. Half of a fleet that was killed 2.2 s into an outage was back
# 3.2 s after its last heartbeats: tokens above the limit are then proved
# unused, so routers may own more of them.
LONG_OUTAGE_S = 4.0
# Part of the owned tokens above the ceiling that may be used in a short
# outage. With a larger part, that kill lost more than 0.1 of a budget.
_SHORT_OUTAGE_SHARE = 0.3
# Proofs by the fleet clock end this much earlier than those by the clocks of
# the machine, as the clocks of the fleet agree to 0.2 s only.
_FLEET_MARGIN_S = 0.3
# A holder has one append in flight, whose accounts are one revision newer than
# those in the log. A reduction by its successor takes precedence over them.
_REDUCTION_STEP = 2


@dataclasses.dataclass(slots=True, frozen=True)
class EscrowAccount:
    """Escrow account of one holder for one organisation.

    Parameters
    ----------
    owned : int
        Cumulative tokens that the holder may ever consume. Negative if it
        has returned more than it was granted, out of tokens that it received
        from other holders.
    ceiling : int
        Cumulative tokens that it consumes at most while the log responds.
    revision : int
        Increases with each change of the account. A log that was restored
        from a copy may return an older revision than the newest.
    """

    owned: int
    ceiling: int
    revision: int = 0

    @property
    def short_outage_limit(self) -> int:
        """Cumulative tokens that it consumes at most in a short outage."""
        above_ceiling = max(0, self.owned - self.ceiling)
        return self.ceiling + int(above_ceiling * _SHORT_OUTAGE_SHARE)

    def reduced(
        self, heartbeat: ClockReading, successor: ClockReading
    ) -> EscrowAccount | None:
        """Return the account without the tokens that were provably not used.

        Parameters
        ----------
        heartbeat : ClockReading
            Last heartbeat of the holder in the log.
        successor : ClockReading
            Taken when the next process on the same machine started.

        Returns
        -------
        EscrowAccount or None
            None if no tokens can be proved unused, and the account stays.
        """
        if heartbeat.proves_end_within(successor, OUTAGE_S):
            limit = self.ceiling
        elif heartbeat.proves_end_within(successor, LONG_OUTAGE_S):
            limit = self.short_outage_limit
        else:
            return None
        if limit >= self.owned:
            return None
        return EscrowAccount(limit, limit, self.revision + _REDUCTION_STEP)


@dataclasses.dataclass(slots=True, frozen=True)
class ClockReading:
    """Time by the clocks of a machine; appended to the log as a heartbeat.

    Parameters
    ----------
    boot_ms : int
        Time since the machine started, including time suspended.
    wall_ms : int
        Unix time by the clock of the machine.
    fleet_ms : int or None
        Unix time on which a majority of routers agrees; None if unknown.
    """

    boot_ms: int
    wall_ms: int
    fleet_ms: int | None = None

    def proves_within_ceiling(self, successor: ClockReading) -> bool:
        """Whether the holder certainly ended before it exceeded its ceiling.

        Parameters
        ----------
        successor : ClockReading
            Taken when the next process on the same machine started.
        """
        return self.proves_end_within(successor, OUTAGE_S)

    def proves_end_within(
        self, successor: ClockReading, outage_s: float
    ) -> bool:
        """Whether the holder certainly ended within a time from this reading.

        Parameters
        ----------
        successor : ClockReading
            Taken when the next process on the same machine started.
        outage_s : float
            Time after this reading.
        """
        limit_ms = outage_s * 1000
        # Both clocks of the machine have to agree, as the boot-time clock
        # starts from zero when the machine does.
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
    """Newest known accounts of all holders.

    They are applied from the records of the log, and learned from statements
    of other routers. The revision decides which one is newer. Those that the
    log does not contain at their newest revision are unwritten: the log was
    restored from a copy that is older than they are, or an append of an
    earlier process was executed late.
    """

    __slots__ = ('_accounts', '_ceilings', '_totals', '_unwritten')

    def __init__(self) -> None:
        self._accounts: dict[str, dict[str, tuple[EscrowAccount, int]]] = {}
        self._totals: dict[str, int] = {}
        self._ceilings: dict[str, int] = {}
        self._unwritten: dict[tuple[str, str], None] = {}

    def apply(
        self,
        organisation: str,
        holder: str,
        account: EscrowAccount,
        offset: int,
    ) -> None:
        """Apply a record of an account; ignored if a newer one is known.

        Parameters
        ----------
        organisation, holder : str
        account : EscrowAccount
        offset : int
            Position of the record in the log.
        """
        known, known_offset = self.account(organisation, holder)
        if account.revision < known.revision:
            if offset > known_offset:
                self._set(organisation, holder, known, -1)
            return
        if account.revision == known.revision and offset <= known_offset:
            return
        self._set(organisation, holder, account, offset)

    def learn(
        self, organisation: str, holder: str, account: EscrowAccount
    ) -> None:
        """Apply an account that was not read from the log.

        Parameters
        ----------
        organisation, holder : str
        account : EscrowAccount
        """
        known, _ = self.account(organisation, holder)
        if account.revision > known.revision:
            self._set(organisation, holder, account, -1)

    def forget_offsets(self) -> None:
        """Treat all accounts as unwritten, as the log may have lost them."""
        for organisation, accounts in self._accounts.items():
            for holder, (account, _) in list(accounts.items()):
                self._set(organisation, holder, account, -1)

    def unwritten(self) -> list[tuple[str, str]]:
        """Return the accounts that the log does not contain.

        Returns
        -------
        list of (str, str)
            Organisations and holders.
        """
        return list(self._unwritten)

    def _set(
        self,
        organisation: str,
        holder: str,
        account: EscrowAccount,
        offset: int,
    ) -> None:
        accounts = self._accounts.setdefault(organisation, {})
        previous, _ = accounts.get(holder, (EMPTY_ACCOUNT, -1))
        total_owned = self._totals.get(organisation, 0)
        self._totals[organisation] = (
            total_owned + account.owned - previous.owned
        )
        ceiling = self._ceilings.get(organisation, 0)
        self._ceilings[organisation] = (
            ceiling + account.ceiling - previous.ceiling
        )
        accounts[holder] = account, offset
        if offset < 0:
            self._unwritten[organisation, holder] = None
        else:
            self._unwritten.pop((organisation, holder), None)

    def total_owned(self, organisation: str) -> int:
        """Return the sum of the tokens owned by all holders."""
        return self._totals.get(organisation, 0)

    def owned_by(
        self, organisation: str, selects: Callable[[str], bool]
    ) -> int:
        """Return the sum of the tokens owned by some holders.

        Parameters
        ----------
        organisation : str
        selects : callable
            Called with a holder; returns whether it counts.
        """
        return sum(
            account.owned
            for holder, (account, _) in self._accounts.get(
                organisation, {}
            ).items()
            if selects(holder)
        )

    def total_ceiling(self, organisation: str) -> int:
        """Return the sum of the ceilings of all holders."""
        return self._ceilings.get(organisation, 0)

    def account(
        self, organisation: str, holder: str
    ) -> tuple[EscrowAccount, int]:
        """Return an account and its offset in the log.

        An empty account and offset -1 if the holder has none.
        """
        return self._accounts.get(organisation, {}).get(
            holder, (EMPTY_ACCOUNT, -1)
        )

    def holders(self) -> set[str]:
        """Return the holders that have any account."""
        return {
            holder
            for accounts in self._accounts.values()
            for holder in accounts
        }

    def accounts_of(self, holder: str) -> dict[str, EscrowAccount]:
        """Return the accounts of a holder by organisation."""
        return {
            organisation: accounts[holder][0]
            for organisation, accounts in self._accounts.items()
            if holder in accounts
        }
