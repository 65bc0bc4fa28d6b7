"""Which endpoints a router reaches, and through which other routers."""

from ._endpoint_paths import SUSPECT_ENDPOINTS
from ._endpoint_paths import WINDOW_S
from ._endpoint_paths import EndpointPaths
from ._endpoint_paths import PathState
from ._relay_choice import RelayChoice
from ._relay_choice import RelayRouter

__all__ = [
    'EndpointPaths',
    'PathState',
    'RelayChoice',
    'RelayRouter',
    'SUSPECT_ENDPOINTS',
    'WINDOW_S',
]
