"""Endpoints of which one is chosen for a request."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ..routing import EndpointLimits
from ..routing import Reachability
from ._brittle_endpoints import BrittleEndpointWatch
from ._directory import EndpointEntry

# Longest wait for the limit of an endpoint, as a share of the objective.
LIMIT_WAIT_SHARE = 0.5


def within_limits(
    entries: Iterable[EndpointEntry],
    limits: EndpointLimits,
    brittle: BrittleEndpointWatch,
    now_s: float,
) -> list[EndpointEntry]:
    """Return the endpoints that admit a request now."""
    return [
        entry
        for entry in entries
        if not limits.wait_s(entry.incarnation_number, now_s)
        and not brittle.wait_s(entry, now_s)
    ]


def admitting_entries(
    fresh: list[EndpointEntry],
    entries: list[EndpointEntry],
    limits: EndpointLimits,
    brittle: BrittleEndpointWatch,
    reachability: Reachability,
    now_s: float,
) -> list[EndpointEntry]:
    """Return the endpoints that admit a request, or one to probe.

    Parameters
    ----------
    fresh : list of EndpointEntry
        Those at which the request was not tried, which are preferred.
    entries : list of EndpointEntry
    limits : EndpointLimits
    brittle : BrittleEndpointWatch
    reachability : Reachability
    now_s : float
    """
    admitting = within_limits(fresh, limits, brittle, now_s) or within_limits(
        entries, limits, brittle, now_s
    )
    probed = [
        entry
        for entry in admitting
        if limits.needs_probe(entry.incarnation_number, now_s)
        and not entry.load.is_avoided(now_s)
        and not reachability.is_avoided(entry.endpoint.data_centre, now_s)
    ]
    return probed or admitting


def lone_versions(entries: Iterable[EndpointEntry]) -> set[str]:
    """Return the software versions of which there is only one endpoint."""
    counts = Counter(entry.endpoint.version for entry in entries)
    return {
        version
        for version, count in counts.items()
        if count == 1 and len(counts) > 1
    }
