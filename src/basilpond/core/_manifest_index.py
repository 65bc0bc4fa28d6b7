"""Lookup tables of one manifest version."""

from __future__ import annotations

from collections.abc import Iterator
import hashlib

from ._manifest import Endpoint
from ._manifest import Manifest
from ._manifest import Model
from ._manifest import Organisation
from ._manifest import Route
from ._manifest import Service


def key_sha256(key: str) -> str:
    """Return the hash under which a manifest lists a caller's key."""
    # Header bytes that are not UTF-8 are decoded as lone surrogates.
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()


class ManifestIndex:
    """Lookup of organisations, models, services and endpoints by id or key.

    Parameters
    ----------
    manifest : Manifest
        A manifest that `check_manifest` has accepted.
    version : int
        Version of the manifest.
    """

    __slots__ = (
        'manifest',
        'version',
        '_organisations',
        '_organisations_by_key',
        '_models',
        '_services',
        '_endpoints',
    )

    def __init__(self, manifest: Manifest, version: int) -> None:
        self.manifest = manifest
        self.version = version
        self._organisations = {
            item.id: item for item in manifest.organisations
        }
        self._organisations_by_key = {
            key: organisation
            for organisation in manifest.organisations
            for key in organisation.key_sha256
        }
        self._models = {item.id: item for item in manifest.models}
        self._services = {item.id: item for item in manifest.services}
        self._endpoints = {item.id: item for item in manifest.endpoints}

    def organisation_of_key(self, key: str) -> Organisation | None:
        """Return the organisation of a caller's key, None if it is unknown."""
        # The lookup is by hash, so its duration reveals nothing about the key.
        return self._organisations_by_key.get(key_sha256(key))

    def organisation(self, organisation: str) -> Organisation | None:
        """Return an organisation by id, None if it is unknown."""
        return self._organisations.get(organisation)

    def model(self, model: str) -> Model | None:
        """Return a model by id, None if it is unknown."""
        return self._models.get(model)

    def service(self, service: str) -> Service | None:
        """Return an application service by id, None if it is unknown."""
        return self._services.get(service)

    def route(self, service: Service, method: str, path: str) -> Route | None:
        """Return the first route of a service that matches a request."""
        for route in service.routes:
            if route.method != method:
                continue
            if route.path == path:
                return route
            if route.path.endswith('/*') and path.startswith(route.path[:-1]):
                return route
        return None

    def reachable(self, organisation: Organisation) -> Iterator[Endpoint]:
        """Yield the endpoints that an organisation may use."""
        for name in organisation.endpoints:
            yield self._endpoints[name]

    def reachable_models(self, organisation: Organisation) -> set[str]:
        """Return the ids of the models that an organisation may use."""
        return {
            model
            for endpoint in self.reachable(organisation)
            for model in endpoint.models
        }

    def reaches_service(
        self, organisation: Organisation, service: str
    ) -> bool:
        """Return whether an organisation may call a service."""
        return any(
            endpoint.service == service
            for endpoint in self.reachable(organisation)
        )
