"""Whether a router that is full for long leaves the load balancer's rotation.

A refusal does not stop the bytes that callers have already sent. Only the load
balancer can lead new connections to another router.

The load balancer chooses by a hash of the client, so the load of one large
client comes back whole as soon as its router is ready again. In a data centre
with many routers, a router that becomes full again soon after its return
therefore stays out for longer each time, until the load has found a router
that can carry it.
"""

from __future__ import annotations

from collections import deque

# Time for which the router has to be full. Peers say so in their reports, up
# to 1 s old, so routers that become full together know of each other.
_FULL_S = 1.5
# Pause in which a router that is full counts as full throughout.
_MAX_PAUSE_S = 0.5
# Time after the load until the router is ready again. Clients that come back
# fill a link of 5 Mbit/s within a second.
_CALM_S = 2.0
# Longest time out of rotation within a window.
_WINDOW_S = 12.0
_MAX_OUT_S = 6.0
# Time that must be left of it: the load balancer needs 2 s to take a router
# out, so a shorter time has no effect.
_MIN_OUT_S = 3.0
# Share of the routers of the data centre that may be out for longer than that:
# the platform expects seven eighths of the routers to be ready.
_LONG_OUT_SHARE = 1 / 8
# First and longest time out of rotation for these routers. A router with a
# link of 10 Mbit/s that comes back to the same load is full again within 2 s,
# and 3 s more pass until it is out: a quarter of the time that it was out.
_FIRST_OUT_S = 20.0
_LONGEST_OUT_S = 120.0
# Share of the peers of the data centre that may be full as well. With more of
# them, the others have no room for the load.
_MAX_FULL_SHARE = 0.25


class Readiness:
    """Readiness of one router under its own load.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds.

    Examples
    --------
    >>> readiness = Readiness()
    >>> readiness.update(True, peers=4, full_peers=0, now_s=0.0)
    True
    >>> readiness.update(True, peers=4, full_peers=0, now_s=1.5)
    False
    >>> readiness.update(True, peers=4, full_peers=1, now_s=1.6)
    True
    """

    __slots__ = (
        '_full_seen_s',
        '_full_since_s',
        '_helps',
        '_is_long',
        '_lasts',
        '_long_out_s',
        '_outs',
        '_returned_s',
        'is_ready',
    )

    def __init__(self) -> None:
        self.is_ready = True
        self._full_since_s: float | None = None
        self._full_seen_s = float('-inf')
        # Whether the router has been full for long, and not calm since.
        self._lasts = False
        # Begin and end of the times out of rotation; the last one goes on
        # while the router is not ready.
        self._outs: deque[tuple[float, float]] = deque()
        # Whether the present time out of rotation is a long one, the shortest
        # length of the last long one, and when the router came back from it.
        self._is_long = False
        self._long_out_s = 0.0
        self._returned_s = float('-inf')
        # Whether the load leaves with the rotation. Not so if the load
        # balancer uses all routers, or the router is full for another cause.
        self._helps = True

    @property
    def states_full(self) -> bool:
        """Whether reports to the peers say that the router is full.

        It counts as full until it is ready again, as its load would return.
        """
        return self._full_since_s is not None or not self.is_ready

    def update(
        self, is_full: bool, *, peers: int, full_peers: int, now_s: float
    ) -> bool:
        """Return whether the router is ready.

        Parameters
        ----------
        is_full : bool
            Whether the router is full now.
        peers : int
            Other live routers of the data centre.
        full_peers : int
            Those of them that say that they are full, or say nothing.
        now_s : float
        """
        self._update_full(is_full, now_s)
        if not self.is_ready:
            begin_s, _ = self._outs[-1]
            self._outs[-1] = begin_s, now_s
        while self._outs and self._outs[0][1] <= now_s - _WINDOW_S:
            self._outs.popleft()
        peers_have_room = full_peers < _MAX_FULL_SHARE * peers
        if self.is_ready:
            may_be_long = self._helps and full_peers + 1 <= _LONG_OUT_SHARE * (
                peers + 1
            )
            if self._lasts and (
                may_be_long
                or (peers_have_room and self._left_s(now_s) >= _MIN_OUT_S)
            ):
                self._begin_out(now_s, is_long=may_be_long)
        elif self._is_long:
            self._continue_long(peers_have_room, now_s)
        else:
            # A router that is out stays so until its time is used up.
            self.is_ready = not (
                self._lasts and peers_have_room and self._left_s(now_s) > 0
            )
        return self.is_ready

    def _left_s(self, now_s: float) -> float:
        # Time for which the router may be out of rotation in this window.
        return _MAX_OUT_S - sum(
            end_s - max(begin_s, now_s - _WINDOW_S)
            for begin_s, end_s in self._outs
        )

    def _begin_out(self, now_s: float, *, is_long: bool) -> None:
        self.is_ready = False
        self._outs.append((now_s, now_s))
        self._is_long = is_long
        if not is_long:
            return
        if now_s - self._returned_s < self._long_out_s:
            # The load came back with the router.
            self._long_out_s = min(_LONGEST_OUT_S, 2 * self._long_out_s)
        else:
            self._long_out_s = _FIRST_OUT_S

    def _continue_long(self, peers_have_room: bool, now_s: float) -> None:
        # A long time out ends early only if the peers need the router: that
        # one of them is full, as the load has moved there, is no reason.
        if not peers_have_room:
            self._long_out_s = 0.0
            self.is_ready = True
            return
        begin_s, _ = self._outs[-1]
        if now_s - begin_s < self._long_out_s:
            return
        self._helps = not self._lasts
        self._returned_s = now_s
        self.is_ready = True

    def _update_full(self, is_full: bool, now_s: float) -> None:
        if is_full:
            if (
                self._full_since_s is None
                # Nothing is known of a pause of the process.
                or now_s - max(self._full_since_s, self._full_seen_s)
                > _MAX_PAUSE_S
            ):
                self._full_since_s = now_s
            self._full_seen_s = now_s
            if now_s - self._full_since_s >= _FULL_S:
                self._lasts = True
            return
        calm_s = now_s - self._full_seen_s
        if calm_s >= (_CALM_S if self._lasts else _MAX_PAUSE_S):
            self._full_since_s = None
            self._lasts = False
            self._helps = True
