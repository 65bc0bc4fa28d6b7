"""What callers, endpoints and the operator saw, and what processes used."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try of a request by its caller.

    `status` is None if no head of a response came. `problem` says what is
    wrong with a response of status 200 that ended as its framing says.
    """

    request_id: str
    number: int
    kind: str
    router: str
    sent_s: float
    status: int | None = None
    problem: str | None = None
    error: str | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request that reached an endpoint.

    It arrived at `earliest_s` at the earliest, since the event loop ran then
    and had not seen it, and at `at_s` at the latest.
    """

    endpoint: str
    data_centre: str
    kind: str
    request_id: str
    attempt: int
    earliest_s: float
    at_s: float
    # Whether the endpoint ran it, and whether it answered 421.
    is_run: bool = True
    is_misdirected: bool = False


@dataclasses.dataclass(slots=True)
class Evacuation:
    """An evacuation; `removed_s` is taken before its key is removed."""

    data_centre: str
    acknowledged_s: float
    removed_s: float = float('inf')


@dataclasses.dataclass(slots=True)
class ColdTime:
    """Time for which an endpoint is cold; ends early if it leaves."""

    endpoint: str
    from_s: float
    until_s: float


@dataclasses.dataclass(slots=True)
class Peak:
    """Most that the processes of a router used."""

    memory_bytes: int = 0
    descriptors: int = 0


@dataclasses.dataclass(slots=True)
class Evidence:
    """All observations of a run."""

    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    cold_times: list[ColdTime] = dataclasses.field(default_factory=list)
    # Router processes that ended by themselves or did not end when told to.
    ends: list[str] = dataclasses.field(default_factory=list)
    peaks: dict[str, Peak] = dataclasses.field(default_factory=dict)
    # Last response by router and kind of request, after the last fault.
    last_statuses: dict[tuple[str, str], int | None] = dataclasses.field(
        default_factory=dict
    )
    # Faults with the time of their start and of their end.
    time_line: list[tuple[float, str]] = dataclasses.field(
        default_factory=list
    )
