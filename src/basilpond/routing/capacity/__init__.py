"""Limits on what a router and all routers together send and accept."""

from ._brittle_endpoints import BrittleEndpoints
from ._brittle_endpoints import BrittleReport
from ._brittle_endpoints import EndpointRoom
from ._brittle_endpoints import RejectionReport
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
    'BrittleEndpoints',
    'BrittleReport',
    'ClosedEndpoints',
    'ColdEndpoints',
    'EndpointRoom',
    'EvacuationRecord',
    'EvacuationReport',
    'Evacuations',
    'HeldSend',
    'IncomingLink',
    'LoadVerdict',
    'Readiness',
    'RejectionReport',
    'RequestDemand',
    'RouterLoad',
    'RouterView',
    'SendQueue',
    'UploadProgress',
]
