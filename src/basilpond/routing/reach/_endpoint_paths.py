"""Whether a router itself reaches the endpoints.

A router may be cut off from all endpoints while callers, the log and the
other routers reach it. A failed connection may be the fault of its endpoint;
failures at several endpoints, without a connection to any in between, point to
the router. They are proved to be its own once another router reaches one of
these endpoints: if endpoints are down, no router does.
"""

from __future__ import annotations

from collections.abc import Collection
import enum

# Endpoints with a failed connection, without a successful one in between, at
# which connections are opened through other routers; fewer if fewer are
# listed.
SUSPECT_ENDPOINTS = 2
# Age up to which failures count; a connection time-out takes 0.4 s.
WINDOW_S = 1.5
# Endpoints connected at which the router counts as connected again. A single
# one may be all that it reaches.
RETURNED_ENDPOINTS = 2


class PathState(enum.Enum):
    """How connections to endpoints are opened."""

    DIRECT = 'direct'
    # Through other routers, if those reach the endpoints.
    SUSPECTED = 'suspected'
    # The same; another router has reached an endpoint that this one does not.
    ISOLATED = 'isolated'


class EndpointPaths:
    """Connections of one router to endpoints, direct and through others.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds.

    Examples
    --------
    >>> paths = EndpointPaths()
    >>> paths.record_failed('e1', 0.0, listed=5)
    False
    >>> paths.record_failed('e2', 0.1, listed=5)
    True
    >>> paths.needs_relay('e3'), paths.state
    (True, <PathState.SUSPECTED: 'suspected'>)
    >>> paths.record_relayed('e2')
    True
    >>> paths.state
    <PathState.ISOLATED: 'isolated'>
    >>> paths.record_connected('e1'), paths.record_connected('e3')
    (False, True)
    >>> paths.needs_relay('e2')
    False
    """

    __slots__ = (
        '_failed_s',
        '_returned',
        '_state',
        '_threshold',
        '_unconnected',
    )

    def __init__(self) -> None:
        self._state = PathState.DIRECT
        # Time of the last failure, by endpoint, since the last response.
        self._failed_s: dict[str, float] = {}
        # Those whose failure was that no connection opened, or stayed open.
        self._unconnected: set[str] = set()
        # Endpoints connected since their last failure.
        self._returned: set[str] = set()
        self._threshold = RETURNED_ENDPOINTS

    @property
    def state(self) -> PathState:
        """How connections are opened now."""
        return self._state

    def needs_relay(self, endpoint_id: str) -> bool:
        """Whether a connection is to be opened through another router."""
        return (
            self._state is not PathState.DIRECT
            and endpoint_id not in self._returned
        )

    def record_failed(
        self,
        endpoint_id: str,
        now_s: float,
        *,
        listed: int,
        connected: bool = False,
    ) -> bool:
        """Record that a direct connection failed.

        Parameters
        ----------
        endpoint_id : str
        now_s : float
        listed : int
            Number of endpoints that the router knows.
        connected : bool
            Whether it had opened, and broke without a response to a request.
            The endpoint may have crashed then, so this proves nothing.

        Returns
        -------
        bool
            Whether the router suspects itself from now on.
        """
        self._failed_s[endpoint_id] = now_s
        if not connected:
            self._unconnected.add(endpoint_id)
        self._returned.discard(endpoint_id)
        self._threshold = min(RETURNED_ENDPOINTS, listed or RETURNED_ENDPOINTS)
        if self._state is not PathState.DIRECT:
            return False
        for other, failed_s in list(self._failed_s.items()):
            if now_s - failed_s >= WINDOW_S:
                del self._failed_s[other]
                self._unconnected.discard(other)
        if len(self._failed_s) < min(
            SUSPECT_ENDPOINTS, listed or SUSPECT_ENDPOINTS
        ):
            return False
        self._state = PathState.SUSPECTED
        return True

    def record_response(self) -> None:
        """Record a response on a direct connection.

        Connections that were open before a cut may still work, so this ends
        no suspicion.
        """
        if self._state is PathState.DIRECT:
            self._failed_s.clear()
            self._unconnected.clear()

    def record_connected(self, endpoint_id: str) -> bool:
        """Record a direct connection that stays open.

        Returns
        -------
        bool
            Whether the router reaches the endpoints again.
        """
        self._failed_s.pop(endpoint_id, None)
        self._unconnected.discard(endpoint_id)
        if self._state is PathState.DIRECT:
            return False
        self._returned.add(endpoint_id)
        if len(self._returned) < self._threshold:
            return False
        self._state = PathState.DIRECT
        self._failed_s.clear()
        self._unconnected.clear()
        self._returned.clear()
        return True

    def record_relayed(self, endpoint_id: str) -> bool:
        """Record a connection through another router.

        Returns
        -------
        bool
            Whether this proves that the router is cut off.
        """
        if (
            self._state is not PathState.SUSPECTED
            or endpoint_id not in self._unconnected
        ):
            return False
        self._state = PathState.ISOLATED
        return True

    def next_probe(self, listed: Collection[str]) -> str | None:
        """Return the endpoint to connect to next, to see whether it is back.

        Those that have been tried the longest ago come first.

        Parameters
        ----------
        listed : collection of str
            Endpoints that the router knows.
        """
        candidates = [e for e in listed if e not in self._returned]
        return min(
            candidates,
            key=lambda e: self._failed_s.get(e, float('-inf')),
            default=None,
        )
