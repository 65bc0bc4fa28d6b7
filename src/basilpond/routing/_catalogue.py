"""Lookup of routes and keys in one version of the configuration."""

from __future__ import annotations

from ._types import Configuration
from ._types import Organisation
from ._types import Route


class Catalogue:
    """Index of the routes, organisations and keys of a configuration.

    Parameters
    ----------
    configuration : Configuration
    """

    __slots__ = ('_by_host', '_by_key', 'configuration', 'organisations')

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            routes = self._by_host.setdefault(route.host.lower(), {})
            routes[route.path_prefix] = route
        organisations = configuration.organisations
        self.organisations: dict[str, Organisation] | None = None
        self._by_key: dict[str, Organisation] = {}
        if organisations is not None:
            self.organisations = {o.name: o for o in organisations}
            self._by_key = {k: o for o in organisations for k in o.keys}

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest path prefix that matches.

        The cost grows with the depth of the path, not with the number of
        routes.

        Parameters
        ----------
        host : str
            In any case.
        path : str

        Returns
        -------
        Route or None
            None if no route matches.
        """
        routes = self._by_host.get(host.lower())
        if routes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_organisation(self, key: str | None) -> Organisation | None:
        """Return the organisation that owns a key; None if there is none."""
        return None if key is None else self._by_key.get(key)


def choose_service(route: Route, draw: float) -> str | None:
    """Return the service for a request, by the weights of its route.

    Parameters
    ----------
    route : Route
    draw : float
        Random number, uniform in [0, 1).

    Returns
    -------
    str or None
        None if the weights add up to zero.
    """
    total = sum(weight for _, weight in route.split)
    if total <= 0:
        return None
    remaining = draw * total
    for service, weight in route.split:
        remaining -= weight
        if remaining < 0:
            return service
    return route.split[-1][0]
