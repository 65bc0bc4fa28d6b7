"""Limits on what a router and all routers together send and accept."""

from ._closed_endpoints import ClosedEndpoints
from ._cold_endpoints import ColdEndpoints
from ._cold_endpoints import RouterView
from ._evacuations import EvacuationRecord
from ._evacuations import EvacuationReport
from ._evacuations import Evacuations

__all__ = [
    'ClosedEndpoints',
    'ColdEndpoints',
    'EvacuationRecord',
    'EvacuationReport',
    'Evacuations',
    'RouterView',
]
