"""Escrow accounts of prepaid tokens, and proofs that a holder has ended."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

# Time after its last heartbeat at which a router may exceed its ceiling, by a
# clock that counts suspended time. Processes write a heartbeat every 0.3 s and
# restart 0.8 s after a kill.
OUTAGE_S = 1.2
# Time in which the tokens that a router owns above its ceiling become usable,
# from `OUTAGE_S` on. Outages of the platform's store take 4 to 9 s, and large
# prompts come early in them. A machine that loses power for 2 s is back 2.7 s
# after its last heartbeat.
RELEASE_S = 4.2
# Ages by the fleet clock are taken as this much longer, as the clocks of the
# fleet agree to 0.2 s only.
_FLEET_MARGIN_S = 0.3
# Longer ages by the fleet clock prove nothing: the more time passes, the more
# clocks may have jumped together.
_MAX_FLEET_AGE_S = 6.0
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

    def limit_after(self, age_s: float) -> int:
        """Return what the holder consumes at most by an age of its heartbeat.

        Parameters
        ----------
        age_s : float
            Time since the holder composed its last heartbeat.

        Returns
        -------
        int
            Cumulative tokens; rises from the ceiling to the owned tokens.
        """
        above_ceiling = max(0, self.owned - self.ceiling)
        return self.ceiling + int(above_ceiling * released_share(age_s))

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
        age_s = heartbeat.proved_age_s(successor)
        if age_s is None:
            return None
        limit = self.limit_after(age_s)
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
        age_s = self.proved_age_s(successor)
        return age_s is not None and age_s < OUTAGE_S

    def proved_age_s(self, successor: ClockReading) -> float | None:
        """Return a time from this reading in which the holder has ended.

        Parameters
        ----------
        successor : ClockReading
            Taken when the next process on the same machine started.

        Returns
        -------
        float or None
            Seconds; None if the clocks prove nothing.
        """
        ages_s = []
        boot_ms = successor.boot_ms - self.boot_ms
        wall_ms = successor.wall_ms - self.wall_ms
        # Both clocks of the machine count, as the boot-time clock starts from
        # zero when the machine does. By both, it may have been up for longer
        # than the time of day shows, or the reverse.
        if boot_ms >= 0 and wall_ms >= 0:
            ages_s.append(max(boot_ms, wall_ms) / 1000)
        if self.fleet_ms is not None and successor.fleet_ms is not None:
            fleet_s = (successor.fleet_ms - self.fleet_ms) / 1000
            if 0 <= fleet_s < _MAX_FLEET_AGE_S:
                ages_s.append(fleet_s + _FLEET_MARGIN_S)
        return min(ages_s, default=None)


def released_share(age_s: float) -> float:
    """Return the usable part of the tokens above the ceiling, from 0 to 1.

    Parameters
    ----------
    age_s : float
        Time since the holder composed its last heartbeat.
    """
    return min(1.0, max(0.0, (age_s - OUTAGE_S) / RELEASE_S))


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

    def apply_copy(
        self,
        organisation: str,
        holder: str,
        account: EscrowAccount,
        offset: int,
    ) -> None:
        """Apply a record that another router wrote under a key of its own.

        Parameters
        ----------
        organisation, holder : str
        account : EscrowAccount
        offset : int
            Position of the record in the log.
        """
        known, known_offset = self.account(organisation, holder)
        if account.revision > known.revision or (
            account.revision == known.revision and known_offset < 0
        ):
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
