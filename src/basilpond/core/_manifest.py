"""Manifest of a deployment: typed fields with their constraints.

The JSON Schema that operators use is generated from these classes, so a range
is stated once.
"""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import msgspec

Name = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=64, pattern='^[A-Za-z0-9._-]+$'),
]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=10**15)]
Price = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Sha256 = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
Priority = Annotated[int, msgspec.Meta(ge=0, le=9)]


class TopUp(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One payment; the budget is the sum of an organisation's top-ups."""

    id: Name
    tokens: Tokens


class Organisation(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Customer with keys, a prepaid budget and reachable endpoints.

    `priority` 0 is served first.
    """

    id: Name
    key_sha256: Annotated[list[Sha256], msgspec.Meta(min_length=1)]
    top_ups: list[TopUp]
    endpoints: list[Name]
    priority: Priority = 5


class Model(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Model with its prices in budget tokens per prompt and output token."""

    id: Name
    prompt_price_tokens: Price = 1
    output_price_tokens: Price = 1
    max_output_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 4096


class Route(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Call of an application service.

    `path` matches a whole path or, when it ends in ``/*``, a prefix.
    """

    method: Literal['GET', 'POST', 'PUT', 'DELETE']
    path: Annotated[str, msgspec.Meta(pattern='^/', max_length=256)]
    idempotent: bool
    call_price_tokens: Price = 1


class Service(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Application service and its calls; a call without a route is refused."""

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
    url: Annotated[str, msgspec.Meta(pattern=r'^http://[0-9.]+:[0-9]+$')]
    models: list[Name] = []
    service: Name | None = None
    checks_fencing: bool = False
    echoes_request_id: bool = True
    drain: bool = False


class Manifest(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Whole configuration of a deployment."""

    organisations: Annotated[list[Organisation], msgspec.Meta(min_length=1)]
    models: list[Model] = []
    services: list[Service] = []
    endpoints: list[Endpoint]
