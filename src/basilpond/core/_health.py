"""Health of endpoints and of requests."""

from __future__ import annotations

from ._crash_counter import MAX_CRASHES
from ._crash_counter import CrashCounter
from ._outlier_ejection import OutlierEjection
from ._quarantine import Quarantine
from ._quarantine import QuarantineState

__all__ = [
    'MAX_CRASHES',
    'CrashCounter',
    'OutlierEjection',
    'Quarantine',
    'QuarantineState',
]
