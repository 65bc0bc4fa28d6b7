"""Choice of an endpoint: load, caches and history of each."""

from ._endpoint_history import EndpointHistory
from ._endpoint_history import EntryVerdict
from ._placement import PREFILL_TOKENS_PER_S
from ._placement import Choice
from ._placement import EndpointLoad
from ._placement import InFlightRequest
from ._placement import PeerReport
from ._placement import choose_endpoint
from ._placement import prefill_cost
from ._placement import sample_loads
from ._prompt_cache import PromptCache
from ._prompt_cache import prompt_prefixes

__all__ = [
    'Choice',
    'EndpointHistory',
    'EndpointLoad',
    'EntryVerdict',
    'InFlightRequest',
    'PREFILL_TOKENS_PER_S',
    'PeerReport',
    'PromptCache',
    'choose_endpoint',
    'prefill_cost',
    'prompt_prefixes',
    'sample_loads',
]
