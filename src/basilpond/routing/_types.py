"""Data classes of routes, organisations, endpoints and requests."""

from __future__ import annotations

import dataclasses
import enum

# Callers of streams leave after the longest of these times without an event,
# also before the first one: a minimum, and multiples of the objective and of
# the pause that is on time.
_MIN_PATIENCE_S = 2.0
_PATIENCE_OBJECTIVES = 4.0
_PATIENCE_PAUSES = 8.0
# Part of the objective that a request which has waited in the router leaves
# its endpoint for the response to begin.
_ENDPOINT_SHARE = 0.5
# Part of its time that a request may wait; the rest is left to its caller to
# try again elsewhere.
_MAX_WAIT_SHARE = 0.7


class RouteKind(enum.Enum):
    """Kind of a route, which decides what may be retried.

    A request to a `SAFE` route may run more than once, and one to an `UNSAFE`
    route may not. One to a `STREAM` route may if the route is resumable.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Requests of one host and path prefix.

    Parameters
    ----------
    name, host, path_prefix : str
    kind : RouteKind
    timeout_s : float
        Longest time that a caller waits for a response.
    objective_s : float
        Time within which a response, or the first event of a stream, is due.
    pause_s : float
        Longest interval between two events of a stream that is on time.
    priority : int
        0 is served first.
    split : tuple of (str, float)
        Services and the weights by which requests are divided between them.
    max_attempts : int
        Largest number of endpoints at which one request may run.
    public : bool
        Whether requests carry no key.
    resumable : bool
        Whether a stream may continue at another endpoint after the last event
        received.
    generates : bool
        Whether requests are prompts for a model.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    pause_s: float
    priority: int
    split: tuple[tuple[str, float], ...]
    max_attempts: int
    public: bool
    resumable: bool
    generates: bool

    @property
    def retriable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        return self.kind is RouteKind.SAFE or self.continues_streams

    @property
    def continues_streams(self) -> bool:
        """Whether a stream may continue at another endpoint."""
        return self.kind is RouteKind.STREAM and self.resumable

    @property
    def patience_s(self) -> float:
        """Time after which callers leave if no response begins."""
        if self.kind is not RouteKind.STREAM:
            return float('inf')
        return max(
            _MIN_PATIENCE_S,
            _PATIENCE_OBJECTIVES * self.objective_s,
            _PATIENCE_PAUSES * self.pause_s,
        )

    def longest_wait_s(self, allowed_s: float) -> float:
        """Return how long a request may wait before it is sent.

        Parameters
        ----------
        allowed_s : float
            Time that the request may take.
        """
        return min(
            _MAX_WAIT_SHARE * allowed_s,
            self.patience_s - _ENDPOINT_SHARE * self.objective_s,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """Organisation with its keys and its prepaid budget.

    Parameters
    ----------
    name : str
    keys : tuple of str
    priority : int or None
        Overrides the priority of the route unless None.
    prepaid_tokens : int or None
        Cumulative tokens that it may consume; None is unlimited.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    prepaid_tokens: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on the connections of callers, as configured by the operators.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest header and body of a request.
    header_timeout_s : float
        Time within which a header has to be complete.
    idle_timeout_s : float
        Time for which a connection may be idle.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class ColdLimit:
    """Limit of a service on requests to each cold endpoint.

    Parameters
    ----------
    start_s : float
        Time for which an endpoint is cold after its start.
    per_s : float
        Requests a second that it takes meanwhile.
    """

    start_s: float
    per_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the configuration that the operators publish.

    Parameters
    ----------
    version : int
    routes : tuple of Route
    organisations : tuple of Organisation or None
        None if keys are not checked.
    services : frozenset of str
    limits : CallerLimits or None
        None leaves the current limits unchanged.
    cold_limits : tuple of (str, ColdLimit)
        By service; others send cold endpoints as many requests as warm ones.
    problems : tuple of str
        What was left out of the version, to be logged.
    """

    version: int
    routes: tuple[Route, ...]
    organisations: tuple[Organisation, ...] | None
    services: frozenset[str]
    limits: CallerLimits | None
    cold_limits: tuple[tuple[str, ColdLimit], ...] = ()
    problems: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """Endpoint as listed by the platform.

    Parameters
    ----------
    id : str
    boot_ms : int or None
        Unix time of its start; a process that was started again under the
        same id has no state of the previous one.
    service : str
    host : str
    port : int
    data_centre : str
    slots : int
        Number of requests that it processes concurrently.
    leaving : bool
        Whether it accepts no further requests.
    slow_start_s : float
        Remaining time for which it is slow after its start.
    sequence : int
        Number of its entry, which grows with each entry since its start.
    version : str
        Version of its software. What two versions write does not fit
        together: a stream may continue only at the version that began it.
    """

    id: str
    boot_ms: int | None
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    slow_start_s: float
    sequence: int = 0
    version: str = ''

    @property
    def incarnation(self) -> tuple[str, int | None, str, int]:
        """Key that changes with each start of the endpoint."""
        return self.id, self.boot_ms, self.host, self.port


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """Part of a prompt; parts with the same id have the same content."""

    id: int
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestMetadata:
    """Metadata of a request besides its method, path and body.

    Parameters
    ----------
    request_id : bytes
    deadline_s : float or None
        Time that the caller waits, from the start of the request.
    key : str or None
        Key of the organisation.
    prompt_tokens, max_output_tokens : int
        0 for requests that are not prompts.
    parts : tuple of PromptPart
        Parts of the prompt, in order.
    expected_output_tokens : int or None
        Estimate by the caller.
    last_event_id : bytes or None
        Event after which a stream is resumed.
    resumes : bytes or None
        Request id of the caller's attempt that brought the first event of the
        stream that is resumed.
    """

    request_id: bytes
    deadline_s: float | None
    key: str | None
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    expected_output_tokens: int | None
    last_event_id: bytes | None
    resumes: bytes | None = None

    @property
    def bound_tokens(self) -> int:
        """Largest number of tokens that the request may consume."""
        return self.prompt_tokens + self.max_output_tokens
