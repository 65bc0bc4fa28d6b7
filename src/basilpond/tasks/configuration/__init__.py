"""Tasks of the manifest: reading, publishing and spreading it."""

from ._config_task import ConfigTask
from ._manifest_publisher import ManifestInForce
from ._manifest_publisher import ManifestPublisher
from ._manifest_spread import ManifestSpread

__all__ = [
    'ConfigTask',
    'ManifestInForce',
    'ManifestPublisher',
    'ManifestSpread',
]
