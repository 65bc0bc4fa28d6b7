"""Quarantine of endpoints whose responses fail checks or change form."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator
import dataclasses
import enum
import math

# Invalid responses within `_WINDOW_S` that quarantine an endpoint. A single
# one can come from one request.
_INVALID_RESPONSES = 2
_WINDOW_S = 60.0
_BASE_PROBE_S = 2.0
_MAX_PROBE_S = 60.0
_PROBES_TO_READMIT = 3
# The share of its traffic that a readmitted endpoint gets grows from
# `_INITIAL_TRAFFIC_SHARE` to 1 over this time.
_READMISSION_S = 60.0
_INITIAL_TRAFFIC_SHARE = 0.05


class QuarantineState(enum.Enum):
    """Stage of an endpoint."""

    IN_SERVICE = 'in_service'
    QUARANTINED = 'quarantined'
    READMITTING = 'readmitting'


@dataclasses.dataclass(slots=True)
class _Stage:
    state: QuarantineState = QuarantineState.IN_SERVICE
    invalid_at_s: list[float] = dataclasses.field(default_factory=list)
    quarantines: int = 0
    probes_passed: int = 0
    next_probe_s: float = math.inf
    readmitted_s: float = -math.inf


class Quarantine:
    """State of the quarantine of all endpoints.

    `probe_interval_factor` stretches the probe intervals, so that the probes
    of a large fleet do not load an endpoint.
    """

    __slots__ = ('_stages', 'probe_interval_factor')

    def __init__(self) -> None:
        self.probe_interval_factor = 1.0
        self._stages: dict[str, _Stage] = {}

    def state(self, endpoint: str, now_s: float) -> QuarantineState:
        """Return the stage of the endpoint."""
        stage = self._stages.get(endpoint)
        if stage is None:
            return QuarantineState.IN_SERVICE
        if (
            stage.state is QuarantineState.READMITTING
            and now_s - stage.readmitted_s >= _READMISSION_S
        ):
            stage.state = QuarantineState.IN_SERVICE
            stage.quarantines = 0
        return stage.state

    def traffic_share(self, endpoint: str, now_s: float) -> float:
        """Return the share of normal traffic to send, 0 to 1."""
        state = self.state(endpoint, now_s)
        if state is QuarantineState.IN_SERVICE:
            return 1.0
        if state is QuarantineState.QUARANTINED:
            return 0.0
        elapsed_s = now_s - self._stages[endpoint].readmitted_s
        return min(
            1.0, max(_INITIAL_TRAFFIC_SHARE, elapsed_s / _READMISSION_S)
        )

    def record_invalid(self, endpoint: str, now_s: float) -> bool:
        """Count a response that failed its checks.

        Returns
        -------
        bool
            Whether this response quarantined the endpoint.
        """
        state = self.state(endpoint, now_s)
        if state is QuarantineState.QUARANTINED:
            return False
        stage = self._stages.setdefault(endpoint, _Stage())
        stage.invalid_at_s = [
            at_s for at_s in stage.invalid_at_s if now_s - at_s < _WINDOW_S
        ]
        stage.invalid_at_s.append(now_s)
        if (
            state is QuarantineState.IN_SERVICE
            and len(stage.invalid_at_s) < _INVALID_RESPONSES
        ):
            return False
        self.quarantine(endpoint, now_s)
        return True

    def quarantine(self, endpoint: str, now_s: float) -> None:
        """Put an endpoint under quarantine, also on a peer's notice."""
        if self.state(endpoint, now_s) is QuarantineState.QUARANTINED:
            return
        stage = self._stages.setdefault(endpoint, _Stage())
        stage.state = QuarantineState.QUARANTINED
        stage.invalid_at_s = []
        stage.quarantines += 1
        stage.probes_passed = 0
        stage.next_probe_s = now_s + self._probe_interval_s(stage)

    def due_probes(self, now_s: float) -> Iterator[str]:
        """Yield quarantined endpoints to probe now.

        Each is due again after its interval, whether a result arrives or not.
        """
        for endpoint, stage in self._stages.items():
            if (
                stage.state is QuarantineState.QUARANTINED
                and stage.next_probe_s <= now_s
            ):
                stage.next_probe_s = now_s + self._probe_interval_s(stage)
                yield endpoint

    def record_probe(
        self, endpoint: str, *, passed: bool, now_s: float
    ) -> bool:
        """Count a probe; several passed in a row start the readmission.

        Returns
        -------
        bool
            Whether the endpoint is readmitted by this probe.
        """
        stage = self._stages.get(endpoint)
        if stage is None or stage.state is not QuarantineState.QUARANTINED:
            return False
        if not passed:
            stage.probes_passed = 0
            stage.quarantines += 1
            stage.next_probe_s = now_s + self._probe_interval_s(stage)
            return False
        stage.probes_passed += 1
        if stage.probes_passed < _PROBES_TO_READMIT:
            return False
        stage.state = QuarantineState.READMITTING
        stage.readmitted_s = now_s
        return True

    def retain(self, endpoints: Collection[str]) -> None:
        """Forget endpoints that are no longer in the manifest."""
        self._stages = {
            endpoint: stage
            for endpoint, stage in self._stages.items()
            if endpoint in endpoints
        }

    def _probe_interval_s(self, stage: _Stage) -> float:
        return self.probe_interval_factor * min(
            _MAX_PROBE_S, _BASE_PROBE_S * 2 ** min(stage.quarantines - 1, 8)
        )
