"""State of one request."""

from __future__ import annotations

import xxhash

from ..http1 import CallerRequest
from ..http1 import EventSplitter
from ..http1 import Responder
from ..routing import Hold
from ..routing import Organisation
from ..routing import RequestMetadata
from ..routing import Route
from ..routing import RouteKind
from ..routing import prompt_prefixes


class RefusedError(Exception):
    """The router itself ends a request.

    Parameters
    ----------
    status : int
    reason : str
    retry_after_s : float or None
    **inputs
        What the decision was made from, for the log.
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
        """Reason without the details of one request."""
        return self.reason.partition(':')[0].partition(' in version')[0]


class Call:
    """A request in progress.

    Parameters
    ----------
    request : CallerRequest
    responder : Responder
    facts : CallFacts
    route : Route
    organisation : Organisation or None
    service : str
    version : int
        Of the configuration that admitted the request.
    """

    __slots__ = (
        'connects',
        'deadline_s',
        'digest',
        'endpoints',
        'events',
        'facts',
        'first_byte_s',
        'hold',
        'last_part_s',
        'longest_pause_s',
        'organisation',
        'pause_end_s',
        'prompt_runs',
        'request',
        'responder',
        'route',
        'runs',
        'sends',
        'service',
        'spent',
        'started_s',
        'version',
        'whole',
    )

    def __init__(
        self,
        request: CallerRequest,
        responder: Responder,
        facts: RequestMetadata,
        route: Route,
        organisation: Organisation | None,
        service: str,
        version: int,
    ) -> None:
        self.request = request
        self.responder = responder
        self.facts = facts
        self.route = route
        self.organisation = organisation
        self.service = service
        self.version = version
        self.started_s = request.started_s
        allowed_s = route.timeout_s
        if facts.deadline_s is not None:
            allowed_s = min(allowed_s, facts.deadline_s)
        self.deadline_s = request.started_s + allowed_s
        # The same caller's same request, whatever its id.
        self.digest = xxhash.xxh3_128_hexdigest(
            b'\0'.join(
                (
                    request.method,
                    request.target,
                    (facts.key or '').encode(),
                    request.body,
                )
            )
        )
        self.prompt_runs = prompt_prefixes(facts.parts)
        self.hold: Hold | None = None
        self.spent: int | None = None
        self.sends = 0
        # Connections that failed.
        self.connects = 0
        # Sends after which the request may have run.
        self.runs = 0
        # Endpoints tried, the last one last.
        self.endpoints: list[str] = []
        self.events = EventSplitter()
        self.first_byte_s: float | None = None
        self.last_part_s = 0.0
        self.longest_pause_s = 0.0
        self.pause_end_s = 0.0
        # Whether the caller got a whole answer of an endpoint.
        self.whole = False

    @property
    def urgency(self) -> int:
        """Rank at the endpoint; 0 is first."""
        rank = self.route.priority
        if self.organisation and self.organisation.priority is not None:
            rank = self.organisation.priority
        return min(9, max(0, rank))

    def note_part(self, now_s: float) -> None:
        """Note that a part of a stream arrived."""
        if self.first_byte_s is None:
            self.first_byte_s = now_s
        else:
            pause_s = now_s - self.last_part_s
            if pause_s > self.longest_pause_s:
                self.longest_pause_s = pause_s
                self.pause_end_s = now_s
        self.last_part_s = now_s

    def spent_tokens(self, tokens_per_event: int) -> int:
        """Return what the request consumed, at its most.

        A prompt runs with its first token, so one whose answer never began
        costs nothing.

        Parameters
        ----------
        tokens_per_event : int
        """
        if self.route.kind is not RouteKind.STREAM:
            # The tokens of a whole answer are not known.
            return self.facts.bound_tokens if self.runs else 0
        if self.first_byte_s is None:
            return 0
        output = min(
            self.facts.max_output_tokens, self.events.count * tokens_per_event
        )
        return self.facts.prompt_tokens + output
