"""Reload of a settings file, on request or when its content changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import xxhash

from ._decision_log import DecisionLog
from ._interfaces import NodeSettings

# Poll interval, as the file may change without a signal.
INTERVAL_S = 1.0


def settings_digest(data: bytes) -> str:
    """Return the digest of the content of a settings file."""
    return xxhash.xxh3_64_hexdigest(data)


class SettingsWatch:
    """Task that reloads a settings file.

    Parameters
    ----------
    path : Path
    load : callable
        Returns the settings in a file; raises ValueError if they are invalid.
    apply : callable
        Called with changed settings.
    decisions : DecisionLog
    digest : str
        Of the settings in force. The file may have changed since they were
        read.
    """

    def __init__(
        self,
        path: Path,
        load: Callable[[Path], NodeSettings],
        apply: Callable[[NodeSettings], None],
        decisions: DecisionLog,
        digest: str,
    ) -> None:
        self._path = path
        self._load = load
        self._apply = apply
        self._decisions = decisions
        self._digest: str | None = digest
        self._reload_requested = asyncio.Event()

    def request_reload(self) -> None:
        """Reload the file at once."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Watch until cancelled."""
        self.check(requested=False)
        while True:
            try:
                async with asyncio.timeout(INTERVAL_S):
                    await self._reload_requested.wait()
            except TimeoutError:
                pass
            requested = self._reload_requested.is_set()
            self._reload_requested.clear()
            self.check(requested=requested)

    def check(self, *, requested: bool) -> None:
        """Apply the file if it changed."""
        digest = self._read_digest()
        changed = digest != self._digest
        if not changed and not requested:
            return
        reason = None
        if changed:
            try:
                settings = self._load(self._path)
                self._apply(settings)
                # The file may have changed again since its digest was read.
                digest = settings.digest
            except ValueError as error:
                # The settings in force remain.
                reason = str(error)
        self._digest = digest
        self._decisions.event(
            'settings_kept' if reason else 'settings_reloaded',
            asked=requested,
            changed=changed,
            digest=digest,
            reason=reason,
        )

    def _read_digest(self) -> str | None:
        try:
            return settings_digest(self._path.read_bytes())
        except OSError:
            # A file that is being replaced is read at the next poll.
            return None
