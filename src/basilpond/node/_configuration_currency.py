"""What a router knows of configurations newer than the one in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math

from ._directory import ConfigurationState
from ._peers import PeerTask


class ConfigurationCurrency:
    """Compares the version in force with the log and with other routers.

    Parameters
    ----------
    configuration : ConfigurationState
    peers : PeerTask
    """

    def __init__(
        self, configuration: ConfigurationState, peers: PeerTask
    ) -> None:
        self._configuration = configuration
        self._peers = peers
        # Returns whether the log is known to hold records not applied yet.
        self.has_unread: Callable[[], bool] = lambda: False
        # Returns the event loop time as of which all records are applied.
        self.current_as_of_s: Callable[[], float] = lambda: -math.inf

    def inputs(self) -> dict[str, object]:
        """Return what a refusal for want of a route or key rests on."""
        age_s = asyncio.get_running_loop().time() - self.current_as_of_s()
        return {
            'version': self._version(),
            'version_heard': self._heard_version(),
            'unread': self.has_unread(),
            'read_age_s': round(age_s, 2) if math.isfinite(age_s) else None,
        }

    def _version(self) -> int | None:
        catalogue = self._configuration.catalogue
        return None if catalogue is None else catalogue.version

    def _heard_version(self) -> int | None:
        newest = self._peers.find_newest_configuration()
        return None if newest is None else newest[0]
