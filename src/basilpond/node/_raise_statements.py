"""Statements of granted raises to other routers, which remember them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from ..routing import Allotments
from ..routing import EscrowAccount
from ..routing import EscrowAccounts

# Interval in which a granted raise is stated to other routers until one of
# them acknowledges it.
_STATEMENT_INTERVAL_S = 0.03
# Without an acknowledgement, time in which all routers that reach the log have
# read a record: they read every 0.2 s.
_READ_BY_ALL_S = 0.4
_NUMBER_BITS = 48


class RaiseStatements:
    """Delays the use of granted raises until another router knows of them.

    The log may lose the record of a raise that only this router has read. If
    this router ended then, nobody could write the record again, and its
    tokens would be granted a second time.

    Parameters
    ----------
    allotments : Allotments
    accounts : EscrowAccounts
    known_era : callable
        Returns the era of the log in which raises are decided now, or None.
    on_confirm : callable
        Called when raises may be used.
    """

    def __init__(
        self,
        allotments: Allotments,
        accounts: EscrowAccounts,
        known_era: Callable[[], int | None],
        on_confirm: Callable[[], None],
    ) -> None:
        self._allotments = allotments
        self._accounts = accounts
        self._known_era = known_era
        self._on_confirm = on_confirm
        # States accounts to some other routers, with the number of the
        # statement and the era; returns whether there are any routers.
        self.send: Callable[[int, int, dict[str, EscrowAccount]], bool] = (
            lambda number, era, accounts: False
        )
        # Late acknowledgements of an earlier process must not fit.
        self._last_number = random.getrandbits(_NUMBER_BITS)
        self._timer: asyncio.TimerHandle | None = None
        # Era, and revisions by organisation, of the open statements.
        self._stated: dict[int, tuple[int, dict[str, int]]] = {}
        # When the log granted a raise, by organisation.
        self._granted_s: dict[str, float] = {}

    def record_granted(self, organisation: str) -> None:
        """Record that the log granted a raise."""
        now_s = asyncio.get_running_loop().time()
        self._granted_s[organisation] = now_s

    def state(self) -> None:
        """State the raises that no other router has acknowledged."""
        era = self._known_era()
        raised = self._allotments.raises_to_confirm()
        if self._timer is not None or era is None or not raised:
            return
        self._last_number += 1
        revisions = {name: item.revision for name, item in raised.items()}
        if not self.send(self._last_number, era, raised):
            self._confirm(revisions)
            return
        self._stated[self._last_number] = era, revisions
        self._timer = asyncio.get_running_loop().call_later(
            _STATEMENT_INTERVAL_S, self._repeat
        )

    def learn(
        self,
        holder: str,
        era: int,
        accounts: dict[str, EscrowAccount],
        newest_era: int,
    ) -> bool:
        """Remember the raises of another router.

        Parameters
        ----------
        holder : str
        era : int
            Era in which they were granted.
        accounts : dict of str to EscrowAccount
            By organisation.
        newest_era : int
            Newest era that this router knows of.

        Returns
        -------
        bool
            Whether they are remembered. In a later era, accounts may already
            have been completed without them.
        """
        if era < newest_era:
            return False
        for organisation, account in accounts.items():
            self._accounts.learn(organisation, holder, account)
        return True

    def confirm(self, number: int) -> None:
        """Use the raises of a statement that another router remembers."""
        era, revisions = self._stated.get(number, (None, {}))
        if era is not None and era == self._known_era():
            self._confirm(revisions)

    def confirm_read_by_all(self, sent_s: float) -> None:
        """Use the raises that all routers have had the time to read.

        Parameters
        ----------
        sent_s : float
            Send time of a read that returned in the present era, by which the
            log had not lost the raises.
        """
        if not self._granted_s or self._known_era() is None:
            return
        raised = self._allotments.raises_to_confirm()
        self._confirm(
            {
                name: account.revision
                for name, account in raised.items()
                if sent_s - self._granted_s.get(name, float('inf'))
                >= _READ_BY_ALL_S
            }
        )

    def _repeat(self) -> None:
        self._timer = None
        self.state()

    def _confirm(self, revisions: dict[str, int]) -> None:
        for name, revision in revisions.items():
            if self._allotments.confirm_raise(name, revision):
                self._granted_s.pop(name, None)
        if not self._allotments.raises_to_confirm():
            self._stated.clear()
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
        self._on_confirm()
