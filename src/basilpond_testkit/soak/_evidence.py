"""What callers, endpoints and the operator saw, and what processes used."""

from __future__ import annotations

import dataclasses
from dataclasses import field


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
    retry_after_s: float = 0.0


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
class Period:
    """Time for which an endpoint is cold, or a data centre is evacuated."""

    name: str
    from_s: float
    until_s: float = float('inf')


@dataclasses.dataclass(slots=True)
class Evidence:
    """All observations of a run."""

    attempts: list[Attempt] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    # From the acknowledgement of the key until before its removal.
    evacuations: list[Period] = field(default_factory=list)
    cold: list[Period] = field(default_factory=list)
    # Router processes that ended by themselves or did not end when told to.
    ends: list[str] = field(default_factory=list)
    # Most bytes and most descriptors of the processes of each router.
    peaks: dict[str, tuple[int, int]] = field(default_factory=dict)
    # Last status by router and kind of request, after the last fault.
    last: dict[tuple[str, str], int] = field(default_factory=dict)
    # Times at which faults began and ended.
    faults: list[tuple[float, str]] = field(default_factory=list)
