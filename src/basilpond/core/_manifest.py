"""Manifest of a deployment: typed fields with their constraints.

The JSON Schema for operators is generated from these classes, so that each
range is stated only here.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from ._codes import ResultCode
from ._validation import PATTERN_END
from ._validation import SOCKET_ADDRESS
from ._validation import InvalidFieldError
from ._validation import JsonDecoder
from ._validation import convert_fields

Name = Annotated[
    str,
    msgspec.Meta(
        min_length=1, max_length=64, pattern='^[A-Za-z0-9._-]+' + PATTERN_END
    ),
]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=10**15)]
Price = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Sha256 = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}' + PATTERN_END)]
Priority = Annotated[int, msgspec.Meta(ge=0, le=9)]


class TopUp(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One payment; an organisation's budget is the sum of its top-ups."""

    id: Name
    tokens: Tokens


class Organisation(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Customer with keys, a prepaid budget and the endpoints it may use.

    `key_sha256` lists hashes as returned by `key_sha256` of the manifest
    index. Requests with `priority` 0 are served first.
    """

    id: Name
    key_sha256: Annotated[list[Sha256], msgspec.Meta(min_length=1)]
    top_ups: list[TopUp]
    endpoints: list[Name]
    priority: Priority = 5


class Model(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Model with its prices in budget tokens per prompt and output token.

    `image_tokens` is the maximum number of prompt tokens of one image.
    """

    id: Name
    prompt_price_tokens: Price = 1
    output_price_tokens: Price = 1
    max_output_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 4096
    image_tokens: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 2048


class Route(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Kind of call of an application service.

    `path` matches the complete path of a request or, if it ends in ``/*``, a
    prefix.
    """

    method: Literal['GET', 'POST', 'PUT', 'DELETE']
    path: Annotated[str, msgspec.Meta(pattern='^/', max_length=256)]
    idempotent: bool
    call_price_tokens: Price = 1


class Service(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Application service; a request that matches no route is refused."""

    id: Name
    routes: Annotated[list[Route], msgspec.Meta(min_length=1)]


class Endpoint(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Model engine or application server.

    Exactly one of `models` and `service` is set. `url` is the base address,
    with an IP address and a port.
    """

    id: Name
    data_centre: Name
    url: Annotated[
        str, msgspec.Meta(pattern=f'^http://{SOCKET_ADDRESS}{PATTERN_END}')
    ]
    models: list[Name] = []
    service: Name | None = None
    checks_fencing: bool = False
    echoes_request_id: bool = True
    drain: bool = False


class Manifest(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Complete configuration of a deployment."""

    organisations: Annotated[list[Organisation], msgspec.Meta(min_length=1)]
    models: list[Model] = []
    services: list[Service] = []
    endpoints: list[Endpoint]


def _duplicates(names: Iterable[str]) -> Iterator[tuple[int, str]]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield index, name
        seen.add(name)


def _unique_errors(
    path: str, ids: Iterable[str]
) -> Iterator[InvalidFieldError]:
    for index, name in _duplicates(ids):
        yield _field_error(f'{path}[{index}].id', name, 'an id used once')


def _field_error(path: str, value: object, expected: str) -> InvalidFieldError:
    return InvalidFieldError(
        ResultCode.MANIFEST_INVALID, path, value, expected
    )


def _semantic_errors(manifest: Manifest) -> Iterator[InvalidFieldError]:
    yield from _unique_errors(
        'organisations', (item.id for item in manifest.organisations)
    )
    yield from _unique_errors('models', (item.id for item in manifest.models))
    yield from _unique_errors(
        'services', (item.id for item in manifest.services)
    )
    yield from _unique_errors(
        'endpoints', (item.id for item in manifest.endpoints)
    )
    yield from _organisation_errors(manifest)
    yield from _endpoint_errors(manifest)


def _organisation_errors(manifest: Manifest) -> Iterator[InvalidFieldError]:
    endpoint_ids = {endpoint.id for endpoint in manifest.endpoints}
    key_owner: dict[str, str] = {}
    for index, organisation in enumerate(manifest.organisations):
        path = f'organisations[{index}]'
        yield from _unique_errors(
            f'{path}.top_ups', (item.id for item in organisation.top_ups)
        )
        for number, endpoint in enumerate(organisation.endpoints):
            if endpoint not in endpoint_ids:
                yield _field_error(
                    f'{path}.endpoints[{number}]',
                    endpoint,
                    'the id of an endpoint of this manifest',
                )
        for number, key in enumerate(organisation.key_sha256):
            if key_owner.setdefault(key, organisation.id) != organisation.id:
                yield _field_error(
                    f'{path}.key_sha256[{number}]',
                    key[:8],
                    'a key of one organisation only',
                )


def _endpoint_errors(manifest: Manifest) -> Iterator[InvalidFieldError]:
    model_ids = {model.id for model in manifest.models}
    service_ids = {service.id for service in manifest.services}
    for index, endpoint in enumerate(manifest.endpoints):
        path = f'endpoints[{index}]'
        if bool(endpoint.models) == bool(endpoint.service):
            yield _field_error(
                f'{path}.models',
                endpoint.models,
                'either models or a service, not both',
            )
        for number, model in enumerate(endpoint.models):
            if model not in model_ids:
                yield _field_error(
                    f'{path}.models[{number}]',
                    model,
                    'the id of a model of this manifest',
                )
        if endpoint.service and endpoint.service not in service_ids:
            yield _field_error(
                f'{path}.service',
                endpoint.service,
                'the id of a service of this manifest',
            )


def check_manifest(raw: object) -> Manifest:
    """Check a decoded JSON document and return the typed manifest.

    Raises
    ------
    InvalidFieldError
        With the path, the value and the allowed range of the first invalid
        field.
    """
    manifest = convert_fields(raw, Manifest, ResultCode.MANIFEST_INVALID)
    for error in _semantic_errors(manifest):
        raise error
    return manifest


_decoder: JsonDecoder[Any] = JsonDecoder(Any)


def decode_manifest(document: bytes | str) -> Manifest:
    """Decode and check a manifest's JSON text.

    Raises
    ------
    InvalidFieldError
        If the text is not JSON or a field is invalid.
    """
    try:
        raw = _decoder.decode(document)
    except msgspec.DecodeError as error:
        raise _field_error('$', msgspec.UNSET, f'JSON; {error}') from None
    return check_manifest(raw)


def manifest_schema() -> dict:
    """Return the JSON Schema (draft 2020-12) of manifests."""
    schema = msgspec.json.schema(Manifest)
    return {
        '$schema': 'https://json-schema.org/draft/2020-12/schema',
        'title': 'basilpond manifest',
        **schema,
    }


def budget_tokens(organisation: Organisation) -> int:
    """Return the sum of an organisation's top-ups."""
    return sum(top_up.tokens for top_up in organisation.top_ups)


def check_successor(old: Manifest, new: Manifest) -> None:
    """Check that a manifest lowers no budget of the one that it replaces.

    Routers may have spent a budget completely, and spent tokens can't be
    recovered.

    Raises
    ------
    InvalidFieldError
        With the first organisation whose budget would be lowered.
    """
    before = {item.id: budget_tokens(item) for item in old.organisations}
    for index, organisation in enumerate(new.organisations):
        tokens = budget_tokens(organisation)
        paid_tokens = before.get(organisation.id, 0)
        if tokens < paid_tokens:
            raise _field_error(
                f'organisations[{index}].top_ups',
                tokens,
                f'a sum of at least {paid_tokens} tokens, which is paid '
                f'already',
            )


class Change(msgspec.Struct, frozen=True):
    """One difference between two manifests; None means absent."""

    path: str
    old: object
    new: object


def _changes(path: str, old: object, new: object) -> Iterator[Change]:
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            yield from _changes(
                f'{path}.{name}' if path else name,
                old.get(name),
                new.get(name),
            )
    elif old != new:
        yield Change(path, old, new)


def _keyed_by_id(value: object) -> object:
    if isinstance(value, dict):
        return {name: _keyed_by_id(item) for name, item in value.items()}
    if isinstance(value, list) and all(
        isinstance(item, dict) and 'id' in item for item in value
    ):
        return {item['id']: _keyed_by_id(item) for item in value}
    return value


def diff_manifests(old: Manifest | None, new: Manifest) -> Iterator[Change]:
    """Yield the differences of two manifests; list items match by their ids.

    Without an old manifest, everything in the new one is a difference.
    """
    old_raw = msgspec.to_builtins(old) if old is not None else {}
    yield from _changes(
        '', _keyed_by_id(old_raw), _keyed_by_id(msgspec.to_builtins(new))
    )
