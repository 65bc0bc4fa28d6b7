"""Reading, publishing and fetching of manifests."""

from ._config_task import ConfigTask
from ._manifest_fetcher import ManifestFetcher
from ._manifest_publisher import ManifestInForce
from ._manifest_publisher import ManifestPublisher

__all__ = [
    'ConfigTask',
    'ManifestFetcher',
    'ManifestInForce',
    'ManifestPublisher',
]
