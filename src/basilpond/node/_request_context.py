"""State of one request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math

import xxhash

from ..http1 import CallerRequest
from ..http1 import EventSplitter
from ..http1 import Responder
from ..routing import Choice
from ..routing import Endpoint
from ..routing import Hold
from ..routing import Organisation
from ..routing import PromptPart
from ..routing import RequestMetadata
from ..routing import Route
from ..routing import RouteKind
from ..routing import part_key
from ..routing import prompt_prefixes
from ._directory import EndpointEntry
from ._peer_records import endpoint_number

# Time by which a response precedes the caller's own time limit, which began
# with the send and ends at the caller: the way there and back, and delays of
# the event loop. Not more than a share of short time limits.
_RESPONSE_MARGIN_S = 0.05
_MAX_MARGIN_SHARE = 0.1


class RefusedError(Exception):
    """The router itself refuses a request.

    Parameters
    ----------
    status : int
    reason : str
    retry_after_s : float or None
    **inputs
        Inputs of the decision, for the log.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **inputs: object,
    ) -> None:
        super().__init__(reason)
        self.inputs = inputs
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s

    @property
    def label(self) -> str:
        """Reason without request-specific details, as a metric label."""
        return self.reason.partition(':')[0].partition(' in version')[0]


class RequestContext:
    """A request in progress.

    Parameters
    ----------
    request : CallerRequest
    responder : Responder
    metadata : RequestMetadata
    route : Route
    organisation : Organisation or None
    service : str
    version : int
        Of the configuration that admitted the request.
    may_begin : callable
        Returns whether a stream may begin at an endpoint of its version.
    """

    __slots__ = (
        '_may_begin',
        '_time_limit',
        'charged_tokens',
        'complete',
        'deadline_s',
        'digest',
        'end_by_s',
        'events',
        'failed_connects',
        'first_byte_s',
        'first_sent_s',
        'hold',
        'is_version_stored',
        'last_part_s',
        'longest_pause_s',
        'metadata',
        'organisation',
        'part_keys',
        'pause_end_s',
        'possible_runs',
        'prompt_prefixes',
        'request',
        'reserved_retry',
        'respond_by_s',
        'responder',
        'route',
        'send_by_s',
        'sends',
        'service',
        'started_s',
        'stream_form',
        'stream_id',
        'stream_version',
        'tried_endpoints',
        'version',
    )

    def __init__(
        self,
        request: CallerRequest,
        responder: Responder,
        metadata: RequestMetadata,
        route: Route,
        organisation: Organisation | None,
        service: str,
        version: int,
        may_begin: Callable[[Endpoint], bool] = lambda endpoint: True,
    ) -> None:
        self.request = request
        self.responder = responder
        self.metadata = metadata
        self.route = route
        self.organisation = organisation
        self.service = service
        self.version = version
        self._may_begin = may_begin
        self.started_s = request.started_s
        allowed_s = route.timeout_s
        if metadata.deadline_s is not None:
            allowed_s = min(allowed_s, metadata.deadline_s)
        self.deadline_s = request.started_s + allowed_s
        # Time by which a response has to begin.
        self.respond_by_s = self.deadline_s
        if metadata.deadline_s is not None:
            self.respond_by_s = min(
                self.deadline_s,
                request.started_s + _less_margin_s(metadata.deadline_s),
            )
        self._time_limit: asyncio.Timeout | None = None
        # Time by which the request ends because the router stops.
        self.end_by_s = math.inf
        # A request that has not been sent by then is refused.
        self.send_by_s = request.started_s + route.longest_wait_s(allowed_s)
        # Identifies repeated requests of a caller regardless of request id.
        self.digest = xxhash.xxh3_128_hexdigest(
            b'\0'.join(
                (
                    request.method,
                    request.target,
                    (metadata.key or '').encode(),
                    request.body,
                )
            )
        )
        self.prompt_prefixes = prompt_prefixes(metadata.parts)
        # Of the parts that other requests may contain, too.
        self.part_keys = tuple(
            part_key(endpoint_number(service), part.id)
            for part in self.shared_parts
        )
        # Identifies a stream over the attempts of its caller. Callers of
        # different organisations may use the same request ids, and attempts
        # may be sent to services whose versions have the same names.
        first_attempt = metadata.request_id
        if self.is_taken_up and metadata.resumes is not None:
            first_attempt = metadata.resumes
        name = organisation.name if organisation else ''
        self.stream_id = xxhash.xxh3_64_hexdigest(
            b'\0'.join((name.encode(), service.encode(), first_attempt))
        )
        # Software version that began the stream, once the caller has an event.
        self.stream_version: str | None = None
        # Whether the log contains it.
        self.is_version_stored = False
        self.hold: Hold | None = None
        self.charged_tokens: int | None = None
        self.sends = 0
        self.first_sent_s: float | None = None
        self.failed_connects = 0
        # Sends after which an endpoint may have run the request.
        self.possible_runs = 0
        # Endpoint at which the next retry has a place; the retry budget has
        # recorded it.
        self.reserved_retry: tuple[EndpointEntry, Choice] | None = None
        # Ids of endpoints, in the order of the attempts.
        self.tried_endpoints: list[str] = []
        self.events = EventSplitter()
        # Status and media type of the stream that the caller receives.
        self.stream_form: tuple[int, bytes] | None = None
        self.first_byte_s: float | None = None
        self.last_part_s = 0.0
        self.longest_pause_s = 0.0
        self.pause_end_s = 0.0
        # Whether the caller received a complete response of an endpoint.
        self.complete = False

    def time_limit(self) -> asyncio.Timeout:
        """Return the time limit of the request as a context manager."""
        self._time_limit = asyncio.timeout_at(self.unsent_limit_s)
        return self._time_limit

    @property
    def unsent_limit_s(self) -> float:
        """Time just before the caller leaves, or when the router stops."""
        patience_s = _less_margin_s(self.route.patience_s)
        return min(
            self.respond_by_s, self.started_s + patience_s, self.end_by_s
        )

    def limit_end(self, end_by_s: float) -> None:
        """Let the request end by a time because the router stops."""
        self.end_by_s = end_by_s
        if self._is_limited():
            limit_s = self._time_limit.when()
            self._time_limit.reschedule(min(limit_s, end_by_s))

    def end_unsent(self, now_s: float) -> None:
        """End the request at once unless an endpoint may run it."""
        if not self.possible_runs and self._is_limited():
            self._time_limit.reschedule(now_s)

    def _is_limited(self) -> bool:
        return self._time_limit is not None and not self._time_limit.expired()

    def record_sent(self, now_s: float) -> None:
        """Record that an endpoint may run the request from now on.

        A request is answered before its caller leaves unless it is at an
        endpoint: one that is silent may still go on.
        """
        self.sends += 1
        self.possible_runs += 1
        if self.first_sent_s is None:
            self.first_sent_s = now_s
        if self._time_limit is not None and not self.responder.started:
            self._time_limit.reschedule(min(self.respond_by_s, self.end_by_s))

    def record_send_failed(self) -> None:
        """Record that no endpoint goes on with the request."""
        if self._time_limit is not None and not self.responder.started:
            self._time_limit.reschedule(self.unsent_limit_s)

    def record_begun(self) -> None:
        """Record that the response has begun, which may use all the time."""
        if self._time_limit is not None:
            self._time_limit.reschedule(min(self.deadline_s, self.end_by_s))

    @property
    def wait_until_s(self) -> float:
        """Time until which the request may wait for an endpoint."""
        return self.deadline_s if self.possible_runs else self.send_by_s

    @property
    def effective_priority(self) -> int:
        """Priority at the endpoint, 0 (first) to 9 (last)."""
        return effective_priority(self.route, self.organisation)

    def admits(self, endpoint: Endpoint) -> bool:
        """Whether the request may be sent to an endpoint of this version."""
        if not self.route.continues_streams:
            return True
        if self.stream_version is None:
            return self._may_begin(endpoint)
        return endpoint.version == self.stream_version

    @property
    def is_taken_up(self) -> bool:
        """Whether the caller has events of an earlier attempt."""
        return (
            self.route.continues_streams
            and self.metadata.last_event_id is not None
        )

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Prompt parts that other requests may contain, too."""
        return self.metadata.parts[:-1]

    def patience_left_s(self, now_s: float) -> float:
        """Return the time after which the caller leaves without an event."""
        heard_s = self.started_s
        if self.first_byte_s is not None:
            heard_s = self.last_part_s
        return min(self.deadline_s, heard_s + self.route.patience_s) - now_s

    def record_part(self, now_s: float) -> None:
        """Record the arrival of a part of a stream."""
        if self.first_byte_s is None:
            self.first_byte_s = now_s
        else:
            pause_s = now_s - self.last_part_s
            if pause_s > self.longest_pause_s:
                self.longest_pause_s = pause_s
                self.pause_end_s = now_s
        self.last_part_s = now_s

    def spent_tokens(self, tokens_per_event: int) -> int:
        """Return the upper bound of the tokens that the request consumed.

        Prompt tokens count from the first output token on, so a prompt
        without any output costs nothing.

        Parameters
        ----------
        tokens_per_event : int
        """
        if self.route.kind is not RouteKind.STREAM:
            # The token count of a response that is not streamed is unknown.
            return self.metadata.bound_tokens if self.possible_runs else 0
        if self.first_byte_s is None:
            return 0
        output = min(
            self.metadata.max_output_tokens,
            self.events.count * tokens_per_event,
        )
        return self.metadata.prompt_tokens + output


def effective_priority(route: Route, organisation: Organisation | None) -> int:
    """Return the priority of a request, 0 (first) to 9 (last)."""
    rank = route.priority
    if organisation is not None and organisation.priority is not None:
        rank = organisation.priority
    return min(9, max(0, rank))


def _less_margin_s(limit_s: float) -> float:
    return limit_s - min(_RESPONSE_MARGIN_S, _MAX_MARGIN_SHARE * limit_s)
