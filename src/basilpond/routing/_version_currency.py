"""Whether a router's configuration may be superseded.

A refusal of a request whose route or key is unknown is true only if no newer
version can be in force. Routers apply a version at different times: a large
one takes seconds over a slow link, and a router that is cut off does not learn
of any.
"""

from __future__ import annotations

import enum


class VersionCurrency(enum.Enum):
    """What a router knows of versions newer than its own."""

    CURRENT = 'current'
    # The log holds records that the router has not applied.
    UNREAD = 'configuration not read yet'
    # Another router applies a newer version.
    SUPERSEDED = 'newer configuration at another router'
    # The log may hold a newer version that is in force already.
    STALE = 'configuration may be outdated'

    @property
    def is_known_newer(self) -> bool:
        """Whether a newer version is known to exist."""
        return self in (VersionCurrency.UNREAD, VersionCurrency.SUPERSEDED)


def judge_currency(
    *,
    version: int,
    peer_version: int | None,
    has_unread: bool,
    read_age_s: float,
    apply_s: float,
) -> VersionCurrency:
    """Return whether a version may be superseded.

    Parameters
    ----------
    version : int
        Version in force at this router.
    peer_version : int or None
        Newest version that live routers report; None if none is heard.
    has_unread : bool
        Whether the log is known to hold records that are not applied.
    read_age_s : float
        Time since the last read that reached the end of the log.
    apply_s : float
        Time after which a version that the log has acknowledged is in force.

    Returns
    -------
    VersionCurrency

    Examples
    --------
    >>> judge_currency(
    ...     version=4,
    ...     peer_version=7,
    ...     has_unread=False,
    ...     read_age_s=0.5,
    ...     apply_s=2.0,
    ... )
    <VersionCurrency.SUPERSEDED: 'newer configuration at another router'>
    """
    if has_unread:
        return VersionCurrency.UNREAD
    if peer_version is not None and peer_version > version:
        return VersionCurrency.SUPERSEDED
    if read_age_s > apply_s:
        return VersionCurrency.STALE
    return VersionCurrency.CURRENT
