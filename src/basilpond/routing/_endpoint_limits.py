"""Limits on the rate of requests that endpoints take from all routers.

Designed for an endpoint in need that names, in its responses, the requests a
second that it takes from all routers together, while many routers send to it
and each sees only the responses to its own requests. Routers report limits to
each other. Each limit is divided between a few routers, chosen by rendezvous
hash, so that each may send about one request a second or more: if every router
had a share, the first requests of all would exceed a limit below their number.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import xxhash

# Smallest share of a router, in requests a second, unless it is the only one.
_MIN_SHARE_PER_S = 1.0
# Smallest limit that is kept; an endpoint that gets no request at all cannot
# say that its limit has ended.
MIN_LIMIT_PER_S = 0.1
# Age of the last response at which a router with a share sends a request that
# other endpoints could take, to learn whether the limit has ended.
_PROBE_S = 1.0
# Age of the last response after which other routers get the shares, as those
# that have them may have no requests to send.
_ROTATION_S = 10.0
# Interval in which a limit that is named again is announced again.
_REANNOUNCE_S = 2.0
# The end of a limit is announced for this long.
_ENDED_S = 10.0
# Limits without a sign for this long are dropped: the endpoint is gone.
_EXPIRY_S = 600.0
_MAX_LIMITS = 1024


@dataclasses.dataclass(slots=True, frozen=True)
class LimitReport:
    """What an endpoint said of its limit.

    Parameters
    ----------
    incarnation : int
        Number of the endpoint process.
    per_s : float or None
        Requests a second of all routers together; None without a limit.
    named_s : float
        When it said so, by this router's clock.
    """

    incarnation: int
    per_s: float | None
    named_s: float


class _Limit:
    """Limit of one endpoint and this router's share, by GCRA."""

    __slots__ = (
        'announced_s',
        'named_s',
        'next_s',
        'per_s',
        'sent_s',
        'share_per_s',
    )

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.named_s = float('-inf')
        self.share_per_s = 0.0
        # Time of the next request that this router may send.
        self.next_s = float('-inf')
        self.sent_s = float('-inf')
        self.announced_s = float('-inf')

    def set_share(self, share_per_s: float, now_s: float) -> None:
        """Change the share of this router."""
        if share_per_s == self.share_per_s:
            return
        if share_per_s:
            # A router that had this share before may just have used it.
            self.next_s = now_s + 1 / share_per_s
        self.share_per_s = share_per_s


