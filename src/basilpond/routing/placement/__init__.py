"""Choice of an endpoint: load, caches and history of each."""

from ._endpoint_history import EndpointHistory
from ._endpoint_history import EntryVerdict
from ._endpoint_load import EndpointLoad
from ._endpoint_load import InFlightRequest
from ._endpoint_load import PeerReport
from ._endpoint_load import prefill_cost
from ._endpoint_speed import PREFILL_TOKENS_PER_S
from ._endpoint_speed import EndpointSpeeds
from ._endpoint_speed import SpeedReport
from ._placement import Choice
from ._placement import RatedEndpoint
from ._placement import choose_endpoint
from ._placement import order_endpoints
from ._placement import sample_loads
from ._prompt_cache import PromptCache
from ._prompt_cache import prompt_prefixes

__all__ = [
    'Choice',
    'EndpointHistory',
    'EndpointLoad',
    'EndpointSpeeds',
    'EntryVerdict',
    'InFlightRequest',
    'PREFILL_TOKENS_PER_S',
    'PeerReport',
    'PromptCache',
    'RatedEndpoint',
    'SpeedReport',
    'choose_endpoint',
    'order_endpoints',
    'prefill_cost',
    'prompt_prefixes',
    'sample_loads',
]
