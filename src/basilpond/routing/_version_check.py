"""Comparison of a router's first configuration with those of its peers.

A router that has just started has only what the store lists. If the store has
come back from a copy, that may be older than the version that the other
routers apply. So a router asks them before it uses its first version, for a
bounded time.
"""

from __future__ import annotations

import enum

# Time in which at least one live router reports; reports are up to 1 s apart.
SILENCE_S = 1.2
# Longest time for which a first version is held back. A peer may report a
# version that it cannot transfer.
LIMIT_S = 3.0


class CheckState(enum.Enum):
    """What a router does next with its first configuration."""

    WAITING = 'waiting'
    # Fetch the newer version of a peer.
    FETCHING = 'fetching'
    # No live router has a newer version.
    NEWEST = 'newest'
    # No other router is registered, or none reports.
    ALONE = 'alone'
    # A newer version could not be fetched in time.
    EXPIRED = 'expired'

    @property
    def is_final(self) -> bool:
        """Whether the first configuration may be used."""
        return self not in (CheckState.WAITING, CheckState.FETCHING)


class VersionCheck:
    """Decides when a router that has started may use its configuration.

    Examples
    --------
    >>> check = VersionCheck()
    >>> check.update(4, None, registered=3, interval_s=0.05, now_s=0.0)
    <CheckState.WAITING: 'waiting'>
    >>> check.update(4, 7, registered=3, interval_s=0.05, now_s=0.1)
    <CheckState.WAITING: 'waiting'>
    >>> check.update(4, 7, registered=3, interval_s=0.05, now_s=0.2)
    <CheckState.FETCHING: 'fetching'>
    >>> check.update(7, 7, registered=3, interval_s=0.05, now_s=0.3)
    <CheckState.NEWEST: 'newest'>
    """

    __slots__ = ('_heard_s', '_present_s')

    def __init__(self) -> None:
        self._present_s: float | None = None
        self._heard_s: float | None = None

    def update(
        self,
        version: int | None,
        peer_version: int | None,
        *,
        registered: int | None,
        interval_s: float,
        now_s: float,
    ) -> CheckState:
        """Return what to do.

        Parameters
        ----------
        version : int or None
            This router's version; None if it has none.
        peer_version : int or None
            Newest version that live routers report; None if none is heard.
        registered : int or None
            Number of other routers that the store lists; None before it has
            been read.
        interval_s : float
            Interval between two reports of a router.
        now_s : float
            Present time by a monotonic clock.
        """
        if self._heard_s is None and peer_version is not None:
            self._heard_s = now_s
        if version is None:
            return CheckState.WAITING
        if self._present_s is None:
            self._present_s = now_s
        held_s = now_s - self._present_s
        if peer_version is None or self._heard_s is None:
            if registered == 0 or held_s >= SILENCE_S:
                return CheckState.ALONE
            return CheckState.WAITING
        if now_s - self._heard_s < interval_s:
            return CheckState.WAITING
        if peer_version <= version:
            return CheckState.NEWEST
        return CheckState.FETCHING if held_s < LIMIT_S else CheckState.EXPIRED
