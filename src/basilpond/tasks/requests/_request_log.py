"""Records decisions on requests in the history, the metrics and the log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses

from absl import logging

from ...core import DecisionHistory
from ...core import Outcome
from ...core import RefusalError
from ...core import ResultCode
from ...telemetry import Metrics
from ...telemetry import NullMetrics
from ...telemetry import log_event


@dataclasses.dataclass(slots=True)
class RequestEnd:
    """Outcome of a request, for its line in the log.

    Parameters
    ----------
    started_s : float
        Arrival of the request, on the event loop's clock.
    outcome : Outcome
    code : ResultCode or None
        Reason of a refusal or failure.
    """

    started_s: float
    outcome: Outcome = Outcome.UNKNOWN
    code: ResultCode | None = None

    def complete(self) -> None:
        """Record a complete response."""
        self.outcome = Outcome.COMPLETE
        self.code = None

    def refuse(self, error: RefusalError) -> None:
        """Record a refusal or failure."""
        self.outcome = error.outcome
        self.code = error.code


class RequestLog:
    """Writes the decision history, log lines and metrics of requests.

    Parameters
    ----------
    history : DecisionHistory
        Recent decisions by request, which operators can query.
    wall_s : callable
        Wall-clock time in seconds.
    metrics : Metrics, optional
        Without it, no metrics are written.
    """

    def __init__(
        self,
        history: DecisionHistory,
        wall_s: Callable[[], float],
        metrics: Metrics | None = None,
    ) -> None:
        self.history = history
        self.wall_s = wall_s
        self.metrics = metrics or NullMetrics()

    def record(self, request_id: str, step: str, detail: str = '') -> None:
        """Record a decision in the history.

        Parameters
        ----------
        request_id : str
        step : str
            Kind of decision, such as ``hold`` or ``retry``.
        detail : str, optional
            Must contain no API keys and no prompt text.
        """
        self.history.record(
            request_id, step, detail, int(self.wall_s() * 1000)
        )

    def record_refusal(self, request_id: str, error: RefusalError) -> None:
        """Record a refusal in the history."""
        self.record(
            request_id,
            'refuse',
            f'{int(error.code)} {error.code.name.lower()} '
            f'{error.outcome.value}: {error.message}',
        )

    def record_first_token(self, end: RequestEnd) -> None:
        """Record the time from the arrival of a request to its first token."""
        self.metrics.timing(
            'requests.first_token_ms', self._elapsed_ms(end.started_s)
        )

    def write_end(
        self, end: RequestEnd, request_id: str, organisation: str
    ) -> None:
        """Count a request that ended and write its log line.

        Parameters
        ----------
        end : RequestEnd
        request_id : str
            In a form that is safe in a log line.
        organisation : str
            Empty if the caller was not authenticated.
        """
        name = end.outcome.name.lower()
        self.metrics.count(f'requests.{name}')
        log_event(
            logging.INFO,
            'request ended',
            request_id=request_id,
            organisation=organisation,
            code=None if end.code is None else int(end.code),
            outcome=end.outcome.value,
            duration_ms=round(self._elapsed_ms(end.started_s), 1),
        )

    @staticmethod
    def _elapsed_ms(started_s: float) -> float:
        return (asyncio.get_running_loop().time() - started_s) * 1000