class EndpointLimits:
    """Limits of all endpoints, and what this router may send to them.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds; endpoints are given by the number of their process.

    Parameters
    ----------
    router_id : str

    Examples
    --------
    >>> limits = EndpointLimits('r-1')
    >>> limits.record_response(7, 2.0, sent_s=0.9, now_s=1.0)
    >>> limits.wait_s(7, 1.0)
    0.5
    >>> limits.record_sent(7, 1.5)
    >>> limits.wait_s(7, 1.75)
    0.25
    """

    __slots__ = ('_limits', '_new', '_router_id', '_routers')

    def __init__(self, router_id: str) -> None:
        self._router_id = router_id
        self._routers = [router_id]
        self._limits: dict[int, _Limit] = {}
        self._new: dict[int, LimitReport] = {}

    def __len__(self) -> int:
        return sum(limit.per_s is not None for limit in self._limits.values())

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint has named a limit lately."""
        return not self._limits

    @property
    def has_news(self) -> bool:
        """Whether other routers have to learn something."""
        return bool(self._new)

    def pop_news(self) -> list[LimitReport]:
        """Return and forget what other routers have to learn."""
        news = list(self._new.values())
        self._new.clear()
        return news

    def set_routers(self, routers: Iterable[str], now_s: float) -> None:
        """Divide the limits between live routers, this one included."""
        self._routers = list(routers)
        for incarnation, limit in list(self._limits.items()):
            if now_s - limit.named_s >= _EXPIRY_S:
                del self._limits[incarnation]
            else:
                self._divide(incarnation, limit, now_s)

    def record_response(
        self,
        incarnation: int,
        per_s: float | None,
        *,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record the limit that a response names.

        Parameters
        ----------
        incarnation : int
        per_s : float or None
            None if the response names no limit.
        sent_s : float
            When the request was sent.
        now_s : float
        """
        limit = self._limits.get(incarnation)
        if per_s is not None:
            per_s = max(MIN_LIMIT_PER_S, per_s)
        elif limit is None or limit.per_s is None or sent_s <= limit.named_s:
            # A response to an earlier request may have been composed before
            # the limit was named.
            return
        self.apply_report(LimitReport(incarnation, per_s, now_s), now_s)

    def apply_report(self, report: LimitReport, now_s: float) -> None:
        """Apply what this or another router was told."""
        limit = self._limits.get(report.incarnation)
        if limit is None:
            if len(self._limits) >= _MAX_LIMITS:
                return
            limit = self._limits[report.incarnation] = _Limit()
        if report.named_s <= limit.named_s:
            return
        limit.named_s = report.named_s
        changed = report.per_s != limit.per_s
        if changed:
            limit.per_s = report.per_s
            self._divide(report.incarnation, limit, now_s)
        if changed or report.named_s - limit.announced_s >= _REANNOUNCE_S:
            limit.announced_s = report.named_s
            self._new[report.incarnation] = report

    def limit_per_s(self, incarnation: int) -> float | None:
        """Return the requests a second of all routers, if limited."""
        limit = self._limits.get(incarnation)
        return None if limit is None else limit.per_s

    def share_per_s(self, incarnation: int) -> float | None:
        """Return the requests a second of this router, if limited."""
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return None
        return limit.share_per_s

    def wait_s(self, incarnation: int, now_s: float) -> float:
        """Return the time until this router may send a request.

        Returns
        -------
        float
            Seconds; infinite if this router has no share of the limit.
        """
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return 0.0
        if not limit.share_per_s:
            return float('inf')
        return max(0.0, limit.next_s - now_s)

    def needs_probe(self, incarnation: int, now_s: float) -> bool:
        """Whether a request should tell if the limit still holds."""
        limit = self._limits.get(incarnation)
        return (
            limit is not None
            and limit.per_s is not None
            and now_s - max(limit.named_s, limit.sent_s) >= _PROBE_S
            and not self.wait_s(incarnation, now_s)
        )

    def record_sent(self, incarnation: int, now_s: float) -> None:
        """Record a request that is sent now, or as soon as it may be."""
        limit = self._limits.get(incarnation)
        if limit is not None and limit.per_s and limit.share_per_s:
            limit.next_s = max(now_s, limit.next_s) + 1 / limit.share_per_s
            limit.sent_s = now_s

    def reports(self, now_s: float) -> Iterator[LimitReport]:
        """Yield what to tell routers that may not know it."""
        for incarnation, limit in self._limits.items():
            if limit.per_s is not None or now_s - limit.named_s < _ENDED_S:
                yield LimitReport(incarnation, limit.per_s, limit.named_s)

    def _divide(self, incarnation: int, limit: _Limit, now_s: float) -> None:
        if limit.per_s is None:
            limit.share_per_s = 0.0
            return
        holders = max(
            1, min(len(self._routers), int(limit.per_s / _MIN_SHARE_PER_S))
        )
        rotation = int(max(0.0, now_s - limit.named_s) / _ROTATION_S)
        seed = incarnation + (rotation << 32)
        rank = router_rank(self._router_id, self._routers, seed)
        limit.set_share(
            limit.per_s / holders if rank < holders else 0.0, now_s
        )


def router_rank(router_id: str, routers: Iterable[str], seed: int) -> int:
    """Return how many routers come before one in an order by hash.

    Routers that see the same others agree on the order.
    """
    own = _score(router_id, seed)
    return sum(_score(router, seed) > own for router in routers)


def _score(router_id: str, seed: int) -> int:
    return xxhash.xxh64_intdigest(router_id.encode(), seed)
