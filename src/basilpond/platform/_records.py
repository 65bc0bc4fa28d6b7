"""Configuration and server records of the platform's store."""

from __future__ import annotations

from typing import Literal

import msgspec

from ..routing import CallerLimits
from ..routing import Configuration
from ..routing import Endpoint
from ..routing import Organisation
from ..routing import Route
from ..routing import RouteKind
from ._settings import split_address

CONFIGURATION_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
ENDPOINTS_TOPIC = 'keyed.servers'


class RecordError(ValueError):
    """A record is invalid; the message names the field."""


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: Literal['safe', 'unsafe', 'streaming']
    timeout_ms: float
    # Either a single service or a weighted split over several.
    service: str | None = None
    split: list[_Split] = []
    # Objective for the first event of a stream, or for a complete response.
    latency_target_ms: float = 1000.0
    gap_target_ms: float = 300.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    # Set for routes whose requests share prompt parts, that is for prompts to
    # a model.
    sticky: bool = False
    resumable: bool = False


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: int | None = None
    prepaid: int | None = None


class _Service(msgspec.Struct):
    name: str


class _Limits(msgspec.Struct):
    max_header_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    tenants: list[_Tenant] | None = None
    limits: _Limits | None = None


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: Literal['ready', 'draining']
    # Remaining time for which the server is slow after its start.
    cold_left_ms: float
    # Sequence number of the entry since the start of the server.
    seq: int
    version: str
    # Unix time in milliseconds of the server's start.
    born: int | None = None


_KINDS = {
    'safe': RouteKind.SAFE,
    'unsafe': RouteKind.UNSAFE,
    'streaming': RouteKind.STREAM,
}
_config_decoder = msgspec.json.Decoder(_Config)
_server_decoder = msgspec.json.Decoder(_Server)


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration record.

    Raises
    ------
    RecordError
    """
    try:
        config = _config_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordError(str(error)) from error
    tenants = config.tenants
    limits = config.limits
    return Configuration(
        version=config.version,
        routes=tuple(_decode_route(route) for route in config.routes),
        organisations=None
        if tenants is None
        else tuple(
            Organisation(t.name, tuple(t.api_keys), t.priority, t.prepaid)
            for t in tenants
        ),
        services=frozenset(service.name for service in config.services),
        limits=None
        if limits is None
        else CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
    )


def _decode_route(route: _Route) -> Route:
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_KINDS[route.kind],
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.latency_target_ms / 1000,
        pause_s=route.gap_target_ms / 1000,
        priority=route.priority,
        split=_decode_split(route),
        max_attempts=max(1, route.max_attempts),
        public=route.public,
        resumable=route.resumable,
        generates=route.sticky,
    )


def _decode_split(route: _Route) -> tuple[tuple[str, float], ...]:
    if route.split:
        return tuple((part.service, part.weight) for part in route.split)
    if route.service is None:
        raise RecordError(f'route {route.name}: has no service')
    return ((route.service, 1.0),)


def decode_endpoint(endpoint_id: str, data: bytes) -> Endpoint:
    """Decode a server record.

    Raises
    ------
    RecordError
        The record does not describe a usable server.
    """
    try:
        server = _server_decoder.decode(data)
        host, port = split_address(server.address)
    except (msgspec.DecodeError, ValueError) as error:
        raise RecordError(str(error)) from error
    return Endpoint(
        id=endpoint_id,
        boot_ms=server.born,
        service=server.service,
        host=host,
        port=port,
        data_centre=server.zone,
        slots=max(1, server.slots),
        leaving=server.state == 'draining',
        slow_start_s=server.cold_left_ms / 1000,
        sequence=server.seq,
    )
