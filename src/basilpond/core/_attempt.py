"""Result of one attempt to run a request at one endpoint."""

from __future__ import annotations

import dataclasses
import enum

from ._codes import ResultCode


class AttemptKind(enum.StrEnum):
    """How an attempt ended, as far as the router can be certain."""

    COMPLETE = 'complete'
    # Nothing was sent, or the endpoint reported that it did not start.
    NOT_STARTED = 'not_started'
    # The endpoint rejected the request as one that it does not accept.
    REJECTED = 'rejected'
    # The request ran, or may have run, without a complete response.
    FAILED = 'failed'
    CALLER_GONE = 'caller_gone'


@dataclasses.dataclass(slots=True)
class Attempt:
    """How an attempt ended, and what is needed to bill and log it.

    Parameters
    ----------
    kind : AttemptKind
    endpoint : str
    code : ResultCode, optional
        Why there is no complete response.
    message : str
        One line for logs and the caller.
    http_status : int
        Status of the endpoint's response, 0 without one.
    answered : bool
        Whether any byte of a response arrived.
    relayed : bool
        Whether any byte of the response was sent to the caller.
    terminal : bytes
        Last part of the response, held back until the bill is committed.
    content_type : str
    prompt_tokens, completion_tokens : int or None
        Usage reported by the endpoint.
    content_frames, content_bytes : int
        Output as the router counted it: frames with content, and bytes.
    first_byte_s : float or None
        Time from the start of the attempt to the first byte, in seconds.
    cut : bool
        Whether the output limit was reached and the stream cancelled.
    """

    kind: AttemptKind
    endpoint: str
    code: ResultCode | None = None
    message: str = ''
    http_status: int = 0
    answered: bool = False
    relayed: bool = False
    terminal: bytes = b''
    content_type: str = ''
    prompt_tokens: int | None = None
    completion_tokens: int | None = None
    content_frames: int = 0
    content_bytes: int = 0
    first_byte_s: float | None = None
    cut: bool = False

    @property
    def retriable(self) -> bool:
        """Whether an idempotent request may run at another endpoint."""
        return (
            self.kind in (AttemptKind.NOT_STARTED, AttemptKind.FAILED)
            and not self.relayed
        )
