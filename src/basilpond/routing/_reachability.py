"""Data centres that this router cannot reach.

Designed for a cut between data centres under load. Each send to an endpoint
beyond the cut waits for the connection time-out, and a data centre has many
endpoints: discovered one by one, they take up the time limits of the requests
until the cut ends. Time-outs of several endpoints in one data centre, without
a response from any of its endpoints in between, concern the way there.
"""

from __future__ import annotations

import dataclasses

# Endpoints with a time-out at which their data centre counts as unreachable.
# One endpoint may have lost power.
TIMED_OUT_ENDPOINTS = 2
# Age up to which time-outs count; a connection time-out takes 0.4 s.
WINDOW_S = 1.5
# Time until a request probes an unreachable data centre. Short, as a cut that
# has ended leaves half of the endpoints unused, and one request at a time
# pays for it.
PROBE_INTERVAL_S = 0.5
# Time for which other requests avoid the data centre during a probe: the
# connection time-out.
_PROBE_S = 0.4


@dataclasses.dataclass(slots=True)
class _DataCentre:
    # Time of the last time-out, by endpoint.
    timeouts_s: dict[str, float] = dataclasses.field(default_factory=dict)
    avoided_until_s: float | None = None


class Reachability:
    """Time-outs of endpoints by data centre, as seen by one router.

    The argument `now_s` of the methods is the present time by a monotonic
    clock, in seconds.

    Examples
    --------
    >>> reachability = Reachability()
    >>> reachability.record_timeout('dc-2', 'e1', 0.0)
    False
    >>> reachability.record_timeout('dc-2', 'e2', 0.1)
    True
    >>> reachability.is_avoided('dc-2', 0.2)
    True
    >>> reachability.record_response('dc-2')
    True
    >>> reachability.is_avoided('dc-2', 0.3)
    False
    """

    __slots__ = ('_data_centres',)

    def __init__(self) -> None:
        self._data_centres: dict[str, _DataCentre] = {}

    def record_timeout(
        self, data_centre: str, endpoint_id: str, now_s: float
    ) -> bool:
        """Record that an endpoint did not respond to a connection or data.

        Returns
        -------
        bool
            Whether the data centre becomes unreachable by this.
        """
        state = self._data_centres.setdefault(data_centre, _DataCentre())
        state.timeouts_s[endpoint_id] = now_s
        for other, timeout_s in list(state.timeouts_s.items()):
            if now_s - timeout_s >= WINDOW_S:
                del state.timeouts_s[other]
        known = state.avoided_until_s is not None
        if known or len(state.timeouts_s) >= TIMED_OUT_ENDPOINTS:
            state.avoided_until_s = now_s + PROBE_INTERVAL_S
            return not known
        return False

    def record_response(self, data_centre: str) -> bool:
        """Record a response of an endpoint of a data centre.

        Returns
        -------
        bool
            Whether the data centre was unreachable until now.
        """
        state = self._data_centres.pop(data_centre, None)
        return state is not None and state.avoided_until_s is not None

    def forget(self) -> None:
        """Take back all time-outs: the router itself was cut off."""
        self._data_centres.clear()

    def record_send(self, data_centre: str, now_s: float) -> None:
        """Record that a request is sent there, which may be a probe."""
        state = self._data_centres.get(data_centre)
        if (
            state is not None
            and state.avoided_until_s is not None
            and now_s >= state.avoided_until_s
        ):
            state.avoided_until_s = now_s + _PROBE_S

    def is_unreachable(self, data_centre: str) -> bool:
        """Whether the data centre counts as unreachable, probes included."""
        state = self._data_centres.get(data_centre)
        return state is not None and state.avoided_until_s is not None

    def is_avoided(self, data_centre: str, now_s: float) -> bool:
        """Whether requests avoid the data centre now."""
        state = self._data_centres.get(data_centre)
        return (
            state is not None
            and state.avoided_until_s is not None
            and now_s < state.avoided_until_s
        )
