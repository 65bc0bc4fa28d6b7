"""When a router appends a snapshot to a stream."""

from __future__ import annotations

from collections.abc import Collection

# Longer than a snapshot takes to be appended and read, so that the routers in
# the order of their ids rarely append two. The rank is bounded because a late
# snapshot is worse than two.
RANK_WAIT_S = 2.0
MAX_RANK = 10


class SnapshotSchedule:
    """Age of the newest snapshot, in log time and in records.

    Log time between entries is estimated with the event loop's clock, so that
    an idle stream gets snapshots too.

    Parameters
    ----------
    retention_ms : int
        A snapshot is due at a quarter of it.
    every_records : int
        Number of records after which it is due earlier.
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
        """Count an entry that was read."""
        self._log_time_ms = max(self._log_time_ms, time_ms)
        self._read_s = now_s
        self._records += records
        if self._snapshot_time_ms is None:
            self._snapshot_time_ms = time_ms

    def add_snapshot(self, time_ms: int) -> None:
        """Note that a snapshot with this log time was read."""
        self._snapshot_time_ms = time_ms
        self._records = 0
        self._stale = False

    def start_from(self, time_ms: int, now_s: float) -> None:
        """Start from a snapshot of a state with this log time."""
        self._log_time_ms = time_ms
        self._read_s = now_s
        self.add_snapshot(time_ms)

    def request(self) -> None:
        """Make a snapshot due, for example after an outdated one."""
        self._stale = True

    def should_append(
        self, now_s: float, local_id: str, live_routers: Collection[str]
    ) -> bool:
        """Tell whether this router appends a snapshot now.

        The live router with the lowest id does so first, the others only when
        it has not done so in time.
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
