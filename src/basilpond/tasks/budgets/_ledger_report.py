"""Reads the ledger stream once, for reports; appends nothing."""

from __future__ import annotations

from collections.abc import AsyncIterator

import msgspec

from ...core import Ledger
from ...core import LedgerSnapshot
from ...core import Log
from ...core import LogEntry
from ...core import decode_batch

STREAM = 'ledger'
READ_LIMIT = 512


async def read_entries(log: Log) -> AsyncIterator[LogEntry]:
    """Yield all retained entries of the ledger stream.

    Raises
    ------
    LogUnavailableError
        If a read fails.
    """
    offset = 0
    while True:
        page = await log.read(STREAM, offset, limit=READ_LIMIT, wait_ms=0)
        for entry in page.entries:
            yield entry
        if not page.entries:
            return
        offset = page.entries[-1].offset + 1


async def read_ledger(log: Log) -> Ledger:
    """Return the ledger after all retained entries of its stream.

    Nothing is appended.

    Raises
    ------
    LogUnavailableError
        If a read fails.
    """
    ledger = Ledger()
    waiting: list[LogEntry] = []
    async for entry in read_entries(log):
        if ledger.offset < 0 and entry.offset > 0:
            # The log has dropped earlier entries, which a snapshot replaces.
            waiting.append(entry)
            snapshot = _snapshot_in(entry)
            if snapshot is not None:
                ledger = Ledger.from_snapshot(bytes(snapshot.state))
                for earlier in waiting:
                    _apply(ledger, earlier)
                waiting.clear()
        else:
            _apply(ledger, entry)
    return ledger


def _snapshot_in(entry: LogEntry) -> LedgerSnapshot | None:
    try:
        batch = decode_batch(entry.payload)
    except msgspec.MsgspecError:
        return None
    for record in batch.records:
        if isinstance(record, LedgerSnapshot):
            return record
    return None


def _apply(ledger: Ledger, entry: LogEntry) -> None:
    try:
        batch = decode_batch(entry.payload)
    except msgspec.MsgspecError:
        return
    for _ in ledger.apply(batch, entry.offset, entry.time_ms):
        pass
