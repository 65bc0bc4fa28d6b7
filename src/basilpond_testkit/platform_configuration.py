"""Configuration of small systems on the platform."""

from __future__ import annotations

from typing import Any

PROMPT = (
    ('X-Model', 'm'),
    ('X-Token-Count', '300,60'),
    ('X-Prompt-Prefix', '1a:100,2b:150,3c:50'),
)


def route(
    name: str, kind: str, service: str, **changes: Any
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': 'h.example',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 5000,
        'latency_target_ms': 200,
        'gap_target_ms': 300,
        'priority': 1,
        'service': service,
        'max_attempts': 2 if kind != 'unsafe' else 1,
        **changes,
    }


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a route of each kind."""
    return {
        'version': version,
        'routes': [
            route('look', 'safe', 'app'),
            route('claim', 'unsafe', 'app'),
            route('chat', 'streaming', 'llm', resumable=True, sticky=True),
            route('digest', 'streaming', 'llm', sticky=True, max_attempts=1),
        ],
        'tenants': [{'name': 'org', 'api_keys': ['key'], 'prepaid': 100_000}],
        **changes,
    }
