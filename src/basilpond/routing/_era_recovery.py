"""When the state of the routers' log is complete after a restore.

Replays a log that comes back from a copy: it starts a new era without the
records of its last seconds. Raises that are decided by what it still contains
grant tokens a second time, so they wait until the routers that remember the
lost records have written them. Each router

1. writes its own accounts, and states so in its heartbeat;
2. once all live routers have done so, writes the accounts of other holders
   that it remembers and the log lacks, as these holders may have ended;
3. states in its heartbeat that the log contains all accounts that it knows;
4. once all live routers have stated this, writes a marker for the era.

The accounts are complete once the marker has been read. A router that started
after the restore remembers nothing, and waits for the marker of another one.
If fewer than two routers are left that remember, nobody knows what was granted
in the lost seconds: a single one may have been cut off from the others before.
The tokens that no account in the log owns are then reserved for good.
"""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable
import dataclasses
import enum

import xxhash

# Era of a store that never came back from a copy; 0 if it names none.
_FIRST_ERA = 1
# Time in which live routers write their own accounts; they notice an era
# within one read of 0.8 s, and most within 0.1 s.
_OWN_ACCOUNTS_S = 0.4
# Longest wait for the statements of live routers. One that cannot reach the
# log must not stop raises for the others: each granted raise is known to
# another router.
_STATEMENTS_S = 2.0
# Time after which no router that remembers the accounts is expected any more.
_SURVIVORS_S = 5.0
# Longest wait for a router that remembers them and cannot reach the log.
_MAX_WAIT_S = 20.0
# An account is written by one router, or by the next one after this time.
_TURN_S = 0.15
_MAX_TURN = 4
# An account that is unwritten for less than this is usually on its way.
_UNWRITTEN_S = 0.4


class Completion(enum.Enum):
    """How the accounts of an era become complete."""

    # Live routers wrote what they remembered, or there is nothing to remember.
    REMEMBERED = 'remembered'
    # At most one router remembers the accounts of the era before.
    RESERVED = 'reserved'


@dataclasses.dataclass(slots=True, frozen=True)
class EraStatement:
    """What a holder's heartbeat states about the accounts in the log.

    Parameters
    ----------
    written_era : int
        Era in which the holder has written all of its own accounts.
    known_era : int
        Era in which the log contains all accounts that the holder knows.
    remembers : bool
        Whether the holder knew all accounts of an earlier era.
    """

    written_era: int = -1
    known_era: int = -1
    remembers: bool = False


