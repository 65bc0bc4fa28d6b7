"""Full incoming link of a router, seen by received bytes and time-outs.

Bytes that callers have sent fill the way to the router, where it cannot see
them. Responses of endpoints to a connection queue behind these bytes, so that
connections to sound endpoints time out.
"""

from __future__ import annotations

from collections import deque
import copy
import math

from .._retry_policy import MAX_CONNECTS

# Time over which received bytes are compared with the bandwidth. Long enough
# for several bodies, and short enough to end with the load.
_RATE_WINDOW_S = 0.5
# Shortest time over which a rate says something.
_MIN_RATE_S = 0.2
# Share of the bandwidth from which on the link may delay connections. Headers
# of packets, and datagrams, are not counted.
_BUSY_SHARE = 0.8
# Age up to which results of connecting count.
_EVIDENCE_S = 1.0
# Data centres, or endpoints of the router's own data centre, with time-outs at
# which the link is the common cause.
_MIN_SOURCES = 2
# A connection that is open within this time did not wait behind bodies; it is
# a quarter of the connection time-out, and longer than the way between data
# centres.
_QUICK_S = 0.1


class IncomingLink:
    """Whether the incoming link delays the connections of a router.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth; infinite if unknown, in which case the link is never full.
    data_centre : str
        Data centre of the router.

    Examples
    --------
    >>> link = IncomingLink(1000.0, 'dc-1')
    >>> link.record_received(0, 0.0)
    >>> link.record_received(450, 0.5)
    >>> link.record_timeout('dc-1', 'e1', 0.4, 0.5)
    False
    >>> link.record_timeout('dc-2', 'e2', 0.4, 0.5)
    True
    >>> link.wait_s(0.5)
    1.6
    """

    __slots__ = (
        '_bytes_per_s',
        '_connected_s',
        '_data_centre',
        '_quick_started_s',
        '_received',
        '_timeouts',
    )

    def __init__(
        self, bytes_per_s: float = math.inf, data_centre: str = ''
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._data_centre = data_centre
        # Times and totals of received bytes.
        self._received: deque[tuple[float, int]] = deque()
        # Time, duration, data centre and endpoint of each time-out.
        self._timeouts: deque[tuple[float, float, str, str]] = deque()
        # Times of connections that were opened.
        self._connected_s: deque[float] = deque()
        # When the last connection began that was open soon.
        self._quick_started_s = -math.inf

    def snapshot(self) -> IncomingLink:
        """Return a copy; reading the state drops old time-outs."""
        link = copy.copy(self)
        link._received = self._received.copy()
        link._timeouts = self._timeouts.copy()
        link._connected_s = self._connected_s.copy()
        return link

    def record_received(self, total_bytes: int, now_s: float) -> None:
        """Record all bytes that the process has received so far."""
        self._received.append((now_s, total_bytes))
        while self._received[0][0] < now_s - _RATE_WINDOW_S:
            self._received.popleft()

    def record_connected(self, took_s: float, now_s: float) -> None:
        """Record a connection to an endpoint that was opened."""
        self._connected_s.append(now_s)
        if took_s <= _QUICK_S:
            self._quick_started_s = max(self._quick_started_s, now_s - took_s)
        self._expire(now_s)

    def record_timeout(
        self,
        data_centre: str,
        endpoint_id: str,
        took_s: float,
        now_s: float,
        *,
        known: bool = False,
    ) -> bool:
        """Record a connection to an endpoint that timed out.

        Parameters
        ----------
        data_centre, endpoint_id : str
        took_s : float
        now_s : float
        known : bool
            Whether a failure of the endpoint is known; the time-out is then
            no evidence on the link.

        Returns
        -------
        bool
            Whether the link is the cause. Not so if another connection began
            later and was open soon: the link delivers in order.
        """
        if self._quick_started_s >= now_s - took_s:
            return False
        if not known:
            self._timeouts.append((now_s, took_s, data_centre, endpoint_id))
        return self.is_full(now_s)

    def used_share(self, now_s: float) -> float:
        """Return the share of the bandwidth that was lately received."""
        if not self._received or math.isinf(self._bytes_per_s):
            return 0.0
        first_s, first_bytes = self._received[0]
        last_s, last_bytes = self._received[-1]
        if last_s - first_s < _MIN_RATE_S or now_s - last_s > _RATE_WINDOW_S:
            return 0.0
        return (last_bytes - first_bytes) / (
            (last_s - first_s) * self._bytes_per_s
        )

    def is_busy(self, now_s: float) -> bool:
        """Whether what callers send uses most of the link."""
        return self.used_share(now_s) >= _BUSY_SHARE

    def is_full(self, now_s: float) -> bool:
        """Whether connections time out because of the link."""
        self._expire(now_s)
        if not self._timeouts or not self.is_busy(now_s):
            return False
        zones = {zone for _, _, zone, _ in self._timeouts}
        own = {
            endpoint
            for _, _, zone, endpoint in self._timeouts
            if zone == self._data_centre
        }
        return max(len(zones), len(own)) >= _MIN_SOURCES

    def wait_s(self, now_s: float) -> float:
        """Return the expected time that a request loses to time-outs."""
        if not self.is_full(now_s):
            return 0.0
        lost_s = sum(took_s for _, took_s, _, _ in self._timeouts)
        mean_s = lost_s / len(self._timeouts)
        opened = len(self._connected_s)
        if not opened:
            return mean_s * MAX_CONNECTS
        return mean_s * min(MAX_CONNECTS, len(self._timeouts) / opened)

    def _expire(self, now_s: float) -> None:
        while self._timeouts and (
            now_s - self._timeouts[0][0] > _EVIDENCE_S
            # A later connection was open soon, so the queue is gone.
            or self._quick_started_s > self._timeouts[0][0]
        ):
            self._timeouts.popleft()
        while self._connected_s and (
            now_s - self._connected_s[0] > _EVIDENCE_S
        ):
            self._connected_s.popleft()
