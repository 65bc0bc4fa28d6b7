"""Server-sent events, split without interpretation of their data."""

from __future__ import annotations


class EventSplitter:
    r"""Cuts a byte stream after each complete event.

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
        # Start of an event whose end has not arrived.
        self.partial = b''

    def feed(self, data: bytes) -> bytes:
        """Take bytes of a stream.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bytes
            The events completed by `data`, possibly empty.
        """
        buffer = self.partial + data
        # An end may have begun in the last bytes of the part before.
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
        """Forget an event that its sender broke off."""
        self.partial = b''

    def shorten_partial(self) -> None:
        """Keep of a started event only what shows its end.

        The event is counted, its identifier is forgotten.
        """
        self.partial = b':' + self.partial[-3:]

    def _record_events(self, complete: bytes) -> None:
        for event in complete.replace(b'\r\n', b'\n').split(b'\n\n'):
            if not event.strip():
                continue
            self.count += 1
            for line in event.split(b'\n'):
                if line.startswith(b'id:'):
                    self.last_id = line[3:].strip()