class EraRecovery:
    """State of one router after the log was restored.

    Times are those of the event loop, in seconds.

    Parameters
    ----------
    router_id : str
    is_first_start : bool
        Whether the whole fleet starts for the first time, so that a log
        without any accounts has lost none.
    """

    __slots__ = (
        '_began_s',
        '_complete_era',
        '_is_first_start',
        '_marker',
        '_router_id',
        '_statements',
        '_unwritten_since_s',
        'era',
    )

    def __init__(self, router_id: str, *, is_first_start: bool) -> None:
        self._router_id = router_id
        self._is_first_start = is_first_start
        # Era of the records that were applied last; None before the first.
        self.era: int | None = None
        self._began_s = 0.0
        self._marker = -1
        # Last era in which this router knew all accounts.
        self._complete_era: int | None = None
        self._statements: dict[str, EraStatement] = {}
        self._unwritten_since_s: dict[tuple[str, str], float] = {}

    @property
    def is_complete(self) -> bool:
        """Whether raises may be decided by the accounts known here."""
        return self.era is not None and self._complete_era == self.era

    def begin(self, era: int, now_s: float) -> None:
        """Start to apply the records of another era."""
        self.era = era
        self._began_s = now_s
        self._marker = -1
        self._statements.clear()
        self._unwritten_since_s.clear()

    def apply_marker(self, era: int) -> None:
        """Apply the record that states in which era accounts are complete."""
        self._marker = max(self._marker, era)
        if self._marker == self.era:
            self._complete_era = self.era

    def apply_statement(self, holder: str, statement: EraStatement) -> None:
        """Apply the heartbeat of a holder."""
        if self.is_complete:
            return
        self._statements[holder] = statement

    def finish_snapshot(self, *, has_accounts: bool) -> bool:
        """Record that the newest record of each key has been applied.

        Returns
        -------
        bool
            Whether this is the first start of the fleet, so that the marker
            has to be written before any account.
        """
        nothing_lost = self.era is not None and self.era <= _FIRST_ERA
        if (
            (self._is_first_start or nothing_lost)
            and self._complete_era is None
            and self._marker < 0
            and not has_accounts
        ):
            self._complete_era = self.era
            return True
        return False

    def accounts_to_write(
        self,
        unwritten: Iterable[tuple[str, str]],
        live_routers: Iterable[str],
        live_holders: Iterable[str],
        now_s: float,
    ) -> list[tuple[str, str]]:
        """Return the accounts that this router has to write for others.

        Parameters
        ----------
        unwritten : iterable of (str, str)
            Organisations and holders of accounts that the log lacks.
        live_routers : iterable of str
            Ids of the live routers, including this one.
        live_holders : iterable of str
            Holders of the other live routers.
        now_s : float
        """
        since_s = {
            key: self._unwritten_since_s.get(key, now_s) for key in unwritten
        }
        self._unwritten_since_s = since_s
        if not since_s:
            return []
        delay_s = _UNWRITTEN_S
        if not self.is_complete and self._have_written(live_holders):
            delay_s = 0.0
        routers = sorted(live_routers)
        return [
            (organisation, holder)
            for (organisation, holder), start_s in since_s.items()
            if now_s
            >= start_s + delay_s + _TURN_S * self._turn(holder, routers)
        ]

    def statement(
        self,
        *,
        written_era: int,
        has_unwritten: bool,
        live_holders: Iterable[str],
        now_s: float,
    ) -> EraStatement:
        """Return what this router's next heartbeat states.

        Parameters
        ----------
        written_era : int
            Era in which this router has written its own accounts.
        has_unwritten : bool
            Whether the log lacks accounts of others that are known here.
        live_holders : iterable of str
            Holders of the other live routers.
        now_s : float
        """
        era = -1 if self.era is None else self.era
        waited = now_s - self._began_s >= _OWN_ACCOUNTS_S
        knows_all = (
            written_era == era
            and not has_unwritten
            and (
                self.is_complete or waited or self._have_written(live_holders)
            )
        )
        return EraStatement(
            written_era,
            era if knows_all else -1,
            remembers=self._complete_era is not None,
        )

    def completion(
        self,
        own: EraStatement,
        live_holders: Iterable[str],
        now_s: float,
        *,
        registered_routers: int = 0,
        account_holders: Container[str] = (),
    ) -> Completion | None:
        """Return how to complete the era now, or None to wait.

        Parameters
        ----------
        own : EraStatement
            Statement of this router that the log has acknowledged.
        live_holders : iterable of str
            Holders of the other live routers.
        now_s : float
        registered_routers : int
            Number of other routers whose addresses are known, live or not.
        account_holders : container of str
            Holders that have any account.
        """
        if self.era is None or self.is_complete:
            return None
        if own.known_era != self.era:
            return None
        holders = list(live_holders)
        elapsed_s = now_s - self._began_s
        # A router that hears few others may have been cut off from them, and
        # may lack the raises of its last seconds in the era before.
        hears_most = 2 * (len(holders) + 1) > registered_routers + 1
        if elapsed_s < _STATEMENTS_S and not (
            hears_most
            and all(
                self._statement_of(holder).known_era >= self.era
                for holder in holders
            )
        ):
            return None
        # A live holder of accounts that has not written in this era remembers
        # the one before, too, but cannot reach the log.
        others_remember = any(
            self._statement_of(holder).remembers
            or (holder in account_holders and not self.has_written(holder))
            for holder in holders
        )
        # The only router that remembers may have been cut off while others
        # were granted raises, and cannot tell that from an outage.
        if self._complete_era is not None and (
            others_remember or not registered_routers
        ):
            return Completion.REMEMBERED
        limit_s = _MAX_WAIT_S if others_remember else _SURVIVORS_S
        return Completion.RESERVED if elapsed_s >= limit_s else None

    def has_written(self, holder: str) -> bool:
        """Whether a holder has written its accounts in the present era."""
        return self._statement_of(holder).written_era == self.era

    def writers(self) -> list[str]:
        """Return the holders that have written in the present era."""
        return [h for h in self._statements if self.has_written(h)]

    def _have_written(self, holders: Iterable[str]) -> bool:
        return all(self.has_written(holder) for holder in holders)

    def _statement_of(self, holder: str) -> EraStatement:
        return self._statements.get(holder, EraStatement())

    def _turn(self, holder: str, routers: list[str]) -> int:
        # Rendezvous hashing, so that routers with slightly different lists of
        # live ones agree on nearly all accounts.
        own = _score(holder, self._router_id)
        before = sum(_score(holder, router) > own for router in routers)
        return min(before, _MAX_TURN)


def _score(holder: str, router_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{holder}/{router_id}'.encode())
