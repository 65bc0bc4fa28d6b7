"""Versions of the streams that one router has begun or continued."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

# Streams that are remembered; a router relays fewer within the longest time
# limit.
_MAX_STREAMS = 20_000


@dataclasses.dataclass(slots=True)
class _Stream:
    version: str
    # Time after which it is not taken up any more.
    until_s: float
    service: str
    # Whether the log contains its version, or will.
    stored: bool


class BegunStreams:
    """Streams by id, until their callers do not take them up any more.

    Times are those of the event loop, in seconds.

    Examples
    --------
    >>> streams = BegunStreams()
    >>> streams.add('1', 'v1', service='model', until_s=12.0, now_s=0.0)
    >>> streams.find('1', now_s=3.0)
    'v1'
    >>> streams.find('1', now_s=13.0) is None
    True
    """

    __slots__ = ('_max_streams', '_streams')

    def __init__(self, *, max_streams: int = _MAX_STREAMS) -> None:
        self._max_streams = max_streams
        self._streams: dict[str, _Stream] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def add(
        self,
        stream_id: str,
        version: str,
        *,
        service: str,
        until_s: float,
        now_s: float,
        stored: bool = False,
    ) -> None:
        """Remember the version of a stream whose first event was forwarded."""
        self._expire(now_s)
        self._streams.setdefault(
            stream_id, _Stream(version, until_s, service, stored)
        )

    def find(self, stream_id: str, *, now_s: float) -> str | None:
        """Return the version of a stream, if it is known."""
        stream = self._streams.get(stream_id)
        if stream is None or stream.until_s < now_s:
            return None
        return stream.version

    def pop_unstored(
        self, service: str, *, now_s: float
    ) -> Iterator[tuple[str, str, float]]:
        """Yield the streams that have to be stored.

        Yields
        ------
        (str, str, float)
            Id, version, and time after which it is not taken up any more.
        """
        for stream_id, stream in self._streams.items():
            if (
                stream.service == service
                and not stream.stored
                and stream.until_s >= now_s
            ):
                stream.stored = True
                yield stream_id, stream.version, stream.until_s

    def _expire(self, now_s: float) -> None:
        # In the order of their begin, so nearly in that of their ends.
        while self._streams:
            stream_id = next(iter(self._streams))
            oldest = self._streams[stream_id]
            if (
                oldest.until_s >= now_s
                and len(self._streams) < self._max_streams
            ):
                return
            del self._streams[stream_id]
