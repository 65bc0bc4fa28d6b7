"""Which requests wait or are refused when there is too little room."""

from ._admission_policy import AdmissionPolicy
from ._admission_policy import ServiceLoad
from ._admission_queue import AdmissionQueue
from ._admission_queue import WaitingPrompt
from ._reserved_endpoints import rank_endpoints
from ._reserved_endpoints import reserved_count
from ._urgency import LAST_PRIORITY
from ._urgency import OWN_PENDING_SHARE
from ._urgency import UrgencyLevels
from ._urgency import WorkMix
from ._work import work_s

__all__ = [
    'AdmissionPolicy',
    'AdmissionQueue',
    'LAST_PRIORITY',
    'OWN_PENDING_SHARE',
    'ServiceLoad',
    'UrgencyLevels',
    'WaitingPrompt',
    'WorkMix',
    'rank_endpoints',
    'reserved_count',
    'work_s',
]
