"""What the dispatcher knows of routes, organisations and endpoints."""

from __future__ import annotations

import dataclasses
import enum


class RouteKind(enum.Enum):
    """What may be repeated."""

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
        Longest time that a caller is kept waiting.
    objective_s : float
        Time within which an answer, or the first event of a stream, is due.
    pause_s : float
        Longest pause between two events of a stream on time.
    priority : int
        Rank; 0 is served first.
    split : tuple of (str, float)
        Services and their weights.
    max_attempts : int
        Endpoints that one request may be sent to.
    public : bool
        Whether requests carry no key.
    resumable : bool
        Whether a stream may go on at another endpoint after its last event.
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
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """Holder of keys and of a prepaid budget.

    Parameters
    ----------
    name : str
    keys : tuple of str
    priority : int or None
        Goes before the rank of the route.
    prepaid_tokens : int or None
        Total that it may consume; None is unlimited.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    prepaid_tokens: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds on requests, from the operators."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """One version of what the operators declare."""

    version: int
    routes: tuple[Route, ...]
    organisations: tuple[Organisation, ...] | None
    services: frozenset[str]
    limits: CallerLimits | None


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """A server as the platform lists it.

    Parameters
    ----------
    id : str
    boot_ms : int or None
        Unix time of its start; a new start under the same id knows nothing
        of the one before.
    service : str
    host : str
    port : int
    data_centre : str
    slots : int
        Requests that it processes at once.
    leaving : bool
        Whether it takes no more requests.
    slow_start_s : float
        How much longer it is slow after its start.
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

    @property
    def incarnation(self) -> tuple[str, int | None, str, int]:
        """Key that changes with each start."""
        return self.id, self.boot_ms, self.host, self.port


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt; parts with one id are equal."""

    id: int
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestMetadata:
    """What a request tells of itself beside method, path and body.

    Parameters
    ----------
    request_id : bytes
    deadline_s : float or None
        Time that the caller waits.
    key : str or None
    prompt_tokens, max_output_tokens : int
        Zero for requests that are no prompts.
    parts : tuple of PromptPart
    expected_output_tokens : int or None
        The caller's estimate.
    last_event_id : bytes or None
        Event after which a stream goes on.
    """

    request_id: bytes
    deadline_s: float | None
    key: str | None
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    expected_output_tokens: int | None
    last_event_id: bytes | None

    @property
    def bound_tokens(self) -> int:
        """Most that the request may consume."""
        return self.prompt_tokens + self.max_output_tokens
