"""Manifests that the log accepted, recomputed independently of the router."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

import msgspec

from basilpond.core import _records
from basilpond.core._codes import BasilpondError
from basilpond.core._interfaces import LogEntry
from basilpond.core._manifest import Manifest
from basilpond.core._manifest import decode_manifest


@dataclasses.dataclass(slots=True, frozen=True)
class ManifestVersion:
    """An accepted manifest."""

    version: int
    time_ms: int
    manifest: Manifest


def accepted_manifests(entries: Iterable[LogEntry]) -> list[ManifestVersion]:
    """Return the manifests of the config stream that were accepted."""
    accepted: list[ManifestVersion] = []
    for entry in entries:
        try:
            record = _records.decode_config(entry.payload)
        except msgspec.MsgspecError:
            continue
        current = accepted[-1].version if accepted else 0
        if not isinstance(record, _records.ManifestPublish):
            continue
        if record.replaces_version != current:
            continue
        try:
            manifest = decode_manifest(bytes(record.document))
        except BasilpondError:
            continue
        if accepted and _lowers_a_budget(accepted[-1].manifest, manifest):
            continue
        accepted.append(
            ManifestVersion(entry.offset + 1, entry.time_ms, manifest)
        )
    return accepted


def _lowers_a_budget(old: Manifest, new: Manifest) -> bool:
    """Return whether a payment of the old manifest is missing."""
    paid = paid_tokens(old)
    return any(
        tokens < paid.get(organisation, 0)
        for organisation, tokens in paid_tokens(new).items()
    )


def paid_tokens(manifest: Manifest) -> dict[str, int]:
    """Return the tokens that a manifest pays for, by organisation."""
    return {
        organisation.id: sum(top_up.tokens for top_up in organisation.top_ups)
        for organisation in manifest.organisations
    }
