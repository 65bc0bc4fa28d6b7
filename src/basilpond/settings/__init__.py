"""Loading and validation of TOML settings."""

from ._load import EXIT_INVALID_SETTINGS
from ._load import load_settings
from ._load import load_settings_or_exit
from ._router import LimitsSection
from ._router import LogSection
from ._router import RouterSection
from ._router import RouterSettings
from ._router import TelemetrySection
from ._router import VmsSection

__all__ = [
    'EXIT_INVALID_SETTINGS',
    'LimitsSection',
    'LogSection',
    'RouterSection',
    'RouterSettings',
    'TelemetrySection',
    'VmsSection',
    'load_settings',
    'load_settings_or_exit',
]
