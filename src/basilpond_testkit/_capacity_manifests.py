"""Measurements of manifests with many organisations and endpoints."""

from __future__ import annotations

import random

import msgspec

from basilpond.core import ManifestIndex
from basilpond.core import _manifest
from basilpond.core import _routing

from ._capacity_slopes import Cost

# Endpoints that each organisation reaches in the manifest measurements.
REACHABLE = 50


def organisation_name(number: int) -> str:
    return f'organisation-{number:05d}'


def endpoint_url(number: int) -> str:
    """Return an address of its own."""
    return (
        f'http://10.{1 + number // 62500}.{number // 250 % 250}'
        f'.{number % 250 + 1}:9000'
    )


def manifest_document(
    organisations: int,
    endpoints: int,
    reachable: int = REACHABLE,
    *,
    url: str | None = None,
) -> bytes:
    """Return a manifest whose organisations reach different endpoints."""
    # Encoded item by item: memory that was freed before would hide growth.
    names = [f'sicilia-{n % 17:02d}-engine-{n:04d}' for n in range(endpoints)]
    items = [
        msgspec.json.encode(
            {
                'id': organisation_name(n),
                'key_sha256': [f'{n:064x}'],
                'top_ups': [{'id': 'payment-1', 'tokens': 10**9}],
                'endpoints': [
                    names[(n + step) % endpoints]
                    for step in range(min(reachable, endpoints))
                ],
            }
        )
        for n in range(organisations)
    ]
    servers = [
        msgspec.json.encode(
            {
                'id': name,
                'data_centre': name[:10],
                'url': url or endpoint_url(n),
                'models': [f'model-{n % 10}'],
            }
        )
        for n, name in enumerate(names)
    ]
    models = [{'id': f'model-{n}'} for n in range(10)]
    return b'{"organisations":[%b],"models":%b,"endpoints":[%b]}' % (
        b','.join(items),
        msgspec.json.encode(models),
        b','.join(servers),
    )


def _manifest_values(prefix: str, document: bytes) -> dict[str, float]:
    table = _routing.EndpointTable('sicilia-00', random.Random(1))
    with Cost() as decode:
        decoded = _manifest.decode_manifest(document)
    with Cost() as take:
        index = ManifestIndex(decoded, 1)
        table.set_manifest(decoded)
    assert index.manifest is decoded
    return {
        f'{prefix}_decode': decode.ms + take.ms,
        f'{prefix}_memory': decode.kb + take.kb,
        f'{prefix}_document': len(document) / 1000,
    }


def manifest_organisations(size: int) -> dict[str, float]:
    """Decode and index a manifest with 350 endpoints."""
    return _manifest_values('organisation', manifest_document(size, 350))


def manifest_endpoints(size: int) -> dict[str, float]:
    """Decode and index a manifest with one organisation."""
    return _manifest_values('endpoint', manifest_document(1, size))


def manifest_reach(size: int) -> dict[str, float]:
    """Decode a manifest whose 100 organisations reach `size` endpoints."""
    document = manifest_document(100, size, size)
    return _manifest_values('reach', document)
