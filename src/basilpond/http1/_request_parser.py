"""Parser of callers' requests that declines offers of other protocols."""

from __future__ import annotations

from typing import Protocol

import httptools

from . import _fields

_CONNECT = b'CONNECT'
_FRAMING = (b'content-length', b'transfer-encoding')


class RequestEvents(Protocol):
    """Receives the parts of requests, in the order of the bytes."""

    def on_message_begin(self) -> None:
        """Handle the first byte of a request."""

    def on_url(self, url: bytes) -> None:
        """Handle a part of the target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header field."""

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of a request."""


class RequestParser:
    """Splits a connection's bytes into requests.

    A server may ignore an Upgrade field (RFC 9110, section 7.8); the request
    and its body remain what they are. The library ends such a request after
    its head, so the framing is fed again without that field, and the body is
    parsed as usual. It is the last request of its connection, as a caller may
    go on in the other protocol. Trailer fields are dropped: they may not be
    merged into the header (RFC 9110, section 6.5.1).

    Parameters
    ----------
    events : RequestEvents
    """

    __slots__ = ('_declined', '_events', '_framing', '_in_head', '_parser')

    def __init__(self, events: RequestEvents) -> None:
        self._events = events
        self._parser = httptools.HttpRequestParser(self)
        self._framing: list[_fields.Header] = []
        # Whether a head is parsed for the first time.
        self._in_head = False
        # Whether a head is fed again after an offer of another protocol.
        self._declined = False

    def feed_data(self, data: bytes) -> None:
        """Parse bytes of the connection.

        Raises
        ------
        httptools.HttpParserError
            The bytes are not HTTP; HttpParserUpgrade after a CONNECT.
        """
        while True:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as error:
                if not self._declined:
                    raise
                data = data[error.args[0] :]
                self._replay_head()
            else:
                return

    def get_method(self) -> bytes:
        """Return the method of the request."""
        return self._parser.get_method()

    def get_http_version(self) -> str:
        """Return the protocol version of the request."""
        return self._parser.get_http_version()

    def should_keep_alive(self) -> bool:
        """Whether the connection may carry further requests."""
        return self._parser.should_keep_alive()

    def _replay_head(self) -> None:
        method, version = self.get_method(), self.get_http_version()
        framing = [*self._framing, (b'connection', b'close')]
        self._parser = httptools.HttpRequestParser(self)
        # Without a body, the request is complete within the head.
        self._parser.feed_data(
            b'%s / HTTP/%s\r\n' % (method, version.encode())
            + _fields.encode_fields(framing)
        )

    # Callbacks of the library.

    def on_message_begin(self) -> None:
        """Start a request."""
        if not self._declined:
            self._framing = []
            self._in_head = True
            self._events.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Pass on a part of the target."""
        if not self._declined:
            self._events.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a header field; trailer fields are ignored."""
        if self._in_head:
            if name.lower() in _FRAMING:
                self._framing.append((name, value))
            self._events.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass on the end of the head."""
        if self._declined:
            self._declined = False
            return
        self._in_head = False
        self._events.on_headers_complete()
        self._declined = (
            self._parser.should_upgrade() and self.get_method() != _CONNECT
        )

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._events.on_body(data)

    def on_message_complete(self) -> None:
        """Pass on the end of a request that is not fed again."""
        if not self._declined:
            self._events.on_message_complete()
