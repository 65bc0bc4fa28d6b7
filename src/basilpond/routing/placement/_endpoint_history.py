"""Order of the entries of endpoints, also after the store lost records.

Within one era of the store, the order of its records is the order in which
they were written. When the store comes back from an older copy, a new era
begins, and what it lists may be older than what a router has read before. The
start and the sequence number of an entry then tell which one is newer.
"""

from __future__ import annotations

import dataclasses
import enum

from .._types import Endpoint

# Time for which a departure is remembered, several times the age that a copy
# of the store may have.
RETENTION_S = 60.0
# Departures remembered; beyond it the oldest are dropped.
_MAX_DEPARTURES = 4096


class EntryVerdict(enum.Enum):
    """What an entry says in comparison with what is remembered."""

    CURRENT = 'current'
    # Of the same start as the endpoint in service, and older.
    OLDER = 'older'
    # Of an earlier start than the endpoint in service.
    EARLIER_START = 'earlier start'
    # Written before the endpoint was removed.
    REMOVED = 'removed'
    # The same start has reported before that it is leaving.
    LEFT = 'left'


@dataclasses.dataclass(slots=True)
class _Known:
    boot_ms: int | None
    sequence: int
    leaving: bool
    # Whether an entry as new as this was read in the present era.
    confirmed: bool = True
    departed_s: float | None = None
    # Whether an entry with the same sequence number may have been written
    # before the departure.
    needs_progress: bool = False


class EndpointHistory:
    """Newest entry of each endpoint in service or recently departed.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds.

    Parameters
    ----------
    max_departures : int
        Number of departures remembered.

    Examples
    --------
    >>> endpoint = Endpoint(
    ...     'e', 1, 's', '10.0.0.1', 80, 'dc', 6, False, 0.0, sequence=7
    ... )
    >>> history = EndpointHistory()
    >>> history.begin_era(1)
    False
    >>> history.record(endpoint)
    >>> history.record_departure('e', 0.0)
    >>> history.begin_era(2)
    True
    >>> history.judge(endpoint, 1.0)
    <EntryVerdict.REMOVED: 'removed'>
    >>> newer = dataclasses.replace(endpoint, sequence=8)
    >>> history.judge(newer, 1.0)
    <EntryVerdict.CURRENT: 'current'>
    """

    __slots__ = ('_departures', '_known', '_max_departures', 'era')

    def __init__(self, *, max_departures: int = _MAX_DEPARTURES) -> None:
        self._max_departures = max_departures
        self._known: dict[str, _Known] = {}
        # Ids of departed endpoints, in the order of their departures.
        self._departures: dict[str, None] = {}
        self.era: int | None = None

    def __len__(self) -> int:
        return len(self._known)

    def begin_era(self, era: int) -> bool:
        """Note the era of the next entries; return whether records were lost.

        The first era of a router loses nothing that the router knows.
        """
        lost = self.era is not None and era != self.era
        self.era = era
        if lost:
            for known in self._known.values():
                known.confirmed = False
                known.needs_progress = True
        return lost

    def judge(self, endpoint: Endpoint, now_s: float) -> EntryVerdict:
        """Compare an entry with the newest one of its endpoint."""
        self._expire(now_s)
        known = self._known.get(endpoint.id)
        if known is None:
            return EntryVerdict.CURRENT
        departed = known.departed_s is not None
        if endpoint.boot_ms is None or known.boot_ms is None:
            # Nothing tells a new start from an older entry.
            return EntryVerdict.CURRENT
        if endpoint.boot_ms != known.boot_ms:
            if endpoint.boot_ms > known.boot_ms or known.confirmed:
                return EntryVerdict.CURRENT
            if departed:
                return EntryVerdict.REMOVED
            return EntryVerdict.EARLIER_START
        older = endpoint.sequence < known.sequence
        if older and not departed:
            return EntryVerdict.OLDER
        if known.leaving and (departed or not endpoint.leaving):
            return EntryVerdict.LEFT
        if older:
            return EntryVerdict.REMOVED
        repeated = endpoint.sequence == known.sequence
        if departed and known.needs_progress and repeated:
            return EntryVerdict.REMOVED
        return EntryVerdict.CURRENT

    def record(self, endpoint: Endpoint) -> None:
        """Record the entry of an endpoint that is in service."""
        known = self._known.get(endpoint.id)
        same = known is not None and known.boot_ms == endpoint.boot_ms
        self._known[endpoint.id] = _Known(
            endpoint.boot_ms,
            endpoint.sequence,
            endpoint.leaving or (same and known.leaving),
        )
        self._departures.pop(endpoint.id, None)

    def is_confirmed(self, endpoint_id: str) -> bool:
        """Whether the newest entry was read in the present era."""
        known = self._known.get(endpoint_id)
        return known is not None and known.confirmed

    def record_departure(
        self, endpoint_id: str, now_s: float, *, listed: bool = False
    ) -> None:
        """Record that an endpoint is no longer in service.

        Parameters
        ----------
        endpoint_id : str
        now_s : float
        listed : bool
            Whether the store still lists the endpoint.
        """
        known = self._known.get(endpoint_id)
        if known is None:
            return
        known.departed_s = now_s
        known.needs_progress = listed
        self._departures[endpoint_id] = None
        while len(self._departures) > self._max_departures:
            self._forget(next(iter(self._departures)))

    def record_leaving(self, incarnation: str) -> bool:
        """Record that a start has reported that it is leaving.

        Parameters
        ----------
        incarnation : str
            Id and time of the start, as routers exchange them.

        Returns
        -------
        bool
            Whether this start is remembered as departed.
        """
        endpoint_id, _, boot_ms = incarnation.rpartition('@')
        known = self._known.get(endpoint_id)
        if known is None or str(known.boot_ms) != boot_ms:
            return False
        known.leaving = True
        return known.departed_s is not None

    def retention_s(self, endpoint_id: str, now_s: float) -> float:
        """Return the time for which a departure is still remembered."""
        known = self._known.get(endpoint_id)
        if known is None or known.departed_s is None:
            return 0.0
        return max(0.0, known.departed_s + RETENTION_S - now_s)

    def inputs(self, endpoint_id: str, now_s: float) -> dict[str, object]:
        """Return what is remembered of an endpoint, for a log line."""
        known = self._known.get(endpoint_id)
        if known is None:
            return {}
        departed_s = known.departed_s
        return {
            'known_boot_ms': known.boot_ms,
            'known_sequence': known.sequence,
            'departed_age_s': None
            if departed_s is None
            else round(now_s - departed_s, 3),
        }

    def _expire(self, now_s: float) -> None:
        while self._departures:
            oldest = next(iter(self._departures))
            if self.retention_s(oldest, now_s) > 0:
                return
            self._forget(oldest)

    def _forget(self, endpoint_id: str) -> None:
        del self._departures[endpoint_id]
        del self._known[endpoint_id]
