"""Lookup of the route and the organisation of a request."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from ..http1 import CallerRequest
from ..routing import Catalogue
from ..routing import Organisation
from ..routing import RequestMetadata
from ..routing import Route
from ._configuration_currency import ConfigurationCurrency
from ._directory import ConfigurationState
from ._request_context import RefusedError
from ._router_overload import find_route

# Time after which a router that has just started usually has a configuration.
_STARTING_RETRY_S = 0.5
# Longest wait for a newer version that may allow a request: routers read the
# same version within this time, unless their links are slow.
_MAX_WAIT_S = 0.3
# Share of the caller's time limit that the wait may take; its next attempt,
# at another router, needs the rest.
_WAIT_SHARE = 1 / 3


class RouteMatch(NamedTuple):
    """Route and organisation of a request, by one version."""

    catalogue: Catalogue
    route: Route
    organisation: Organisation | None


class RouteLookup:
    """Finds the route and the organisation of a request.

    Parameters
    ----------
    configuration : ConfigurationState
    currency : ConfigurationCurrency
    """

    def __init__(
        self,
        configuration: ConfigurationState,
        currency: ConfigurationCurrency,
    ) -> None:
        self._configuration = configuration
        self._currency = currency

    async def find(
        self, request: CallerRequest, metadata: RequestMetadata
    ) -> RouteMatch:
        """Return the route and the organisation of a request.

        Waits briefly if they are unknown while a newer version is on its way.

        Raises
        ------
        RefusedError
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _MAX_WAIT_S
        if metadata.deadline_s is not None:
            until_s = min(
                until_s, request.started_s + _WAIT_SHARE * metadata.deadline_s
            )
        while True:
            changed = self._configuration.changed
            try:
                return self._match(request, metadata)
            except RefusedError as refusal:
                if (
                    refusal.status != 503
                    or self._configuration.serving is None
                    or not self._currency.state().is_known_newer
                    or loop.time() >= until_s
                ):
                    raise
            try:
                async with asyncio.timeout_at(until_s):
                    await changed.wait()
            except TimeoutError:
                pass

    def _match(
        self, request: CallerRequest, metadata: RequestMetadata
    ) -> RouteMatch:
        catalogue = self._configuration.serving
        if catalogue is None:
            raise RefusedError(503, 'no configuration yet', _STARTING_RETRY_S)
        route = find_route(catalogue, request.target, request.headers)
        if route is None:
            raise self._currency.refusal(
                404, f'no route in version {catalogue.version}'
            )
        organisation = catalogue.find_organisation(metadata.key)
        if organisation is not None or catalogue.organisations is None:
            return RouteMatch(catalogue, route, organisation)
        unknown_key = self._currency.refusal(
            401, f'unknown key in version {catalogue.version}'
        )
        if not route.public:
            raise unknown_key
        # Served without its organisation, the request would not be charged.
        if metadata.key is not None and self._currency.state().is_known_newer:
            raise unknown_key
        return RouteMatch(catalogue, route, organisation)
