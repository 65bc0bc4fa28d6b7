"""State of the ``config`` stream: the manifest in force.

A `ManifestPublish` is accepted if it replaces the version in force, its
document is a valid manifest, and it lowers no budget. The new version is the
offset of the entry + 1, so versions increase without a separate counter.
"""

from __future__ import annotations

import dataclasses

import msgspec

from ._codes import BasilpondError
from ._codes import ResultCode
from ._interfaces import LogEntry
from ._manifest import Manifest
from ._manifest import check_successor
from ._manifest import decode_manifest
from ._records import ManifestPublish
from ._records import ManifestSnapshot
from ._records import decode_config


@dataclasses.dataclass(frozen=True, slots=True)
class PublishDecided:
    """Result of a `ManifestPublish`.

    Parameters
    ----------
    publish_id : str
    version : int
        Version in force after the entry.
    accepted : bool
    reason : str
        Result code and message of a rejection, else empty.
    """

    publish_id: str
    version: int
    accepted: bool
    reason: str = ''


class ConfigState:
    """Manifest in force after the entries applied so far.

    Attributes
    ----------
    version : int
        Version of the manifest, 0 without one.
    manifest : Manifest or None
    document : bytes or None
        JSON text of the manifest as published.
    """

    __slots__ = ('_publish_id', 'document', 'manifest', 'version')

    def __init__(self) -> None:
        self.version = 0
        self.manifest: Manifest | None = None
        self.document: bytes | None = None
        self._publish_id: str | None = None

    def apply(self, entry: LogEntry) -> PublishDecided | None:
        """Apply an entry; return the result if it is a publish.

        A payload that is not a config record has no effect. A snapshot has an
        effect only if its version is newer, that is, if the entry with its
        publish was not read.
        """
        try:
            record = decode_config(entry.payload)
        except msgspec.MsgspecError:
            return None
        if isinstance(record, ManifestSnapshot):
            self.load_snapshot(record)
            return None
        return self._apply_publish(record, entry.offset + 1)

    def load_snapshot(self, snapshot: ManifestSnapshot) -> bool:
        """Replace the state by that of a snapshot if it is newer.

        Returns
        -------
        bool
            False if it is not newer or its document is not a valid manifest.
        """
        if snapshot.version <= self.version:
            return False
        document = bytes(snapshot.document)
        try:
            manifest = decode_manifest(document)
        except BasilpondError:
            return False
        self._set_manifest(snapshot.version, manifest, document, None)
        return True

    def to_snapshot(self) -> ManifestSnapshot | None:
        """Return the manifest in force as a record, None without one."""
        if self.document is None:
            return None
        return ManifestSnapshot(self.version, msgspec.Raw(self.document))

    def _apply_publish(
        self, publish: ManifestPublish, new_version: int
    ) -> PublishDecided:
        publish_id = publish.publish_id
        document = bytes(publish.document)
        if publish_id == self._publish_id and document == self.document:
            # The entry was appended again after a lost acknowledgement.
            return PublishDecided(publish_id, self.version, True)
        if publish.replaces_version != self.version:
            stale = BasilpondError(
                ResultCode.MANIFEST_STALE,
                f'publish replaces version {publish.replaces_version}, '
                f'but version {self.version} is in force',
            )
            return PublishDecided(publish_id, self.version, False, str(stale))
        try:
            manifest = decode_manifest(document)
            if self.manifest is not None:
                check_successor(self.manifest, manifest)
        except BasilpondError as error:
            return PublishDecided(publish_id, self.version, False, str(error))
        self._set_manifest(new_version, manifest, document, publish_id)
        return PublishDecided(publish_id, new_version, True)

    def _set_manifest(
        self,
        version: int,
        manifest: Manifest,
        document: bytes,
        publish_id: str | None,
    ) -> None:
        assert version > self.version, 'manifest version must rise'
        self.version = version
        self.manifest = manifest
        self.document = document
        self._publish_id = publish_id
