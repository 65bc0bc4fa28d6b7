"""Configuration and server records of the platform's store."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import re
from typing import Annotated
from typing import Literal
from typing import TypeVar

import msgspec

from ..node import ColdTimeError
from ..routing import CallerLimits
from ..routing import ColdLimit
from ..routing import Configuration
from ..routing import Endpoint
from ..routing import Organisation
from ..routing import Route
from ..routing import RouteKind
from ._settings import split_address

CONFIGURATION_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
ENDPOINTS_TOPIC = 'keyed.servers'
# Key of a data centre that is evacuated, with an empty object as its value.
_EVACUATION_PREFIX = 'evacuate/'

_Struct = TypeVar('_Struct')
# Bounds of what other writers may send. Reports between routers hold integers
# of at most 64 bits; a float holds integers up to 2**53.
_Whole = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=2**53)]
_Weight = Annotated[float, msgspec.Meta(ge=0, le=2**53)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
# A start takes seconds to minutes.
_ColdMilliseconds = Annotated[float, msgspec.Meta(ge=0, le=86_400_000)]
_ColdSeconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
_ColdRate = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
# Sent in a header field. The pages set no limit; several names have to fit
# into a datagram.
_TenantName = Annotated[
    str, msgspec.Meta(max_length=1024, pattern=r'^[^\x00-\x1f\x7f]*$(?!\n)')
]
_SoftwareVersion = Annotated[str, msgspec.Meta(max_length=128)]
_ENDPOINT_ID = re.compile(r'[!-~]{1,255}')
_DATA_CENTRE = re.compile(r'[^\x00-\x1f\x7f]{1,255}')


class RecordError(ValueError):
    """A record is invalid; the message names the field."""


class RecordTimeError(RecordError, ColdTimeError):
    """Only the time for which a server is cold is invalid."""


class _Split(msgspec.Struct):
    service: str
    weight: _Weight


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: Literal['safe', 'unsafe', 'streaming']
    timeout_ms: _Milliseconds
    # Either a single service or a weighted split over several.
    service: str | None = None
    split: list[_Split] = []
    # Objective for the first event of a stream, or for a complete response.
    latency_target_ms: _Milliseconds = 1000.0
    gap_target_ms: _Milliseconds = 300.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    # Set for routes whose requests share prompt parts, that is for prompts to
    # a model.
    sticky: bool = False
    resumable: bool = False


class _Tenant(msgspec.Struct):
    name: _TenantName
    api_keys: list[str]
    priority: int | None = None
    prepaid: _Whole | None = None


class _Service(msgspec.Struct):
    name: str
    # Time for which a server is cold after its start, and requests a second
    # that it takes meanwhile from all routers; 0: no limit. Checked apart, as
    # a wrong value must not keep back the rest of a version.
    cold_start_s: object = 0.0
    cold_per_s: object = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: _Whole = 65_536
    max_body_bytes: _Whole = 4_194_304
    header_timeout_ms: _Milliseconds = 10_000.0
    idle_timeout_ms: _Milliseconds = 60_000.0


class _Config(msgspec.Struct):
    version: _Whole
    routes: list[_Route]
    services: list[_Service] = []
    tenants: list[_Tenant] | None = None
    limits: _Limits | None = None


class _ServerBase(msgspec.Struct, kw_only=True):
    service: str
    address: str
    zone: str
    slots: _Slots
    state: Literal['ready', 'draining']
    # Sequence number of the entry since the start of the server.
    seq: int
    # Of the server's software, not of a model's weights.
    version: _SoftwareVersion
    # Unix time in milliseconds of the server's start.
    born: _Whole | None = None


class _Server(_ServerBase, kw_only=True):
    # Remaining time for which the server is slow after its start.
    cold_left_ms: _ColdMilliseconds


class _Evacuation(msgspec.Struct):
    """Object without members that are read."""


_KINDS = {
    'safe': RouteKind.SAFE,
    'unsafe': RouteKind.UNSAFE,
    'streaming': RouteKind.STREAM,
}
_config_decoder = msgspec.json.Decoder(_Config)
_server_decoder = msgspec.json.Decoder(_Server)
_server_base_decoder = msgspec.json.Decoder(_ServerBase)
_evacuation_decoder = msgspec.json.Decoder(_Evacuation)


def _decode(decoder: msgspec.json.Decoder[_Struct], data: bytes) -> _Struct:
    try:
        return decoder.decode(data)
    except (ValueError, RecursionError) as error:
        # Deeply nested values, also in members that are ignored, raise
        # RecursionError.
        raise RecordError(str(error)) from error


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration record.

    Raises
    ------
    RecordError
    """
    config = _decode(_config_decoder, data)
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
        cold_limits=tuple(_decode_cold_limits(config.services)),
        problems=tuple(_cold_limit_problems(config.services)),
    )


def _decode_cold_limit(service: _Service) -> ColdLimit | None:
    start_s = msgspec.convert(service.cold_start_s, _ColdSeconds)
    per_s = msgspec.convert(service.cold_per_s, _ColdRate)
    return ColdLimit(start_s, per_s) if start_s and per_s else None


def _decode_cold_limits(
    services: Iterable[_Service],
) -> Iterator[tuple[str, ColdLimit]]:
    for service in services:
        with contextlib.suppress(msgspec.ValidationError):
            if limit := _decode_cold_limit(service):
                yield service.name, limit


def _cold_limit_problems(services: Iterable[_Service]) -> Iterator[str]:
    for service in services:
        try:
            _decode_cold_limit(service)
        except msgspec.ValidationError as error:
            yield f'service {service.name}: limit of cold servers: {error}'


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


def decode_evacuation(
    key: str, value: bytes | None
) -> tuple[str, bool | None] | None:
    """Decode the record of an evacuation.

    Parameters
    ----------
    key : str
    value : bytes or None

    Returns
    -------
    (str, bool or None) or None
        Data centre, and whether it is evacuated; None if the value is
        unreadable. None alone if the key is that of another record.

    Raises
    ------
    RecordError
        The key names no data centre.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    data_centre = key.removeprefix(_EVACUATION_PREFIX)
    if not _DATA_CENTRE.fullmatch(data_centre):
        raise RecordError(f'{key!r} names no data centre')
    if value is None:
        return data_centre, False
    try:
        _decode(_evacuation_decoder, value)
    except RecordError:
        return data_centre, None
    return data_centre, True


def decode_endpoint(endpoint_id: str, data: bytes) -> Endpoint:
    """Decode a server record.

    Raises
    ------
    RecordError
        The record does not describe a usable server.
    RecordTimeError
        Only the time for which it is cold is missing or out of range.
    """
    if not _ENDPOINT_ID.fullmatch(endpoint_id):
        raise RecordError(f'{endpoint_id!r} is no id')
    try:
        server = _decode(_server_decoder, data)
    except RecordError as error:
        # Raises again unless only the time is wrong.
        base = _decode(_server_base_decoder, data)
        raise RecordTimeError(
            str(error), _decode_server(endpoint_id, base, 0.0)
        ) from error
    return _decode_server(endpoint_id, server, server.cold_left_ms / 1000)


def _decode_server(
    endpoint_id: str, server: _ServerBase, cold_s: float
) -> Endpoint:
    try:
        host, port = split_address(server.address)
    except ValueError as error:
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
        slow_start_s=cold_s,
        sequence=server.seq,
        version=server.version,
    )
