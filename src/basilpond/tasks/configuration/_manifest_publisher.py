"""Reads and publishes manifests through the log, for operators."""

from __future__ import annotations

import asyncio
import dataclasses
import uuid

import msgspec

from ...core import BasilpondError
from ...core import ConfigState
from ...core import Log
from ...core import LogRateLimitedError
from ...core import LogUnavailableError
from ...core import ManifestPublish
from ...core import PublishDecided
from ...core import ResultCode
from ...core import decode_manifest
from ...core import encode_record

STREAM = 'config'
READ_LIMIT = 64
RETRY_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class ManifestInForce:
    """Manifest in force at the end of the config stream.

    Attributes
    ----------
    version : int
    document : bytes or None
        JSON text; None before the first publish.
    """

    version: int
    document: bytes | None


class ManifestPublisher:
    """Reads the config stream and publishes manifests to it.

    Parameters
    ----------
    log : Log
    """

    def __init__(self, log: Log) -> None:
        self.log = log

    async def read(self) -> ManifestInForce:
        """Return the manifest in force.

        Raises
        ------
        LogUnavailableError
            A read of the stream failed.
        """
        state, _ = await self._read_state('')
        return ManifestInForce(state.version, state.document)

    async def publish(
        self, document: bytes, replaces_version: int, *, timeout_s: float
    ) -> PublishDecided:
        """Publish a manifest and return whether it was accepted.

        Parameters
        ----------
        document : bytes
            JSON text; validated before it is appended.
        replaces_version : int
            The publish is accepted only if this version is in force.
        timeout_s : float

        Raises
        ------
        InvalidFieldError
            The manifest is invalid; nothing was appended.
        LogUnavailableError
            Whether the publish was accepted is not known yet; the decision
            will be the same on every router.
        """
        decode_manifest(document)
        publish = ManifestPublish(
            publish_id=str(uuid.uuid4()),
            replaces_version=replaces_version,
            document=msgspec.Raw(document),
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await self._append_and_read_back(publish)
        except TimeoutError:
            raise LogUnavailableError(
                f'no decision on publish {publish.publish_id} within '
                f'{timeout_s} s; ask for the status later'
            ) from None

    async def _append_and_read_back(
        self, publish: ManifestPublish
    ) -> PublishDecided:
        while True:
            try:
                await self.log.append(STREAM, encode_record(publish))
            except LogRateLimitedError:
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            except LogUnavailableError:
                # The entry may have been written, so the stream is read
                # before the append is retried; a duplicate is ignored.
                await asyncio.sleep(RETRY_INTERVAL_S)
            decided = await self._find_decision(publish.publish_id)
            if decided is not None:
                return decided

    async def _find_decision(self, publish_id: str) -> PublishDecided | None:
        while True:
            try:
                _, decided = await self._read_state(publish_id)
            except LogUnavailableError:
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            return decided

    async def _read_state(
        self, publish_id: str
    ) -> tuple[ConfigState, PublishDecided | None]:
        state = ConfigState()
        decided = None
        offset = 0
        while True:
            page = await self.log.read(
                STREAM, offset, limit=READ_LIMIT, wait_ms=0
            )
            for entry in page.entries:
                result = state.apply(entry)
                if result is not None and result.publish_id == publish_id:
                    decided = decided or result
            if not page.entries:
                return state, decided
            offset = page.entries[-1].offset + 1


def require_document(in_force: ManifestInForce) -> bytes:
    """Return the document in force.

    Raises
    ------
    BasilpondError
        No manifest has been published yet.
    """
    if in_force.document is None:
        raise BasilpondError(
            ResultCode.NOT_READY, 'no manifest has been published'
        )
    return in_force.document
