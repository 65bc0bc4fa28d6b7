"""Quarantine of endpoints whose responses fail checks or change form.

A quarantined endpoint gets only probes. After several passed probes it is
readmitted with a share of its traffic that grows.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator
import dataclasses
import enum
import math

# Invalid responses within `_WINDOW_S` that quarantine an endpoint. A single
# one may be caused by the request.
_QUARANTINE_THRESHOLD = 2
_WINDOW_S = 60.0
# Interval of the first probe; it doubles with each failed probe and each
# further quarantine.
_BASE_PROBE_INTERVAL_S = 2.0
_MAX_PROBE_INTERVAL_S = 60.0
_PROBES_TO_READMIT = 3
# Over this time the share of its normal traffic that a readmitted endpoint
# gets grows from `_INITIAL_TRAFFIC_SHARE` to 1.
_READMISSION_S = 60.0
_INITIAL_TRAFFIC_SHARE = 0.05


class QuarantineState(enum.Enum):
    """Quarantine state of an endpoint."""

    IN_SERVICE = 'in_service'
    QUARANTINED = 'quarantined'
    READMITTING = 'readmitting'


@dataclasses.dataclass(slots=True)
class _Record:
    state: QuarantineState = QuarantineState.IN_SERVICE
    invalid_at_s: list[float] = dataclasses.field(default_factory=list)
    quarantines: int = 0
    probes_passed: int = 0
    next_probe_s: float = math.inf
    readmitted_s: float = -math.inf


class Quarantine:
    """Quarantine states of all endpoints.

    Attributes
    ----------
    probe_interval_factor : float
        Multiplies the probe intervals; grows with the fleet, so that the
        probes of all routers together do not load an endpoint.
    """

    __slots__ = ('_records', 'probe_interval_factor')

    def __init__(self) -> None:
        self.probe_interval_factor = 1.0
        self._records: dict[str, _Record] = {}

    def state(self, endpoint: str, now_s: float) -> QuarantineState:
        """Return the quarantine state of the endpoint."""
        record = self._records.get(endpoint)
        if record is None:
            return QuarantineState.IN_SERVICE
        if (
            record.state is QuarantineState.READMITTING
            and now_s - record.readmitted_s >= _READMISSION_S
        ):
            record.state = QuarantineState.IN_SERVICE
            record.quarantines = 0
        return record.state

    def traffic_share(self, endpoint: str, now_s: float) -> float:
        """Return the share of normal traffic to send, 0 to 1."""
        state = self.state(endpoint, now_s)
        if state is QuarantineState.IN_SERVICE:
            return 1.0
        if state is QuarantineState.QUARANTINED:
            return 0.0
        elapsed_s = now_s - self._records[endpoint].readmitted_s
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
        record = self._records.setdefault(endpoint, _Record())
        record.invalid_at_s = [
            at_s for at_s in record.invalid_at_s if now_s - at_s < _WINDOW_S
        ]
        record.invalid_at_s.append(now_s)
        if (
            state is QuarantineState.IN_SERVICE
            and len(record.invalid_at_s) < _QUARANTINE_THRESHOLD
        ):
            return False
        self.quarantine(endpoint, now_s)
        return True

    def quarantine(self, endpoint: str, now_s: float) -> None:
        """Quarantine an endpoint; also called on a peer's notice."""
        if self.state(endpoint, now_s) is QuarantineState.QUARANTINED:
            return
        record = self._records.setdefault(endpoint, _Record())
        record.state = QuarantineState.QUARANTINED
        record.invalid_at_s = []
        record.quarantines += 1
        record.probes_passed = 0
        record.next_probe_s = now_s + self._probe_interval_s(record)

    def due_probes(self, now_s: float) -> Iterator[str]:
        """Yield quarantined endpoints whose probe is due.

        Each is due again after its probe interval, even if no result arrives.
        """
        for endpoint, record in self._records.items():
            if (
                record.state is QuarantineState.QUARANTINED
                and record.next_probe_s <= now_s
            ):
                record.next_probe_s = now_s + self._probe_interval_s(record)
                yield endpoint

    def record_probe(
        self, endpoint: str, *, passed: bool, now_s: float
    ) -> bool:
        """Record a probe; several passed in a row readmit the endpoint.

        Returns
        -------
        bool
            Whether this probe readmitted the endpoint.
        """
        record = self._records.get(endpoint)
        if record is None or record.state is not QuarantineState.QUARANTINED:
            return False
        if not passed:
            record.probes_passed = 0
            record.quarantines += 1
            record.next_probe_s = now_s + self._probe_interval_s(record)
            return False
        record.probes_passed += 1
        if record.probes_passed < _PROBES_TO_READMIT:
            return False
        record.state = QuarantineState.READMITTING
        record.readmitted_s = now_s
        return True

    def reset_backoff(self, endpoint: str, now_s: float) -> None:
        """Make the next probe of a quarantined endpoint due.

        Called after a restart of the endpoint: its software may be another
        version than the one whose failed probes made the interval long.
        """
        record = self._records.get(endpoint)
        if record is None or record.state is not QuarantineState.QUARANTINED:
            return
        record.quarantines = 1
        record.probes_passed = 0
        record.next_probe_s = now_s

    def retain(self, endpoints: Collection[str]) -> None:
        """Drop endpoints that are not in `endpoints`, the new manifest's."""
        self._records = {
            endpoint: record
            for endpoint, record in self._records.items()
            if endpoint in endpoints
        }

    def _probe_interval_s(self, record: _Record) -> float:
        return self.probe_interval_factor * min(
            _MAX_PROBE_INTERVAL_S,
            _BASE_PROBE_INTERVAL_S * 2 ** min(record.quarantines - 1, 8),
        )
