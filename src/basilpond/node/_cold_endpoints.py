"""What a router learns of cold endpoints, from all sides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import itertools

from ..routing import Catalogue
from ..routing import ColdEndpoints
from ..routing import RouterView
from ._decision_log import DecisionLog
from ._directory import EndpointDirectory
from ._directory import EndpointEntry

# Endpoints per report; a data centre has 24 at most.
_MAX_REPORTED = 64
# Longest time that another router may name: one that is wrong must not limit
# an endpoint for long, and its reports come every second.
_MAX_TOLD_S = 30.0


class ColdEndpointWatch:
    """Records entries, failures and reports of endpoints that may be cold.

    Parameters
    ----------
    cold : ColdEndpoints
    directory : EndpointDirectory
    decisions : DecisionLog
    router_id : str
    """

    def __init__(
        self,
        cold: ColdEndpoints,
        directory: EndpointDirectory,
        decisions: DecisionLog,
        router_id: str,
    ) -> None:
        self.state = cold
        self._directory = directory
        self._decisions = decisions
        self._view = RouterView(router_id)
        # Returns whether a data centre is avoided.
        self.is_unreachable: Callable[[str, float], bool] = (
            lambda data_centre, now_s: False
        )
        # Returns the ids of registered routers, or None while unknown.
        self.registered_routers: Callable[[], Iterable[str] | None] = lambda: (
            None
        )
        # Endpoints whose coldness is logged.
        self._logged: set[int] = set()
        directory.on_entry = self.record_entry
        directory.on_removed = self._record_removed
        directory.limits_cold = cold.limits

    def apply_configuration(self, catalogue: Catalogue) -> None:
        """Apply the limits of the services."""
        limits = dict(catalogue.configuration.cold_limits)
        if not limits and self.state.is_empty:
            return
        self.state.set_limits(limits)
        for entry in self._directory:
            # Those that were read before are neither new nor returning.
            self.record_entry(entry, is_first_read=True)

    def record_entry(
        self, entry: EndpointEntry, *, is_first_read: bool = False
    ) -> None:
        """Record an entry that was read.

        Parameters
        ----------
        entry : EndpointEntry
        is_first_read : bool
            Whether the endpoint was listed before.
        """
        if self.state.is_empty:
            return
        endpoint = entry.endpoint
        now_s = _now_s()
        self.state.record_entry(
            entry.incarnation_number,
            endpoint.service,
            cold_s=endpoint.slow_start_s,
            sequence=endpoint.sequence,
            now_s=now_s,
            is_first_read=is_first_read or not self._directory.is_read,
            is_out_of_use=self._directory.is_evacuated(entry)
            or entry.load.is_avoided(now_s)
            or self.is_unreachable(endpoint.data_centre, now_s),
            is_delayed=self._directory.is_delayed(),
        )
        self._log(entry, 'entry')

    def _record_removed(self, entry: EndpointEntry) -> None:
        self.state.record_gone(entry.incarnation_number)
        self._logged.discard(entry.incarnation_number)

    def suspect(self, entry: EndpointEntry, reason: str) -> None:
        """Record that an endpoint could not be used, and may become cold."""
        if not self.state.is_empty:
            self.state.record_suspect(entry.incarnation_number, _now_s())
            self._log(entry, reason)

    def suspect_data_centre(self, data_centre: str, reason: str) -> None:
        """Record that the endpoints of a data centre could not be used."""
        for entry in self._directory:
            if entry.endpoint.data_centre == data_centre:
                self.suspect(entry, reason)

    def record_response(
        self, entry: EndpointEntry, cold_s: float | None
    ) -> None:
        """Record what a response of an endpoint says."""
        if cold_s and not self.state.is_empty:
            self.state.record_told(entry.incarnation_number, cold_s, _now_s())
            self._log(entry, 'response')

    def check_send(self, entry: EndpointEntry) -> bool:
        """Whether a request that was admitted before may be sent now."""
        return self.state.is_empty or self.state.confirm_sent(
            entry.incarnation_number, _now_s()
        )

    def record_sent(self, incarnation: int, now_s: float) -> None:
        """Record a request that is sent now, or as soon as it may be."""
        self.state.record_sent(incarnation, now_s)

    def update_routers(self, live: Iterable[str], now_s: float) -> None:
        """Divide the limits between live routers, this one included."""
        self.state.set_routers(
            self._view.update(live, self.registered_routers(), now_s), now_s
        )

    # Reports between routers.

    def reports(self, now_s: float) -> list[tuple[int, float]]:
        """Return endpoints that this router knows to be cold, and how long."""
        if self.state.is_empty:
            return []
        return list(itertools.islice(self.state.reports(now_s), _MAX_REPORTED))

    def apply_reports(
        self, times: Iterable[tuple[int, float]], now_s: float
    ) -> None:
        """Apply what another router knows."""
        for incarnation, left_s in times:
            self.state.record_told(
                incarnation,
                min(_MAX_TOLD_S, left_s),
                now_s,
                is_first_hand=False,
            )

    # Metrics.

    def count(self) -> int:
        """Return the number of endpoints that count as cold."""
        return self.state.count(_now_s())

    def share_used(self) -> float:
        """Return the part of what this router may send them that it sends."""
        return self.state.share_used(_now_s())

    def _log(self, entry: EndpointEntry, reason: str) -> None:
        incarnation = entry.incarnation_number
        now_s = _now_s()
        is_cold = self.state.is_cold(incarnation, now_s)
        if is_cold == (incarnation in self._logged):
            return
        if is_cold:
            self._logged.add(incarnation)
        else:
            self._logged.discard(incarnation)
        self._decisions.event(
            'endpoint_cold' if is_cold else 'endpoint_warm',
            endpoint=entry.endpoint.id,
            service=entry.endpoint.service,
            cold_s=round(self.state.cold_left_s(incarnation, now_s), 3),
            slots=self.state.slots(incarnation, now_s) if is_cold else None,
            reason=reason,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
