"""Splitting of server-sent event streams without parsing event data."""

from __future__ import annotations


class EventSplitter:
    r"""Splits a byte stream into complete events and a remainder.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2')
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.count, splitter.partial
    (b'1', 1, b'id: 2')
    """

    __slots__ = ('count', 'last_id', 'partial')

    def __init__(self) -> None:
        self.count = 0
        self.last_id: bytes | None = None
        # Incomplete event at the end of the received bytes.
        self.partial = b''

    def feed(self, data: bytes) -> bytes:
        """Add bytes of a stream.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bytes
            The events completed by `data`; empty if there are none.
        """
        buffer = self.partial + data
        # The end of an event may have started in the last 3 bytes of the
        # previous data.
        start = max(0, len(self.partial) - 3)
        end = max(
            (i + 2 if (i := buffer.rfind(b'\n\n', start)) >= 0 else 0),
            (i + 4 if (i := buffer.rfind(b'\r\n\r\n', start)) >= 0 else 0),
        )
        complete, self.partial = buffer[:end], buffer[end:]
        if complete:
            self._record_events(complete)
        return complete

    def drop_partial(self) -> None:
        """Discard an incomplete event, as after a truncated stream."""
        self.partial = b''

    def shorten_partial(self) -> None:
        """Discard an incomplete event, but for the bytes that detect its end.

        The event is counted when it ends, but its identifier is lost.
        """
        self.partial = b':' + self.partial[-3:]

    def _record_events(self, complete: bytes) -> None:
        for event in complete.replace(b'\r\n', b'\n').split(b'\n\n'):
            if not event.strip():
                continue
            self.count += 1
            # A lone CR ends a line, too; within an identifier, it would split
            # the header field that the identifier is sent in.
            for line in event.replace(b'\r', b'\n').split(b'\n'):
                if line.startswith(b'id:'):
                    self.last_id = line[3:].strip()
