"""Limits on the incomplete events of all streams."""

from __future__ import annotations

from ..http1 import ExchangeError
from ..http1 import ExchangeFailure
from ._request_context import RequestContext

# Largest event of a stream. An event holds some tokens, a few hundred bytes; a
# faulty endpoint may send an endless event, and a resumable stream is
# forwarded in complete events.
MAX_EVENT_BYTES = 1024 * 1024
# Incomplete events of all streams together; beyond this sum, each of them is
# limited to the smaller size. 120 streams whose events did not end used
# 120 MB.
_MAX_PARTIAL_BYTES = 8 * 1024 * 1024
_SMALL_EVENT_BYTES = 65_536


class EventBuffer:
    """Splits streams into events, and bounds incomplete ones."""

    __slots__ = ('_partial_bytes',)

    def __init__(self) -> None:
        # Bytes of incomplete events of all streams.
        self._partial_bytes = 0

    def split(self, context: RequestContext, part: bytes) -> bytes:
        """Return the bytes of complete events after a part of a stream.

        Raises
        ------
        ExchangeError
            An event that has to be forwarded as a whole is too long.
        """
        before_bytes = len(context.events.partial)
        forwardable = context.events.feed(part)
        size_bytes = len(context.events.partial)
        self._partial_bytes += size_bytes - before_bytes
        crowded = self._partial_bytes > _MAX_PARTIAL_BYTES
        limit_bytes = _SMALL_EVENT_BYTES if crowded else MAX_EVENT_BYTES
        # Events that are complete have to be forwarded before a failure.
        if size_bytes > limit_bytes and not forwardable:
            self._limit(context)
            self._partial_bytes += len(context.events.partial) - size_bytes
        return forwardable

    def drop(self, context: RequestContext) -> None:
        """Drop the incomplete event of a stream."""
        self._partial_bytes -= len(context.events.partial)
        context.events.drop_partial()

    def _limit(self, context: RequestContext) -> None:
        if not context.route.resumable:
            # Forwarded as it arrives, so only the end of the event matters.
            context.events.shorten_partial()
            return
        raise ExchangeError(
            ExchangeFailure.MALFORMED,
            f'event of {len(context.events.partial)} bytes is too long',
        )
