"""What a caller saw of its requests; input of the audit."""

from __future__ import annotations

import msgspec

from . import workload


class Attempt(msgspec.Struct):
    """One HTTP exchange; times are wall-clock milliseconds.

    Parameters
    ----------
    router : str
    sent_ms, ended_ms : int
    request_id : str
        X-Request-Id of the response.
    status : int
        HTTP status; 0 when no response arrived.
    outcome : str
        Final Basilpond-Outcome; empty when none arrived.
    code : int
        Result code of a refusal.
    text : str
        Content of a chat answer, or body of another response.
    done : bool
        The response ended as a whole one does: ``[DONE]`` of a stream, end of
        the body otherwise.
    abandoned : bool
        The caller hung up.
    refused : bool
        No connection to a router could be opened.
    retry_after_s : int
    """

    router: str
    sent_ms: int
    ended_ms: int = 0
    request_id: str = ''
    status: int = 0
    outcome: str = ''
    code: int = 0
    text: str = ''
    done: bool = False
    abandoned: bool = False
    refused: bool = False
    retry_after_s: int = 0

    @property
    def complete(self) -> bool:
        """Whether the caller takes the answer for whole."""
        return self.done and 200 <= self.status < 300

    @property
    def not_run(self) -> bool:
        """Whether the caller knows that the request did not run."""
        return self.refused or self.outcome == 'not-run'


class Observation(msgspec.Struct):
    """A line of the workload with its attempts, in order."""

    request: workload.Request
    key: str
    attempts: list[Attempt]
