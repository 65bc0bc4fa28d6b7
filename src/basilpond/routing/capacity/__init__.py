"""Limits on what a router and all routers together send and accept."""

from ._evacuations import EvacuationRecord
from ._evacuations import EvacuationReport
from ._evacuations import Evacuations

__all__ = [
    'EvacuationRecord',
    'EvacuationReport',
    'Evacuations',
]
