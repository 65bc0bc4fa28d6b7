"""Request outcomes, numbered result codes and exceptions with a code.

The table in ``docs/result-codes.md`` lists every code; a test compares the
two.
"""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """Result of a request as reported to its caller.

    `NOT_RUN`: no endpoint has started it. `FAILED`: an endpoint received it
    and did not complete it. `UNKNOWN`: it may have run.
    """

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class ResultCode(enum.IntEnum):
    """Numbered results of requests and programs.

    1xxx caller, 2xxx budget and limits, 3xxx claims, 4xxx endpoints, 5xxx log
    and fleet, 6xxx manifest and settings.
    """

    MISSING_KEY = 1001
    WRONG_KEY = 1002
    BODY_TOO_LARGE = 1003
    MALFORMED_BODY = 1004
    UNKNOWN_MODEL = 1005
    MODEL_NOT_REACHABLE = 1006
    INVALID_FIELD = 1007
    SLOW_UPLOAD = 1008
    UNKNOWN_SERVICE = 1009
    UNKNOWN_PATH = 1010
    INVALID_IDEMPOTENCY_KEY = 1011

    BUDGET_EXHAUSTED = 2001
    ALLOTMENT_UNAVAILABLE = 2002
    QUEUE_FULL = 2003
    DEADLINE_UNREACHABLE = 2004
    RETRY_BUDGET_EXHAUSTED = 2005
    BILL_NOT_COMMITTED = 2006

    KEY_REUSED_WITH_OTHER_BODY = 3001
    KEY_EXPIRED = 3002
    CLAIM_IN_PROGRESS = 3003
    CLAIM_OUTCOME_UNKNOWN = 3004
    CLAIM_LOG_UNAVAILABLE = 3005
    RERUN_LIMIT = 3006

    NO_ENDPOINT = 4001
    ENDPOINT_REFUSED = 4002
    ENDPOINT_FAILED = 4003
    ENDPOINT_TIMEOUT = 4004
    ANSWER_INVALID = 4005
    ANSWER_TRUNCATED = 4006
    POISON_REQUEST = 4007
    ENDPOINT_REJECTED_REQUEST = 4008

    LOG_UNAVAILABLE = 5001
    LOG_RATE_LIMITED = 5002
    NOT_READY = 5003
    DRAINING = 5004
    PEER_UNAVAILABLE = 5005
    INTERNAL_ERROR = 5006
    OPERATOR_KEY_REQUIRED = 5007

    MANIFEST_INVALID = 6001
    MANIFEST_STALE = 6002
    SETTINGS_INVALID = 6003


class BasilpondError(Exception):
    """Base of all errors with a result code.

    Parameters
    ----------
    code : ResultCode
    message : str
        One line that contains no keys and no prompt text.
    """

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(f'{int(code)} {code.name.lower()}: {message}')
        self.code = code
        self.message = message


class RefusalError(BasilpondError):
    """A request ends without a complete response.

    Parameters
    ----------
    code : ResultCode
    message : str
    outcome : Outcome
        `NOT_RUN` only if no endpoint can have started the request.
    http_status : int
    retry_after_s : int, optional
        Sent as ``Retry-After`` if a retry may succeed.
    """

    def __init__(
        self,
        code: ResultCode,
        message: str,
        *,
        outcome: Outcome,
        http_status: int,
        retry_after_s: int | None = None,
    ) -> None:
        super().__init__(code, message)
        self.outcome = outcome
        self.http_status = http_status
        self.retry_after_s = retry_after_s


class LogUnavailableError(BasilpondError):
    """The log did not respond; an append may or may not have taken effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.LOG_UNAVAILABLE, message)


class LogRateLimitedError(BasilpondError):
    """The log refused an append above its rate limit; nothing was written."""

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.LOG_RATE_LIMITED, message)
