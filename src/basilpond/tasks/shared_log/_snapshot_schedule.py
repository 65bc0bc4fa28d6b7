"""Decides when a router appends a snapshot to a stream."""

from __future__ import annotations

from collections.abc import Collection

# A router waits this long for each live router with a lower id. It is longer
# than it takes to append a snapshot and read it back, so that two routers
# rarely append one each. The rank is bounded, because a late snapshot is worse
# than two snapshots.
RANK_WAIT_S = 2.0
MAX_RANK = 10


class SnapshotSchedule:
    """Tracks the age of the newest snapshot, in log time and in records.

    Between entries, the log time is estimated from the event loop's clock, so
    that an idle stream gets snapshots too.

    Parameters
    ----------
    retention_ms : int
        Time for which the log keeps entries. A snapshot is due when the
        newest one is a quarter of this time old.
    every_records : int
        A snapshot is also due after this number of records.
    """

    def __init__(self, *, retention_ms: int, every_records: int) -> None:
        self.retention_ms = retention_ms
        self.every_records = every_records
        self._log_time_ms = 0
        self._read_s = 0.0
        self._snapshot_time_ms: int | None = None
        self._records = 0
        self._due_since_s: float | None = None
        self._stale = False

    def add_entry(self, time_ms: int, records: int, now_s: float) -> None:
        """Count an entry that was read.

        Parameters
        ----------
        time_ms : int
            Log time of the entry.
        records : int
            Number of its records.
        now_s : float
            Clock of the event loop.
        """
        self._log_time_ms = max(self._log_time_ms, time_ms)
        self._read_s = now_s
        self._records += records
        if self._snapshot_time_ms is None:
            self._snapshot_time_ms = time_ms

    def add_snapshot(self, time_ms: int) -> None:
        """Record that a snapshot with this log time was read."""
        self._snapshot_time_ms = time_ms
        self._records = 0
        self._stale = False

    def start_from(self, time_ms: int, now_s: float) -> None:
        """Reset to a loaded snapshot, whose state has this log time."""
        self._log_time_ms = time_ms
        self._read_s = now_s
        self.add_snapshot(time_ms)

    def request(self) -> None:
        """Make a snapshot due now, for example after an outdated one."""
        self._stale = True

    def should_append(
        self, now_s: float, local_id: str, live_routers: Collection[str]
    ) -> bool:
        """Return whether this router should append a snapshot now.

        The live router with the lowest id appends first; each other router
        appends only if those with lower ids have not done so in time.

        Parameters
        ----------
        now_s : float
            Clock of the event loop.
        local_id : str
            Incarnation id of this router.
        live_routers : collection of str
            Incarnation ids, with or without this router.
        """
        if not self._is_due(now_s):
            self._due_since_s = None
            return False
        if self._due_since_s is None:
            self._due_since_s = now_s
        rank = sum(1 for other in live_routers if other < local_id)
        return now_s >= self._due_since_s + RANK_WAIT_S * min(rank, MAX_RANK)

    def _is_due(self, now_s: float) -> bool:
        if self._snapshot_time_ms is None:
            return False
        log_now_ms = self._log_time_ms + (now_s - self._read_s) * 1000
        return (
            self._stale
            or log_now_ms - self._snapshot_time_ms >= self.retention_ms / 4
            or self._records >= self.every_records
        )
