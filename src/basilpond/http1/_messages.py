"""Requests of callers, and limits on them."""

from __future__ import annotations

import dataclasses

from . import _fields

# Least rates. A link of 9.6 kbit/s carries about 1,000 bytes a second, and
# slower ones are assumed not to be in use. A body has the grace in addition,
# and reading is checked in intervals of it, since slow links may pause.
MIN_BYTES_PER_S = 1_000
RATE_GRACE_S = 30.0


@dataclasses.dataclass(slots=True)
class ConnectionLimits:
    """Limits on the size and timing of callers' requests.

    Parameters
    ----------
    header_bytes, body_bytes : int
    header_timeout_s : float
        From the first byte of a request to the end of its head.
    idle_timeout_s : float
        Between two requests on a connection, and between parts of a body.
    """

    header_bytes: int = 65_536
    body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request that was received completely.

    Parameters
    ----------
    method, target : bytes
        As received; the target consists of path and query.
    headers : list of (bytes, bytes)
        Names in lower case.
    body : bytes
    started_s, received_s : float
        Event loop time of the first and of the last byte.
    """

    method: bytes
    target: bytes
    headers: list[_fields.Header]
    body: bytes
    started_s: float
    received_s: float


@dataclasses.dataclass(slots=True)
class Upload:
    """A request of which a large part of the body is missing.

    Parameters
    ----------
    target : bytes
    headers : list of (bytes, bytes)
        Names in lower case.
    started_s : float
        Event loop time of the first byte.
    received_bytes, missing_bytes : int
        Of the body.
    progress_s : float
        Event loop time of the last part of the body.
    """

    target: bytes
    headers: list[_fields.Header]
    started_s: float
    received_bytes: int
    missing_bytes: int
    progress_s: float


@dataclasses.dataclass(slots=True)
class UnansweredClose:
    """A connection that ended before all of its requests were answered.

    Parameters
    ----------
    reason : str
        What ended the connection; 'caller' if the caller did.
    whole_requests : int
        Requests that were received completely and have no complete response.
    is_partial : bool
        Whether another request was received in part.
    connection_age_s, request_age_s : float
        Time since the connection was accepted, and since the first byte of
        the oldest of these requests.
    idle_timeout_s : float
        Limit in force.
    """

    reason: str
    whole_requests: int
    is_partial: bool
    connection_age_s: float
    request_age_s: float
    idle_timeout_s: float
