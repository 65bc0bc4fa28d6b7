"""Notices about endpoints and crashes, spread with the gossip messages."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import dataclasses

from ..protocol import CrashNotice
from ..protocol import EndpointNotice
from ..protocol import Gossip
from ..protocol import encoded_size
from ._membership_types import MAX_AGE_MS
from ._membership_types import MembershipSettings

# Each kind of notice may use the free bytes of a message divided by this.
_BUDGET_DIVISOR = 4


@dataclasses.dataclass(slots=True)
class _Notice:
    """Stored notice; `value` is the number of crashes, 0 for endpoints."""

    started_s: float
    size_bytes: int
    value: int
    transmissions: int = 0


class _NoticeTable:
    """Notices of one kind, each sent a bounded number of times.

    Parameters
    ----------
    lifetime_s : float
        Notices expire when they are older.
    tolerance_s : float
        Reports whose start times differ by at most this are the same notice.
    max_notices : int
        Beyond this number the least recently changed notices are dropped.
    """

    def __init__(
        self, lifetime_s: float, tolerance_s: float, max_notices: int
    ) -> None:
        self._lifetime_s = lifetime_s
        self._tolerance_s = tolerance_s
        self._max_notices = max_notices
        self._notices: collections.OrderedDict[object, _Notice] = (
            collections.OrderedDict()
        )

    def get(self, key: object, now_s: float) -> _Notice | None:
        notice = self._notices.get(key)
        if notice and now_s - notice.started_s > self._lifetime_s:
            return None
        return notice

    def store(
        self,
        key: object,
        value: int,
        started_s: float,
        size_bytes: int,
        now_s: float,
    ) -> bool:
        """Store a notice; return whether it is new, later or higher."""
        if now_s - started_s > self._lifetime_s:
            return False
        known = self.get(key, now_s)
        if known is not None:
            later = started_s - known.started_s > self._tolerance_s
            if not later and value <= known.value:
                return False
            value = max(value, known.value)
            started_s = max(started_s, known.started_s)
        self._notices[key] = _Notice(started_s, size_bytes, value)
        self._notices.move_to_end(key)
        if len(self._notices) > self._max_notices:
            self._notices.popitem(last=False)
        return True

    def expire(self, now_s: float) -> None:
        for key, notice in list(self._notices.items()):
            if now_s - notice.started_s > self._lifetime_s:
                del self._notices[key]

    def select(
        self, budget_bytes: int, max_transmissions: int
    ) -> Iterator[tuple[object, _Notice]]:
        """Yield notices that fit into the budget, the least often sent first.

        Those already sent `max_transmissions` times are left out.
        """
        pending = [
            item
            for item in self._notices.items()
            if item[1].transmissions < max_transmissions
        ]
        pending.sort(key=lambda item: item[1].transmissions)
        for key, notice in pending:
            if notice.size_bytes > budget_bytes:
                continue
            budget_bytes -= notice.size_bytes
            notice.transmissions += 1
            yield key, notice


def _age_ms(notice: _Notice, now_s: float) -> int:
    return max(0, round((now_s - notice.started_s) * 1000))


class GossipNotices:
    """Notices of this router and of its peers.

    Parameters
    ----------
    settings : MembershipSettings

    Attributes
    ----------
    learned_endpoints, learned_crashes : list
        Notices learned from peers since the last `pop_learned`.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self.learned_endpoints: list[EndpointNotice] = []
        self.learned_crashes: list[CrashNotice] = []
        self._endpoints = _NoticeTable(
            settings.endpoint_notice_s,
            settings.notice_tolerance_s,
            settings.max_notices,
        )
        self._crashes = _NoticeTable(
            settings.crash_notice_s,
            settings.notice_tolerance_s,
            settings.max_notices,
        )

    def add_endpoint(self, endpoint: str, kind: int, now_s: float) -> None:
        """Add a notice of this router about an endpoint."""
        self._store_endpoint(endpoint, kind, now_s, now_s)

    def add_crash(self, body_digest: str, now_s: float) -> None:
        """Add a crash that this router observed.

        The count is one more than the highest one known here; crashes that
        two routers observe at the same time count once.
        """
        known = self._crashes.get(body_digest, now_s)
        crashes = known.value + 1 if known else 1
        self._store_crash(body_digest, crashes, now_s, now_s)

    def merge(self, gossip: Gossip, now_s: float) -> None:
        """Apply the notices of a message."""
        for notice in gossip.endpoints:
            started_s = now_s - notice.age_ms / 1000
            if self._store_endpoint(
                notice.endpoint, notice.kind, started_s, now_s
            ):
                self.learned_endpoints.append(notice)
        for notice in gossip.crashes:
            started_s = now_s - notice.age_ms / 1000
            if self._store_crash(
                notice.body_digest, notice.crashes, started_s, now_s
            ):
                self.learned_crashes.append(notice)

    def pop_learned(
        self,
    ) -> tuple[list[EndpointNotice], list[CrashNotice]]:
        """Return and clear the notices learned from peers."""
        learned = self.learned_endpoints, self.learned_crashes
        self.learned_endpoints, self.learned_crashes = [], []
        return learned

    def expire(self, now_s: float) -> None:
        """Drop expired notices."""
        self._endpoints.expire(now_s)
        self._crashes.expire(now_s)

    def select(
        self, budget_bytes: int, max_transmissions: int, now_s: float
    ) -> tuple[list[EndpointNotice], list[CrashNotice], int]:
        """Return notices for a message and their total size in bytes.

        Each notice is selected at most `max_transmissions` times.
        """
        used_bytes = 0
        endpoints = []
        for (endpoint, kind), notice in self._endpoints.select(
            budget_bytes // _BUDGET_DIVISOR, max_transmissions
        ):
            used_bytes += notice.size_bytes
            endpoints.append(
                EndpointNotice(
                    endpoint=endpoint,
                    kind=kind,
                    age_ms=_age_ms(notice, now_s),
                )
            )
        crashes = []
        for body_digest, notice in self._crashes.select(
            (budget_bytes - used_bytes) // _BUDGET_DIVISOR, max_transmissions
        ):
            used_bytes += notice.size_bytes
            crashes.append(
                CrashNotice(
                    body_digest=body_digest,
                    crashes=notice.value,
                    age_ms=_age_ms(notice, now_s),
                )
            )
        return endpoints, crashes, used_bytes

    def _store_endpoint(
        self, endpoint: str, kind: int, started_s: float, now_s: float
    ) -> bool:
        size_bytes = encoded_size(
            EndpointNotice(endpoint=endpoint, kind=kind, age_ms=MAX_AGE_MS)
        )
        return self._endpoints.store(
            (endpoint, kind), 0, started_s, size_bytes, now_s
        )

    def _store_crash(
        self, body_digest: str, crashes: int, started_s: float, now_s: float
    ) -> bool:
        size_bytes = encoded_size(
            CrashNotice(
                body_digest=body_digest, crashes=crashes, age_ms=MAX_AGE_MS
            )
        )
        return self._crashes.store(
            body_digest, crashes, started_s, size_bytes, now_s
        )
