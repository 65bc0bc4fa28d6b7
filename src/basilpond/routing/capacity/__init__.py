"""Limits on what a router and all routers together send and accept."""

from ._closed_endpoints import ClosedEndpoints
from ._cold_endpoints import ColdEndpoints
from ._cold_endpoints import RouterView
from ._evacuations import EvacuationRecord
from ._evacuations import EvacuationReport
from ._evacuations import Evacuations
from ._incoming_link import IncomingLink
from ._readiness import Readiness
from ._router_load import LINK_AHEAD_S
from ._router_load import SAMPLE_INTERVAL_S
from ._router_load import LoadVerdict
from ._router_load import RequestDemand
from ._router_load import RouterLoad
from ._router_load import UploadProgress
from ._send_queue import HeldSend
from ._send_queue import SendQueue

__all__ = [
    'LINK_AHEAD_S',
    'SAMPLE_INTERVAL_S',
    'ClosedEndpoints',
    'ColdEndpoints',
    'EvacuationRecord',
    'EvacuationReport',
    'Evacuations',
    'HeldSend',
    'IncomingLink',
    'LoadVerdict',
    'Readiness',
    'RequestDemand',
    'RouterLoad',
    'RouterView',
    'SendQueue',
    'UploadProgress',
]
