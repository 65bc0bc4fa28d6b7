"""What a router knows of configurations newer than the one in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math

from ..routing import VersionCurrency
from ..routing import judge_currency
from ._directory import ConfigurationState
from ._peers import PeerTask
from ._request_context import RefusedError

# Retry interval while a newer version is being read; a router with a faster
# link may have it.
_KNOWN_NEWER_RETRY_S = 0.25
# Retry interval at a router that has not reached the log for long.
_STALE_RETRY_S = 1.0


class ConfigurationCurrency:
    """Compares the version in force with the log and with other routers.

    Parameters
    ----------
    configuration : ConfigurationState
    peers : PeerTask
    apply_s : float
        Time after which a version that the log has acknowledged is in force.
    """

    def __init__(
        self,
        configuration: ConfigurationState,
        peers: PeerTask,
        apply_s: float,
    ) -> None:
        self._configuration = configuration
        self._peers = peers
        self.apply_s = apply_s
        # Returns whether the log is known to hold records not applied yet.
        self.has_unread: Callable[[], bool] = lambda: False
        # Returns the event loop time as of which all records are applied.
        self.current_as_of_s: Callable[[], float] = lambda: -math.inf

    def state(self) -> VersionCurrency:
        """Return whether the version in force may be superseded."""
        return judge_currency(
            version=self._version(),
            peer_version=self._reported_version(),
            has_unread=self.has_unread(),
            read_age_s=self._read_age_s(),
            apply_s=self.apply_s,
        )

    def refusal(
        self, status: int, reason: str, **inputs: object
    ) -> RefusedError:
        """Return the refusal of a request that the version does not allow.

        Parameters
        ----------
        status : int
            Unless a newer version may allow the request: then 503, not run.
        reason : str
        **inputs
            Further inputs of the decision, for the log.
        """
        inputs |= self.inputs()
        state = self.state()
        if state is VersionCurrency.CURRENT:
            return RefusedError(status, reason, **inputs)
        return RefusedError(
            503,
            f'{state.value}: {reason}',
            _KNOWN_NEWER_RETRY_S if state.is_known_newer else _STALE_RETRY_S,
            **inputs,
        )

    def inputs(self) -> dict[str, object]:
        """Return what a refusal for want of a route or key rests on."""
        age_s = self._read_age_s()
        return {
            'version': self._version(),
            'reported_version': self._reported_version(),
            'unread': self.has_unread(),
            'read_age_s': round(age_s, 2) if math.isfinite(age_s) else None,
        }

    def _read_age_s(self) -> float:
        return asyncio.get_running_loop().time() - self.current_as_of_s()

    def _version(self) -> int:
        catalogue = self._configuration.catalogue
        return -1 if catalogue is None else catalogue.version

    def _reported_version(self) -> int | None:
        newest = self._peers.find_newest_configuration()
        return None if newest is None else newest[0]
